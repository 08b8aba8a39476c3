package serve

import (
	"math"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/outcome"
)

// attemptSpreadPercent is by how much of the expected time, in percent, an attempt may
// well take longer. A fan-out waits for the slowest of its shards: with the mean alone,
// a tenth more of the admitted ones were late.
const attemptSpreadPercent = 20

// expectation is when a sub-request of a new query is expected to be answered.
type expectation struct {
	wait     time.Duration // in the queue of this VM
	attempt  time.Duration // of the attempt, which includes the target's queue
	unloaded time.Duration // of an attempt at a target without other requests
	crowded  bool          // requests wait for the service, here or at all its targets
}

// lateBy returns by how much the answer is expected to miss the time that is left
// until the objective. A service that is too slow for the objective without any
// other request is given until the deadline: refusing the query would not help
// another one to be in time, as none is.
func (x expectation) lateBy(untilObjective, untilDeadline time.Duration) time.Duration {
	left := untilObjective
	if x.unloaded > left {
		left = untilDeadline
	}
	return x.wait + x.attempt*(100+attemptSpreadPercent)/100 - left
}

// expect estimates when a sub-request of a new query is answered. It returns false
// if the service has no target.
func (e *Engine) expect(now time.Time, s *service, q *query) (expectation, bool) {
	ahead := s.queuedUpTo(q.priority) // to the deadline, those that are late by then are served too
	if q.route.FanOut != nil && s.overloadControl {
		ahead = s.queuedBefore(now, q)
	}
	wait, ok := e.expectedWait(now, s, ahead, q.priority)
	x := expectation{wait: wait, crowded: len(s.queue) > 0}
	if !ok || !s.overloadControl { // else only what waits on this VM counts
		return x, ok
	}
	median := e.route(q.route.Name).atPace1.P50
	x.attempt, x.unloaded = math.MaxInt64, math.MaxInt64
	usable, free, choice := false, false, s.choice(now)
	for _, t := range s.targets {
		if !t.usable(now) || t.backsOff(now) || !choice.includes(now, t) {
			continue
		}
		unloaded := t.unloadedTime(now, median)
		x.attempt = min(x.attempt, t.withRequestsAhead(now, float64(unloaded)))
		x.unloaded = min(x.unloaded, unloaded)
		usable, free = true, free || !t.hasQueue(now)
	}
	if !usable { // none is connected yet, or all back off
		return expectation{wait: wait, crowded: x.crowded}, true
	}
	x.crowded = x.crowded || !free
	return x, true
}

// expectedWait estimates how long a sub-request of a priority with so many others ahead
// of it is queued on this VM. It returns false if the service has no target. It does not
// count the time for which all targets want no requests; backoffLeft does.
func (e *Engine) expectedWait(now time.Time, s *service, ahead, priority int) (time.Duration, bool) {
	capacity, full, choice := 0, s.overloadControl, s.choice(now)
	for _, t := range s.targets {
		if t.usable(now) && !t.backsOff(now) && (!s.overloadControl || choice.includes(now, t)) {
			full = full && !t.hasRoom(now, priority)
			capacity += max(min(t.window.size(), len(t.conns)), 1)
		}
	}
	if capacity == 0 {
		return 0, e.canServe(now, s)
	}
	if ahead == 0 && !full {
		return 0, true
	}
	return time.Duration(float64(ahead+1) / float64(capacity) * float64(s.expectedAttempt(now))), true
}

// hasQueue reports whether requests wait at the target, as far as is known.
func (t *target) hasQueue(now time.Time) bool {
	return t.otherVMsLoad(now)+float64(len(t.running)) > float64(t.slots())
}

// admissionTime returns the time within which a query must be expected to be answered to
// be admitted: until its objective, or until its deadline if that has passed.
func (e *Engine) admissionTime(now time.Time, q *query, untilDeadline time.Duration) time.Duration {
	objective := q.objective
	if !e.config.LimitsDemand() {
		if q.route.FanOut == nil {
			return untilDeadline
		}
		objective = objective.Add(q.waited) // a caller that was refused counts it from its next try
	}
	if !now.Before(objective) {
		return untilDeadline
	}
	return min(untilDeadline, objective.Sub(now))
}

// refuseUnservable refuses a query that is not expected to be answered: too many of its
// services have no target, or the work ahead of it takes too long. A fan-out is
// refused when it would be late because of that work, as it would make others late
// too. Late answers to other requests are worth most of those in time, so that
// these are refused only when they can't be answered by their deadline.
func (e *Engine) refuseUnservable(now time.Time, q *query) *Answer {
	if !now.Before(q.deadline) {
		return refusal(outcome.CodeDeadlineExceeded, 0, "no time is left")
	}
	untilDeadline := q.deadline.Sub(now)
	untilObjective := e.admissionTime(now, q, untilDeadline)
	down := 0
	var late []time.Duration // by how much services are expected to be later than the query may be
	trulyLate := 0           // services expected to be late without the margin of the caller
	margin := q.callerMargin(untilObjective, untilDeadline)
	var backoff time.Duration
	for _, sub := range q.subRequests {
		b := sub.service.backoffLeft(now)
		x, ok := e.expect(now, sub.service, q)
		switch by := x.lateBy(untilObjective, untilDeadline); {
		case !ok:
			down++
		case b > untilObjective:
			down++
			backoff = max(backoff, b)
		case x.crowded && by+margin > 0:
			late = append(late, by+margin)
			if by > 0 {
				trulyLate++
			}
		}
	}
	maxMissing := len(q.subRequests) - q.minAnswered
	if down > maxMissing {
		after := retryAfterNoTarget
		if backoff > 0 {
			after = backoff
		}
		return refusal(outcome.CodeNoReplica, addJitter(after, q.request.Fingerprint), "%d of %d services have no target in service", down, len(q.subRequests))
	}
	if down+len(late) > maxMissing {
		slices.Sort(late)
		wait := late[len(late)-1]
		if !e.config.LimitsDemand() {
			wait = late[len(late)-1-(maxMissing-down)] // so many are still late then that may be missing
		}
		after := addJitter(max(min(max(wait, minRetryAfter), maxRetryAfter), backoff), q.request.Fingerprint)
		if down+trulyLate <= maxMissing {
			return q.refuseOverShare(after)
		}
		return refusal(outcome.CodeOverloaded, after,
			"work waits %v longer than the objective allows at %d of %d services", wait.Round(time.Millisecond), len(late), len(q.subRequests))
	}
	return nil
}
