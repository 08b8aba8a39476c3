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

// A sequence number of a sub-request holds the serial number of its query and
// the index among the sub-requests of that query, so that a reply finds its
// query in one look-up.
const (
	subIndexBits = 24
	subIndexMask = 1<<subIndexBits - 1
)

type phase uint8

const (
	phaseClaiming phase = iota // waits for the holder of its request id
	phaseProbing               // asks homes for index versions
	phasePausing               // waits before it plans again
	phaseRunning               // sub-requests are under way
)

type partState uint8

const (
	partOpen partState = iota
	partAnswered
	partFailed
)

// running is one query.
type running struct {
	Start
	serial       uint64
	phase        phase
	began        time.Time
	waitUntil    time.Time // no waiting for a home after this
	retryAt      time.Time
	hedgeAt      time.Time
	silentAt     time.Time
	dueAt        time.Time // as the heap orders it
	heapIndex    int
	pause        time.Duration
	hedgeWait    time.Duration // until the next look for slow parts
	looks        int           // for slow parts, in this plan
	service      *service
	config       *config.Service // of the current plan
	groups       []*group
	partitionMap uint64
	version      uint64
	plans        int
	waitsForHome bool // pauses because groups have no home
	replanAfter  bool // a non-idempotent query met a snapshot that is gone
	holder       fleet.VMID
	claimAt      time.Time // when the newest claim was sent
	claimUntil   time.Time
	claimSent    bool
	parts        []part
	subs         []sub
	slab         []SendSub
	probes       int // probes under way
	open         int // parts that neither answered nor failed
	answered     int
	parked       int
	suspicion
	stats     Stats
	worst     outcome.Outcome
	cause     *outcome.Refusal // why the first failed part failed
	lost      *outcome.Refusal // of the newest sub-request that did not reach its home
	unreached *outcome.Refusal // why a part failed that another VM may get answered
	fatal     *outcome.Refusal // ends the query whatever else arrives
}

type part struct {
	state  partState
	sends  uint8 // sub-requests of the current plan that a home may have taken
	lately uint8 // of these, the newest ones that homes did not take
	live   uint8 // sub-requests under way
	last   int32 // 1 + index of the newest sub-request, 0 when there is none
	parked bool  // waits for a home
	body   []byte
}

type sub struct {
	part   int32
	live   bool
	probe  bool
	repeat bool
	path   *path
	sentAt time.Time
	prev   int32 // as part.last, of the one before
}

func (m *Machine) newRunning(now time.Time, s Start) *running {
	q := &running{}
	if n := len(m.free); n > 0 {
		q, m.free = m.free[n-1], m.free[:n-1]
	}
	*q = running{
		Start: s, serial: m.serial, began: now, worst: outcome.NotRun,
		waitUntil: now.Add(s.Deadline.Sub(now) * waitNumerator / waitDenominator),
		dueAt:     s.Deadline,
		parts:     q.parts[:0], subs: q.subs[:0],
	}
	q.alone = noPart
	return q
}

// release keeps the memory of an ended query for a later one.
func (m *Machine) release(q *running) {
	clear(q.parts)
	clear(q.subs)
	if len(m.free) < maxFree {
		*q = running{parts: q.parts[:0], subs: q.subs[:0]}
		m.free = append(m.free, q)
	}
}

// resetParts makes all parts open for a new plan.
func (q *running) resetParts(n int) {
	if cap(q.parts) < n {
		q.parts = make([]part, n)
	}
	q.parts = q.parts[:n]
	clear(q.parts)
	q.subs = slices.Grow(q.subs, n) // those of earlier plans stay: their ids are never used again
	q.open, q.answered, q.parked, q.cause, q.unreached = n, 0, 0, nil, nil
	q.held = q.held[:0]
	q.alone = noPart
}

// end closes a sub-request and reports whether it was the last of its part.
func (q *running) end(s *sub) {
	s.live = false
	s.path.outstanding--
	q.parts[s.part].live--
	if s.probe {
		q.probes--
	}
}

// cancelSubs withdraws what is under way. Its outcome is unknown from then on.
func (m *Machine) cancelSubs(q *running) {
	for i := range q.subs {
		s := &q.subs[i]
		if !s.live {
			continue
		}
		q.end(s)
		if s.probe {
			continue
		}
		q.worst = outcome.Worse(q.worst, outcome.Unknown)
		m.emit(CancelSub{Owner: s.path.home.id, ID: m.subID(q, i)})
	}
}

// cancelPart withdraws the other sub-requests of a part that has its answer.
func (m *Machine) cancelPart(q *running, part int32) {
	if q.parts[part].live == 0 {
		return
	}
	for i := q.parts[part].last; i > 0; i = q.subs[i-1].prev {
		if s := &q.subs[i-1]; s.live {
			q.end(s)
			q.worst = outcome.Worse(q.worst, outcome.Unknown)
			m.emit(CancelSub{Owner: s.path.home.id, ID: m.subID(q, int(i-1))})
		}
	}
}

// dropProbes forgets the other probes of a part that has its answer.
func (q *running) dropProbes(part int32) {
	for i := q.parts[part].last; i > 0; i = q.subs[i-1].prev {
		if s := &q.subs[i-1]; s.live {
			q.end(s)
		}
	}
}

func (m *Machine) subID(q *running, i int) scatter.SubID {
	return scatter.SubID{Ingress: m.self, Seq: q.serial<<subIndexBits | uint64(i)}
}

// nextDue is the earliest time at which the query has something to do.
func (q *running) nextDue() time.Time {
	due := q.Deadline
	for _, t := range [...]time.Time{q.retryAt, q.hedgeAt, q.silentAt} {
		if !t.IsZero() && t.Before(due) {
			due = t
		}
	}
	return due
}

// dueHeap orders queries by the time at which they have something to do.
type dueHeap []*running

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].dueAt.Before(h[j].dueAt) }
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	q := x.(*running)
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

func (h *dueHeap) add(q *running)    { heap.Push(h, q) }
func (h *dueHeap) remove(q *running) { heap.Remove(h, q.heapIndex) }

func (h *dueHeap) update(q *running) {
	if due := q.nextDue(); !due.Equal(q.dueAt) {
		q.dueAt = due
		heap.Fix(h, q.heapIndex)
	}
}

func (h dueHeap) next() time.Time {
	if len(h) == 0 {
		return time.Time{}
	}
	return h[0].dueAt
}
