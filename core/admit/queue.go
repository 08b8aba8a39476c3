package admit

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/outcome"
)

// maxWait is how long a request may wait for a token of its workspace's rate. A
// rate that is divided between VMs leaves each VM a small burst; without the
// wait, requests that arrive close together are refused although their
// workspace is within its rate.
const maxWait = 250 * time.Millisecond

// waitDivisor limits the wait to 1/waitDivisor of the time until the request's
// deadline. The remainder is for running the request.
const waitDivisor = 4

// waitLimit returns how long a request may wait for a token.
func waitLimit(now time.Time, r Request) time.Duration {
	return min(maxWait, r.Deadline.Sub(now)/waitDivisor)
}

// Decision tells whether an offered request may start.
type Decision struct {
	ID        uint64           // as given to Offer
	Workspace string           // that the request runs for; empty if unknown
	Refusal   *outcome.Refusal // nil when the request may start
}

// queue holds the requests of one workspace that wait for a token, in order of arrival.
type queue struct {
	workspace   string
	waiters     []waiter
	nextTokenAt time.Time // when the next token accrues
}

// waiter is a request that waits for a token.
type waiter struct {
	id        uint64
	request   Request
	waitUntil time.Time // refused if there is no token by then
}

// Offer decides on a request and reports true, or queues it for a token of the
// rate and reports false; Ready then returns the decision. The requests of a
// workspace are admitted in order of arrival. A request that would wait longer
// than it may is refused at once.
func (a *Admitter) Offer(now time.Time, id uint64, r Request) (Decision, bool) {
	w, refusal := a.check(now, r)
	if refusal != nil {
		return Decision{ID: id, Refusal: refusal}, true
	}
	a.demand[w.Name].record(now)
	q := a.queueOf(w.Name)
	ahead := 0
	if q != nil {
		ahead = len(q.waiters)
	}
	bucket := a.buckets[w.Name]
	if ahead == 0 && bucket.Take(now) == 0 {
		return Decision{ID: id, Workspace: w.Name}, true
	}
	wait := bucket.TimeUntil(now, float64(ahead+1))
	if wait > waitLimit(now, r) {
		return Decision{ID: id, Workspace: w.Name, Refusal: rateExceeded(w, wait)}, true
	}
	if q == nil {
		q = &queue{workspace: w.Name, nextTokenAt: now.Add(wait)}
		a.queues = append(a.queues, q)
	}
	q.waiters = append(q.waiters, waiter{id: id, request: r, waitUntil: now.Add(waitLimit(now, r))})
	return Decision{}, false
}

// Ready removes the waiting requests that can be decided at now and returns the
// decisions.
func (a *Admitter) Ready(now time.Time) []Decision {
	var decisions []Decision
	for _, q := range a.queues {
		decisions = a.advance(now, q, decisions)
	}
	a.queues = slices.DeleteFunc(a.queues, func(q *queue) bool { return len(q.waiters) == 0 })
	return decisions
}

// NextReady returns when to call Ready next, zero when no request waits.
func (a *Admitter) NextReady() time.Time {
	var next time.Time
	for _, q := range a.queues {
		at := earlier(q.nextTokenAt, q.waiters[0].waitUntil)
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// advance decides on the waiters of a queue until the tokens are spent, and
// appends the decisions. It checks the key and the route again, since they may
// have been withdrawn meanwhile.
func (a *Admitter) advance(now time.Time, q *queue, decisions []Decision) []Decision {
	for len(q.waiters) > 0 {
		head := q.waiters[0]
		d := Decision{ID: head.id, Workspace: q.workspace}
		w, refusal := a.check(now, head.request)
		switch {
		case refusal != nil:
			d.Refusal = refusal
		default:
			d.Workspace = w.Name // the key may have moved to another workspace
			wait := a.buckets[w.Name].Take(now)
			if wait > 0 && now.Before(head.waitUntil) {
				q.nextTokenAt = now.Add(wait)
				return decisions
			}
			if wait > 0 {
				d.Refusal = rateExceeded(w, wait)
			}
		}
		decisions = append(decisions, d)
		q.waiters = q.waiters[1:]
	}
	return decisions
}

// queueOf returns the queue of a workspace, nil when no request of it waits.
func (a *Admitter) queueOf(workspace string) *queue {
	for _, q := range a.queues {
		if q.workspace == workspace && len(q.waiters) > 0 {
			return q
		}
	}
	return nil
}

// rateExceeded returns the refusal of a request whose token accrues after wait.
func rateExceeded(w *config.Workspace, wait time.Duration) *outcome.Refusal {
	r := outcome.New(outcome.CodeRateExceeded, outcome.NotRun, "workspace %q is over its rate on this VM", w.Name)
	r.RetryAfter = wait
	return r
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
