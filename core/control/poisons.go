package control

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
)

const (
	maxPoisons    = 64 // blocked request contents; the ones that end first are dropped
	maxPoisonTime = 10 * time.Minute
)

// poisons holds the request contents that are blocked fleet-wide.
type poisons struct {
	until map[fleet.Fingerprint]time.Time
	sum   uint64
}

// poisoned takes a fingerprint from this VM's own targets and tells the others.
func (m *Machine) poisoned(now time.Time, ev PoisonReported) {
	until := ev.Until
	if limit := now.Add(maxPoisonTime); until.After(limit) {
		until = limit
	}
	if until.After(m.poisons.until[ev.Fingerprint]) && until.After(now) {
		m.poisons.until[ev.Fingerprint] = until
		m.poisons.trim()
		m.needView = true
		m.announce(now)
	}
}

// blocked takes fingerprints from a peer. A known one keeps its end, so that
// the time a message takes does not prolong it again and again.
func (m *Machine) blocked(now time.Time, list []PoisonBlock) {
	added := false
	for _, b := range list {
		_, known := m.poisons.until[b.Fingerprint]
		if !known && b.Remaining > 0 && b.Remaining <= maxPoisonTime {
			m.poisons.until[b.Fingerprint] = now.Add(b.Remaining)
			added = true
		}
	}
	if added {
		m.poisons.trim()
		m.needView = true
	}
}

// expire drops blocks that have ended.
func (p *poisons) expire(now time.Time) {
	before := len(p.until)
	maps.DeleteFunc(p.until, func(_ fleet.Fingerprint, until time.Time) bool { return !until.After(now) })
	if len(p.until) != before {
		p.trim()
	}
}

// trim keeps the blocks that last longest and computes the sum.
func (p *poisons) trim() {
	for len(p.until) > maxPoisons {
		delete(p.until, p.sorted()[0])
	}
	p.sum = 0
	for f := range p.until {
		p.sum ^= binary.BigEndian.Uint64(f[:8])
	}
}

// sorted returns the fingerprints, the one whose block ends first at the front.
func (p *poisons) sorted() []fleet.Fingerprint {
	return slices.SortedFunc(maps.Keys(p.until), func(a, b fleet.Fingerprint) int {
		if c := p.until[a].Compare(p.until[b]); c != 0 {
			return c
		}
		return bytes.Compare(a[:], b[:])
	})
}

// list is what a peer that knows other blocks is told.
func (p *poisons) list(now time.Time) []PoisonBlock {
	var list []PoisonBlock
	for _, f := range p.sorted() {
		list = append(list, PoisonBlock{Fingerprint: f, Remaining: p.until[f].Sub(now)})
	}
	return list
}
