package route

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fair"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/latency"
	"github.com/anvilfork/anvilfork/core/random"
	"github.com/anvilfork/anvilfork/core/scatter"
	"github.com/anvilfork/anvilfork/core/timer"
)

// maxQueuedPerWorkspace bounds what one workspace can have waiting in one group.
const maxQueuedPerWorkspace = 64

// expiryGrace is how long attempts may run on after the share expired. The
// coordinator adds a drift allowance of 1% plus 50 ms before it gives the share
// to another VM; the grace uses half of the fixed part.
const expiryGrace = 25 * time.Millisecond

// Shard is the state machine of one group of targets on one of its home VMs.
type Shard struct {
	id       fleet.ShardID
	origin   uint64
	seq      uint64
	connSeq  ConnID
	jitter   random.Source
	assigned Assign
	isHome   bool
	targets  []*target // listed and retired ones
	byName   map[string]*target

	queue      *fair.Queue[*pending]
	alone      []*pending // suspects that wait for a target of their own
	lateHedges []*pending // due for a hedge that found no slot
	pending    map[scatter.SubID]*pending
	attempts   map[uint64]*attempt // by AttemptID.Seq
	timers     timer.Heap[timed]
	upkeepAt   time.Time // when upkeep is due; zero means never
	dirty      bool      // upkeep is due at once
	fresh      *pending  // submitted in this step; armed at its end unless it was started
	rescan     bool      // usable replicas or their versions changed

	latency  latency.Estimate
	budget   *HedgeBudget
	suspects suspects
	versions []uint64  // of usable replicas, newest first; replaced, never changed
	answerAt time.Time // last sign that any target answers
	capacity int       // attempts that may be in flight over all usable targets
	picks    int       // sum of the targets' picks
	stats    Stats

	freePending  []*pending
	freeAttempts []*attempt
	out          []Action
	starts       []StartAttempt
	cancels      []CancelAttempt
	responds     []Respond
}

// Stats counts what a group did since it was made.
type Stats struct {
	SubRequests  int `json:"sub_requests"`
	Attempts     int `json:"attempts"`
	Hedges       int `json:"hedges"`
	HedgeWins    int `json:"hedge_wins"`
	Sheds        int `json:"sheds"`
	Crashes      int `json:"crashes"`
	SilentMoves  int `json:"silent_moves"`
	SilentCloses int `json:"silent_closes"`
	ConnsOpened  int `json:"conns_opened"`
	ColdAgain    int `json:"cold_again"`
	Mismatches   int `json:"mismatches"`
}

// NewShard returns the machine of the group called id. Origin is a random
// number of the process that makes attempt ids unique across VMs.
func NewShard(id fleet.ShardID, origin uint64, jitter random.Source) *Shard {
	return &Shard{
		id: id, origin: origin, jitter: jitter,
		byName:   make(map[string]*target),
		queue:    fair.New[*pending](maxQueuedPerWorkspace),
		pending:  make(map[scatter.SubID]*pending),
		attempts: make(map[uint64]*attempt),
		latency:  latency.New(),
		suspects: newSuspects(),
		budget:   &HedgeBudget{},
	}
}

// Step handles one event and returns what is to be done.
func (g *Shard) Step(now time.Time, ev Event) []Action {
	clear(g.out)
	g.out, g.starts, g.cancels, g.responds = g.out[:0], g.starts[:0], g.cancels[:0], g.responds[:0]
	switch ev := ev.(type) {
	case *Submit:
		g.submit(now, &ev.Sub)
	case *AttemptDone:
		g.attemptDone(now, ev)
	case Cancel:
		g.cancel(now, ev.ID)
	case Probed:
		g.probed(now, ev)
	case ConnOpened:
		g.connOpened(now, ev)
	case ConnClosed:
		g.connClosed(now, ev)
	case Assign:
		g.assign(now, ev)
	case Tick:
	}
	// Upkeep goes first: a hedge must not use what the event took out of service.
	g.upkeepIfDue(now)
	g.fire(now)
	g.upkeepIfDue(now)
	g.dispatch(now)
	if p := g.fresh; p != nil {
		g.fresh = nil
		if p.live && !p.timer.Running() {
			g.arm(p)
		}
	}
	return g.out
}

// Next returns when Step is to be called with Tick; zero means never.
func (g *Shard) Next() time.Time {
	next := g.upkeepAt
	if t := g.timers.First(); t != nil {
		next = earlier(next, t.At)
	}
	return next
}

// earlier returns the earlier of two times, of which zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Idle reports whether the group has no work, no targets and no connections,
// so that it can be forgotten.
func (g *Shard) Idle() bool {
	return !g.isHome && len(g.pending) == 0 && len(g.attempts) == 0 && len(g.targets) == 0
}

// emit appends an action. The pooled kinds go through their own functions.
func (g *Shard) emit(a Action) { g.out = append(g.out, a) }

func (g *Shard) emitStart(a StartAttempt) {
	g.starts = append(g.starts, a)
	g.out = append(g.out, &g.starts[len(g.starts)-1])
}

func (g *Shard) emitCancel(a CancelAttempt) {
	g.cancels = append(g.cancels, a)
	g.out = append(g.out, &g.cancels[len(g.cancels)-1])
}

func (g *Shard) emitRespond(r *scatter.SubReply) {
	g.responds = append(g.responds, Respond{Reply: *r})
	g.out = append(g.out, &g.responds[len(g.responds)-1])
}

// holds reports whether this VM's share is valid. It is asked right before
// every use, because a process that paused may hold an expired share.
func (g *Shard) holds(now time.Time) bool {
	return g.isHome && now.Before(g.assigned.Share.Expires)
}

// fire handles all timers that are due.
func (g *Shard) fire(now time.Time) {
	for t := g.timers.First(); t != nil && !now.Before(t.At); t = g.timers.First() {
		g.timers.Remove(t)
		if t.Owner.attempt != nil {
			g.cancelledTooLong(now, t.Owner.attempt)
			continue
		}
		g.pendingDue(now, t.Owner.pending)
	}
}

func (g *Shard) upkeepIfDue(now time.Time) {
	if g.dirty || !g.upkeepAt.IsZero() && !now.Before(g.upkeepAt) {
		g.upkeep(now)
	}
}

// upkeep recomputes what changes rarely: usable targets, their allowances and
// versions, connections, and work that lost its last replica.
func (g *Shard) upkeep(now time.Time) {
	g.dirty = false
	g.upkeepAt = time.Time{}
	if g.isHome {
		g.expireShare(now)
	}
	g.capacity = 0
	for _, t := range g.targets {
		g.upkeepTarget(now, t)
		if t.usable {
			g.capacity += t.allowance
		}
	}
	g.dropRetired()
	if g.rescan {
		g.rescan = false
		g.collectVersions()
		g.recheckQueue(now)
	}
}

// wake asks for upkeep at a time.
func (g *Shard) wake(at time.Time) { g.upkeepAt = earlier(g.upkeepAt, at) }

// expireShare stops all use of the targets once the share is not valid any
// more, because another VM may hold it.
func (g *Shard) expireShare(now time.Time) {
	if g.holds(now) {
		g.wake(g.assigned.Share.Expires)
		return
	}
	g.refuseQueued(now)
	end := g.assigned.Share.Expires.Add(expiryGrace)
	if now.Before(end) {
		g.wake(end)
		return
	}
	for _, t := range g.targets {
		for _, c := range t.conns {
			g.closeConn(t, c)
		}
	}
}
