package query

import (
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/outcome"
)

const maxNamedShards = 10 // missing shards that a refusal names

// failPart closes an open part without an answer and remembers why. A part that is
// already closed is left as it is.
func (m *Machine) failPart(q *runningQuery, i int, cause *outcome.Refusal) {
	pt := &q.parts[i]
	if pt.state != partOpen {
		return
	}
	pt.state = partFailed
	q.openParts--
	q.worstOutcome = outcome.Worse(q.worstOutcome, cause.Outcome)
	if q.firstCause == nil {
		q.firstCause = cause
	}
	if cause.Code == outcome.CodeNoHome || cause.Code == outcome.CodeFenced || cause == q.lastSendFailure {
		q.retryElsewhereCause = cause
	}
	if q.isolated == int32(i) {
		q.isolated = noPart
	}
}

// finishIfDone ends a query whose parts are all closed, and otherwise updates its timer.
// It must be the last step of handling an event, because it may release q.
func (m *Machine) finishIfDone(now time.Time, q *runningQuery) {
	if q.fatal != nil {
		m.cancelSubs(q)
		q.fatal.Outcome = q.worstOutcome
		m.refuse(q, q.fatal)
		return
	}
	m.sendNextIsolated(now, q)
	switch {
	case q.openParts > 0:
		m.due.update(q)
	case q.replanWhenDone && q.worstOutcome == outcome.NotRun && q.plans < maxPlans:
		m.replan(now, q, versionReplanDelay)
	default:
		m.finishMerged(q)
	}
}

// finishMerged answers with the merged parts if their coverage suffices, and refuses the
// query otherwise.
func (m *Machine) finishMerged(q *runningQuery) {
	shards := len(q.parts)
	if shards > 0 && q.answeredParts == 0 {
		m.refuse(q, &outcome.Refusal{Code: q.firstCause.Code, Outcome: q.worstOutcome, Reason: q.firstCause.Reason, RetryAfter: q.firstCause.RetryAfter})
		return
	}
	a := m.mergeParts(q)
	if a.Coverage() < q.MinCoverage {
		m.refuse(q, newCoverageRefusal(q, a))
		return
	}
	m.finish(q, Finish{ID: q.ID, Answer: a})
}

// newCoverageRefusal returns the refusal of an answer with too little coverage. When a
// part failed only because this VM reached no owner of its shard, the refusal has the
// code of that failure: the caller may succeed through another VM.
func newCoverageRefusal(q *runningQuery, a *Answer) *outcome.Refusal {
	names := a.Missing[:min(len(a.Missing), maxNamedShards)]
	r := outcome.New(outcome.CodeInsufficientCoverage, q.worstOutcome, "coverage %.3f is below %.3f; %d groups are missing, among them %v",
		a.Coverage(), q.MinCoverage, len(a.Missing), names)
	if q.firstCause != nil {
		r.Reason += ": " + q.firstCause.Reason
		r.RetryAfter = q.firstCause.RetryAfter
	}
	if q.retryElsewhereCause != nil {
		r.Code = q.retryElsewhereCause.Code
	}
	return r
}

func (m *Machine) mergeParts(q *runningQuery) *Answer {
	a := &Answer{
		RequestID: q.RequestID, IndexVersion: q.version, PartitionMap: q.partitionMap,
		Shards: len(q.parts), Parts: make([]Part, 0, q.answeredParts),
	}
	for i := range q.parts {
		name := q.shards[i].id.Shard
		if q.parts[i].state != partAnswered {
			a.Missing = append(a.Missing, name)
			continue
		}
		a.Parts = append(a.Parts, Part{Shard: name, Body: q.parts[i].body})
	}
	return a
}

// abort refuses a query before its parts are closed. The refusal's outcome says whether
// parts may have run.
func (m *Machine) abort(q *runningQuery, code outcome.Code, reason string) {
	m.cancelSubs(q)
	m.refuse(q, &outcome.Refusal{Code: code, Outcome: q.worstOutcome, Reason: reason})
}

func (m *Machine) refuse(q *runningQuery, r *outcome.Refusal) {
	m.finish(q, Finish{ID: q.ID, Refusal: r})
}

// finish ends a query: it cancels its sub-requests, settles its claim and reports the
// result. q must not be used afterwards.
func (m *Machine) finish(q *runningQuery, f Finish) {
	m.cancelSubs(q)
	if q.mustSettle {
		s := Settle{ID: q.ID, Holder: q.holder, RequestID: q.RequestID}
		if f.Refusal != nil {
			s.Outcome = f.Refusal.Outcome
		}
		m.emit(s)
	}
	f.Stats = q.stats
	m.emit(f)
	delete(m.queries, q.ID)
	delete(m.bySerial, q.serial)
	m.due.remove(q)
	m.release(q)
}

// accessRules holds the keys and open routes of a configuration.
type accessRules struct {
	config *config.Config
	byKey  map[config.KeyHash]*config.Workspace
}

func newAccessRules(c *config.Config) *accessRules {
	rules := &accessRules{config: c, byKey: make(map[config.KeyHash]*config.Workspace)}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			rules.byKey[key] = &c.Workspaces[i]
		}
	}
	return rules
}

// allows reports whether the configuration still permits the request's key or open route
// to query its service.
func (r *accessRules) allows(s *Start) bool {
	if s.Key != (config.KeyHash{}) {
		w, ok := r.byKey[s.Key]
		return ok && w.Name == s.Workspace && w.MayQuery(s.Service)
	}
	for _, o := range r.config.OpenRoutes {
		if o.Service == s.Service && o.Workspace == s.Workspace {
			return true
		}
	}
	return false
}
