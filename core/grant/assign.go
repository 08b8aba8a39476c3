package grant

import (
	"math"
	"math/bits"
	"slices"

	"github.com/anvilfork/anvilfork/core/fleet"
)

// moveDivisor bounds the moves of one rebalancing: one, plus all shard owners
// divided by moveDivisor.
const moveDivisor = 64

// assignMissing assigns a VM to every shard owner and range without one.
func (a *Allocator) assignMissing() {
	if !a.needsAssignment || len(a.live) == 0 {
		return
	}
	maxShards := a.fairShardCount()
	for shard, s := range a.shards {
		for index := range maxOwners {
			if s.removed || index >= a.ownerCount() {
				if s.assigned[index] != nil {
					a.assign(shard, index, nil)
				}
			} else if s.assigned[index] == nil {
				a.assign(shard, index, a.chooseOwner(s, index, maxShards))
			}
		}
	}
	for r := range a.ranges {
		if a.ranges[r] == nil {
			a.ranges[r] = a.chooseRangeHolder(r)
		}
	}
	a.needsAssignment = false
}

// totalOwners returns the number of owners of all configured shards.
func (a *Allocator) totalOwners() int {
	shards := 0
	for _, s := range a.shards {
		if !s.removed {
			shards++
		}
	}
	return shards * a.ownerCount()
}

// fairShardCount returns how many shards a VM may own before rebalancing moves
// some to other VMs: the average, plus 1/8 of it and one as hysteresis.
func (a *Allocator) fairShardCount() int {
	total, n := a.totalOwners(), max(len(a.live), 1)
	return (total+n-1)/n + total/(8*n) + 1
}

// chooseOwner returns the VM for one owner of a shard: a live VM that may hold
// it already, else one chosen by rendezvous hashing. VMs in another zone than
// the other owner are preferred, then VMs that own fewer than limit shards.
func (a *Allocator) chooseOwner(s *shardState, index, limit int) *member {
	other := s.assigned[1-index]
	for _, r := range s.reservations {
		if r.member.live && r.member != other && int(r.portion.index) == index {
			return r.member
		}
	}
	var best *member
	var bestRank [3]uint64
	for _, m := range a.live {
		if m == other {
			continue
		}
		rank := [3]uint64{1, 1, mix(m.hash ^ s.hash + uint64(index))}
		if other != nil && other.vm.Zone == m.vm.Zone {
			rank[0] = 0
		}
		if len(m.assigned) >= limit {
			rank[1] = 0
		}
		if best == nil || slices.Compare(rank[:], bestRank[:]) > 0 {
			best, bestRank = m, rank
		}
	}
	return best
}

// rebalance moves a few shards: away from VMs that own too many, to VMs that own
// few (they have just joined), and out of the zone of the shard's other owner.
// All other shards keep their owners.
func (a *Allocator) rebalance() {
	a.recomputeDemand()
	a.updateAdvertised()
	moves := 1 + len(a.shards)*a.ownerCount()/moveDivisor
	zones, maxShards, average := a.zoneCount(), a.fairShardCount(), a.totalOwners()/max(len(a.live), 1)
	hasUnderused := a.minShardCount() < average*3/4
	for shard, s := range a.shards {
		if moves == 0 {
			break
		}
		primary, secondary := s.assigned[0], s.assigned[1]
		moved := false
		switch {
		case s.removed || primary == nil || !a.heldAsAssigned(s):
		case secondary != nil && zones > 1 && primary.vm.Zone == secondary.vm.Zone:
			moved = a.moveOwner(shard, 1, maxShards)
		case a.overloadedOwner(s, maxShards) >= 0:
			moved = a.moveOwner(shard, a.overloadedOwner(s, maxShards), maxShards)
		case hasUnderused && a.overloadedOwner(s, average) >= 0:
			moved = a.moveOwner(shard, a.overloadedOwner(s, average), average*3/4)
			hasUnderused = a.minShardCount() < average*3/4
		}
		if moved {
			moves--
		}
	}
	a.rebalanceRanges()
}

// heldAsAssigned reports whether the assigned VMs, and no others, hold the
// shares of a shard. Owners change only then: while one owner waits for the
// share of a lost VM to expire, the other is the only way to the shard's targets.
func (a *Allocator) heldAsAssigned(s *shardState) bool {
	for index := range a.ownerCount() {
		m := s.assigned[index]
		if m == nil || !slices.ContainsFunc(s.reservations, func(r reservation) bool { return r.member == m && int(r.portion.index) == index }) {
			return false
		}
	}
	return !slices.ContainsFunc(s.reservations, func(r reservation) bool { return !slices.Contains(s.assigned[:], r.member) })
}

// overloadedOwner returns the index of an owner that owns more than limit
// shards, or -1.
func (a *Allocator) overloadedOwner(s *shardState, limit int) int {
	return slices.IndexFunc(s.assigned[:], func(m *member) bool { return m != nil && len(m.assigned) > limit })
}

// minShardCount returns the minimum number of shards that a live VM owns.
func (a *Allocator) minShardCount() int {
	fewest := math.MaxInt
	for _, m := range a.live {
		fewest = min(fewest, len(m.assigned))
	}
	return fewest
}

// moveOwner replaces an owner by the best other VM, if that puts the owners of
// the shard into different zones, or if it does not put them into the same zone
// and the VM owns fewer than limit shards. Any other move could be undone by the
// next one.
func (a *Allocator) moveOwner(shard, index, limit int) bool {
	s := a.shards[shard]
	reservations, old, other := s.reservations, s.assigned[index], s.assigned[1-index]
	s.reservations = nil // so that chooseOwner does not prefer the current holder
	next := a.chooseOwner(s, index, limit)
	s.reservations = reservations
	if next == nil || next == old {
		return false
	}
	inOtherZone := func(m *member) bool { return other == nil || other.vm.Zone != m.vm.Zone }
	separates, colocates := inOtherZone(next) && !inOtherZone(old), inOtherZone(old) && !inOtherZone(next)
	if !separates && (colocates || len(next.assigned) >= limit) {
		return false
	}
	a.assign(shard, index, next)
	return true
}

// zoneCount returns the number of zones with a live VM.
func (a *Allocator) zoneCount() int {
	zones := make(map[string]bool)
	for _, m := range a.live {
		zones[m.vm.Zone] = true
	}
	return len(zones)
}

// fairRangeCount returns how many ranges a VM may hold before rebalanceRanges
// moves one: the average, plus one as hysteresis.
func (a *Allocator) fairRangeCount() int {
	n := max(len(a.live), 1)
	return (fleet.RangeCount+n-1)/n + 1
}

func (a *Allocator) rangeCount(m *member) int {
	n := 0
	for _, holder := range a.ranges {
		if holder == m {
			n++
		}
	}
	return n
}

// chooseRangeHolder returns a live VM that may hold the range already, else the
// best one.
func (a *Allocator) chooseRangeHolder(r int) *member {
	for _, m := range a.live {
		if m.reservedRanges().Has(r) {
			return m
		}
	}
	return a.bestRangeHolder(r)
}

// bestRangeHolder chooses by rendezvous hashing, preferring VMs below the fair
// count.
func (a *Allocator) bestRangeHolder(r int) *member {
	counts := make(map[*member]int, len(a.live))
	for _, holder := range a.ranges {
		counts[holder]++
	}
	var best *member
	var bestRank [2]uint64
	for _, m := range a.live {
		rank := [2]uint64{1, mix(m.hash ^ mix(uint64(r)+1))}
		if counts[m] >= a.fairRangeCount()-1 {
			rank[0] = 0
		}
		if best == nil || slices.Compare(rank[:], bestRank[:]) > 0 {
			best, bestRank = m, rank
		}
	}
	return best
}

// rebalanceRanges moves one range at a time: the request ids of a moved range
// are refused until its new holder has held it for two seconds.
func (a *Allocator) rebalanceRanges() {
	for r, m := range a.ranges {
		if m != nil && a.rangeCount(m) > a.fairRangeCount() {
			a.ranges[r] = a.bestRangeHolder(r)
			return
		}
	}
}

// keepReportedRanges assigns reported ranges to the VM that reports them, unless
// the VM assigned so far may hold them.
func (a *Allocator) keepReportedRanges(m *member) {
	for s := m.ranges; s != 0; s &= s - 1 {
		r := bits.TrailingZeros64(uint64(s))
		current := a.ranges[r]
		if m.vm.State == fleet.Live && (current == nil || !current.reservedRanges().Has(r)) {
			a.ranges[r] = m
			a.directory.setRange(r, m.vm.ID)
		}
	}
}

// nextRanges returns the ranges that a VM holds from now on. A range cannot be
// halved: in an equal split each side keeps the ranges that its VMs hold.
func (a *Allocator) nextRanges(m *member) RangeSet {
	var out RangeSet
	for r, holder := range a.ranges {
		var holds bool
		switch {
		case !m.live:
			holds = m.ranges.Has(r) && !a.canHandOver(r, m)
		case holder == m:
			holds = m.ranges.Has(r) || a.phase.mayGrow && !a.phase.half && a.isRangeFree(r, m)
		}
		if holds {
			out |= 1 << r
		}
	}
	return out
}

// canHandOver reports whether a range is withdrawn from a leaving VM now: when
// another VM can receive it with its next heartbeat, and when no requests in the
// shards of the leaving VM can delay its confirmation.
func (a *Allocator) canHandOver(r int, m *member) bool {
	next := a.ranges[r]
	return a.phase.mayGrow && !a.phase.half && !a.resigning && next != nil && next.synced && len(m.shards) == 0
}

// isRangeFree reports whether no VM other than m may be using a range.
func (a *Allocator) isRangeFree(r int, m *member) bool {
	for _, other := range a.members {
		if other != m && other.reservedRanges().Has(r) {
			return false
		}
	}
	return true
}
