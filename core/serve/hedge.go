package serve

import (
	"slices"
	"time"
)

const (
	// hedgeAfterPercent is the share of the time until the objective, in
	// percent, before which an attempt is not hedged: it may well be answered
	// in time, and the hedge mostly crosses zones.
	hedgeAfterPercent = 30
	minHedgeWait      = 4 * time.Millisecond // shorter waits are dominated by timers and the network
	// hedgeRecheckDivisor divides the median latency: a hedge that could not
	// start is tried again after the result.
	hedgeRecheckDivisor = 4
	// fairChancePercent is the part of the objective, in percent, that an attempt gets at
	// least before it is hedged: one that gets less is no real attempt.
	fairChancePercent = 10
)

// hedgeWait returns how long the first attempt of a sub-request may take before
// it is hedged.
func (e *Engine) hedgeWait(now time.Time, q *query) time.Duration {
	return max(e.route(q.route.Name).latency.P90, q.leastHedgeWait(now))
}

// leastHedgeWait returns how long each first attempt of a query may take at least before it is
// hedged, other than at a slow target.
func (q *query) leastHedgeWait(now time.Time) time.Duration {
	return max(minHedgeWait, q.objective.Sub(now)*hedgeAfterPercent/100)
}

// hedgeWaitAt returns how long the first attempt of a sub-request may take at a target
// before it is hedged. At a target that is expected to be slow, the attempt gets the
// time that it would need at a usual one, if a hedge then still ends before it. A
// target that states no pace gets hedgeWait.
func (e *Engine) hedgeWaitAt(now time.Time, sub *subRequest, t *target) time.Duration {
	q := sub.query
	if !t.statesPace() {
		return e.hedgeWait(now, q)
	}
	usual := &e.route(q.route.Name).atPace1
	wait := max(e.attemptTime(now, t, usual.P90), q.leastHedgeWait(now))
	fair := max(usual.P90, minHedgeWait, q.route.Objective*fairChancePercent/100)
	expected := e.attemptTime(now, t, usual.P50)
	isSlow := expected > q.objective.Sub(now)*hedgeAfterPercent/100
	if !isSlow || fair >= wait {
		return wait
	}
	if other, ok := e.fastestOther(now, sub, t, usual.P50); ok && fair+other < expected {
		return fair
	}
	return wait
}

// fastestOther returns the shortest expected time of an attempt at another target that
// the sub-request has not tried. It returns false if there is none.
func (e *Engine) fastestOther(now time.Time, sub *subRequest, t *target, median time.Duration) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for _, o := range sub.service.targets {
		if o == t || !o.usable(now) || !o.isSound(now) || slices.Contains(sub.tried, o) {
			continue
		}
		if d := e.attemptTime(now, o, median); !found || d < best {
			best, found = d, true
		}
	}
	return best, found
}

// startDueHedges starts a second attempt for each sub-request whose first one
// is late.
func (e *Engine) startDueHedges(now time.Time, q *query) {
	e.relayDueHedges(now, q)
	for _, sub := range q.subRequests {
		if sub.done || sub.hedgeAt.IsZero() || now.Before(sub.hedgeAt) {
			continue
		}
		needed := e.needsHedge(now, sub)
		sub.hedgeAt = time.Time{}
		if !needed {
			continue
		}
		t := e.pickTarget(now, sub, true)
		if t == nil {
			e.connectForHedge(now, sub)
			e.postponeHedge(now, sub, MissingHedgeTarget)
			continue
		}
		if sub.service.overloadControl && (len(sub.service.queue) > 0 || t.hasQueue(now)) {
			e.postponeHedge(now, sub, MissingHedgeTarget)
			continue
		}
		if !sub.service.budget.TakeHedge() {
			e.postponeHedge(now, sub, MissingHedgeBudget)
			continue
		}
		e.recordHedge(now, sub, t.reg.ID)
		e.startAttempt(now, sub, t, true)
	}
}

// needsHedge reports whether a hedge of a sub-request is due and allowed.
func (e *Engine) needsHedge(now time.Time, sub *subRequest) bool {
	if sub.done || sub.hedgeAt.IsZero() || now.Before(sub.hedgeAt) || !sub.query.route.Idempotent {
		return false
	}
	return sub.pending() == 1 && !sub.hedged && sub.possibleRuns+sub.pending() < sub.query.route.MaxAttempts && !e.tooLateToStart(now, sub.query, 0)
}

// postponeHedge tries a hedge that could not start again after a while.
func (e *Engine) postponeHedge(now time.Time, sub *subRequest, denied MissingCause) {
	sub.hedgeDenied = denied
	sub.hedgeAt = now.Add(max(e.route(sub.query.route.Name).latency.P50/hedgeRecheckDivisor, minHedgeWait))
}

// recordHedge records that a sub-request gets a second attempt at a target or VM.
func (e *Engine) recordHedge(now time.Time, sub *subRequest, at string) {
	sub.hedged = true
	sub.query.hedges++
	first, since := sub.firstAttempt()
	e.emit(LogEvent{Event: LogHedge, Request: sub.query.request, Service: sub.service.name, Target: at, Cause: first, Duration: now.Sub(since)})
}

// firstAttempt returns the target or VM that runs the only attempt of a
// sub-request, and when the attempt began.
func (sub *subRequest) firstAttempt() (where string, since time.Time) {
	if r := sub.relay; r != nil {
		return string(r.vm), r.started
	}
	return sub.running[0].target.reg.ID, sub.running[0].started
}
