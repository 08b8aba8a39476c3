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

// maxQueuedPerWorkspace bounds the queued sub-requests of one workspace in one
// Shard.
const maxQueuedPerWorkspace = 64

// expiryGrace is how long attempts may keep running after the share expired. The
// coordinator waits a drift allowance of 1% plus 50 ms before it gives the share
// to another VM; the grace uses half of the fixed 50 ms.
const expiryGrace = 25 * time.Millisecond

// Shard is the state machine that schedules the sub-requests of one shard on one
// of its owners. It is not safe for concurrent use.
type Shard struct {
	id         fleet.ShardID
	origin     uint64 // AttemptID.Origin of this process
	attemptSeq uint64
	connSeq    ConnID
	jitter     random.Source // spreads reconnects
	assigned   Assignment
	isOwner    bool      // assigned.Share has slots
	targets    []*target // configured ones, and removed ones with work or connections left
	byAddress  map[string]*target

	queue           *fair.Queue[*pending]
	isolationQueue  []*pending // suspects that wait for a target without other attempts
	waitingHedges   []*pending // hedges that were due but found no free slot, oldest first
	pending         map[scatter.SubID]*pending
	attempts        map[uint64]*attempt // by AttemptID.Seq
	timers          timer.Heap[timerOwner]
	maintenanceAt   time.Time // when maintain is due; zero means never
	dirty           bool      // maintain is due at once
	submitted       *pending  // submitted in this step; its timer is set at the end of Step unless it started
	replicasChanged bool      // the usable targets or their index versions changed

	latency      latency.Estimate // of all targets
	hedgeBudget  *HedgeBudget
	suspects     suspects
	versions     []uint64  // of usable targets, newest first; aliased by replies, so replaced and never modified
	lastAnswerAt time.Time // last time at which any target is known to have answered
	capacity     int       // sum of the allowances of usable targets
	picks        int       // sum of target.picks
	stats        Stats

	// Memory that is reused by later sub-requests and steps.
	pendingPool   []*pending
	attemptPool   []*attempt
	actions       []Action
	startBuffer   []StartAttempt
	cancelBuffer  []CancelAttempt
	respondBuffer []Respond
}

// Stats counts events of a Shard since NewShard.
type Stats struct {
	SubRequests          int `json:"sub_requests"`
	Attempts             int `json:"attempts"`
	Hedges               int `json:"hedges"`
	HedgeWins            int `json:"hedge_wins"`
	Sheds                int `json:"sheds"` // attempts that a target refused under load
	Crashes              int `json:"crashes"`
	UnresponsiveAttempts int `json:"silent_moves"`  // unresponsive attempts cancelled in favor of another attempt
	UnconfirmedCancels   int `json:"silent_closes"` // connections closed because a cancellation was not confirmed
	ConnsOpened          int `json:"conns_opened"`
	BecameCold           int `json:"cold_again"` // targets that became cold without a restart
	Mismatches           int `json:"mismatches"` // answers that belong to another attempt or violate the protocol
}

// NewShard returns a Shard without targets, which owns nothing until the first
// Assignment. Origin is a random number of the process that makes attempt ids unique
// across VMs.
func NewShard(id fleet.ShardID, origin uint64, jitter random.Source) *Shard {
	return &Shard{
		id: id, origin: origin, jitter: jitter,
		byAddress:   make(map[string]*target),
		queue:       fair.New[*pending](maxQueuedPerWorkspace),
		pending:     make(map[scatter.SubID]*pending),
		attempts:    make(map[uint64]*attempt),
		latency:     latency.New(),
		suspects:    newSuspects(),
		hedgeBudget: &HedgeBudget{},
	}
}

// Step handles one event and returns the resulting actions in order. The slice is
// valid until the next Step.
func (s *Shard) Step(now time.Time, ev Event) []Action {
	clear(s.actions)
	s.actions, s.startBuffer, s.cancelBuffer, s.respondBuffer = s.actions[:0], s.startBuffer[:0], s.cancelBuffer[:0], s.respondBuffer[:0]
	switch ev := ev.(type) {
	case *Submit:
		s.submit(now, &ev.Sub)
	case *AttemptDone:
		s.attemptDone(now, ev)
	case Cancel:
		s.cancel(now, ev.ID)
	case ProbeResult:
		s.handleProbe(now, ev)
	case ConnOpened:
		s.connOpened(now, ev)
	case ConnClosed:
		s.connClosed(now, ev)
	case Assignment:
		s.assign(now, ev)
	case Tick:
	}
	// Maintenance precedes the timers, so that no hedge goes to a target that this
	// event took out of service.
	s.maintainIfDue(now)
	s.fireTimers(now)
	s.maintainIfDue(now)
	s.dispatch(now)
	if p := s.submitted; p != nil {
		s.submitted = nil
		if p.live && !p.timer.Running() {
			s.armTimer(p)
		}
	}
	return s.actions
}

// Next returns the time at which Step must be called with Tick; zero means never.
func (s *Shard) Next() time.Time {
	next := s.maintenanceAt
	if t := s.timers.First(); t != nil {
		next = earlier(next, t.At)
	}
	return next
}

// earlier returns the earlier of two times; a zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Idle reports whether this VM does not own the shard and no work, targets or
// connections are left, so that the Shard can be discarded.
func (s *Shard) Idle() bool {
	return !s.isOwner && len(s.pending) == 0 && len(s.attempts) == 0 && len(s.targets) == 0
}

// emit appends an action. The frequent kinds have functions of their own, which
// store them in reused buffers.
func (s *Shard) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Shard) emitStart(a StartAttempt) {
	s.startBuffer = append(s.startBuffer, a)
	s.actions = append(s.actions, &s.startBuffer[len(s.startBuffer)-1])
}

func (s *Shard) emitCancel(a CancelAttempt) {
	s.cancelBuffer = append(s.cancelBuffer, a)
	s.actions = append(s.actions, &s.cancelBuffer[len(s.cancelBuffer)-1])
}

func (s *Shard) emitRespond(r *scatter.SubReply) {
	s.respondBuffer = append(s.respondBuffer, Respond{Reply: *r})
	s.actions = append(s.actions, &s.respondBuffer[len(s.respondBuffer)-1])
}

// shareValid reports whether this VM holds a share that has not expired. It is
// called right before every use of a target, because a process that was paused
// may wake up with an expired share.
func (s *Shard) shareValid(now time.Time) bool {
	return s.isOwner && now.Before(s.assigned.Share.Expires)
}

// fireTimers handles all timers that are due.
func (s *Shard) fireTimers(now time.Time) {
	for t := s.timers.First(); t != nil && !now.Before(t.At); t = s.timers.First() {
		s.timers.Remove(t)
		if t.Owner.attempt != nil {
			s.cancellationTimedOut(now, t.Owner.attempt)
			continue
		}
		s.pendingTimerFired(now, t.Owner.pending)
	}
}

func (s *Shard) maintainIfDue(now time.Time) {
	if s.dirty || !s.maintenanceAt.IsZero() && !now.Before(s.maintenanceAt) {
		s.maintain(now)
	}
}

// maintain recomputes the state that changes rarely: usable targets, their
// allowances and index versions, and connections. It ends waiting sub-requests
// that no target can run any more.
func (s *Shard) maintain(now time.Time) {
	s.dirty = false
	s.maintenanceAt = time.Time{}
	if s.isOwner {
		s.enforceShareExpiry(now)
	}
	s.capacity = 0
	for _, t := range s.targets {
		s.maintainTarget(now, t)
		if t.usable {
			s.capacity += t.allowance
		}
	}
	s.removeRetired()
	if s.replicasChanged {
		s.replicasChanged = false
		s.collectVersions()
		s.rejectUnrunnable(now)
	}
}

// scheduleMaintenance makes maintain due at the given time or earlier.
func (s *Shard) scheduleMaintenance(at time.Time) { s.maintenanceAt = earlier(s.maintenanceAt, at) }

// enforceShareExpiry ends all use of the targets once the share has expired,
// because another VM may hold it by then. Waiting work is rejected at once;
// running attempts lose their connections after expiryGrace.
func (s *Shard) enforceShareExpiry(now time.Time) {
	if s.shareValid(now) {
		s.scheduleMaintenance(s.assigned.Share.Expires)
		return
	}
	s.rejectWaiting(now)
	end := s.assigned.Share.Expires.Add(expiryGrace)
	if now.Before(end) {
		s.scheduleMaintenance(end)
		return
	}
	for _, t := range s.targets {
		for _, c := range t.conns {
			s.closeConn(t, c)
		}
	}
}
