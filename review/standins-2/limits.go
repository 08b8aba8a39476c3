package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// limitClients is the number of clients, each with one connection that it keeps.
const limitClients = 48

// playLimits raises MaxBodyBytes while clients keep their connections.
func playLimits(p *play) (bool, error) {
	base := searcherConfig{service: poolService, slots: 6, queue: 12, maxConns: 110, work: 10 * time.Millisecond}
	var all []searcherConfig
	for i := range 4 {
		c := base
		c.zone = fmt.Sprintf("z%d", i%2)
		all = append(all, c)
	}
	c := poolConfig("non_idempotent", 1, service{MaxConnections: 110, WarmupS: 3})
	const before, after = 64 << 10, 256 << 10
	if p.trouble {
		c.Limits.MaxBodyBytes = before
	}
	o, err := newPool(p, c, 4, all, nil)
	if err != nil {
		return false, err
	}
	defer o.close()
	var mu sync.Mutex
	var acked time.Time
	sent, refused, served := 0, 0, 0
	for i := range limitClients {
		o.clients.Add(1)
		go func() {
			defer o.clients.Done()
			client, m := newClient(true), o.fleet.machines[i%len(o.fleet.machines)]
			for n := 0; ; n++ {
				select {
				case <-o.cancel:
					return
				case <-time.After(400 * time.Millisecond):
				}
				mu.Lock()
				size := 20 << 10
				if !acked.IsZero() && time.Since(acked) > configApply+time.Second {
					size = 150 << 10
				}
				mu.Unlock()
				id := newRequestID()
				p.record.add("%s of %d bytes sent to %s", id, size, m.name)
				a := call(client, m, http.MethodPost, fmt.Sprintf("%s%d-%d", poolPrefix, i, n), id, make([]byte, size), 3*time.Second)
				p.record.add("%s answered %d %s", id, a.status, a.text)
				mu.Lock()
				sent++
				switch {
				case a.status == 200:
					served++
				case a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 && !a.sealed:
					refused++
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(4 * time.Second)
	c.Version, c.Limits.MaxBodyBytes = 7, after
	at := o.store.put(configKey, c)
	p.record.say("the configuration of version 7 with MaxBodyBytes %d is acknowledged", after)
	mu.Lock()
	acked = at
	mu.Unlock()
	time.Sleep(15 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	allowed := 5 + float64(sent)/500
	p.record.say("%d requests sent, %d served, %d refused with a 4xx of the system's own; %.1f are allowed", sent, served, refused, allowed)
	return float64(refused) > allowed, nil
}
