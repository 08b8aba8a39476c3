package route

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/outcome"
)

// dispatch starts waiting work on free targets, workspaces in fair order.
func (g *Shard) dispatch(now time.Time) {
	g.suspects.reserved = nil
	if len(g.alone) > 0 {
		g.dispatchAlone(now)
	}
	if len(g.lateHedges) > 0 {
		g.dispatchHedges(now)
	}
	if g.queue.Len() == 0 || !g.holds(now) {
		return
	}
	g.queue.Begin()
	for g.anyFree(now) {
		i := g.queue.Head()
		if i == nil {
			return
		}
		g.serve(now, i.Value)
	}
}

// serve starts one sub-request, or passes over its workspace.
func (g *Shard) serve(now time.Time, p *pending) {
	if g.suspects.has(now, p.sub.Fingerprint) {
		g.queue.Remove(&p.item)
		g.queueAlone(now, p)
		return
	}
	t := g.pick(now, p, false)
	if t == nil {
		g.queue.Skip(&p.item)
		return
	}
	g.queue.Take(&p.item)
	g.start(now, p, t, false)
}

func (g *Shard) anyFree(now time.Time) bool {
	for _, t := range g.targets {
		if t != g.suspects.reserved && t.free(now) && t.idleConn() != nil {
			return true
		}
	}
	return false
}

// pick returns the best target for an attempt, nil when none is free. A target
// that was tried before is used again only when no other can run the work, and
// never for a hedge.
func (g *Shard) pick(now time.Time, p *pending, hedge bool) *target {
	var best *target
	again := !hedge && len(p.tried) > 0 && !g.untried(p)
	for _, t := range g.targets {
		if best != nil && t.inFlight() > best.inFlight() {
			continue
		}
		if t == g.suspects.reserved || !t.free(now) || !t.has(p.sub.IndexVersion) || t.idleConn() == nil {
			continue
		}
		if !again && len(p.tried) > 0 && slices.Contains(p.tried, t) {
			continue
		}
		if best == nil || g.better(now, t, best) {
			best = t
		}
	}
	return best
}

// untried reports whether a usable target has not run an attempt of p.
func (g *Shard) untried(p *pending) bool {
	for _, t := range g.targets {
		if t.usable && t.allowance > 0 && t.has(p.sub.IndexVersion) && !slices.Contains(p.tried, t) {
			return true
		}
	}
	return false
}

func (g *Shard) start(now time.Time, p *pending, t *target, hedge bool) {
	g.seq++
	a := g.newAttempt()
	a.id = AttemptID{Origin: g.origin, Seq: g.seq}
	a.target, a.conn, a.pending, a.started, a.hedge = t, t.idleConn(), p, now, hedge
	a.print, a.version = p.sub.Fingerprint, p.sub.IndexVersion
	a.index = len(t.attempts)
	t.attempts = append(t.attempts, a)
	a.conn.attempt = a
	g.attempts[a.id.Seq] = a
	if p.attempts == 0 {
		g.budget.earn(g.assigned.Service.HedgeBudget)
	}
	p.attempts++
	p.active = append(p.active, a)
	p.tried = append(p.tried, t)
	g.stats.Attempts++
	g.countPick(t)
	if p.sub.Idempotent {
		p.silentAt = earlier(p.silentAt, now.Add(g.silentAfter()))
		if !p.hedged {
			p.hedgeAt = now.Add(g.latency.P95)
		}
	}
	g.arm(p)
	g.emitStart(StartAttempt{Attempt: a.id, Target: t.address, Conn: a.conn.id, Sub: p.sub})
}

func (g *Shard) newAttempt() *attempt {
	if n := len(g.freeAttempts); n > 0 {
		a := g.freeAttempts[n-1]
		g.freeAttempts = g.freeAttempts[:n-1]
		return a
	}
	a := &attempt{}
	a.timer.Owner.attempt = a
	return a
}

// release frees the slot and the connection of an attempt that ended.
func (g *Shard) release(a *attempt) {
	delete(g.attempts, a.id.Seq)
	g.timers.Remove(&a.timer)
	t := a.target
	last := len(t.attempts) - 1
	t.attempts[a.index] = t.attempts[last]
	t.attempts[a.index].index = a.index
	t.attempts[last] = nil
	t.attempts = t.attempts[:last]
	a.conn.attempt = nil
	if t.aloneRun == a {
		t.aloneRun = nil
	}
	if a.pending != nil {
		a.pending.removeActive(a)
	}
}

func (g *Shard) freeAttempt(a *attempt) {
	*a = attempt{}
	a.timer.Owner.attempt = a
	g.freeAttempts = append(g.freeAttempts, a)
}

// retry queues a sub-request again where that cannot run it twice, and refuses
// it otherwise.
func (g *Shard) retry(now time.Time, p *pending) {
	p.hedgeAt, p.silentAt = time.Time{}, time.Time{}
	safe := p.sub.Idempotent || p.worst == outcome.NotRun
	if !safe || p.attempts-p.refused >= maxAttempts || p.refused >= maxRefused || !now.Before(p.sub.Deadline) {
		g.refuse(now, p, p.cause, p.worst, p.reason)
		return
	}
	if !g.holds(now) {
		g.notHome(now, p)
		return
	}
	if r := g.hopeless(p); r != nil {
		g.finish(p, r)
		return
	}
	g.arm(p)
	if g.runsAlone(now, p) {
		g.queueAlone(now, p)
		return
	}
	g.queue.PushFront(p.sub.Workspace, &p.item)
}
