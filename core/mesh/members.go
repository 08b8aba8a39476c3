package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
)

func (m *Machine) expire(now time.Time) {
	m.forgetDemand(now)
	for id, n := range m.members {
		if n.listed && (n.gone || now.Sub(n.direct) > silentBeats*n.every) {
			m.unlist(n)
		}
		silent := now.Sub(n.seen)
		if silent <= m.silenceOf(n) && !n.gone {
			continue
		}
		delete(m.members, id)
		delete(m.calls, n.node.Peer)
		switch {
		case n.ended:
			delete(m.held, id)
		case n.node.Phase != Leaving:
			m.silent[id] = now
		}
		m.viewDirty = true
		m.emit(PeerLost{Node: n.node, SilentFor: silent})
	}
}

// unlist tells others that a VM is not in touch. Only what a VM heard itself is
// told: two hubs that told each other's news would keep a dead VM in touch.
func (m *Machine) unlist(n *member) {
	n.listed = false
	m.changes++
	m.removed = append(m.removed, removal{id: n.node.ID, change: m.changes})
	if len(m.removed) > maxRemoved {
		m.forgotten = m.removed[0].change
		m.removed = m.removed[1:]
	}
}

// heard takes over what a VM says of itself.
func (m *Machine) heard(now time.Time, n Node) *member {
	if n.ID == m.self.ID {
		return nil
	}
	o := m.members[n.ID]
	switch {
	case o == nil:
		o = &member{node: n}
		m.members[n.ID] = o
		m.markChanged(o)
		m.emit(PeerFound{Node: n})
	case n.StartedUnixMs < o.node.StartedUnixMs, n.StartedUnixMs == o.node.StartedUnixMs && n.Edition < o.node.Edition:
		return nil // an earlier process or record of that VM
	case o.node != n:
		if n.StartedUnixMs != o.node.StartedUnixMs {
			*o = member{}
		}
		o.node = n
		m.markChanged(o)
	}
	o.gone, o.ended = false, false
	o.seen = now
	return o
}

func (m *Machine) markChanged(o *member) {
	m.changes++
	o.changed = m.changes
	m.viewDirty = true
}

// inTouch returns this VM and all that it heard of lately, by id.
func (m *Machine) inTouch(now time.Time) []Node {
	nodes := []Node{m.self}
	for _, n := range m.members {
		if now.Sub(n.seen) <= m.silenceOf(n) {
			nodes = append(nodes, n.node)
		}
	}
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
	return nodes
}

// learnNodes takes over the members that a hub has in touch.
func (m *Machine) learnNodes(now time.Time, hub *member, r *HeartbeatReply) {
	if r.NodesFull || hub.list == nil {
		hub.list = make(map[fleet.VMID]bool)
	}
	hub.listSeq = r.NodesSeq
	for _, n := range r.Nodes {
		hub.list[n.ID] = true
		if old := m.members[n.ID]; old != nil && old.gone && old.node.StartedUnixMs >= n.StartedUnixMs {
			continue // the hub has not noticed yet that its process is gone
		}
		m.heard(now, n)
	}
	for _, id := range r.Removed {
		delete(hub.list, id)
		if o := m.members[id]; o != nil && !m.vouchedFor(now, id) {
			o.gone = true
		}
	}
	for id := range hub.list {
		if o := m.members[id]; o != nil && !o.gone {
			o.seen = now
		}
	}
}

// vouchedFor reports whether a hub has a VM in touch, or this VM itself has.
func (m *Machine) vouchedFor(now time.Time, id fleet.VMID) bool {
	if o := m.members[id]; now.Sub(o.direct) <= silentBeats*o.every {
		return true
	}
	for _, n := range m.members {
		if n.list[id] && now.Sub(n.toldAt) <= m.silence() {
			return true
		}
	}
	return false
}
