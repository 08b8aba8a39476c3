package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/callers"
	"github.com/anvilfork/anvilfork/core/fleet"
)

const (
	// maxPressing bounds the pressing callers in a heartbeat and in its reply, which
	// take 14 bytes each.
	maxPressing = 128
	// pressingTTL is how long the report of a VM is used.
	pressingTTL = 2 * time.Second
)

// setPressing replaces the pressing callers that a VM reports. It copies those that it
// keeps, so that a report with too many of them does not stay in memory.
func (m *Machine) setPressing(into *[]callers.Pressing, reported []callers.Pressing) {
	if len(*into)+len(reported) > 0 {
		m.viewDirty = true
	}
	*into = slices.Clone(reported[:min(len(reported), maxPressing)])
}

// reportedPressing returns the pressing callers that this VM and those that send
// heartbeats to it have seen.
func (m *Machine) reportedPressing(now time.Time) []callers.Pressing {
	all := slices.Clone(m.localPressing)
	for _, peer := range m.members {
		if now.Sub(peer.lastHeartbeat) <= pressingTTL {
			all = append(all, peer.pressing...)
		}
	}
	return mergePressing(all)
}

// allPressing adds those that hubs have told this VM.
func (m *Machine) allPressing(now time.Time) []callers.Pressing {
	all := m.reportedPressing(now)
	for _, hub := range m.members {
		if now.Sub(hub.reportedAt) <= pressingTTL {
			all = append(all, hub.toldPressing...)
		}
	}
	return mergePressing(all)
}

// pressingFor returns what the reply to a heartbeat tells its sender. Only VMs that get
// callers need it.
func (m *Machine) pressingFor(now time.Time, sender fleet.VMID) []callers.Pressing {
	if !slices.ContainsFunc(m.active, func(n Node) bool { return n.ID == sender }) {
		return nil
	}
	return m.reportedPressing(now)
}

// mergePressing returns each caller once, with its largest cost, and of too many callers
// those with the largest.
func mergePressing(all []callers.Pressing) []callers.Pressing {
	slices.SortFunc(all, func(a, b callers.Pressing) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(b.Cost, a.Cost)) })
	all = slices.CompactFunc(all, func(a, b callers.Pressing) bool { return a.ID == b.ID })
	slices.SortFunc(all, func(a, b callers.Pressing) int { return cmp.Or(cmp.Compare(b.Cost, a.Cost), cmp.Compare(a.ID, b.ID)) })
	return all[:min(len(all), maxPressing)]
}
