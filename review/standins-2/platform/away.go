package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// storeLink is a machine's way to the store. While it is cut, its connections are reset.
type storeLink struct {
	address  string
	listener net.Listener
	to       string

	mu    guard
	cut   bool
	conns map[net.Conn]bool
}

func newStoreLink(to string) (*storeLink, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &storeLink{mu: newGuard(), address: l.Addr().String(), listener: l, to: to, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(c)
		}
	}()
	return k, nil
}

func (k *storeLink) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	if cut {
		for c := range k.conns {
			reset(c)
		}
	}
}

func (k *storeLink) forward(c net.Conn) {
	k.mu.Lock()
	cut := k.cut
	k.conns[c] = true
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.conns, c)
		k.mu.Unlock()
	}()
	if cut {
		reset(c)
		return
	}
	s, err := net.Dial("tcp4", k.to)
	if err != nil {
		reset(c)
		return
	}
	ended := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{c, s}, {s, c}} {
		go func() {
			b := make([]byte, 32<<10)
			for {
				n, err := pair[0].Read(b)
				if err != nil {
					break
				}
				if _, err := pair[1].Write(b[:n]); err != nil {
					break
				}
			}
			ended <- struct{}{}
		}()
	}
	<-ended
	_ = c.Close()
	_ = s.Close()
}

const (
	awayMachines  = 9
	cutMachines   = 3
	cutTime       = 5500 * time.Millisecond
	awayRounds    = 5
	roundTime     = 13 * time.Second
	awaySearchers = 34
	drainBound    = 3 * time.Second // DrainMs
	leaverServes  = 6 * time.Second // for which a searcher serves after its entry is removed
)

// leaveAfter are the times at which entries are removed in a round, and cutAfter that at
// which the machines are cut off.
var leaveAfter = []time.Duration{
	0, 20 * time.Millisecond, 40 * time.Millisecond, 60 * time.Millisecond, 80 * time.Millisecond, 100 * time.Millisecond,
}

const cutAfter = 370 * time.Millisecond

// playAway removes searchers, which never report draining, while three machines are cut
// off the store.
func playAway(p *play) (bool, error) {
	base := searcherConfig{service: poolService, slots: 3, queue: 12, maxConns: 110, work: 15 * time.Millisecond}
	var all []searcherConfig
	for i := range awaySearchers {
		c := base
		c.zone = fmt.Sprintf("z%d", i%2)
		all = append(all, c)
	}
	o, err := newPool(p, poolConfig("idempotent", 2, service{MaxConnections: 110, WarmupS: 3}), awayMachines, all, nil)
	if err != nil {
		return false, err
	}
	defer o.close()
	o.load(40, 50*time.Millisecond, http.MethodGet, poolPrefix)
	time.Sleep(6 * time.Second)
	removed := make(map[string]time.Time)
	for round := range awayRounds {
		begin := time.Now()
		var leavers []*searcher
		for _, wait := range leaveAfter {
			time.Sleep(wait - time.Since(begin))
			o.mu.Lock()
			s := o.searchers[0]
			o.searchers = o.searchers[1:]
			o.mu.Unlock()
			removed[s.id] = time.Now()
			s.leave()
			leavers = append(leavers, s)
			p.record.say("the entry of %s is removed", s.id)
		}
		time.Sleep(cutAfter - time.Since(begin))
		if p.trouble {
			for _, m := range o.fleet.machines[:cutMachines] {
				m.disturb(true)
				m.link.setCut(true)
			}
			p.record.say("round %d: %d machines are cut off the store", round+1, cutMachines)
		}
		time.Sleep(cutTime - time.Since(begin))
		if p.trouble {
			for _, m := range o.fleet.machines[:cutMachines] {
				m.link.setCut(false)
				m.disturb(false)
			}
		}
		for _, s := range leavers {
			if _, err := o.addSearcher(s.withFreeAddress(), "", true, nil); err != nil {
				return false, err
			}
		}
		time.Sleep(roundTime - time.Since(begin))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	late, longest := 0, time.Duration(0)
	for _, a := range o.seen {
		at, gone := removed[a.searcher.id]
		if !gone || a.at.Sub(at) <= drainBound {
			continue
		}
		m := o.sentTo[a.request]
		if m == nil || !m.inTouch(a.at) {
			continue
		}
		p.record.add("%s reached %s from %s %.3f s after the removal", a.request, a.searcher.id, m.name, a.at.Sub(at).Seconds())
		late++
		longest = max(longest, a.at.Sub(at))
	}
	p.record.say("%d requests of machines in touch reached searchers later than DrainMs after their removal, the latest after %.3f s", late, longest.Seconds())
	return late > 0, nil
}

// leave removes the entry of a searcher, which serves on for a while and then ends.
func (s *searcher) leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.store.remove(s.key())
	time.AfterFunc(leaverServes, func() { s.crash("it has left") })
}

// withFreeAddress returns the configuration for a searcher at another address.
func (s *searcher) withFreeAddress() searcherConfig {
	c := s.searcherConfig
	c.address = ""
	return c
}
