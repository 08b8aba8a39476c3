package serve

import (
	"slices"
	"time"
)

// relayReplied handles a reply of another VM. The records in a reply are
// merged, so they replace an answer to the same shard that came meanwhile from
// elsewhere.
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
	again := e.takeAnswers(now, r, ev.Reply)
	for _, f := range ev.Reply.Failed {
		q.attempts += f.Attempts
		if e.relayedShardFailed(now, r, r.subRequests[f.Shard], f) {
			again = append(again, r.subRequests[f.Shard])
		}
	}
	if !ev.Reply.More {
		e.removeRelay(r)
	}
	e.startAgain(now, q, again)
	for _, sub := range r.subRequests {
		if sub.relay == r && !sub.hedgeAt.IsZero() {
			sub.hedgeAt = now // the other VM has replied, so shards that are still running are late
		}
	}
	e.cancelUnneededRelays(q)
	e.advance(now, q)
}

// takeAnswers completes the sub-requests that a reply answers. Records that can't be
// told from those of another relay are not used; a sub-request without another answer
// then counts as failed, and is returned if it is to run again.
func (e *Engine) takeAnswers(now time.Time, r *relay, reply *RelayReply) (again []*subRequest) {
	merged := &mergedRecords{body: reply.Body}
	for _, done := range reply.Answers {
		merged.subRequests = append(merged.subRequests, r.subRequests[done.Shard])
	}
	usable := merged.canReplaceOthers()
	for _, done := range reply.Answers {
		sub := r.subRequests[done.Shard]
		r.query.attempts += done.Attempts
		if !usable {
			if e.relayedShardFailed(now, r, sub, RelayedFailure{Attempts: done.Attempts, PossibleRuns: done.Attempts}) {
				again = append(again, sub)
			}
			continue
		}
		r.detach(sub)
		sub.delivered += done.Attempts
		sub.merged, sub.response = merged, &Response{Success: true, Signature: done.Signature}
		if !sub.done {
			e.completeSubRequest(now, sub)
		}
	}
	return again
}

// canReplaceOthers reports whether the records can be used: each body in use that
// holds records of the same sub-requests holds no others, so that it is replaced as a
// whole. Otherwise some shard would count twice or be lost.
func (m *mergedRecords) canReplaceOthers() bool {
	for _, sub := range m.subRequests {
		if sub.merged == nil {
			continue
		}
		for _, other := range sub.merged.subRequests {
			if !slices.Contains(m.subRequests, other) {
				return false
			}
		}
	}
	return true
}

// relayedShardFailed records that a relay has ended a sub-request without an answer,
// and reports whether it is to run again. It is not while another attempt is in
// flight, or if the relay has reported its end before.
func (e *Engine) relayedShardFailed(now time.Time, r *relay, sub *subRequest, f RelayedFailure) bool {
	if !r.runs(sub) {
		return false
	}
	r.detach(sub)
	sub.delivered += f.Attempts
	sub.possibleRuns += f.PossibleRuns
	if sub.done || sub.pending() > 0 {
		return false
	}
	if f.Attempts == 0 { // the other VM had no target for it, or refused it
		return true
	}
	kind := Shed
	if f.PossibleRuns > 0 {
		kind = ConnLost
	}
	return e.prepareRetry(now, sub, kind, "relayed "+kind.String())
}

// startAgain starts sub-requests that another VM has ended without an answer: on a
// further VM if this one is not active, else here.
func (e *Engine) startAgain(now time.Time, q *query, subRequests []*subRequest) {
	if len(subRequests) > 0 {
		e.handOff(now, q, subRequests)
	}
	e.startHere(now, subRequests)
}

// startHere starts those of the sub-requests on this VM that run nowhere.
func (e *Engine) startHere(now time.Time, subRequests []*subRequest) {
	for _, sub := range subRequests {
		if !sub.done && sub.pending() == 0 { // starting an earlier one may have ended the query
			e.startOrQueue(now, sub)
		}
	}
}

// relayFailed starts the open sub-requests of a failed relay again. Unless the other
// VM refused the work, each counts as an attempt that may have run.
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
	var again []*subRequest
	for _, sub := range r.subRequests {
		if e.relayedShardFailed(now, r, sub, failure) {
			again = append(again, sub)
		}
	}
	if ev.Refused {
		e.startAgain(now, q, again)
	} else { // another lost call would be the last attempt that the route allows
		e.startHere(now, again)
	}
	e.advance(now, q)
}

// detectLateRelays stops relaying to VMs that have sent no reply by the time when
// one was due.
func (e *Engine) detectLateRelays(now time.Time, q *query) {
	for _, r := range q.relays {
		if r.replied || r.isLate || now.Before(r.replyDue) {
			continue
		}
		r.isLate = true
		r.permitTriedTargets()
		if now.Before(e.relayBlockedUntil[r.vm]) {
			continue
		}
		e.relayBlockedUntil[r.vm] = now.Add(relayBackoff)
		e.emit(LogEvent{Event: LogRelayFailed, Request: q.request, Target: string(r.vm), Cause: "no reply in time", Duration: now.Sub(r.started)})
	}
}

// permitTriedTargets lets hedges go to the targets beside the VM of a relay without
// reply where there are no others: it may not have made any attempt.
func (r *relay) permitTriedTargets() {
	for _, sub := range r.subRequests {
		if r.runs(sub) && !slices.ContainsFunc(sub.service.targets, func(t *target) bool { return !slices.Contains(sub.tried, t) }) {
			sub.tried = nil
		}
	}
}

// cancelUnneededRelays ends the relays all of whose sub-requests have answers.
func (e *Engine) cancelUnneededRelays(q *query) {
	q.relays = slices.DeleteFunc(q.relays, func(r *relay) bool {
		if slices.ContainsFunc(r.subRequests, r.runsOpen) {
			return false
		}
		e.dropRelay(r)
		return true
	})
}

// runsOpen reports whether a sub-request without an answer waits for the relay.
func (r *relay) runsOpen(sub *subRequest) bool { return !sub.done && r.runs(sub) }
