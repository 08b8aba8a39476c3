package mesh

import "time"

// buildView returns a new View for the other tasks. While this VM is partitioned,
// its own demand is zero, and Sharers does not fall.
func (m *Machine) buildView(now time.Time) *View {
	v := &View{
		Self: m.self, Nodes: m.reachableNodes(now), Confirmed: m.storeCopy.ConfirmedAt(),
		Blocked: make(map[uint64]bool), Reader: m.isReader(), Timeouts: m.timeouts.longest,
		Store:    StoreState{Era: m.storeCopy.Version().Era, Outages: m.outage.outages, Refuted: m.outage.refuted, Rewinds: m.storeCopy.Rewinds(), Ignored: m.eras.ignored, Kept: m.storeCopy.Kept()},
		Pressing: m.allPressing(now),
	}
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
	for fingerprint := range m.crashes.blocks {
		v.Blocked[fingerprint] = true
	}
	return v
}
