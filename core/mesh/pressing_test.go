package mesh

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/callers"
)

// Guards against callers that press unnoticed as each of their tries comes to another
// VM, against heartbeats that grow with them or go to VMs without callers, and against
// reports that stay when a VM is lost, is old or sees no more of them.
func TestPressingCallersReachActiveVMs(t *testing.T) {
	s := newSimulation(t, 89)
	s.maxConnections = 76
	s.run(5 * time.Second)
	active := s.vms["vm000"].view.Active
	first, second := active[len(active)-1].ID, active[len(active)-2].ID
	var many []callers.Pressing
	for i := range uint64(3 * maxPressing) {
		many = append(many, callers.Pressing{ID: i, Cost: float64(1 + i%7)})
	}
	largest := callers.Pressing{ID: 1000, Cost: 9}
	s.step(first, LocalDemand{Pressing: append(many, largest)})
	s.step(second, LocalDemand{Pressing: []callers.Pressing{{ID: 1000, Cost: 3}}})
	s.run(1500 * time.Millisecond)
	for _, v := range s.vms {
		switch isActive := slices.ContainsFunc(active, func(n Node) bool { return n.ID == v.node.ID }); {
		case isActive:
			assert.Equal(t, v.view.Pressing[0], largest)
			assert.Equal(t, len(v.view.Pressing), maxPressing)
		case !v.machine.isHub():
			assert.Equal(t, len(v.view.Pressing), 0, v.node.ID)
		}
	}
	s.step(first, LocalDemand{})
	s.vms[second].running = false
	s.run(pressingTTL + 4*time.Second)
	for _, n := range active {
		if n.ID != second {
			assert.Equal(t, len(s.vms[n.ID].view.Pressing), 0, n.ID)
		}
	}
}

// Guards against a report with far too many callers that stays in memory for as long as
// its sender is a member.
func TestReportOfTooManyPressingCallersIsNotKept(t *testing.T) {
	m, from := &Machine{}, &member{}
	m.setPressing(&from.pressing, make([]callers.Pressing, 100_000))
	assert.Equal(t, len(from.pressing), maxPressing)
	assert.Assert(t, cap(from.pressing) < 2*maxPressing, "%d", cap(from.pressing))
}
