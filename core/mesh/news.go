package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/mirror"
)

// newsFanOut is the number of VMs of its zone to which a VM passes news on. A
// change reaches 75 VMs of a zone in three steps, and no VM has to send it to
// more than these and one of each zone.
const newsFanOut = 4

// Delta is what changed in the store after a revision. VMs pass it on along a
// tree, so that a change need not wait for heartbeats, whose interval grows with
// the fleet. A delta that is lost is made up for by the next heartbeat.
type Delta struct {
	After  uint64
	Update *mirror.Update
}

// ForwardFailed reports a VM that did not take the news.
type ForwardFailed struct {
	To    Node
	Delta Delta
}

// ForwardDelta hands news to another VM.
type ForwardDelta struct {
	To    Node
	Delta Delta
}

func (Delta) event()         {}
func (ForwardFailed) event() {}
func (ForwardDelta) action() {}

// news takes over what another VM passed on. Changes that do not begin where
// this VM's copy ends would leave a gap in it.
func (m *Machine) news(now time.Time, n Delta) {
	if n.Update.Revision <= m.copied.Revision() || !n.Update.Complete && n.After > m.copied.Revision() {
		return
	}
	m.apply(n.Update)
	m.passOn(now)
}

// learn takes over what the reply to a heartbeat held. A first copy is not passed
// on: it is no news to the others.
func (m *Machine) learn(now time.Time, u *mirror.Update) {
	first := m.copied.Revision() == 0
	m.apply(u)
	if first {
		m.passed = m.copied.Revision()
		return
	}
	m.passOn(now)
}

// untold passes news to the VMs that another one would have passed it to.
func (m *Machine) untold(now time.Time, u ForwardFailed) {
	for _, to := range m.below(now, u.To) {
		m.emit(ForwardDelta{To: to, Delta: u.Delta})
	}
}

// passOn hands what this VM learned since it last did so to the VMs below it. In
// a fleet whose heartbeats are as frequent as the reads of the store, they bring
// it nearly as early, and with fewer calls.
func (m *Machine) passOn(now time.Time) {
	if m.fleetInterval() <= beatInterval {
		m.passed = m.copied.Revision()
		return
	}
	n := Delta{After: m.passed, Update: m.copied.Since(m.passed)}
	if n.Update == nil {
		return
	}
	m.passed = n.Update.Revision
	if len(n.Update.Entries) == 0 {
		return
	}
	to := m.below(now, m.self)
	if m.isReader() {
		to = append(to, m.heads(now)...)
	}
	for _, node := range to {
		m.emit(ForwardDelta{To: node, Delta: n})
	}
}

// below returns the VMs to which a VM passes news on: its children in a heap of
// the VMs of its zone.
func (m *Machine) below(now time.Time, of Node) []Node {
	zone := m.heap(now, of.Zone)
	i := slices.IndexFunc(zone, func(n Node) bool { return n.ID == of.ID })
	first := min(newsFanOut*i+1, len(zone))
	if i < 0 {
		return nil
	}
	return zone[first:min(first+newsFanOut, len(zone))]
}

// heads returns the first VMs of all zones but for this VM.
func (m *Machine) heads(now time.Time) []Node {
	var heads []Node
	passed := make(map[string]bool)
	for _, n := range m.inTouch(now) {
		if passed[n.Zone] {
			continue
		}
		passed[n.Zone] = true
		if head := m.heap(now, n.Zone)[0]; head.ID != m.self.ID {
			heads = append(heads, head)
		}
	}
	return heads
}

// heap returns the VMs of a zone, those that have to pass on most first: the
// strongest. All VMs order them alike.
func (m *Machine) heap(now time.Time, zone string) []Node {
	nodes := slices.DeleteFunc(m.inTouch(now), func(n Node) bool { return n.Zone != zone })
	slices.SortFunc(nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(a.ID, b.ID))
	})
	return nodes
}
