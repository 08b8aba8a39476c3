package serve

import (
	"slices"
	"time"
)

const (
	// lingerTime is how long an attempt whose answer is no longer needed may go
	// on. Most answers come within it, and the connection can be reused; a
	// slower attempt is stopped by closing its connection.
	lingerTime = 150 * time.Millisecond

	// maxRefusals is how many targets may refuse a sub-request beyond the
	// attempts that the route allows.
	maxRefusals = 2
)

// startOrQueue starts a sub-request on the best free target, or queues it until
// one is free. It fails the sub-request if the service has no target, or if this
// process ends before it can be served.
func (e *Engine) startOrQueue(now time.Time, sub *subRequest) {
	if e.tooLateToStart(now, sub.query, 0) {
		e.failSubRequest(now, sub)
		return
	}
	if len(sub.service.queue) == 0 {
		if t := e.pickTarget(now, sub, false); t != nil {
			e.startAttempt(now, sub, t, false)
			return
		}
	}
	if !e.canServe(now, sub.service) || now.Add(sub.service.backoffLeft(now)).After(sub.query.deadline) {
		e.failSubRequest(now, sub)
		return
	}
	sub.service.enqueue(now, sub)
	e.connectForQueue(now, sub.service, sub.query.seq)
	e.startQueued(now, sub.service)
}

// startAttempt sends a sub-request to a target on an idle connection. It ends
// the query instead if its caller is no longer authorized.
func (e *Engine) startAttempt(now time.Time, sub *subRequest, t *target, hedge bool) {
	q := sub.query
	if a := e.reauthorize(now, q); a != nil {
		e.finish(now, q, a)
		return
	}
	if !hedge && q.route.Idempotent { // before the attempt counts as load of the target
		sub.hedgeAt = now.Add(e.hedgeWaitAt(now, sub, t))
	}
	e.attemptSeq++
	a := &attempt{id: e.attemptSeq, subRequest: sub, route: e.route(q.route.Name), priority: q.priority, fingerprint: q.request.Fingerprint,
		target: t, conn: t.idleConn(now), started: now}
	a.abandonTimer.Owner.attempt = a
	a.conn.attempt, a.conn.usedAt = a, now
	t.running, t.startedAt = append(t.running, a), now
	t.coldLimiter.take(now)
	e.attempts[a.id] = a
	sub.running = append(sub.running, a)
	sub.tried = append(sub.tried, t)
	sub.delivered++
	q.attempts++
	if t.reg.Zone != e.settings.Zone {
		q.crossZone++
	}
	left := max(q.deadline.Sub(now), time.Millisecond)
	e.emit(StartAttempt{Attempt: a.id, Conn: a.conn.id, Request: q.request, Target: t.reg.ID, Verified: a.conn.verified, Workspace: q.workspaceName, TimeLeft: left})
	e.ensureSpareConn(now, t)
}

// attemptDone handles the end of an attempt: it frees its slot and connection,
// updates the target's statistics and completes, retries or fails its
// sub-request.
func (e *Engine) attemptDone(now time.Time, ev AttemptDone) {
	a := e.attempts[ev.Attempt]
	if a == nil {
		return // abandoned before
	}
	e.release(now, a, ev)
	e.recordResult(now, a, ev)
	sub := a.subRequest
	if sub == nil {
		e.startQueued(now, a.target.service)
		return
	}
	sub.running = slices.DeleteFunc(sub.running, func(o *attempt) bool { return o == a })
	if !ev.Kind.notRun() {
		sub.possibleRuns++
	}
	if ev.Kind == NotWritten {
		sub.delivered--
	}
	e.handleResult(now, sub, a, ev)
	e.startQueued(now, sub.service)
	e.advance(now, sub.query)
}

// release frees the slot and the connection of an attempt. The connection is
// closed if it can't be reused.
func (e *Engine) release(now time.Time, a *attempt, ev AttemptDone) {
	delete(e.attempts, a.id)
	e.timers.Remove(&a.abandonTimer)
	t := a.target
	t.running = slices.DeleteFunc(t.running, func(o *attempt) bool { return o == a })
	c := a.conn
	c.attempt, c.usedAt = nil, now
	c.verified = c.verified || ev.Kind == Answered
	c.targetClosesAt = time.Time{}
	if ev.IdleTimeout > 0 {
		c.targetClosesAt = now.Add(ev.IdleTimeout * idleUsedPercent / 100)
	}
	if !ev.Reusable || !t.registered(now) {
		e.dropConn(c, ConnLoss)
	}
	e.ensureSpareConn(now, t)
}

// idleUsedPercent is the share of a target's idle timeout, in percent, during
// which a connection is reused, so that a request does not cross the target's
// close.
const idleUsedPercent = 80

// recordResult updates the statistics of a target and its concurrency limit
// after an attempt.
func (e *Engine) recordResult(now time.Time, a *attempt, ev AttemptDone) {
	t, elapsed := a.target, now.Sub(a.started)
	if ev.Leaving {
		e.targetLeaving(now, t)
		if a.subRequest != nil && a.subRequest.query.remote != nil {
			remote := a.subRequest.query.remote
			remote.leaving = append(remote.leaving, t.reg.ID)
		}
	}
	if ev.Backoff > 0 {
		e.startBackoff(now, t, ev.Backoff)
	}
	e.recordLoad(now, t, ev)
	switch {
	case ev.Kind == Answered && ev.Response.Success:
		e.targetSucceeded(now, t)
		a.recordLatency(now, elapsed)
		if ev.Load != nil {
			t.window.recordServiceTime(elapsed, a.route.latency.P50, t.load, t.slots())
		}
		t.window.answered(now, a.started, t.loadWith(ev), t.slots(), t.service.queueObjective(), float64(e.maxConns(t.service)))
		return
	case ev.Kind == WrongProcess:
		t.replaced, t.connected = true, false // until the next CatalogChanged
		e.closeIdleConns(t, ConnLoss)
	case ev.Kind == Shed && ev.Backoff > 0: // it has said itself for how long to avoid it
		t.window.shed()
	case ev.Kind == Shed:
		e.targetShed(now, t)
	default:
		e.targetFailed(now, t, ev.Kind.String())
	}
	if ev.Kind == ConnLost {
		t.recordLostConn(now, a.fingerprint)
	}
	e.emit(LogEvent{Event: LogAttemptFailed, Request: a.request(), Service: t.service.name, Target: t.reg.ID, Cause: failureCause(ev), Failure: ev.Kind, Duration: elapsed})
}

// failureCause returns the kind of failure and its error, for the log.
func failureCause(ev AttemptDone) string {
	if ev.Cause != "" {
		return ev.Kind.String() + ": " + ev.Cause
	}
	return ev.Kind.String()
}

// request returns the request of an attempt, or nil if its answer is no longer
// needed.
func (a *attempt) request() *Request {
	if a.subRequest == nil {
		return nil
	}
	return a.subRequest.query.request
}

// handleResult completes a sub-request with a successful answer, or retries or
// fails it.
func (e *Engine) handleResult(now time.Time, sub *subRequest, a *attempt, ev AttemptDone) {
	if sub.done {
		return
	}
	if ev.Kind == Answered {
		sub.response = ev.Response
		if ev.Response.Success {
			e.completeSubRequest(now, sub)
			return
		}
	}
	e.retryOrFail(now, sub, ev.Kind, failureCause(ev))
}

// retryOrFail retries a sub-request after a failed attempt, or fails it if it
// may not be retried. It does nothing while another attempt may still answer.
func (e *Engine) retryOrFail(now time.Time, sub *subRequest, kind ResultKind, failure string) {
	if sub.pending() == 0 && e.prepareRetry(now, sub, kind, failure) {
		e.startOrQueue(now, sub)
	}
}

// prepareRetry takes what a retry after a failed attempt needs from the limits of the
// query and the budget of the service. It fails the sub-request and returns false if
// they permit none.
func (e *Engine) prepareRetry(now time.Time, sub *subRequest, kind ResultKind, failure string) bool {
	cause := e.noRetryReason(now, sub, kind)
	if cause != "" {
		e.emit(LogEvent{Event: LogNoRetry, Request: sub.query.request, Service: sub.service.name, Cause: cause, Count: sub.delivered})
		e.failSubRequest(now, sub)
		return false
	}
	sub.query.retries++
	e.emit(LogEvent{Event: LogRetry, Request: sub.query.request, Service: sub.service.name, Cause: failure, Count: sub.delivered})
	return true
}

// completeSubRequest ends a sub-request with a success. Its other attempts are
// detached.
func (e *Engine) completeSubRequest(now time.Time, sub *subRequest) {
	sub.done = true
	sub.query.answered++
	sub.hedgeAt = time.Time{}
	for _, o := range sub.running {
		o.subRequest = nil
		e.detach(now, o, lingerTime)
	}
	sub.running = nil
}

// failSubRequest ends a sub-request without a success. It starts nothing in its
// place.
func (e *Engine) failSubRequest(now time.Time, sub *subRequest) {
	sub.done = true
	sub.query.failed++
	sub.hedgeAt = time.Time{}
	sub.service.removeQueued(now, sub)
}

// noRetryReason returns why a sub-request may not be retried, or "" if it may.
// It takes a token from the retry budget unless the failed attempt was never
// written.
func (e *Engine) noRetryReason(now time.Time, sub *subRequest, kind ResultKind) string {
	q := sub.query
	switch {
	case !q.route.Idempotent && sub.possibleRuns > 0:
		return "it may have run and must not run twice"
	case sub.possibleRuns >= max(q.route.MaxAttempts, 1):
		return "it may have run at as many targets as the route allows"
	case sub.delivered >= max(q.route.MaxAttempts, 1)+maxRefusals:
		return "too many targets refused it"
	case !now.Before(q.deadline):
		return "no time is left"
	case e.tooLateToStart(now, q, 0):
		return "this VM stops before it could be served"
	case kind != NotWritten && !sub.service.budget.TakeRetry():
		return "the retry budget of the service is spent"
	}
	return ""
}

// detach lets an attempt whose answer is no longer needed run for linger, or
// abandons it at once if linger is zero.
func (e *Engine) detach(now time.Time, a *attempt, linger time.Duration) {
	if linger <= 0 {
		e.abandon(now, a)
		return
	}
	e.timers.Set(&a.abandonTimer, now.Add(linger))
}

// abandon closes the connection of an attempt, which makes the target cancel
// the request. A target that has answered nothing for much longer than usual
// counts as failed.
func (e *Engine) abandon(now time.Time, a *attempt) {
	delete(e.attempts, a.id)
	e.timers.Remove(&a.abandonTimer)
	t := a.target
	t.running = slices.DeleteFunc(t.running, func(o *attempt) bool { return o == a })
	a.conn.attempt = nil
	e.dropConn(a.conn, ConnAbandoned)
	if !t.answeredAt.After(a.started) && now.Sub(a.started) > stallFactor*a.route.latency.P99 {
		e.targetFailed(now, t, "silent")
	}
	e.ensureSpareConn(now, t)
	e.startQueued(now, t.service)
}
