package route

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
)

const (
	// doubtLimit is how long a lost attempt waits for a sign of what happened to
	// its target: a refused connection, another boot id or an unchanged one.
	doubtLimit  = 250 * time.Millisecond
	maxSuspects = 1024
	suspectTerm = 10 * time.Minute
	poisonTerm  = 10 * time.Minute

	silentCause   = outcome.CodeConnectionLost
	silentOutcome = outcome.Unknown
)

type fingerprint = fleet.Fingerprint

// doubt is an attempt whose connection was lost after the write.
type doubt struct {
	at      time.Time
	pending *pending // nil when the sub-request has ended
	print   fingerprint
	alone   bool
	result  Result
}

// suspect is a request content that was in flight when a target crashed.
type suspect struct {
	at           time.Time
	event        uint64    // the crash that made it suspect
	blockedUntil time.Time // set once it crashed a target on which it ran alone
}

// suspects holds what is known of request contents after crashes.
type suspects struct {
	event    uint64 // crashes seen
	byPrint  map[fingerprint]*suspect
	order    []fingerprint // oldest first, with entries that were cleared
	reserved *target       // gets no other work until a suspect ran there alone
}

func newSuspects() suspects { return suspects{byPrint: make(map[fingerprint]*suspect)} }

func (s *suspects) has(now time.Time, print fingerprint) bool {
	if len(s.byPrint) == 0 {
		return false
	}
	found, ok := s.byPrint[print]
	if ok && now.Sub(found.at) > suspectTerm {
		delete(s.byPrint, print)
		return false
	}
	return ok
}

func (s *suspects) clear(print fingerprint) {
	if len(s.byPrint) > 0 {
		delete(s.byPrint, print)
	}
}

// add returns the record of a suspect; the oldest makes room for a new one.
func (s *suspects) add(now time.Time, print fingerprint, event uint64) *suspect {
	if found, ok := s.byPrint[print]; ok {
		found.at = now
		return found
	}
	for len(s.byPrint) >= maxSuspects {
		delete(s.byPrint, s.order[0])
		s.order = s.order[1:]
	}
	if len(s.order) >= 2*maxSuspects {
		s.order = slices.DeleteFunc(slices.Clone(s.order), func(f fingerprint) bool { return s.byPrint[f] == nil })
	}
	added := &suspect{at: now, event: event}
	s.byPrint[print] = added
	s.order = append(s.order, print)
	return added
}

// exonerate clears the others that were suspect only because of one crash.
func (s *suspects) exonerate(event uint64) {
	for print, o := range s.byPrint {
		if o.event == event && o.blockedUntil.IsZero() {
			delete(s.byPrint, print)
		}
	}
}

func (g *Shard) poisoned(now time.Time, print fingerprint) bool {
	if len(g.assigned.PoisonedUntil) > 0 && now.Before(g.assigned.PoisonedUntil[print]) {
		return true
	}
	s, ok := g.suspects.byPrint[print]
	return ok && now.Before(s.blockedUntil)
}

// doubtful keeps a lost attempt until it is known whether its target crashed.
func (g *Shard) doubtful(now time.Time, a *attempt, result Result) {
	d := doubt{at: now, pending: a.pending, print: a.print, alone: a.alone, result: result}
	if a.crash != 0 {
		g.convict(now, d, a.crash)
		return
	}
	a.target.doubts = append(a.target.doubts, d)
	if p := a.pending; p != nil {
		p.doubts++
		g.arm(p)
	}
	g.dirty = true
	g.emit(ProbeNow{Target: a.target.address})
}

// crashEvidence is called when a target refuses connections or shows another
// boot id: what was lost there was lost in a crash, and so is what is in flight
// there if it is lost, too.
func (g *Shard) crashEvidence(now time.Time, t *target) {
	if len(t.doubts) == 0 && len(t.attempts) == 0 {
		return
	}
	g.suspects.event++
	for _, a := range t.attempts {
		a.crash = g.suspects.event
	}
	doubts := t.doubts
	t.doubts = nil
	for _, d := range doubts {
		if d.pending != nil {
			d.pending.doubts--
		}
		g.convict(now, d, g.suspects.event)
	}
}

// convict counts a crash against a request content and returns the sub-request
// to its entry VM, which decides when it is tried again.
func (g *Shard) convict(now time.Time, d doubt, event uint64) {
	g.stats.Crashes++
	s := g.suspects.add(now, d.print, event)
	if d.alone {
		s.blockedUntil = now.Add(poisonTerm)
		g.suspects.exonerate(s.event)
		g.emit(ReportPoison{Fingerprint: d.print, Until: s.blockedUntil})
	}
	if p := d.pending; p != nil {
		p.crashes++
		g.refuse(now, p, outcome.CodeTargetCrashed, outcome.Unknown, "a target crashed while it ran the request")
	}
}

// acquit settles attempts as ordinary losses: their target answered a status
// read that began later, and it has the same boot id.
func (g *Shard) acquit(now time.Time, t *target, before time.Time) {
	if len(t.doubts) == 0 {
		return
	}
	doubts := t.doubts
	t.doubts = nil
	for _, d := range doubts {
		if !d.at.Before(before) {
			t.doubts = append(t.doubts, d)
			continue
		}
		if p := d.pending; p != nil {
			p.doubts--
			p.note(d.result)
			g.retryIfLast(now, p)
		}
	}
}

// expireDoubts settles what got no sign in time as ordinary losses.
func (g *Shard) expireDoubts(now time.Time, t *target) {
	g.acquit(now, t, now.Add(-doubtLimit))
	if len(t.doubts) > 0 {
		g.wake(t.doubts[0].at.Add(doubtLimit + time.Nanosecond))
	}
}

func (g *Shard) forgetDoubts(p *pending) {
	for _, t := range g.targets {
		for i := range t.doubts {
			if t.doubts[i].pending == p {
				t.doubts[i].pending = nil
			}
		}
	}
}
