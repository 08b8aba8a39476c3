package grant

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
)

// reconcile updates what is known of a VM's shares from its report. It clears
// synced when the report does not tell which shares the VM holds.
func (a *Allocator) reconcile(now time.Time, m *member, in Input) {
	r := in.Report
	switch {
	case r.Full && in.SentDuringLeadership:
		a.adoptReport(now, m, r)
	case r.Full:
		m.synced = false
	case r.Base == 0 && a.phase.mayGrow:
		a.dropPending(m, func(p *pending) bool { return p.base != 0 })
		a.clearConfirmed(m)
		m.synced, m.base, m.halfOnly, m.foreignShares = true, 0, true, false
	case !m.synced || r.Base == m.base:
	default:
		i := slices.IndexFunc(m.pending, func(p pending) bool { return p.seq == r.Base })
		if m.synced = i >= 0; m.synced {
			a.confirm(m, m.pending[i])
		}
	}
}

// confirm makes the shares of the reply p the confirmed ones, since all tasks of
// the VM have applied them. Earlier replies have no effect any more; later ones
// may have been accepted already and not yet applied.
func (a *Allocator) confirm(m *member, p pending) {
	a.dropPending(m, func(q *pending) bool { return q.seq <= p.seq })
	for _, share := range p.shards {
		a.setConfirmedShard(m, share)
	}
	for _, part := range p.rates {
		a.setConfirmedRate(m, part)
	}
	m.base, m.halfOnly, m.foreignShares, m.ranges = p.seq, p.half, false, p.ranges
}

// setConfirmedShard changes a confirmed shard share. Pending replies that do not
// change this share imply its old value, which is added to them.
func (a *Allocator) setConfirmedShard(m *member, share shardShare) {
	at, found := m.findShard(share.shard)
	old := shardShare{shard: share.shard}
	if found {
		old = m.shards[at]
	}
	s := a.shards[share.shard]
	for i := range m.pending {
		p := &m.pending[i]
		if !slices.ContainsFunc(p.shards, func(x shardShare) bool { return x.shard == share.shard }) {
			p.shards = append(p.shards, old)
			if found {
				s.addReservation(m, old.portion, 1)
			}
		}
	}
	if found {
		s.addReservation(m, old.portion, -1)
		m.shards = slices.Delete(m.shards, at, at+1)
	}
	if share.portion.owners > 0 {
		s.addReservation(m, share.portion, 1)
		m.shards = slices.Insert(m.shards, at, share)
	}
}

// setConfirmedRate changes a confirmed part of a rate. Pending replies that do
// not change this part imply its old value, which is added to them.
func (a *Allocator) setConfirmedRate(m *member, part ratePart) {
	old := ratePart{workspace: part.workspace, parts: m.rates[part.workspace]}
	for i := range m.pending {
		p := &m.pending[i]
		if !slices.ContainsFunc(p.rates, func(x ratePart) bool { return x.workspace == part.workspace }) {
			p.rates = append(p.rates, old)
		}
	}
	m.rates[part.workspace] = part.parts
	a.updateReserved(m, part.workspace)
}

// adoptReport makes the shares of a full report the confirmed ones.
func (a *Allocator) adoptReport(now time.Time, m *member, r Report) {
	a.dropPending(m, func(*pending) bool { return true })
	a.clearConfirmed(m)
	for _, share := range r.ShardShares {
		shard, p := a.internShard(share.Shard), portionOf(share)
		a.setConfirmedShard(m, shardShare{shard: shard, portion: p})
		a.keepReportedShard(shard, m, p)
		if a.shards[shard].assigned[p.index] == m {
			a.directory.setOwner(OwnerKey{Shard: share.Shard, Index: share.OwnerIndex}, m.vm.ID)
		}
	}
	for _, p := range r.Rates {
		if p.Parts > 0 {
			a.setConfirmedRate(m, ratePart{workspace: a.internWorkspace(p.Workspace), parts: p.Parts})
		}
	}
	m.ranges = r.Ranges
	for i := range fleet.RangeCount {
		if r.Ranges.Has(i) {
			a.directory.setRange(i, m.vm.ID)
		}
	}
	a.keepReportedRanges(m)
	m.synced, m.base, m.halfOnly, m.foreignShares, m.renewedAt = true, r.Base, false, a.phase.mayGrow, now
	m.reportEpoch = a.fullSince
}

// expire drops the shares of a VM that have expired on every clock.
func (a *Allocator) expire(now time.Time, m *member) {
	a.dropPending(m, func(p *pending) bool { return now.Sub(p.sentAt) >= reservationTTL })
	if now.Sub(m.renewedAt) < reservationTTL || !m.hasShares() {
		return
	}
	a.dropPending(m, func(*pending) bool { return true })
	a.clearConfirmed(m)
	m.synced, m.base = false, 0
}

// clearConfirmed drops all confirmed shares of a VM.
func (a *Allocator) clearConfirmed(m *member) {
	for _, share := range slices.Clone(m.shards) {
		a.setConfirmedShard(m, shardShare{shard: share.shard})
	}
	for w, parts := range m.rates {
		if parts > 0 {
			a.setConfirmedRate(m, ratePart{workspace: w})
		}
	}
	m.ranges = 0
}

// dropPending drops the pending replies that drop selects, with their
// reservations.
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
		for _, share := range p.shards {
			if share.portion.owners > 0 {
				a.shards[share.shard].addReservation(m, share.portion, -1)
			}
		}
		for _, part := range p.rates {
			a.updateReserved(m, part.workspace)
		}
	}
}

// updateReserved recomputes the parts of one workspace that a VM may be using:
// the maximum of the confirmed part and those of all pending replies.
func (a *Allocator) updateReserved(m *member, w int) {
	parts := m.rates[w]
	for _, p := range m.pending {
		for _, part := range p.rates {
			if part.workspace == w {
				parts = max(parts, part.parts)
			}
		}
	}
	a.workspaces[w].reserved += parts - m.reserved[w]
	m.reserved[w] = parts
}

// hasShares reports whether the VM has a confirmed share.
func (m *member) hasShares() bool {
	if len(m.shards) > 0 || m.ranges != 0 {
		return true
	}
	return slices.ContainsFunc(m.rates, func(parts int) bool { return parts > 0 })
}

// idle reports whether nothing is reserved for the VM.
func (m *member) idle() bool { return len(m.pending) == 0 && !m.hasShares() }

// reservedRanges returns all ranges that the VM may be using.
func (m *member) reservedRanges() RangeSet {
	s := m.ranges
	for _, p := range m.pending {
		s |= p.ranges
	}
	return s
}

// findShard returns the position of a shard in m.shards, and whether it is there.
func (m *member) findShard(shard int) (int, bool) {
	return slices.BinarySearchFunc(m.shards, shard, func(share shardShare, shard int) int { return share.shard - shard })
}
