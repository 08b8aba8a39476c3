package grant

import (
	"slices"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
)

// maxOwners is the maximum number of owners of a shard.
const maxOwners = 2

// shardState is the assignment of one shard.
type shardState struct {
	id           fleet.ShardID
	hash         uint64
	removed      bool               // no longer in the configuration, or not yet
	assigned     [maxOwners]*member // VMs that should be the owners; nil for none
	reservations []reservation
}

// reservation is a share of a shard that a VM may be using. The confirmed share
// and every pending reply that grants it count once each.
type reservation struct {
	member  *member
	portion portion
	count   int
}

// portion is a ShardShare without its shard; owners is 0 when nothing is held.
type portion struct {
	index  uint8
	owners uint8
	half   bool
}

// shardShare is a ShardShare with the index of the shard.
type shardShare struct {
	shard   int
	portion portion
}

// portionOf returns the portion of a share. It clamps an index or a number of
// owners that is out of range.
func portionOf(share ShardShare) portion {
	return portion{index: uint8(min(max(share.OwnerIndex, 0), maxOwners-1)), owners: uint8(min(max(share.OwnerCount, 1), maxOwners)), half: share.Halved}
}

func (p portion) share(id fleet.ShardID) ShardShare {
	return ShardShare{Shard: id, OwnerIndex: int(p.index), OwnerCount: int(p.owners), Halved: p.half}
}

// overlaps reports whether two VMs must not hold both portions. A sole owner of
// a shard uses the portions of all owners.
func (p portion) overlaps(other portion) bool {
	return p.owners < maxOwners || other.owners < maxOwners || p.index == other.index
}

// addReservation adds count, which may be negative, to the reservation of m.
func (s *shardState) addReservation(m *member, p portion, count int) {
	for i := range s.reservations {
		r := &s.reservations[i]
		if r.member == m && r.portion == p {
			if r.count += count; r.count == 0 {
				s.reservations = slices.Delete(s.reservations, i, i+1)
			}
			return
		}
	}
	s.reservations = append(s.reservations, reservation{member: m, portion: p, count: count})
}

func (s *shardState) hasReservation(m *member) bool {
	return slices.ContainsFunc(s.reservations, func(r reservation) bool { return r.member == m })
}

// setShards applies the shards of a configuration. A removed shard is kept until
// no VM holds it.
func (a *Allocator) setShards(c *config.Config) {
	for _, s := range a.shards {
		s.removed = true
	}
	for i := range c.Services {
		for _, shard := range c.Services[i].Shards {
			a.shards[a.internShard(fleet.ShardID{Service: c.Services[i].Name, Shard: shard.Name})].removed = false
		}
	}
	for i, s := range a.shards {
		for index, m := range s.assigned {
			if s.removed && m != nil {
				a.assign(i, index, nil)
			}
		}
	}
	a.needsAssignment = true
}

// internShard returns the index of a shard; a new one counts as removed.
func (a *Allocator) internShard(id fleet.ShardID) int {
	if i, ok := a.shardIndex[id]; ok {
		return i
	}
	i := slices.IndexFunc(a.shards, func(s *shardState) bool { return s.removed && len(s.reservations) == 0 })
	if i < 0 {
		i = len(a.shards)
		a.shards = append(a.shards, nil)
	} else {
		delete(a.shardIndex, a.shards[i].id)
		for index, m := range a.shards[i].assigned {
			if m != nil {
				a.assign(i, index, nil)
			}
		}
	}
	a.shards[i] = &shardState{id: id, hash: hashStrings(id.Service, id.Shard), removed: true}
	a.shardIndex[id] = i
	return i
}

// assign makes m the VM that should be the owner of a shard with the given
// index; nil for none.
func (a *Allocator) assign(shard, index int, m *member) {
	assigned := &a.shards[shard].assigned
	old := assigned[index]
	assigned[index] = m
	if old != nil && !slices.Contains(assigned[:], old) {
		if at, ok := slices.BinarySearch(old.assigned, shard); ok {
			old.assigned = slices.Delete(old.assigned, at, at+1)
		}
	}
	if m != nil {
		if at, ok := slices.BinarySearch(m.assigned, shard); !ok {
			m.assigned = slices.Insert(m.assigned, at, shard)
		}
	}
	if m == nil {
		a.needsAssignment = true
	}
}

// keepReportedShard assigns a reported shard to the VM that reports it, unless
// the VM assigned so far may hold it.
func (a *Allocator) keepReportedShard(shard int, m *member, p portion) {
	s := a.shards[shard]
	current := s.assigned[p.index]
	if s.removed || m.vm.State != fleet.Live || slices.Contains(s.assigned[:], m) || current != nil && s.hasReservation(current) {
		return
	}
	a.assign(shard, int(p.index), m)
}

// unassign removes all shards and ranges that are assigned to a VM.
func (a *Allocator) unassign(m *member) {
	for _, shard := range slices.Clone(m.assigned) {
		for i, owner := range a.shards[shard].assigned {
			if owner == m {
				a.assign(shard, i, nil)
			}
		}
	}
	for r, holder := range a.ranges {
		if holder == m {
			a.ranges[r] = nil
		}
	}
	a.needsAssignment = true
}

// ownerCount returns how many owners each shard has at the moment.
func (a *Allocator) ownerCount() int { return min(a.ownersPerShard, maxOwners, len(a.live)) }

// shardChanges returns the shards whose portion changes for one VM. Drops and
// reductions are never deferred, because the reply renews all that it does not
// change.
func (a *Allocator) shardChanges(m *member) []shardShare {
	var out []shardShare
	additions := 0
	visit := func(shard int, held portion) {
		next := a.nextPortion(shard, m, held)
		if next == held {
			return
		}
		if next.owners > 0 && next.half == held.half {
			if additions++; additions > maxShardChanges {
				return
			}
		}
		out = append(out, shardShare{shard: shard, portion: next})
	}
	i := 0
	for _, shard := range m.assigned {
		for ; i < len(m.shards) && m.shards[i].shard < shard; i++ {
			visit(m.shards[i].shard, m.shards[i].portion)
		}
		if i < len(m.shards) && m.shards[i].shard == shard {
			visit(shard, m.shards[i].portion)
			i++
		} else {
			visit(shard, portion{})
		}
	}
	for ; i < len(m.shards); i++ {
		visit(m.shards[i].shard, m.shards[i].portion)
	}
	return out
}

// nextPortion returns the portion that a VM which holds held is to have from now
// on.
func (a *Allocator) nextPortion(shard int, m *member, held portion) portion {
	s := a.shards[shard]
	index := slices.Index(s.assigned[:], m)
	if s.removed || !m.live || index < 0 {
		return portion{}
	}
	if a.phase.mayGrow && index < a.ownerCount() {
		next := portion{index: uint8(index), owners: uint8(a.ownerCount()), half: a.phase.half}
		if next == held || a.isFree(s, m, next) {
			return next
		}
	}
	if held.owners > 0 && a.phase.half {
		held.half = true
		if !m.halfOnly && a.renewedForOther(s, m, held) {
			return portion{}
		}
	}
	return held
}

// renewedForOther reports whether this coordinator has renewed a portion that
// overlaps with p for another VM, which may be unresponsive by now. Two VMs can
// report such portions when different halves of the fleet granted them; one half
// may renew only one of them.
func (a *Allocator) renewedForOther(s *shardState, m *member, p portion) bool {
	return slices.ContainsFunc(s.reservations, func(r reservation) bool {
		return r.member != m && p.overlaps(r.portion) && a.lastSweep.Sub(r.member.grantedAt) < reservationTTL
	})
}

// isFree reports whether no other VM may be using what p uses. Half a coordinator
// also waits until all portions that it granted as a full coordinator have been
// reduced, because the other side grants its own half.
func (a *Allocator) isFree(s *shardState, m *member, p portion) bool {
	for _, r := range s.reservations {
		if r.member == m {
			continue
		}
		if p.overlaps(r.portion) || a.phase.half && !r.portion.half {
			return false
		}
	}
	return true
}
