package mesh

import (
	"cmp"
	"slices"
	"time"
)

// ranked returns all VMs that may be hubs, the longest-running first. VMs that
// the store turns away come last.
func (m *Machine) ranked() []Node {
	nodes := make([]Node, 0, len(m.members)+1)
	if m.self.Phase != Leaving {
		nodes = append(nodes, m.self)
	}
	for _, n := range m.members {
		if n.node.Phase != Leaving {
			nodes = append(nodes, n.node)
		}
	}
	slices.SortFunc(nodes, func(a, b Node) int {
		if a.StoreDenied != b.StoreDenied {
			if a.StoreDenied {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.StartedUnixMs, b.StartedUnixMs), cmp.Compare(a.ID, b.ID))
	})
	return nodes
}

// chooseHubs chooses the VMs that serve as hubs. The second is in another zone
// than the first, where there is one.
func (m *Machine) chooseHubs(now time.Time) {
	ranked := m.ranked()
	m.rank = max(slices.IndexFunc(ranked, func(n Node) bool { return n.ID == m.self.ID }), 0)
	usable := slices.DeleteFunc(ranked, func(n Node) bool {
		o := m.members[n.ID]
		return o != nil && now.Before(o.suspect)
	})
	m.hubs = m.hubs[:0]
	for i, n := range usable {
		if len(m.hubs) == hubCount {
			return
		}
		otherZone := slices.ContainsFunc(usable[i:], func(o Node) bool {
			return len(m.hubs) > 0 && o.Zone != m.hubs[0].Zone && o.StoreDenied == n.StoreDenied
		})
		if len(m.hubs) > 0 && n.Zone == m.hubs[0].Zone && otherZone {
			continue
		}
		m.hubs = append(m.hubs, n)
	}
}

// isReader reports whether this VM reads the store for the others.
func (m *Machine) isReader() bool { return len(m.hubs) > 0 && m.hubs[0].ID == m.self.ID }

// isHub reports whether other VMs send heartbeats to this one, as far as it knows.
func (m *Machine) isHub() bool {
	return slices.ContainsFunc(m.hubs, func(h Node) bool { return h.ID == m.self.ID })
}
