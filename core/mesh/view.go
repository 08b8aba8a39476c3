package mesh

import (
	"slices"
	"time"
)

// crashing returns the requests that crashed so many targets, as all VMs that
// send heartbeats here report together, that they are blocked.
func (m *Machine) crashing() []uint64 {
	sum := make(map[uint64]uint32)
	for _, c := range m.crashes {
		sum[c.Fingerprint] += c.Count
	}
	for _, n := range m.members {
		for _, c := range n.crashes {
			sum[c.Fingerprint] += c.Count
		}
	}
	var blocked []uint64
	for f, count := range sum {
		if count >= crashesToStop {
			blocked = append(blocked, f)
		}
	}
	slices.Sort(blocked)
	return blocked
}

// view returns what other tasks get to know.
func (m *Machine) view(now time.Time) *View {
	v := &View{
		Self: m.self, Nodes: m.inTouch(now), Confirmed: m.copied.ConfirmedAt(),
		Blocked: make(map[uint64]bool), Reader: m.isReader(),
	}
	v.Active = active(v.Nodes, m.serveWith)
	v.Sharers = len(v.Active)
	if m.serveWith > 0 && now.Sub(m.started) < settleTime {
		v.Sharers = max(v.Sharers, min(m.serveWith, settleSharers))
	}
	v.Demand = m.demand(now)
	if m.isolated(now) {
		v.Sharers = max(v.Sharers, m.sharers)
		for name, d := range v.Demand {
			v.Demand[name] = Demand{Total: d.Total}
		}
	}
	m.sharers = v.Sharers
	for _, h := range m.hubs {
		v.Hubs = append(v.Hubs, h.ID)
	}
	for _, f := range m.crashing() {
		v.Blocked[f] = true
	}
	for _, n := range m.members {
		if now.Sub(n.toldAt) > m.silence() {
			continue
		}
		for _, f := range n.blocked {
			v.Blocked[f] = true
		}
	}
	return v
}
