package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	poisonSearchers = 13
	poisonInterval  = 50 * time.Millisecond
	poisonFor       = 75 * time.Second
	contact         = 4 * time.Second // ContactMs
	maxLateRetries  = 3
)

// playPoison has a request that crashes each searcher that runs it, and clients that
// send it again and again to all VMs.
func playPoison(p *play) error {
	zones := []string{"a", "a", "b", "b", "c", "c", "d", "d"}
	if err := p.setUp(zones, 3); err != nil {
		return err
	}
	tally := newOwner()
	var crashes []run
	for i := range poisonSearchers {
		zone := distinct(zones)[i%4]
		s, err := newSearcher(p.st, p.rec, p.fleet.network+".240:0", fmt.Sprintf("i-%d", i+1), "desk", zone, 3, 12, 20*time.Millisecond, func(r run) {
			if r.path == poisonPath {
				tally.do(func() { crashes = append(crashes, r) })
			}
		})
		if err != nil {
			return err
		}
		s.crashTime = 2 * time.Second
	}
	p.st.put("op/config", fmt.Sprintf(singleConfig, 7, "idempotent", "desk", "desk", largeBody, 2000, 2000))
	if err := p.fleet.startAll(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	path := poisonPath
	if !p.trouble {
		path = "/harmless"
	}
	c := newClient(p, "a")
	var pending sync.WaitGroup
	sentAt := make(map[string]time.Time)
	begin := time.Now()
	for i := 0; time.Since(begin) < poisonFor; i++ {
		v := p.fleet.vms[i%len(p.fleet.vms)]
		bad, good := fmt.Sprintf("bad%d", i), fmt.Sprintf("good%d", i)
		sentAt[bad] = time.Now()
		pending.Add(2)
		go func() {
			defer pending.Done()
			c.send(v.front(), request{method: http.MethodGet, path: "/book" + path, key: "key1", id: bad, deadline: 2 * time.Second})
		}()
		go func() {
			defer pending.Done()
			c.send(v.front(), request{method: http.MethodGet, path: fmt.Sprintf("/book/%d", i), key: "key1", id: good, deadline: 2 * time.Second})
		}()
		time.Sleep(poisonInterval)
	}
	pending.Wait()
	tally.do(func() { crashes = slices.Clone(crashes) }) // later ones are not counted
	if !p.trouble {
		p.rec.add("no request crashed a searcher")
		return nil
	}
	if len(crashes) < 3 {
		return fmt.Errorf("only %d crashes", len(crashes))
	}
	third := crashes[2].at
	late := make(map[string]bool)
	for _, r := range crashes {
		if sent := sentAt[r.request]; sent.Sub(third) > contact {
			late[r.request] = true
			p.rec.add("%s, sent %.3f s after the third crash, reached searcher %s", r.request, sent.Sub(third).Seconds(), r.searcher)
		}
	}
	p.report("%d crashes; %d retries reached searchers later than %v after the third; allowed %d", len(crashes), len(late), contact, maxLateRetries)
	if len(late) > maxLateRetries {
		return errBroken
	}
	return nil
}

const largeBody = 262144 // MaxBodyBytes of the cases with one route

// singleConfig is a configuration with one route: version, kind, service twice, longest
// body, rate and burst.
const singleConfig = `{"Version":%d,"Routes":[{"Name":"r-1","Host":"h.example","Prefix":"/book/","Kind":%q,"TimeoutMs":4000,"TargetLatencyMs":400,"Priority":2,"Service":%q,"MaxAttempts":2,"Public":false}],
"Services":[{"Name":%q,"HealthPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":0.0}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":%d,"HeaderTimeoutMs":5000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"t1","ApiKeys":["key1"],"Priority":1,"RatePerS":%d,"Burst":%d}]}`
