package route

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/outcome"
)

func (g *Shard) runsAlone(now time.Time, p *pending) bool {
	return p.sub.Isolated || g.suspects.has(now, p.sub.Fingerprint)
}

// queueAlone makes a suspect wait for a target of its own.
func (g *Shard) queueAlone(now time.Time, p *pending) {
	if len(g.alone) >= maxAlone {
		g.refuse(now, p, outcome.CodeOverloaded, outcome.NotRun, "too many requests wait to run alone after a crash")
		return
	}
	p.waitsAlone = true
	g.alone = append(g.alone, p)
}

// dispatchAlone runs suspects one at a time, each alone on a target. A target
// that is to become empty for that gets no other work until then.
func (g *Shard) dispatchAlone(now time.Time) {
	for len(g.alone) > 0 {
		p := g.alone[0]
		switch {
		case g.poisoned(now, p.sub.Fingerprint):
			g.refuse(now, p, outcome.CodePoisonRequest, outcome.NotRun, "the request crashed targets and is blocked")
			continue
		case !g.runsAlone(now, p):
			g.leaveAlone(p)
			g.queue.PushFront(p.sub.Workspace, &p.item)
			continue
		case !g.holds(now) || g.aloneRuns():
			return
		}
		t := g.emptiest(p)
		if t == nil {
			return
		}
		if t.inFlight() > 0 || !t.free(now) || t.idleConn() == nil {
			g.suspects.reserved = t
			return
		}
		g.leaveAlone(p)
		g.start(now, p, t, false)
		a := p.active[0]
		a.alone, t.aloneRun = true, a
	}
}

func (g *Shard) leaveAlone(p *pending) {
	p.waitsAlone = false
	g.alone = slices.DeleteFunc(g.alone, func(o *pending) bool { return o == p })
}

func (g *Shard) aloneRuns() bool {
	return slices.ContainsFunc(g.targets, func(t *target) bool { return t.aloneRun != nil })
}

// emptiest returns the target that can run p with the fewest attempts in
// flight, so that it is free for a suspect soonest.
func (g *Shard) emptiest(p *pending) *target {
	var best *target
	for _, t := range g.targets {
		if !t.usable || t.allowance == 0 || !t.has(p.sub.IndexVersion) {
			continue
		}
		if best == nil || t.inFlight() < best.inFlight() {
			best = t
		}
	}
	return best
}
