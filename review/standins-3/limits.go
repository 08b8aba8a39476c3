package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	smallBody      = 4096
	largeBody      = 262144
	limitsClients  = 60
	configApply    = 3 * time.Second // ConfigApplyMs
	limitsInterval = 500 * time.Millisecond
	limitsBefore   = 5 * time.Second
	limitsAfter    = 10 * time.Second
)

// playLimits has clients with kept connections. With trouble, a configuration raises the
// longest body that they may send while the connections are open.
func playLimits(p *play) error {
	zones := []string{"a", "a", "b", "b", "c", "c"}
	if err := p.setUp(zones, 3); err != nil {
		return err
	}
	for i := range 6 {
		if _, err := newSearcher(p.st, p.rec, p.fleet.network+".240:0", fmt.Sprintf("i-%d", i+1), "desk", distinct(zones)[i%3], 3, 12, 20*time.Millisecond, func(run) {}); err != nil {
			return err
		}
	}
	before := smallBody
	if !p.trouble {
		before = largeBody
	}
	p.st.put("op/config", fmt.Sprintf(singleConfig, 7, "idempotent", "desk", "desk", before, 2000, 2000))
	if err := p.fleet.startAll(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	begin := time.Now()
	changeAt := begin.Add(limitsBefore)
	var mu sync.Mutex
	var all []answered
	large := make(map[string]bool) // requests whose body only the second configuration allows
	var pending sync.WaitGroup
	for k := range limitsClients {
		pending.Add(1)
		go func() {
			defer pending.Done()
			c := newClient(p, distinct(zones)[k%3])
			v := p.fleet.vms[k%len(p.fleet.vms)]
			for i := 0; time.Since(begin) < limitsBefore+limitsAfter; i++ {
				r := request{method: http.MethodPost, path: fmt.Sprintf("/book/%d-%d", k, i), key: "key1", id: fmt.Sprintf("q%d-%d", k, i), body: strings.Repeat("x", 300), deadline: 4 * time.Second}
				isLarge := time.Since(changeAt) > configApply+time.Second && i%4 == 0
				if isLarge {
					r.body = strings.Repeat("x", 50_000)
				}
				a := c.send(v.front(), r)
				mu.Lock()
				all, large[a.id] = append(all, a), isLarge
				mu.Unlock()
				time.Sleep(limitsInterval)
			}
		}()
	}
	time.Sleep(time.Until(changeAt))
	if p.trouble {
		p.st.put("op/config", fmt.Sprintf(singleConfig, 11, "idempotent", "desk", "desk", largeBody, 2000, 2000))
		p.rec.add("version 11 is acknowledged: bodies up to %d bytes instead of %d", largeBody, before)
	}
	pending.Wait()
	denied, sentLarge, statuses := 0, 0, map[int]int{}
	for _, a := range all {
		statuses[a.status]++
		if large[a.id] {
			sentLarge++
		}
		if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
			denied++
			p.rec.add("DENIED: %s was answered with %d", a.id, a.status)
		}
	}
	allowed := 5 + len(all)/500
	p.report("%d requests, %d of them with long bodies, statuses %v; %d denied, allowed %d", len(all), sentLarge, statuses, denied, allowed)
	if denied > allowed {
		return errBroken
	}
	return nil
}
