package mesh

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
)

// The panel are the VMs whose reads decide whether the store is away. When the reads of a
// VM fail, it tells them at once, and each of them reads the store.

const (
	// panelSize is the number of VMs of the panel. In a smaller fleet it has all VMs.
	panelSize = 9
	// probeWait is the timeout of a read that a VM of the panel makes because the reads
	// of another one fail. It only has to be answered.
	probeWait = 20 * time.Millisecond
)

// neededWitnesses returns how many of the VMs of the panel that are in touch must have
// failed to read in an outage: three quarters, since the others may be frozen, or about
// to be found gone.
func neededWitnesses(inTouch int) int { return max(inTouch-inTouch/4, 1) }

// choosePanel returns the VMs whose reads decide whether the store is away. They are a
// sample of the fleet, since VMs that started together, are of one availability zone or
// read the store in turn may lose it together: one of each zone in turn, in the order of
// a hash of their ids.
func choosePanel(nodes []Node) []fleet.VMID {
	if len(nodes) <= panelSize {
		panel := make([]fleet.VMID, 0, len(nodes))
		for _, n := range nodes {
			panel = append(panel, n.ID)
		}
		return panel
	}
	type sampled struct {
		id   fleet.VMID
		hash uint32
	}
	byZone := make(map[string][]sampled)
	for _, n := range nodes {
		byZone[n.Zone] = append(byZone[n.Zone], sampled{n.ID, hashID(n.ID)})
	}
	zones := slices.Sorted(maps.Keys(byZone))
	for _, zone := range zones {
		slices.SortFunc(byZone[zone], func(a, b sampled) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id)) })
	}
	panel := make([]fleet.VMID, 0, panelSize)
	for round := 0; ; round++ {
		for _, zone := range zones {
			if len(panel) == panelSize {
				return panel
			}
			if round < len(byZone[zone]) {
				panel = append(panel, byZone[zone][round].id)
			}
		}
	}
}

// readsFail reports whether the reads of this VM or of another one may have failed since
// the copy was last confirmed. The panel is not needed, and not up to date, otherwise.
func (m *Machine) readsFail() bool { return m.outage.othersFail || !m.outage.failingSince.IsZero() }

// isPanelMember reports whether this VM belongs to the panel.
func (m *Machine) isPanelMember() bool { return slices.Contains(m.outage.panel, m.self.ID) }

// probeDue returns when this VM reads the store because the reads of another VM fail, so
// that it is known soon whether the store is away or only out of that VM's reach. Zero
// means never.
func (m *Machine) probeDue() time.Time {
	if !m.outage.othersFail || !m.outage.failingSince.IsZero() || !m.isPanelMember() {
		return time.Time{}
	}
	var first time.Time
	for _, peer := range m.members {
		if m.failsToRead(peer) && (first.IsZero() || peer.failingAt.Before(first)) {
			first = peer.failingAt
		}
	}
	return first
}

// isProbe reports whether a read that starts at now only has to show whether the store
// answers this VM.
func (m *Machine) isProbe(now time.Time) bool {
	return m.hasCopy() && !m.isReader() && now.Before(m.fallbackReadDue())
}

// sendAlerts sends a heartbeat to each VM of the panel that gets none otherwise.
func (m *Machine) sendAlerts(now time.Time) {
	for _, id := range m.outage.panel {
		peer := m.members[id]
		if peer == nil || slices.Contains(m.heartbeatAddrs, peer.node.Peer) {
			continue
		}
		c := m.heartbeats[peer.node.Peer]
		if c == nil {
			c = &heartbeatState{}
			m.heartbeats[peer.node.Peer] = c
		}
		if !c.inFlight {
			m.sendHeartbeat(now, peer.node.Peer, c, true)
		}
	}
}
