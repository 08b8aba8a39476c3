package scatter

import (
	"time"

	"github.com/anvilfork/anvilfork/core/outcome"
)

const (
	// maxTaken bounds the memory of one home at about 10 MB.
	maxTaken = 1 << 17

	// firstSweep is the number of ids at which the passed ones are first dropped.
	firstSweep = 1 << 10

	// sweepInterval is the least time between two searches for passed ids, which
	// look at all of them.
	sweepInterval = 100 * time.Millisecond

	// redeliverySlack is how long after its deadline a sub-request may still
	// arrive: the time of one call between VMs, and a margin for clocks that differ in rate.
	redeliverySlack = time.Second
)

// Deduplicator remembers the non-idempotent sub-requests that a home took, so that one
// that is delivered again runs once. The zero value is empty.
type Deduplicator struct {
	until map[SubID]time.Time
	sweep int       // number of ids at which passed ones are dropped
	swept time.Time // when they were last
}

// Accept reports whether the home is to run sub. It is not when it was taken
// before: then the first delivery is answered. The refusal is for a home without
// room to remember it.
func (t *Deduplicator) Accept(now time.Time, sub *SubRequest) (bool, *outcome.Refusal) {
	if sub.Idempotent {
		return true, nil
	}
	if _, ok := t.until[sub.ID]; ok {
		return false, nil
	}
	if len(t.until) >= t.sweep && now.Sub(t.swept) >= sweepInterval {
		t.drop(now)
	}
	if len(t.until) >= maxTaken {
		return false, sub.Refuse(outcome.CodeOverloaded, "the home remembers %d sub-requests, there is no room for more", len(t.until))
	}
	if t.until == nil {
		t.until = make(map[SubID]time.Time)
	}
	t.until[sub.ID] = sub.Deadline.Add(redeliverySlack)
	return true, nil
}

// drop forgets the ids whose time has passed. It runs again when their number
// has doubled, so that its cost is shared by the ids taken meanwhile.
func (t *Deduplicator) drop(now time.Time) {
	for id, until := range t.until {
		if now.After(until) {
			delete(t.until, id)
		}
	}
	t.swept = now
	t.sweep = min(max(firstSweep, 2*len(t.until)), maxTaken)
}

// Refuse refuses a sub-request that a home did not look up. One that was
// delivered before may have been taken then.
func (s *SubRequest) Refuse(code outcome.Code, reason string, args ...any) *outcome.Refusal {
	o := outcome.NotRun
	if s.Redelivered {
		o = outcome.Unknown
	}
	return outcome.New(code, o, reason, args...)
}
