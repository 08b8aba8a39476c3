package serve

import (
	"time"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/outcome"
)

const (
	// maxConclusiveCopyAge is the age of the copy of the store up to which an
	// unknown route or key is certainly an error of the caller. An older copy
	// may lack a route or key that was added since.
	maxConclusiveCopyAge = 2500 * time.Millisecond

	retryAfterNotReady = 500 * time.Millisecond // retry-after of a VM whose copy of the store is missing or too old
	retryAfterNoTarget = 500 * time.Millisecond // retry-after while a service has no target in service

	// Bounds of the retry-after of a refusal under load.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second

	// retryJitter is the maximum jitter, as a fraction of the retry-after. The jitter
	// is derived from the request's fingerprint, so that refused callers don't retry
	// together.
	retryJitter = 0.5

	// deadlineMargin is subtracted from the caller's deadline: an answer that is
	// sent later may arrive too late.
	deadlineMargin = 10 * time.Millisecond

	// objectiveMargin is how long before the objective a fan-out is answered
	// without its late shards. It covers the round trip to the caller; deliveryLag
	// covers what this VM adds.
	objectiveMargin = 10 * time.Millisecond
)

// refusal returns an answer that refuses a request which no target has run. A
// zero after leaves the time of a retry open.
func refusal(code outcome.Code, after time.Duration, reason string, args ...any) *Answer {
	r := outcome.New(code, outcome.NotRun, reason, args...)
	r.RetryAfter = after
	return &Answer{Refusal: r}
}

// submit admits a request and starts its sub-requests, or refuses it at once.
func (e *Engine) submit(now time.Time, r *Request) {
	q := &query{engine: e, request: r, arrived: now, copyAge: e.copyAge(now)}
	if !r.Received.IsZero() && r.Received.Before(now) {
		q.arrived = r.Received
	}
	q.admissionLag = now.Sub(q.arrived)
	q.timer.Owner.query = q
	if a := e.admit(now, q); a != nil {
		e.respond(now, q, a)
		return
	}
	e.querySeq++
	q.seq = e.querySeq
	e.queries[r.ID] = q
	if q.awaitsPool != nil {
		e.timers.Set(&q.timer, now.Add(poolTimeout))
		return
	}
	e.startQuery(now, q)
}

// startQuery starts the sub-requests of an admitted query.
func (e *Engine) startQuery(now time.Time, q *query) {
	if a := e.reauthorize(now, q); a != nil { // it may have waited for the pool
		e.finish(now, q, a)
		return
	}
	e.recordAdmitted(now, q)
	e.relayFarShards(now, q)
	for _, sub := range q.subRequests {
		sub.service.budget.Earn()
		sub.service.recordArrival(now, q.priority)
		if !sub.done && sub.relay == nil { // starting an earlier sub-request may have ended the query
			e.startOrQueue(now, sub)
		}
	}
	e.advance(now, q)
}

// admit resolves the route and the workspace of a request and checks that it
// may run and can be answered in time. It returns the refusal, or nil if the
// request is admitted.
func (e *Engine) admit(now time.Time, q *query) *Answer {
	if e.config == nil {
		return refusal(outcome.CodeNotReady, retryAfterNotReady, "this VM has no configuration yet")
	}
	q.config = e.config
	r := q.request
	q.route = e.config.Match(r.Host, r.Path)
	if q.route == nil {
		return e.refuseUnknown(q, outcome.CodeUnknownRoute, "no route matches host %q and path %q", r.Host, r.Path)
	}
	if a := e.authorize(now, q); a != nil {
		return a
	}
	if e.view.Blocked[r.Fingerprint] || e.crashes.blocked(now, r.Fingerprint) {
		return refusal(outcome.CodePoisonRequest, 0, "the request crashed targets and is blocked")
	}
	if a := e.refuseCaller(now, q); a != nil {
		return a
	}
	e.setDeadlines(now, q)
	e.addSubRequests(q)
	if a := e.refuseBeforeStop(now, q); a != nil {
		return a
	}
	if a := e.refuseUnservable(now, q); a != nil {
		return a
	}
	return e.chargeQuota(now, q)
}

// refuseUnknown refuses a request whose route or key is not in the
// configuration. With an old copy of the store the refusal says that the copy
// is old, since the route or key may be new.
func (e *Engine) refuseUnknown(q *query, code outcome.Code, reason string, args ...any) *Answer {
	if q.copyAge > maxConclusiveCopyAge {
		return refusal(outcome.CodeFenced, retryAfterNotReady, "the copy of the configuration is %v old", q.copyAge.Round(time.Millisecond))
	}
	return refusal(code, 0, reason, args...)
}

// setDeadlines sets the deadline and the objective of a query. A caller that
// retries within its deadline sends a shorter timeout than before, so the
// difference to the longest timeout seen on the route counts as time already
// waited.
func (e *Engine) setDeadlines(now time.Time, q *query) {
	state := e.route(q.route.Name)
	timeout := q.request.Timeout
	if timeout <= 0 || timeout > q.route.Timeout {
		timeout = q.route.Timeout
	}
	state.maxTimeout = max(state.maxTimeout, timeout.Truncate(time.Millisecond))
	q.waited = max(min(max(state.maxTimeout, e.view.Timeouts[q.route.Name]), q.route.Timeout)-timeout, 0)
	q.deadline = e.untilStop(q.arrived.Add(timeout - deadlineMargin))
	q.objective = q.arrived.Add(q.route.Objective - q.waited - objectiveMargin - e.deliveryLag.allowance(q.route.Objective))
	e.setOrder(q)
}

// deliveryLag estimates how long answers take outside of the engine: from the first
// byte of the request to its admission, and from the answer to the caller's
// connection. Both grow when the processor is busy.
type deliveryLag struct{ estimate time.Duration }

const (
	// The estimate rises faster than it falls, so that about nine in ten answers
	// take less.
	lagRiseDivisor = 4
	lagFallDivisor = 32
	// lagFactor covers what is not seen: the time until a request is read from its
	// connection and until the last bytes of an answer leave take about as long as
	// what is.
	lagFactor = 2
	// maxLag bounds a sample: a VM that was suspended for seconds is not that slow
	// afterwards.
	maxLag = 100 * time.Millisecond
	// maxLagPercent is the largest part of the objective, in percent, that is set
	// aside for the lag.
	maxLagPercent = 30
)

func (l *deliveryLag) record(lag time.Duration) {
	if d := min(lag, maxLag) - l.estimate; d > 0 {
		l.estimate += d / lagRiseDivisor
	} else {
		l.estimate += d / lagFallDivisor
	}
}

// allowance returns how much earlier the answer to a request with an objective is
// to be sent.
func (l *deliveryLag) allowance(objective time.Duration) time.Duration {
	return min(lagFactor*l.estimate, objective*maxLagPercent/100)
}

// addSubRequests adds a sub-request for each shard of a fan-out, or a single
// one for the service of the route.
func (e *Engine) addSubRequests(q *query) {
	if f := q.route.FanOut; f != nil {
		q.minAnswered = f.MinShards()
		for _, name := range f.Shards {
			q.addSubRequest(e.service(name))
		}
		return
	}
	q.minAnswered = 1
	q.addSubRequest(e.service(e.chooseService(q.route)))
}

// chooseService returns the service for one request of a route without fan-out.
// A split route uses smooth weighted round robin: it takes the service that is
// furthest behind its weight.
func (e *Engine) chooseService(r *catalog.Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	state := e.route(r.Name)
	if state.splitCredit == nil {
		state.splitCredit = make(map[string]float64)
	}
	total, best := 0.0, r.Split[0].Service
	for _, w := range r.Split {
		state.splitCredit[w.Service] += w.Weight
		total += w.Weight
	}
	for _, w := range r.Split {
		if state.splitCredit[w.Service] > state.splitCredit[best] {
			best = w.Service
		}
	}
	state.splitCredit[best] -= total
	return best
}

// addJitter lengthens a wait by a fraction derived from the request's
// fingerprint.
func addJitter(wait time.Duration, fingerprint uint64) time.Duration {
	const steps = 1024
	fraction := float64(fingerprint%steps) / steps
	return wait + time.Duration(float64(wait)*retryJitter*fraction)
}
