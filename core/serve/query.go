package serve

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/timer"
)

// query is a request without an answer yet. It keeps the configuration under
// which it was admitted.
type query struct {
	engine        *Engine
	request       *Request
	seq           uint64
	config        *catalog.Config
	route         *catalog.Route
	workspace     *catalog.Workspace // last known holder of the key; nil on public routes and on work that another VM relayed
	workspaceName string             // workspace as which the query runs; empty if no key is needed
	charge        charge             // taken from the quota of chargedTo
	chargedTo     *workspaceState    // nil if there is no workspace
	fromPool      bool               // admitted by the pool of its workspace
	awaitsPool    *workspaceState    // set while the query waits for the pool of the workspace
	priority      int
	subRequests   []*subRequest
	minAnswered   int // sub-requests that must succeed for an answer

	arrived      time.Time
	waited       time.Duration // that the caller seems to have spent on earlier tries
	admissionLag time.Duration // from arrived to the admission
	copyAge      time.Duration // age of the copy of the store at the admission
	caller       *callerCheck  // nil if callers are not compared
	objective    time.Time     // time from which an answer is sent without the late sub-requests
	deadline     time.Time
	orderBy      time.Time // its objective, by which it is ordered in queues; see urgency
	orderPeriod  time.Duration
	timer        timer.Timer[timerOwner]

	queueWait time.Duration // longest time that a sub-request was queued on this VM
	answered  int
	failed    int
	attempts  int
	hedges    int
	retries   int
	crossZone int // attempts at targets of other zones

	relays    []*relay     // open relays to other VMs
	relayed   int          // sub-requests that were relayed
	relayedTo []fleet.VMID // VMs that they were relayed to
	remote    *remoteState // set if another VM relayed the query to this one
}

// subRequest is the work of one service for a query: a shard of a fan-out, or
// the whole request.
type subRequest struct {
	query        *query
	service      *service
	running      []*attempt
	tried        []*target
	delivered    int // attempts that reached targets, including refused ones
	possibleRuns int // ended attempts that may have run
	hedged       bool
	hedgeAt      time.Time    // when a hedge is due; zero if none is
	hedgeDenied  MissingCause // why the last hedge that was due could not start; zero if none was
	queued       bool
	queuedAt     time.Time
	done         bool
	response     *Response      // last answer of a target, successful or not
	relay        *relay         // set while another VM runs an attempt
	hedgeRelay   *relay         // set while another VM runs a hedge
	relayedTo    []fleet.VMID   // VMs that have run attempts or refused to
	merged       *mergedRecords // holds the records instead of response if another VM merged them
}

// pending returns the number of attempts that may still answer.
func (sub *subRequest) pending() int {
	n := len(sub.running)
	for _, r := range []*relay{sub.relay, sub.hedgeRelay} {
		if r != nil {
			n++
		}
	}
	return n
}

func (q *query) addSubRequest(s *service) {
	q.subRequests = append(q.subRequests, &subRequest{query: q, service: s})
}

// openSubRequests returns the number of sub-requests that have not ended.
func (q *query) openSubRequests() int { return len(q.subRequests) - q.answered - q.failed }

// mayHaveRun reports whether a target may have run any sub-request of the
// query.
func (q *query) mayHaveRun() bool {
	return slices.ContainsFunc(q.subRequests, func(sub *subRequest) bool { return sub.possibleRuns > 0 || sub.pending() > 0 })
}

// advance ends a query that has its answer or can't get one. Otherwise it
// starts the hedges that are due and sets the timer.
func (e *Engine) advance(now time.Time, q *query) {
	if _, live := e.queries[q.request.ID]; !live {
		return
	}
	if q.remote != nil {
		e.advanceRelayed(now, q)
		return
	}
	if q.awaitsPool != nil { // the only timer that is set meanwhile
		e.poolReplied(now, PoolReplied{ID: q.request.ID, Failed: true})
		return
	}
	switch {
	case q.openSubRequests() == 0 && q.answered >= q.minAnswered, q.answered >= q.minAnswered && !now.Before(q.objective):
		e.finish(now, q, q.successAnswer())
	case q.answered+q.openSubRequests() < q.minAnswered:
		e.finish(now, q, q.failureAnswer(now))
	case !now.Before(q.deadline) && q.deadline.Equal(e.answerBy):
		e.finish(now, q, e.stoppingAnswer(q))
	case !now.Before(q.deadline):
		e.finish(now, q, q.expiredAnswer())
	default:
		e.detectLateRelays(now, q)
		e.startDueHedges(now, q)
		e.setTimer(now, q)
	}
}

// setTimer sets the timer of a query to whatever comes first: a hedge, the
// objective or the deadline.
func (e *Engine) setTimer(now time.Time, q *query) {
	at := q.deadline
	if now.Before(q.objective) && q.objective.Before(at) {
		at = q.objective
	}
	for _, sub := range q.subRequests {
		if !sub.done && !sub.hedgeAt.IsZero() && sub.hedgeAt.Before(at) {
			at = sub.hedgeAt
		}
	}
	e.timers.Set(&q.timer, laterOf(at, now.Add(minTimerDelay)))
}

// minTimerDelay keeps a timer that is already due from firing again in the same
// step.
const minTimerDelay = time.Millisecond

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// successAnswer builds the answer from the sub-requests that have succeeded.
func (q *query) successAnswer() *Answer {
	if q.route.FanOut == nil {
		return &Answer{Response: q.subRequests[0].response}
	}
	m := &Merged{}
	for _, sub := range q.subRequests {
		if sub.succeeded() {
			m.Signatures = append(m.Signatures, sub.response.Signature)
		}
	}
	m.MissingShards = len(q.subRequests) - len(m.Signatures)
	m.Body = merge(q.route.FanOut.TopK, bodies(q.subRequests))
	return &Answer{Merged: m}
}

// bodies returns the records of the sub-requests that have succeeded. Those
// that another VM merged share one body, which is returned once.
func bodies(subRequests []*subRequest) [][]byte {
	var all [][]byte
	seen := make(map[*mergedRecords]bool)
	for _, sub := range subRequests {
		switch {
		case !sub.succeeded() || sub.merged != nil && seen[sub.merged]:
		case sub.merged != nil:
			seen[sub.merged] = true
			all = append(all, sub.merged.body)
		default:
			all = append(all, sub.response.Body)
		}
	}
	return all
}

func (sub *subRequest) succeeded() bool {
	return sub.done && sub.response != nil && sub.response.Success
}

// failureAnswer returns the answer of a query too many of whose sub-requests
// have failed.
func (q *query) failureAnswer(now time.Time) *Answer {
	if q.route.FanOut == nil && q.subRequests[0].response != nil {
		return &Answer{Response: q.subRequests[0].response} // the target answered with an error status
	}
	if !q.mayHaveRun() {
		if q.engine.tooLateToStart(now, q, 0) {
			return q.engine.stoppingAnswer(q)
		}
		after := minRetryAfter
		for _, sub := range q.subRequests {
			if sub.done && !sub.succeeded() {
				after = max(after, sub.service.backoffLeft(now))
			}
		}
		return refusal(outcome.CodeOverloaded, addJitter(after, q.request.Fingerprint), "%d of %d services did not take the request", q.failed, len(q.subRequests))
	}
	code := outcome.CodeConnectionLost
	if q.route.FanOut != nil {
		code = outcome.CodeInsufficientCoverage
	}
	return &Answer{Refusal: outcome.New(code, outcome.Unknown, "%d of %d services failed", q.failed, len(q.subRequests))}
}

// expiredAnswer returns the answer of a query whose deadline has passed.
func (q *query) expiredAnswer() *Answer {
	if !q.mayHaveRun() {
		return refusal(outcome.CodeDeadlineExceeded, 0, "no target was free in time")
	}
	return &Answer{Refusal: outcome.New(outcome.CodeDeadlineExceeded, outcome.Unknown, "%d of %d services answered in time", q.answered, len(q.subRequests))}
}

// finish answers a query and detaches its attempts. A query that certainly did
// not run gives its quota back.
func (e *Engine) finish(now time.Time, q *query, a *Answer) {
	endedEarly := a.Merged != nil && q.openSubRequests() > 0
	if a.Merged != nil && a.Merged.MissingShards > 0 {
		a.Trace.MissingCauses = e.missingCauses(now, q)
	}
	e.removeQuery(now, q, lingerTime)
	if a.Refusal != nil && a.Refusal.Outcome == outcome.NotRun {
		q.charge.refund()
	}
	a.Trace.EndedEarly = endedEarly
	e.respond(now, q, a)
}

// removeQuery removes a query. Its attempts are detached and may go on for
// linger, so that their connections can be reused.
func (e *Engine) removeQuery(now time.Time, q *query, linger time.Duration) {
	delete(e.queries, q.request.ID)
	e.timers.Remove(&q.timer)
	e.stopAwaitingPool(q)
	e.cancelRelays(q)
	for _, sub := range q.subRequests {
		sub.done = true
		sub.service.removeQueued(now, sub)
		for _, a := range sub.running {
			a.subRequest = nil
			e.detach(now, a, linger)
		}
		sub.running = nil
	}
}

// cancel ends a query whose caller has gone away. Attempts of a request that is
// not idempotent run to the deadline, since their effect can't be undone.
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
	e.removeQuery(now, q, linger)
}

// respond completes the trace of an answer and emits it.
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
	t.FromPool = q.fromPool
	t.AdmissionLag, t.AnsweredAt = q.admissionLag, now
	t.CopyAge, t.Priority, t.Duration = q.copyAge, q.priority, now.Sub(q.arrived)
	t.Attempts, t.Hedges, t.Retries, t.CrossZoneAttempts, t.Shards = q.attempts, q.hedges, q.retries, q.crossZone, len(q.subRequests)
	t.QueueWait = q.queueWait
	e.recordCallerAnswer(now, q, a)
	t.Relayed, t.RelayedTo = q.relayed, q.relayedTo
	for _, sub := range q.subRequests {
		if !sub.succeeded() {
			t.MissingShards = append(t.MissingShards, sub.service.name)
		}
	}
	e.emit(Respond{ID: q.request.ID, Answer: a})
}
