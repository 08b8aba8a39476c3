package mesh

import (
	"cmp"
	"slices"
	"time"
)

const (
	// demandMargin is how much longer the demand of an unresponsive VM is counted
	// than that VM uses its share, to allow for late timers and clock drift.
	demandMargin = 200 * time.Millisecond
	// partitionTTL is how long unresponsive VMs are assumed to still run behind a
	// network partition. A VM that reaches no other for longer assumes that it is
	// the only one.
	partitionTTL = 10 * time.Second
)

// peerDemand is the demand in the last heartbeat received from a VM.
type peerDemand struct {
	demand     []WorkspaceDemand
	receivedAt time.Time
	ttl        time.Duration // for which that VM uses its share, counted from sending
}

// hubDemand is the fleet's demand in the last reply of a hub.
type hubDemand struct {
	totals []WorkspaceDemand
	own    []WorkspaceDemand // this VM's demand that is included in totals
	sentAt time.Time         // when the heartbeat that was answered was sent
	ttl    time.Duration     // for which that heartbeat entitles this VM to its share
}

// shareTTL returns how long a VM may use its share of limits, counted from the
// sending of an answered heartbeat that announced the interval. Afterwards the
// others may have taken over the share.
func shareTTL(interval time.Duration) time.Duration { return maxMissedHeartbeats * interval }

// fleetDemand returns the fleet's demand and this VM's demand within it, by
// workspace. The last report of an unresponsive hub is used beside those of the
// other hubs for a while, since these may not have received the demand of all
// VMs yet.
func (m *Machine) fleetDemand(now time.Time) map[string]Demand {
	all := make(map[string]Demand)
	for _, d := range m.hubDemands {
		mergeDemand(all, d.totals, d.own)
	}
	if m.isHub() {
		mergeDemand(all, m.directTotals(now), m.limitSurge(m.localDemand, m.prevLocalDemand))
	}
	return all
}

// isPartitioned reports whether this VM may be on the minority side of a network
// partition, so that the other VMs may have taken over its shares. VMs that
// refused a connection are gone and take over nothing.
func (m *Machine) isPartitioned(now time.Time) bool {
	unresponsive := 0
	for id, at := range m.unresponsiveSince {
		if m.members[id] == nil && now.Sub(at) <= partitionTTL {
			unresponsive++
		}
	}
	if unresponsive == 0 {
		return false
	}
	if !m.isDemandKnown(now) {
		return true
	}
	// More VMs are unresponsive than reachable, and the copy of the store is
	// overdue as well: this is the minority side.
	return unresponsive > len(m.members) && now.Sub(m.storeCopy.ConfirmedAt()) > m.fallbackReadAge()
}

// isDemandKnown reports whether another VM knows this one's demand.
func (m *Machine) isDemandKnown(now time.Time) bool {
	for _, d := range m.hubDemands {
		if now.Sub(d.sentAt) <= d.ttl {
			return true
		}
	}
	if !m.isHub() {
		return false
	}
	for _, d := range m.peerDemands {
		if now.Sub(d.receivedAt) <= d.ttl {
			return true
		}
	}
	return false
}

// expireDemand drops reports of demand and records of unresponsive VMs that are
// too old to be counted.
func (m *Machine) expireDemand(now time.Time) {
	for id, d := range m.hubDemands {
		if now.Sub(d.sentAt) > 2*d.ttl {
			delete(m.hubDemands, id)
		}
	}
	for id, d := range m.peerDemands {
		if now.Sub(d.receivedAt) > d.ttl+demandMargin {
			delete(m.peerDemands, id)
		}
	}
	for id, at := range m.unresponsiveSince {
		if now.Sub(at) > partitionTTL {
			delete(m.unresponsiveSince, id)
		}
	}
}

// directTotals returns the sum of this VM's demand and that of the VMs that send
// heartbeats to it, sorted by workspace. The demand of a VM is counted for longer
// than the VM uses its share.
func (m *Machine) directTotals(now time.Time) []WorkspaceDemand {
	sum := make(map[string]float64)
	add := func(all []WorkspaceDemand) {
		for _, d := range all {
			sum[d.Workspace] += d.RatePerSecond
		}
	}
	add(m.localDemand)
	for _, peer := range m.peerDemands {
		if now.Sub(peer.receivedAt) <= peer.ttl+demandMargin {
			add(peer.demand)
		}
	}
	totals := make([]WorkspaceDemand, 0, len(sum))
	for name, rate := range sum {
		totals = append(totals, WorkspaceDemand{Workspace: name, RatePerSecond: rate})
	}
	slices.SortFunc(totals, func(a, b WorkspaceDemand) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return totals
}

// mergeDemand keeps the larger of two totals by workspace, since each hub may
// lack some VMs, together with this VM's demand that the total includes. A VM
// that divided its newest demand by an older total would take too large a share
// in a surge, and all VMs together several times the limit.
func mergeDemand(into map[string]Demand, totals, own []WorkspaceDemand) {
	for _, d := range totals {
		if d.RatePerSecond > into[d.Workspace].Total {
			into[d.Workspace] = Demand{Own: rateOf(own, d.Workspace), Total: d.RatePerSecond}
		}
	}
}

const (
	// maxSurgeFactor bounds the growth of a demand from one heartbeat to the next.
	// At high rates the random variation is smaller.
	maxSurgeFactor = 2
	// maxSurgeRequests bounds the growth at low rates, in requests per heartbeat
	// interval that a VM may admit beyond its share. The limits have a tolerance for
	// a few requests.
	maxSurgeRequests = 0.5
)

// limitSurge returns the current demand with its growth over the previous one
// limited. The totals still hold the previous demand of VMs whose next heartbeat
// is not due yet; in a surge on all VMs, each would take a share that the others
// still use.
func (m *Machine) limitSurge(current, previous []WorkspaceDemand) []WorkspaceDemand {
	surgeAllowance := maxSurgeRequests / m.heartbeatInterval().Seconds()
	limited := make([]WorkspaceDemand, len(current))
	for i, d := range current {
		prev := rateOf(previous, d.Workspace)
		limited[i] = WorkspaceDemand{Workspace: d.Workspace, RatePerSecond: min(d.RatePerSecond, max(maxSurgeFactor*prev, prev+surgeAllowance))}
	}
	return limited
}

// rateOf returns the rate of a workspace in requests per second, zero when it is
// not listed.
func rateOf(demands []WorkspaceDemand, workspace string) float64 {
	for _, d := range demands {
		if d.Workspace == workspace {
			return d.RatePerSecond
		}
	}
	return 0
}
