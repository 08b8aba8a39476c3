package daemon

import (
	"cmp"
	"context"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/route"
)

// reportTimeout bounds the wait for the tasks of a VM that reports its state. A
// task answers within milliseconds unless it is stuck.
const reportTimeout = 500 * time.Millisecond

// noStatus is the state of a target that has not answered a status read.
const noStatus = "no status"

// VMReport is what a VM says of itself for the status of the whole fleet.
type VMReport struct {
	Serving      bool           `json:"serving"`
	Fenced       bool           `json:"fenced"`
	Revision     uint64         `json:"revision"` // zero without a configuration
	Digest       string         `json:"digest"`
	Coordinator  fleet.VMID     `json:"coordinator"` // empty when it knows none
	Workspaces   []WorkspaceUse `json:"workspaces"`
	Groups       []GroupTargets `json:"groups"`        // of which it is a home
	NotAnswering []string       `json:"not_answering"` // tasks
}

// WorkspaceUse is what a VM holds and sees of a workspace's rate.
type WorkspaceUse struct {
	Name             string  `json:"name"`
	HeldPerSecond    float64 `json:"held_per_second"` // part of the floor and share
	OfferedPerSecond float64 `json:"offered_per_second"`
	AnsweredRatio    float64 `json:"answered_ratio"` // in the last minute; 1 without requests
}

// GroupTargets counts the targets of a group.
type GroupTargets struct {
	Service string         `json:"service"`
	Group   string         `json:"group"`
	States  map[string]int `json:"states"`
	Usable  int            `json:"usable"`
	Cold    int            `json:"cold"`
}

// report returns this VM's record, which is empty when the control task does
// not answer, and what the VM says of itself.
func (t *taskInboxes) report(ctx context.Context) (VMDump, *VMReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return reportOf(t.dump(ctx))
}

func reportOf(d *Dump) (VMDump, *VMReport) {
	r := &VMReport{NotAnswering: d.NotAnswering}
	if d.Home != nil {
		r.Groups = groupTargets(d.Home.Groups)
	}
	c := d.Control
	if c == nil {
		return VMDump{}, r
	}
	r.Serving, r.Fenced, r.Revision, r.Digest, r.Coordinator = c.Serving, c.Fenced, c.Revision, c.Digest, c.Coordinator.VM
	for _, w := range c.Workspaces {
		use := WorkspaceUse{Name: w.Name, HeldPerSecond: w.FloorRatePerSecond + w.ShareRatePerSecond, AnsweredRatio: 1}
		if d.Entry != nil {
			use.OfferedPerSecond = d.Entry.OfferedPerSecond[w.Name]
			if answered, ok := d.Entry.AnsweredRatio[w.Name]; ok {
				use.AnsweredRatio = answered
			}
		}
		r.Workspaces = append(r.Workspaces, use)
	}
	return c.VM, r
}

func groupTargets(groups []route.Dump) []GroupTargets {
	var all []GroupTargets
	for _, g := range groups {
		if !g.Home {
			continue
		}
		c := GroupTargets{Service: g.Service, Group: g.Group, States: make(map[string]int)}
		for _, t := range g.Targets {
			c.States[cmp.Or(t.State, noStatus)]++
			if t.Usable {
				c.Usable++
			}
			if t.Cold {
				c.Cold++
			}
		}
		all = append(all, c)
	}
	return all
}
