package query

import (
	"time"

	"github.com/anvilfork/anvilfork/core/outcome"
)

const (
	claimTimeout = 500 * time.Millisecond // for the answer of the range holder; no sub-request is sent before it
	claimBackoff = 50 * time.Millisecond  // before the range holder is looked up again
)

// sendClaim asks the holder of the request's id range for the right to run a
// non-idempotent request. The holder recognizes a repeated claim of the same query, so a
// claim may be sent again. The query is refused when the claim deadline has passed.
func (m *Machine) sendClaim(now time.Time, q *runningQuery) {
	q.phase, q.retryAt = phaseClaiming, time.Time{}
	if q.claimDeadline.IsZero() {
		q.claimDeadline = earlier(now.Add(claimTimeout), q.Deadline)
	}
	if !now.Before(q.claimDeadline) {
		m.refuseClaim(q, "the holder of request-id range %d did not answer")
		return
	}
	q.holder = m.rangeHolder(q.RequestID)
	if q.holder == "" {
		q.retryAt = earlier(now.Add(claimBackoff), q.claimDeadline)
		m.due.update(q)
		return
	}
	q.claimSentAt, q.mustSettle = now, true
	q.retryAt = q.claimDeadline
	m.emit(Claim{ID: q.ID, Holder: q.holder, RequestID: q.RequestID})
	m.due.update(q)
}

func (m *Machine) refuseClaim(q *runningQuery, format string) {
	m.refuse(q, outcome.New(outcome.CodeNoHome, outcome.NotRun, format, q.RequestID.Range()))
}

// handleClaimed starts the fan-out when the claim was granted. It checks the claim's age
// against now, because this process may have been suspended since the claim was sent and
// the grant may be out of date.
func (m *Machine) handleClaimed(now time.Time, ev Claimed) {
	q, ok := m.queries[ev.ID]
	if !ok || q.phase != phaseClaiming {
		return
	}
	switch {
	case !now.Before(q.claimDeadline) || now.Sub(q.claimSentAt) > claimTimeout:
		m.refuseClaim(q, "the answer of the holder of request-id range %d came too late")
	case ev.Refusal == nil:
		m.plan(now, q)
	case ev.NoReturnPath:
		q.mustSettle = false
		m.refuse(q, ev.Refusal)
	case ev.Refusal.Code == outcome.CodeNoHome, ev.Refusal.Code == outcome.CodeConnectionLost:
		q.retryAt = earlier(now.Add(claimBackoff), q.claimDeadline)
		m.due.update(q)
	default:
		q.mustSettle = false // another send of the same request owns the claim
		m.refuse(q, ev.Refusal)
	}
}
