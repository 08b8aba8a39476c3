package route

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/outcome"
)

// dispatch starts waiting work on available targets: isolated sub-requests first,
// then hedges, then the queue in the order of its fair shares.
func (s *Shard) dispatch(now time.Time) {
	s.suspects.reservedTarget = nil
	if len(s.isolationQueue) > 0 {
		s.dispatchIsolated(now)
	}
	if len(s.waitingHedges) > 0 {
		s.dispatchHedges(now)
	}
	if s.queue.Len() == 0 || !s.shareValid(now) {
		return
	}
	s.queue.BeginPass()
	for s.anyTargetAvailable(now) {
		item := s.queue.Head()
		if item == nil {
			return
		}
		s.startOrSkip(now, item.Value)
	}
}

// startOrSkip starts a queued sub-request, or skips its workspace in this pass
// when no available target can run it.
func (s *Shard) startOrSkip(now time.Time, p *pending) {
	if s.suspects.has(now, p.sub.Fingerprint) {
		s.queue.Remove(&p.item)
		s.queueIsolated(now, p)
		return
	}
	t := s.pickTarget(now, p, false)
	if t == nil {
		s.queue.Skip(&p.item)
		return
	}
	s.queue.Take(&p.item)
	s.startAttempt(now, p, t, false)
}

func (s *Shard) anyTargetAvailable(now time.Time) bool {
	for _, t := range s.targets {
		if t != s.suspects.reservedTarget && t.available(now) && t.idleConn() != nil {
			return true
		}
	}
	return false
}

// pickTarget returns the best target for an attempt, nil when none is available.
// A target that already ran an attempt of p is picked again only when no other
// target can run p, and never for a hedge.
func (s *Shard) pickTarget(now time.Time, p *pending, hedge bool) *target {
	var best *target
	allowTried := !hedge && len(p.triedTargets) > 0 && !s.hasUntriedTarget(p)
	for _, t := range s.targets {
		if best != nil && t.inFlight() > best.inFlight() {
			continue
		}
		if t == s.suspects.reservedTarget || !t.available(now) || !t.hasVersion(p.sub.IndexVersion) || t.idleConn() == nil {
			continue
		}
		if !allowTried && len(p.triedTargets) > 0 && slices.Contains(p.triedTargets, t) {
			continue
		}
		if best == nil || s.better(now, t, best) {
			best = t
		}
	}
	return best
}

// hasUntriedTarget reports whether there is a usable target, busy or not, that
// has run no attempt of p.
func (s *Shard) hasUntriedTarget(p *pending) bool {
	for _, t := range s.targets {
		if t.usable && t.allowance > 0 && t.hasVersion(p.sub.IndexVersion) && !slices.Contains(p.triedTargets, t) {
			return true
		}
	}
	return false
}

// startAttempt runs p on an idle connection of t, which must have one. It sets
// the times at which an idempotent sub-request is hedged and checked for
// progress.
func (s *Shard) startAttempt(now time.Time, p *pending, t *target, hedge bool) {
	s.attemptSeq++
	a := s.newAttempt()
	a.id = AttemptID{Origin: s.origin, Seq: s.attemptSeq}
	a.target, a.conn, a.pending, a.startedAt, a.hedge = t, t.idleConn(), p, now, hedge
	a.fingerprint, a.indexVersion = p.sub.Fingerprint, p.sub.IndexVersion
	a.slotIndex = len(t.attempts)
	t.attempts = append(t.attempts, a)
	a.conn.attempt = a
	s.attempts[a.id.Seq] = a
	if p.attempts == 0 {
		s.hedgeBudget.earn(s.assigned.Service.HedgeBudget)
	}
	p.attempts++
	p.activeAttempts = append(p.activeAttempts, a)
	p.triedTargets = append(p.triedTargets, t)
	s.stats.Attempts++
	s.countPick(t)
	if p.sub.Idempotent {
		p.unresponsiveAt = earlier(p.unresponsiveAt, now.Add(s.unresponsiveTimeout()))
		if !p.hedged {
			p.hedgeAt = now.Add(s.latency.P95)
		}
	}
	s.armTimer(p)
	s.emitStart(StartAttempt{Attempt: a.id, Target: t.address, Conn: a.conn.id, Sub: p.sub})
}

func (s *Shard) newAttempt() *attempt {
	if n := len(s.attemptPool); n > 0 {
		a := s.attemptPool[n-1]
		s.attemptPool = s.attemptPool[:n-1]
		return a
	}
	a := &attempt{}
	a.timer.Owner.attempt = a
	return a
}

// releaseAttempt frees the slot and the connection of an attempt that ended.
func (s *Shard) releaseAttempt(a *attempt) {
	delete(s.attempts, a.id.Seq)
	s.timers.Remove(&a.timer)
	t := a.target
	last := len(t.attempts) - 1
	t.attempts[a.slotIndex] = t.attempts[last]
	t.attempts[a.slotIndex].slotIndex = a.slotIndex
	t.attempts[last] = nil
	t.attempts = t.attempts[:last]
	a.conn.attempt = nil
	if t.isolatedAttempt == a {
		t.isolatedAttempt = nil
	}
	if a.pending != nil {
		a.pending.removeActive(a)
	}
}

func (s *Shard) recycleAttempt(a *attempt) {
	*a = attempt{}
	a.timer.Owner.attempt = a
	s.attemptPool = append(s.attemptPool, a)
}

// retry queues a sub-request without active attempts again if it is idempotent
// or no attempt can have run it. Otherwise, or when its attempts or its
// time are used up, it is refused with the reason of the last failure.
func (s *Shard) retry(now time.Time, p *pending) {
	p.hedgeAt, p.unresponsiveAt = time.Time{}, time.Time{}
	mayRepeat := p.sub.Idempotent || p.worstOutcome == outcome.NotRun
	if !mayRepeat || p.attempts-p.notRun >= maxAttempts || p.notRun >= maxNotRunAttempts || !now.Before(p.sub.Deadline) {
		s.refuse(now, p, p.failureCode, p.worstOutcome, p.failureReason)
		return
	}
	if !s.shareValid(now) {
		s.rejectNotOwner(now, p)
		return
	}
	if r := s.unrunnableReply(p); r != nil {
		s.finish(p, r)
		return
	}
	s.armTimer(p)
	if s.mustIsolate(now, p) {
		s.queueIsolated(now, p)
		return
	}
	s.queue.PushFront(p.sub.Workspace, &p.item)
}
