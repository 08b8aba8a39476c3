package route

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
)

const (
	// crashEvidenceTimeout is how long a lost attempt stays unresolved while
	// waiting for evidence of a crash (a refused connection or a new boot id) or
	// against it (an unchanged boot id).
	crashEvidenceTimeout = 250 * time.Millisecond
	maxSuspects          = 1024 // the oldest ones are dropped beyond this
	suspectTTL           = 10 * time.Minute
	poisonTTL            = 10 * time.Minute

	unresponsiveCode    = outcome.CodeConnectionLost
	unresponsiveOutcome = outcome.Unknown
)

type fingerprint = fleet.Fingerprint

// lostAttempt is an attempt whose connection was lost after the request was written,
// and of which it is not known yet whether it was lost in a crash.
type lostAttempt struct {
	lostAt      time.Time
	pending     *pending // nil when the sub-request was cancelled or has ended
	fingerprint fingerprint
	isolated    bool
	result      Result
}

// suspect is the record of a request content that was in flight when a target
// crashed. It runs isolated until it is answered or suspectTTL has passed.
type suspect struct {
	lastCrashAt  time.Time
	crashSeq     uint64    // the first crash that it was in flight at
	blockedUntil time.Time // set after it crashed a target on which it ran isolated; zero before
}

// suspects holds the request contents that may crash targets.
type suspects struct {
	crashSeq       uint64 // number of the last crash
	byFingerprint  map[fingerprint]*suspect
	insertionOrder []fingerprint // oldest first; may contain entries that were cleared
	reservedTarget *target       // gets no other work until a suspect has run there isolated; nil when none
}

func newSuspects() suspects { return suspects{byFingerprint: make(map[fingerprint]*suspect)} }

// has reports whether a request content is suspect. It removes one whose suspectTTL
// has passed.
func (s *suspects) has(now time.Time, fp fingerprint) bool {
	if len(s.byFingerprint) == 0 {
		return false
	}
	record, ok := s.byFingerprint[fp]
	if ok && now.Sub(record.lastCrashAt) > suspectTTL {
		delete(s.byFingerprint, fp)
		return false
	}
	return ok
}

// clear removes a request content that was answered.
func (s *suspects) clear(fp fingerprint) {
	if len(s.byFingerprint) > 0 {
		delete(s.byFingerprint, fp)
	}
}

// add returns the record of a suspect, which it creates if necessary. It removes
// the oldest one at maxSuspects.
func (s *suspects) add(now time.Time, fp fingerprint, crashSeq uint64) *suspect {
	if record, ok := s.byFingerprint[fp]; ok {
		record.lastCrashAt = now
		return record
	}
	for len(s.byFingerprint) >= maxSuspects {
		delete(s.byFingerprint, s.insertionOrder[0])
		s.insertionOrder = s.insertionOrder[1:]
	}
	if len(s.insertionOrder) >= 2*maxSuspects {
		s.insertionOrder = slices.DeleteFunc(slices.Clone(s.insertionOrder), func(f fingerprint) bool { return s.byFingerprint[f] == nil })
	}
	added := &suspect{lastCrashAt: now, crashSeq: crashSeq}
	s.byFingerprint[fp] = added
	s.insertionOrder = append(s.insertionOrder, fp)
	return added
}

// clearCrash clears the contents that are suspect only because of the given crash,
// whose cause is known now.
func (s *suspects) clearCrash(crashSeq uint64) {
	for fp, record := range s.byFingerprint {
		if record.crashSeq == crashSeq && record.blockedUntil.IsZero() {
			delete(s.byFingerprint, fp)
		}
	}
}

// poisoned reports whether a request content is blocked, by this Shard or by the
// fleet.
func (s *Shard) poisoned(now time.Time, fp fingerprint) bool {
	if len(s.assigned.PoisonedUntil) > 0 && now.Before(s.assigned.PoisonedUntil[fp]) {
		return true
	}
	record, ok := s.suspects.byFingerprint[fp]
	return ok && now.Before(record.blockedUntil)
}

// trackLostAttempt keeps a lost attempt unresolved until it is known whether its
// target crashed. If the crash is known already, it is recorded at once.
func (s *Shard) trackLostAttempt(now time.Time, a *attempt, result Result) {
	lost := lostAttempt{lostAt: now, pending: a.pending, fingerprint: a.fingerprint, isolated: a.isolated, result: result}
	if a.crashSeq != 0 {
		s.recordCrash(now, lost, a.crashSeq)
		return
	}
	a.target.lostAttempts = append(a.target.lostAttempts, lost)
	if p := a.pending; p != nil {
		p.unresolvedLosses++
		s.armTimer(p)
	}
	s.dirty = true
	s.emit(ProbeNow{Target: a.target.address})
}

// targetCrashed is called when a target refuses connections or shows a new boot id.
// Its lost attempts were lost in a crash, and so are those still in flight if
// their connection is lost.
func (s *Shard) targetCrashed(now time.Time, t *target) {
	if len(t.lostAttempts) == 0 && len(t.attempts) == 0 {
		return
	}
	s.suspects.crashSeq++
	for _, a := range t.attempts {
		a.crashSeq = s.suspects.crashSeq
	}
	unresolved := t.lostAttempts
	t.lostAttempts = nil
	for _, lost := range unresolved {
		if lost.pending != nil {
			lost.pending.unresolvedLosses--
		}
		s.recordCrash(now, lost, s.suspects.crashSeq)
	}
}

// recordCrash makes a request content suspect, or blocks it if it ran isolated, and
// refuses the sub-request: the ingress decides when it is tried again.
func (s *Shard) recordCrash(now time.Time, lost lostAttempt, crashSeq uint64) {
	s.stats.Crashes++
	record := s.suspects.add(now, lost.fingerprint, crashSeq)
	if lost.isolated {
		record.blockedUntil = now.Add(poisonTTL)
		s.suspects.clearCrash(record.crashSeq)
		s.emit(ReportPoison{Fingerprint: lost.fingerprint, Until: record.blockedUntil})
	}
	if p := lost.pending; p != nil {
		p.crashes++
		s.refuse(now, p, outcome.CodeTargetCrashed, outcome.Unknown, "a target crashed while it ran the request")
	}
}

// settleAsConnLoss resolves the attempts lost before the given time as mere losses
// of a connection: their target answered a later status read with the same boot
// id, or crashEvidenceTimeout has passed.
func (s *Shard) settleAsConnLoss(now time.Time, t *target, before time.Time) {
	if len(t.lostAttempts) == 0 {
		return
	}
	unresolved := t.lostAttempts
	t.lostAttempts = nil
	for _, lost := range unresolved {
		if !lost.lostAt.Before(before) {
			t.lostAttempts = append(t.lostAttempts, lost)
			continue
		}
		if p := lost.pending; p != nil {
			p.unresolvedLosses--
			p.recordFailure(lost.result)
			s.retryUnlessActive(now, p)
		}
	}
}

// expireLostAttempts resolves the attempts for which no evidence of a crash came in
// time.
func (s *Shard) expireLostAttempts(now time.Time, t *target) {
	s.settleAsConnLoss(now, t, now.Add(-crashEvidenceTimeout))
	if len(t.lostAttempts) > 0 {
		s.scheduleMaintenance(t.lostAttempts[0].lostAt.Add(crashEvidenceTimeout + time.Nanosecond))
	}
}

// detachLostAttempts separates the lost attempts of a sub-request that ends. They
// still make its content suspect if their target crashed.
func (s *Shard) detachLostAttempts(p *pending) {
	for _, t := range s.targets {
		for i := range t.lostAttempts {
			if t.lostAttempts[i].pending == p {
				t.lostAttempts[i].pending = nil
			}
		}
	}
}
