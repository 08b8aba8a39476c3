package serve

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mesh"
)

const (
	// minRelayShards is the number of shards from which a relay is worth its
	// call: its request and reply take about the bytes of two attempts.
	minRelayShards = 3
	// relayHopAllowance is how long a reply may be under way before the shards
	// that it would report are hedged.
	relayHopAllowance = 8 * time.Millisecond
	// relayBackoff is how long nothing is relayed to a VM that has failed or
	// sent no reply in time. Heartbeats show within that time whether it is
	// still reachable.
	relayBackoff = 2 * time.Second
)

// relay is a set of sub-requests of a query that another VM runs.
type relay struct {
	id          RelayID
	query       *query
	vm          fleet.VMID
	subRequests []*subRequest // in the order of RelayedWork.Shards
	isHedge     bool          // the sub-requests run elsewhere too, and are late there
	started     time.Time
	replyDue    time.Time // when the first reply is due
	replied     bool      // at least one reply has come
	isLate      bool      // none had come when the first one was due
}

// mergedRecords holds the records of several sub-requests, merged by another
// VM.
type mergedRecords struct {
	body        []byte
	subRequests []*subRequest // whose records the body holds
}

// relayFarShards relays the shards of a fan-out that are to run on other VMs: all
// of them if this VM is not active, and otherwise those without a target in this
// zone, so that one reply of each zone crosses zones instead of an answer of each
// shard.
func (e *Engine) relayFarShards(now time.Time, q *query) {
	if q.route.FanOut == nil {
		return
	}
	if !e.view.IsActive() {
		e.handOff(now, q, q.subRequests)
		return
	}
	byZone := make(map[string][]*subRequest) // sub-requests by each zone with targets for them
	for _, sub := range q.subRequests {
		zones := sub.service.zones(now)
		if slices.Contains(zones, e.settings.Zone) {
			continue
		}
		for _, zone := range zones {
			byZone[zone] = append(byZone[zone], sub)
		}
	}
	for {
		vm, subRequests := e.chooseRelayVM(now, q, byZone)
		if len(subRequests) < minRelayShards {
			return
		}
		e.startRelay(now, q, vm, subRequests, false)
		removeAssigned(byZone, subRequests)
	}
}

// removeAssigned removes sub-requests that a VM is to run from those by zone.
func removeAssigned(byZone map[string][]*subRequest, assigned []*subRequest) {
	for zone, open := range byZone {
		byZone[zone] = slices.DeleteFunc(open, func(sub *subRequest) bool { return slices.Contains(assigned, sub) })
	}
}

// zones returns the zones with targets that are not known to fail or to be about to
// end. A connection of this VM is not needed, as a relay uses those of the other VM.
func (s *service) zones(now time.Time) []string {
	zones := make([]string, 0, len(s.targets))
	for _, t := range s.targets {
		if t.isSound(now) && !slices.Contains(zones, t.reg.Zone) {
			zones = append(zones, t.reg.Zone)
		}
	}
	return zones
}

// chooseRelayVM returns the VM for a relay and the sub-requests that it is to
// run. A VM of this zone comes first, then one in the zone with targets for most of
// the sub-requests. Successive queries, and different VMs, use different ones.
func (e *Engine) chooseRelayVM(now time.Time, q *query, byZone map[string][]*subRequest) (mesh.Node, []*subRequest) {
	var candidates []mesh.Node
	var best relayPreference
	for _, n := range e.view.Active {
		if now.Before(e.relayBlockedUntil[n.ID]) {
			continue
		}
		p := relayPreference{isNear: n.Zone == e.settings.Zone, shards: len(untriedAt(n.ID, byZone[n.Zone]))}
		switch c := p.compare(best); {
		case p.shards == 0 || c < 0:
			continue
		case c > 0:
			candidates, best = candidates[:0], p
		}
		candidates = append(candidates, n)
	}
	if len(candidates) == 0 {
		return mesh.Node{}, nil
	}
	slices.SortFunc(candidates, func(a, b mesh.Node) int { return cmp.Compare(a.ID, b.ID) })
	vm := candidates[(q.seq+spreadOffset(e.view.Self.ID))%uint64(len(candidates))]
	return vm, untriedAt(vm.ID, byZone[vm.Zone])
}

// relayPreference orders the VMs for a relay.
type relayPreference struct {
	isNear bool // the VM is in this zone
	shards int  // number of sub-requests that it could run
}

// compare returns a positive number if p is preferred to o.
func (p relayPreference) compare(o relayPreference) int {
	if p.isNear != o.isNear && p.shards > 0 && o.shards > 0 {
		if p.isNear {
			return 1
		}
		return -1
	}
	return cmp.Compare(p.shards, o.shards)
}

// untriedAt returns the sub-requests that were not relayed to a VM before.
func untriedAt(vm fleet.VMID, subRequests []*subRequest) []*subRequest {
	var untried []*subRequest
	for _, sub := range subRequests {
		if !slices.Contains(sub.relayedTo, vm) {
			untried = append(untried, sub)
		}
	}
	return untried
}

// spreadOffset returns a number that differs between VMs, so that they don't all
// begin with the same one of several choices.
func spreadOffset(id fleet.VMID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum64() >> 32     // adding a sequence number does not overflow
}

// startRelay relays sub-requests to a VM, as hedges if they run elsewhere too. The
// targets in its zone count as tried, so that later attempts go elsewhere.
func (e *Engine) startRelay(now time.Time, q *query, vm mesh.Node, subRequests []*subRequest, isHedge bool) {
	e.relaySeq++
	r := &relay{id: e.relaySeq, query: q, vm: vm.ID, subRequests: subRequests, isHedge: isHedge, started: now}
	e.relays[r.id] = r
	q.relays = append(q.relays, r)
	if !slices.Contains(q.relayedTo, vm.ID) {
		q.relayedTo = append(q.relayedTo, vm.ID)
	}
	wait := e.relayWait(now, q)
	r.replyDue = now.Add(wait + relayHopAllowance)
	if isHedge {
		wait = min(wait, max(e.route(q.route.Name).latency.P50, minHedgeWait)) // late already: no shard waits for another one
	}
	work := &RelayedWork{
		Route: q.route.Name, TopK: q.route.FanOut.TopK, Request: q.request, Workspace: q.workspaceName, Priority: q.priority,
		TimeLeft: q.deadline.Sub(now), ReplyTimeout: wait,
	}
	for _, sub := range subRequests {
		work.Shards = append(work.Shards, sub.service.name)
		r.attach(sub)
		for _, t := range sub.service.targets {
			if t.reg.Zone == vm.Zone {
				sub.tried = append(sub.tried, t)
			}
		}
	}
	e.emit(StartRelay{Relay: r.id, Peer: vm.Peer, Work: work})
}

// attach makes a sub-request wait for the relay.
func (r *relay) attach(sub *subRequest) {
	if len(sub.relayedTo) == 0 {
		r.query.relayed++
	}
	sub.relayedTo = append(sub.relayedTo, r.vm)
	if r.isHedge {
		sub.hedgeRelay = r
		return
	}
	sub.relay, sub.hedgeAt = r, r.replyDue
}

// detach ends the wait of a sub-request for the relay.
func (r *relay) detach(sub *subRequest) {
	if sub.relay == r {
		sub.relay = nil
	}
	if sub.hedgeRelay == r {
		sub.hedgeRelay = nil
	}
}

// runs reports whether a sub-request waits for the relay.
func (r *relay) runs(sub *subRequest) bool { return sub.relay == r || sub.hedgeRelay == r }

func (e *Engine) removeRelay(r *relay) {
	delete(e.relays, r.id)
	r.query.relays = slices.DeleteFunc(r.query.relays, func(o *relay) bool { return o == r })
}

// dropRelay ends a relay whose replies are no longer needed.
func (e *Engine) dropRelay(r *relay) {
	for _, sub := range r.subRequests {
		r.detach(sub)
	}
	delete(e.relays, r.id)
	e.emit(CancelRelay{Relay: r.id})
}

// cancelRelays ends the open relays of a query that has ended.
func (e *Engine) cancelRelays(q *query) {
	for _, r := range q.relays {
		e.dropRelay(r)
	}
	q.relays = nil
}
