package control

import (
	"maps"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
)

// routeCache is the part of the View that is recomputed only when the directory,
// the configuration or the live VMs change.
type routeCache struct {
	directoryDigest uint64
	config          *config.Config
	liveChecksum    uint64 // of the table of live VMs
	owners          map[fleet.ShardID][]fleet.VMID
	rangeHolders    []fleet.VMID // by range; empty where the holder is not live
	addresses       []fleet.VM   // the VMs that callers may use
}

// view returns the View to publish.
func (m *Machine) view(now time.Time) *fleet.View {
	v := &fleet.View{
		Config: m.revisions.Current(), Self: m.self, VMs: m.live,
		Fenced: m.gate.fenced, FenceAt: m.fenceAt(),
		PoisonedUntil: maps.Clone(m.poisonBlocks.until),
	}
	if v.Config == nil {
		return v
	}
	v.Serving = m.gate.open
	m.updateRoutes(v.Config)
	v.Owners, v.RangeHolders, v.Addresses = m.routes.owners, m.routes.rangeHolders, m.routes.addresses
	holder := m.hub.holder
	v.Generation = holder.Generation()
	v.ShardShares, v.RateShares, v.RangeShares = holder.ShardShares(now, v.Config), holder.RateShares(now, v.Config), holder.RangeShares(now)
	return v
}

// Coordinator returns the claim of the coordinator that this VM knows, zero
// when there is none.
func (m *Machine) Coordinator(now time.Time) CoordinatorClaim { return m.currentClaim(now) }

// MissingVMs returns the VMs that belong to the fleet and are not in a view.
func (m *Machine) MissingVMs(now time.Time, v *fleet.View) []fleet.VM {
	return m.members.Missing(now, v.VMs)
}

// updateRoutes recomputes the route cache if what it depends on has changed.
func (m *Machine) updateRoutes(c *config.Config) {
	directory := m.hub.holder.Directory()
	live := m.byID
	r := &m.routes
	if r.directoryDigest == directory.Digest() && r.config == c && r.liveChecksum == live.Checksum() {
		return
	}
	*r = routeCache{directoryDigest: directory.Digest(), config: c, liveChecksum: live.Checksum(), owners: make(map[fleet.ShardID][]fleet.VMID)}
	for _, vm := range m.live {
		if vm.State == fleet.Live {
			r.addresses = append(r.addresses, vm)
		}
	}
	for _, s := range c.Services {
		for _, sh := range s.Shards {
			id := fleet.ShardID{Service: s.Name, Shard: sh.Name}
			r.owners[id] = m.liveOwners(live, id, c.Fleet.OwnersPerShard)
		}
	}
	r.rangeHolders = make([]fleet.VMID, fleet.RangeCount)
	for i := range r.rangeHolders {
		if id := directory.RangeHolder(i); isLive(live, id) {
			r.rangeHolders[i] = id
		}
	}
}

// liveOwners returns the live owners of a shard, the primary one first.
func (m *Machine) liveOwners(live *fleet.Table, id fleet.ShardID, n int) []fleet.VMID {
	var owners []fleet.VMID
	for i := range n {
		if vm := m.hub.holder.Directory().Owner(id, i); isLive(live, vm) {
			owners = append(owners, vm)
		}
	}
	return owners
}

func isLive(live *fleet.Table, id fleet.VMID) bool {
	_, ok := live.Find(id)
	return ok
}
