package serve

import "time"

// attemptTime returns how long an attempt at a target would take if it started now.
// median is that of the route.
func (e *Engine) attemptTime(now time.Time, t *target, median time.Duration) time.Duration {
	present, slots := float64(len(t.running))+t.otherVMsLoad(now), float64(t.slots())
	return time.Duration(float64(t.unloadedTime(now, median)) * (1 + max(present+1-slots, 0)/slots))
}

// unloadedTime returns how long an attempt would take without other requests at the
// target.
func (t *target) unloadedTime(now time.Time, median time.Duration) time.Duration {
	slowness := t.expectedSlowness(now)
	if now.Sub(t.sampleAt) <= slownessValidity && t.window.slowdown > 0 {
		slowness = t.window.slowdown
	}
	return time.Duration(float64(median) * slowness)
}
