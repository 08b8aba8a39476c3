package serve

import (
	"time"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/outcome"
)

const (
	// certainAge is the age of the copy of the store up to which an unknown
	// route or key is a mistake of the caller. With an older copy it may be new.
	certainAge = 2500 * time.Millisecond

	retryUnready   = 500 * time.Millisecond // until a VM without a fresh copy may have one
	retryNoTarget  = 500 * time.Millisecond // until targets that are down may be back
	retryLeast     = 50 * time.Millisecond  // between a refusal for load and the next attempt
	retryMost      = time.Second
	retrySpread    = 0.5                   // of the wait, added by the request's fingerprint so that callers don't return in step
	deadlineMargin = 10 * time.Millisecond // an answer later than this before the deadline doesn't reach the caller in time

	// objectiveMargin is the time before the objective at which an answer is
	// sent that leaves out late shards: what the way to the caller and back takes.
	objectiveMargin = 10 * time.Millisecond
)

func refusal(code outcome.Code, after time.Duration, reason string, args ...any) *Answer {
	r := outcome.New(code, outcome.NotRun, reason, args...)
	r.RetryAfter = after
	return &Answer{Refusal: r}
}

// submit admits a request or refuses it at once.
func (e *Engine) submit(now time.Time, r *Request) {
	q := &query{engine: e, request: r, arrived: now, age: e.copyAge(now)}
	q.timer.Owner.query = q
	if a := e.admit(now, q); a != nil {
		e.respond(now, q, a)
		return
	}
	e.querySeq++
	q.seq = e.querySeq
	e.queries[r.ID] = q
	e.relayParts(now, q)
	for _, p := range q.parts {
		p.service.budget.Earn()
		if !p.done && !p.relayed { // a start may have ended the query
			e.startOrQueue(now, p)
		}
	}
	e.advance(now, q)
}

// admit resolves the route and the workspace of a request and checks that it
// may run and can be served in time. It returns the refusal, nil when admitted.
func (e *Engine) admit(now time.Time, q *query) *Answer {
	if e.config == nil {
		return refusal(outcome.CodeNotReady, retryUnready, "this VM has no configuration yet")
	}
	q.config = e.config
	r := q.request
	q.route = e.config.Match(r.Host, r.Path)
	if q.route == nil {
		return e.unknown(q, outcome.CodeUnknownRoute, "no route matches host %q and path %q", r.Host, r.Path)
	}
	if a := e.identify(now, q); a != nil {
		return a
	}
	if e.view.Blocked[r.Fingerprint] || e.crashes.blocked(now, r.Fingerprint) {
		return refusal(outcome.CodePoisonRequest, 0, "the request crashed targets and is blocked")
	}
	e.setTimes(now, q)
	e.plan(q)
	if a := e.hopeless(now, q); a != nil {
		return a
	}
	return e.charge(now, q)
}

// unknown refuses what this VM's configuration doesn't have.
func (e *Engine) unknown(q *query, code outcome.Code, reason string, args ...any) *Answer {
	if q.age > certainAge {
		return refusal(outcome.CodeFenced, retryUnready, "the copy of the configuration is %v old", q.age.Round(time.Millisecond))
	}
	return refusal(code, 0, reason, args...)
}

// identify finds the workspace whose key came with a request.
func (e *Engine) identify(now time.Time, q *query) *Answer {
	q.priority = q.route.Priority
	if q.route.Public || !q.config.HasWorkspaces() {
		return nil
	}
	if q.age > e.settings.MaxKeyCopyAge {
		return refusal(outcome.CodeFenced, retryUnready, "keys can't be checked: the copy of the configuration is %v old", q.age.Round(time.Millisecond))
	}
	q.workspace = q.config.WorkspaceByKey(q.request.Key)
	if q.workspace == nil {
		return e.unknown(q, outcome.CodeUnauthorized, "no workspace holds the key")
	}
	q.runsFor = q.workspace.Name
	if q.workspace.HasPriority {
		q.priority = q.workspace.Priority
	}
	if t := e.tenants[q.workspace.Name]; t != nil {
		t.demand.add(now)
	}
	return nil
}

// setTimes works out until when a request is worth serving. A caller that comes
// back within its deadline names less time than before: the difference to the
// longest time named on the route is what it has waited already.
func (e *Engine) setTimes(now time.Time, q *query) {
	state := e.route(q.route.Name)
	patience := q.request.Timeout
	if patience <= 0 {
		patience = q.route.Timeout
	}
	state.patience = max(state.patience, patience)
	waited := state.patience - patience
	q.deadline = now.Add(min(patience-deadlineMargin, q.route.Timeout))
	q.objective = now.Add(q.route.Objective - waited - objectiveMargin)
}

// charge takes a request out of its workspace's quota.
func (e *Engine) charge(now time.Time, q *query) *Answer {
	if q.workspace == nil {
		return nil
	}
	t := e.tenants[q.workspace.Name]
	if t == nil || t.bucket == nil {
		return nil
	}
	if wait := t.bucket.Take(now); wait > 0 {
		return refusal(outcome.CodeRateExceeded, spread(wait, q.request.Fingerprint), "workspace %q is over its rate", q.workspace.Name)
	}
	q.charged = t
	return nil
}

// plan chooses the service of a request, or one for each of its shards.
func (e *Engine) plan(q *query) {
	if f := q.route.FanOut; f != nil {
		q.least = f.MinShards()
		for _, name := range f.Shards {
			q.addPart(e.service(name))
		}
		return
	}
	q.least = 1
	q.addPart(e.service(e.chooseService(q.route)))
}

// chooseService returns the service of a route to one service. A split route
// takes the service that is furthest behind its weight.
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

// hopeless refuses a request that can't be served in time, as far as is known:
// too many of its services have no target, or so much work waits for them.
func (e *Engine) hopeless(now time.Time, q *query) *Answer {
	if !now.Before(q.deadline) {
		return refusal(outcome.CodeDeadlineExceeded, 0, "no time is left")
	}
	limit := q.deadline.Sub(now)
	if now.Before(q.objective) {
		limit = min(limit, q.objective.Sub(now))
	}
	down, late, wait := 0, 0, time.Duration(0)
	for _, p := range q.parts {
		switch w, ok := e.expectedWait(now, p.service, q.priority); {
		case !ok:
			down++
		case w > limit:
			late++
			wait = max(wait, w-limit)
		}
	}
	spare := len(q.parts) - q.least
	if down > spare {
		return refusal(outcome.CodeNoReplica, spread(retryNoTarget, q.request.Fingerprint), "%d of %d services have no target in service", down, len(q.parts))
	}
	if down+late > spare {
		return refusal(outcome.CodeOverloaded, spread(min(max(wait, retryLeast), retryMost), q.request.Fingerprint),
			"work waits %v longer than the objective allows", wait.Round(time.Millisecond))
	}
	return nil
}

// spread lengthens a wait by a part that depends on the request.
func spread(wait time.Duration, fingerprint uint64) time.Duration {
	const steps = 1024
	part := float64(fingerprint%steps) / steps
	return wait + time.Duration(float64(wait)*retrySpread*part)
}
