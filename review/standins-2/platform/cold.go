package main

import (
	"fmt"
	"net/http"
	"sort"
	"time"
)

const (
	warmupPerS = 4.0
	coldOver   = 1.5
	coldSlack  = 5.0

	searcherOut = time.Second             // from the crash of the searcher to its next start
	storeDown   = 4500 * time.Millisecond // for which the store is down
)

// playCold crashes the searchers of one zone, which start again under the ids that they
// had, cold, while the store is down.
func playCold(p *play) (bool, error) {
	base := searcherConfig{service: poolService, slots: 6, queue: 12, maxConns: 110, work: 45 * time.Millisecond, warmup: 3 * time.Second}
	crashes := make(chan string, 64)
	setUp := func(s *searcher) {
		s.crashRate = int(3 * (warmupPerS*coldOver + coldSlack))
		s.onCrash = func(s *searcher, cause string) { crashes <- s.id + ": " + cause }
	}
	var all []searcherConfig
	for i := range 4 {
		c := base
		c.zone = fmt.Sprintf("z%d", i%2)
		all = append(all, c)
	}
	o, err := newPool(p, poolConfig("non_idempotent", 1, service{MaxConnections: 110, WarmupS: 3, WarmupPerS: warmupPerS}), 4, all, setUp)
	if err != nil {
		return false, err
	}
	defer o.close()
	o.load(32, 80*time.Millisecond, http.MethodPost, poolPrefix)
	time.Sleep(5 * time.Second)
	if p.trouble {
		o.store.setDown(true)
		p.record.say("the store is down")
		var out []*searcher
		for _, s := range o.searchers {
			if s.zone == "z0" {
				out = append(out, s)
			}
		}
		for _, s := range out {
			p.record.say("searcher %s crashes", s.id)
			s.crash("fault")
			<-crashes
		}
		time.Sleep(searcherOut)
		for _, s := range out {
			if _, err := o.addSearcher(s.searcherConfig, s.id, true, setUp); err != nil {
				return false, err
			}
			p.record.say("searcher %s is back under its id, cold for %v; it writes its entry when the store is back", s.id, base.warmup)
		}
		time.Sleep(storeDown - searcherOut)
		o.store.setDown(false)
		p.record.say("the store is back")
	}
	time.Sleep(6 * time.Second)
	for len(crashes) > 0 {
		p.record.say("crashed: %s", <-crashes)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	cold := make(map[string][]time.Time) // arrivals by searcher
	for _, a := range o.seen {
		if a.cold {
			cold[a.searcher.id] = append(cold[a.searcher.id], a.at)
		}
	}
	most := 0
	for id, at := range cold {
		n := mostInASecond(at)
		p.record.say("searcher %s got %d requests in one second while cold", id, n)
		most = max(most, n)
	}
	allowed := warmupPerS*coldOver + coldSlack
	p.record.say("%v requests in one second are allowed to a cold searcher", allowed)
	p.record.say("answers by status %v; %d that had run got no answer of their searcher", o.answers, o.lost)
	return float64(most) > allowed, nil
}

// mostInASecond returns the largest number of times within one second.
func mostInASecond(times []time.Time) int {
	sort.Slice(times, func(a, b int) bool { return times[a].Before(times[b]) })
	most := 0
	for i := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(times[i]) <= time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
