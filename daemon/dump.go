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

// Dump is the state of one process, one part a task. Each part is consistent
// in itself; the parts are not taken at the same moment. The part of a task that
// does not answer is missing.
type Dump struct {
	NotAnswering []string     `json:"not_answering"` // names of the parts that are missing
	Control      *ControlDump `json:"control,omitempty"`
	Entry        *EntryDump   `json:"entry,omitempty"`
	Home         *HomeDump    `json:"home,omitempty"`
}

// ControlDump is the state of the control task: the VM's view of the fleet and
// the shares that it holds.
type ControlDump struct {
	VM          VMDump          `json:"vm"`
	Serving     bool            `json:"serving"`
	Fenced      bool            `json:"fenced"`
	Revision    uint64          `json:"revision"` // zero without a configuration
	Digest      string          `json:"digest"`
	MaxVMs      int             `json:"max_vms"`
	Coordinator CoordinatorDump `json:"coordinator"`
	VMs         []VMDump        `json:"vms"`
	Missing     []VMDump        `json:"missing"` // belong to the fleet and are not live
	Homes       []HomesDump     `json:"homes"`
	IDHolders   []fleet.VMID    `json:"id_holders"` // holder of each range of request ids; empty entries have none
	Workspaces  []WorkspaceDump `json:"workspaces"`
	Generation  uint64          `json:"generation"` // of the shares
	GroupShares []ShareDump     `json:"group_shares"`
	Ranges      []RangeDump     `json:"ranges"`
	Blocked     int             `json:"blocked"` // request contents that crashed targets
}

// VMDump is one VM as this one sees it.
type VMDump struct {
	ID        fleet.VMID    `json:"id"`
	Zone      string        `json:"zone"`
	PeerURL   string        `json:"peer"`
	CallerURL string        `json:"caller"`
	State     fleet.VMState `json:"state"`
}

// CoordinatorDump is the coordinator that this VM knows.
type CoordinatorDump struct {
	VM       fleet.VMID `json:"vm"`       // empty when there is none
	Fraction float64    `json:"fraction"` // of every limit that it divides
	AgeMs    int64      `json:"age_ms"`   // since it said so itself
}

// HomesDump are the homes of one group, first home first.
type HomesDump struct {
	Service string       `json:"service"`
	Group   string       `json:"group"`
	VMs     []fleet.VMID `json:"vms"`
}

// WorkspaceDump is a workspace of the text and this VM's share of it, which it
// holds beside its part of the floor.
type WorkspaceDump struct {
	Name               string  `json:"name"`
	RatePerSecond      float64 `json:"rate_per_second"`
	Burst              float64 `json:"burst"`
	FloorRatePerSecond float64 `json:"floor_rate_per_second"`
	ShareRatePerSecond float64 `json:"share_rate_per_second"`
	ShareBurst         float64 `json:"share_burst"`
	ShareExpiresMs     int64   `json:"share_expires_ms"`
}

// ShareDump is this VM's share of the targets of one group.
type ShareDump struct {
	Service     string `json:"service"`
	Group       string `json:"group"`
	Home        int    `json:"home"`
	Homes       int    `json:"homes"`
	Half        bool   `json:"half"`
	Slots       int    `json:"slots"`
	ColdSlots   int    `json:"cold_slots"`
	Connections int    `json:"connections"`
	ExpiresMs   int64  `json:"expires_ms"`
}

// RangeDump is a range of request ids that this VM holds.
type RangeDump struct {
	Range     int   `json:"range"`
	TenureMs  int64 `json:"tenure_ms"`
	ExpiresMs int64 `json:"expires_ms"`
}

// controlDump translates a view, the known coordinator and the VMs that are
// missing.
func controlDump(v *fleet.View, c control.CoordinatorClaim, missing []fleet.VM, now time.Time) ControlDump {
	d := ControlDump{
		VM: vmDump(v.Self), Serving: v.Serving, Fenced: v.FencedAt(now), Coordinator: coordinatorDump(c),
		IDHolders: v.RangeHolders, Generation: v.Generation, Blocked: len(v.PoisonedUntil), Homes: homesDump(v.Owners),
	}
	for _, vm := range v.VMs {
		d.VMs = append(d.VMs, vmDump(vm))
	}
	for _, vm := range missing {
		d.Missing = append(d.Missing, vmDump(vm))
	}
	if v.Config != nil {
		d.Revision, d.Digest, d.MaxVMs = v.Config.Revision, v.Config.Digest.String(), v.Config.Fleet.MaxVMs
		d.Workspaces = workspacesDump(v.Config, v.RateShares, now)
	}
	for _, s := range v.ShardShares {
		d.GroupShares = append(d.GroupShares, ShareDump{
			Service: s.Shard.Service, Group: s.Shard.Shard, Home: s.OwnerIndex, Homes: s.Owners, Half: s.Half,
			Slots: s.Slots, ColdSlots: s.ColdSlots, Connections: s.Connections, ExpiresMs: s.Expires.Sub(now).Milliseconds(),
		})
	}
	for _, r := range v.RangeShares {
		d.Ranges = append(d.Ranges, RangeDump{
			Range: r.Range, TenureMs: now.Sub(r.Since).Milliseconds(), ExpiresMs: r.Expires.Sub(now).Milliseconds(),
		})
	}
	return d
}

func vmDump(vm fleet.VM) VMDump {
	return VMDump{ID: vm.ID, Zone: vm.Zone, PeerURL: vm.PeerURL, CallerURL: vm.CallerURL, State: vm.State}
}

func coordinatorDump(c control.CoordinatorClaim) CoordinatorDump {
	d := CoordinatorDump{VM: c.VM.ID, AgeMs: c.Age.Milliseconds()}
	switch c.Fraction {
	case lease.Full:
		d.Fraction = 1
	case lease.Half:
		d.Fraction = 0.5
	}
	return d
}

func homesDump(homes map[fleet.ShardID][]fleet.VMID) []HomesDump {
	all := make([]HomesDump, 0, len(homes))
	for id, vms := range homes {
		all = append(all, HomesDump{Service: id.Service, Group: id.Shard, VMs: vms})
	}
	slices.SortFunc(all, func(a, b HomesDump) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Group, b.Group))
	})
	return all
}

func workspacesDump(c *config.Config, rates []fleet.RateShare, now time.Time) []WorkspaceDump {
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
