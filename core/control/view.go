package control

import (
	"maps"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
)

// routes is the part of the View that is computed again only when the
// directory, the text or the live VMs change.
type routes struct {
	directory uint64
	config    *config.Config
	live      uint64 // sum of the live VMs
	homes     map[fleet.ShardID][]fleet.VMID
	holders   []fleet.VMID
	addresses []fleet.VM
}

func (m *Machine) view(now time.Time) *fleet.View {
	v := &fleet.View{
		Config: m.order.Current(), Self: m.self, VMs: m.live,
		Fenced: m.gate.fenced, FenceAt: m.fenceAt(),
		PoisonedUntil: maps.Clone(m.poisons.until),
	}
	if v.Config == nil {
		return v
	}
	v.Serving = m.gate.open
	m.updateRoutes(v.Config)
	v.Owners, v.RangeHolders, v.Addresses = m.routes.homes, m.routes.holders, m.routes.addresses
	holder := m.hub.holder
	v.Generation = holder.Generation()
	v.ShardShares, v.RateShares, v.RangeShares = holder.ShardShares(now, v.Config), holder.RateShares(now, v.Config), holder.RangeShares(now)
	return v
}

// Coordinator returns the claim of the coordinator that this VM knows, zero
// when there is none.
func (m *Machine) Coordinator(now time.Time) CoordinatorClaim { return m.currentClaim(now) }

// MissingVMs returns the VMs that belong to the fleet and are not among those of a
// view.
func (m *Machine) MissingVMs(now time.Time, v *fleet.View) []fleet.VM {
	return m.members.Missing(now, v.VMs)
}

func (m *Machine) updateRoutes(c *config.Config) {
	directory := m.hub.holder.Directory()
	live := m.byID
	r := &m.routes
	if r.directory == directory.Digest() && r.config == c && r.live == live.Checksum() {
		return
	}
	*r = routes{directory: directory.Digest(), config: c, live: live.Checksum(), homes: make(map[fleet.ShardID][]fleet.VMID)}
	for _, vm := range m.live {
		if vm.State == fleet.Live {
			r.addresses = append(r.addresses, vm)
		}
	}
	for _, s := range c.Services {
		for _, g := range s.Shards {
			id := fleet.ShardID{Service: s.Name, Shard: g.Name}
			r.homes[id] = m.homes(live, id, c.Fleet.OwnersPerShard)
		}
	}
	r.holders = make([]fleet.VMID, fleet.RangeCount)
	for i := range r.holders {
		if id := directory.RangeHolder(i); isLive(live, id) {
			r.holders[i] = id
		}
	}
}

// homes returns the live homes of a group, first home first.
func (m *Machine) homes(live *fleet.Table, id fleet.ShardID, n int) []fleet.VMID {
	var homes []fleet.VMID
	for i := range n {
		if vm := m.hub.holder.Directory().Owner(id, i); isLive(live, vm) {
			homes = append(homes, vm)
		}
	}
	return homes
}

func isLive(live *fleet.Table, id fleet.VMID) bool {
	_, ok := live.Find(id)
	return ok
}
