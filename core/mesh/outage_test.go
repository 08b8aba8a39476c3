package mesh

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
)

// outageFleets returns numbers of VMs, and a larger one unless the tests are short.
func outageFleets(small ...int) []int {
	if testing.Short() {
		return small
	}
	return append(small, 40)
}

// assertDeleted checks what all running VMs published of the deletion of an entry:
// whether it may have lapsed, and that it was published by now.
func (s *simulation) assertDeleted(key string, lapsed bool) {
	s.t.Helper()
	s.assertPropagated(key)
	for id, v := range s.vms {
		d := v.deleted[key]
		assert.Equal(s.t, !d.lapseEnd.IsZero(), lapsed, "%s: %s was published %v ago, to lapse %v later", id, key, s.now.Sub(d.at), d.lapseEnd.Sub(d.at))
		assert.Assert(s.t, !lapsed || d.lapseEnd.After(d.at) && d.lapseEnd.Sub(d.at) <= lapseGrace, "%s", id)
	}
}

// Guards against a removed entry that is taken for one that lapsed, because this VM or
// the reader was out of touch with a store that answered others all the time: targets
// that have left got requests for seconds.
func TestFaultOldCopyIsNoOutage(t *testing.T) {
	faults := map[string]func(s *simulation, hubs []fleet.VMID, on bool){
		"reader frozen":                   func(s *simulation, hubs []fleet.VMID, on bool) { s.frozen[hubs[0]] = on },
		"both hubs frozen":                func(s *simulation, hubs []fleet.VMID, on bool) { s.frozen[hubs[0]], s.frozen[hubs[1]] = on, on },
		"reader cut off":                  func(s *simulation, hubs []fleet.VMID, on bool) { s.partitioned[hubs[0]] = on },
		"reader turned away by the store": func(s *simulation, hubs []fleet.VMID, on bool) { s.storeDenied[hubs[0]] = on },
		"hubs turned away by the store": func(s *simulation, hubs []fleet.VMID, on bool) {
			s.storeDenied[hubs[0]], s.storeDenied[hubs[1]] = on, on
		},
	}
	for name, fault := range faults {
		for _, vms := range outageFleets(5, 8) {
			t.Run(fmt.Sprintf("%s, %d VMs", name, vms), func(t *testing.T) {
				s := newSimulation(t, vms)
				s.write("target", 1)
				s.run(3 * time.Second)
				hubs := append([]fleet.VMID(nil), s.vms["vm004"].view.Hubs...)
				fault(s, hubs, true)
				s.run(300 * time.Millisecond)
				s.remove("target")
				s.run(3700 * time.Millisecond)
				for id, v := range s.vms {
					if !s.frozen[id] && !s.partitioned[id] {
						assert.Assert(t, v.deleted["target"].lapseEnd.IsZero(), "%s", id)
						assert.Equal(t, v.entries["target"], s.revision, "%s", id)
					}
				}
				fault(s, hubs, false)
				s.run(4 * time.Second)
				s.assertDeleted("target", false)
				s.write("other", 1)
				s.run(2 * time.Second)
				s.remove("other")
				s.run(3 * time.Second)
				s.assertDeleted("other", false)
			})
		}
	}
}

// Guards against targets that are dropped although their entries lapsed only because
// the store was away for them too, and against entries that are removed long after an
// outage and count as lapsed.
func TestFaultEntriesLapseInAnOutage(t *testing.T) {
	outages := map[string]func(s *simulation, on bool){
		"refuses":   func(s *simulation, on bool) { s.storeDown = on },
		"is silent": func(s *simulation, on bool) { s.storeSilent = on },
		"then silent": func(s *simulation, on bool) {
			s.storeDown, s.storeSilent = on && s.now.Before(epoch.Add(4*time.Second)), on
		},
	}
	for name, outage := range outages {
		for _, vms := range outageFleets(1, 2, 5, 8) {
			for _, lasts := range []time.Duration{4 * time.Second, 7 * time.Second} {
				t.Run(fmt.Sprintf("%s, %d VMs, %v", name, vms, lasts), func(t *testing.T) {
					s := newSimulation(t, vms)
					s.write("target", 1)
					s.run(3 * time.Second)
					outage(s, true)
					s.run(lasts)
					s.remove("target")
					outage(s, false)
					s.run(4 * time.Second) // a read of a silent store ends late
					s.assertDeleted("target", true)
					s.write("target", 1)
					s.run(4 * time.Second)
					s.remove("target")
					s.run(2 * time.Second)
					s.assertDeleted("target", false)
				})
			}
		}
	}
}

// Guards against an outage that a reader's freeze hides, or that is not noticed as the
// frozen VM reads first.
func TestFaultOutageWhileTheReaderIsFrozen(t *testing.T) {
	s := newSimulation(t, 8)
	s.write("target", 1)
	s.run(3 * time.Second)
	reader := s.vms["vm004"].view.Hubs[0]
	s.frozen[reader], s.storeDown = true, true
	s.run(5 * time.Second)
	s.remove("target")
	s.frozen[reader], s.storeDown = false, false
	s.run(2 * time.Second)
	s.assertDeleted("target", true)
}
