package mesh

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mirror"
)

// largeFleet returns a number of VMs at which heartbeats alone are too slow. It is
// lower in short mode, which is used with the race detector: there 300 VMs take
// minutes.
func largeFleet() int {
	if testing.Short() {
		return 89
	}
	return 300
}

// Guards against a change that spreads only with the heartbeats of a large fleet:
// that took 5.5 s with 300 VMs, and 4 s are allowed.
func TestNewsReachesLargeFleets(t *testing.T) {
	const zones = 4
	for _, vms := range []int{60, largeFleet()} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			s := newSimulation(t, vms)
			s.run(8 * time.Second)
			for range 3 {
				clear(s.deltasSent)
				s.write("config", 2)
				s.run(500 * time.Millisecond)
				s.assertPropagated("config")
				for id, n := range s.deltasSent {
					assert.Assert(t, n <= deltaFanOut+zones, "%s sent it %d times", id, n)
				}
			}
		})
	}
}

// Guards against deltas in a small fleet, whose heartbeats are fast enough.
func TestSmallFleetsForwardNoDeltas(t *testing.T) {
	s := newSimulation(t, 25)
	for range 10 {
		s.run(time.Second)
		s.write("config", 2)
	}
	assert.Equal(t, len(s.deltasSent), 0)
}

// Guards against VMs that get no changes while their parent in the tree is gone or
// does not answer.
func TestNewsPassesVMsThatDoNotAnswer(t *testing.T) {
	vms := largeFleet()
	for name, c := range map[string]struct {
		disable func(*simulation, fleet.VMID)
		within  time.Duration
	}{
		"ended": {func(s *simulation, id fleet.VMID) { s.vms[id].running = false }, 500 * time.Millisecond},
		// Two VMs of a zone, parent and child, each cost the timeout of a call.
		"deaf": {func(s *simulation, id fleet.VMID) { s.dropsDeltas[id] = true }, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, vms)
			s.run(8 * time.Second)
			reader := s.vms["vm000"].view.Hubs[0]
			for _, id := range s.order[:12] { // the first of each zone
				if id != reader {
					c.disable(s, id)
				}
			}
			s.write("config", 2)
			s.run(c.within)
			for id, v := range s.vms {
				if v.running && !s.dropsDeltas[id] {
					assert.Equal(t, v.entries["config"], s.revision, "%s", id)
				}
			}
		})
	}
}

// Guards against a gap in the copy: deltas may arrive out of order, or twice.
func TestNewsLeavesNoGap(t *testing.T) {
	entry := func(key string, revision uint64) mirror.Entry {
		return mirror.Entry{Key: key, Revision: revision}
	}
	m := New(epoch, Settings{Self: Node{ID: "a", Peer: "a"}})
	for _, c := range []struct {
		delta Delta
		want  uint64
	}{
		{Delta{After: mirror.Version{Revision: 4}, Update: &mirror.Update{Revision: 5, Entries: []mirror.Entry{entry("x", 5)}}}, 0},
		{Delta{Update: &mirror.Update{Revision: 5, Full: true, Entries: []mirror.Entry{entry("x", 5)}}}, 5},
		{Delta{After: mirror.Version{Revision: 6}, Update: &mirror.Update{Revision: 7, Entries: []mirror.Entry{entry("x", 7)}}}, 5},
		{Delta{After: mirror.Version{Revision: 4}, Update: &mirror.Update{Revision: 6, Entries: []mirror.Entry{entry("x", 5), entry("y", 6)}}}, 6},
		{Delta{After: mirror.Version{Revision: 6}, Update: &mirror.Update{Revision: 7, Entries: []mirror.Entry{entry("x", 7)}}}, 7},
		{Delta{After: mirror.Version{Revision: 4}, Update: &mirror.Update{Revision: 6, Entries: []mirror.Entry{entry("y", 6)}}}, 7},
	} {
		m.Step(epoch, c.delta)
		assert.Equal(t, m.storeCopy.Revision(), c.want)
	}
}

// Guards against all VMs listing the store because the first listing is slow. A
// listing takes several of the few calls per second that the platform allows.
func TestSlowListingIsNotRepeatedByAll(t *testing.T) {
	const maxCalls = 40
	s := newSimulation(t, largeFleet())
	s.listingDuration = 3 * time.Second
	s.run(3 * time.Second)
	assert.Assert(t, s.storeCalls <= maxCalls, "%d reads of the store", s.storeCalls)
	s.run(2 * time.Second)
	s.assertPropagated("config")
}
