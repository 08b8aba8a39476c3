package serve

import (
	"time"

	"github.com/anvilfork/anvilfork/core/callers"
	"github.com/anvilfork/anvilfork/core/outcome"
)

const (
	// overShareMarginPercent is the part of the time until the objective, in percent,
	// that must be left over for a request of a caller over its share.
	overShareMarginPercent = 25
	// waitedMarginPercent is by how much of that time a retry of a caller that waited as
	// told may be expected to be late. Expected times include attemptSpreadPercent, so
	// that most of these are in time.
	waitedMarginPercent = 5
	// honoredWaitDivisor is the part of its remaining time for which a caller honors a
	// told wait: callers retry after a third of it if they are told to wait longer.
	honoredWaitDivisor = 3
)

// callerCheck is what is decided about a query for the sake of its caller.
type callerCheck struct {
	caller  callers.Caller
	verdict callers.Verdict
}

// comparesCallers reports whether the callers of a query are compared with each other:
// where there are no workspaces, or the workspace has no rate limit. One with a rate is
// held to its quota.
func (q *query) comparesCallers() bool {
	switch {
	case q.request.Caller == "":
		return false
	case q.workspace == nil:
		return !q.config.HasWorkspaces()
	default:
		return q.workspace.RatePerSecond <= 0
	}
}

// refuseCaller refuses a request of a caller that repeats it before the time that it was
// told, or is over its share while there is no room for it. It looks at no service.
func (e *Engine) refuseCaller(now time.Time, q *query) *Answer {
	if !q.comparesCallers() {
		return nil
	}
	c := callers.NewCaller(q.workspaceName, q.route.Name, q.request.Caller)
	v := e.callers.Judge(now, c, q.request.Fingerprint)
	q.caller = &callerCheck{caller: c, verdict: v}
	switch v.Refusal {
	case callers.EarlyRepeat:
		return refusal(outcome.CodeOverloaded, v.RetryAfter, "the caller was told to wait %v longer", v.RetryAfter.Round(time.Millisecond))
	case callers.Share:
		return overShareAnswer(v, addJitter(v.RetryAfter, q.request.Fingerprint))
	}
	return nil
}

// callerMargin returns how long before the end of the time that is left a query must be
// expected to end for its caller's sake. It is negative for one that may be late. None
// may be expected to end after its deadline, when nobody waits for the answer.
func (q *query) callerMargin(left, untilDeadline time.Duration) time.Duration {
	if q.caller == nil {
		return 0
	}
	switch q.caller.verdict.Standing {
	case callers.OverShare:
		return left * overShareMarginPercent / 100
	case callers.Waited:
		return -min(left*waitedMarginPercent/100, untilDeadline-left)
	}
	return 0
}

// refuseOverShare refuses a request that could be served in time, but whose caller is
// over its share and has to leave that time to others.
func (q *query) refuseOverShare(after time.Duration) *Answer {
	q.caller.verdict.Refusal = callers.Share
	return overShareAnswer(q.caller.verdict, after)
}

func overShareAnswer(v callers.Verdict, after time.Duration) *Answer {
	return refusal(outcome.CodeOverloaded, after, "the caller is over its share: %.1f requests, the mean of all is %.1f", v.Measure, v.Mean)
}

// recordAdmitted counts an admitted query for its caller.
func (e *Engine) recordAdmitted(now time.Time, q *query) {
	if q.caller != nil {
		e.callers.Admitted(now, q.caller.caller)
	}
}

// recordCallerAnswer records what a caller was told, and whether there was no capacity
// for its query.
func (e *Engine) recordCallerAnswer(now time.Time, q *query, a *Answer) {
	if q.caller == nil {
		return
	}
	a.Trace.Caller = q.caller.verdict
	r := a.Refusal
	if r == nil || r.Code != outcome.CodeOverloaded || r.Outcome != outcome.NotRun || r.RetryAfter <= 0 {
		return
	}
	v, c := q.caller.verdict, q.caller.caller
	if v.Refusal == callers.EarlyRepeat { // the time that it was told stays
		return
	}
	if v.Refusal == callers.None {
		e.callers.Overloaded(now, c)
	}
	if v.Standing == callers.OverShare && len(q.subRequests) > 0 { // its services were looked at
		e.callers.Full(now, c, min(r.RetryAfter, maxRetryAfter)) // refuseCaller adds another jitter
	}
	e.callers.Told(now, c, q.request.Fingerprint, min(r.RetryAfter, q.honoredWait(now)))
}

// honoredWait returns how long a caller that is told to wait longer waits at most before
// it retries. Its retry after that time is no early repeat.
func (q *query) honoredWait(now time.Time) time.Duration {
	timeout := q.request.Timeout
	if timeout <= 0 || timeout > q.route.Timeout {
		timeout = q.route.Timeout
	}
	return max(timeout-now.Sub(q.arrived), 0) / honoredWaitDivisor
}
