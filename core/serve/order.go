package serve

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// urgency is the place of a query in the queues of all services. It depends on the
// query and the time only, so that the shards of one query are served at about the
// same time.
type urgency struct {
	priority int
	due      time.Time
	seq      uint64
}

func (q *query) urgency(now time.Time) urgency {
	u := urgency{priority: q.priority, seq: q.seq}
	if !q.orderBy.IsZero() {
		u.due = dueTime(now, q.orderBy, q.orderPeriod)
	}
	return u
}

// setOrder orders a query by its objective under overload control, else by its admission.
func (e *Engine) setOrder(q *query) {
	if !e.config.LimitsDemand() {
		q.orderBy, q.orderPeriod = q.objective, q.route.Objective
	}
}

// compare orders by priority, lowest value first, then by the time when the query is
// due, then by admission.
func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.priority, o.priority), u.due.Compare(o.due), cmp.Compare(u.seq, o.seq))
}

// dueTime returns the time by which a query is ordered: that of its objective, and once
// it has passed a later one. A late query so goes behind those that can still be in
// time, but passes those that arrive when its new time is near. Each further period
// is twice as long as the one before, the first as long as the objective.
func dueTime(now, objectiveEnds time.Time, objective time.Duration) time.Time {
	due := objectiveEnds
	for period := max(objective, minDuePeriod); !due.After(now) && period < maxDuePeriod; period *= 2 {
		due = due.Add(period)
	}
	return due
}

// minDuePeriod is the shortest period by which the order of a late query is put off.
const minDuePeriod = 10 * time.Millisecond

// maxDuePeriod is beyond all deadlines. It ends the search for the due time of a
// query that a frozen VM finds long overdue.
const maxDuePeriod = time.Hour

// setRelayedOrder orders a query that another VM relayed by the objective of its route. It is
// ordered by its deadline while this VM does not know the route.
func (e *Engine) setRelayedOrder(now time.Time, q *query) {
	if e.config == nil || e.config.LimitsDemand() {
		return
	}
	q.orderBy = q.deadline
	if r := e.config.Route(q.route.Name); r != nil {
		q.orderBy, q.orderPeriod = earlierOf(now.Add(r.Objective), q.deadline), r.Objective
	}
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// enqueue queues a sub-request. The queue stays ordered by priority; sortQueue restores
// the order within a priority.
func (s *service) enqueue(now time.Time, sub *subRequest) {
	if sub.queued {
		return
	}
	sub.queued, sub.queuedAt = true, now
	u := sub.query.urgency(now)
	i, _ := slices.BinarySearchFunc(s.queue, u, func(o *subRequest, u urgency) int { return o.query.urgency(now).compare(u) })
	s.queue = slices.Insert(s.queue, i, sub)
}

// sortQueue restores the order of the queue, which changes when objectives pass.
func (s *service) sortQueue(now time.Time) {
	byUrgency := func(a, b *subRequest) int { return a.query.urgency(now).compare(b.query.urgency(now)) }
	if !slices.IsSortedFunc(s.queue, byUrgency) {
		slices.SortFunc(s.queue, byUrgency)
	}
}

func (s *service) removeQueued(now time.Time, sub *subRequest) {
	if !sub.queued {
		return
	}
	sub.queued = false
	sub.query.queueWait = max(sub.query.queueWait, now.Sub(sub.queuedAt))
	s.queue = slices.DeleteFunc(s.queue, func(o *subRequest) bool { return o == sub })
}

// queuedBefore returns the number of queued sub-requests that go before those of a
// new query.
func (s *service) queuedBefore(now time.Time, q *query) int {
	u, before := q.urgency(now), 0
	u.seq = math.MaxUint64 // it is admitted after all others
	for _, sub := range s.queue {
		if sub.query.urgency(now).compare(u) < 0 {
			before++
		}
	}
	return before
}

// queuedUpTo returns the number of queued sub-requests of the given priority and of more
// urgent ones.
func (s *service) queuedUpTo(priority int) int {
	n := 0
	for _, sub := range s.queue {
		if sub.query.priority <= priority {
			n++
		}
	}
	return n
}
