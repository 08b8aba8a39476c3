package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"time"
)

// evacuate plays the release of a service while one of its zones is evacuated: each
// new searcher registers, and a second later the entry of the old one is removed. The
// old ones never report draining and serve on. With TROUBLE=0 the zone is evacuated
// and nothing is released.
func evacuate(rec *recorder, root string, trouble bool) bool {
	const (
		evacWithin = 5 * time.Second // EvacMs
		zoneOut    = "z3"
		releaseGap = time.Second
	)
	st := newStore()
	mu := newGuard()
	rng := rand.New(rand.NewSource(1))
	work := func(string) time.Duration {
		mu.lock()
		defer mu.unlock()
		return time.Duration((0.5 + rng.Float64()) * float64(90*time.Millisecond))
	}
	var old []*searcher
	where := map[string]string{}
	add := func(id, zone string) *searcher {
		s := newSearcher(rec, id, "gym-portal", zone, 3, 12, work)
		where[id] = zone
		st.put(s.key(), s.entry("ready"))
		return s
	}
	for i, zone := range []string{"z1", "z1", "z1", "z2", "z2", zoneOut, zoneOut, zoneOut} {
		s := add(fmt.Sprintf("i-gym%d", i), zone)
		if zone == zoneOut {
			old = append(old, s)
		}
	}
	conf := config{Version: 3, Limits: usualLimits,
		Routes:   []route{{Name: "gym-booking", Host: "gym.example", Prefix: "/booking/", Kind: "idempotent", TimeoutMs: 4000, TargetLatencyMs: 400, MaxAttempts: 2, Priority: 2, Service: "gym-portal"}},
		Services: []serviceConfig{{Name: "gym-portal", HealthPath: "/health", MaxConnections: 110, WarmupS: 3, WarmupPerS: 20}},
		Tenants:  []tenant{{Name: "gyms", ApiKeys: []string{"gyms-key-1"}, RatePerS: 200, Burst: 100}}}
	st.put("op/config", conf.json())
	f := newFleet(rec, root, st.address, []string{"z1", "z2", "z3", "z1"})
	defer f.close()
	f.start()
	time.Sleep(4 * time.Second)

	stop := make(chan struct{})
	t := newTally()
	for i := range 24 {
		c := t.client(rec, f, []string{"z1", "z2", "z3"}[i%3], "gym.example")
		t.run(c, stop, 300*time.Millisecond, func() request {
			return request{method: http.MethodGet, path: "/booking/" + c.name, key: "gyms-key-1", deadline: 4 * time.Second}
		})
	}
	rec.note("clients start")
	time.Sleep(5 * time.Second)
	st.put("op/evacuate/"+zoneOut, "{}")
	acked := rec.note("evacuation of %s acknowledged", zoneOut)
	time.Sleep(7 * time.Second)
	for i, s := range old {
		if !trouble {
			break
		}
		add(fmt.Sprintf("i-new%d", i), zoneOut)
		rec.note("release: the new searcher i-new%d of %s registers", i, zoneOut)
		time.Sleep(releaseGap)
		st.remove(s.key())
		rec.note("release: the entry of %s is removed; it serves on", s.id)
	}
	time.Sleep(6 * time.Second)
	taken := rec.note("end; the evacuation was not taken back")
	close(stop)
	t.wait()
	late := map[string]int{}
	total := 0
	for _, e := range rec.all() {
		if e.kind == "ran" && where[e.where] == zoneOut && e.at > acked+evacWithin && e.at < taken {
			late[e.where]++
			total++
			if total <= 5 {
				rec.note("request %s ran at %s, %.3f s after the acknowledgement; %s", e.id, e.where, (e.at - acked).Seconds(), e.detail)
			}
		}
	}
	var parts []string
	for id, n := range late {
		parts = append(parts, fmt.Sprintf("%s: %d", id, n))
	}
	rec.note("requests that searchers of %s ran later than %v after the acknowledgement: %d (%s)", zoneOut, evacWithin, total, strings.Join(parts, ", "))
	rec.note("answers by status: %v", t.byStatus())
	return total > 0
}
