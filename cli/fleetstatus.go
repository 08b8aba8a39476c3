package cli

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/daemon"
)

// fleetStatus summarizes the whole fleet. The fields up to Coordinator are those of
// the VM that collected the status.
type fleetStatus struct {
	VM            daemon.VMDump            `json:"vm"`
	Serving       bool                     `json:"serving"`
	Fenced        bool                     `json:"fenced"`
	Revision      uint64                   `json:"revision"`
	Digest        string                   `json:"digest"`
	MaxVMs        int                      `json:"max_vms"`
	Coordinator   daemon.CoordinatorDump   `json:"coordinator"`
	LiveVMs       int                      `json:"live"`    // VMs that this VM counts as alive
	ResponsiveVMs int                      `json:"answers"` // VMs whose tasks all respond
	VMs           []vmStatus               `json:"vms"`     // sorted by zone, then id
	ShardOwners   []daemon.ShardOwnersDump `json:"groups"`
	Targets       []targetCount            `json:"targets"`
	Workspaces    []workspaceUsage         `json:"workspaces"`
}

// targetCount counts the targets of a service by state, each target once.
type targetCount struct {
	Service          string         `json:"service"`
	States           map[string]int `json:"states"`
	Usable           int            `json:"usable"`
	Cold             int            `json:"cold"`
	UnreportedShards int            `json:"unread_groups"` // shards without an owner that reports
}

// workspaceUsage is the rate of a workspace, the sum of the parts of it that the
// reporting VMs hold, and the sum of the rates that callers offer them.
type workspaceUsage struct {
	Name             string  `json:"name"`
	RatePerSecond    float64 `json:"rate_per_second"`
	HeldPerSecond    float64 `json:"held_per_second"` // floor rates and shares of all reporting VMs
	OfferedPerSecond float64 `json:"offered_per_second"`
	AnsweredRatio    float64 `json:"answered_ratio"` // over the last minute, weighted by offered requests; 1 without requests
}

// summarize derives the status from the state that one VM collected.
func summarize(dump *daemon.FleetDump) *fleetStatus {
	control := dump.Control
	s := &fleetStatus{
		VM: control.VM, Serving: control.Serving, Fenced: control.Fenced, Revision: control.Revision, Digest: control.Digest, MaxVMs: control.MaxVMs,
		Coordinator: control.Coordinator, LiveVMs: len(control.VMs), ShardOwners: control.Owners, Targets: countTargets(control.Owners, dump.VMs),
	}
	for _, vm := range dump.VMs {
		v := newVMStatus(&vm)
		v.Live = slices.ContainsFunc(control.VMs, func(live daemon.VMDump) bool { return live.ID == v.ID })
		if v.Responsive {
			s.ResponsiveVMs++
		}
		s.VMs = append(s.VMs, v)
	}
	slices.SortStableFunc(s.VMs, func(a, b vmStatus) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	for _, w := range control.Workspaces {
		s.Workspaces = append(s.Workspaces, sumWorkspaceUsage(&w, dump.VMs))
	}
	return s
}

// sumWorkspaceUsage sums the rates of a workspace over the VMs that report.
func sumWorkspaceUsage(w *daemon.WorkspaceDump, vms []daemon.FleetVM) workspaceUsage {
	u := workspaceUsage{Name: w.Name, RatePerSecond: w.RatePerSecond, AnsweredRatio: 1}
	answered := 0.0
	for _, vm := range vms {
		if vm.Report == nil {
			continue
		}
		for _, reported := range vm.Report.Workspaces {
			if reported.Name == w.Name {
				u.HeldPerSecond += reported.HeldPerSecond
				u.OfferedPerSecond += reported.OfferedPerSecond
				answered += reported.OfferedPerSecond * reported.AnsweredRatio
			}
		}
	}
	if u.OfferedPerSecond > 0 {
		u.AnsweredRatio = answered / u.OfferedPerSecond
	}
	return u
}

// countTargets counts the targets of each shard as its first reporting owner sees
// them. Both owners of a shard see the same targets, so a sum over them would count
// each target twice.
func countTargets(owners []daemon.ShardOwnersDump, vms []daemon.FleetVM) []targetCount {
	type reportKey struct {
		vm             fleet.VMID
		service, group string
	}
	reports := make(map[reportKey]daemon.ShardTargets)
	for _, vm := range vms {
		if vm.Report == nil {
			continue
		}
		for _, shard := range vm.Report.Shards {
			reports[reportKey{vm.ID, shard.Service, shard.Shard}] = shard
		}
	}
	var counts []targetCount
	for _, h := range owners { // sorted by service
		if len(counts) == 0 || counts[len(counts)-1].Service != h.Service {
			counts = append(counts, targetCount{Service: h.Service, States: make(map[string]int)})
		}
		i := slices.IndexFunc(h.VMs, func(id fleet.VMID) bool {
			_, ok := reports[reportKey{id, h.Service, h.Shard}]
			return ok
		})
		if i < 0 {
			counts[len(counts)-1].UnreportedShards++
			continue
		}
		counts[len(counts)-1].add(reports[reportKey{h.VMs[i], h.Service, h.Shard}])
	}
	return counts
}

func (c *targetCount) add(shard daemon.ShardTargets) {
	for state, n := range shard.States {
		c.States[state] += n
	}
	c.Usable += shard.Usable
	c.Cold += shard.Cold
}

func (s *fleetStatus) print(w io.Writer) {
	fmt.Fprintf(w, "VM             %s, zone %s, %s, %s\n", s.VM.ID, s.VM.Zone, s.VM.State, s.conditionText())
	fmt.Fprintf(w, "configuration  revision %d, digest %.12s\n", s.Revision, cmp.Or(s.Digest, noDigest))
	fmt.Fprintf(w, "coordinator    %s\n", s.coordinatorText())
	fmt.Fprintf(w, "fleet          %d of %d VMs answer\n", s.ResponsiveVMs, len(s.VMs))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintf(t, "\nZONE\tVM\tSTATE\tCONDITION\tREVISION\tDIGEST\tCOORDINATOR\t(%d of at most %d VMs)\n", s.LiveVMs, s.MaxVMs)
	for _, vm := range s.VMs {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", vm.Zone, vm.ID, vm.stateText(), vm.detailColumns())
	}
	fmt.Fprint(t, "\nSERVICE\tGROUP\tHOMES\n")
	for _, shard := range s.ShardOwners {
		fmt.Fprintf(t, "%s\t%s\t%s\n", shard.Service, shard.Shard, ownersText(shard))
	}
	fmt.Fprint(t, "\nSERVICE\tUSABLE\tCOLD\tGROUPS NOT READ\tTARGETS BY STATE\n")
	for _, c := range s.Targets {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\n", c.Service, c.Usable, c.Cold, c.UnreportedShards, statesText(c.States))
	}
	fmt.Fprint(t, "\nWORKSPACE\tRATE/S\tHELD/S\tOFFERED/S\tANSWERED\n")
	for _, u := range s.Workspaces {
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%.3f\n", u.Name, u.RatePerSecond, u.HeldPerSecond, u.OfferedPerSecond, u.AnsweredRatio)
	}
}

func (s *fleetStatus) conditionText() string { return conditionText(s.Serving, s.Fenced) }

func (s *fleetStatus) coordinatorText() string {
	if s.Coordinator.VM == "" {
		return "none"
	}
	return fmt.Sprintf("%s, %g of every limit, heard of %d ms ago", s.Coordinator.VM, s.Coordinator.Fraction, s.Coordinator.AgeMs)
}

func ownersText(shard daemon.ShardOwnersDump) string {
	var ids []string
	for _, id := range shard.VMs {
		ids = append(ids, string(id))
	}
	return cmp.Or(strings.Join(ids, ", "), "none")
}

func statesText(states map[string]int) string {
	var parts []string
	for _, state := range slices.Sorted(maps.Keys(states)) {
		parts = append(parts, fmt.Sprintf("%d %s", states[state], state))
	}
	return strings.Join(parts, ", ")
}
