package query

import (
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/outcome"
)

const maxNamedGroups = 10 // missing groups that a reason names

// failPart closes a part without an answer.
func (m *Machine) failPart(q *running, i int, cause *outcome.Refusal) {
	pt := &q.parts[i]
	if pt.state != partOpen {
		return
	}
	pt.state = partFailed
	q.open--
	q.worst = outcome.Worse(q.worst, cause.Outcome)
	if q.cause == nil {
		q.cause = cause
	}
	if cause.Code == outcome.CodeNoHome || cause.Code == outcome.CodeFenced || cause == q.lost {
		q.unreached = cause
	}
	if q.alone == int32(i) {
		q.alone = noPart
	}
}

// progress ends a query whose parts are all closed, or arms its next time. It
// is the last step of every event, because it may release q.
func (m *Machine) progress(now time.Time, q *running) {
	if q.fatal != nil {
		m.cancelSubs(q)
		q.fatal.Outcome = q.worst
		m.refuse(q, q.fatal)
		return
	}
	m.retryAlone(now, q)
	switch {
	case q.open > 0:
		m.due.update(q)
	case q.replanAfter && q.worst == outcome.NotRun && q.plans < maxPlans:
		m.replan(now, q, versionPause)
	default:
		m.finishMerged(q)
	}
}

// finishMerged answers with what was merged if that is enough.
func (m *Machine) finishMerged(q *running) {
	groups := len(q.parts)
	if groups > 0 && q.answered == 0 {
		m.refuse(q, &outcome.Refusal{Code: q.cause.Code, Outcome: q.worst, Reason: q.cause.Reason, RetryAfter: q.cause.RetryAfter})
		return
	}
	a := m.merge(q)
	if a.Coverage() < q.MinCoverage {
		m.refuse(q, incomplete(q, a))
		return
	}
	m.finish(q, Finish{ID: q.ID, Answer: a})
}

// incomplete refuses a partial answer. When this VM reached no home of a group,
// the code says so: another VM may reach one.
func incomplete(q *running, a *Answer) *outcome.Refusal {
	named := a.Missing[:min(len(a.Missing), maxNamedGroups)]
	r := outcome.New(outcome.CodeInsufficientCoverage, q.worst, "coverage %.3f is below %.3f; %d groups are missing, among them %v",
		a.Coverage(), q.MinCoverage, len(a.Missing), named)
	if q.cause != nil {
		r.Reason += ": " + q.cause.Reason
		r.RetryAfter = q.cause.RetryAfter
	}
	if q.unreached != nil {
		r.Code = q.unreached.Code
	}
	return r
}

func (m *Machine) merge(q *running) *Answer {
	a := &Answer{
		Request: q.Request, IndexVersion: q.version, PartitionMap: q.partitionMap,
		Shards: len(q.parts), Parts: make([]Part, 0, q.answered),
	}
	for i := range q.parts {
		name := q.groups[i].id.Shard
		if q.parts[i].state != partAnswered {
			a.Missing = append(a.Missing, name)
			continue
		}
		a.Parts = append(a.Parts, Part{Shard: name, Body: q.parts[i].body})
	}
	return a
}

// stop ends a query from outside. Its outcome tells what may have run.
func (m *Machine) stop(q *running, code outcome.Code, reason string) {
	m.cancelSubs(q)
	m.refuse(q, &outcome.Refusal{Code: code, Outcome: q.worst, Reason: reason})
}

func (m *Machine) refuse(q *running, r *outcome.Refusal) { m.finish(q, Finish{ID: q.ID, Refusal: r}) }

// finish ends a query; q must not be used after it.
func (m *Machine) finish(q *running, f Finish) {
	m.cancelSubs(q)
	if q.claimSent {
		s := Settle{ID: q.ID, Holder: q.holder, Request: q.Request}
		if f.Refusal != nil {
			s.Outcome = f.Refusal.Outcome
		}
		m.emit(s)
	}
	f.Stats = q.stats
	m.emit(f)
	delete(m.queries, q.ID)
	delete(m.serials, q.serial)
	m.due.remove(q)
	m.release(q)
}

// keyring tells which keys and open routes a text allows.
type keyring struct {
	config *config.Config
	keys   map[config.KeyHash]*config.Workspace
}

func newKeyring(c *config.Config) *keyring {
	k := &keyring{config: c, keys: make(map[config.KeyHash]*config.Workspace)}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			k.keys[key] = &c.Workspaces[i]
		}
	}
	return k
}

// allows reports whether the text still lets the request run.
func (k *keyring) allows(s *Start) bool {
	if s.Key != (config.KeyHash{}) {
		w, ok := k.keys[s.Key]
		return ok && w.Name == s.Workspace && w.MayQuery(s.Service)
	}
	for _, o := range k.config.OpenRoutes {
		if o.Service == s.Service && o.Workspace == s.Workspace {
			return true
		}
	}
	return false
}
