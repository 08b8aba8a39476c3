package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"time"
)

// rename plays a configuration that gives a tenant another name and keeps its keys,
// while that tenant sends many times its usual. With TROUBLE=0 the same version keeps
// the name.
func rename(rec *recorder, root string, trouble bool) bool {
	const (
		usualClients = 36
		hotFactor    = 7 // hot_tenant of the sites has x = 7.5 at most
		hotFor       = 6500 * time.Millisecond
	)
	st := newStore()
	zones := []string{"z1", "z2", "z3"}
	mu := newGuard()
	rng := rand.New(rand.NewSource(1))
	work := func(string) time.Duration {
		mu.lock()
		defer mu.unlock()
		return time.Duration((0.5 + rng.Float64()) * float64(90*time.Millisecond))
	}
	for i := range 6 {
		s := newSearcher(rec, fmt.Sprintf("i-gym%d", i), "gym-portal", zones[i%3], 3, 12, work)
		st.put(s.key(), s.entry("ready"))
	}
	conf := config{Version: 3, Limits: usualLimits,
		Routes:   []route{{Name: "gym-booking", Host: "gym.example", Prefix: "/booking/", Kind: "idempotent", TimeoutMs: 4000, TargetLatencyMs: 400, MaxAttempts: 2, Priority: 2, Service: "gym-portal"}},
		Services: []serviceConfig{{Name: "gym-portal", HealthPath: "/health", MaxConnections: 110}},
		Tenants:  []tenant{{Name: "league", ApiKeys: []string{"league-key-1"}, RatePerS: 500, Burst: 250}}}
	st.put("op/config", conf.json())
	f := newFleet(rec, root, st.address, []string{"z1", "z2", "z3", "z1"})
	defer f.close()
	f.start()
	time.Sleep(4 * time.Second)

	stop, cool := make(chan struct{}), make(chan struct{})
	t := newTally()
	startClients := func(n int, until <-chan struct{}) {
		for i := range n {
			c := t.client(rec, f, zones[i%3], "gym.example")
			t.run(c, until, 400*time.Millisecond, func() request {
				return request{method: http.MethodGet, path: "/booking/" + c.name, key: "league-key-1", deadline: 4 * time.Second}
			})
		}
	}
	rec.note("clients start")
	startClients(usualClients, stop)
	time.Sleep(3 * time.Second)
	rec.note("the tenant sends %d times its usual for %v", hotFactor, hotFor)
	startClients(usualClients*(hotFactor-1), cool)
	time.AfterFunc(hotFor, func() { close(cool) })
	time.Sleep(3 * time.Second)
	conf.Version += 4
	if trouble {
		conf.Tenants[0].Name = "league-2027"
	}
	st.put("op/config", conf.json())
	rec.note("version %d acknowledged; the tenant's name is %s, its key is the same", conf.Version, conf.Tenants[0].Name)
	time.Sleep(5 * time.Second)
	close(stop)
	t.wait()
	denied, all := 0, len(t.answers)
	for _, a := range t.answers {
		if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
			denied++
			if denied <= 3 {
				rec.note("request %s ended with %d: %s", a.id, a.status, a.body)
			}
		}
	}
	rec.note("requests %d, ended with a 3xx or 4xx of the machines' own: %d, allowed: %d", all, denied, 5+all/500)
	rec.note("answers by status: %v", t.byStatus())
	return denied > 5+all/500
}
