package mesh

import (
	"cmp"
	"slices"
	"time"
)

const (
	// partMargin is how much longer the demand of a silent VM counts than that VM
	// uses its part, for timers and clocks that run late.
	partMargin = 200 * time.Millisecond
	// isolationTerm is how long VMs that fell silent may still be there. A VM that
	// hears of no other for longer takes itself for the only one.
	isolationTerm = 10 * time.Second
)

// heldDemand is the demand in the last heartbeat of a VM.
type heldDemand struct {
	offered []WorkspaceDemand
	at      time.Time
	term    time.Duration // for which its VM uses its part
}

// toldDemand is what the last reply of a hub said of the fleet's demand.
type toldDemand struct {
	totals []WorkspaceDemand
	own    []WorkspaceDemand // this VM's demand that totals holds
	sent   time.Time         // of the heartbeat that was answered
	term   time.Duration     // for which that heartbeat allows to use a part
}

// partTerm is how long a VM uses its part of limits after it sent a heartbeat
// that was answered, and that announced the next one after an interval. Then the
// others may have taken the part over.
func partTerm(every time.Duration) time.Duration { return silentBeats * every }

// demand returns the fleet's demand with the part of this VM in it. What a hub
// told that is silent now is kept for a while beside what others tell: those may
// not have heard of all VMs yet.
func (m *Machine) demand(now time.Time) map[string]Demand {
	all := make(map[string]Demand)
	for _, t := range m.told {
		mergeDemand(all, t.totals, t.own)
	}
	if m.isHub() {
		mergeDemand(all, m.directTotals(now), m.steady(m.offered, m.before))
	}
	return all
}

// isolated reports whether the other VMs may have taken over the parts of this
// one. VMs that refused connections are gone and take nothing.
func (m *Machine) isolated(now time.Time) bool {
	lost := 0
	for id, at := range m.silent {
		if m.members[id] == nil && now.Sub(at) <= isolationTerm {
			lost++
		}
	}
	if lost == 0 {
		return false
	}
	if !m.inCompany(now) {
		return true
	}
	// More VMs are out of touch than in touch, and the store is as well: this is
	// the smaller side of a partition.
	return lost > len(m.members) && now.Sub(m.copied.ConfirmedAt()) > m.ownReadAge()
}

// inCompany reports whether another VM knows of this one's demand.
func (m *Machine) inCompany(now time.Time) bool {
	for _, t := range m.told {
		if now.Sub(t.sent) <= t.term {
			return true
		}
	}
	if !m.isHub() {
		return false
	}
	for _, h := range m.held {
		if now.Sub(h.at) <= h.term {
			return true
		}
	}
	return false
}

// forgetDemand drops what counts no more.
func (m *Machine) forgetDemand(now time.Time) {
	for id, t := range m.told {
		if now.Sub(t.sent) > 2*t.term {
			delete(m.told, id)
		}
	}
	for id, h := range m.held {
		if now.Sub(h.at) > h.term+partMargin {
			delete(m.held, id)
		}
	}
	for id, at := range m.silent {
		if now.Sub(at) > isolationTerm {
			delete(m.silent, id)
		}
	}
}

// directTotals adds up the demand of the VMs that send heartbeats here. That of a
// VM counts for longer than the VM uses its part.
func (m *Machine) directTotals(now time.Time) []WorkspaceDemand {
	sum := make(map[string]float64)
	add := func(all []WorkspaceDemand) {
		for _, o := range all {
			sum[o.Workspace] += o.RatePerSecond
		}
	}
	add(m.offered)
	for _, h := range m.held {
		if now.Sub(h.at) <= h.term+partMargin {
			add(h.offered)
		}
	}
	totals := make([]WorkspaceDemand, 0, len(sum))
	for name, rate := range sum {
		totals = append(totals, WorkspaceDemand{Workspace: name, RatePerSecond: rate})
	}
	slices.SortFunc(totals, func(a, b WorkspaceDemand) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return totals
}

// mergeDemand keeps the larger of two sums, since each hub may lack some VMs,
// and with it the part of this VM that the sum holds. A VM that set a newer own
// demand against an older sum would take too large a part in a surge, and all of
// them together several times a limit.
func mergeDemand(into map[string]Demand, totals, own []WorkspaceDemand) {
	for _, o := range totals {
		if o.RatePerSecond > into[o.Workspace].Total {
			into[o.Workspace] = Demand{Own: offeredFor(own, o.Workspace), Total: o.RatePerSecond}
		}
	}
}

const (
	// surgeFactor bounds what a demand may have grown by since the heartbeat
	// before. Noise stays below it where requests are many.
	surgeFactor = 2
	// surgeRequests is the same for few requests, in requests that a VM may admit
	// beyond its part in one interval. Limits leave room for some.
	surgeRequests = 0.5
)

// steady returns a demand without the surges in it. The sums hold the last but
// one demand of VMs that have not sent a heartbeat since, and in a surge on all
// VMs each would take a part that the others still count on.
func (m *Machine) steady(now, before []WorkspaceDemand) []WorkspaceDemand {
	few := surgeRequests / m.usualInterval().Seconds()
	held := make([]WorkspaceDemand, len(now))
	for i, o := range now {
		was := offeredFor(before, o.Workspace)
		held[i] = WorkspaceDemand{Workspace: o.Workspace, RatePerSecond: min(o.RatePerSecond, max(surgeFactor*was, was+few))}
	}
	return held
}

func offeredFor(all []WorkspaceDemand, workspace string) float64 {
	for _, o := range all {
		if o.Workspace == workspace {
			return o.RatePerSecond
		}
	}
	return 0
}
