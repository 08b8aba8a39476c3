package daemon

import (
	"cmp"
	"context"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/route"
)

// reportTimeout bounds how long a VM waits for its tasks when it reports its
// state. A task answers within milliseconds unless it is stuck.
const reportTimeout = 500 * time.Millisecond

// noStatus is reported as the state of a target that has not answered a status
// request.
const noStatus = "no status"

// VMReport is the state of a VM as it reports it for the status of the fleet.
type VMReport struct {
	Serving      bool           `json:"serving"`
	Fenced       bool           `json:"fenced"`
	Revision     uint64         `json:"revision"` // zero without a configuration
	Digest       string         `json:"digest"`
	Coordinator  fleet.VMID     `json:"coordinator"` // empty when none is known
	Workspaces   []WorkspaceUse `json:"workspaces"`
	Shards       []ShardTargets `json:"groups"`        // shards that this VM owns
	NotAnswering []string       `json:"not_answering"` // names of tasks
}

// WorkspaceUse is the part of a workspace's rate limit that a VM holds, and the
// traffic that it sees.
type WorkspaceUse struct {
	Name             string  `json:"name"`
	HeldPerSecond    float64 `json:"held_per_second"` // this VM's part of the floor plus its share
	OfferedPerSecond float64 `json:"offered_per_second"`
	AnsweredRatio    float64 `json:"answered_ratio"` // in the last minute; 1 without requests
}

// ShardTargets counts the targets of a shard by state.
type ShardTargets struct {
	Service string         `json:"service"`
	Shard   string         `json:"group"`
	States  map[string]int `json:"states"`
	Usable  int            `json:"usable"`
	Cold    int            `json:"cold"`
}

// report returns a description of this VM, which is empty when the control task
// does not answer, and the VM's report.
func (t *taskInboxes) report(ctx context.Context) (VMDump, *VMReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return newVMReport(t.dump(ctx))
}

func newVMReport(d *Dump) (VMDump, *VMReport) {
	r := &VMReport{NotAnswering: d.NotAnswering}
	if d.Owner != nil {
		r.Shards = countTargets(d.Owner.Shards)
	}
	c := d.Control
	if c == nil {
		return VMDump{}, r
	}
	r.Serving, r.Fenced, r.Revision, r.Digest, r.Coordinator = c.Serving, c.Fenced, c.Revision, c.Digest, c.Coordinator.VM
	for _, w := range c.Workspaces {
		use := WorkspaceUse{Name: w.Name, HeldPerSecond: w.FloorRatePerSecond + w.ShareRatePerSecond, AnsweredRatio: 1}
		if d.Ingress != nil {
			use.OfferedPerSecond = d.Ingress.OfferedPerSecond[w.Name]
			if answered, ok := d.Ingress.AnsweredRatio[w.Name]; ok {
				use.AnsweredRatio = answered
			}
		}
		r.Workspaces = append(r.Workspaces, use)
	}
	return c.VM, r
}

// countTargets counts the targets of the shards that this VM owns.
func countTargets(shards []route.Dump) []ShardTargets {
	var all []ShardTargets
	for _, s := range shards {
		if !s.IsOwner {
			continue
		}
		counts := ShardTargets{Service: s.Service, Shard: s.Shard, States: make(map[string]int)}
		for _, t := range s.Targets {
			counts.States[cmp.Or(t.State, noStatus)]++
			if t.Usable {
				counts.Usable++
			}
			if t.Cold {
				counts.Cold++
			}
		}
		all = append(all, counts)
	}
	return all
}
