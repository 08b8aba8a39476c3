package route

import (
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// zoneReturnSpread is the time over which connections to the targets of a
// returned zone begin to open, so that the homes do not all connect at once.
const zoneReturnSpread = 200 * time.Millisecond

// assign takes over settings and share. A VM without a share keeps no target:
// running attempts finish, then their connections close.
func (g *Shard) assign(now time.Time, a Assign) {
	wasHome := g.isHome
	mapChanged := a.Service.PartitionMap != g.assigned.Service.PartitionMap
	g.assigned = a
	g.isHome = a.Share.Slots > 0
	g.queue.SetWeights(a.Weights)
	for _, t := range g.targets {
		t.listed = false
	}
	if g.isHome {
		for _, tc := range a.Shard.Targets {
			g.list(now, tc, wasHome)
		}
	}
	g.dirty, g.rescan = true, true
	if mapChanged {
		g.refuseOldMap()
	}
	if !g.isHome {
		g.refuseQueued(now)
	}
}

// list puts a target of the text into service. A target that joins a group
// which this VM already serves is new and starts cold; for a VM that has just
// become a home all targets are new to it, and only what they report counts.
func (g *Shard) list(now time.Time, tc config.Target, wasHome bool) {
	t, known := g.byName[tc.Address]
	if !known {
		t = newTarget(tc.Address)
		g.targets = append(g.targets, t)
		g.byName[tc.Address] = t
		g.emit(WatchTarget{Target: tc.Address})
	}
	out := g.assigned.ZonesOut[tc.Zone]
	switch {
	case !known && wasHome, known && !t.wasListed:
		g.startCold(now, t)
	case known && t.zoneOut && !out:
		g.startCold(now, t)
		t.retryAt = now.Add(time.Duration(g.jitter.Int63n(int64(zoneReturnSpread))))
	}
	t.zone, t.listed, t.wasListed, t.zoneOut = tc.Zone, true, true, out
}

// refuseOldMap returns waiting work that was planned with another partition map.
func (g *Shard) refuseOldMap() {
	g.eachWaiting(func(p *pending) {
		if p.sub.PartitionMap != g.assigned.Service.PartitionMap {
			g.finish(p, &scatter.SubReply{Status: scatter.PartitionMapChanged})
		}
	})
}

// refuseQueued returns all waiting work, because this VM may not run it.
func (g *Shard) refuseQueued(now time.Time) {
	g.eachWaiting(func(p *pending) { g.notHome(now, p) })
}

// notHome sends work to another home, unless an earlier attempt may have run it.
func (g *Shard) notHome(now time.Time, p *pending) {
	if p.worst == outcome.NotRun || p.sub.Idempotent {
		g.finish(p, &scatter.SubReply{Status: scatter.NotOwner})
		return
	}
	g.refuse(now, p, outcome.CodeNoHome, outcome.NotRun, "this VM is not a home of the group any more")
}

// eachWaiting calls fn for everything that waits for a target.
func (g *Shard) eachWaiting(fn func(*pending)) {
	g.queue.Each(func(i *queueItem) { fn(i.Value) })
	for n := len(g.alone) - 1; n >= 0; n-- {
		if n < len(g.alone) {
			fn(g.alone[n])
		}
	}
}

// recheckQueue returns work for which no replica is left or can come in time.
func (g *Shard) recheckQueue(now time.Time) {
	if !g.holds(now) {
		return
	}
	g.eachWaiting(func(p *pending) {
		if r := g.hopeless(p); r != nil {
			g.finish(p, r)
		}
	})
}

// hopeless returns the reply for work that no replica can run before its
// deadline, nil when one can or may.
func (g *Shard) hopeless(p *pending) *scatter.SubReply {
	usable, mayCome := false, false
	for _, t := range g.targets {
		switch {
		case !t.usable:
			mayCome = mayCome || t.mayReturn()
		case t.has(p.sub.IndexVersion):
			if t.allowance > 0 || !t.growsAt.IsZero() && t.growsAt.Before(p.sub.Deadline) {
				return nil
			}
			usable = true
		default:
			usable = true
		}
	}
	switch {
	case usable && !g.hasVersion(p.sub.IndexVersion):
		return &scatter.SubReply{Status: scatter.VersionGone}
	case mayCome && !usable:
		return nil
	}
	return &scatter.SubReply{Status: scatter.Refused, Refusal: outcome.New(outcome.CodeNoReplica, p.worst,
		"group %s/%s has no replica that can take the request", g.id.Service, g.id.Shard)}
}

func (g *Shard) hasVersion(v uint64) bool {
	for _, have := range g.versions {
		if have == v {
			return true
		}
	}
	return false
}
