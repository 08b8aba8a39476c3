package route

import (
	"slices"
	"time"
)

const (
	loadMaxAge           = 2 * time.Second       // older load reports are ignored
	maxFailedProbes      = 2                     // consecutive failed status reads that make a target unreachable
	recentAnswerAge      = time.Second           // an answered attempt keeps a target reachable for this time despite failed status reads
	latencyMaxAge        = 2 * time.Second       // older latency samples are ignored, so that the target is tried again
	minShedBackoff       = 10 * time.Millisecond // without attempts after a shed answer; doubles with each consecutive one
	maxShedBackoff       = time.Second
	pickWindow           = 256  // all pick counts are halved when their sum reaches this
	failurePenaltyFactor = 4    // a failed attempt counts as a latency of this many times the p99
	latencyTolerance     = 1.25 // latencies within this factor of each other count as equal
	baselineSamples      = 64   // window, in samples, of the long-term average latency
)

// target is the state of one replica as seen by this owner.
type target struct {
	address       string
	zone          string
	configured    bool // in the current configuration, and this VM owns the shard
	wasConfigured bool // was configured by any Assignment so far
	zoneOut       bool // its zone is taken out of service

	statusKnown    bool // a status has been read
	reachable      bool
	failedProbes   int // consecutive
	status         TargetStatus
	statusReadAt   time.Time // when the newest status read began
	bootID         string
	previousBootID string // before the last restart; a stale status may still show it
	restartedAt    time.Time
	lastAnswerAt   time.Time // to an attempt

	usable           bool      // result of isUsable in the last maintenance; ignores slots and connections
	allowance        int       // max attempts in flight
	allowanceGrowsAt time.Time // next step of a ramp; zero when no ramp is active
	coldRamp         ramp      // after a cold start, for all owners together
	shedRamp         ramp      // after a shed answer

	attempts        []*attempt
	lostAttempts    []lostAttempt // unresolved: the target may have crashed
	conns           []*conn
	verifyFrom      time.Time // connections are verified by status reads that began at this time or later
	reconnectAt     time.Time // no connection is opened before this time
	failedConnects  int       // consecutive connections that failed before they were verified
	isolatedAttempt *attempt  // runs without other attempts on the target; nil when none

	picks            int           // attempts started, decayed by countPick
	recentLatency    time.Duration // exponential moving average with weight 1/4
	baselineLatency  time.Duration // moving average over baselineSamples
	samples          int
	sampledAt        time.Time
	slowStreak       int // consecutive attempts far above baselineLatency
	consecutiveSheds int
	backoffUntil     time.Time // no attempts before, after a shed answer
}

func newTarget(address string) *target { return &target{address: address} }

func (t *target) inFlight() int { return len(t.attempts) }

func (t *target) hasVersion(version uint64) bool {
	return slices.Contains(t.status.IndexVersions, version)
}

// mayBecomeUsable reports whether an unusable target may become usable without a
// change of the configuration.
func (t *target) mayBecomeUsable() bool {
	return t.configured && !t.zoneOut && (!t.statusKnown || !t.reachable || t.status.State != TargetDraining)
}

// isUsable reports whether a target may get attempts: it is configured, reachable,
// not draining, and reports the shard and partition map of the configuration.
func (s *Shard) isUsable(t *target) bool {
	return t.configured && !t.zoneOut && t.statusKnown && t.reachable && t.status.State != TargetDraining &&
		t.status.PartitionMap == s.assigned.Service.PartitionMap &&
		(t.status.Shard == "" || t.status.Shard == s.id.Shard)
}

// maintainTarget recomputes the state of one target and its connections.
func (s *Shard) maintainTarget(now time.Time, t *target) {
	if usable := s.isUsable(t); usable != t.usable {
		t.usable, s.replicasChanged = usable, true
	}
	s.expireLostAttempts(now, t)
	s.updateAllowance(now, t)
	if !t.allowanceGrowsAt.IsZero() {
		s.scheduleMaintenance(t.allowanceGrowsAt)
	}
	if t.backoffUntil.After(now) {
		s.scheduleMaintenance(t.backoffUntil)
	}
	s.adjustConns(now, t)
}

// removeRetired removes targets that left the configuration once they have no
// attempts and connections left.
func (s *Shard) removeRetired() {
	kept := s.targets[:0]
	for _, t := range s.targets {
		if t.configured || len(t.attempts) > 0 || len(t.conns) > 0 || len(t.lostAttempts) > 0 {
			kept = append(kept, t)
			continue
		}
		delete(s.byAddress, t.address)
		s.emit(UnwatchTarget{Target: t.address})
	}
	clear(s.targets[len(kept):])
	s.targets = kept
}

// collectVersions recomputes versions. It makes a new slice, because replies alias
// the old one.
func (s *Shard) collectVersions() {
	var all []uint64
	for _, t := range s.targets {
		if t.usable {
			all = append(all, t.status.IndexVersions...)
		}
	}
	slices.Sort(all)
	all = slices.Compact(all)
	slices.Reverse(all)
	if all == nil {
		all = []uint64{}
	}
	s.versions = all
}

// handleProbe applies a status read to its target. A new boot id is evidence of a
// restart; an unchanged one verifies connections and clears earlier lost attempts.
func (s *Shard) handleProbe(now time.Time, ev ProbeResult) {
	t := s.byAddress[ev.Target]
	if t == nil {
		return
	}
	s.dirty = true
	if ev.Failed {
		s.probeFailed(now, t, ev.Refused)
		return
	}
	t.failedProbes = 0
	if ev.Began.After(s.lastAnswerAt) {
		s.lastAnswerAt = ev.Began
	}
	if t.statusKnown && ev.Status.BootID == t.previousBootID && ev.Status.BootID != t.bootID {
		return // a stale status from before the restart
	}
	if t.statusKnown && ev.Status.BootID != t.bootID {
		s.targetRestarted(now, t, ev.Status.BootID)
	}
	if !t.statusKnown {
		t.bootID = ev.Status.BootID
	}
	if ev.Status.State == TargetCold && (!t.statusKnown || t.status.State != TargetCold) {
		s.startCold(now, t)
	}
	s.replicasChanged = s.replicasChanged || !slices.Equal(t.status.IndexVersions, ev.Status.IndexVersions)
	t.statusKnown, t.reachable = true, true
	t.status, t.statusReadAt = ev.Status, ev.Began
	s.verifyConns(t, ev.Began)
	s.settleAsConnLoss(now, t, ev.Began)
}

// probeFailed records a failed status read. A target that answers attempts does
// not count as unreachable because its status reads are slow.
func (s *Shard) probeFailed(now time.Time, t *target, refused bool) {
	t.failedProbes++
	if refused {
		s.targetCrashed(now, t)
	}
	if refused || t.failedProbes >= maxFailedProbes && now.Sub(t.lastAnswerAt) > recentAnswerAge {
		t.reachable = false
	}
}

// targetRestarted handles a new boot id: the target is cold, its connections must
// be verified again, and its lost attempts were lost in a crash.
func (s *Shard) targetRestarted(now time.Time, t *target, bootID string) {
	t.previousBootID, t.bootID, t.restartedAt = t.bootID, bootID, now
	t.verifyFrom = now
	for _, c := range t.conns {
		if c.state == connReady {
			c.state = connUnverified
		}
	}
	t.resetLatency()
	s.startCold(now, t)
	s.targetCrashed(now, t)
	s.emit(ProbeNow{Target: t.address})
	s.dirty = true
}

func (t *target) resetLatency() {
	t.recentLatency, t.baselineLatency, t.samples, t.slowStreak = 0, 0, 0, 0
}

// recordLatency records the duration of an attempt, or the time until it was
// cancelled. The latter is a lower bound, which is ignored unless it exceeds the
// current estimate.
func (t *target) recordLatency(now time.Time, d time.Duration, complete bool) {
	if !complete && d <= t.recentLatency {
		return
	}
	if t.samples == 0 {
		t.baselineLatency = d
	}
	if t.samples == 0 || now.Sub(t.sampledAt) > latencyMaxAge {
		t.recentLatency = d // averaging with a stale estimate would keep a recovered target unused for long
	}
	t.sampledAt = now
	t.samples++
	t.recentLatency += (d - t.recentLatency) / 4
	t.baselineLatency += (d - t.baselineLatency) / time.Duration(min(t.samples, baselineSamples))
}

// expectedLatency returns the expected latency of a target. It is zero without
// recent samples, so that the target is tried again.
func (t *target) expectedLatency(now time.Time) time.Duration {
	if now.Sub(t.sampledAt) > latencyMaxAge {
		return 0
	}
	return t.recentLatency
}

// usableLoad returns the load that a target reports, and whether it can be
// trusted: it is recent, at most 1 and not below the load of this owner alone.
func (s *Shard) usableLoad(now time.Time, t *target) (float64, bool) {
	if now.Sub(t.statusReadAt) > loadMaxAge {
		return 0, false
	}
	ownLoad := float64(t.inFlight()) / float64(max(s.assigned.Service.Slots, 1))
	return t.status.Load, t.status.Load >= ownLoad && t.status.Load <= 1
}

// better reports whether target a is preferred to b. It compares in this order:
// this owner's attempts in flight, the latency it measured, the reported load if
// the picks of both are balanced, and the number of picks. A target that reports
// a false load thus gains or loses at most a factor of two.
func (s *Shard) better(now time.Time, a, b *target) bool {
	if a.inFlight() != b.inFlight() {
		return a.inFlight() < b.inFlight()
	}
	la, lb := a.expectedLatency(now), b.expectedLatency(now)
	if float64(la) > latencyTolerance*float64(lb) || float64(lb) > latencyTolerance*float64(la) {
		return la < lb
	}
	if s.picksBalanced(a) && s.picksBalanced(b) {
		loadA, okA := s.usableLoad(now, a)
		loadB, okB := s.usableLoad(now, b)
		if okA && okB && loadA != loadB {
			return loadA < loadB
		}
	}
	return a.picks < b.picks
}

// picksBalanced reports whether a target's part of the recent picks is between
// half and twice an equal part.
func (s *Shard) picksBalanced(t *target) bool {
	n := len(s.targets)
	return 2*t.picks*n >= s.picks && t.picks*n <= 2*s.picks
}

// countPick counts a started attempt and halves all counts at pickWindow, so that
// old picks lose weight.
func (s *Shard) countPick(t *target) {
	t.picks++
	s.picks++
	if s.picks < pickWindow {
		return
	}
	s.picks = 0
	for _, t := range s.targets {
		t.picks /= 2
		s.picks += t.picks
	}
}

// backOffAfterShed starts no attempts on a target for a while after it shed one.
func (t *target) backOffAfterShed(now time.Time) {
	backoff := minShedBackoff << min(t.consecutiveSheds, 10)
	t.backoffUntil = now.Add(min(backoff, maxShedBackoff))
	t.consecutiveSheds++
}

// available reports whether a target has a free slot and is not backing off.
func (t *target) available(now time.Time) bool {
	return t.usable && t.isolatedAttempt == nil && t.inFlight() < t.allowance && !now.Before(t.backoffUntil)
}

// penalize raises the recent latency of a target that failed, so that fast failures
// attract no traffic. The long-term latency is unchanged.
func (t *target) penalize(now time.Time, d time.Duration) {
	t.sampledAt = now
	t.recentLatency += (d - t.recentLatency) / 4
}
