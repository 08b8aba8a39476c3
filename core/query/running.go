package query

import (
	"container/heap"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// The sequence number of a sub-request consists of the serial number of its query and
// its index among the sub-requests of that query, so that a reply finds its query with
// one map access.
const (
	subIndexBits = 24
	subIndexMask = 1<<subIndexBits - 1
)

type phase uint8

const (
	phaseClaiming   phase = iota // waits for the holder of its request-id range
	phaseProbing                 // waits for owners to report their index versions
	phaseBackingOff              // waits before planning again
	phaseRunning                 // sub-requests are in flight or parts wait for an owner
)

type partState uint8

const (
	partOpen partState = iota
	partAnswered
	partFailed
)

// runningQuery is the state of one query from Start to Finish.
type runningQuery struct {
	Start
	serial         uint64
	phase          phase
	startedAt      time.Time
	ownerWaitUntil time.Time // after this time the query no longer waits for an owner
	retryAt        time.Time // next timer of the phase; zero when not set
	hedgeAt        time.Time // next round of hedges; zero when not set
	unresponsiveAt time.Time // next check for unresponsive owners; zero when not set
	dueAt          time.Time // key of this query in the timer heap
	heapIndex      int
	ownerBackoff   time.Duration
	hedgeDelay     time.Duration // until the next round of hedges; doubled each time
	hedgeRounds    int           // rounds of hedges in this plan
	service        *service
	config         *config.Service // of the current plan
	shards         []*shard
	partitionMap   uint64
	version        uint64
	plans          int
	waitsForOwner  bool // backs off because shards have no owner
	replanWhenDone bool // set when a snapshot of a non-idempotent query is gone
	holder         fleet.VMID
	claimSentAt    time.Time // of the newest claim
	claimDeadline  time.Time
	mustSettle     bool // the holder may have recorded the claim of this query
	parts          []shardPart
	subs           []subRequest
	sendBuffer     []SendSub
	liveProbes     int // probes in flight
	openParts      int // parts that neither answered nor failed
	answeredParts  int
	parkedParts    int
	crashState
	stats               Stats
	worstOutcome        outcome.Outcome
	firstCause          *outcome.Refusal // why the first failed part failed
	lastSendFailure     *outcome.Refusal // of the newest sub-request that did not reach its owner
	retryElsewhereCause *outcome.Refusal // why a part failed that may succeed through another VM
	fatal               *outcome.Refusal // if not nil, ends the query whatever else arrives
}

type shardPart struct {
	state         partState
	sends         uint8 // sub-requests of the current plan that an owner may have accepted
	recentRejects uint8 // the newest of these, which owners did not accept
	live          uint8 // sub-requests in flight
	lastSub       int32 // 1 + index of the newest sub-request, 0 if there is none
	parked        bool  // waits for an owner
	body          []byte
}

type subRequest struct {
	part    int32
	live    bool
	probe   bool
	repeat  bool
	owner   *shardOwner
	sentAt  time.Time
	prevSub int32 // previous sub-request of the part, as in shardPart.lastSub
}

func (m *Machine) newQuery(now time.Time, s Start) *runningQuery {
	q := &runningQuery{}
	if n := len(m.freeQueries); n > 0 {
		q, m.freeQueries = m.freeQueries[n-1], m.freeQueries[:n-1]
	}
	*q = runningQuery{
		Start: s, serial: m.serial, startedAt: now, worstOutcome: outcome.NotRun,
		ownerWaitUntil: now.Add(s.Deadline.Sub(now) * ownerWaitNumerator / ownerWaitDenominator),
		dueAt:          s.Deadline,
		parts:          q.parts[:0], subs: q.subs[:0],
	}
	q.isolated = noPart
	return q
}

// release keeps the memory of an ended query for reuse.
func (m *Machine) release(q *runningQuery) {
	clear(q.parts)
	clear(q.subs)
	if len(m.freeQueries) < maxFreeQueries {
		*q = runningQuery{parts: q.parts[:0], subs: q.subs[:0]}
		m.freeQueries = append(m.freeQueries, q)
	}
}

// resetParts makes n parts open for a new plan.
func (q *runningQuery) resetParts(n int) {
	if cap(q.parts) < n {
		q.parts = make([]shardPart, n)
	}
	q.parts = q.parts[:n]
	clear(q.parts)
	q.subs = slices.Grow(q.subs, n) // sub-requests of earlier plans stay, so that their ids are not used again
	q.openParts, q.answeredParts, q.parkedParts, q.firstCause, q.retryElsewhereCause = n, 0, 0, nil, nil
	q.heldParts = q.heldParts[:0]
	q.isolated = noPart
}

// endSub marks a sub-request as no longer in flight.
func (q *runningQuery) endSub(s *subRequest) {
	s.live = false
	s.owner.outstanding--
	q.parts[s.part].live--
	if s.probe {
		q.liveProbes--
	}
}

// cancelSubs cancels all sub-requests in flight. Whether they ran is unknown from then
// on.
func (m *Machine) cancelSubs(q *runningQuery) {
	for i := range q.subs {
		s := &q.subs[i]
		if !s.live {
			continue
		}
		q.endSub(s)
		if s.probe {
			continue
		}
		q.worstOutcome = outcome.Worse(q.worstOutcome, outcome.Unknown)
		m.emit(CancelSub{Owner: s.owner.vm.id, ID: m.subID(q, i)})
	}
}

// cancelPart cancels the remaining sub-requests of a part that has its answer.
func (m *Machine) cancelPart(q *runningQuery, part int32) {
	if q.parts[part].live == 0 {
		return
	}
	for i := q.parts[part].lastSub; i > 0; i = q.subs[i-1].prevSub {
		if s := &q.subs[i-1]; s.live {
			q.endSub(s)
			q.worstOutcome = outcome.Worse(q.worstOutcome, outcome.Unknown)
			m.emit(CancelSub{Owner: s.owner.vm.id, ID: m.subID(q, int(i-1))})
		}
	}
}

// endProbes ends the remaining probes of a part whose versions were reported.
func (q *runningQuery) endProbes(part int32) {
	for i := q.parts[part].lastSub; i > 0; i = q.subs[i-1].prevSub {
		if s := &q.subs[i-1]; s.live {
			q.endSub(s)
		}
	}
}

func (m *Machine) subID(q *runningQuery, i int) scatter.SubID {
	return scatter.SubID{Ingress: m.self, Seq: q.serial<<subIndexBits | uint64(i)}
}

// nextTimer returns the earliest time at which the query has something to do.
func (q *runningQuery) nextTimer() time.Time {
	due := q.Deadline
	for _, t := range [...]time.Time{q.retryAt, q.hedgeAt, q.unresponsiveAt} {
		if !t.IsZero() && t.Before(due) {
			due = t
		}
	}
	return due
}

// dueHeap is a min-heap of queries by the time of their next timer.
type dueHeap []*runningQuery

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].dueAt.Before(h[j].dueAt) }
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	q := x.(*runningQuery)
	q.heapIndex = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return q
}

func (h *dueHeap) add(q *runningQuery)    { heap.Push(h, q) }
func (h *dueHeap) remove(q *runningQuery) { heap.Remove(h, q.heapIndex) }

func (h *dueHeap) update(q *runningQuery) {
	if due := q.nextTimer(); !due.Equal(q.dueAt) {
		q.dueAt = due
		heap.Fix(h, q.heapIndex)
	}
}

func (h dueHeap) earliest() time.Time {
	if len(h) == 0 {
		return time.Time{}
	}
	return h[0].dueAt
}
