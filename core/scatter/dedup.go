package scatter

import (
	"time"

	"github.com/anvilfork/anvilfork/core/outcome"
)

const (
	// maxRememberedIDs bounds the memory of one owner at about 10 MB.
	maxRememberedIDs = 1 << 17

	// minSweepSize is the number of ids below which no expired ids are searched for.
	minSweepSize = 1 << 10

	// sweepInterval is the minimum time between two searches for expired ids, each of which
	// visits all ids.
	sweepInterval = 100 * time.Millisecond

	// redeliverySlack is how long after its deadline a sub-request may still arrive: the
	// duration of one call between VMs, and a margin for clocks that differ in rate.
	redeliverySlack = time.Second
)

// Deduplicator remembers the ids of the non-idempotent sub-requests that an owner
// accepted, so that a sub-request that is delivered again runs once. The zero value is
// empty and ready to use. It is not safe for concurrent use.
type Deduplicator struct {
	expires   map[SubID]time.Time
	sweepSize int       // number of ids from which expired ones are dropped
	lastSweep time.Time // time of the last search for expired ids
}

// Accept reports whether the owner is to run sub. It returns false for a sub-request
// accepted before, whose first delivery is the one that is answered. It returns a
// refusal if there is no room to remember another id. Idempotent sub-requests are always
// accepted.
func (d *Deduplicator) Accept(now time.Time, sub *SubRequest) (bool, *outcome.Refusal) {
	if sub.Idempotent {
		return true, nil
	}
	if _, ok := d.expires[sub.ID]; ok {
		return false, nil
	}
	if len(d.expires) >= d.sweepSize && now.Sub(d.lastSweep) >= sweepInterval {
		d.dropExpired(now)
	}
	if len(d.expires) >= maxRememberedIDs {
		return false, sub.Refuse(outcome.CodeOverloaded, "the home remembers %d sub-requests, there is no room for more", len(d.expires))
	}
	if d.expires == nil {
		d.expires = make(map[SubID]time.Time)
	}
	d.expires[sub.ID] = sub.Deadline.Add(redeliverySlack)
	return true, nil
}

// dropExpired forgets expired ids. The next search waits until the number of ids has
// doubled, so that its cost is amortized over the ids accepted meanwhile.
func (d *Deduplicator) dropExpired(now time.Time) {
	for id, expires := range d.expires {
		if now.After(expires) {
			delete(d.expires, id)
		}
	}
	d.lastSweep = now
	d.sweepSize = min(max(minSweepSize, 2*len(d.expires)), maxRememberedIDs)
}

// Refuse returns the refusal of a sub-request whose id the owner did not look up. The
// outcome is Unknown for a redelivered one, because an earlier delivery may have been
// accepted, and NotRun otherwise.
func (s *SubRequest) Refuse(code outcome.Code, reason string, args ...any) *outcome.Refusal {
	o := outcome.NotRun
	if s.Redelivered {
		o = outcome.Unknown
	}
	return outcome.New(code, o, reason, args...)
}
