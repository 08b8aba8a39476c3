package serve

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/outcome"
)

const (
	// lingerTime is how long an attempt whose answer isn't needed any more may
	// go on, so that its connection can be used again. The usual answer comes
	// within it; what takes longer is stopped by closing the connection.
	lingerTime = 150 * time.Millisecond

	// refusalsMost bounds the targets that may refuse one part.
	refusalsMost = 2

	// hedgeAfter is the part of the time until the objective, in percent, before
	// which an attempt isn't hedged: it may well answer in time, and the second
	// one mostly crosses zones.
	hedgeAfter   = 30
	minHedgeWait = 4 * time.Millisecond // below it, timers and the network decide
	hedgeRecheck = 4                    // a hedge that could not start is tried again after the median divided by this

	loadQueueFactor = 1 // requests waiting at a target, as a multiple of its slots, from which its limit doesn't grow
)

// startOrQueue starts a part on the best free target, or makes it wait for one.
func (e *Engine) startOrQueue(now time.Time, p *part) {
	if len(p.service.queue) == 0 {
		if t := e.pick(now, p, false); t != nil {
			e.start(now, p, t, false)
			return
		}
	}
	if !e.mayServe(now, p.service) {
		e.failPart(now, p)
		return
	}
	p.service.enqueue(p)
	for _, t := range p.service.targets {
		e.keepConns(now, t)
	}
	e.drain(now, p.service)
}

// start sends a part to a target.
func (e *Engine) start(now time.Time, p *part, t *target, hedge bool) {
	q := p.query
	if a := e.withdrawn(now, q); a != nil {
		e.finish(now, q, a)
		return
	}
	e.attemptSeq++
	a := &attempt{id: e.attemptSeq, part: p, route: e.route(q.route.Name), print: q.request.Fingerprint,
		target: t, conn: t.idleConn(now), started: now}
	a.end.Owner.attempt = a
	a.conn.attempt, a.conn.usedAt = a, now
	t.running = append(t.running, a)
	t.cold.spend(now)
	e.attempts[a.id] = a
	p.running = append(p.running, a)
	p.tried = append(p.tried, t)
	p.arrivals++
	q.attempts++
	if t.reg.Zone != e.settings.Zone {
		q.crossed++
	}
	if !hedge && q.route.Idempotent {
		p.hedgeAt = now.Add(e.hedgeWait(now, q))
	}
	left := max(q.deadline.Sub(now), time.Millisecond)
	e.emit(StartAttempt{Attempt: a.id, Conn: a.conn.id, Request: q.request, Target: t.reg.ID, Verified: a.conn.used, Workspace: q.runsFor, TimeLeft: left})
	e.keepConns(now, t)
}

// hedgeWait is how long the first attempt of a part may take before a second one
// is due.
func (e *Engine) hedgeWait(now time.Time, q *query) time.Duration {
	return max(e.route(q.route.Name).latency.P90, minHedgeWait, q.objective.Sub(now)*hedgeAfter/100)
}

// withdrawn refuses a query whose key was withdrawn, or may have been, while it
// waited; it returns nil while the key is good.
func (e *Engine) withdrawn(now time.Time, q *query) *Answer {
	if q.workspace == nil {
		return nil
	}
	fresh := e.copyAge(now) <= e.settings.MaxKeyCopyAge
	holder := e.config.WorkspaceByKey(q.request.Key)
	if fresh && holder != nil && holder.Name == q.workspace.Name {
		return nil
	}
	o := outcome.NotRun
	if q.ran() {
		o = outcome.Unknown
	}
	if !fresh {
		return &Answer{Refusal: outcome.New(outcome.CodeFenced, o, "the key can't be checked any more")}
	}
	return &Answer{Refusal: outcome.New(outcome.CodeUnauthorized, o, "the key was withdrawn")}
}

// attemptDone takes the end of an attempt into its part.
func (e *Engine) attemptDone(now time.Time, ev AttemptDone) {
	a := e.attempts[ev.Attempt]
	if a == nil {
		return // given up before
	}
	e.release(now, a, ev)
	e.learn(now, a, ev)
	p := a.part
	if p == nil {
		e.drain(now, a.target.service)
		return
	}
	p.running = slices.DeleteFunc(p.running, func(o *attempt) bool { return o == a })
	if !ev.Kind.notRun() {
		p.ran++
	}
	if ev.Kind == NotWritten {
		p.arrivals--
	}
	e.settle(now, p, a, ev)
	e.drain(now, p.service)
	e.advance(now, p.query)
}

// release frees the slot and the connection of an attempt.
func (e *Engine) release(now time.Time, a *attempt, ev AttemptDone) {
	delete(e.attempts, a.id)
	e.timers.Remove(&a.end)
	t := a.target
	t.running = slices.DeleteFunc(t.running, func(o *attempt) bool { return o == a })
	c := a.conn
	c.attempt, c.usedAt = nil, now
	c.used = c.used || ev.Kind == Answered
	c.closeAt = time.Time{}
	if ev.IdleFor > 0 {
		c.closeAt = now.Add(ev.IdleFor * idleUsed / 100)
	}
	if !ev.Reusable || !t.registered(now) {
		e.dropConn(c)
	}
	e.keepConns(now, t)
}

// idleUsed is the part of a target's idle time, in percent, for which a
// connection is used: a request must not cross the target's close.
const idleUsed = 80

// learn updates what is believed of the target.
func (e *Engine) learn(now time.Time, a *attempt, ev AttemptDone) {
	t, took := a.target, now.Sub(a.started)
	if ev.Load != nil {
		t.load, t.loadAt = *ev.Load, now
		t.load.Running = max(t.load.Running-1, 0) // the request that was answered
	}
	switch {
	case ev.Kind == Answered && ev.Response.Success:
		e.succeeded(now, t)
		a.route.latency.Record(took)
		t.service.tookSample(took)
		t.sample(now, float64(took)/float64(max(a.route.latency.P50, time.Millisecond)))
		if t.load.Queued <= loadQueueFactor*t.slots() {
			t.limit = min(t.limit+limitGain, float64(e.connCap(t.service)))
		}
		return
	case ev.Kind == WrongProcess:
		t.listed, t.reached = false, false // until its entry changes
		e.closeIdle(t)
	case ev.Kind == Shed:
		t.limit = max(t.limit*limitDrop, 1)
		e.failed(now, t, ev.Kind.String())
	default:
		e.failed(now, t, ev.Kind.String())
	}
	if ev.Kind == ConnLost {
		t.noteLost(now, a.print)
	}
	e.emit(LogEvent{Event: LogAttemptFailed, Request: a.request(), Service: t.service.name, Target: t.reg.ID, Cause: failureCause(ev), Duration: took})
}

func failureCause(ev AttemptDone) string {
	if ev.Cause != "" {
		return ev.Kind.String() + ": " + ev.Cause
	}
	return ev.Kind.String()
}

func (a *attempt) request() *Request {
	if a.part == nil {
		return nil
	}
	return a.part.query.request
}

// settle ends a part with an answer, or goes on after a failure.
func (e *Engine) settle(now time.Time, p *part, a *attempt, ev AttemptDone) {
	if p.done {
		return
	}
	if ev.Kind == Answered {
		p.response = ev.Response
		if ev.Response.Success {
			e.answerPart(now, p)
			return
		}
	}
	e.repeat(now, p, ev.Kind, failureCause(ev))
}

// repeat goes on with a part after a failure, unless another attempt may still
// answer.
func (e *Engine) repeat(now time.Time, p *part, kind ResultKind, failure string) {
	if p.pending() > 0 {
		return
	}
	cause := e.retryBar(now, p, kind)
	if cause != "" {
		e.emit(LogEvent{Event: LogNoRetry, Request: p.query.request, Service: p.service.name, Cause: cause, Count: p.arrivals})
		e.failPart(now, p)
		return
	}
	p.query.retries++
	e.emit(LogEvent{Event: LogRetry, Request: p.query.request, Service: p.service.name, Cause: failure, Count: p.arrivals})
	e.startOrQueue(now, p)
}

// answerPart ends a part with a success; attempts that still run are given up.
func (e *Engine) answerPart(now time.Time, p *part) {
	p.done = true
	p.query.answered++
	p.hedgeAt = time.Time{}
	for _, o := range p.running {
		o.part = nil
		e.detach(now, o, lingerTime)
	}
	p.running = nil
}

func (e *Engine) failPart(_ time.Time, p *part) {
	p.done = true
	p.query.failed++
	p.hedgeAt = time.Time{}
	p.service.unqueue(p)
}

// retryBar returns why a part may not be tried again, empty when it may.
func (e *Engine) retryBar(now time.Time, p *part, kind ResultKind) string {
	q := p.query
	switch {
	case !q.route.Idempotent && p.ran > 0:
		return "it may have run and must not run twice"
	case p.ran >= max(q.route.MaxAttempts, 1):
		return "it may have run at as many targets as the route allows"
	case p.arrivals >= max(q.route.MaxAttempts, 1)+refusalsMost:
		return "too many targets refused it"
	case !now.Before(q.deadline):
		return "no time is left"
	case kind != NotWritten && !p.service.budget.TakeRetry():
		return "the retry budget of the service is spent"
	}
	return ""
}

// hedgeDue starts second attempts for parts whose first one is late.
func (e *Engine) hedgeDue(now time.Time, q *query) {
	if !q.route.Idempotent {
		return
	}
	for _, p := range q.parts {
		if p.done || p.hedgeAt.IsZero() || now.Before(p.hedgeAt) {
			continue
		}
		p.hedgeAt = time.Time{}
		if p.pending() != 1 || p.hedged || p.ran+p.pending() >= q.route.MaxAttempts {
			continue
		}
		t := e.pick(now, p, true)
		if t == nil || !p.service.budget.TakeHedge() {
			p.hedgeAt = now.Add(max(e.route(q.route.Name).latency.P50/hedgeRecheck, minHedgeWait))
			continue
		}
		p.hedged = true
		q.hedges++
		first, since := q.firstAttempt(p)
		e.emit(LogEvent{Event: LogHedge, Request: q.request, Service: p.service.name, Target: t.reg.ID, Cause: first, Duration: now.Sub(since)})
		e.start(now, p, t, true)
	}
}

// firstAttempt tells where the only attempt of a part runs, and since when.
func (q *query) firstAttempt(p *part) (where string, since time.Time) {
	if p.relayed {
		return string(q.relay.vm), q.relay.started
	}
	return p.running[0].target.reg.ID, p.running[0].started
}

// detach separates an attempt from its query. It may go on for a while.
func (e *Engine) detach(now time.Time, a *attempt, linger time.Duration) {
	if linger <= 0 {
		e.abandon(now, a)
		return
	}
	e.timers.Set(&a.end, now.Add(linger))
}

// abandon closes the connection of an attempt, which makes the target drop it.
func (e *Engine) abandon(now time.Time, a *attempt) {
	delete(e.attempts, a.id)
	e.timers.Remove(&a.end)
	t := a.target
	t.running = slices.DeleteFunc(t.running, func(o *attempt) bool { return o == a })
	a.conn.attempt = nil
	e.dropConn(a.conn)
	if !t.answeredAt.After(a.started) && now.Sub(a.started) > stallFactor*a.route.latency.P99 {
		e.failed(now, t, "silent")
	}
	e.keepConns(now, t)
	e.drain(now, t.service)
}
