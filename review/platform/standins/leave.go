package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// leave plays searchers that leave without reporting draining while the machine that
// reads the platform's store is frozen. With TROUBLE=0 no machine is frozen.
func leave(rec *recorder, root string, trouble bool) bool {
	const (
		drainWithin = 3 * time.Second // DrainMs
		contact     = 4 * time.Second // ContactMs
		freezeFor   = 4 * time.Second
		round       = 9 * time.Second
		rounds      = 6
	)
	st := newStore()
	zones := []string{"z1", "z2", "z3"}
	mu := newGuard()
	rng := rand.New(rand.NewSource(1))
	work := func(string) time.Duration {
		mu.lock()
		defer mu.unlock()
		return time.Duration((0.5 + rng.Float64()) * float64(11*time.Millisecond))
	}
	var serving []*searcher
	seq := 0
	add := func() {
		s := newSearcher(rec, fmt.Sprintf("i-gym%d", seq), "gym-portal", zones[seq%3], 3, 12, work)
		seq++
		serving = append(serving, s)
		st.put(s.key(), s.entry("ready"))
	}
	for range 12 {
		add()
	}
	conf := config{Version: 3, Limits: usualLimits,
		Routes:   []route{{Name: "gym-booking", Host: "gym.example", Prefix: "/booking/", Kind: "idempotent", TimeoutMs: 4000, TargetLatencyMs: 400, MaxAttempts: 2, Priority: 2, Service: "gym-portal"}},
		Services: []serviceConfig{{Name: "gym-portal", HealthPath: "/health", MaxConnections: 110}},
		Tenants:  []tenant{{Name: "gyms", ApiKeys: []string{"gyms-key-1"}, RatePerS: 1500, Burst: 700}}}
	st.put("op/config", conf.json())
	f := newFleet(rec, root, st.address, []string{"z1", "z2", "z3", "z1", "z2"})
	defer f.close()
	f.start()
	time.Sleep(4 * time.Second)

	stop := make(chan struct{})
	t := newTally()
	for i := range 90 {
		c := t.client(rec, f, zones[i%3], "gym.example")
		t.run(c, stop, 150*time.Millisecond, func() request {
			return request{method: http.MethodGet, path: "/booking/" + c.name, key: "gyms-key-1", deadline: 4 * time.Second}
		})
	}
	rec.note("clients start")
	time.Sleep(4 * time.Second)
	type span struct{ from, to time.Duration }
	frozen := map[string][]span{} // by address for clients
	left := map[string]time.Duration{}
	for i := range rounds {
		begun := time.Now()
		reader := f.reader()
		if trouble {
			reader.signal(syscall.SIGSTOP, false)
			from := rec.note("%s, the reader, is frozen", reader.name)
			frozen[reader.front()] = append(frozen[reader.front()], span{from, from + freezeFor})
			time.AfterFunc(freezeFor, func() { reader.signal(syscall.SIGCONT, false) })
		}
		time.Sleep(time.Duration(50+70*i) * time.Millisecond)
		for range 2 {
			s := serving[0]
			serving = serving[1:]
			st.remove(s.key())
			left[s.id] = rec.note("the entry of %s is removed; it serves on", s.id)
		}
		time.Sleep(5*time.Second - time.Since(begun))
		add()
		time.Sleep(time.Second)
		add()
		time.Sleep(round - time.Since(begun))
	}
	close(stop)
	t.wait()
	sentTo := map[string]string{}
	for _, e := range rec.all() {
		if e.kind == "sent" {
			sentTo[e.id] = e.where
		}
	}
	inTouch := func(front string, at time.Duration) bool {
		for _, s := range frozen[front] {
			if at >= s.from && at <= s.to+contact {
				return false
			}
		}
		return true
	}
	late, latest, after := 0, time.Duration(0), 0
	for _, e := range rec.all() {
		at, gone := left[e.where]
		if e.kind != "arrived" || !gone || !inTouch(sentTo[e.id], e.at) {
			continue
		}
		if e.at > at {
			after++
			latest = max(latest, e.at-at)
		}
		if e.at > at+drainWithin {
			late++
			if late <= 5 {
				rec.note("request %s, sent to %s, reached %s %.3f s after the removal was acknowledged", e.id, sentTo[e.id], e.where, (e.at - at).Seconds())
			}
		}
	}
	rec.note("requests from machines in touch at searchers that have left: %d, the last %.3f s after the acknowledgement; later than %v: %d", after, latest.Seconds(), drainWithin, late)
	rec.note("answers by status: %v", t.byStatus())
	return late > 0
}

// reader returns the machine that reads the store by the newest line of the logs.
func (f *fleet) reader() *machine {
	var newest time.Time
	found := f.machines[0]
	for _, m := range f.machines {
		file, err := os.Open(filepath.Join(f.dir, m.name, "log"))
		check(err)
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		reads, at := false, time.Time{}
		for lines.Scan() {
			var l struct {
				Event  string    `json:"event"`
				Reader bool      `json:"reader"`
				Time   time.Time `json:"time"`
			}
			if json.Unmarshal(lines.Bytes(), &l) == nil && l.Event == "reader_changed" {
				reads, at = l.Reader, l.Time
			}
		}
		file.Close()
		if reads && at.After(newest) {
			newest, found = at, m
		}
	}
	return found
}
