package grant

import (
	"time"

	"github.com/anvilfork/anvilfork/core/lease"
)

// phase is what the coordinator may grant at the moment. A full coordinator has
// the leadership fraction lease.Full and grants whole limits; half a coordinator
// has lease.Half and grants half of every limit.
type phase struct {
	half    bool // half of every limit; the other half belongs to the other side of an equal split
	mayGrow bool // new shares may be granted; when false, only reported shares are renewed
}

// budget returns how many parts of a workspace's rate may be reserved.
func (p phase) budget() int {
	if p.half {
		return WholeParts / 2
	}
	return WholeParts
}

// currentPhase derives the phase from the leadership. After reservationTTL, no
// share that an earlier coordinator granted is valid any more. A coordinator
// whose fraction rises from one half to full stays within its half until the
// grants of the other half have expired.
func (a *Allocator) currentPhase(now time.Time, t lease.Leadership) phase {
	elapsed := func(since time.Time) bool { return !now.Before(since.Add(reservationTTL)) }
	switch {
	case t.Fraction == lease.None:
		return phase{half: true}
	case t.Fraction == lease.Half:
		return phase{half: true, mayGrow: elapsed(t.Since)}
	case elapsed(t.FullSince) || a.allReported:
		return phase{mayGrow: true}
	case elapsed(t.Since):
		return phase{half: true, mayGrow: true}
	default:
		return phase{}
	}
}

// updateLeadership records a new leadership or a rise to the full fraction, and
// requires full reports then: another coordinator may have changed the shares
// that were reported before.
func (a *Allocator) updateLeadership(now time.Time, t lease.Leadership) {
	if t.Fraction == lease.None {
		return
	}
	becameFull := t.Fraction == lease.Full && !t.FullSince.Equal(a.fullSince)
	if becameFull || !t.Since.Equal(a.leaderSince) {
		a.allReported, a.timeoutFrom = false, now
	}
	if !t.Since.Equal(a.leaderSince) || becameFull && now.Before(t.Since.Add(reservationTTL)) {
		for _, m := range a.members {
			m.synced = false
		}
	}
	a.leaderSince = t.Since
	if becameFull {
		a.fullSince = t.FullSince
	}
	if t.Fraction == lease.Full && t.Unanimous && !a.allReported {
		a.allReported = a.allVMsReported(now)
	}
}

// allVMsReported reports whether every VM that can be alive has reported all its
// shares since this coordinator became a full one. Each of them votes for this
// VM, so each started more than VoteTTL ago, and no other VM has shares.
func (a *Allocator) allVMsReported(now time.Time) bool {
	n := 0
	for _, m := range a.members {
		if m.synced && m.reportEpoch.Equal(a.fullSince) && now.Sub(m.lastSeen) < lease.VoteTTL {
			n++
		}
	}
	return a.maxVMs > 0 && n >= a.maxVMs
}

// sweep applies what depends only on time: the phase, expiry of shares, heartbeat
// timeouts, rebalancing and missing assignments. Apart from the phase it runs at
// most once in sweepInterval.
func (a *Allocator) sweep(now time.Time, t lease.Leadership) {
	a.updateLeadership(now, t)
	a.phase = a.currentPhase(now, t)
	if now.Sub(a.lastSweep) < sweepInterval {
		return
	}
	if now.Sub(a.lastSweep) > maxSweepGap {
		a.timeoutFrom = now
	}
	a.lastSweep = now
	for id, m := range a.members {
		a.expire(now, m)
		if now.Sub(m.lastSeen) > heartbeatTimeout && now.Sub(a.timeoutFrom) > heartbeatTimeout {
			a.setLive(m, false)
			if now.Sub(m.lastSeen) > reservationTTL && m.idle() {
				delete(a.members, id)
			}
		}
	}
	if t.Fraction == lease.None || !a.phase.mayGrow {
		return
	}
	if now.Sub(a.lastRebalance) >= rebalanceInterval {
		a.lastRebalance = now
		a.rebalance()
	}
	a.assignMissing()
}
