package mesh

import (
	"maps"
	"slices"
)

// RequestBlocked reports that requests with a fingerprint are blocked on this VM from
// now on.
type RequestBlocked struct {
	Fingerprint uint64
	Crashes     int // targets that they crashed, as counted by the VMs that this VM hears
	Counters    int // VMs that counted them
}

// RequestUnblocked reports that requests with a fingerprint are blocked no longer.
type RequestUnblocked struct {
	Fingerprint uint64
	Crashes     int // that are still counted
}

func (RequestBlocked) action()   {}
func (RequestUnblocked) action() {}

// countCrashes returns the number of targets that requests with a fingerprint crashed,
// and of the VMs that counted them, over this VM and those that send heartbeats to it.
func (m *Machine) countCrashes(fingerprint uint64) (total, counters int) {
	add := func(all []Crash) {
		for _, c := range all {
			if c.Fingerprint == fingerprint {
				total, counters = total+int(c.Count), counters+1
			}
		}
	}
	add(m.localCrashes)
	for _, peer := range m.members {
		add(peer.crashes)
	}
	return total, counters
}

// reportBlocks reports how the blocked requests differ from those of the last view.
func (m *Machine) reportBlocks(blocked map[uint64]bool) {
	for _, fp := range sortedKeys(blocked) {
		if !m.blocked[fp] {
			total, counters := m.countCrashes(fp)
			m.emit(RequestBlocked{Fingerprint: fp, Crashes: total, Counters: counters})
		}
	}
	for _, fp := range sortedKeys(m.blocked) {
		if !blocked[fp] {
			total, _ := m.countCrashes(fp)
			m.emit(RequestUnblocked{Fingerprint: fp, Crashes: total})
		}
	}
	m.blocked = blocked
}

func sortedKeys(set map[uint64]bool) []uint64 {
	return slices.Sorted(maps.Keys(set))
}
