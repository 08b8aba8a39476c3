package serve

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/outcome"
)

const (
	// stopRunPercent is how long a request of a stopping VM may be expected to run, in
	// percent of the route's P99 latency: one that takes longer gets no answer of its
	// target.
	stopRunPercent = 125
	// stopRetryAfter is the retry-after of a stopping VM. Other VMs can serve the
	// request now.
	stopRetryAfter = minRetryAfter
)

// Stopping reports that the VM stops. A request without an answer of its targets by
// AnswerBy is answered then, and one that can't be expected to have one is refused
// without being sent.
type Stopping struct{ AnswerBy time.Time }

func (Stopping) event() {}

// stop shortens the deadlines of all requests to the end of the process, and refuses
// those that can't be served until then.
func (e *Engine) stop(now time.Time, ev Stopping) {
	e.answerBy = ev.AnswerBy
	var inFlight []*query
	for _, q := range e.queries {
		inFlight = append(inFlight, q)
	}
	slices.SortFunc(inFlight, func(a, b *query) int { return int(a.seq) - int(b.seq) })
	for _, q := range inFlight {
		q.deadline = e.untilStop(q.deadline)
		if q.awaitsPool == nil { // it is looked at when the pool has replied
			e.advance(now, q)
		}
	}
	e.maintainAt = now
}

// untilStop returns a deadline, or the end of the process if that comes first.
func (e *Engine) untilStop(deadline time.Time) time.Time {
	if !e.answerBy.IsZero() && e.answerBy.Before(deadline) {
		return e.answerBy
	}
	return deadline
}

// tooLateToStart reports whether an attempt of a query that starts after a wait can't be
// expected to end before the process does.
func (e *Engine) tooLateToStart(now time.Time, q *query, wait time.Duration) bool {
	if e.answerBy.IsZero() {
		return false
	}
	latency := &e.route(q.route.Name).latency
	run := latency.P99 * stopRunPercent / 100
	if !latency.IsMeasured() {
		run = max(run, q.route.Objective)
	}
	return now.Add(wait + run).After(e.answerBy)
}

// refuseBeforeStop refuses a new query that can't be expected to be answered before the
// process ends.
func (e *Engine) refuseBeforeStop(now time.Time, q *query) *Answer {
	if e.answerBy.IsZero() {
		return nil
	}
	late := 0
	for _, sub := range q.subRequests {
		wait, _ := e.expectedWait(now, sub.service, sub.service.queuedUpTo(q.priority), q.priority)
		if !slices.ContainsFunc(sub.service.targets, func(t *target) bool { return t.canAccept(now, q.priority) }) {
			wait = max(wait, sub.service.meanAttempt) // until a slot is free
		}
		if e.tooLateToStart(now, q, wait) {
			late++
		}
	}
	if late > len(q.subRequests)-q.minAnswered {
		return e.stoppingAnswer(q)
	}
	return nil
}

// stoppingAnswer returns the answer of a query that this VM can't serve any more.
func (e *Engine) stoppingAnswer(q *query) *Answer {
	if q.mayHaveRun() {
		return &Answer{Refusal: outcome.New(outcome.CodeStopping, outcome.Unknown, "the VM stops; %d of %d services answered in time", q.answered, len(q.subRequests))}
	}
	return refusal(outcome.CodeStopping, addJitter(stopRetryAfter, q.request.Fingerprint), "the VM stops before it could serve the request")
}
