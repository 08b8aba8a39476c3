package query

import (
	"time"

	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// handleReply handles an owner's reply. A reply that belongs to no live sub-request, or
// names another shard than its sub-request, only updates the known index versions.
func (m *Machine) handleReply(now time.Time, r *scatter.SubReply) {
	q, s := m.findSub(r.ID)
	if q == nil {
		if sh, ok := m.shards[r.Shard]; ok {
			m.updateVersions(now, sh, r, 0)
		}
		return
	}
	i := int(s.part)
	sh := q.shards[i]
	if r.Shard != sh.id {
		return
	}
	requested := q.version
	if s.probe {
		requested = 0
	}
	m.updateVersions(now, sh, r, requested)
	m.markSeen(now, s.owner.vm)
	q.endSub(s)
	q.stats.Attempts += r.Attempts
	if s.probe {
		m.handleProbeReply(now, q, s.part, r)
		return
	}
	m.handleSubReply(now, q, i, *s, r)
}

func (m *Machine) handleProbeReply(now time.Time, q *runningQuery, part int32, r *scatter.SubReply) {
	if r.Status == scatter.PartitionMapChanged {
		m.replan(now, q, q.mapReplanDelay(now))
		return
	}
	if r.Status == scatter.VersionsOnly {
		q.endProbes(part)
	}
	m.chooseIfProbed(now, q)
}

func (m *Machine) handleSubReply(now time.Time, q *runningQuery, i int, s subRequest, r *scatter.SubReply) {
	switch r.Status {
	case scatter.Answered:
		m.handleAnswer(now, q, i, s, r)
	case scatter.VersionGone, scatter.PartitionMapChanged:
		m.handleSnapshotGone(now, q, i, s, r)
	case scatter.NotOwner:
		id := q.shards[i].id
		m.handleNotAccepted(now, q, i, s, outcome.New(outcome.CodeNoHome, outcome.NotRun, "VM %s is not a home of group %s/%s", s.owner.vm.id, id.Service, id.Shard))
	default:
		m.handleRefusal(now, q, i, s, r)
	}
}

func (m *Machine) handleAnswer(now time.Time, q *runningQuery, i int, s subRequest, r *scatter.SubReply) {
	q.worstOutcome = outcome.Worse(q.worstOutcome, outcome.RanAnswerLost)
	if r.IndexVersion != q.version || r.PartitionMap != q.partitionMap {
		m.handleSnapshotMismatch(now, q, i, s, r)
		return
	}
	q.service.latency.record(now.Sub(s.sentAt))
	pt := &q.parts[i]
	if pt.state == partOpen {
		pt.state, pt.body = partAnswered, r.Body
		q.openParts--
		q.answeredParts++
		m.cancelPart(q, s.part)
		m.handleIsolatedAnswer(now, q, i)
	}
	m.finishIfDone(now, q)
}

// handleSnapshotMismatch handles an answer from another snapshot than the requested one.
// Such an answer is never merged.
func (m *Machine) handleSnapshotMismatch(now time.Time, q *runningQuery, i int, s subRequest, r *scatter.SubReply) {
	if q.Idempotent && r.PartitionMap != q.partitionMap {
		m.replan(now, q, q.mapReplanDelay(now))
		return
	}
	id := q.shards[i].id
	m.handleSubFailure(now, q, i, s, maxSendsIf(q.Idempotent), outcome.New(outcome.CodeNoSnapshot, outcome.RanAnswerLost,
		"group %s/%s answered from index version %d of partition map %d", id.Service, id.Shard, r.IndexVersion, r.PartitionMap))
}

// handleSnapshotGone plans again. A non-idempotent query does so only after all its
// sub-requests ended and none of them was written to a target.
func (m *Machine) handleSnapshotGone(now time.Time, q *runningQuery, i int, s subRequest, r *scatter.SubReply) {
	id := q.shards[i].id
	if r.Attempts > 1 && q.Idempotent {
		q.worstOutcome = outcome.Worse(q.worstOutcome, outcome.Unknown) // an earlier attempt may have run
	}
	if r.Status == scatter.VersionGone && len(r.IndexVersions) == 0 {
		m.handleNotAccepted(now, q, i, s, outcome.New(outcome.CodeNoReplica, outcome.NotRun, "group %s/%s has no live replica", id.Service, id.Shard))
		return
	}
	if q.Idempotent {
		m.replan(now, q, m.replanDelay(now, q, r))
		return
	}
	q.replanWhenDone = true
	m.failPart(q, i, outcome.New(outcome.CodeNoSnapshot, outcome.NotRun, "group %s/%s no longer has index version %d", id.Service, id.Shard, q.version))
	m.finishIfDone(now, q)
}

func (m *Machine) replanDelay(now time.Time, q *runningQuery, r *scatter.SubReply) time.Duration {
	if r.Status == scatter.PartitionMapChanged {
		if svc := m.lookUpService(q.Service); svc != nil && svc.config.PartitionMap != q.partitionMap {
			return 0
		}
		return q.mapReplanDelay(now)
	}
	if version, complete := q.service.snapshot(); version == q.version && (complete || probedRecently(now, q.service)) {
		return versionReplanDelay
	}
	return 0
}

// handleRefusal handles an owner's refusal of a sub-request.
func (m *Machine) handleRefusal(now time.Time, q *runningQuery, i int, s subRequest, r *scatter.SubReply) {
	cause := r.Refusal
	if cause == nil || !cause.Outcome.Valid() {
		cause = outcome.New(outcome.CodeConnectionLost, outcome.Unknown, "VM %s gave no reason", s.owner.vm.id)
	}
	if r.Crashes > 0 {
		m.handleCrash(now, q, i, s, r.Crashes, cause)
		return
	}
	switch cause.Code {
	case outcome.CodePoisonRequest:
		q.worstOutcome = outcome.Worse(q.worstOutcome, cause.Outcome)
		fatal := *cause
		q.fatal = &fatal
		m.finishIfDone(now, q)
	case outcome.CodeNoHome, outcome.CodeNoReplica, outcome.CodeOverloaded, outcome.CodeStopping, outcome.CodeNotReady, outcome.CodeFenced:
		m.handleNotAccepted(now, q, i, s, cause)
	case outcome.CodeConnectionLost, outcome.CodeTargetFailed:
		// An owner that tried several replicas leaves nothing to gain from a resend.
		m.handleSubFailure(now, q, i, s, maxSendsIf(r.Attempts <= 1), cause)
	default:
		m.handleSubFailure(now, q, i, s, maxSendsIf(false), cause)
	}
}

// handleNotAccepted handles an owner that could not accept a sub-request. The shard's
// other owners are asked next; after that the part waits for an owner if the refusal was
// that there is none, and fails otherwise.
func (m *Machine) handleNotAccepted(now time.Time, q *runningQuery, i int, s subRequest, cause *outcome.Refusal) {
	q.worstOutcome = outcome.Worse(q.worstOutcome, cause.Outcome)
	pt := &q.parts[i]
	switch {
	case pt.state != partOpen || pt.live > 0:
	case !q.Idempotent && cause.Outcome != outcome.NotRun:
		m.failPart(q, i, cause)
	case int(pt.recentRejects)+1 < len(q.shards[i].owners):
		pt.recentRejects++
		m.resend(now, q, i, s.owner)
	case cause.Code == outcome.CodeNoHome:
		pt.recentRejects++
		m.park(now, q, i, cause)
	default:
		m.failPart(q, i, cause)
	}
	m.finishIfDone(now, q)
}

// handleSendFailed handles a sub-request that did not reach its owner, or whose owner
// became unreachable. The owner is demoted for a while.
func (m *Machine) handleSendFailed(now time.Time, ev SendFailed) {
	q, s := m.findSub(ev.Sub)
	if q == nil {
		return
	}
	s.owner.vm.markFailed(now)
	q.endSub(s)
	if s.probe {
		m.chooseIfProbed(now, q)
		return
	}
	i, owner, o := int(s.part), s.owner, outcome.Unknown
	if ev.NotWritten {
		o = outcome.NotRun
	}
	cause := outcome.New(outcome.CodeConnectionLost, o, "VM %s could not be reached", s.owner.vm.id)
	q.lastSendFailure = cause
	if ev.NoReturnPath {
		m.handleNotAccepted(now, q, i, *s, cause)
		return
	}
	pt := &q.parts[i]
	if ev.NotWritten && pt.state == partOpen && pt.live == 0 && q.shards[i].alternative(now, owner) == nil {
		pt.recentRejects++
		m.park(now, q, i, cause)
		m.finishIfDone(now, q)
		return
	}
	m.handleSubFailure(now, q, i, *s, maxSendsAfterLoss, cause)
}

// handleSubFailure handles a sub-request that ended without an answer. Its shard is
// asked again while fewer than limit sub-requests were sent for it, and only if the
// request cannot run twice.
func (m *Machine) handleSubFailure(now time.Time, q *runningQuery, i int, s subRequest, limit uint8, cause *outcome.Refusal) {
	q.worstOutcome = outcome.Worse(q.worstOutcome, cause.Outcome)
	pt := &q.parts[i]
	safeToResend := q.Idempotent || cause.Outcome == outcome.NotRun
	switch {
	case pt.state != partOpen || pt.live > 0:
	case safeToResend && pt.sends < limit && now.Before(q.Deadline):
		m.resend(now, q, i, s.owner)
	default:
		m.failPart(q, i, cause)
	}
	m.finishIfDone(now, q)
}

// maxSendsIf returns the limit on sub-requests per shard for a failure: maxSendsPerShard
// if a resend may help, zero if not.
func maxSendsIf(resendHelps bool) uint8 {
	if resendHelps {
		return maxSendsPerShard
	}
	return 0
}

// resend sends a part to another owner. The part of a suspect query is held until it may
// run isolated.
func (m *Machine) resend(now time.Time, q *runningQuery, i int, avoid *shardOwner) {
	if q.suspect {
		m.holdPart(q, i)
		return
	}
	m.lookUpService(q.Service) // brings the owners up to date with the newest view
	m.send(now, q, i, avoid)
}
