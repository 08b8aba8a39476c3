package route

import "time"

const (
	coldAgainFactor = 3 // slower than this many times the long-term latency is suspicious
	coldAgainStreak = 5 // such attempts in a row; single stragglers are common, 5 in a row are not
	coldAgainSheds  = 3 // shed answers in a row
	warmSamples     = 32
)

// ramp raises an allowance from a start value in equal steps over a time.
type ramp struct {
	from   int
	began  time.Time
	active bool
}

// at returns the value on the way to full, and when the next step comes.
func (r *ramp) at(now time.Time, full int, over time.Duration) (int, time.Time) {
	steps := full - r.from
	elapsed := now.Sub(r.began)
	if !r.active || steps <= 0 || elapsed >= over {
		r.active = false
		return full, time.Time{}
	}
	done := max(int(int64(steps)*int64(elapsed)/int64(over)), 0)
	next := r.began.Add((time.Duration(done+1)*over + time.Duration(steps) - 1) / time.Duration(steps))
	return r.from + done, next
}

// startCold makes a target start with cold_slots, of which each home has its part.
func (g *Shard) startCold(now time.Time, t *target) {
	t.cold = ramp{from: g.assigned.Service.ColdSlots, began: now, active: true}
	t.shed = ramp{}
	t.slowStreak = 0
	g.allow(now, t)
	g.dirty, g.rescan = true, true
}

// part is this home's part of n slots of a target.
func (g *Shard) part(n int) int { return g.assigned.Share.Scale(n) }

// allow computes how many attempts may be in flight at a target.
func (g *Shard) allow(now time.Time, t *target) {
	share, over := g.assigned.Share.Slots, g.assigned.Service.ColdRamp
	total, grows := t.cold.at(now, max(g.assigned.Service.Slots, 1), over)
	allowance := share
	if t.cold.active {
		allowance = min(share, g.part(total))
	}
	limit, shedGrows := t.shed.at(now, share, over)
	t.allowance = min(allowance, limit)
	t.growsAt = earlier(grows, shedGrows)
	if !g.isHome {
		t.allowance = 0
	}
}

// shedding halves the allowance of a target that refused an attempt, down to
// its cold allowance, but not below one: the pause after a shed bounds the rest.
func (g *Shard) shedding(now time.Time, t *target) {
	g.stats.Sheds++
	least := max(min(g.part(g.assigned.Service.ColdSlots), t.allowance), 1)
	if half := max(t.allowance/2, least); half < t.allowance {
		t.shed = ramp{from: half, began: now, active: true}
	}
	g.allow(now, t)
	t.pauseAfterShed(now)
	if t.sheds == coldAgainSheds && !t.cold.active {
		g.coldAgain(now, t)
	}
	g.dirty = true
	g.emit(ProbeNow{Target: t.address})
}

// watchLatency notices a target that turned cold without a restart: several
// attempts in a row far slower than usual, while other targets are as usual.
func (g *Shard) watchLatency(now time.Time, t *target, d time.Duration) {
	if t.samples < warmSamples || d <= coldAgainFactor*t.baseline {
		t.slowStreak = 0
		return
	}
	t.slowStreak++
	if t.slowStreak < coldAgainStreak || t.cold.active || g.othersSlow(t) {
		return
	}
	g.coldAgain(now, t)
}

// othersSlow reports whether half of the other usable targets are slow too: then
// the work or the load is the cause.
func (g *Shard) othersSlow(t *target) bool {
	others, slow := 0, 0
	for _, o := range g.targets {
		if o == t || !o.usable {
			continue
		}
		others++
		if o.slowStreak > 1 {
			slow++
		}
	}
	return 2*slow >= others
}

func (g *Shard) coldAgain(now time.Time, t *target) {
	g.stats.ColdAgain++
	g.startCold(now, t)
}
