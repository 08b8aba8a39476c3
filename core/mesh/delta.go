package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/mirror"
)

// deltaFanOut is the number of VMs of its zone to which a VM forwards a delta. A
// change reaches 75 VMs of a zone in three hops, and no VM sends it to more than
// these and one VM of each zone.
const deltaFanOut = 4

// Delta holds the changes of the store after a revision. VMs forward it along a
// tree, so that a change does not wait for heartbeats, whose interval grows with
// the fleet. When a delta is lost, the next heartbeat brings the changes.
type Delta struct {
	After       mirror.Version
	Update      *mirror.Update
	RegainedAge time.Duration // see HeartbeatReply.RegainedAge
}

// ForwardFailed reports that a delta could not be delivered to a VM.
type ForwardFailed struct {
	To    Node
	Delta Delta
}

// ForwardDelta sends a delta to another VM.
type ForwardDelta struct {
	To    Node
	Delta Delta
}

func (Delta) event()         {}
func (ForwardFailed) event() {}
func (ForwardDelta) action() {}

// handleDelta merges and forwards a delta from another VM. It ignores a delta that
// is not newer than the copy, and one that starts after the copy's version or in another
// era, which would leave a gap.
func (m *Machine) handleDelta(now time.Time, d Delta) {
	known := m.storeCopy.Version()
	leavesGap := !d.Update.Full && (known.Before(d.After) || d.After.Era != known.Era)
	if !known.Before(d.Update.Version()) || leavesGap || !m.trustsEra(d.Update.Era) {
		return
	}
	m.learnRegained(now, d.RegainedAge)
	m.applyUpdate(now, d.Update, nil)
	m.forwardChanges(now, false)
}

// applyReplyUpdate merges and forwards the update in the reply to a heartbeat. A
// first copy is not forwarded, since the others have it already.
func (m *Machine) applyReplyUpdate(now time.Time, u *mirror.Update, past *mirror.Past) {
	first := !m.hasCopy()
	m.applyUpdate(now, u, past)
	if first {
		m.forwarded = m.storeCopy.Version()
		return
	}
	m.forwardChanges(now, false)
}

// handleForwardFailed forwards a delta to the children of the VM that did not take
// it.
func (m *Machine) handleForwardFailed(now time.Time, failed ForwardFailed) {
	for _, to := range m.children(now, failed.To) {
		m.emit(ForwardDelta{To: to, Delta: failed.Delta})
	}
}

// forwardChanges sends the changes since the last call to this VM's children, and also
// to the roots of all zones if toAllZones is set: by the reader, and by another VM that has
// read them while the reader can't. A first listing of another VM goes to its children
// only, since a copy that came as a delta is not confirmed: the reader would take a watch
// for that, instead of its own listing. In a small fleet heartbeats are as frequent as
// the reads of the store and bring the changes nearly as early with fewer calls, so
// nothing is forwarded.
func (m *Machine) forwardChanges(now time.Time, toAllZones bool) {
	if m.idleHeartbeatInterval() <= minHeartbeatInterval {
		m.forwarded = m.storeCopy.Version()
		return
	}
	if m.storeCopy.Version().Before(m.forwarded) { // an era that was read before proved wrong
		m.forwarded = m.storeCopy.Version()
	}
	d := Delta{After: m.forwarded, Update: m.storeCopy.Since(m.forwarded), RegainedAge: m.regainedAge(now)}
	if d.Update == nil {
		return
	}
	m.forwarded = d.Update.Version()
	if len(d.Update.Entries) == 0 {
		return
	}
	to := m.children(now, m.self)
	if toAllZones {
		to = append(to, m.zoneRoots(now)...)
	}
	for _, node := range to {
		m.emit(ForwardDelta{To: node, Delta: d})
	}
}

// children returns the VMs to which a VM forwards deltas: its children in the
// implicit tree of its zone (see zoneHeap).
func (m *Machine) children(now time.Time, parent Node) []Node {
	zone := m.zoneHeap(now, parent.Zone)
	i := slices.IndexFunc(zone, func(n Node) bool { return n.ID == parent.ID })
	first := min(deltaFanOut*i+1, len(zone))
	if i < 0 {
		return nil
	}
	return zone[first:min(first+deltaFanOut, len(zone))]
}

// zoneRoots returns the root of each zone's tree, without this VM.
func (m *Machine) zoneRoots(now time.Time) []Node {
	var roots []Node
	visited := make(map[string]bool)
	for _, n := range m.reachableNodes(now) {
		if visited[n.Zone] {
			continue
		}
		visited[n.Zone] = true
		if root := m.zoneHeap(now, n.Zone)[0]; root.ID != m.self.ID {
			roots = append(roots, root)
		}
	}
	return roots
}

// zoneHeap returns the reachable VMs of a zone as an implicit tree in which the VM
// at index i has the children deltaFanOut*i+1 and following. The strongest come
// first, since VMs near the root forward most. All VMs compute the same order.
func (m *Machine) zoneHeap(now time.Time, zone string) []Node {
	nodes := slices.DeleteFunc(m.reachableNodes(now), func(n Node) bool { return n.Zone != zone })
	slices.SortFunc(nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(a.ID, b.ID))
	})
	return nodes
}
