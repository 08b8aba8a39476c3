package route

import "time"

const (
	coldLatencyFactor  = 3  // an attempt is slow above this many times the long-term latency
	coldSlowStreak     = 5  // consecutive slow attempts; single stragglers are common, 5 in a row are not
	coldShedStreak     = 3  // consecutive shed answers that show a cold target
	minBaselineSamples = 32 // samples before the long-term latency is compared with
)

// ramp raises a limit from a start value to its full value in equal steps.
type ramp struct {
	start     int
	startedAt time.Time
	active    bool
}

// value returns the current value of a ramp that reaches full after duration, and
// the time of its next step, which is zero once the ramp has ended.
func (r *ramp) value(now time.Time, full int, duration time.Duration) (int, time.Time) {
	steps := full - r.start
	elapsed := now.Sub(r.startedAt)
	if !r.active || steps <= 0 || elapsed >= duration {
		r.active = false
		return full, time.Time{}
	}
	completed := max(int(int64(steps)*int64(elapsed)/int64(duration)), 0)
	next := r.startedAt.Add((time.Duration(completed+1)*duration + time.Duration(steps) - 1) / time.Duration(steps))
	return r.start + completed, next
}

// startCold limits a target to cold_slots, divided between the owners, and raises
// the limit to all slots over cold_ramp.
func (s *Shard) startCold(now time.Time, t *target) {
	t.coldRamp = ramp{start: s.assigned.Service.ColdSlots, startedAt: now, active: true}
	t.shedRamp = ramp{}
	t.slowStreak = 0
	s.updateAllowance(now, t)
	s.dirty, s.replicasChanged = true, true
}

// scaleToShare returns this owner's part of n slots of a target.
func (s *Shard) scaleToShare(n int) int { return s.assigned.Share.PartOf(n) }

// updateAllowance recomputes how many attempts may be in flight at a target.
func (s *Shard) updateAllowance(now time.Time, t *target) {
	share, rampDuration := s.assigned.Share.Slots, s.assigned.Service.ColdRamp
	total, coldGrowsAt := t.coldRamp.value(now, max(s.assigned.Service.Slots, 1), rampDuration)
	allowance := share
	if t.coldRamp.active {
		allowance = min(share, s.scaleToShare(total))
	}
	limit, shedGrowsAt := t.shedRamp.value(now, share, rampDuration)
	t.allowance = min(allowance, limit)
	t.allowanceGrowsAt = earlier(coldGrowsAt, shedGrowsAt)
	if !s.isOwner {
		t.allowance = 0
	}
}

// targetShed halves the allowance of a target that shed an attempt, but not below
// its cold allowance and not below one: the backoff after a shed answer limits
// the remaining load.
func (s *Shard) targetShed(now time.Time, t *target) {
	s.stats.Sheds++
	minAllowance := max(min(s.scaleToShare(s.assigned.Service.ColdSlots), t.allowance), 1)
	if half := max(t.allowance/2, minAllowance); half < t.allowance {
		t.shedRamp = ramp{start: half, startedAt: now, active: true}
	}
	s.updateAllowance(now, t)
	t.backOffAfterShed(now)
	if t.consecutiveSheds == coldShedStreak && !t.coldRamp.active {
		s.becameCold(now, t)
	}
	s.dirty = true
	s.emit(ProbeNow{Target: t.address})
}

// detectCold detects a target that became cold without a restart: coldSlowStreak
// consecutive attempts are slow while most other targets are not.
func (s *Shard) detectCold(now time.Time, t *target, d time.Duration) {
	if t.samples < minBaselineSamples || d <= coldLatencyFactor*t.baselineLatency {
		t.slowStreak = 0
		return
	}
	t.slowStreak++
	if t.slowStreak < coldSlowStreak || t.coldRamp.active || s.othersSlow(t) {
		return
	}
	s.becameCold(now, t)
}

// othersSlow reports whether at least half of the other usable targets are slow
// too. Then the cause is the work or the load, not the target.
func (s *Shard) othersSlow(t *target) bool {
	others, slow := 0, 0
	for _, o := range s.targets {
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

// becameCold handles a target that became cold without a restart.
func (s *Shard) becameCold(now time.Time, t *target) {
	s.stats.BecameCold++
	s.startCold(now, t)
}
