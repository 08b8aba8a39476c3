package route

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
)

const (
	maxAttempts = 4 // of one sub-request that may have run, hedge included
	maxRefused  = 8 // of one sub-request that targets did not run
)

func (g *Shard) attemptDone(now time.Time, ev *AttemptDone) {
	a, ok := g.attempts[ev.Attempt.Seq]
	if !ok || a.id != ev.Attempt {
		return
	}
	result := ev.Result
	if result == ResultOK && ev.IndexVersion != a.version {
		result = ResultProtocolViolation // an answer from another snapshot must not be merged
	}
	closedHere := a.conn.state == connClosing
	if spends(result) {
		g.closeConn(a.target, a.conn)
	}
	g.release(a)
	g.learn(now, a, ev, result)
	switch {
	case lost(result) && !closedHere:
		g.doubtful(now, a, result)
	case a.pending != nil:
		g.settle(now, a, ev, result)
	}
	g.freeAttempt(a)
}

// spends reports whether a connection cannot be used after a result.
func spends(r Result) bool {
	switch r {
	case ResultNotWritten, ResultConnLost, ResultAnswerLost, ResultMismatch, ResultProtocolViolation:
		return true
	}
	return false
}

// lost reports whether the connection ended after the request was written.
func lost(r Result) bool { return r == ResultConnLost || r == ResultAnswerLost }

// learn updates what is known of the target.
func (g *Shard) learn(now time.Time, a *attempt, ev *AttemptDone, result Result) {
	t, took := a.target, now.Sub(a.started)
	if !t.usable {
		g.dirty = true // the connection is not needed any more
	}
	if ev.BootID != "" && ev.BootID != t.boot && ev.BootID != t.oldBoot {
		g.restarted(now, t, ev.BootID)
	}
	switch result {
	case ResultOK:
		g.answered(now, t)
		t.sheds = 0
		if a.pending != nil {
			g.latency.Record(took)
			g.observe(now, t, took, true)
		}
	case ResultFailed:
		g.answered(now, t)
		t.penalize(now, max(took, failurePenalty*g.latency.P99))
	case ResultShed:
		g.answered(now, t)
		g.shedding(now, t)
	case ResultVersionGone:
		g.answered(now, t)
		g.lackVersion(t, a.version)
	case ResultMismatch, ResultProtocolViolation:
		g.stats.Mismatches++
		t.penalize(now, max(took, failurePenalty*g.latency.P99))
	}
}

func (g *Shard) answered(now time.Time, t *target) {
	t.answerAt, g.answerAt = now, now
}

// observe records the latency of an attempt at a target.
func (g *Shard) observe(now time.Time, t *target, took time.Duration, complete bool) {
	g.watchLatency(now, t, took)
	t.sample(now, took, complete)
}

// lackVersion notes that a target does not have an index version that its
// status listed.
func (g *Shard) lackVersion(t *target, version uint64) {
	if t.has(version) {
		kept := slices.Clone(t.status.IndexVersions)
		t.status.IndexVersions = slices.DeleteFunc(kept, func(v uint64) bool { return v == version })
		g.dirty, g.rescan = true, true
		g.collectVersions()
	}
	g.emit(ProbeNow{Target: t.address})
}

// settle takes the end of an attempt into its sub-request.
func (g *Shard) settle(now time.Time, a *attempt, ev *AttemptDone, result Result) {
	p := a.pending
	if result == ResultOK {
		if a.hedge {
			g.stats.HedgeWins++
		}
		g.suspects.clear(p.sub.Fingerprint)
		g.recordLosers(now, p)
		g.dropActive(now, p)
		g.finish(p, &scatter.SubReply{Status: scatter.Answered, Body: ev.Body, IndexVersion: ev.IndexVersion})
		return
	}
	p.note(result)
	g.retryIfLast(now, p)
}

// recordLosers counts the time that the losers of a hedge took so far, so that
// hedges do not make the tail look short. Other cancelled attempts do not count:
// the times of silent ones would lengthen the silence that is waited for.
func (g *Shard) recordLosers(now time.Time, p *pending) {
	for _, a := range p.active {
		if took := now.Sub(a.started); took > g.latency.P95 {
			g.latency.Record(took)
		}
	}
}

// retryIfLast goes on with a sub-request unless another attempt may answer it.
func (g *Shard) retryIfLast(now time.Time, p *pending) {
	if len(p.active) == 0 && p.doubts == 0 {
		g.retry(now, p)
		return
	}
	g.arm(p)
}

// note records what the end of an attempt says about the execution.
func (p *pending) note(result Result) {
	o := outcome.Unknown
	switch result {
	case ResultShed:
		o, p.cause, p.reason = outcome.NotRun, outcome.CodeOverloaded, "the targets shed the request"
	case ResultVersionGone:
		o, p.cause, p.reason = outcome.NotRun, outcome.CodeNoReplica, "the targets lack the index version"
	case ResultNotWritten:
		o, p.cause, p.reason = outcome.NotRun, outcome.CodeNoReplica, "the connections to the targets failed"
	case ResultFailed:
		p.cause, p.reason = outcome.CodeTargetFailed, "the target reported a failure"
	case ResultCancelled:
		p.cause, p.reason = outcome.CodeTargetFailed, "the target cancelled the request by itself"
	case ResultAnswerLost:
		o, p.cause, p.reason = outcome.RanAnswerLost, outcome.CodeConnectionLost, "the connection ended inside the answer"
	case ResultMismatch, ResultProtocolViolation:
		p.cause, p.reason = outcome.CodeTargetFailed, "the target's answer did not belong to the request"
	default:
		p.cause, p.reason = outcome.CodeConnectionLost, "the connection ended before the answer"
	}
	if o == outcome.NotRun {
		p.refused++
	}
	p.worst = outcome.Worse(p.worst, o)
}
