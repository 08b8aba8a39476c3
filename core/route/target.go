package route

import (
	"slices"
	"time"
)

const (
	loadMaxAge      = 2 * time.Second       // an older load report is ignored
	probeFailures   = 2                     // status reads in a row that fail before a target counts as unreachable
	answerFresh     = time.Second           // an answer within this time outweighs failed status reads
	latencyStale    = 2 * time.Second       // a target without a sample for longer is tried again
	shedPauseFirst  = 10 * time.Millisecond // pause after a shed answer; doubles with each one in a row
	shedPauseLast   = time.Second
	picksKept       = 256  // picks that the balance between targets looks back on
	failurePenalty  = 4    // a failed attempt counts as this many times the p99
	latencyClose    = 1.25 // latencies within this factor count as equal
	baselineSamples = 64   // samples of the long-term latency of a target
)

// target is one replica as this home sees it.
type target struct {
	address   string
	zone      string
	listed    bool // in the text, and this VM is a home of the group
	wasListed bool
	zoneOut   bool

	known    bool // a status was read
	reached  bool
	failures int // status reads in a row that failed
	status   TargetStatus
	statusAt time.Time // when the newest status read began
	boot     string
	oldBoot  string // boot id before the last restart; a lagging status may still show it
	bootAt   time.Time
	answerAt time.Time // last answer to an attempt

	usable    bool      // may get attempts, apart from slots and connections
	allowance int       // attempts that may be in flight
	growsAt   time.Time // next step of the allowance; zero when it does not grow by itself
	cold      ramp
	shed      ramp

	attempts   []*attempt
	doubts     []doubt
	conns      []*conn
	verifyFrom time.Time // connections need a status read that began after this
	retryAt    time.Time // no connection is opened before
	retries    int       // connections in a row that failed
	aloneRun   *attempt  // a suspect runs here alone

	picks      int
	latency    time.Duration // recent
	baseline   time.Duration // long-term
	samples    int
	sampleAt   time.Time
	slowStreak int
	sheds      int // in a row
	pauseUntil time.Time
}

func newTarget(address string) *target { return &target{address: address} }

func (t *target) inFlight() int { return len(t.attempts) }

func (t *target) has(version uint64) bool { return slices.Contains(t.status.IndexVersions, version) }

// mayReturn reports whether a target that is not usable can become so without
// a change of the text.
func (t *target) mayReturn() bool {
	return t.listed && !t.zoneOut && (!t.known || !t.reached || t.status.State != TargetDraining)
}

func (g *Shard) usable(t *target) bool {
	return t.listed && !t.zoneOut && t.known && t.reached && t.status.State != TargetDraining &&
		t.status.PartitionMap == g.assigned.Service.PartitionMap &&
		(t.status.Shard == "" || t.status.Shard == g.id.Shard)
}

// upkeepTarget recomputes what g knows of one target and its connections.
func (g *Shard) upkeepTarget(now time.Time, t *target) {
	if usable := g.usable(t); usable != t.usable {
		t.usable, g.rescan = usable, true
	}
	g.expireDoubts(now, t)
	g.allow(now, t)
	if !t.growsAt.IsZero() {
		g.wake(t.growsAt)
	}
	if t.pauseUntil.After(now) {
		g.wake(t.pauseUntil)
	}
	g.keepConns(now, t)
}

// dropRetired forgets targets that left the text and have nothing left.
func (g *Shard) dropRetired() {
	kept := g.targets[:0]
	for _, t := range g.targets {
		if t.listed || len(t.attempts) > 0 || len(t.conns) > 0 || len(t.doubts) > 0 {
			kept = append(kept, t)
			continue
		}
		delete(g.byName, t.address)
		g.emit(DropTarget{Target: t.address})
	}
	clear(g.targets[len(kept):])
	g.targets = kept
}

// collectVersions makes a new list, because replies hold the old one.
func (g *Shard) collectVersions() {
	var all []uint64
	for _, t := range g.targets {
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
	g.versions = all
}

func (g *Shard) probed(now time.Time, ev Probed) {
	t := g.byName[ev.Target]
	if t == nil {
		return
	}
	g.dirty = true
	if ev.Failed {
		g.probeFailed(now, t, ev.Refused)
		return
	}
	t.failures = 0
	if ev.Began.After(g.answerAt) {
		g.answerAt = ev.Began
	}
	if t.known && ev.Status.BootID == t.oldBoot && ev.Status.BootID != t.boot {
		return // a lagging status of the process before the restart
	}
	if t.known && ev.Status.BootID != t.boot {
		g.restarted(now, t, ev.Status.BootID)
	}
	if !t.known {
		t.boot = ev.Status.BootID
	}
	if ev.Status.State == TargetCold && (!t.known || t.status.State != TargetCold) {
		g.startCold(now, t)
	}
	g.rescan = g.rescan || !slices.Equal(t.status.IndexVersions, ev.Status.IndexVersions)
	t.known, t.reached = true, true
	t.status, t.statusAt = ev.Status, ev.Began
	g.verify(t, ev.Began)
	g.acquit(now, t, ev.Began)
}

// probeFailed notes a failed status read. A target that answers attempts is
// not held unreachable because its status is slow.
func (g *Shard) probeFailed(now time.Time, t *target, refused bool) {
	t.failures++
	if refused {
		g.crashEvidence(now, t)
	}
	if refused || t.failures >= probeFailures && now.Sub(t.answerAt) > answerFresh {
		t.reached = false
	}
}

// restarted notes another boot id: the target is cold, its connections must be
// verified again, and what was lost on the way was lost in a crash.
func (g *Shard) restarted(now time.Time, t *target, boot string) {
	t.oldBoot, t.boot, t.bootAt = t.boot, boot, now
	t.verifyFrom = now
	for _, c := range t.conns {
		if c.state == connReady {
			c.state = connUnverified
		}
	}
	t.forgetLatency()
	g.startCold(now, t)
	g.crashEvidence(now, t)
	g.emit(ProbeNow{Target: t.address})
	g.dirty = true
}

func (t *target) forgetLatency() {
	t.latency, t.baseline, t.samples, t.slowStreak = 0, 0, 0, 0
}

// sample records how long an attempt took, or how long it had taken when it was
// cancelled: then only a value above the estimate says anything.
func (t *target) sample(now time.Time, d time.Duration, complete bool) {
	if !complete && d <= t.latency {
		return
	}
	if t.samples == 0 {
		t.baseline = d
	}
	if t.samples == 0 || now.Sub(t.sampleAt) > latencyStale {
		t.latency = d // an average with a stale estimate would keep a healed target away for long
	}
	t.sampleAt = now
	t.samples++
	t.latency += (d - t.latency) / 4
	t.baseline += (d - t.baseline) / time.Duration(min(t.samples, baselineSamples))
}

// estimate is the latency expected of a target; zero when it is not known, so
// that a target without recent samples is tried again.
func (t *target) estimate(now time.Time) time.Duration {
	if now.Sub(t.sampleAt) > latencyStale {
		return 0
	}
	return t.latency
}

// load returns the reported load, if it may be used: it is recent and does not
// claim less work than this home alone has in flight.
func (g *Shard) load(now time.Time, t *target) (float64, bool) {
	if now.Sub(t.statusAt) > loadMaxAge {
		return 0, false
	}
	own := float64(t.inFlight()) / float64(max(g.assigned.Service.Slots, 1))
	return t.status.Load, t.status.Load >= own && t.status.Load <= 1
}

// better reports whether a is to be preferred to b: fewer of our own attempts
// in flight, then the lower latency by our own measurement, then the balance of
// picks, and the reported load only while the picks are in balance. A target
// that lies about its load thus gains or loses no more than a factor of two.
func (g *Shard) better(now time.Time, a, b *target) bool {
	if a.inFlight() != b.inFlight() {
		return a.inFlight() < b.inFlight()
	}
	la, lb := a.estimate(now), b.estimate(now)
	if float64(la) > latencyClose*float64(lb) || float64(lb) > latencyClose*float64(la) {
		return la < lb
	}
	if g.balanced(a) && g.balanced(b) {
		loadA, okA := g.load(now, a)
		loadB, okB := g.load(now, b)
		if okA && okB && loadA != loadB {
			return loadA < loadB
		}
	}
	return a.picks < b.picks
}

// balanced reports whether a target's part of the recent picks is between half
// and twice an equal part.
func (g *Shard) balanced(t *target) bool {
	n := len(g.targets)
	return 2*t.picks*n >= g.picks && t.picks*n <= 2*g.picks
}

func (g *Shard) countPick(t *target) {
	t.picks++
	g.picks++
	if g.picks < picksKept {
		return
	}
	g.picks = 0
	for _, t := range g.targets {
		t.picks /= 2
		g.picks += t.picks
	}
}

// pauseAfterShed keeps attempts away from a target that refused one.
func (t *target) pauseAfterShed(now time.Time) {
	pause := shedPauseFirst << min(t.sheds, 10)
	t.pauseUntil = now.Add(min(pause, shedPauseLast))
	t.sheds++
}

// free reports whether a target can take another attempt now.
func (t *target) free(now time.Time) bool {
	return t.usable && t.aloneRun == nil && t.inFlight() < t.allowance && !now.Before(t.pauseUntil)
}

// penalize makes a target that failed look slow without touching its long-term
// latency, so that fast failures draw no traffic.
func (t *target) penalize(now time.Time, d time.Duration) {
	t.sampleAt = now
	t.latency += (d - t.latency) / 4
}
