package route

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
)

const (
	maxAttempts       = 4 // attempts of one sub-request that may have run, including its hedge
	maxNotRunAttempts = 8 // attempts of one sub-request that are known not to have run
)

// attemptDone frees the slot of an attempt, updates what is known of its target
// and completes, retries or refuses the sub-request.
func (s *Shard) attemptDone(now time.Time, ev *AttemptDone) {
	a, ok := s.attempts[ev.Attempt.Seq]
	if !ok || a.id != ev.Attempt {
		return
	}
	result := ev.Result
	if result == ResultOK && ev.IndexVersion != a.indexVersion {
		result = ResultProtocolViolation // an answer from another index version must not be merged
	}
	closedByShard := a.conn.state == connClosing
	if breaksConn(result) {
		s.closeConn(a.target, a.conn)
	}
	s.releaseAttempt(a)
	s.updateTarget(now, a, ev, result)
	switch {
	case lostAfterWrite(result) && !closedByShard:
		s.trackLostAttempt(now, a, result)
	case a.pending != nil:
		s.completeAttempt(now, a, ev, result)
	}
	s.recycleAttempt(a)
}

// breaksConn reports whether the connection cannot be used after a result.
func breaksConn(r Result) bool {
	switch r {
	case ResultNotWritten, ResultConnLost, ResultAnswerLost, ResultMismatch, ResultProtocolViolation:
		return true
	}
	return false
}

// lostAfterWrite reports whether the connection ended after the request was
// written, so that the target may have crashed while running it.
func lostAfterWrite(r Result) bool { return r == ResultConnLost || r == ResultAnswerLost }

// updateTarget updates the state of a target from the result of an attempt.
func (s *Shard) updateTarget(now time.Time, a *attempt, ev *AttemptDone, result Result) {
	t, elapsed := a.target, now.Sub(a.startedAt)
	if !t.usable {
		s.dirty = true // the connection may be closed now
	}
	if ev.BootID != "" && ev.BootID != t.bootID && ev.BootID != t.previousBootID {
		s.targetRestarted(now, t, ev.BootID)
	}
	switch result {
	case ResultOK:
		s.recordAnswer(now, t)
		t.consecutiveSheds = 0
		if a.pending != nil {
			s.latency.Record(elapsed)
			s.observeLatency(now, t, elapsed, true)
		}
	case ResultFailed:
		s.recordAnswer(now, t)
		t.penalize(now, max(elapsed, failurePenaltyFactor*s.latency.P99))
	case ResultShed:
		s.recordAnswer(now, t)
		s.targetShed(now, t)
	case ResultVersionGone:
		s.recordAnswer(now, t)
		s.removeVersion(t, a.indexVersion)
	case ResultMismatch, ResultProtocolViolation:
		s.stats.Mismatches++
		t.penalize(now, max(elapsed, failurePenaltyFactor*s.latency.P99))
	}
}

// recordAnswer records that a target answers, which outweighs failed status reads.
func (s *Shard) recordAnswer(now time.Time, t *target) {
	t.lastAnswerAt, s.lastAnswerAt = now, now
}

// observeLatency records the latency of an attempt at a target. For an attempt
// that was cancelled, complete is false and elapsed is a lower bound.
func (s *Shard) observeLatency(now time.Time, t *target, elapsed time.Duration, complete bool) {
	s.detectCold(now, t, elapsed)
	t.recordLatency(now, elapsed, complete)
}

// removeVersion removes an index version that a target refused from its status,
// which may still list it.
func (s *Shard) removeVersion(t *target, version uint64) {
	if t.hasVersion(version) {
		kept := slices.Clone(t.status.IndexVersions)
		t.status.IndexVersions = slices.DeleteFunc(kept, func(v uint64) bool { return v == version })
		s.dirty, s.replicasChanged = true, true
		s.collectVersions()
	}
	s.emit(ProbeNow{Target: t.address})
}

// completeAttempt applies the result of an attempt to its sub-request.
func (s *Shard) completeAttempt(now time.Time, a *attempt, ev *AttemptDone, result Result) {
	p := a.pending
	if result == ResultOK {
		if a.hedge {
			s.stats.HedgeWins++
		}
		s.suspects.clear(p.sub.Fingerprint)
		s.recordHedgeLosers(now, p)
		s.cancelActive(now, p)
		s.finish(p, &scatter.SubReply{Status: scatter.Answered, Body: ev.Body, IndexVersion: ev.IndexVersion})
		return
	}
	p.recordFailure(result)
	s.retryUnlessActive(now, p)
}

// recordHedgeLosers records the elapsed time of the losing attempts, so that
// hedges do not make the tail of the latency look short. Other cancelled attempts
// are not recorded: those of unresponsive targets would raise the timeout after
// which an attempt counts as unresponsive.
func (s *Shard) recordHedgeLosers(now time.Time, p *pending) {
	for _, a := range p.activeAttempts {
		if elapsed := now.Sub(a.startedAt); elapsed > s.latency.P95 {
			s.latency.Record(elapsed)
		}
	}
}

// retryUnlessActive retries a sub-request after a failed attempt, unless another
// attempt may still answer it or a lost one is unresolved.
func (s *Shard) retryUnlessActive(now time.Time, p *pending) {
	if len(p.activeAttempts) == 0 && p.unresolvedLosses == 0 {
		s.retry(now, p)
		return
	}
	s.armTimer(p)
}

// recordFailure records why an attempt failed, and whether the target may have
// run it.
func (p *pending) recordFailure(result Result) {
	o := outcome.Unknown
	switch result {
	case ResultShed:
		o, p.failureCode, p.failureReason = outcome.NotRun, outcome.CodeOverloaded, "the targets shed the request"
	case ResultVersionGone:
		o, p.failureCode, p.failureReason = outcome.NotRun, outcome.CodeNoReplica, "the targets lack the index version"
	case ResultNotWritten:
		o, p.failureCode, p.failureReason = outcome.NotRun, outcome.CodeNoReplica, "the connections to the targets failed"
	case ResultFailed:
		p.failureCode, p.failureReason = outcome.CodeTargetFailed, "the target reported a failure"
	case ResultCancelled:
		p.failureCode, p.failureReason = outcome.CodeTargetFailed, "the target cancelled the request by itself"
	case ResultAnswerLost:
		o, p.failureCode, p.failureReason = outcome.RanAnswerLost, outcome.CodeConnectionLost, "the connection ended inside the answer"
	case ResultMismatch, ResultProtocolViolation:
		p.failureCode, p.failureReason = outcome.CodeTargetFailed, "the target's answer did not belong to the request"
	default:
		p.failureCode, p.failureReason = outcome.CodeConnectionLost, "the connection ended before the answer"
	}
	if o == outcome.NotRun {
		p.notRun++
	}
	p.worstOutcome = outcome.Worse(p.worstOutcome, o)
}
