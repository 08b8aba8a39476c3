package serve

import (
	"slices"
	"time"
)

// fairChancePercent is the part of the objective, in percent, that an attempt gets at
// least before it is hedged: one that gets less is no real attempt.
const fairChancePercent = 10

// hedgeWaitAt returns how long the first attempt of a sub-request may take at a target
// before it is hedged. At a target that is expected to be slow, the attempt gets the
// time that it would need at a usual one, if a hedge then still ends before it. A
// target that states no pace gets hedgeWait.
func (e *Engine) hedgeWaitAt(now time.Time, sub *subRequest, t *target) time.Duration {
	q := sub.query
	if !t.statesPace() {
		return e.hedgeWait(now, q)
	}
	usual := &e.route(q.route.Name).atPace1
	wait := max(e.attemptTime(now, t, usual.P90), minHedgeWait, q.objective.Sub(now)*hedgeAfterPercent/100)
	fair := max(usual.P90, minHedgeWait, q.route.Objective*fairChancePercent/100)
	other, ok := e.fastestOther(now, sub, t, usual.P50)
	if ok && fair < wait && fair+other < e.attemptTime(now, t, usual.P50) && e.isSlow(now, q, t) {
		return fair
	}
	return wait
}

// isSlow reports whether an attempt at a target is expected to take longer than
// attempts of the query are usually waited for before a hedge.
func (e *Engine) isSlow(now time.Time, q *query, t *target) bool {
	expected := e.attemptTime(now, t, e.route(q.route.Name).atPace1.P50)
	return expected > q.objective.Sub(now)*hedgeAfterPercent/100
}

// fastestOther returns the shortest expected time of an attempt at another target that
// the sub-request has not tried. It returns false if there is none.
func (e *Engine) fastestOther(now time.Time, sub *subRequest, t *target, median time.Duration) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for _, o := range sub.service.targets {
		if o == t || !o.usable(now) || !o.isSound(now) || slices.Contains(sub.tried, o) {
			continue
		}
		if d := e.attemptTime(now, o, median); !found || d < best {
			best, found = d, true
		}
	}
	return best, found
}
