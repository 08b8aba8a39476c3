package grant

import (
	"time"

	"github.com/anvilfork/anvilfork/core/lease"
)

// phase is what the coordinator may hand out at the moment.
type phase struct {
	half bool // half of every limit; the other side of an equal split has the rest
	grow bool // false: only what a VM has reported is renewed
}

// budget returns how many parts of a workspace's rate may be reserved.
func (p phase) budget() int {
	if p.half {
		return WholeParts / 2
	}
	return WholeParts
}

// phaseOf derives the phase. After reserve, nothing that an earlier coordinator
// granted is valid any more. A coordinator whose fraction rises from one half
// keeps to its half until the grants of the other half have expired.
func (a *Allocator) phaseOf(now time.Time, t lease.Leadership) phase {
	over := func(since time.Time) bool { return !now.Before(since.Add(reserve)) }
	switch {
	case t.Fraction == lease.None:
		return phase{half: true}
	case t.Fraction == lease.Half:
		return phase{half: true, grow: over(t.Since)}
	case over(t.FullSince) || a.settled:
		return phase{grow: true}
	case over(t.Since):
		return phase{half: true, grow: true}
	default:
		return phase{}
	}
}

// enter notes the begin of a tenure. Shares reported before it may have been
// changed by another coordinator.
func (a *Allocator) enter(now time.Time, t lease.Leadership) {
	if t.Fraction == lease.None {
		return
	}
	rose := t.Fraction == lease.Full && !t.FullSince.Equal(a.full)
	if rose || !t.Since.Equal(a.since) {
		a.settled, a.graceFrom = false, now
	}
	if !t.Since.Equal(a.since) || rose && now.Before(t.Since.Add(reserve)) {
		for _, m := range a.members {
			m.synced = false
		}
	}
	a.since = t.Since
	if rose {
		a.full = t.FullSince
	}
	if t.Fraction == lease.Full && t.Unanimous && !a.settled {
		a.settled = a.allListed(now)
	}
}

// allListed reports whether every VM that can be alive has reported to this
// whole coordinator all that it holds. Each of them votes for this VM, so each
// started more than VoteTTL ago, and there is no further VM with shares.
func (a *Allocator) allListed(now time.Time) bool {
	n := 0
	for _, m := range a.members {
		if m.synced && m.listedAt.Equal(a.full) && now.Sub(m.heardAt) < lease.VoteTTL {
			n++
		}
	}
	return a.maxVMs > 0 && n >= a.maxVMs
}

// sweep brings everything that depends only on time up to date.
func (a *Allocator) sweep(now time.Time, t lease.Leadership) {
	a.enter(now, t)
	a.phase = a.phaseOf(now, t)
	if now.Sub(a.sweptAt) < sweepInterval {
		return
	}
	if now.Sub(a.sweptAt) > pauseLimit {
		a.graceFrom = now
	}
	a.sweptAt = now
	for id, m := range a.members {
		a.expire(now, m)
		if now.Sub(m.heardAt) > silenceLimit && now.Sub(a.graceFrom) > silenceLimit {
			a.setLive(m, false)
			if now.Sub(m.heardAt) > reserve && m.idle() {
				delete(a.members, id)
			}
		}
	}
	if t.Fraction == lease.None || !a.phase.grow {
		return
	}
	if now.Sub(a.rebalancedAt) >= rebalanceInterval {
		a.rebalancedAt = now
		a.rebalance()
	}
	a.fill()
}
