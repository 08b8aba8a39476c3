package serve

import (
	"math"
	"time"
)

const (
	// A stated pace is bounded, so that one false figure neither attracts all work nor
	// keeps it away. The highest one measured was 8.1.
	minPace = 0.25
	maxPace = 16.0
	// maxPlausiblePace is the pace above which a figure is taken as false and ignored.
	maxPlausiblePace = 100.0
	// paceHalfLife is the time in which a stated pace loses half of its weight to the
	// mean: on some days the pace changes within 600 ms.
	paceHalfLife = 300 * time.Millisecond
	// meanPacePeriod is the time over which the pace is averaged. A figure counts for
	// the time since the one before, up to silenceTolerance.
	meanPacePeriod = 10 * time.Second
	// A target that was not heard from for silenceTolerance is expected to be faster
	// by half for each optimismHalfLife, down to minSilentPace, so that it is tried
	// again whatever it stated last.
	silenceTolerance = 2 * time.Second
	optimismHalfLife = 5 * time.Second
	minSilentPace    = 0.5
	// highestSlowness is that of an attempt of maxSlowness medians at a target of the
	// highest pace that ceases to state it. A target that states others at random can't
	// exceed it.
	highestSlowness = maxSlowness * maxPace
	// maxAttemptTime bounds the expected time of an attempt, so that sums and products
	// of it don't overflow, whatever queue a target reports.
	maxAttemptTime = time.Hour
	// minMedian bounds the median that latencies are compared with.
	minMedian = time.Millisecond
)

// speed is what this VM knows about how fast a target works. The pace is the figure
// that the target states; slowness is measured and free of it: the mean of latency /
// (median of the route x pace).
type speed struct {
	slowness float64
	sampleAt time.Time // of the last sample of slowness
	pace     float64   // last stated pace, bounded; zero if the last answer had none
	paceAt   time.Time
	meanPace float64
}

// usablePace returns a stated pace within its bounds, or zero if it is not stated or
// not plausible.
func usablePace(stated float64) float64 {
	if math.IsNaN(stated) || stated <= 0 || stated > maxPlausiblePace {
		return 0
	}
	return min(max(stated, minPace), maxPace)
}

// statePace records the pace that an answer states, zero if it states none. The
// expected time of an attempt stays the same when a target begins or ceases to
// state its pace: the measured slowness takes over what the pace explained.
func (s *speed) statePace(now time.Time, stated float64) {
	pace := usablePace(stated)
	switch {
	case pace == 0:
		s.slowness = min(s.slowness*s.expectedPace(now), highestSlowness)
		s.pace, s.paceAt, s.meanPace = 0, time.Time{}, 0
		return
	case s.pace == 0:
		s.slowness = min(s.slowness/pace, highestSlowness)
		s.meanPace = pace
	default:
		span := s.paceAge(now)
		if span > silenceTolerance {
			// A mean from before a silence would keep a target out that has recovered.
			s.meanPace, span = min(s.meanPace, max(s.expectedPace(now), pace)), silenceTolerance
		}
		s.meanPace += (pace - s.meanPace) * (1 - math.Exp(-span.Seconds()/meanPacePeriod.Seconds()))
	}
	s.pace, s.paceAt = pace, now
}

// statesPace reports whether the target's last answer stated a usable pace.
func (s *speed) statesPace() bool { return s.pace > 0 }

// expectedPace returns the pace expected now: the stated one first, its mean as the
// figure ages, and less than the mean after a long silence. It is 1 for a target that
// states none.
func (s *speed) expectedPace(now time.Time) float64 {
	if !s.statesPace() {
		return 1
	}
	age := s.paceAge(now)
	pace := s.meanPace + (s.pace-s.meanPace)*halvings(age, paceHalfLife)
	if age <= silenceTolerance {
		return pace
	}
	return min(pace, max(pace*halvings(age-silenceTolerance, optimismHalfLife), minSilentPace))
}

// paceAge returns the time since the pace was stated, zero if it is not.
func (s *speed) paceAge(now time.Time) time.Duration {
	if !s.statesPace() {
		return 0
	}
	return max(now.Sub(s.paceAt), 0)
}

// halvings returns the factor by which a quantity falls in a time.
func halvings(d, halfLife time.Duration) float64 {
	return math.Exp2(-d.Seconds() / halfLife.Seconds())
}

// recordSlowness records the latency of an attempt at a pace, where median is that of
// the route at pace 1. The latency counts as maxSlowness medians at most, or as many
// times more as the target is slow, since an attempt that met a pause of the target
// says nothing about the next ones.
func (s *speed) recordSlowness(now time.Time, latency, median time.Duration, pace float64) {
	ratio := min(float64(latency)/float64(max(median, minMedian)), maxSlowness*max(pace, 1)) / pace
	if s.sampleAt.IsZero() || now.Sub(s.sampleAt) > slownessValidity {
		s.slowness = ratio
	}
	s.sampleAt = now
	s.slowness += (ratio - s.slowness) / 8
}

// expectedSlowness returns the mean slowness of recent attempts. It is 1 without
// recent samples, so that a target that was slow is tried again.
func (s *speed) expectedSlowness(now time.Time) float64 {
	if !s.isMeasured(now) {
		return 1
	}
	return s.slowness
}

// isMeasured reports whether there are recent samples of the slowness.
func (s *speed) isMeasured(now time.Time) bool {
	return !s.sampleAt.IsZero() && now.Sub(s.sampleAt) <= slownessValidity
}

// attemptTime estimates how long an attempt that starts now would take at a target:
// the time to run it, and the time until the requests ahead of it leave a slot. median
// is that of the route at pace 1.
func (e *Engine) attemptTime(now time.Time, t *target, median time.Duration) time.Duration {
	return t.withRequestsAhead(now, t.runTime(now, median))
}

// withRequestsAhead adds the time until the requests ahead of an attempt leave a slot
// to the time that it runs, in nanoseconds.
func (t *target) withRequestsAhead(now time.Time, run float64) time.Duration {
	ahead, slots := t.requestsAhead(now), float64(t.slots())
	return time.Duration(min(run*(1+max(ahead+1-slots, 0)/slots), float64(maxAttemptTime)))
}

// runTime estimates how long a request runs at the target once it has a slot, in
// nanoseconds. A cold target is slower; one that states its pace counts as slower
// only until it is measured, as the pace and the samples contain it then.
func (t *target) runTime(now time.Time, median time.Duration) float64 {
	unit := float64(median) * t.expectedSlowness(now) * t.expectedPace(now)
	if now.Before(t.coldUntil) && !(t.statesPace() && t.isMeasured(now)) {
		unit *= coldSlowdown
	}
	return unit
}

// unloadedTime estimates how long an attempt would take without other requests at the
// target. At a target that states no pace, the time that requests spend in its queue is
// taken from the measured latencies.
func (t *target) unloadedTime(now time.Time, median time.Duration) time.Duration {
	if !t.statesPace() && t.isMeasured(now) && t.window.slowdown > 0 {
		return time.Duration(float64(median) * t.window.slowdown)
	}
	return time.Duration(t.runTime(now, median))
}

// recordLatency records the latency of an attempt that was answered, in the
// measurements of its route, service and target.
func (a *attempt) recordLatency(now time.Time, latency time.Duration) {
	t := a.target
	pace := t.expectedPace(now)
	atPace1 := time.Duration(float64(latency) / pace)
	a.route.latency.Record(latency)
	a.route.atPace1.Record(atPace1)
	t.service.recordAttemptTime(latency, atPace1)
	t.recordSlowness(now, latency, a.route.atPace1.P50, pace)
}

// expectedAttempt returns the mean time of an attempt at the targets that can be used
// now, where a faster target gets more of the attempts.
func (s *service) expectedAttempt(now time.Time) time.Duration {
	targets, perPace := 0.0, 0.0
	for _, t := range s.targets {
		if t.usable(now) && !t.backsOff(now) {
			targets++
			perPace += 1 / t.expectedPace(now)
		}
	}
	if targets == 0 || s.meanAtPace1 == 0 {
		return s.meanAttempt
	}
	return time.Duration(float64(s.meanAtPace1) * targets / perPace)
}

// mean adds a sample to a mean of meanAttemptSamples.
func mean(m, sample time.Duration) time.Duration {
	if m == 0 {
		m = sample
	}
	return m + (sample-m)/meanAttemptSamples
}
