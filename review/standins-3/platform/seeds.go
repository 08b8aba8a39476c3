package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	seedsLimit     = 50 // requests per second, and burst, of the tenant
	seedsUsual     = 30 // requests per second that the tenant sends at first
	seedsHot       = 225
	seedsAway      = 3500 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
	seedsHotAfter  = 1500 * time.Millisecond // from the kill
	seedsUsualTime = 6 * time.Second
	seedsHotTime   = 8 * time.Second
)

// playSeeds has a tenant that sends more than its rate. With trouble, all processes are
// killed shortly before; those of the seeds are back later than the others.
func playSeeds(p *play) error {
	zones := []string{"a", "b", "c", "a", "b", "c", "d", "d"}
	const seeds = 3
	if err := p.setUp(zones, seeds); err != nil {
		return err
	}
	ran := newFirstRuns()
	for i := range 12 {
		_, err := newSearcher(p.st, p.rec, p.fleet.network+".240:0", fmt.Sprintf("i-%d", i+1), "desk", zones[i%len(zones)], 6, 12, 5*time.Millisecond, ran.add)
		if err != nil {
			return err
		}
	}
	p.st.put("op/config", fmt.Sprintf(singleConfig, 7, "idempotent", "desk", "desk", largeBody, seedsLimit, seedsLimit))
	if err := p.fleet.startAll(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	send := func(name string, perSecond int, length time.Duration) []answered {
		return p.sendSteadily(zones, perSecond, length, 1, func(i int) request {
			id := fmt.Sprintf("%s%d", name, i)
			return request{method: http.MethodGet, path: "/book/" + id, key: "key1", id: id, deadline: 2 * time.Second}
		})
	}
	all := send("usual", seedsUsual, seedsUsualTime)
	if p.trouble {
		for _, v := range p.fleet.vms {
			p.fleet.kill(v)
		}
		time.Sleep(restartDelay)
		for _, v := range p.fleet.vms[seeds:] {
			if err := p.fleet.start(v); err != nil {
				return err
			}
		}
		time.AfterFunc(seedsAway-restartDelay, func() {
			for _, v := range p.fleet.vms[:seeds] {
				if err := p.fleet.start(v); err != nil {
					p.rec.add("%s could not start: %v", v.name, err)
				}
			}
		})
	}
	time.Sleep(seedsHotAfter - restartDelay)
	all = append(all, send("hot", seedsHot, seedsHotTime)...)
	return p.checkQuota(all, ran.times(), seedsLimit, seedsLimit)
}
