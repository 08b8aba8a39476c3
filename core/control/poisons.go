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
	maxPoisonBlocks  = 64 // beyond this the blocks that end first are dropped
	maxBlockDuration = 10 * time.Minute
)

// poisonBlocks holds the request contents that are blocked fleet-wide.
type poisonBlocks struct {
	until    map[fleet.Fingerprint]time.Time // end of each block
	checksum uint64                          // of the blocked fingerprints, whatever their ends
}

// handlePoisonReport blocks a content that crashed this VM's own targets, for at
// most maxBlockDuration, and announces it.
func (m *Machine) handlePoisonReport(now time.Time, ev PoisonReported) {
	until := ev.Until
	if limit := now.Add(maxBlockDuration); until.After(limit) {
		until = limit
	}
	if until.After(m.poisonBlocks.until[ev.Fingerprint]) && until.After(now) {
		m.poisonBlocks.until[ev.Fingerprint] = until
		m.poisonBlocks.trim()
		m.needView = true
		m.announce(now)
	}
}

// addBlocks adds the blocks that a peer reports. A known one keeps its end, so that
// the transit time of messages does not prolong it again and again.
func (m *Machine) addBlocks(now time.Time, list []PoisonBlock) {
	added := false
	for _, b := range list {
		_, known := m.poisonBlocks.until[b.Fingerprint]
		if !known && b.Remaining > 0 && b.Remaining <= maxBlockDuration {
			m.poisonBlocks.until[b.Fingerprint] = now.Add(b.Remaining)
			added = true
		}
	}
	if added {
		m.poisonBlocks.trim()
		m.needView = true
	}
}

// expire drops blocks that have ended.
func (p *poisonBlocks) expire(now time.Time) {
	before := len(p.until)
	maps.DeleteFunc(p.until, func(_ fleet.Fingerprint, until time.Time) bool { return !until.After(now) })
	if len(p.until) != before {
		p.trim()
	}
}

// trim keeps the blocks that last longest and computes the checksum.
func (p *poisonBlocks) trim() {
	for len(p.until) > maxPoisonBlocks {
		delete(p.until, p.byExpiry()[0])
	}
	p.checksum = 0
	for f := range p.until {
		p.checksum ^= binary.BigEndian.Uint64(f[:8])
	}
}

// byExpiry returns the fingerprints, the one whose block ends first at the front.
func (p *poisonBlocks) byExpiry() []fleet.Fingerprint {
	return slices.SortedFunc(maps.Keys(p.until), func(a, b fleet.Fingerprint) int {
		if c := p.until[a].Compare(p.until[b]); c != 0 {
			return c
		}
		return bytes.Compare(a[:], b[:])
	})
}

// blocks returns the blocks to send to a peer whose checksum differs.
func (p *poisonBlocks) blocks(now time.Time) []PoisonBlock {
	var list []PoisonBlock
	for _, f := range p.byExpiry() {
		list = append(list, PoisonBlock{Fingerprint: f, Remaining: p.until[f].Sub(now)})
	}
	return list
}
