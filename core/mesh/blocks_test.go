package mesh

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
)

const poisonFingerprint = 9

// countCrashes makes a VM report the number of targets that the poison request has
// crashed there.
func (s *simulation) countCrashes(id fleet.VMID, count uint32) {
	s.step(id, LocalDemand{Crashes: []Crash{{Fingerprint: poisonFingerprint, Count: count}}})
}

// assertBlocked checks whether the poison request is blocked on all running VMs.
func (s *simulation) assertBlocked(want bool, when string) {
	s.t.Helper()
	for _, id := range s.order {
		if v := s.vms[id]; v.running && !s.partitioned[id] && !s.frozen[id] {
			assert.Equal(s.t, v.view.Blocked[poisonFingerprint], want, "%s: %s", when, id)
		}
	}
}

func (s *simulation) kill(ids ...fleet.VMID) {
	for _, id := range ids {
		s.vms[id].running = false
	}
}

// blockFleets are numbers of VMs, with large fleets unless the tests are short.
func blockFleets() []int {
	if testing.Short() {
		return []int{3, 6}
	}
	return []int{3, 6, 98, 295}
}

// Guards against a block that ends with the VMs that counted the crashes: the request was
// passed on again and crashed further targets.
func TestFaultBlockOutlastsTheVMsThatCounted(t *testing.T) {
	harms := map[string]func(s *simulation, id fleet.VMID, on bool){
		"killed":  func(s *simulation, id fleet.VMID, on bool) { s.vms[id].running = !on },
		"cut off": func(s *simulation, id fleet.VMID, on bool) { s.partitioned[id] = on },
		"frozen":  func(s *simulation, id fleet.VMID, on bool) { s.frozen[id] = on },
	}
	for name, harm := range harms {
		for _, vms := range blockFleets() {
			t.Run(fmt.Sprintf("%s, %d VMs", name, vms), func(t *testing.T) {
				s := newSimulation(t, vms)
				s.maxConnections = 200
				s.run(4 * time.Second)
				hubs := append([]fleet.VMID(nil), s.vms["vm000"].view.Hubs...)
				for _, id := range hubs {
					s.countCrashes(id, 2)
				}
				s.run(6 * time.Second)
				s.assertBlocked(true, "before")
				for _, id := range hubs { // one after the other
					harm(s, id, true)
					s.run(6 * time.Second)
					s.assertBlocked(true, "without "+string(id))
					if name == "killed" {
						s.start(id)
					} else {
						harm(s, id, false)
					}
					s.run(5 * time.Second)
					s.assertBlocked(true, "after the return of "+string(id))
				}
			})
		}
	}
}

// Guards against a block that both hubs and all VMs that counted take along when they
// are killed at the same moment.
func TestFaultBlockOutlastsTheHubs(t *testing.T) {
	s := newSimulation(t, 6)
	s.run(2 * time.Second)
	hubs := append([]fleet.VMID(nil), s.vms["vm000"].view.Hubs...)
	s.countCrashes(hubs[0], 1)
	s.countCrashes(hubs[1], 2)
	s.run(time.Second)
	s.kill(hubs...)
	s.run(2 * time.Second)
	s.assertBlocked(true, "without the hubs")
	for _, id := range hubs {
		s.start(id)
	}
	s.run(2 * time.Second)
	s.assertBlocked(true, "after their restart")
}

// Guards against crashes that are forgotten when the VM that saw them is gone, before
// there are enough for a block.
func TestFaultCrashesOfLostVMsCount(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		s := newSimulation(t, 6)
		s.run(2 * time.Second)
		s.countCrashes("vm005", 2)
		s.run(time.Second)
		s.kill("vm005")
		if restarted {
			s.run(20 * time.Millisecond)
			s.start("vm005")
		}
		s.run(4 * time.Second)
		s.assertBlocked(false, "two crashes")
		s.countCrashes("vm004", 1)
		s.run(time.Second)
		s.assertBlocked(true, "three crashes")
	}
}

// Guards against crashes that count twice because the VM that saw them was out of touch
// and came back.
func TestCrashesOfAVMThatReturnsCountOnce(t *testing.T) {
	s := newSimulation(t, 6)
	s.run(2 * time.Second)
	s.countCrashes("vm005", 2)
	s.run(time.Second)
	s.partitioned["vm005"] = true
	s.run(6 * time.Second)
	s.partitioned["vm005"] = false
	s.run(3 * time.Second)
	s.assertBlocked(false, "two crashes")
}

// Guards against a block that never ends, as VMs tell it to each other again and again,
// or that a VM which was out of touch brings back.
func TestBlockEndsWithItsAge(t *testing.T) {
	s := newSimulation(t, 6)
	s.run(2 * time.Second)
	s.countCrashes("vm004", 3)
	begin := s.now
	s.run(2 * time.Second)
	s.step("vm004", LocalDemand{}) // it has dropped its count
	s.partitioned["vm003"] = true
	s.run(begin.Add(CrashRetention - 2*time.Second).Sub(s.now))
	s.assertBlocked(true, "shortly before")
	s.run(4 * time.Second)
	s.assertBlocked(false, "after a minute")
	s.partitioned["vm003"] = false
	s.run(10 * time.Second)
	s.assertBlocked(false, "later")
}

// Guards against a VM of an earlier build, which tells blocks without their age, taking
// its block along, and against a heartbeat to it that it would count twice.
func TestFaultBlockOfAnOlderHub(t *testing.T) {
	m := New(epoch, Settings{Self: Node{ID: "vm", Peer: "vm", StartedUnixMs: 1}, Seeds: []string{"hub"}})
	now := epoch
	blocked := func() bool { return m.blockList(now) != nil }
	m.Step(now, HeartbeatAnswered{Peer: "hub", Sent: now, Reply: &HeartbeatReply{From: Node{ID: "hub", Peer: "hub", StartedUnixMs: 1}, CopyAge: -1, Blocked: []Block{{Fingerprint: 9, Age: -1}}}})
	assert.Assert(t, blocked())
	m.Step(now, HeartbeatFailed{Peer: "hub", Refused: true})
	now = now.Add(CrashRetention)
	m.Step(now, Tick{})
	assert.Assert(t, blocked(), "the hub is gone")
	assert.Equal(t, len(m.heartbeatRequest(now, "hub").Crashes), 0, "crashes that this VM has not seen")
	now = now.Add(time.Second)
	m.Step(now, Tick{})
	assert.Assert(t, !blocked(), "after a minute")
}

// Guards against reports without bound, which would fill the memory of hubs.
func TestCrashesAndBlocksAreBounded(t *testing.T) {
	m := New(epoch, Settings{Self: Node{ID: "vm", Peer: "vm", StartedUnixMs: 1}})
	for vm := range 2 * maxDepartedProcesses {
		var crashes []Crash
		var blocks []Block
		for i := range 2 * MaxCrashContents {
			fingerprint := uint64(vm*2*MaxCrashContents + i)
			crashes = append(crashes, Crash{Fingerprint: fingerprint, Count: 1})
			blocks = append(blocks, Block{Fingerprint: fingerprint})
		}
		node := Node{ID: "other", Peer: "other", StartedUnixMs: int64(vm)}
		m.Step(epoch, Heartbeat{Request: &HeartbeatRequest{From: node, Interval: time.Second, Crashes: crashes, Blocked: blocks}})
	}
	assert.Equal(t, len(m.crashes.departed), maxDepartedProcesses)
	for _, records := range m.crashes.departed {
		assert.Equal(t, len(records), MaxCrashContents)
	}
	assert.Equal(t, len(m.blockList(epoch)), MaxCrashContents)
}
