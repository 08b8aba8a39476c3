package mesh

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mirror"
)

const targetConnections = 78 // connections that a target of the users' large sites accepts

// Guards against active VMs whose failure is detected late because the fleet is
// large, and against a load of heartbeats on hubs that grows with the fleet.
func TestBusyVMsAreHeardOften(t *testing.T) {
	const (
		detectionTime = 2500 * time.Millisecond
		maxPerSecond  = 2 * (80 + 65.0) // to both hubs
	)
	for _, vms := range []int{60, largeFleet()} {
		s := newSimulation(t, vms)
		s.maxConnections = targetConnections
		s.run(10 * time.Second)
		before := s.heartbeatsSent
		s.run(4 * time.Second)
		assert.Assert(t, float64(s.heartbeatsSent-before)/4 <= maxPerSecond, "%d heartbeats in 4 s", s.heartbeatsSent-before)
		v := s.vms["vm000"].view
		lost := v.Active[len(v.Active)-1].ID
		assert.Assert(t, lost != v.Hubs[0] && lost != v.Hubs[1])
		s.vms[lost].running = false
		s.run(detectionTime)
		for _, n := range v.Active {
			for _, listed := range s.vms[n.ID].view.Active {
				assert.Assert(t, n.ID == lost || listed.ID != lost, "%s sends callers to %s", n.ID, lost)
			}
		}
	}
}

// Guards against shares of a rate that add up to more than the rate when callers move
// to VMs that sent heartbeats rarely before.
func TestPartsAddUpWhenCallersMove(t *testing.T) {
	const (
		step        = 50 * time.Millisecond
		calm        = 8 * time.Second
		callers     = 12
		maxExcess   = 350 * time.Millisecond // as in a surge
		demandDecay = 5 * time.Second        // time in which demand that has ended falls to zero
	)
	for _, vms := range []int{40, 89} {
		s, excess := newSimulation(t, vms), time.Duration(0)
		s.maxConnections = targetConnections
		for at := time.Duration(0); at < 2*calm; at += step {
			if at%demandReportInterval == 0 {
				for i, id := range s.order[:2*callers] {
					rate := 0.0
					switch calledFirst := i < callers; {
					case calledFirst && at < calm, !calledFirst && at >= calm:
						rate = 10
					case calledFirst:
						rate = max(0, 10*(1-float64(at-calm)/float64(demandDecay)))
					}
					s.step(id, LocalDemand{Demand: []WorkspaceDemand{{Workspace: "a", RatePerSecond: rate}}})
				}
			}
			s.run(step)
			if sum := s.sumShares(); at > calm/2 && sum > 1 {
				excess += time.Duration((sum - 1) * float64(step))
			}
		}
		assert.Assert(t, excess <= maxExcess, "%d VMs: the shares exceed the rate by %v of it", vms, excess)
	}
}

// Guards against a read of the store by every VM that gets its first callers: its
// copy was confirmed only as often as a VM without callers needs.
func TestFirstCallersCauseNoReads(t *testing.T) {
	s := newSimulation(t, largeFleet())
	s.maxConnections = targetConnections
	s.run(10 * time.Second)
	before := s.storeCalls
	s.run(2 * time.Second)
	usual := s.storeCalls - before
	idle := s.vms[s.order[len(s.order)-1]]
	for s.now.Sub(idle.view.Confirmed) < idle.machine.idleHeartbeatInterval()*4/5 { // until its next heartbeat is nearly due
		s.run(stepInterval)
	}
	before = s.storeCalls
	for _, id := range s.order[20:60] {
		s.step(id, LocalDemand{Demand: []WorkspaceDemand{{Workspace: "a", RatePerSecond: 1}}})
	}
	s.run(2 * time.Second)
	assert.Assert(t, s.storeCalls-before <= usual+2, "%d reads of the store in 2 s, %d before", s.storeCalls-before, usual)
}

// Guards against a VM of an earlier version, which announces no interval, that counts
// as unresponsive at once, and against an announced interval so long that the loss of
// the VM is never detected.
func TestAnnouncedIntervals(t *testing.T) {
	for name, c := range map[string]struct{ interval, reachableAfter, lostAfter time.Duration }{
		"none":     {0, 1500 * time.Millisecond, 1700 * time.Millisecond},
		"its own":  {time.Second, 3900 * time.Millisecond, 4100 * time.Millisecond},
		"too long": {time.Hour, 119 * time.Second, 121 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			now := epoch
			m := New(now, Settings{Self: Node{ID: "a", Peer: "a", StartedUnixMs: 1}})
			m.Step(now, Heartbeat{Request: &HeartbeatRequest{From: Node{ID: "b", Peer: "b", StartedUnixMs: 2}, Interval: c.interval}})
			isReachable := func(after time.Duration) bool {
				for ; now.Before(epoch.Add(after)); now = now.Add(100 * time.Millisecond) {
					m.Step(now, Tick{})
				}
				m.Step(now, Tick{})
				return m.members[fleet.VMID("b")] != nil
			}
			assert.Assert(t, isReachable(c.reachableAfter))
			assert.Assert(t, !isReachable(c.lostAfter))
		})
	}
}

// Guards against a weak VM as a hub after all VMs were started together: it did not
// answer hundreds of VMs for 1.8 s, and they took all others for lost.
func TestHubsAreStrongVMs(t *testing.T) {
	s := newSimulation(t, 20)
	strong := []fleet.VMID{"vm011", "vm014"}
	s.powers = make(map[fleet.VMID]float64)
	for _, id := range s.order {
		s.powers[id] = 0.2
		if slices.Contains(strong, id) {
			s.powers[id] = 0.8
		}
		s.start(id)
	}
	s.run(4 * time.Second)
	for _, id := range s.order {
		hubs := slices.Clone(s.vms[id].view.Hubs)
		slices.Sort(hubs)
		assert.DeepEqual(t, hubs, strong)
	}
	// A VM that starts much later does not take over.
	s.powers["vm005"] = 2
	s.now = s.now.Add(seniorityStep)
	s.start("vm005")
	s.run(4 * time.Second)
	assert.Assert(t, !slices.Contains(s.vms["vm007"].view.Hubs, "vm005"))
}

// Guards against hubs that are busy with lists of all members while a whole fleet
// starts and nobody has a copy of the store: VMs that look for one need the hubs only.
func TestStartingVMsGetHubsOnly(t *testing.T) {
	m := New(epoch, Settings{Self: Node{ID: "hub", Peer: "hub", Zone: "z0", StartedUnixMs: 1, Power: 1}, Seeds: []string{"hub"}})
	beat := func(i int, revision uint64) *HeartbeatReply {
		id := fleet.VMID(fmt.Sprintf("vm%03d", i))
		r := &HeartbeatRequest{From: Node{ID: id, Peer: string(id), Zone: "z1", StartedUnixMs: 2, Power: float64(i)}, Interval: time.Second, StoreRevision: revision}
		for _, a := range m.Step(epoch, Heartbeat{Request: r}) {
			if answer, ok := a.(AnswerHeartbeat); ok {
				return answer.Reply
			}
		}
		t.Fatal("no reply")
		return nil
	}
	const vms = 100
	for i := range vms {
		assert.Assert(t, len(beat(i, 0).Nodes) <= maxLikelyHubs)
	}
	first := beat(3, 0)
	assert.Equal(t, first.Nodes[0].ID, fleet.VMID("vm099"))
	assert.Equal(t, first.NodesSeq, uint64(0))
	assert.Equal(t, len(beat(3, 7).Nodes), vms)
	m.Step(epoch, StoreRead{Sent: epoch, Update: &mirror.Update{Full: true, Revision: 9, Entries: []mirror.Entry{{Key: "config", Revision: 9}}}})
	assert.Equal(t, len(beat(3, 0).Nodes), vms)
}
