package main

import (
	"fmt"
	"sync"
	"time"
)

// pool is a store with a configuration of one service, its searchers, and a fleet.
type pool struct {
	play     *play
	store    *store
	fleet    *fleet
	arrivals chan arrival
	cancel   chan struct{}
	clients  sync.WaitGroup

	mu        guard
	searchers []*searcher
	lastID    int
	seen      []arrival
	answers   map[int]int // by status
	lost      int         // requests that ran and have no answer of their searcher
	ranIDs    map[string]int
	sentTo    map[string]*machine // by request
	closing   bool
}

func newPool(p *play, c config, machines int, searchers []searcherConfig, setUp func(*searcher)) (*pool, error) {
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	o := &pool{mu: newGuard(), play: p, store: st, arrivals: make(chan arrival, 1<<16), cancel: make(chan struct{}), answers: make(map[int]int), ranIDs: make(map[string]int), sentTo: make(map[string]*machine)}
	st.put(configKey, c)
	for _, sc := range searchers {
		if _, err := o.addSearcher(sc, "", false, setUp); err != nil {
			return nil, err
		}
	}
	go o.watchArrivals()
	if o.fleet, err = startFleet(p.root, p.dir, st.address, machines); err != nil {
		st.close()
		return nil, err
	}
	time.Sleep(time.Second) // traffic starts some seconds after the machines
	return o, nil
}

// addSearcher starts a searcher, under a new id if none is given.
func (o *pool) addSearcher(c searcherConfig, id string, cold bool, setUp func(*searcher)) (*searcher, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if id == "" {
		o.lastID++
		id = fmt.Sprintf("i-%04d", o.lastID)
	}
	s, err := startSearcher(c, id, cold, o.store, o.arrivals)
	if err != nil {
		return nil, err
	}
	if setUp != nil {
		setUp(s)
	}
	o.searchers = append(o.searchers, s)
	return s, nil
}

// watchArrivals records the arrivals.
func (o *pool) watchArrivals() {
	for a := range o.arrivals {
		word := "ran at"
		if !a.run {
			word = "rejected by"
		}
		o.play.record.addAt(a.at, "%s %s %s", a.request, word, a.searcher.id)
		o.mu.Lock()
		o.seen = append(o.seen, a)
		if a.run {
			o.ranIDs[a.request]++
		}
		o.mu.Unlock()
	}
}

// load starts clients that send one request each interval on connections that they
// keep, each to one machine at a time.
func (o *pool) load(clients int, interval time.Duration, method, prefix string) {
	for i := range clients {
		o.clients.Add(1)
		go func() {
			defer o.clients.Done()
			c := newClient(true)
			for n := 0; ; n++ {
				select {
				case <-o.cancel:
					return
				case <-time.After(interval):
				}
				all := o.fleet.machines
				m := all[(i+n/20)%len(all)]
				if !m.inTouch(time.Now()) {
					continue
				}
				id := newRequestID()
				o.mu.Lock()
				o.sentTo[id] = m
				o.mu.Unlock()
				o.play.record.add("%s sent to %s", id, m.name)
				a := call(c, m, method, fmt.Sprintf("%s%d-%d", prefix, i, n), id, []byte("x"), 3*time.Second)
				o.play.record.add("%s answered %d", id, a.status)
				o.mu.Lock()
				o.answers[a.status]++
				if a.status != 200 && o.ranIDs[id] > 0 {
					o.lost++
				}
				o.mu.Unlock()
			}
		}()
	}
}

func (o *pool) close() {
	close(o.cancel)
	o.clients.Wait()
	o.mu.Lock()
	o.closing = true
	all := o.searchers
	o.mu.Unlock()
	o.fleet.kill()
	for _, s := range all {
		s.crash("end")
	}
	o.store.close()
}

func (o *pool) isClosing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closing
}
