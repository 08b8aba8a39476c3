package query

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
)

const (
	noPart          = int32(-1)
	poisonTTL       = 10 * time.Minute
	maxFingerprints = 4096 // in each fingerprintCache
)

// crashState is what a query knows about target crashes that its content may have
// caused.
type crashState struct {
	suspect   bool    // a target crashed and no isolated part has succeeded since
	cleared   bool    // a part that ran isolated succeeded
	isolated  int32   // part that runs isolated, noPart if none does
	heldParts []int32 // parts that wait for their turn to run isolated
}

// handleCrash handles a crash of a target that ran a part. The first crash makes the
// query suspect. A crash outside the first fan-out blocks its content if the query is
// suspect already or if it is the second such crash.
func (m *Machine) handleCrash(now time.Time, q *runningQuery, i int, s subRequest, crashes int, cause *outcome.Refusal) {
	q.worstOutcome = outcome.Worse(q.worstOutcome, outcome.Unknown)
	q.stats.Crashes += crashes
	if s.repeat {
		q.stats.RepeatCrashes += crashes
	}
	if s.repeat && (q.suspect || q.stats.RepeatCrashes > 1) {
		m.blockContent(now, q)
		return
	}
	q.suspect, q.cleared = true, false
	m.suspects.add(now, q.Fingerprint)
	pt := &q.parts[i]
	switch {
	case pt.state != partOpen || pt.live > 0:
	case q.Idempotent && pt.sends < maxSendsPerShard:
		m.holdPart(q, i)
	default:
		m.failPart(q, i, &outcome.Refusal{Code: outcome.CodeTargetCrashed, Outcome: outcome.Unknown, Reason: cause.Reason})
	}
	m.finishIfDone(now, q)
}

// blockContent ends the query and blocks its content in the whole fleet.
func (m *Machine) blockContent(now time.Time, q *runningQuery) {
	fingerprint := q.Fingerprint
	m.suspects.remove(fingerprint)
	m.poisoned.add(now, fingerprint)
	m.emit(ReportPoison{Fingerprint: fingerprint, Until: now.Add(poisonTTL)})
	q.fatal = outcome.New(outcome.CodePoisonRequest, outcome.Unknown, "the request crashed targets; requests with this content are blocked for %v", poisonTTL)
	m.finishIfDone(now, q)
}

func (m *Machine) isPoisoned(now time.Time, f fleet.Fingerprint) bool {
	expires, ok := m.view.PoisonedUntil[f]
	return ok && now.Before(expires) || m.poisoned.has(now, f)
}

// holdPart keeps a part until it may run isolated.
func (m *Machine) holdPart(q *runningQuery, i int) {
	if q.isolated == int32(i) {
		q.isolated = noPart
	}
	q.heldParts = append(q.heldParts, int32(i))
}

// startIsolated runs a query whose content was suspect before: without a fan-out, its
// first shard runs isolated.
func (m *Machine) startIsolated(now time.Time, q *runningQuery) {
	q.suspect = true
	for i := range q.parts {
		m.holdPart(q, i)
	}
	m.scheduleHedge(now, q)
}

// sendNextIsolated sends the next held part of a suspect query, unless a part runs
// isolated already.
func (m *Machine) sendNextIsolated(now time.Time, q *runningQuery) {
	for q.suspect && q.isolated == noPart && len(q.heldParts) > 0 {
		i := q.heldParts[0]
		q.heldParts = q.heldParts[1:]
		if m.isPoisoned(now, q.Fingerprint) {
			m.failPart(q, int(i), outcome.New(outcome.CodePoisonRequest, outcome.NotRun, "requests with this content are blocked"))
			continue
		}
		q.isolated = i
		m.lookUpService(q.Service) // brings the owners up to date with the newest view
		m.send(now, q, int(i), nil)
	}
}

// handleIsolatedAnswer clears a suspect query after its isolated part succeeded, and
// sends all held parts together.
func (m *Machine) handleIsolatedAnswer(now time.Time, q *runningQuery, i int) {
	if !q.suspect || q.isolated != int32(i) {
		return
	}
	q.suspect, q.cleared, q.isolated = false, true, noPart
	m.suspects.remove(q.Fingerprint)
	held := q.heldParts
	q.heldParts = nil
	for _, i := range held {
		m.send(now, q, int(i), nil)
	}
}

// fingerprintCache remembers fingerprints of request contents for poisonTTL. When it is
// full the oldest is dropped.
type fingerprintCache struct {
	expires map[fleet.Fingerprint]time.Time
	order   []fingerprintExpiry
}

type fingerprintExpiry struct {
	fingerprint fleet.Fingerprint
	expires     time.Time
}

func newFingerprintCache() *fingerprintCache {
	return &fingerprintCache{expires: make(map[fleet.Fingerprint]time.Time)}
}

func (c *fingerprintCache) has(now time.Time, f fleet.Fingerprint) bool {
	if len(c.expires) == 0 {
		return false
	}
	expires, ok := c.expires[f]
	return ok && now.Before(expires)
}

func (c *fingerprintCache) remove(f fleet.Fingerprint) { delete(c.expires, f) }

func (c *fingerprintCache) add(now time.Time, f fleet.Fingerprint) {
	expires := now.Add(poisonTTL)
	c.expires[f] = expires
	c.order = append(c.order, fingerprintExpiry{fingerprint: f, expires: expires})
	for len(c.order) > maxFingerprints || !now.Before(c.order[0].expires) {
		if oldest := c.order[0]; c.expires[oldest.fingerprint].Equal(oldest.expires) {
			delete(c.expires, oldest.fingerprint)
		}
		c.order = c.order[1:]
	}
}
