package mesh

import (
	"slices"
	"time"
)

// blockedFingerprints returns the fingerprints of requests that crashed at least
// crashesToBlock targets, counted over this VM and those that send heartbeats to
// it, in ascending order.
func (m *Machine) blockedFingerprints() []uint64 {
	crashCounts := make(map[uint64]uint32)
	for _, c := range m.localCrashes {
		crashCounts[c.Fingerprint] += c.Count
	}
	for _, peer := range m.members {
		for _, c := range peer.crashes {
			crashCounts[c.Fingerprint] += c.Count
		}
	}
	var blocked []uint64
	for fp, count := range crashCounts {
		if count >= crashesToBlock {
			blocked = append(blocked, fp)
		}
	}
	slices.Sort(blocked)
	return blocked
}

// buildView returns a new View for the other tasks. While this VM is partitioned,
// its own demand is zero, and Sharers does not fall.
func (m *Machine) buildView(now time.Time) *View {
	v := &View{
		Self: m.self, Nodes: m.reachableNodes(now), Confirmed: m.storeCopy.ConfirmedAt(),
		Blocked: make(map[uint64]bool), Reader: m.isReader(), Timeouts: m.timeouts.longest,
		Store:    StoreState{Era: m.storeCopy.Version().Era, Outages: m.outage.outages, Refuted: m.outage.refuted, Rewinds: m.storeCopy.Rewinds(), Ignored: m.eras.ignored, Kept: m.storeCopy.Kept()},
		Pressing: m.allPressing(now),
	}
	m.outage.panel = choosePanel(m.stayingNodes())
	v.Active = selectActive(v.Nodes, m.maxActive)
	v.Sharers = len(v.Active)
	if m.maxActive > 0 && now.Sub(m.started) < discoveryPeriod {
		v.Sharers = max(v.Sharers, min(m.maxActive, assumedSharers))
	}
	v.Demand = m.fleetDemand(now)
	if m.isPartitioned(now) {
		v.Sharers = max(v.Sharers, m.sharers)
		for name, d := range v.Demand {
			v.Demand[name] = Demand{Total: d.Total}
		}
	}
	m.sharers = v.Sharers
	for _, h := range m.hubs {
		v.Hubs = append(v.Hubs, h.ID)
	}
	for _, fp := range m.blockedFingerprints() {
		v.Blocked[fp] = true
	}
	for _, hub := range m.members {
		if now.Sub(hub.reportedAt) > m.hubTimeout() {
			continue
		}
		for _, fp := range hub.blocked {
			v.Blocked[fp] = true
		}
	}
	m.reportBlocks(v.Blocked)
	return v
}
