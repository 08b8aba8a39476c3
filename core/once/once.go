// Package once decides whether a non-idempotent request may run, so that it runs at
// most once whichever VMs its caller sends it to. A Ledger is given the request-id
// ranges that its VM holds and the claims on ids in them; it answers each claim
// with permission or a refusal that says what is known of the request.
package once

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
)

const (
	claimWindow  = 120 * time.Second // how long claims are remembered
	maxClockSkew = 2 * time.Second   // between the clocks of callers and VMs

	// maxClaims bounds the memory of one VM to about 40 MB. No claim is evicted
	// early: a full ledger refuses new claims instead.
	maxClaims = 1 << 18
)

// Claimer identifies the query that makes a claim. Only this query can settle the
// claim, so that a duplicate of the request that was refused cannot release the
// claim of the one that runs.
type Claimer struct {
	VM    fleet.VMID
	Query uint64
}

// Ledger holds the claims on request ids in the ranges of one VM. It is not safe for
// concurrent use.
type Ledger struct {
	ranges [fleet.RangeCount]fleet.RangeShare
	claims map[fleet.RequestID]claim
	byAge  []claimRef // oldest claim first
	limit  int        // maximum length of byAge
}

// claim is the state of one request id.
type claim struct {
	claimer Claimer
	at      time.Time
	settled bool
	outcome outcome.Outcome // once settled; empty if the request was answered
}

// claimRef refers to a claim by its id and the time at which it was made.
type claimRef struct {
	id fleet.RequestID
	at time.Time
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{claims: make(map[fleet.RequestID]claim), limit: maxClaims}
}

// SetRanges replaces the ranges that this VM holds. Claims in ranges that it has
// lost are kept, because they remain valid and the range may come back.
func (l *Ledger) SetRanges(shares []fleet.RangeShare) {
	l.ranges = [fleet.RangeCount]fleet.RangeShare{}
	for _, s := range shares {
		if s.Range >= 0 && s.Range < fleet.RangeCount {
			l.ranges[s.Range] = s
		}
	}
}

// ClaimCount returns the number of claims that are remembered.
func (l *Ledger) ClaimCount() int { return len(l.claims) }

// Claim returns nil if the request may run, otherwise the refusal. It is idempotent
// for the same claimer until the claim is settled.
func (l *Ledger) Claim(now time.Time, claimer Claimer, id fleet.RequestID) *outcome.Refusal {
	l.expire(now)
	share := l.ranges[id.Range()]
	if !now.Before(share.Expires) {
		return outcome.New(outcome.CodeNoHome, outcome.NotRun, "this VM does not hold request-id range %d", id.Range())
	}
	if c, ok := l.claims[id]; ok {
		if c.claimer == claimer && !c.settled {
			return nil
		}
		return c.duplicateRefusal(id)
	}
	created := id.Created()
	switch {
	case created.After(now.Add(maxClockSkew)):
		return outcome.New(outcome.CodeBadRequest, outcome.NotRun, "request id %s was created in the future", id)
	case created.Before(share.Since.Add(maxClockSkew)):
		return outcome.New(outcome.CodeRequestTooOld, outcome.Unknown, "request id %s is older than the tenure of the holder of its range", id)
	case created.Before(now.Add(-claimWindow + maxClockSkew)):
		return outcome.New(outcome.CodeRequestTooOld, outcome.Unknown, "request id %s is older than the claims that are remembered", id)
	case len(l.byAge) >= l.limit:
		refusal := outcome.New(outcome.CodeOverloaded, outcome.NotRun, "%d request ids are remembered, there is no room for more", len(l.byAge))
		refusal.RetryAfter = max(claimWindow-now.Sub(l.byAge[0].at), time.Millisecond)
		return refusal
	}
	l.claims[id] = claim{claimer: claimer, at: now}
	l.byAge = append(l.byAge, claimRef{id: id, at: now})
	return nil
}

// duplicateRefusal returns the refusal of another claim on the same id.
func (c claim) duplicateRefusal(id fleet.RequestID) *outcome.Refusal {
	if c.settled && c.outcome == "" {
		return outcome.New(outcome.CodeDuplicateRequest, outcome.RanAnswerLost, "request %s ran before", id)
	}
	if c.settled {
		return outcome.New(outcome.CodeDuplicateRequest, c.outcome, "request %s was refused before", id)
	}
	return outcome.New(outcome.CodeDuplicateRequest, outcome.Unknown, "request %s is running", id)
}

// Settle records the outcome of a claimed request; an empty outcome means that it
// was answered. A request that did not run can be claimed again. Settle ignores
// claims that are unknown, settled or of another claimer.
func (l *Ledger) Settle(claimer Claimer, id fleet.RequestID, o outcome.Outcome) {
	c, ok := l.claims[id]
	switch {
	case !ok || c.claimer != claimer || c.settled:
	case o == outcome.NotRun:
		delete(l.claims, id)
	default:
		if o != "" && !o.Valid() {
			o = outcome.Unknown
		}
		c.settled, c.outcome = true, o
		l.claims[id] = c
	}
}

// expire removes claims older than claimWindow. A reference whose id was released
// and claimed again later no longer matches its claim and removes nothing.
func (l *Ledger) expire(now time.Time) {
	n := 0
	for n < len(l.byAge) && now.Sub(l.byAge[n].at) >= claimWindow {
		ref := l.byAge[n]
		if c, ok := l.claims[ref.id]; ok && c.at.Equal(ref.at) {
			delete(l.claims, ref.id)
		}
		n++
	}
	l.byAge = l.byAge[n:]
}
