package admit

import (
	"math"
	"time"
)

const (
	// slowTimeConstant is the time after which a request has the weight 1/e in
	// the slow average. It is long enough to smooth single requests.
	slowTimeConstant = 2 * time.Second

	// fastTimeConstant is that of a second, fast average that shows changes
	// earlier. When callers move to another VM, the slow average alone reaches half
	// of their rate only after 1.4 s, and requests inside the rate are refused
	// meanwhile.
	fastTimeConstant = 500 * time.Millisecond

	// maxDeviations is how far the slow average may be from the fast one, in
	// standard deviations of the fast average at Poisson arrivals. At 2.5 the slow
	// average of a steady demand is as smooth as without this limit.
	maxDeviations = 2.5

	// minCountBound is the minimum of the upper bound that clamp sets on the slow
	// count, in requests. Below it only the decay reduces the slow count, since the
	// fast average falls to zero too soon after a single request.
	minCountBound = 1.0

	// minDemandPerSecond is the rate below which a workspace counts as idle.
	// Without it a VM that had one request keeps the only token of a small
	// workspace for minutes after its callers moved to another VM.
	minDemandPerSecond = 0.01
)

// demand is an exponentially weighted moving average of the offered requests.
// It follows a change at once if the change exceeds the random variation of a
// steady rate.
type demand struct {
	updatedAt time.Time
	slowCount float64 // decayed number of requests, with slowTimeConstant
	fastCount float64 // decayed number of requests, with fastTimeConstant
}

// record counts a request that is offered at now.
func (d *demand) record(now time.Time) {
	d.decay(now)
	d.slowCount++
	d.fastCount++
	d.clamp()
}

// rate returns the average at now, in requests per second.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	d.clamp()
	return d.slowCount / slowTimeConstant.Seconds()
}

// decay ages both counts to now. A time before the last update has no effect.
func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.updatedAt)
	if elapsed <= 0 {
		return
	}
	d.slowCount *= math.Exp(-elapsed.Seconds() / slowTimeConstant.Seconds())
	d.fastCount *= math.Exp(-elapsed.Seconds() / fastTimeConstant.Seconds())
	d.updatedAt = now
}

// clamp limits the slow count to maxDeviations standard deviations around the
// fast average.
func (d *demand) clamp() {
	rate := d.fastCount / fastTimeConstant.Seconds()
	deviation := math.Sqrt(rate / (2 * fastTimeConstant.Seconds()))
	low, high := rate-maxDeviations*deviation, rate+maxDeviations*deviation
	d.slowCount = min(max(d.slowCount, low*slowTimeConstant.Seconds()), max(high*slowTimeConstant.Seconds(), minCountBound))
}
