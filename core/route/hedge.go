package route

import "time"

const (
	homeHedgePart  = 0.8 // of hedge_budget; entries have the rest
	maxHedgeTokens = 16  // hedges that can be saved up
	// hedgeReserve is kept for attempts that are later than the p98. At the p95,
	// 5% of the attempts ask for a hedge, more than the budget allows, and spend
	// it before the stragglers come.
	hedgeReserve   = 8
	hedgeRecheck   = 4 // a hedge without budget is tried again after p95 divided by this
	minHedgeWait   = time.Millisecond
	silentFactor   = 3 // times the p99 without progress
	minSilence     = 50 * time.Millisecond
	silenceRecheck = minSilence / 2
)

// HedgeBudget bounds extra attempts to a fraction of the sub-requests. It
// starts empty, so that the bound holds over every period since the start.
// Shards of one service whose machines run in one task share it: one group
// alone may have so few sub-requests that its first hedge comes late.
type HedgeBudget struct{ tokens float64 }

func (b *HedgeBudget) earn(budget float64) {
	b.tokens = min(b.tokens+homeHedgePart*budget, maxHedgeTokens)
}

func (b *HedgeBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SetHedgeBudget makes the group use a budget that other groups use, too.
func (g *Shard) SetHedgeBudget(b *HedgeBudget) { g.budget = b }

// hedge starts a second attempt at another replica: after the p95, or after the
// p98 while the budget is short.
func (g *Shard) hedge(now time.Time, p *pending) {
	p.hedgeAt = time.Time{}
	if !g.mayHedge(now, p) {
		return
	}
	if late := p.active[0].started.Add(g.latency.P98); g.budget.tokens < hedgeReserve && now.Before(late) {
		p.hedgeAt = late
		return
	}
	if g.startHedge(now, p) {
		return
	}
	p.hedgeAt = now.Add(max(g.latency.P95/hedgeRecheck, minHedgeWait))
	if !p.waitsHedge {
		p.waitsHedge = true
		g.lateHedges = append(g.lateHedges, p)
	}
}

func (g *Shard) mayHedge(now time.Time, p *pending) bool {
	return !p.hedged && len(p.active) == 1 && !p.active[0].alone && p.doubts == 0 && g.holds(now) &&
		!g.suspects.has(now, p.sub.Fingerprint)
}

// startHedge reports whether another replica and the budget had room. While more
// work waits than the slots can begin at once, hedges add no load.
func (g *Shard) startHedge(now time.Time, p *pending) bool {
	if g.queue.Len() > g.capacity {
		return false
	}
	t := g.pick(now, p, true)
	if t == nil || !g.budget.spend() {
		return false
	}
	p.hedged = true
	g.stats.Hedges++
	g.start(now, p, t, true)
	return true
}

// dispatchHedges gives the slots that became free to hedges that found none, in
// the order in which they were due. They go before queued work, which waits for
// less than a straggler does: with one slot for each replica, hedges that took
// only what the queue left came too late for the tail.
func (g *Shard) dispatchHedges(now time.Time) {
	kept := g.lateHedges[:0]
	for _, p := range g.lateHedges {
		if g.mayHedge(now, p) && !g.startHedge(now, p) {
			kept = append(kept, p)
			continue
		}
		p.waitsHedge = false
	}
	clear(g.lateHedges[len(kept):])
	g.lateHedges = kept
}

// silentAfter is how long an attempt may go without progress.
func (g *Shard) silentAfter() time.Duration { return max(silentFactor*g.latency.P99, minSilence) }

// silent gives up attempts without progress while others are answered, and
// moves the work to another connection at once. The target is asked to cancel:
// a target that is merely slow confirms that on the same connection, which thus
// proves to work and is kept; a silent connection is closed by cancelledTooLong.
// Work moves more than once only while there are replicas that have not tried
// it, so that slow work is not begun again and again where it is slow. The last
// attempt is left to answer until the deadline.
func (g *Shard) silent(now time.Time, p *pending) {
	p.silentAt = time.Time{}
	after := g.silentAfter()
	for n := len(p.active) - 1; n >= 0; n-- {
		a := p.active[n]
		due := a.started.Add(after)
		switch {
		case now.Before(due):
			p.silentAt = earlier(p.silentAt, due)
		case !g.answerAt.After(a.started):
			// With so little work, status reads must show whether anything answers.
			p.silentAt = earlier(p.silentAt, now.Add(silenceRecheck))
			g.probeUsable()
		case len(p.active) > 1 || g.mayMove(p):
			p.moves++
			g.stats.SilentMoves++
			g.detach(now, a)
		}
	}
	if len(p.active) == 0 && p.doubts == 0 {
		p.cause, p.reason, p.worst = silentCause, "the connections to the targets went silent", silentOutcome
		g.retry(now, p)
	}
}

// mayMove reports whether the only attempt of a sub-request may be given up for
// another one.
func (g *Shard) mayMove(p *pending) bool {
	if p.attempts-p.refused >= maxAttempts {
		return false
	}
	return g.untried(p) || p.moves == 0 && g.capacity > 0 && g.hasVersion(p.sub.IndexVersion)
}

func (g *Shard) probeUsable() {
	for _, t := range g.targets {
		if t.usable {
			g.emit(ProbeNow{Target: t.address})
		}
	}
}

// cancelledTooLong closes the connection of an attempt whose cancellation was
// not confirmed; that frees its slot.
func (g *Shard) cancelledTooLong(_ time.Time, a *attempt) {
	g.stats.SilentCloses++
	g.closeConn(a.target, a.conn)
}
