package daemon

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/control"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/lease"
	"github.com/anvilfork/anvilfork/core/quota"
)

// Dump is the state of one process, with one part for each task. Each part is
// consistent, but the parts are not taken at the same time. The part of a task
// that does not answer in time is nil.
type Dump struct {
	NotAnswering []string     `json:"not_answering"` // names of the tasks whose parts are missing
	Control      *ControlDump `json:"control,omitempty"`
	Ingress      *IngressDump `json:"entry,omitempty"`
	Owner        *OwnerDump   `json:"home,omitempty"`
}

// ControlDump is the state of the control task: this VM's view of the fleet and
// the shares of limits that it holds.
type ControlDump struct {
	VM          VMDump            `json:"vm"`
	Serving     bool              `json:"serving"`
	Fenced      bool              `json:"fenced"`
	Revision    uint64            `json:"revision"` // zero without a configuration
	Digest      string            `json:"digest"`
	MaxVMs      int               `json:"max_vms"`
	Coordinator CoordinatorDump   `json:"coordinator"`
	VMs         []VMDump          `json:"vms"`
	Missing     []VMDump          `json:"missing"` // members of the fleet that are not live
	Owners      []ShardOwnersDump `json:"homes"`
	IDHolders   []fleet.VMID      `json:"id_holders"` // by range of request IDs; empty for a range without a holder
	Workspaces  []WorkspaceDump   `json:"workspaces"`
	Generation  uint64            `json:"generation"` // number of the current set of shares
	ShardShares []ShardShareDump  `json:"group_shares"`
	Ranges      []RangeDump       `json:"ranges"`
	Blocked     int               `json:"blocked"` // request contents that crashed targets
}

// VMDump describes one VM as the reporting VM knows it.
type VMDump struct {
	ID        fleet.VMID    `json:"id"`
	Zone      string        `json:"zone"`
	PeerURL   string        `json:"peer"`
	CallerURL string        `json:"caller"`
	State     fleet.VMState `json:"state"`
}

// CoordinatorDump describes the coordinator that this VM knows.
type CoordinatorDump struct {
	VM       fleet.VMID `json:"vm"`       // empty when no coordinator is known
	Fraction float64    `json:"fraction"` // part of every limit that the coordinator may divide
	AgeMs    int64      `json:"age_ms"`   // since the coordinator itself confirmed its role
}

// ShardOwnersDump lists the VMs that own one shard, the primary owner first.
type ShardOwnersDump struct {
	Service string       `json:"service"`
	Shard   string       `json:"group"`
	VMs     []fleet.VMID `json:"vms"`
}

// WorkspaceDump is the rate limit of a workspace and this VM's share of it. The
// share comes on top of the floor rate.
type WorkspaceDump struct {
	Name               string  `json:"name"`
	RatePerSecond      float64 `json:"rate_per_second"`
	Burst              float64 `json:"burst"`
	FloorRatePerSecond float64 `json:"floor_rate_per_second"` // rate that every VM may use without a share
	ShareRatePerSecond float64 `json:"share_rate_per_second"`
	ShareBurst         float64 `json:"share_burst"`
	ShareExpiresMs     int64   `json:"share_expires_ms"` // milliseconds from now; negative after the expiry, zero without a share
}

// ShardShareDump is this VM's share of the targets of one shard.
type ShardShareDump struct {
	Service     string `json:"service"`
	Shard       string `json:"group"`
	OwnerIndex  int    `json:"home"`        // index of this VM among the owners; 0 is the primary owner
	OwnerCount  int    `json:"homes"`       // number of owners that divide the shard; values below two mean one
	Halved      bool   `json:"half"`        // the other half belongs to the other side of a network partition
	Slots       int    `json:"slots"`       // of each target
	ColdSlots   int    `json:"cold_slots"`  // of a target that has just started
	Connections int    `json:"connections"` // to each target
	ExpiresMs   int64  `json:"expires_ms"`  // milliseconds from now; negative after the expiry
}

// RangeDump is a range of request IDs that this VM holds.
type RangeDump struct {
	Range     int   `json:"range"`
	HeldMs    int64 `json:"tenure_ms"`  // how long this VM has held the range
	ExpiresMs int64 `json:"expires_ms"` // milliseconds from now; negative after the expiry
}

// newControlDump combines a view, the known coordinator and the missing VMs.
func newControlDump(v *fleet.View, claim control.CoordinatorClaim, missing []fleet.VM, now time.Time) ControlDump {
	d := ControlDump{
		VM: newVMDump(v.Self), Serving: v.Serving, Fenced: v.FencedAt(now), Coordinator: newCoordinatorDump(claim),
		IDHolders: v.RangeHolders, Generation: v.Generation, Blocked: len(v.PoisonedUntil), Owners: newShardOwnersDumps(v.Owners),
	}
	for _, vm := range v.VMs {
		d.VMs = append(d.VMs, newVMDump(vm))
	}
	for _, vm := range missing {
		d.Missing = append(d.Missing, newVMDump(vm))
	}
	if v.Config != nil {
		d.Revision, d.Digest, d.MaxVMs = v.Config.Revision, v.Config.Digest.String(), v.Config.Fleet.MaxVMs
		d.Workspaces = newWorkspaceDumps(v.Config, v.RateShares, now)
	}
	for _, s := range v.ShardShares {
		d.ShardShares = append(d.ShardShares, ShardShareDump{
			Service: s.Shard.Service, Shard: s.Shard.Shard, OwnerIndex: s.OwnerIndex, OwnerCount: s.OwnerCount, Halved: s.Halved,
			Slots: s.Slots, ColdSlots: s.ColdSlots, Connections: s.Connections, ExpiresMs: s.Expires.Sub(now).Milliseconds(),
		})
	}
	for _, r := range v.RangeShares {
		d.Ranges = append(d.Ranges, RangeDump{
			Range: r.Range, HeldMs: now.Sub(r.Since).Milliseconds(), ExpiresMs: r.Expires.Sub(now).Milliseconds(),
		})
	}
	return d
}

func newVMDump(vm fleet.VM) VMDump {
	return VMDump{ID: vm.ID, Zone: vm.Zone, PeerURL: vm.PeerURL, CallerURL: vm.CallerURL, State: vm.State}
}

func newCoordinatorDump(c control.CoordinatorClaim) CoordinatorDump {
	d := CoordinatorDump{VM: c.VM.ID, AgeMs: c.Age.Milliseconds()}
	switch c.Fraction {
	case lease.Full:
		d.Fraction = 1
	case lease.Half:
		d.Fraction = 0.5
	}
	return d
}

// newShardOwnersDumps sorts the shards by service and name.
func newShardOwnersDumps(owners map[fleet.ShardID][]fleet.VMID) []ShardOwnersDump {
	all := make([]ShardOwnersDump, 0, len(owners))
	for id, vms := range owners {
		all = append(all, ShardOwnersDump{Service: id.Service, Shard: id.Shard, VMs: vms})
	}
	slices.SortFunc(all, func(a, b ShardOwnersDump) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard))
	})
	return all
}

func newWorkspaceDumps(c *config.Config, rates []fleet.RateShare, now time.Time) []WorkspaceDump {
	var all []WorkspaceDump
	for _, w := range c.Workspaces {
		d := WorkspaceDump{
			Name: w.Name, RatePerSecond: w.Rate, Burst: w.Burst,
			FloorRatePerSecond: quota.Floor(&w, &c.Fleet).RatePerSecond,
		}
		for _, s := range rates {
			if s.Workspace == w.Name {
				d.ShareRatePerSecond, d.ShareBurst = s.RatePerSecond, s.Burst
				d.ShareExpiresMs = s.Expires.Sub(now).Milliseconds()
			}
		}
		all = append(all, d)
	}
	return all
}
