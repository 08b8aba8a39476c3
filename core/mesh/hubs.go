package mesh

import (
	"cmp"
	"slices"
	"time"
)

// seniorityStep is the difference in start times from which the longer-running VM is
// the better hub. VMs that start together are ordered by their power instead: a hub
// answers the whole fleet, which takes a weak VM seconds after a restart of all.
const seniorityStep = 10 * time.Second

// stayingNodes returns this VM and all members but those that are shutting down, in no
// order.
func (m *Machine) stayingNodes() []Node {
	nodes := make([]Node, 0, len(m.members)+1)
	if m.self.Phase != Leaving {
		nodes = append(nodes, m.self)
	}
	for _, peer := range m.members {
		if peer.node.Phase != Leaving {
			nodes = append(nodes, peer.node)
		}
	}
	return nodes
}

// hubCandidates returns all VMs that may be hubs, the longest-running first. VMs
// whose reads of the store fail come last.
func (m *Machine) hubCandidates() []Node {
	nodes := m.stayingNodes()
	slices.SortFunc(nodes, func(a, b Node) int {
		if a.StoreDenied != b.StoreDenied {
			if a.StoreDenied {
				return 1
			}
			return -1
		}
		step := seniorityStep.Milliseconds()
		return cmp.Or(cmp.Compare(a.StartedUnixMs/step, b.StartedUnixMs/step), cmp.Compare(b.Power, a.Power),
			cmp.Compare(a.StartedUnixMs, b.StartedUnixMs), cmp.Compare(a.ID, b.ID))
	})
	return nodes
}

// chooseHubs chooses the hubs and updates this VM's rank. The second hub is in
// another zone than the first if there is a candidate with the same access to the
// store.
func (m *Machine) chooseHubs(now time.Time) {
	candidates := m.hubCandidates()
	m.hubRank = max(slices.IndexFunc(candidates, func(n Node) bool { return n.ID == m.self.ID }), 0)
	usable := slices.DeleteFunc(candidates, func(n Node) bool {
		other := m.members[n.ID]
		return other != nil && now.Before(other.suspectUntil)
	})
	m.hubs = m.hubs[:0]
	for i, n := range usable {
		if len(m.hubs) == hubCount {
			return
		}
		otherZone := slices.ContainsFunc(usable[i:], func(other Node) bool {
			return len(m.hubs) > 0 && other.Zone != m.hubs[0].Zone && other.StoreDenied == n.StoreDenied
		})
		if len(m.hubs) > 0 && n.Zone == m.hubs[0].Zone && otherZone {
			continue
		}
		m.hubs = append(m.hubs, n)
	}
}

// isReader reports whether this VM is the reader, the hub that reads the store for
// the others.
func (m *Machine) isReader() bool { return len(m.hubs) > 0 && m.hubs[0].ID == m.self.ID }

// isHub reports whether other VMs send heartbeats to this one, as far as it knows.
func (m *Machine) isHub() bool {
	return slices.ContainsFunc(m.hubs, func(h Node) bool { return h.ID == m.self.ID })
}
