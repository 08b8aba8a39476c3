package serve

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/timer"
)

// query is a request that has no answer yet. It keeps to the configuration
// that was in force when it was admitted.
type query struct {
	engine    *Engine
	request   *Request
	seq       uint64
	config    *catalog.Config
	route     *catalog.Route
	workspace *catalog.Workspace // nil on public routes, and on work of other VMs
	runsFor   string             // name of the workspace; empty on public routes
	charged   *tenant            // whose quota it was taken from
	priority  int
	parts     []*part
	least     int // parts that an answer needs

	arrived   time.Time
	age       time.Duration // of the copy of the store at the admission
	objective time.Time     // from here on an answer without the late parts is better
	deadline  time.Time
	timer     timer.Timer[timed]

	answered int
	failed   int
	attempts int
	hedges   int
	retries  int
	crossed  int // attempts at targets of other zones

	relay     *relay       // to the VM that runs a part of the query
	relayed   int          // parts that were relayed
	relayedTo fleet.VMID   // the VM that they were relayed to
	forVM     *relayedWork // set on work of another VM
}

// part is what one service has to do for a query.
type part struct {
	query    *query
	service  *service
	running  []*attempt
	tried    []*target
	arrivals int // attempts that reached targets, refused ones included
	ran      int // attempts that may have run
	hedged   bool
	hedgeAt  time.Time
	queued   bool
	done     bool
	response *Response // the last answer, a failure too
	relayed  bool      // another VM runs an attempt
	merged   *bundle   // holds the records instead of the response
}

// pending is the number of attempts that may still answer.
func (p *part) pending() int {
	if p.relayed {
		return len(p.running) + 1
	}
	return len(p.running)
}

func (q *query) addPart(s *service) {
	q.parts = append(q.parts, &part{query: q, service: s})
}

func (q *query) open() int { return len(q.parts) - q.answered - q.failed }

// ran reports whether any target may have run a part of the query.
func (q *query) ran() bool {
	return slices.ContainsFunc(q.parts, func(p *part) bool { return p.ran > 0 || p.pending() > 0 })
}

// advance ends a query that has its answer or can't get one, and otherwise
// hedges what is due and sets the timer.
func (e *Engine) advance(now time.Time, q *query) {
	if _, live := e.queries[q.request.ID]; !live {
		return
	}
	if q.forVM != nil {
		e.advanceRelayed(now, q)
		return
	}
	switch {
	case q.open() == 0 && q.answered >= q.least, q.answered >= q.least && !now.Before(q.objective):
		e.finish(now, q, q.answer())
	case q.answered+q.open() < q.least:
		e.finish(now, q, q.failure(now))
	case !now.Before(q.deadline):
		e.finish(now, q, q.expired())
	default:
		e.noteSilence(now, q)
		e.hedgeDue(now, q)
		e.arm(now, q)
	}
}

// arm sets the timer of a query to what comes first: a hedge, the time to
// answer without late parts, or the deadline.
func (e *Engine) arm(now time.Time, q *query) {
	at := q.deadline
	if now.Before(q.objective) && q.objective.Before(at) {
		at = q.objective
	}
	for _, p := range q.parts {
		if !p.done && !p.hedgeAt.IsZero() && p.hedgeAt.Before(at) {
			at = p.hedgeAt
		}
	}
	e.timers.Set(&q.timer, later(at, now.Add(leastTimer)))
}

// leastTimer keeps a timer that is due already from firing in the same step.
const leastTimer = time.Millisecond

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// answer builds the answer from the parts that are in.
func (q *query) answer() *Answer {
	if q.route.FanOut == nil {
		return &Answer{Response: q.parts[0].response}
	}
	m := &Merged{}
	for _, p := range q.parts {
		if p.succeeded() {
			m.Signatures = append(m.Signatures, p.response.Signature)
		}
	}
	m.MissingShards = len(q.parts) - len(m.Signatures)
	m.Body = merge(q.route.FanOut.TopK, bodies(q.parts))
	return &Answer{Merged: m}
}

// bodies returns the records of the parts that are in. Parts that another VM has
// merged share one body.
func bodies(parts []*part) [][]byte {
	var all [][]byte
	taken := make(map[*bundle]bool)
	for _, p := range parts {
		switch {
		case !p.succeeded() || p.merged != nil && taken[p.merged]:
		case p.merged != nil:
			taken[p.merged] = true
			all = append(all, p.merged.body)
		default:
			all = append(all, p.response.Body)
		}
	}
	return all
}

func (p *part) succeeded() bool { return p.done && p.response != nil && p.response.Success }

// failure is the answer of a query too many of whose parts have failed.
func (q *query) failure(now time.Time) *Answer {
	if q.route.FanOut == nil && q.parts[0].response != nil {
		return &Answer{Response: q.parts[0].response} // the target's own failure
	}
	if !q.ran() {
		return refusal(outcome.CodeOverloaded, spread(retryLeast, q.request.Fingerprint), "%d of %d services did not take the request", q.failed, len(q.parts))
	}
	code := outcome.CodeConnectionLost
	if q.route.FanOut != nil {
		code = outcome.CodeInsufficientCoverage
	}
	return &Answer{Refusal: outcome.New(code, outcome.Unknown, "%d of %d services failed", q.failed, len(q.parts))}
}

// expired is the answer of a query whose time is over.
func (q *query) expired() *Answer {
	if !q.ran() {
		return refusal(outcome.CodeDeadlineExceeded, 0, "no target was free in time")
	}
	return &Answer{Refusal: outcome.New(outcome.CodeDeadlineExceeded, outcome.Unknown, "%d of %d services answered in time", q.answered, len(q.parts))}
}

// finish answers a query and gives up what still runs for it.
func (e *Engine) finish(now time.Time, q *query, a *Answer) {
	cut := a.Merged != nil && q.open() > 0
	e.forget(now, q, lingerTime)
	if a.Refusal != nil && a.Refusal.Outcome == outcome.NotRun && q.charged != nil {
		q.charged.bucket.Return()
	}
	a.Trace.EndedEarly = cut
	e.respond(now, q, a)
}

// forget ends a query. Attempts that still run may go on for a while, so that
// their connections can be used again.
func (e *Engine) forget(now time.Time, q *query, linger time.Duration) {
	delete(e.queries, q.request.ID)
	e.timers.Remove(&q.timer)
	e.dropRelay(q)
	for _, p := range q.parts {
		p.done = true
		p.service.unqueue(p)
		for _, a := range p.running {
			a.part = nil
			e.detach(now, a, linger)
		}
		p.running = nil
	}
}

// cancel ends a query whose caller has left. What may run once only is left to
// run, since its effect can't be taken back.
func (e *Engine) cancel(now time.Time, id RequestID) {
	q := e.queries[id]
	if q == nil {
		return
	}
	linger := time.Duration(0)
	if !q.route.Idempotent {
		linger = q.deadline.Sub(now)
	}
	e.emit(LogEvent{Event: LogCallerLeft, Request: q.request, Duration: now.Sub(q.arrived), Count: q.answered})
	e.forget(now, q, linger)
}

func (e *Engine) respond(now time.Time, q *query, a *Answer) {
	t := &a.Trace
	if q.route != nil {
		t.Route = q.route.Name
	}
	if q.workspace != nil {
		t.Workspace = q.workspace.Name
	}
	if q.config != nil {
		t.ConfigVersion = q.config.Version
	}
	t.CopyAge, t.Priority, t.Duration = q.age, q.priority, now.Sub(q.arrived)
	t.Attempts, t.Hedges, t.Retries, t.CrossZone, t.Shards = q.attempts, q.hedges, q.retries, q.crossed, len(q.parts)
	t.Relayed, t.RelayedTo = q.relayed, q.relayedTo
	for _, p := range q.parts {
		if !p.succeeded() {
			t.MissingShards = append(t.MissingShards, p.service.name)
		}
	}
	e.emit(Respond{ID: q.request.ID, Answer: a})
}
