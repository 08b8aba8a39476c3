package serve

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/mesh"
)

// A VM that is not active gets few requests and keeps no connections to targets. It
// hands its fan-outs to active VMs, which have the connections: opened for one query,
// a connection to each shard would be closed unused, and take each target the time of
// a request.

// maxHandOffs is the number of VMs that a shard is handed to one after the other. One
// that several VMs refuse, as their configuration lacks it, runs on this VM.
const maxHandOffs = 3

// handOff relays sub-requests of a VM that is not active to active VMs. Those that no
// VM can take are left.
func (e *Engine) handOff(now time.Time, q *query, subRequests []*subRequest) {
	if !e.canHandOff(now, q) {
		return
	}
	if a := e.reauthorize(now, q); a != nil {
		e.finish(now, q, a)
		return
	}
	for _, p := range e.planHandOffs(now, q, subRequests) {
		e.startRelay(now, q, p.vm, p.subRequests, false)
	}
}

func (e *Engine) canHandOff(now time.Time, q *query) bool {
	return q.route.FanOut != nil && q.remote == nil && !e.view.IsActive() && !e.tooLateToStart(now, q, 0)
}

// handOffPart is what one VM is to run of a query.
type handOffPart struct {
	vm          mesh.Node
	subRequests []*subRequest
}

// planHandOffs divides sub-requests between active VMs. Normally one of this zone gets
// all. Those with targets in other zones only go to VMs there, except for a few that
// are not worth a call of their own.
func (e *Engine) planHandOffs(now time.Time, q *query, subRequests []*subRequest) []handOffPart {
	open := slices.DeleteFunc(slices.Clone(subRequests), func(sub *subRequest) bool { return len(sub.relayedTo) >= maxHandOffs })
	var plan []handOffPart
	for _, byZone := range []map[string][]*subRequest{shardsByZone(now, open, true), shardsByZone(now, open, false)} {
		for {
			vm, part := e.chooseRelayVM(now, q, byZone)
			if len(part) == 0 || len(plan) > 0 && len(part) < minRelayShards {
				break
			}
			plan = append(plan, handOffPart{vm, part})
			removeAssigned(byZone, part)
			open = slices.DeleteFunc(open, func(sub *subRequest) bool { return slices.Contains(part, sub) })
		}
		if len(plan) > 0 {
			break
		}
	}
	if len(plan) > 0 {
		plan[0].subRequests = append(plan[0].subRequests, untriedAt(plan[0].vm.ID, open)...)
	}
	return plan
}

// mayServeOthers reports whether nothing is known against attempts of another VM at the
// target. Connections that failed count for a moment only: this VM makes too few to
// find out that they succeed again.
func (t *target) mayServeOthers(now time.Time) bool {
	return t.registered(now) && !t.ejected(now) && !t.isLeaving() && !t.backsOff(now) && !now.Before(t.nextConnectAt)
}

// shardsByZone returns sub-requests by each zone with targets for them, or only with
// those that no attempt has been made at.
func shardsByZone(now time.Time, subRequests []*subRequest, untriedOnly bool) map[string][]*subRequest {
	byZone := make(map[string][]*subRequest)
	for _, sub := range subRequests {
		var zones []string
		for _, t := range sub.service.targets {
			if t.mayServeOthers(now) && !slices.Contains(zones, t.reg.Zone) && !(untriedOnly && slices.Contains(sub.tried, t)) {
				zones = append(zones, t.reg.Zone)
			}
		}
		for _, zone := range zones {
			byZone[zone] = append(byZone[zone], sub)
		}
	}
	return byZone
}

// relayWait returns how long another VM may take before it replies, and before the
// shards that it has not answered are hedged. The latency of attempts is not known on
// a VM that makes none; the objective then bounds it.
func (e *Engine) relayWait(now time.Time, q *query) time.Duration {
	if e.view.IsActive() {
		return e.hedgeWait(now, q)
	}
	typical := min(e.route(q.route.Name).latency.P90, q.route.Objective*hedgeAfterPercent/100)
	return max(typical, q.leastHedgeWait(now))
}

// relayDueHedges hedges the due sub-requests that run on another VM by relays to
// further active VMs. It leaves those that no VM can take, and those of a VM that has
// sent no reply: if this VM is cut off, a further one sends none either, and the route
// allows no third attempt.
func (e *Engine) relayDueHedges(now time.Time, q *query) {
	if !e.canHandOff(now, q) {
		return
	}
	var due []*subRequest
	for _, sub := range q.subRequests {
		if e.needsHedge(now, sub) && sub.relay != nil && sub.relay.replied {
			due = append(due, sub)
		}
	}
	if len(due) == 0 {
		return
	}
	if a := e.reauthorize(now, q); a != nil {
		e.finish(now, q, a)
		return
	}
	for _, p := range e.planHandOffs(now, q, due) {
		part := slices.DeleteFunc(p.subRequests, func(sub *subRequest) bool { return !e.takeRelayedHedge(now, sub, p.vm) })
		if len(part) > 0 {
			e.startRelay(now, q, p.vm, part, true)
		}
	}
}

// takeRelayedHedge takes a hedge at another VM from the retry budget. It postpones the
// hedge if nothing is left.
func (e *Engine) takeRelayedHedge(now time.Time, sub *subRequest, vm mesh.Node) bool {
	if !sub.service.budget.TakeHedge() {
		e.postponeHedge(now, sub, MissingHedgeBudget)
		return false
	}
	e.recordHedge(now, sub, string(vm.ID))
	return true
}

// connectForHedge opens a connection for a hedge that found no target with a free one,
// on a VM that keeps none.
func (e *Engine) connectForHedge(now time.Time, sub *subRequest) {
	if e.view.IsActive() || slices.ContainsFunc(sub.service.targets, func(t *target) bool { return len(t.conns) > len(t.running) }) {
		return
	}
	var best *target
	for _, t := range sub.service.targets {
		if slices.Contains(sub.tried, t) || !t.mayServeOthers(now) || len(t.conns) > 0 {
			continue
		}
		if best == nil || t.reg.Zone == e.settings.Zone && best.reg.Zone != e.settings.Zone {
			best = t
		}
	}
	if best != nil {
		e.openConn(now, best)
	}
}
