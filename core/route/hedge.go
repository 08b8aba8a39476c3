package route

import "time"

const (
	ownerHedgeFraction = 0.8 // part of hedge_budget that owners may use; the rest is for ingresses
	maxHedgeTokens     = 16  // bounds a burst of hedges
	// hedgeTokenReserve is the number of tokens kept for attempts slower than the
	// p98. 5% of the attempts are slower than the p95, more than the budget allows,
	// and would use it up before the stragglers need it.
	hedgeTokenReserve           = 8
	hedgeRecheckDivisor         = 4 // a hedge that found no slot or budget is retried after the p95 divided by this
	minHedgeRecheckDelay        = time.Millisecond
	unresponsiveP99Factor       = 3 // an attempt is unresponsive after this many times the p99
	minUnresponsiveTimeout      = 50 * time.Millisecond
	unresponsiveRecheckInterval = minUnresponsiveTimeout / 2
)

// HedgeBudget is a token bucket that limits hedges to a fraction of the
// sub-requests. It starts empty, so that the limit holds over every period since
// the start. The Shards of one service in one task share it: one Shard alone may
// have so few sub-requests that its first hedge comes late.
type HedgeBudget struct{ tokens float64 }

// earn adds the tokens of one sub-request; fraction is the service's hedge_budget.
func (b *HedgeBudget) earn(fraction float64) {
	b.tokens = min(b.tokens+ownerHedgeFraction*fraction, maxHedgeTokens)
}

// spend takes one token and reports whether there was one.
func (b *HedgeBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SetHedgeBudget makes the Shard use a budget that it shares with other Shards.
func (s *Shard) SetHedgeBudget(b *HedgeBudget) { s.hedgeBudget = b }

// hedgeOrDefer starts a second attempt on another target. It defers the hedge to the
// p98 while the budget is low, and while it finds no slot or budget.
func (s *Shard) hedgeOrDefer(now time.Time, p *pending) {
	p.hedgeAt = time.Time{}
	if !s.canHedge(now, p) {
		return
	}
	if p98At := p.activeAttempts[0].startedAt.Add(s.latency.P98); s.hedgeBudget.tokens < hedgeTokenReserve && now.Before(p98At) {
		p.hedgeAt = p98At
		return
	}
	if s.tryHedge(now, p) {
		return
	}
	p.hedgeAt = now.Add(max(s.latency.P95/hedgeRecheckDivisor, minHedgeRecheckDelay))
	if !p.waitsForHedge {
		p.waitsForHedge = true
		s.waitingHedges = append(s.waitingHedges, p)
	}
}

// canHedge reports whether a sub-request may be hedged: its only attempt is active,
// it was not hedged before, and it is not suspect.
func (s *Shard) canHedge(now time.Time, p *pending) bool {
	return !p.hedged && len(p.activeAttempts) == 1 && !p.activeAttempts[0].isolated && p.unresolvedLosses == 0 && s.shareValid(now) &&
		!s.suspects.has(now, p.sub.Fingerprint)
}

// tryHedge starts a hedge if another target and the budget allow it, and reports
// whether it did. It starts none while more sub-requests are queued than slots
// exist, so that hedges add no load to an overloaded shard.
func (s *Shard) tryHedge(now time.Time, p *pending) bool {
	if s.queue.Len() > s.capacity {
		return false
	}
	t := s.pickTarget(now, p, true)
	if t == nil || !s.hedgeBudget.spend() {
		return false
	}
	p.hedged = true
	s.stats.Hedges++
	s.startAttempt(now, p, t, true)
	return true
}

// dispatchHedges starts the hedges that found no slot when they were due, in order.
// They precede queued work, which waits for less time than a straggler takes: with
// one slot per target, hedges that got only the slots left by the queue came too
// late to shorten the tail.
func (s *Shard) dispatchHedges(now time.Time) {
	kept := s.waitingHedges[:0]
	for _, p := range s.waitingHedges {
		if s.canHedge(now, p) && !s.tryHedge(now, p) {
			kept = append(kept, p)
			continue
		}
		p.waitsForHedge = false
	}
	clear(s.waitingHedges[len(kept):])
	s.waitingHedges = kept
}

// unresponsiveTimeout returns the time after which an attempt without an answer
// counts as unresponsive.
func (s *Shard) unresponsiveTimeout() time.Duration {
	return max(unresponsiveP99Factor*s.latency.P99, minUnresponsiveTimeout)
}

// abandonUnresponsive gives up attempts that are unresponsive while others are
// answered, and retries the sub-request on another connection at once. The target
// is asked to cancel: one that is merely slow confirms that on the same connection,
// which thus proves to work and is kept. Otherwise cancellationTimedOut closes the
// connection. A sub-request is moved more than once only while there are targets
// that have not tried it, so that slow work is not restarted over and over. The
// last attempt may then run until the deadline.
func (s *Shard) abandonUnresponsive(now time.Time, p *pending) {
	p.unresponsiveAt = time.Time{}
	timeout := s.unresponsiveTimeout()
	for n := len(p.activeAttempts) - 1; n >= 0; n-- {
		a := p.activeAttempts[n]
		due := a.startedAt.Add(timeout)
		switch {
		case now.Before(due):
			p.unresponsiveAt = earlier(p.unresponsiveAt, due)
		case !s.lastAnswerAt.After(a.startedAt):
			// With so little traffic, only status reads show whether any target answers.
			p.unresponsiveAt = earlier(p.unresponsiveAt, now.Add(unresponsiveRecheckInterval))
			s.probeUsableTargets()
		case len(p.activeAttempts) > 1 || s.canAbandonLast(p):
			p.abandoned++
			s.stats.UnresponsiveAttempts++
			s.cancelAttempt(now, a)
		}
	}
	if len(p.activeAttempts) == 0 && p.unresolvedLosses == 0 {
		p.failureCode, p.failureReason, p.worstOutcome = unresponsiveCode, "the connections to the targets went silent", unresponsiveOutcome
		s.retry(now, p)
	}
}

// canAbandonLast reports whether the only attempt of a sub-request may be given up
// for a new one.
func (s *Shard) canAbandonLast(p *pending) bool {
	if p.attempts-p.notRun >= maxAttempts {
		return false
	}
	return s.hasUntriedTarget(p) || p.abandoned == 0 && s.capacity > 0 && s.hasVersion(p.sub.IndexVersion)
}

func (s *Shard) probeUsableTargets() {
	for _, t := range s.targets {
		if t.usable {
			s.emit(ProbeNow{Target: t.address})
		}
	}
}

// cancellationTimedOut closes the connection of an attempt whose cancellation was
// not confirmed in time, which frees its slot.
func (s *Shard) cancellationTimedOut(_ time.Time, a *attempt) {
	s.stats.UnconfirmedCancels++
	s.closeConn(a.target, a.conn)
}
