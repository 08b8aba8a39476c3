package serve

import (
	"cmp"
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
	started     time.Time
	replyDue    time.Time // when the first reply is due
	replied     bool      // at least one reply has come
}

// mergedRecords holds the records of several sub-requests, merged by another
// VM.
type mergedRecords struct{ body []byte }

// relayFarShards relays the shards of a fan-out that have no target in this zone to
// VMs in the zones of their targets, so that one reply of each zone crosses zones
// instead of an answer of each shard.
func (e *Engine) relayFarShards(now time.Time, q *query) {
	if q.route.FanOut == nil || !e.view.IsActive() {
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
		e.startRelay(now, q, vm, subRequests)
		for zone, open := range byZone {
			byZone[zone] = slices.DeleteFunc(open, func(sub *subRequest) bool { return sub.relay != nil })
		}
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
// run. It is one in the zone with targets for most of them, and a different one
// for successive queries.
func (e *Engine) chooseRelayVM(now time.Time, q *query, byZone map[string][]*subRequest) (mesh.Node, []*subRequest) {
	var candidates []mesh.Node
	maxCount := 0
	for _, n := range e.view.Active {
		if len(byZone[n.Zone]) > 0 && !now.Before(e.relayBlockedUntil[n.ID]) {
			candidates = append(candidates, n)
			maxCount = max(maxCount, len(byZone[n.Zone]))
		}
	}
	candidates = slices.DeleteFunc(candidates, func(n mesh.Node) bool { return len(byZone[n.Zone]) < maxCount })
	if len(candidates) == 0 {
		return mesh.Node{}, nil
	}
	slices.SortFunc(candidates, func(a, b mesh.Node) int { return cmp.Compare(a.ID, b.ID) })
	vm := candidates[q.seq%uint64(len(candidates))]
	return vm, slices.Clone(byZone[vm.Zone])
}

// startRelay relays sub-requests to a VM. The targets in its zone count as
// tried, so that hedges go elsewhere.
func (e *Engine) startRelay(now time.Time, q *query, vm mesh.Node, subRequests []*subRequest) {
	e.relaySeq++
	r := &relay{id: e.relaySeq, query: q, vm: vm.ID, subRequests: subRequests, started: now}
	e.relays[r.id] = r
	q.relays, q.relayedTo = append(q.relays, r), append(q.relayedTo, vm.ID)
	q.relayed += len(subRequests)
	wait := e.hedgeWait(now, q)
	r.replyDue = now.Add(wait + relayHopAllowance)
	work := &RelayedWork{
		Route: q.route.Name, TopK: q.route.FanOut.TopK, Request: q.request, Workspace: q.workspaceName, Priority: q.priority,
		TimeLeft: q.deadline.Sub(now), ReplyTimeout: wait,
	}
	for _, sub := range subRequests {
		work.Shards = append(work.Shards, sub.service.name)
		sub.relay = r
		sub.hedgeAt = r.replyDue
		for _, t := range sub.service.targets {
			if t.reg.Zone == vm.Zone {
				sub.tried = append(sub.tried, t)
			}
		}
	}
	e.emit(StartRelay{Relay: r.id, Peer: vm.Peer, Work: work})
}

// relayReplied handles a reply of another VM. The records in a reply are
// merged, so they replace an answer to the same shard that an attempt of this
// VM got meanwhile.
func (e *Engine) relayReplied(now time.Time, ev RelayReplied) {
	r := e.relays[ev.Relay]
	if r == nil {
		return // the query has ended
	}
	r.replied = true
	q := r.query
	for _, id := range ev.Reply.Leaving {
		if t := e.targets[id]; t != nil {
			e.targetLeaving(now, t)
		}
	}
	b := &mergedRecords{body: ev.Reply.Body}
	for _, done := range ev.Reply.Answers {
		sub := r.subRequests[done.Shard]
		sub.relay = nil
		q.attempts += done.Attempts
		sub.delivered += done.Attempts
		sub.merged, sub.response = b, &Response{Success: true, Signature: done.Signature}
		if !sub.done {
			e.completeSubRequest(now, sub)
		}
	}
	for _, f := range ev.Reply.Failed {
		q.attempts += f.Attempts
		e.relayedShardFailed(now, r.subRequests[f.Shard], f)
	}
	if !ev.Reply.More {
		e.removeRelay(r)
	}
	for _, sub := range r.subRequests {
		if sub.relay == r && !sub.hedgeAt.IsZero() {
			sub.hedgeAt = now // the other VM has replied, so shards that are still running are late
		}
	}
	e.advance(now, q)
}

// relayedShardFailed retries a sub-request that failed on the other VM, unless
// an attempt of this VM is in flight.
func (e *Engine) relayedShardFailed(now time.Time, sub *subRequest, f RelayedFailure) {
	sub.relay = nil
	sub.delivered += f.Attempts
	sub.possibleRuns += f.PossibleRuns
	if sub.done || sub.pending() > 0 {
		return
	}
	if f.Attempts == 0 { // the other VM had no target for it
		e.startOrQueue(now, sub)
		return
	}
	kind := Shed
	if f.PossibleRuns > 0 {
		kind = ConnLost
	}
	e.retryOrFail(now, sub, kind, "relayed "+kind.String())
}

// relayFailed runs the open sub-requests of a failed relay on this VM. Unless
// the other VM refused the work, each counts as an attempt that may have run.
func (e *Engine) relayFailed(now time.Time, ev RelayFailed) {
	r := e.relays[ev.Relay]
	if r == nil {
		return // the query has ended
	}
	q := r.query
	e.emit(LogEvent{Event: LogRelayFailed, Request: q.request, Target: string(r.vm), Cause: ev.Cause, Duration: now.Sub(r.started)})
	e.relayBlockedUntil[r.vm] = now.Add(relayBackoff)
	e.removeRelay(r)
	failure := RelayedFailure{Attempts: 1, PossibleRuns: 1}
	if ev.Refused {
		failure = RelayedFailure{}
	}
	var open []*subRequest
	for _, sub := range r.subRequests {
		if sub.relay == r {
			sub.relay = nil
			open = append(open, sub)
		}
	}
	for _, sub := range open {
		e.relayedShardFailed(now, sub, failure)
	}
	e.advance(now, q)
}

// detectLateRelays stops relaying to VMs that have sent no reply by the time when
// one was due.
func (e *Engine) detectLateRelays(now time.Time, q *query) {
	for _, r := range q.relays {
		if r.replied || now.Before(r.replyDue) || now.Before(e.relayBlockedUntil[r.vm]) {
			continue
		}
		e.relayBlockedUntil[r.vm] = now.Add(relayBackoff)
		e.emit(LogEvent{Event: LogRelayFailed, Request: q.request, Target: string(r.vm), Cause: "no reply in time", Duration: now.Sub(r.started)})
	}
}

func (e *Engine) removeRelay(r *relay) {
	delete(e.relays, r.id)
	r.query.relays = slices.DeleteFunc(r.query.relays, func(o *relay) bool { return o == r })
}

// cancelRelays ends the open relays of a query that has ended.
func (e *Engine) cancelRelays(q *query) {
	for _, r := range q.relays {
		for _, sub := range r.subRequests {
			if sub.relay == r {
				sub.relay = nil
			}
		}
		delete(e.relays, r.id)
		e.emit(CancelRelay{Relay: r.id})
	}
	q.relays = nil
}
