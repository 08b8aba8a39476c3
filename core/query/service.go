package query

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
)

const (
	versionsTTL           = 10 * time.Second       // a shard's index versions are probed again when no reply confirmed them for this long
	versionsCheckInterval = time.Second            // between two searches for expired versions
	minDemotion           = 500 * time.Millisecond // after a failure; doubled with each further one
	maxRecentSends        = 64
	maxDemotion           = 4 * time.Second // about the time until a dead VM leaves the view
)

// service is what this ingress knows of one service. It follows the view lazily:
// lookUpService brings it up to date.
type service struct {
	viewEpoch             uint64
	config                *config.Service
	shards                []*shard
	unavailableDependency string // a direct or indirect dependency that does not exist or has a shard without an owner; empty if there is none
	latency               *latencyTracker
	budget                hedgeBudget
	commonVersion         uint64
	commonComplete        bool // every shard with a live replica has commonVersion, and all versions are known
	snapshotCached        bool // commonVersion and commonComplete are up to date
	nextVersionsCheck     time.Time
	probedAt              time.Time // when all owners were last probed for versions; zero after a change of versions
}

// shard is what this ingress knows of one shard, shared by all queries.
type shard struct {
	id                  fleet.ShardID
	service             *service
	owners              []*shardOwner
	versionsKnown       bool     // an owner reported the versions within versionsTTL
	versions            []uint64 // index versions of ready replicas; empty means that no replica is live
	versionsConfirmedAt time.Time
}

// shardOwner is one owner of one shard, with the load that this ingress puts on it.
type shardOwner struct {
	vm          *ownerVM
	weight      int // slots of each target that the owner holds
	outstanding int
	recentSends int // sub-requests sent, for weighted turns; halved before it exceeds maxRecentSends
}

// ownerVM is what this ingress knows of a VM as an owner of shards. The VM may be this
// one.
type ownerVM struct {
	id           fleet.VMID
	departed     bool // no longer in the view
	lastSeen     time.Time
	demotedUntil time.Time // other owners are preferred until then
	demotion     time.Duration
}

// lookUpService returns the named service, up to date with the newest view, or nil if
// the configuration does not have it.
func (m *Machine) lookUpService(name string) *service {
	s, ok := m.services[name]
	if ok && s.viewEpoch == m.viewEpoch {
		return s
	}
	c, exists := m.view.Config.Service(name)
	if !exists {
		return nil
	}
	if !ok {
		s = &service{latency: newLatencyTracker(), budget: newHedgeBudget()}
		m.services[name] = s
	}
	m.refreshService(s, c)
	return s
}

func (m *Machine) refreshService(s *service, c *config.Service) {
	s.viewEpoch = m.viewEpoch
	if s.config != c {
		mapChanged := s.config != nil && s.config.PartitionMap != c.PartitionMap
		s.config = c
		s.shards = make([]*shard, len(c.Shards)) // a new slice, because running queries keep the old one
		for i := range c.Shards {
			s.shards[i] = m.lookUpShard(fleet.ShardID{Service: c.Name, Shard: c.Shards[i].Name}, s)
			s.shards[i].versionsKnown = s.shards[i].versionsKnown && !mapChanged
		}
	}
	for _, sh := range s.shards {
		m.setOwners(sh, m.view.Owners[sh.id], c.Slots)
	}
	s.snapshotCached = false
	s.unavailableDependency = m.missingDependency(c, map[string]bool{c.Name: true})
}

func (m *Machine) lookUpShard(id fleet.ShardID, s *service) *shard {
	sh, ok := m.shards[id]
	if !ok {
		sh = &shard{id: id}
		m.shards[id] = sh
	}
	sh.service = s
	return sh
}

// setOwners sets the owners of a shard and the part of each target's slots that each of
// them holds; the primary owner holds the larger part. Owners that stay keep their load.
func (m *Machine) setOwners(sh *shard, ids []fleet.VMID, slots int) {
	if slices.EqualFunc(sh.owners, ids, func(o *shardOwner, id fleet.VMID) bool { return o.vm.id == id && !o.vm.departed }) {
		for i, o := range sh.owners {
			o.weight = slotShare(slots, i, len(ids))
		}
		return
	}
	owners := make([]*shardOwner, len(ids))
	for i, id := range ids {
		at := slices.IndexFunc(sh.owners, func(o *shardOwner) bool { return o.vm.id == id && !o.vm.departed })
		if at >= 0 {
			owners[i] = sh.owners[at]
		} else {
			owners[i] = &shardOwner{vm: m.ownerVM(id)}
		}
		owners[i].weight, owners[i].recentSends = slotShare(slots, i, len(ids)), 0
	}
	sh.owners = owners
}

// slotShare returns how many of a target's slots owner i of n holds.
func slotShare(slots, i, n int) int { return (slots + n - 1 - i) / n }

func (m *Machine) ownerVM(id fleet.VMID) *ownerVM {
	vm, ok := m.ownerVMs[id]
	if !ok {
		vm = &ownerVM{id: id}
		m.ownerVMs[id] = vm
	}
	return vm
}

// missingDependency returns the name of a service that c depends on, directly or not,
// and that does not exist or has a shard without an owner. It returns the empty string
// if there is none.
func (m *Machine) missingDependency(c *config.Service, visited map[string]bool) string {
	for _, name := range c.DependsOn {
		if visited[name] {
			continue
		}
		visited[name] = true
		d, ok := m.view.Config.Service(name)
		if !ok {
			return name
		}
		for i := range d.Shards {
			if len(m.view.Owners[fleet.ShardID{Service: name, Shard: d.Shards[i].Name}]) == 0 {
				return name
			}
		}
		if missing := m.missingDependency(d, visited); missing != "" {
			return missing
		}
	}
	return ""
}

// pruneServices forgets services and shards that the configuration no longer has.
func (m *Machine) pruneServices(c *config.Config) {
	keptShards := make(map[fleet.ShardID]bool)
	keptServices := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		keptServices[c.Services[i].Name] = true
		for j := range c.Services[i].Shards {
			keptShards[fleet.ShardID{Service: c.Services[i].Name, Shard: c.Services[i].Shards[j].Name}] = true
		}
	}
	for id := range m.shards {
		if !keptShards[id] {
			delete(m.shards, id)
		}
	}
	for name := range m.services {
		if !keptServices[name] {
			delete(m.services, name)
		}
	}
}

// removeDepartedOwners forgets VMs that left the view and reports whether there were
// any. Running queries may still hold owners on such a VM.
func (m *Machine) removeDepartedOwners(v *fleet.View) bool {
	present := make(map[fleet.VMID]bool, len(v.VMs))
	for i := range v.VMs {
		present[v.VMs[i].ID] = true
	}
	found := false
	for id, vm := range m.ownerVMs {
		if !present[id] {
			vm.departed, found = true, true
			delete(m.ownerVMs, id)
		}
	}
	return found
}

// markFailed demotes the VM behind other owners, each time for twice as long, up to
// maxDemotion. A failure during a demotion does not extend it.
func (vm *ownerVM) markFailed(now time.Time) {
	if now.Before(vm.demotedUntil) {
		return
	}
	vm.demotion = min(max(2*vm.demotion, minDemotion), maxDemotion)
	vm.demotedUntil = now.Add(vm.demotion)
}

// markSeen records a reply of the VM and ends its demotion.
func (m *Machine) markSeen(now time.Time, vm *ownerVM) {
	vm.lastSeen, m.lastReply = now, now
	vm.demotedUntil, vm.demotion = time.Time{}, 0
}

// pickOwner returns the owner to ask next, or nil if there is none. Owners that failed
// recently and the owner avoid come last. Among the others it picks the one with the
// fewest sub-requests in flight per slot that it holds. Equally loaded owners take turns
// in proportion to their slots, so that ingresses with little load of their own use the
// slots of both owners.
func (sh *shard) pickOwner(now time.Time, avoid *shardOwner) *shardOwner {
	var best *shardOwner
	for _, o := range sh.owners {
		if best == nil || o.preferredTo(now, best, avoid) {
			best = o
		}
	}
	return best
}

func (o *shardOwner) preferredTo(now time.Time, other, avoid *shardOwner) bool {
	if a, b := o.rank(now, avoid), other.rank(now, avoid); a != b {
		return a < b
	}
	if a, b := o.outstanding*other.weight, other.outstanding*o.weight; a != b {
		return a < b
	}
	return o.recentSends*other.weight < other.recentSends*o.weight
}

// countSend counts a sub-request sent to the owner. The counts stay small, so that an
// owner that returns after an absence does not get all work until it has caught up.
func (sh *shard) countSend(o *shardOwner) {
	o.outstanding++
	o.recentSends++
	if o.recentSends > maxRecentSends {
		for _, other := range sh.owners {
			other.recentSends /= 2
		}
	}
}

// rank orders owners for pickOwner; lower ranks are asked first.
func (o *shardOwner) rank(now time.Time, avoid *shardOwner) int {
	switch {
	case o == avoid:
		return 3
	case o.weight == 0:
		return 2
	case o.vm.departed || now.Before(o.vm.demotedUntil):
		return 1
	}
	return 0
}

// alternative returns an owner other than o that did not fail recently, or nil if there
// is none.
func (sh *shard) alternative(now time.Time, o *shardOwner) *shardOwner {
	if other := sh.pickOwner(now, o); other != nil && other != o && other.rank(now, nil) == 0 {
		return other
	}
	return nil
}

// replacement returns an owner to ask in place of o, which is unresponsive, or nil if
// there is none. Unlike alternative it accepts one that failed recently, if o is demoted
// too.
func (sh *shard) replacement(now time.Time, o *shardOwner) *shardOwner {
	if other := sh.pickOwner(now, o); other != nil && other != o && !other.vm.departed && other.rank(now, nil) <= o.rank(now, nil) {
		return other
	}
	return nil
}
