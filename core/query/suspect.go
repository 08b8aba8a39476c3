package query

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
)

const (
	noPart        = int32(-1)
	poisonTerm    = 10 * time.Minute
	maxRemembered = 4096 // request contents in each memory
)

// suspicion is what a query knows about crashes that its content may have caused.
type suspicion struct {
	suspect bool    // a target crashed and nothing cleared the query yet
	cleared bool    // a part that ran alone succeeded
	alone   int32   // part that runs alone, noPart when none does
	held    []int32 // parts that wait for their turn
}

// crashed handles a crash of a target that ran a part. The first one makes the
// query suspect; a second one outside the first fan-out blocks its content.
func (m *Machine) crashed(now time.Time, q *running, i int, s sub, crashes int, cause *outcome.Refusal) {
	q.worst = outcome.Worse(q.worst, outcome.Unknown)
	q.stats.Crashes += crashes
	if s.repeat {
		q.stats.RepeatCrashes += crashes
	}
	if s.repeat && (q.suspect || q.stats.RepeatCrashes > 1) {
		m.poison(now, q)
		return
	}
	q.suspect, q.cleared = true, false
	m.suspects.add(now, q.Fingerprint)
	pt := &q.parts[i]
	switch {
	case pt.state != partOpen || pt.live > 0:
	case q.Idempotent && pt.sends < maxSends:
		m.hold(q, i)
	default:
		m.failPart(q, i, &outcome.Refusal{Code: outcome.CodeTargetCrashed, Outcome: outcome.Unknown, Reason: cause.Reason})
	}
	m.progress(now, q)
}

// poison ends the query and blocks its content in the whole fleet.
func (m *Machine) poison(now time.Time, q *running) {
	fingerprint := q.Fingerprint
	m.suspects.remove(fingerprint)
	m.poisoned.add(now, fingerprint)
	m.emit(ReportPoison{Fingerprint: fingerprint, Until: now.Add(poisonTerm)})
	q.fatal = outcome.New(outcome.CodePoisonRequest, outcome.Unknown, "the request crashed targets; requests with this content are blocked for %v", poisonTerm)
	m.progress(now, q)
}

func (m *Machine) isPoisoned(now time.Time, f fleet.Fingerprint) bool {
	until, ok := m.view.PoisonedUntil[f]
	return ok && now.Before(until) || m.poisoned.has(now, f)
}

// hold keeps a part until it may run alone.
func (m *Machine) hold(q *running, i int) {
	if q.alone == int32(i) {
		q.alone = noPart
	}
	q.held = append(q.held, int32(i))
}

// beginAlone runs a query whose content was suspect before: its first group
// runs alone, without a fan-out.
func (m *Machine) beginAlone(now time.Time, q *running) {
	q.suspect = true
	for i := range q.parts {
		m.hold(q, i)
	}
	m.armHedge(now, q)
}

// retryAlone starts the next held part of a suspect query, if none runs alone.
func (m *Machine) retryAlone(now time.Time, q *running) {
	for q.suspect && q.alone == noPart && len(q.held) > 0 {
		i := q.held[0]
		q.held = q.held[1:]
		if m.isPoisoned(now, q.Fingerprint) {
			m.failPart(q, int(i), outcome.New(outcome.CodePoisonRequest, outcome.NotRun, "requests with this content are blocked"))
			continue
		}
		q.alone = i
		m.service(q.Service) // homes of the newest view
		m.send(now, q, int(i), nil)
	}
}

// aloneAnswered clears a suspect query after the part that ran alone succeeded.
// The parts that still wait are sent together.
func (m *Machine) aloneAnswered(now time.Time, q *running, i int) {
	if !q.suspect || q.alone != int32(i) {
		return
	}
	q.suspect, q.cleared, q.alone = false, true, noPart
	m.suspects.remove(q.Fingerprint)
	held := q.held
	q.held = nil
	for _, i := range held {
		m.send(now, q, int(i), nil)
	}
}

// contentMemory remembers request contents for poisonTerm. When it is full the
// oldest is forgotten.
type contentMemory struct {
	until map[fleet.Fingerprint]time.Time
	order []remembered
}

type remembered struct {
	content fleet.Fingerprint
	until   time.Time
}

func newContentMemory() *contentMemory {
	return &contentMemory{until: make(map[fleet.Fingerprint]time.Time)}
}

func (c *contentMemory) has(now time.Time, f fleet.Fingerprint) bool {
	if len(c.until) == 0 {
		return false
	}
	until, ok := c.until[f]
	return ok && now.Before(until)
}

func (c *contentMemory) remove(f fleet.Fingerprint) { delete(c.until, f) }

func (c *contentMemory) add(now time.Time, f fleet.Fingerprint) {
	until := now.Add(poisonTerm)
	c.until[f] = until
	c.order = append(c.order, remembered{content: f, until: until})
	for len(c.order) > maxRemembered || !now.Before(c.order[0].until) {
		if oldest := c.order[0]; c.until[oldest.content].Equal(oldest.until) {
			delete(c.until, oldest.content)
		}
		c.order = c.order[1:]
	}
}
