package grant

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
)

// learn brings what is known of a VM's shares in line with its report.
func (a *Allocator) learn(now time.Time, m *member, in Input) {
	r := in.Report
	switch {
	case r.Full && in.Fresh:
		a.adopt(now, m, r)
	case r.Full:
		m.synced = false
	case r.Base == 0 && a.phase.grow:
		a.dropPending(m, func(p *pending) bool { return p.base != 0 })
		a.clearConfirmed(m)
		m.synced, m.base, m.half, m.joined = true, 0, true, false
	case !m.synced || r.Base == m.base:
	default:
		i := slices.IndexFunc(m.pending, func(p pending) bool { return p.seq == r.Base })
		if m.synced = i >= 0; m.synced {
			a.confirm(m, m.pending[i])
		}
	}
}

// confirm takes over the shares of the reply p, which all tasks of the VM now
// use. Earlier replies are of no effect any more; later ones may have been
// accepted already and wait for the tasks.
func (a *Allocator) confirm(m *member, p pending) {
	a.dropPending(m, func(q *pending) bool { return q.seq <= p.seq })
	for _, h := range p.homes {
		a.setHome(m, h)
	}
	for _, c := range p.rates {
		a.setRate(m, c)
	}
	m.base, m.half, m.joined, m.ranges = p.seq, p.half, false, p.ranges
}

// setHome changes a confirmed home. Pending replies that do not change it mean
// the old value.
func (a *Allocator) setHome(m *member, h home) {
	at, found := m.home(h.group)
	old := home{group: h.group}
	if found {
		old = m.homes[at]
	}
	grp := a.groups[h.group]
	for i := range m.pending {
		p := &m.pending[i]
		if !slices.ContainsFunc(p.homes, func(x home) bool { return x.group == h.group }) {
			p.homes = append(p.homes, old)
			if found {
				grp.claim(m, old.kind, 1)
			}
		}
	}
	if found {
		grp.claim(m, old.kind, -1)
		m.homes = slices.Delete(m.homes, at, at+1)
	}
	if h.kind.of > 0 {
		grp.claim(m, h.kind, 1)
		m.homes = slices.Insert(m.homes, at, h)
	}
}

// setRate changes a confirmed part. Pending replies that do not change it mean
// the old value.
func (a *Allocator) setRate(m *member, c ratePart) {
	old := ratePart{space: c.space, parts: m.rates[c.space]}
	for i := range m.pending {
		p := &m.pending[i]
		if !slices.ContainsFunc(p.rates, func(x ratePart) bool { return x.space == c.space }) {
			p.rates = append(p.rates, old)
		}
	}
	m.rates[c.space] = c.parts
	a.recount(m, c.space)
}

// adopt takes over a complete list.
func (a *Allocator) adopt(now time.Time, m *member, r Report) {
	a.dropPending(m, func(*pending) bool { return true })
	a.clearConfirmed(m)
	for _, h := range r.ShardShares {
		g, k := a.internGroup(h.Shard), kindOf(h)
		a.setHome(m, home{group: g, kind: k})
		a.prefer(g, m, k)
		if a.groups[g].wants[k.home] == m {
			a.log.setHome(OwnerKey{Shard: h.Shard, Index: h.OwnerIndex}, m.vm.ID)
		}
	}
	for _, p := range r.Rates {
		if p.Parts > 0 {
			a.setRate(m, ratePart{space: a.internSpace(p.Workspace), parts: p.Parts})
		}
	}
	m.ranges = r.Ranges
	for i := range fleet.RangeCount {
		if r.Ranges.Has(i) {
			a.log.setRange(i, m.vm.ID)
		}
	}
	a.preferRanges(m)
	m.synced, m.base, m.half, m.joined, m.renewed = true, r.Base, false, a.phase.grow, now
	m.listedAt = a.full
}

// expire drops what has ended on every clock.
func (a *Allocator) expire(now time.Time, m *member) {
	a.dropPending(m, func(p *pending) bool { return now.Sub(p.at) >= reserve })
	if now.Sub(m.renewed) < reserve || !m.holds() {
		return
	}
	a.dropPending(m, func(*pending) bool { return true })
	a.clearConfirmed(m)
	m.synced, m.base = false, 0
}

func (a *Allocator) clearConfirmed(m *member) {
	for _, h := range slices.Clone(m.homes) {
		a.setHome(m, home{group: h.group})
	}
	for w, parts := range m.rates {
		if parts > 0 {
			a.setRate(m, ratePart{space: w})
		}
	}
	m.ranges = 0
}

func (a *Allocator) dropPending(m *member, drop func(*pending) bool) {
	if !slices.ContainsFunc(m.pending, func(p pending) bool { return drop(&p) }) {
		return
	}
	var kept, dropped []pending
	for _, p := range m.pending {
		if drop(&p) {
			dropped = append(dropped, p)
		} else {
			kept = append(kept, p)
		}
	}
	m.pending = kept
	for _, p := range dropped {
		for _, h := range p.homes {
			if h.kind.of > 0 {
				a.groups[h.group].claim(m, h.kind, -1)
			}
		}
		for _, c := range p.rates {
			a.recount(m, c.space)
		}
	}
}

// recount brings the reserved parts of one workspace up to date.
func (a *Allocator) recount(m *member, w int) {
	parts := m.rates[w]
	for _, p := range m.pending {
		for _, c := range p.rates {
			if c.space == w {
				parts = max(parts, c.parts)
			}
		}
	}
	a.spaces[w].reserved += parts - m.reserved[w]
	m.reserved[w] = parts
}

// holds reports whether the VM has confirmed any share.
func (m *member) holds() bool {
	if len(m.homes) > 0 || m.ranges != 0 {
		return true
	}
	return slices.ContainsFunc(m.rates, func(parts int) bool { return parts > 0 })
}

// idle reports whether nothing is reserved for the VM.
func (m *member) idle() bool { return len(m.pending) == 0 && !m.holds() }

// reservedRanges returns all ranges that the VM may use.
func (m *member) reservedRanges() RangeSet {
	s := m.ranges
	for _, p := range m.pending {
		s |= p.ranges
	}
	return s
}

func (m *member) home(g int) (int, bool) {
	return slices.BinarySearchFunc(m.homes, g, func(h home, g int) int { return h.group - g })
}
