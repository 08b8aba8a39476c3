package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
)

// expire removes the members that are gone or unresponsive, and demand that is
// too old.
func (m *Machine) expire(now time.Time) {
	m.expireDemand(now)
	for id, peer := range m.members {
		if peer.listed && (peer.gone || now.Sub(peer.lastHeartbeat) > maxMissedHeartbeats*peer.interval) {
			m.unlist(peer)
		}
		silentFor := now.Sub(peer.lastSeen)
		if silentFor <= m.memberTimeout(peer) && !peer.gone {
			continue
		}
		m.keepCrashes(now, peer)
		delete(m.members, id)
		delete(m.heartbeats, peer.node.Peer)
		switch {
		case peer.connRefused:
			delete(m.peerDemands, id)
			m.outage.fleetSize--
		case peer.node.Phase == Leaving:
			m.outage.fleetSize--
		default:
			m.unresponsiveSince[id] = now
		}
		m.viewDirty = true
		m.emit(PeerLost{Node: peer.node, UnresponsiveFor: silentFor})
	}
}

// unlist stops reporting a VM to others as reachable. A VM reports only those from
// which it receives heartbeats itself: two hubs that repeated each other's
// reports would keep a dead VM reachable forever.
func (m *Machine) unlist(peer *member) {
	peer.listed = false
	m.changeSeq++
	m.removals = append(m.removals, removal{id: peer.node.ID, changeSeq: m.changeSeq})
	if len(m.removals) > maxRemovals {
		m.forgottenSeq = m.removals[0].changeSeq
		m.removals = m.removals[1:]
	}
}

// updateMember merges a VM's record and counts the VM as seen. It returns
// nil when the record is out of date or that of this VM.
func (m *Machine) updateMember(now time.Time, n Node) *member {
	if n.ID == m.self.ID {
		return nil
	}
	peer := m.members[n.ID]
	switch {
	case peer == nil:
		peer = &member{node: n}
		m.members[n.ID] = peer
		m.noteStoreFailing(now, peer, Node{StoreDenied: n.StoreDenied})
		m.markChanged(peer)
		m.emit(PeerFound{Node: n})
	case n.StartedUnixMs < peer.node.StartedUnixMs, n.StartedUnixMs == peer.node.StartedUnixMs && n.Edition < peer.node.Edition:
		return nil // from an earlier process of that VM, or an earlier record
	case peer.node != n:
		before := peer.node
		if n.StartedUnixMs != peer.node.StartedUnixMs {
			m.keepCrashes(now, peer)
			*peer, before = member{}, Node{StoreDenied: n.StoreDenied}
		}
		peer.node = n
		m.noteStoreFailing(now, peer, before)
		m.markChanged(peer)
	}
	peer.gone, peer.connRefused = false, false
	peer.lastSeen = now
	return peer
}

// markChanged includes a member in the replies to VMs that lack this change.
func (m *Machine) markChanged(peer *member) {
	m.changeSeq++
	peer.changeSeq = m.changeSeq
	m.viewDirty = true
}

// reachableNodes returns this VM and all reachable members, sorted by id.
func (m *Machine) reachableNodes(now time.Time) []Node {
	nodes := []Node{m.self}
	for _, peer := range m.members {
		if now.Sub(peer.lastSeen) <= m.memberTimeout(peer) {
			nodes = append(nodes, peer.node)
		}
	}
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
	return nodes
}

// applyMemberChanges merges the list of reachable VMs that a hub reports.
func (m *Machine) applyMemberChanges(now time.Time, hub *member, r *HeartbeatReply) {
	if r.NodesFull || hub.reachable == nil {
		hub.reachable = make(map[fleet.VMID]bool)
	}
	hub.reachableSeq = r.NodesSeq
	for _, n := range r.Nodes {
		hub.reachable[n.ID] = true
		if known := m.members[n.ID]; known != nil && known.gone && known.node.StartedUnixMs >= n.StartedUnixMs {
			continue // the hub has not detected yet that this process is gone
		}
		m.updateMember(now, n)
	}
	for _, id := range r.Removed {
		delete(hub.reachable, id)
		if peer := m.members[id]; peer != nil && !m.isReportedReachable(now, id) {
			peer.gone = true
		}
	}
	for id := range hub.reachable {
		if peer := m.members[id]; peer != nil && !peer.gone {
			peer.lastSeen = now
		}
	}
}

// isReportedReachable reports whether a VM sends heartbeats to this one, or a hub
// reports it as reachable. The VM must be a member.
func (m *Machine) isReportedReachable(now time.Time, id fleet.VMID) bool {
	if peer := m.members[id]; now.Sub(peer.lastHeartbeat) <= maxMissedHeartbeats*peer.interval {
		return true
	}
	for _, hub := range m.members {
		if hub.reachable[id] && now.Sub(hub.reportedAt) <= m.hubTimeout() {
			return true
		}
	}
	return false
}
