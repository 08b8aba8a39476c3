package serve

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mesh"
)

const (
	// relayLeast is the number of shards from which a relay is worth its call:
	// request and reply take about the bytes of two attempts.
	relayLeast = 3
	// relayHop is what a reply may take on its way before the shards that it
	// would report are hedged.
	relayHop = 8 * time.Millisecond
	// relayPause is how long nothing is relayed to a VM that gave no reply in
	// time; heartbeats tell within that time whether it is still there.
	relayPause = 2 * time.Second
)

// relay is the part of a query that another VM runs.
type relay struct {
	id      RelayID
	query   *query
	vm      fleet.VMID
	parts   []*part // in the order of the work's shards
	started time.Time
	due     time.Time // of the first reply
	heard   bool      // a reply has come
}

// bundle holds the records of several parts, merged by another VM.
type bundle struct{ body []byte }

// relayParts hands the parts of a fan-out that have no target in this zone to a
// VM beside their targets: one reply crosses zones instead of an answer of each.
func (e *Engine) relayParts(now time.Time, q *query) {
	if q.route.FanOut == nil || !e.view.IsActive() {
		return
	}
	far := make(map[string][]*part) // by zone with targets
	for _, p := range q.parts {
		zones := p.service.zones(now)
		if slices.Contains(zones, e.settings.Zone) {
			continue
		}
		for _, zone := range zones {
			far[zone] = append(far[zone], p)
		}
	}
	vm, parts := e.relayTo(now, q, far)
	if len(parts) < relayLeast {
		return
	}
	e.startRelay(now, q, vm, parts)
}

// zones returns the zones with targets that may get attempts.
func (s *service) zones(now time.Time) []string {
	zones := make([]string, 0, len(s.targets))
	for _, t := range s.targets {
		if t.usable(now) && !t.ejected(now) && !slices.Contains(zones, t.reg.Zone) {
			zones = append(zones, t.reg.Zone)
		}
	}
	return zones
}

// relayTo chooses the VM for the parts of a query: beside the targets of most of
// them, and another one for each query.
func (e *Engine) relayTo(now time.Time, q *query, far map[string][]*part) (mesh.Node, []*part) {
	var able []mesh.Node
	most := 0
	for _, n := range e.view.Active {
		if len(far[n.Zone]) > 0 && !now.Before(e.silent[n.ID]) {
			able = append(able, n)
			most = max(most, len(far[n.Zone]))
		}
	}
	able = slices.DeleteFunc(able, func(n mesh.Node) bool { return len(far[n.Zone]) < most })
	if len(able) == 0 {
		return mesh.Node{}, nil
	}
	slices.SortFunc(able, func(a, b mesh.Node) int { return cmp.Compare(a.ID, b.ID) })
	vm := able[q.seq%uint64(len(able))]
	return vm, far[vm.Zone]
}

func (e *Engine) startRelay(now time.Time, q *query, vm mesh.Node, parts []*part) {
	e.relaySeq++
	r := &relay{id: e.relaySeq, query: q, vm: vm.ID, parts: parts, started: now}
	e.relays[r.id] = r
	q.relay, q.relayedTo, q.relayed = r, vm.ID, len(parts)
	wait := e.hedgeWait(now, q)
	r.due = now.Add(wait + relayHop)
	work := &RelayedWork{
		Route: q.route.Name, TopK: q.route.FanOut.TopK, Request: q.request, Workspace: q.runsFor, Priority: q.priority,
		TimeLeft: q.deadline.Sub(now), ReplyIn: wait,
	}
	for _, p := range parts {
		work.Shards = append(work.Shards, p.service.name)
		p.relayed = true
		p.hedgeAt = r.due
		for _, t := range p.service.targets {
			if t.reg.Zone == vm.Zone {
				p.tried = append(p.tried, t)
			}
		}
	}
	e.emit(StartRelay{Relay: r.id, Peer: vm.Peer, Work: work})
}

// relayReplied takes over the parts that another VM has ended. Its records are
// merged, so that its answer takes the place of one that came meanwhile from an
// attempt of this VM.
func (e *Engine) relayReplied(now time.Time, ev RelayReplied) {
	r := e.relays[ev.Relay]
	if r == nil {
		return // the query has ended
	}
	r.heard = true
	q := r.query
	b := &bundle{body: ev.Reply.Body}
	for _, done := range ev.Reply.Parts {
		p := r.parts[done.Shard]
		p.relayed = false
		q.attempts += done.Attempts
		p.arrivals += done.Attempts
		p.merged, p.response = b, &Response{Success: true, Signature: done.Signature}
		if !p.done {
			e.answerPart(now, p)
		}
	}
	for _, f := range ev.Reply.Failed {
		q.attempts += f.Attempts
		e.relayedPartFailed(now, r.parts[f.Shard], f)
	}
	if !ev.Reply.More {
		e.forgetRelay(q)
	}
	for _, p := range r.parts {
		if p.relayed && !p.hedgeAt.IsZero() {
			p.hedgeAt = now // the reply was due when hedges are
		}
	}
	e.advance(now, q)
}

func (e *Engine) relayedPartFailed(now time.Time, p *part, f RelayedFailure) {
	p.relayed = false
	p.arrivals += f.Attempts
	p.ran += f.MayHaveRun
	if p.done || p.pending() > 0 {
		return
	}
	if f.Attempts == 0 { // the other VM had no target for it
		e.startOrQueue(now, p)
		return
	}
	kind := Shed
	if f.MayHaveRun > 0 {
		kind = ConnLost
	}
	e.repeat(now, p, kind, "relayed "+kind.String())
}

// relayFailed has this VM run what it relayed.
func (e *Engine) relayFailed(now time.Time, ev RelayFailed) {
	r := e.relays[ev.Relay]
	if r == nil {
		return // the query has ended
	}
	q := r.query
	e.emit(LogEvent{Event: LogRelayFailed, Request: q.request, Target: string(r.vm), Cause: ev.Cause, Duration: now.Sub(r.started)})
	e.silent[r.vm] = now.Add(relayPause)
	e.forgetRelay(q)
	failure := RelayedFailure{Attempts: 1, MayHaveRun: 1}
	if ev.NotRun {
		failure = RelayedFailure{}
	}
	var open []*part
	for _, p := range r.parts {
		if p.relayed {
			p.relayed = false
			open = append(open, p)
		}
	}
	for _, p := range open {
		e.relayedPartFailed(now, p, failure)
	}
	e.advance(now, q)
}

// noteSilence stops relaying to a VM that has not replied when hedges are due.
func (e *Engine) noteSilence(now time.Time, q *query) {
	r := q.relay
	if r == nil || r.heard || now.Before(r.due) || now.Before(e.silent[r.vm]) {
		return
	}
	e.silent[r.vm] = now.Add(relayPause)
	e.emit(LogEvent{Event: LogRelayFailed, Request: q.request, Target: string(r.vm), Cause: "no reply in time", Duration: now.Sub(r.started)})
}

func (e *Engine) forgetRelay(q *query) {
	if q.relay == nil {
		return
	}
	delete(e.relays, q.relay.id)
	q.relay = nil
}

// dropRelay ends the relay of a query that has ended.
func (e *Engine) dropRelay(q *query) {
	if q.relay == nil {
		return
	}
	for _, p := range q.relay.parts {
		p.relayed = false
	}
	e.emit(CancelRelay{Relay: q.relay.id})
	e.forgetRelay(q)
}
