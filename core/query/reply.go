package query

import (
	"time"

	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// replied takes a home's reply. A reply that belongs to no live sub-request, or
// names another group than that one, changes nothing but what is known of
// index versions.
func (m *Machine) replied(now time.Time, r *scatter.SubReply) {
	q, s := m.find(r.ID)
	if q == nil {
		if g, ok := m.groups[r.Shard]; ok {
			m.learn(now, g, r, 0)
		}
		return
	}
	i := int(s.part)
	g := q.groups[i]
	if r.Shard != g.id {
		return
	}
	asked := q.version
	if s.probe {
		asked = 0
	}
	m.learn(now, g, r, asked)
	m.heard(now, s.path.home)
	q.end(s)
	q.stats.Attempts += r.Attempts
	if s.probe {
		m.probeReplied(now, q, s.part, r)
		return
	}
	m.subReplied(now, q, i, *s, r)
}

func (m *Machine) probeReplied(now time.Time, q *running, part int32, r *scatter.SubReply) {
	if r.Status == scatter.PartitionMapChanged {
		m.replan(now, q, q.mapPauseFor(now))
		return
	}
	if r.Status == scatter.VersionsOnly {
		q.dropProbes(part)
	}
	m.probeDone(now, q)
}

func (m *Machine) subReplied(now time.Time, q *running, i int, s sub, r *scatter.SubReply) {
	switch r.Status {
	case scatter.Answered:
		m.answeredBy(now, q, i, s, r)
	case scatter.VersionGone, scatter.PartitionMapChanged:
		m.snapshotGone(now, q, i, s, r)
	case scatter.NotOwner:
		id := q.groups[i].id
		m.notTaken(now, q, i, s, outcome.New(outcome.CodeNoHome, outcome.NotRun, "VM %s is not a home of group %s/%s", s.path.home.id, id.Service, id.Shard))
	default:
		m.refusedBy(now, q, i, s, r)
	}
}

func (m *Machine) answeredBy(now time.Time, q *running, i int, s sub, r *scatter.SubReply) {
	q.worst = outcome.Worse(q.worst, outcome.RanAnswerLost)
	if r.IndexVersion != q.version || r.PartitionMap != q.partitionMap {
		m.crossed(now, q, i, s, r)
		return
	}
	q.service.latency.record(now.Sub(s.sentAt))
	pt := &q.parts[i]
	if pt.state == partOpen {
		pt.state, pt.body = partAnswered, r.Body
		q.open--
		q.answered++
		m.cancelPart(q, s.part)
		m.aloneAnswered(now, q, i)
	}
	m.progress(now, q)
}

// crossed handles an answer of another snapshot: it is never merged.
func (m *Machine) crossed(now time.Time, q *running, i int, s sub, r *scatter.SubReply) {
	if q.Idempotent && r.PartitionMap != q.partitionMap {
		m.replan(now, q, q.mapPauseFor(now))
		return
	}
	id := q.groups[i].id
	m.subFailed(now, q, i, s, sendsIf(q.Idempotent), outcome.New(outcome.CodeNoSnapshot, outcome.RanAnswerLost,
		"group %s/%s answered from index version %d of partition map %d", id.Service, id.Shard, r.IndexVersion, r.PartitionMap))
}

// snapshotGone plans again. A non-idempotent query does so only after all its
// sub-requests ended and none was written.
func (m *Machine) snapshotGone(now time.Time, q *running, i int, s sub, r *scatter.SubReply) {
	id := q.groups[i].id
	if r.Attempts > 1 && q.Idempotent {
		q.worst = outcome.Worse(q.worst, outcome.Unknown) // an earlier attempt may have run
	}
	if r.Status == scatter.VersionGone && len(r.IndexVersions) == 0 {
		m.notTaken(now, q, i, s, outcome.New(outcome.CodeNoReplica, outcome.NotRun, "group %s/%s has no live replica", id.Service, id.Shard))
		return
	}
	if q.Idempotent {
		m.replan(now, q, m.snapshotPause(now, q, r))
		return
	}
	q.replanAfter = true
	m.failPart(q, i, outcome.New(outcome.CodeNoSnapshot, outcome.NotRun, "group %s/%s no longer has index version %d", id.Service, id.Shard, q.version))
	m.progress(now, q)
}

func (m *Machine) snapshotPause(now time.Time, q *running, r *scatter.SubReply) time.Duration {
	if r.Status == scatter.PartitionMapChanged {
		if svc := m.service(q.Service); svc != nil && svc.config.PartitionMap != q.partitionMap {
			return 0
		}
		return q.mapPauseFor(now)
	}
	if version, complete := q.service.snapshot(); version == q.version && (complete || reported(now, q.service)) {
		return versionPause
	}
	return 0
}

// refusedBy handles a refusal of a home.
func (m *Machine) refusedBy(now time.Time, q *running, i int, s sub, r *scatter.SubReply) {
	cause := r.Refusal
	if cause == nil || !cause.Outcome.Valid() {
		cause = outcome.New(outcome.CodeConnectionLost, outcome.Unknown, "VM %s gave no reason", s.path.home.id)
	}
	if r.Crashes > 0 {
		m.crashed(now, q, i, s, r.Crashes, cause)
		return
	}
	switch cause.Code {
	case outcome.CodePoisonRequest:
		q.worst = outcome.Worse(q.worst, cause.Outcome)
		fatal := *cause
		q.fatal = &fatal
		m.progress(now, q)
	case outcome.CodeNoHome, outcome.CodeNoReplica, outcome.CodeOverloaded, outcome.CodeStopping, outcome.CodeNotReady, outcome.CodeFenced:
		m.notTaken(now, q, i, s, cause)
	case outcome.CodeConnectionLost, outcome.CodeTargetFailed:
		// A home that tried several replicas leaves nothing to gain.
		m.subFailed(now, q, i, s, sendsIf(r.Attempts <= 1), cause)
	default:
		m.subFailed(now, q, i, s, sendsIf(false), cause)
	}
}

// notTaken handles a home that could not take a sub-request: the other homes
// are asked, then a part without a home waits for one.
func (m *Machine) notTaken(now time.Time, q *running, i int, s sub, cause *outcome.Refusal) {
	q.worst = outcome.Worse(q.worst, cause.Outcome)
	pt := &q.parts[i]
	switch {
	case pt.state != partOpen || pt.live > 0:
	case !q.Idempotent && cause.Outcome != outcome.NotRun:
		m.failPart(q, i, cause)
	case int(pt.lately)+1 < len(q.groups[i].paths):
		pt.lately++
		m.sendNext(now, q, i, s.path)
	case cause.Code == outcome.CodeNoHome:
		pt.lately++
		m.park(now, q, i, cause)
	default:
		m.failPart(q, i, cause)
	}
	m.progress(now, q)
}

// sendFailed handles a message that did not reach a home, or whose home became
// unreachable. The home is asked second for a while.
func (m *Machine) sendFailed(now time.Time, ev SendFailed) {
	q, s := m.find(ev.Sub)
	if q == nil {
		return
	}
	s.path.home.failed(now)
	q.end(s)
	if s.probe {
		m.probeDone(now, q)
		return
	}
	i, path, o := int(s.part), s.path, outcome.Unknown
	if ev.NotWritten {
		o = outcome.NotRun
	}
	cause := outcome.New(outcome.CodeConnectionLost, o, "VM %s could not be reached", s.path.home.id)
	q.lost = cause
	if ev.Unanswerable {
		m.notTaken(now, q, i, *s, cause)
		return
	}
	pt := &q.parts[i]
	if ev.NotWritten && pt.state == partOpen && pt.live == 0 && q.groups[i].other(now, path) == nil {
		pt.lately++
		m.park(now, q, i, cause)
		m.progress(now, q)
		return
	}
	m.subFailed(now, q, i, *s, maxLostSends, cause)
}

// subFailed ends a sub-request that brought nothing. The group is asked again
// as long as fewer than most sub-requests were sent for it and where that cannot
// run the request twice.
func (m *Machine) subFailed(now time.Time, q *running, i int, s sub, most uint8, cause *outcome.Refusal) {
	q.worst = outcome.Worse(q.worst, cause.Outcome)
	pt := &q.parts[i]
	safe := q.Idempotent || cause.Outcome == outcome.NotRun
	switch {
	case pt.state != partOpen || pt.live > 0:
	case safe && pt.sends < most && now.Before(q.Deadline):
		m.sendNext(now, q, i, s.path)
	default:
		m.failPart(q, i, cause)
	}
	m.progress(now, q)
}

// sendsIf is the bound on sub-requests where another one may help.
func sendsIf(helps bool) uint8 {
	if helps {
		return maxSends
	}
	return 0
}

// sendNext asks another home, or keeps the part of a suspect query for its turn.
func (m *Machine) sendNext(now time.Time, q *running, i int, avoid *path) {
	if q.suspect {
		m.hold(q, i)
		return
	}
	m.service(q.Service) // homes of the newest view
	m.send(now, q, i, avoid)
}
