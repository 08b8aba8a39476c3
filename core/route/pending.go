package route

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/fair"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
	"github.com/anvilfork/anvilfork/core/timer"
)

type queueItem = fair.Item[*pending]

// timerOwner is the sub-request or the attempt that a timer belongs to; the other
// field is nil.
type timerOwner struct {
	pending *pending
	attempt *attempt
}

// pending is a sub-request that has no reply yet, whether queued or running.
type pending struct {
	timer             timer.Timer[timerOwner]
	item              queueItem
	sub               scatter.SubRequest
	attempts          int // started so far
	notRun            int // attempts known not to have run
	crashes           int // attempts that were lost in a crash of their target
	activeAttempts    []*attempt
	unresolvedLosses  int // lost attempts whose target may have crashed
	triedTargets      []*target
	abandoned         int             // attempts given up because they were unresponsive
	hedged            bool            // a hedge was started
	waitsForIsolation bool            // in Shard.isolationQueue
	waitsForHedge     bool            // in Shard.waitingHedges
	live              bool            // in Shard.pending
	hedgeAt           time.Time       // when a hedge is due; zero means never
	unresponsiveAt    time.Time       // next check for unresponsive attempts; zero means never
	worstOutcome      outcome.Outcome // over all attempts that ended
	failureCode       outcome.Code    // of the last failed attempt
	failureReason     string
}

// attempt is one execution of a sub-request at a target. It occupies a slot until
// the target reports its end or its connection is closed, even if cancelled.
type attempt struct {
	timer        timer.Timer[timerOwner]
	id           AttemptID
	slotIndex    int // index in target.attempts
	target       *target
	conn         *conn
	pending      *pending // nil after a cancellation
	startedAt    time.Time
	fingerprint  fingerprint
	indexVersion uint64
	hedge        bool
	isolated     bool   // no other attempt runs on the target
	crashSeq     uint64 // last crash of the target while the attempt was in flight; zero means none
}

func (s *Shard) newPending(sub *scatter.SubRequest) *pending {
	var p *pending
	if n := len(s.pendingPool); n > 0 {
		p = s.pendingPool[n-1]
		s.pendingPool = s.pendingPool[:n-1]
	} else {
		p = &pending{}
		p.timer.Owner.pending = p
		p.item.Value = p
	}
	p.sub = *sub
	p.worstOutcome = outcome.NotRun
	p.live = true
	s.pending[sub.ID] = p
	s.submitted = p
	return p
}

// removePending removes a sub-request from all queues. Its active attempts must
// have been cancelled.
func (s *Shard) removePending(p *pending) {
	delete(s.pending, p.sub.ID)
	s.timers.Remove(&p.timer)
	if p.item.Queued() {
		s.queue.Remove(&p.item)
	}
	if p.waitsForIsolation {
		s.isolationQueue = slices.DeleteFunc(s.isolationQueue, func(o *pending) bool { return o == p })
	}
	if p.waitsForHedge {
		s.waitingHedges = slices.DeleteFunc(s.waitingHedges, func(o *pending) bool { return o == p })
	}
	if p.unresolvedLosses > 0 {
		s.detachLostAttempts(p)
	}
	p.reset()
	s.pendingPool = append(s.pendingPool, p)
}

// reset clears a sub-request for reuse. It is cheaper than assigning a zero value,
// most of which the next use overwrites.
func (p *pending) reset() {
	clear(p.triedTargets)
	p.activeAttempts, p.triedTargets = p.activeAttempts[:0], p.triedTargets[:0]
	p.sub.Body = nil
	p.attempts, p.notRun, p.crashes, p.unresolvedLosses, p.abandoned = 0, 0, 0, 0, 0
	p.hedged, p.waitsForIsolation, p.waitsForHedge, p.live = false, false, false, false
	p.hedgeAt, p.unresponsiveAt = time.Time{}, time.Time{}
	p.failureCode, p.failureReason = "", ""
	p.item = queueItem{Value: p}
}

// armTimer sets the timer of a sub-request to the earliest of its deadline, its
// hedge and its next check for progress.
func (s *Shard) armTimer(p *pending) {
	at := p.sub.Deadline
	if len(p.activeAttempts) > 0 {
		at = earlier(earlier(at, p.hedgeAt), p.unresponsiveAt)
	}
	s.timers.Set(&p.timer, at)
}

func (s *Shard) pendingTimerFired(now time.Time, p *pending) {
	switch {
	case !now.Before(p.sub.Deadline):
		s.deadlinePassed(now, p)
		return
	case len(p.activeAttempts) == 0:
	case !p.unresponsiveAt.IsZero() && !now.Before(p.unresponsiveAt):
		s.abandonUnresponsive(now, p)
	case !p.hedgeAt.IsZero() && !now.Before(p.hedgeAt):
		s.hedgeOrDefer(now, p)
	}
	if p.live {
		s.armTimer(p)
	}
}

// deadlinePassed refuses a sub-request whose deadline has passed.
func (s *Shard) deadlinePassed(now time.Time, p *pending) {
	o, code, reason := outcome.NotRun, outcome.CodeDeadlineExceeded, "the deadline passed before a target was free"
	switch {
	case len(p.activeAttempts) > 0 || p.unresolvedLosses > 0:
		o, reason = outcome.Unknown, "the deadline passed while a target ran the request"
	case !s.anyTargetUsable():
		code, reason = outcome.CodeNoReplica, "no replica could be used before the deadline"
	}
	s.refuse(now, p, code, o, reason)
}

func (s *Shard) anyTargetUsable() bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.usable })
}

func (s *Shard) cancel(now time.Time, id scatter.SubID) {
	if p, ok := s.pending[id]; ok {
		s.cancelActive(now, p)
		s.removePending(p)
	}
}

// cancelActive cancels all active attempts of a sub-request.
func (s *Shard) cancelActive(now time.Time, p *pending) {
	for len(p.activeAttempts) > 0 {
		s.cancelAttempt(now, p.activeAttempts[len(p.activeAttempts)-1])
	}
}

// cancelAttempt asks the target to cancel an attempt and detaches it from its
// sub-request. The elapsed time is a lower bound of the attempt's latency.
func (s *Shard) cancelAttempt(now time.Time, a *attempt) {
	a.pending.removeActive(a)
	a.pending = nil
	elapsed := now.Sub(a.startedAt)
	if elapsed > s.latency.P95 {
		s.observeLatency(now, a.target, elapsed, false)
	}
	s.emitCancel(CancelAttempt{Attempt: a.id, Target: a.target.address, Conn: a.conn.id})
	s.timers.Set(&a.timer, now.Add(s.unresponsiveTimeout()))
}

func (p *pending) removeActive(a *attempt) {
	if i := slices.Index(p.activeAttempts, a); i >= 0 {
		p.activeAttempts = slices.Delete(p.activeAttempts, i, i+1)
	}
}

// sendReply completes a reply and returns it to the ingress.
func (s *Shard) sendReply(p *pending, reply *scatter.SubReply) {
	reply.ID, reply.Shard, reply.Repeat = p.sub.ID, s.id, p.sub.Repeat
	reply.PartitionMap = s.assigned.Service.PartitionMap
	reply.IndexVersions = s.versions
	reply.Attempts, reply.Crashes = p.attempts, p.crashes
	s.emitRespond(reply)
}

// finish replies to a sub-request and removes it. It must have no active attempts.
func (s *Shard) finish(p *pending, reply *scatter.SubReply) {
	s.sendReply(p, reply)
	s.removePending(p)
}

// refuse cancels the active attempts of a sub-request and ends it with a refusal.
// The outcome is the worse of o and those of its earlier attempts, so that the
// refusal does not say "not run" of a request that may have run.
func (s *Shard) refuse(now time.Time, p *pending, code outcome.Code, o outcome.Outcome, reason string) {
	o = outcome.Worse(p.worstOutcome, o)
	s.cancelActive(now, p)
	s.finish(p, &scatter.SubReply{Status: scatter.Refused, Refusal: outcome.New(code, o, "%s", reason)})
}
