package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"time"
)

const (
	poisonSearchers  = 8
	poisonInterval   = 250 * time.Millisecond // between two tries of the request that crashes searchers
	searcherDown     = 2500 * time.Millisecond
	machineDown      = 3 * time.Second // from the kill of a process to its next start
	killInterval     = 7 * time.Second // from one kill to the next
	maxPoisonRetries = 3               // rule BUDGET
)

// playPoison has a request crash searchers until it is blocked, then kills the process
// of one machine after the other, while the request keeps coming.
func playPoison(p *play) (bool, error) {
	var o *pool
	crashes := make(chan time.Time, 1024)
	base := searcherConfig{service: poolService, slots: 3, queue: 12, maxConns: 110, work: 20 * time.Millisecond, warmup: 0}
	var setUp func(*searcher)
	setUp = func(s *searcher) {
		s.onCrash = func(s *searcher, cause string) {
			if o.isClosing() {
				return
			}
			p.record.add("searcher %s crashed: %s", s.id, cause)
			crashes <- time.Now()
			time.Sleep(searcherDown)
			if o.isClosing() {
				return
			}
			c := s.searcherConfig
			if next, err := o.addSearcher(c, "", true, setUp); err == nil {
				p.record.add("searcher %s is back as %s", s.id, next.id)
			}
		}
	}
	var all []searcherConfig
	for i := range poisonSearchers {
		c := base
		c.zone = fmt.Sprintf("z%d", i%2)
		all = append(all, c)
	}
	o, err := newPool(p, poolConfig("non_idempotent", 1, service{MaxConnections: 110, WarmupS: 3}), 6, all, setUp)
	if err != nil {
		return false, err
	}
	defer o.close()
	o.load(8, 150*time.Millisecond, http.MethodPost, poolPrefix)
	time.Sleep(2 * time.Second)

	sentTo := make(map[string]*machine) // tries of the poison request
	done := make(chan struct{})
	var third time.Time
	go func() { // the clients that send it, one after the other
		defer close(done)
		client := newClient(false)
		for {
			select {
			case <-o.cancel:
				return
			case <-time.After(poisonInterval):
			}
			known := o.fleet.resolve(fmt.Sprintf("z%d", rand.Intn(2)))
			if len(known) == 0 {
				continue
			}
			m, id := known[rand.Intn(len(known))], newRequestID()
			o.mu.Lock()
			sentTo[id] = m
			o.mu.Unlock()
			p.record.add("%s (poison) sent to %s", id, m.name)
			a := call(client, m, http.MethodPost, poolPrefix+poisonMark, id, []byte("poison"), 3*time.Second)
			p.record.add("%s (poison) answered %d %s", id, a.status, a.text)
		}
	}()
	for n := 1; n <= 3; n++ {
		select {
		case third = <-crashes:
		case <-time.After(15 * time.Second):
			return false, fmt.Errorf("the request has crashed %d searchers only", n-1)
		}
	}
	p.record.say("the request has crashed the third searcher")
	time.Sleep(contact + time.Second)
	for _, m := range o.fleet.machines {
		begin := time.Now()
		if p.trouble {
			p.record.say("the process of %s is killed", m.name)
			if err := m.killAndRestart(machineDown); err != nil {
				return false, err
			}
			p.record.say("the process of %s is started again", m.name)
		}
		time.Sleep(killInterval - time.Since(begin))
	}
	time.Sleep(contact + 2*time.Second)

	o.mu.Lock()
	defer o.mu.Unlock()
	retries := make(map[string]bool)
	for _, a := range o.seen {
		m := sentTo[a.request]
		if m == nil || !a.poison || a.at.Sub(third) <= contact {
			continue
		}
		if !m.inTouch(a.at) {
			p.record.add("%s reached %s from %s, which was out of touch", a.request, a.searcher.id, m.name)
			continue
		}
		p.record.say("retry %s reached %s from %s, in touch, %.1f s after the third crash", a.request, a.searcher.id, m.name, a.at.Sub(third).Seconds())
		retries[a.request] = true
	}
	p.record.say("%d retries reached searchers later than ContactMs after the third crash; %d are allowed", len(retries), maxPoisonRetries)
	p.record.say("other requests: answers by status %v; %d that had run got no answer of their searcher", o.answers, o.lost)
	return len(retries) > maxPoisonRetries, nil
}
