package main

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"
)

// upload plays clients that send long bodies slowly, all within the limits of the
// configuration. With TROUBLE=0 they send the same bodies fast.
func upload(rec *recorder, root string, trouble bool) bool {
	const bodyBytes = 262144 // MaxBodyBytes
	st := newStore()
	zones := []string{"z1", "z2", "z3"}
	work := func(string) time.Duration { return 20 * time.Millisecond }
	for i := range 9 {
		s := newSearcher(rec, fmt.Sprintf("i-gym%d", i), "gym-portal", zones[i%3], 3, 12, work)
		st.put(s.key(), s.entry("ready"))
	}
	conf := config{Version: 3, Limits: usualLimits,
		Routes:   []route{{Name: "gym-booking", Host: "gym.example", Prefix: "/booking/", Kind: "non_idempotent", TimeoutMs: 5000, TargetLatencyMs: 4000, MaxAttempts: 2, Priority: 2, Service: "gym-portal"}},
		Services: []serviceConfig{{Name: "gym-portal", HealthPath: "/health", MaxConnections: 110}},
		Tenants:  []tenant{{Name: "gyms", ApiKeys: []string{"gyms-key-1"}, RatePerS: 600, Burst: 600}}}
	st.put("op/config", conf.json())
	f := newFleet(rec, root, st.address, zones[:2])
	defer f.close()
	f.start()
	time.Sleep(4 * time.Second)
	over := 50 * time.Millisecond
	if trouble {
		over = 2500 * time.Millisecond
	}
	t := newTally()
	var wg sync.WaitGroup
	rec.note("clients start")
	stop := time.Now().Add(45 * time.Second)
	for range 400 {
		c := t.client(rec, f, zones[t.clients%2], "gym.example")
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(c.rng.Int63n(int64(3 * time.Second))))
			for i := 0; time.Now().Before(stop); i++ {
				begun := time.Now()
				c.upload(fmt.Sprintf("/booking/%s-%d", c.name, i), "gyms-key-1", bodyBytes, over, 5*time.Second)
				time.Sleep(time.Until(begun.Add(2600 * time.Millisecond)))
			}
		}()
	}
	wg.Wait()
	denied, unsealed, all := 0, 0, len(t.answers)
	for _, a := range t.answers {
		switch {
		case a.status >= 200 && a.status < 300:
			want := records("gym-portal", a.id, make([]byte, bodyBytes))
			if a.header.Get("X-Anvilfork-Response-Seal") == "" || !bytes.Equal(a.body, want) {
				unsealed++
				if unsealed <= 5 {
					rec.note("request %s: %d with the seal %q and a body of %d bytes; the searcher's has %d", a.id, a.status, a.header.Get("X-Anvilfork-Response-Seal"), len(a.body), len(want))
				}
			}
		case a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429:
			denied++
			if denied <= 2 {
				rec.note("request %s ended with %d: %s", a.id, a.status, strings.TrimSpace(string(a.body)))
			}
		}
	}
	rec.note("requests %d; successes that are not the searcher's answer (MIXED): %d", all, unsealed)
	rec.note("ended with a 3xx or 4xx of the machines' own (DENIED): %d, allowed: %d", denied, 5+all/500)
	rec.note("answers by status: %v", t.byStatus())
	return unsealed > 0
}
