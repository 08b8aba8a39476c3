package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"time"
)

// quotaLift plays a configuration that takes the rate limit of a tenant away while
// that tenant sends many times its usual. With TROUBLE=0 the same version is written
// with the limit kept.
func quotaLift(rec *recorder, root string, trouble bool) bool {
	const (
		usualClients = 30 // of each tenant
		hotFactor    = 7  // hot_tenant of the sites has x = 7.5 at most
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
	for i := range 3 {
		s := newSearcher(rec, fmt.Sprintf("i-gym%d", i), "gym-portal", zones[i], 3, 12, work)
		st.put(s.key(), s.entry("ready"))
	}
	urgent, usual := 1, 2
	conf := config{Version: 3, Limits: usualLimits,
		Routes:   []route{{Name: "gym-booking", Host: "gym.example", Prefix: "/booking/", Kind: "idempotent", TimeoutMs: 4000, TargetLatencyMs: 400, MaxAttempts: 2, Priority: 2, Service: "gym-portal"}},
		Services: []serviceConfig{{Name: "gym-portal", HealthPath: "/health", MaxConnections: 110, WarmupS: 3, WarmupPerS: 20}},
		Tenants: []tenant{
			{Name: "league", ApiKeys: []string{"league-key-1"}, Priority: &urgent, RatePerS: 250, Burst: 125},
			{Name: "gyms", ApiKeys: []string{"gyms-key-1"}, Priority: &usual, RatePerS: 100, Burst: 50},
		}}
	st.put("op/config", conf.json())
	f := newFleet(rec, root, st.address, []string{"z1", "z2", "z3", "z1"})
	defer f.close()
	f.start()
	time.Sleep(4 * time.Second)

	stop, cool := make(chan struct{}), make(chan struct{})
	t := newTally()
	startClients := func(n int, key string, until <-chan struct{}) {
		for i := range n {
			c := t.client(rec, f, zones[i%3], "gym.example")
			t.run(c, until, 400*time.Millisecond, func() request {
				return request{method: http.MethodGet, path: "/booking/" + c.name, key: key, deadline: 4 * time.Second}
			})
		}
	}
	rec.note("clients start")
	startClients(usualClients, "gyms-key-1", stop)
	startClients(usualClients, "league-key-1", stop)
	time.Sleep(5 * time.Second)
	rec.note("the tenant league sends %d times its usual for %v", hotFactor, hotFor)
	startClients(usualClients*(hotFactor-1), "league-key-1", cool)
	time.AfterFunc(hotFor, func() { close(cool) })
	time.Sleep(2 * time.Second)
	conf.Version += 4
	if trouble {
		conf.Tenants[1].RatePerS, conf.Tenants[1].Burst = 0, 0
	}
	st.put("op/config", conf.json())
	rec.note("version %d acknowledged, RatePerS of gyms is %v (0: no limit)", conf.Version, conf.Tenants[1].RatePerS)
	time.Sleep(8 * time.Second)
	close(stop)
	t.wait()
	return judgeLost(rec, f, t)
}

// judgeLost applies the rule LOST: a machine passes a request from a kept connection
// on to a sound searcher and closes that connection without an answer, more than
// three times. No process gets a signal in the cases that use it.
func judgeLost(rec *recorder, f *fleet, t *tally) bool {
	arrived := map[string]bool{}
	for _, e := range rec.all() {
		if e.kind == "arrived" {
			arrived[e.id] = true
		}
	}
	lost := map[string]int{}
	for _, a := range t.answers {
		if a.cut && a.kept && arrived[a.id] {
			lost[a.machine]++
		}
	}
	broken := false
	for _, m := range f.machines {
		m.mu.lock()
		rec.note("%s: ended by itself %d times; requests from kept connections that were passed on and got no answer: %d", m.name, m.ends, lost[m.front()])
		m.mu.unlock()
		broken = broken || lost[m.front()] > 3
	}
	rec.note("answers by status: %v", t.byStatus())
	return broken
}
