package admit

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/outcome"
)

// maxWait is how long a request may wait for a token of its workspace's rate. A
// rate that is divided between VMs leaves each a small burst; without the wait,
// requests that come close together are refused inside the rate.
const maxWait = 250 * time.Millisecond

// waitPart is the divisor of a request's time that it may spend waiting: the
// rest is for running it.
const waitPart = 4

// patience returns how long a request may wait.
func patience(now time.Time, r Request) time.Duration {
	return min(maxWait, r.Deadline.Sub(now)/waitPart)
}

// Decision is the decision on an offered request.
type Decision struct {
	ID        uint64 // as given to Offer
	Workspace string
	Refusal   *outcome.Refusal // nil when the request may start
}

// line holds the requests of one workspace that wait for a token, in order of arrival.
type line struct {
	workspace string
	waiters   []waiter
	retryAt   time.Time // when the next token accrues
}

type waiter struct {
	id      uint64
	request Request
	giveUp  time.Time
}

// Offer decides on a request, or makes it wait for a token of the rate; Ready
// then returns the decision. Nobody overtakes a request that waits. One that
// would wait for too long is refused at once.
func (a *Admitter) Offer(now time.Time, id uint64, r Request) (Decision, bool) {
	w, refusal := a.check(now, r)
	if refusal != nil {
		return Decision{ID: id, Refusal: refusal}, true
	}
	a.demand[w.Name].offer(now)
	l := a.lineOf(w.Name)
	ahead := 0
	if l != nil {
		ahead = len(l.waiters)
	}
	bucket := a.buckets[w.Name]
	if ahead == 0 && bucket.Take(now) == 0 {
		return Decision{ID: id, Workspace: w.Name}, true
	}
	wait := bucket.TimeUntil(now, float64(ahead+1))
	if wait > patience(now, r) {
		return Decision{ID: id, Workspace: w.Name, Refusal: overRate(w, wait)}, true
	}
	if l == nil {
		l = &line{workspace: w.Name, retryAt: now.Add(wait)}
		a.lines = append(a.lines, l)
	}
	l.waiters = append(l.waiters, waiter{id: id, request: r, giveUp: now.Add(patience(now, r))})
	return Decision{}, false
}

// Ready returns the decisions on requests that waited.
func (a *Admitter) Ready(now time.Time) []Decision {
	var out []Decision
	for _, l := range a.lines {
		out = a.advance(now, l, out)
	}
	a.lines = slices.DeleteFunc(a.lines, func(l *line) bool { return len(l.waiters) == 0 })
	return out
}

// NextReady returns when Ready is to be called; zero when nobody waits.
func (a *Admitter) NextReady() time.Time {
	var next time.Time
	for _, l := range a.lines {
		at := earlier(l.retryAt, l.waiters[0].giveUp)
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// advance decides on the waiters of a line until the tokens are spent. The key
// and the route are checked again: they may have been withdrawn meanwhile.
func (a *Admitter) advance(now time.Time, l *line, out []Decision) []Decision {
	for len(l.waiters) > 0 {
		h := l.waiters[0]
		v := Decision{ID: h.id, Workspace: l.workspace}
		w, refusal := a.check(now, h.request)
		switch {
		case refusal != nil:
			v.Refusal = refusal
		default:
			v.Workspace = w.Name // the key may have moved to another workspace
			wait := a.buckets[w.Name].Take(now)
			if wait > 0 && now.Before(h.giveUp) {
				l.retryAt = now.Add(wait)
				return out
			}
			if wait > 0 {
				v.Refusal = overRate(w, wait)
			}
		}
		out = append(out, v)
		l.waiters = l.waiters[1:]
	}
	return out
}

func (a *Admitter) lineOf(workspace string) *line {
	for _, l := range a.lines {
		if l.workspace == workspace && len(l.waiters) > 0 {
			return l
		}
	}
	return nil
}

func overRate(w *config.Workspace, wait time.Duration) *outcome.Refusal {
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
