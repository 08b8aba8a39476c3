package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

// tally runs clients and keeps their answers.
type tally struct {
	mu      guard
	wg      sync.WaitGroup
	answers []answer
	clients int
}

func newTally() *tally { return &tally{mu: newGuard()} }

// client returns a new client of the fleet.
func (t *tally) client(rec *recorder, f *fleet, zone, host string) *client {
	t.clients++
	c := &client{name: fmt.Sprintf("c%d", t.clients), rec: rec, zone: zone, dirs: f.directories(), host: host, rng: rand.New(rand.NewSource(int64(t.clients)))}
	c.answers = func(a answer) {
		a.machine = c.addr
		t.mu.lock()
		defer t.mu.unlock()
		t.answers = append(t.answers, a)
	}
	return c
}

func (t *tally) run(c *client, stop <-chan struct{}, think time.Duration, next func() request) {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		c.loop(stop, think, next)
	}()
}

func (t *tally) wait() { t.wg.Wait() }

func (t *tally) byStatus() map[int]int {
	t.mu.lock()
	defer t.mu.unlock()
	n := map[int]int{}
	for _, a := range t.answers {
		n[a.status]++
	}
	return n
}
