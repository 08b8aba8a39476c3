package main

import (
	"fmt"
	"maps"
	"net/http"
	"time"
)

const (
	lateSearchers = 2
	lateSlots     = 2
	lateQueue     = 1
	lateWork      = 3300 * time.Microsecond
	lateRate      = 1000 // requests per second
	lateBurst     = 4    // requests that are sent at the same moment
	lateFor       = 80 * time.Second
)

// Limits of the pages for second answers that come late: a share of the searchers, a share
// of their answers, and a time.
const (
	extraSearchers = 1 // of lateSearchers
	extraShare     = 0.04
	extraFor       = 5 * time.Second
	extraPause     = 2 * time.Second
)

// playLate has requests that may run only once at two searchers that are full at times.
// With trouble, one of them sends some of its answers a second time, late.
func playLate(p *play) error {
	zones := []string{"a", "a", "b", "b", "c", "c"}
	if err := p.setUp(zones, 3); err != nil {
		return err
	}
	tally := newOwner()
	runs := make(map[string]int)
	onRun := func(r run) {
		tally.do(func() { runs[r.request]++ })
	}
	var searchers []*searcher
	for i := range lateSearchers {
		s, err := newSearcher(p.st, p.rec, p.fleet.network+".240:0", fmt.Sprintf("i-%d", i+1), "booking", distinct(zones)[i], lateSlots, lateQueue, lateWork, onRun)
		if err != nil {
			return err
		}
		searchers = append(searchers, s)
	}
	p.st.put("op/config", fmt.Sprintf(singleConfig, 7, "non_idempotent", "booking", "booking", largeBody, 5000, 5000))
	if err := p.fleet.startAll(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	if p.trouble {
		go func() {
			for {
				p.rec.add("%d searchers begin to send %.0f%% of their answers twice", extraSearchers, extraShare*100)
				for _, s := range searchers[:extraSearchers] {
					s.sendTwice(extraShare)
				}
				select {
				case <-stop:
					return
				case <-time.After(extraFor):
				}
				for _, s := range searchers {
					s.sendTwice(0)
				}
				time.Sleep(extraPause)
			}
		}()
	}
	answers := p.sendSteadily(zones, lateRate, lateFor, lateBurst, func(i int) request {
		return request{method: http.MethodPost, path: fmt.Sprintf("/book/%d", i), key: "key1", id: fmt.Sprintf("q%d", i), body: "x", deadline: 4 * time.Second}
	})
	close(stop)
	time.Sleep(time.Second)
	tally.do(func() { runs = maps.Clone(runs) }) // what still runs counts no more
	twice, refused, statuses := 0, 0, map[int]int{}
	for _, a := range answers {
		statuses[a.status]++
		if runs[a.id] > 1 {
			twice++
			p.rec.add("BROKEN TWICE: %s ran %d times", a.id, runs[a.id])
		}
		if a.promisesNotRun() && runs[a.id] > 0 {
			refused++
			p.rec.add("BROKEN REFUSED: %s was answered with %d and ran %d times", a.id, a.status, runs[a.id])
		}
	}
	p.report("%d requests, statuses %v, %d ran twice, %d ran though refused", len(answers), statuses, twice, refused)
	if twice+refused > 0 {
		return errBroken
	}
	return nil
}
