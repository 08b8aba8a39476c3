package mesh

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
)

// drainBound is the time after the removal of its entry from which a target gets no more
// requests.
const drainBound = 3 * time.Second

// cutOff returns VMs to cut off the store: those that would read it next, which is the
// worst choice, or any.
type cutOff func(s *simulation, count int) []fleet.VMID

func nextReaders(s *simulation, count int) []fleet.VMID {
	var ids []fleet.VMID
	for _, n := range s.vms["vm000"].machine.hubCandidates()[:count] {
		ids = append(ids, n.ID)
	}
	return ids
}

func drawnVMs(seed uint64) cutOff {
	return func(s *simulation, count int) []fleet.VMID {
		ids := slices.Clone(s.order)
		rand.New(rand.NewPCG(seed, 0)).Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		return ids[:count]
	}
}

// removeUnseen removes an entry when the reader has just read, so that it reads again
// only 400 ms later.
func (s *simulation) removeUnseen(key string) {
	s.write("other", 1)
	s.run(20 * time.Millisecond)
	s.write("other", 1)
	s.run(20 * time.Millisecond)
	s.remove(key)
}

// Guards against VMs that lose their ways to the store, while it answers all others,
// being taken for an outage: targets whose entries were removed shortly before got
// requests for over 3 s.
func TestFaultVMsCutOffTheStore(t *testing.T) {
	counts := map[int][]int{2: {1}, 3: {1, 2}, 6: {1, 2, 3}, 9: {2, 3, 4}}
	if !testing.Short() {
		counts[98], counts[295] = []int{9, 34}, []int{103}
	}
	choices := map[string]cutOff{"next readers": nextReaders, "drawn 1": drawnVMs(1), "drawn 2": drawnVMs(2), "drawn 3": drawnVMs(3)}
	for vms, cuts := range counts {
		for _, cut := range cuts {
			for name, choose := range choices {
				if vms == 295 && name != "next readers" {
					continue
				}
				for _, silent := range []bool{false, true} {
					t.Run(fmt.Sprintf("%d of %d VMs, %s, silent %v", cut, vms, name, silent), func(t *testing.T) {
						s := newSimulation(t, vms)
						s.write("target", 1)
						s.run(6 * time.Second)
						chosen := choose(s, cut)
						s.removeUnseen("target")
						removed := s.now
						s.run(330 * time.Millisecond)
						for _, id := range chosen {
							s.storeDenied[id], s.storeMute[id] = !silent, silent
						}
						s.run(5500*time.Millisecond - s.now.Sub(removed))
						s.assertRemovedInTime("target", removed, chosen)
						for _, id := range chosen {
							s.storeDenied[id], s.storeMute[id] = false, false
						}
						s.run(4 * time.Second)
						s.assertRemovedInTime("target", removed, chosen)
					})
				}
			}
		}
	}
}

// assertRemovedInTime checks that VMs that are not excepted published the deletion of an
// entry as a removal, and in a small fleet early enough.
func (s *simulation) assertRemovedInTime(key string, removed time.Time, except []fleet.VMID) {
	s.t.Helper()
	for id, v := range s.vms {
		if slices.Contains(except, id) {
			continue
		}
		d := v.deleted[key]
		assert.Assert(s.t, !d.at.IsZero() && d.lapseEnd.IsZero(), "%s: published %v after the removal, to lapse %v after it", id, d.at.Sub(removed), d.lapseEnd.Sub(removed))
		assert.Assert(s.t, len(s.order) > 25 || d.at.Sub(removed) < drainBound, "%s: published %v after the removal", id, d.at.Sub(removed))
	}
}

// Guards against an outage that is not found because a VM of the panel is frozen, gone
// or new, in fleets of all sizes: targets whose entries lapsed would be dropped.
func TestFaultPanelIncompleteInAnOutage(t *testing.T) {
	faults := map[string]func(s *simulation, id fleet.VMID){
		"frozen": func(s *simulation, id fleet.VMID) { s.frozen[id] = true },
		"killed": func(s *simulation, id fleet.VMID) { s.vms[id].running = false },
		"cut off": func(s *simulation, id fleet.VMID) {
			s.partitioned[id] = true
		},
		"restarted": func(s *simulation, id fleet.VMID) { s.start(id) },
	}
	sizes := []int{3, 4, 6}
	if !testing.Short() {
		sizes = append(sizes, 98, 295)
	}
	for name, fault := range faults {
		for _, vms := range sizes {
			t.Run(fmt.Sprintf("%s, %d VMs", name, vms), func(t *testing.T) {
				s := newSimulation(t, vms)
				s.write("target", 1)
				s.run(6 * time.Second)
				panel := choosePanel(s.vms["vm000"].machine.stayingNodes())
				harmed := panel[len(panel)-1]
				s.storeDown = true
				s.run(200 * time.Millisecond)
				fault(s, harmed)
				s.run(4300 * time.Millisecond)
				s.remove("target")
				s.storeDown = false
				s.run(3 * time.Second)
				for id, v := range s.vms {
					if d := v.deleted["target"]; id != harmed {
						assert.Assert(t, !d.at.IsZero() && !d.lapseEnd.IsZero(), "%s: published at %v", id, d.at.Sub(epoch))
					}
				}
			})
		}
	}
}

// Guards against a VM that was cut off from the store and from the other VMs, and that
// takes this for an outage: it kept targets that had been removed meanwhile, and told
// the others of an outage.
func TestFaultCutOffVMFindsNoOutage(t *testing.T) {
	for _, vms := range []int{2, 3, 6} {
		for _, role := range []int{0, 1} { // the reader, and the other hub
			for _, lasts := range []time.Duration{3 * time.Second, 8 * time.Second, 15 * time.Second} {
				t.Run(fmt.Sprintf("hub %d of %d VMs, %v", role, vms, lasts), func(t *testing.T) {
					s := newSimulation(t, vms)
					s.write("target", 1)
					s.run(3 * time.Second)
					cut := s.vms["vm000"].view.Hubs[role]
					s.partitioned[cut] = true
					s.run(500 * time.Millisecond)
					s.remove("target")
					s.run(lasts)
					s.partitioned[cut], s.isolated[cut] = false, true // its way to the store is back first
					s.run(2500 * time.Millisecond)
					s.isolated[cut] = false
					s.run(3 * time.Second)
					s.assertDeleted("target", false)
					for id, v := range s.vms {
						assert.Assert(t, v.machine.outage.regainedAt.IsZero(), "%s was told of an outage", id)
					}
				})
			}
		}
	}
}

// Guards against a failed read that the panel of a large fleet learns of only by its next
// heartbeats, seconds later, and against one that costs more reads than the panel has VMs.
func TestFailedReadIsCheckedAtOnce(t *testing.T) {
	for _, vms := range []int{6, 98} {
		s := newSimulation(t, vms)
		s.run(6 * time.Second)
		reader := s.vms["vm000"].view.Hubs[0]
		before := s.vms["vm000"].view.Store.Refuted
		calls := s.storeCalls
		s.storeDenied[reader] = true
		s.write("other", 1) // ends the read in flight
		s.run(150 * time.Millisecond)
		refuted := 0
		for _, id := range choosePanel(s.vms["vm000"].machine.stayingNodes()) {
			refuted += s.vms[id].machine.outage.refuted
		}
		assert.Equal(t, before, 0)
		assert.Assert(t, refuted >= min(vms, panelSize)-1, "%d VMs of the panel have read the store", refuted)
		assert.Assert(t, s.storeCalls-calls <= panelSize+1, "%d calls", s.storeCalls-calls)
	}
}

// Guards against a VM of an earlier build, whose failing reads are not counted as it
// reports StoreDenied alone, and against reports from before that count again.
func TestWitnessesOfAnOutage(t *testing.T) {
	s := newSimulation(t, 3)
	s.run(3 * time.Second)
	m := s.vms["vm000"].machine
	report := func(denied, failing bool) bool {
		n := m.members["vm001"].node
		n.StoreDenied, n.StoreFailing, n.Edition = denied, failing, n.Edition+1
		s.now = s.now.Add(time.Millisecond)
		m.updateMember(s.now, n)
		return m.failsToRead(m.members["vm001"])
	}
	assert.Assert(t, report(true, false), "denied")
	assert.Assert(t, report(true, true), "denied and failing")
	assert.Assert(t, !report(true, false), "another VM has read the store")
	assert.Assert(t, !report(true, false), "still denied")
	assert.Assert(t, report(true, true), "failing again")
	known := m.members["vm001"].node
	known.StoreFailing, known.StartedUnixMs = false, known.StartedUnixMs+1
	m.updateMember(s.now, known)
	assert.Assert(t, !m.failsToRead(m.members["vm001"]), "denied before it became a member")
}

// Guards against VMs that refuse requests with keys after a restart of the fleet, because
// the reader got its first copy from another VM's listing and confirmed it only with a
// watch, 1.2 s later.
func TestFaultCopiesAreConfirmedAfterARestart(t *testing.T) {
	for _, listing := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond} {
		s := newSimulation(t, 98)
		s.listingDuration = listing
		s.powers = map[fleet.VMID]float64{"vm050": 2, "vm051": 2} // the hubs are no seeds
		s.run(2 * time.Second)
		for _, id := range s.order {
			s.start(id)
		}
		begin := s.now
		confirmed := func() bool {
			for _, v := range s.vms {
				if v.view == nil || v.view.Confirmed.IsZero() {
					return false
				}
			}
			return true
		}
		for !confirmed() && s.now.Sub(begin) < 5*time.Second {
			s.run(20 * time.Millisecond)
		}
		assert.Assert(t, s.now.Sub(begin) <= listing+watchTimeout, "listing of %v: confirmed after %v", listing, s.now.Sub(begin))
	}
}
