package serve

import "time"

const (
	initialLimit  = 4   // concurrency limit of a new target
	limitDecrease = 0.6 // factor applied to the limit when the target sheds a request
	limitIncrease = 0.1 // added to the limit with each answer while the target's queue is short
	// contendedIncrease, divided by the limit, is added instead while VMs compete
	// for the target: the smaller limit grows faster, so that limits become equal.
	contendedIncrease = 0.1
	// contendedPeriod is the time after a decrease for which VMs count as competing.
	contendedPeriod = 2 * time.Second

	// maxQueueFactor is the number of queued requests at a target, as a multiple
	// of its slots, above which its limit does not grow.
	maxQueueFactor = 1
	// queuePercent is the part of the shortest objective of a service's routes, in
	// percent, for which a request may wait in the queue of a target. What waits
	// there is no longer ordered by urgency.
	queuePercent = 40
	// minLimitFactor bounds a single decrease, as one report may be misleading.
	minLimitFactor = 0.25
	// serviceTimeSamples is the number of answers over which the service time of a
	// target is averaged; a slow-down of a target shows within its first answers.
	serviceTimeSamples = 8
)

// window limits the attempts of this VM in flight at one target. The VMs that
// share a target each adjust their own window by the queue that it reports, so
// that the sum of them comes near its slots and a short queue.
type window struct {
	limit       float64
	decreasedAt time.Time     // last decrease because of a long queue
	serviceTime time.Duration // mean time that a request takes in a slot; zero if unknown
	slowdown    float64       // mean of that time as a multiple of the route's median
}

// size returns the number of attempts that may be in flight, at least one.
func (w *window) size() int { return max(int(w.limit), 1) }

// shed adjusts the window to a request that the target refused.
func (w *window) shed() { w.limit = max(w.limit*limitDecrease, 1) }

// answered adjusts the window to an answer to an attempt that began at started.
// load is the last report of the target, which is zero if it reports none. objective
// bounds the queue of the target; if it is zero, a long queue only ends the growth.
func (w *window) answered(now, started time.Time, load Load, slots int, objective time.Duration, most float64) {
	longest := queueBound(slots, objective, w.serviceTime)
	if objective > 0 && load.Queued > longest {
		w.decrease(now, started, load, slots+longest)
		return
	}
	contended := !w.decreasedAt.IsZero() && now.Sub(w.decreasedAt) < contendedPeriod
	switch {
	case load.Queued > maxQueueFactor*slots, contended && load.Queued == longest:
	case contended:
		w.limit = min(w.limit+min(contendedIncrease/w.limit, limitIncrease), most)
	default:
		w.limit = min(w.limit+limitIncrease, most)
	}
}

// decrease reduces the window by the factor by which the requests at the target
// exceed the wanted number. Answers to attempts that began before the last decrease
// don't count, as they waited in a queue to which the decrease has not applied yet.
func (w *window) decrease(now, started time.Time, load Load, wanted int) {
	if started.Before(w.decreasedAt) {
		return
	}
	factor := float64(wanted) / float64(load.Running+load.Queued+1)
	w.limit = max(w.limit*max(min(factor, 1), minLimitFactor), 1)
	w.decreasedAt = now
}

// recordServiceTime records the latency of an attempt, less the part that it spent
// in the queue of the target. median is that of the route.
func (w *window) recordServiceTime(latency, median time.Duration, load Load, slots int) {
	sample := serviceTime(latency, load, slots)
	slowdown := float64(sample) / float64(max(median, time.Millisecond))
	if w.serviceTime == 0 {
		w.serviceTime, w.slowdown = sample, slowdown
	}
	w.serviceTime += (sample - w.serviceTime) / serviceTimeSamples
	w.slowdown += (slowdown - w.slowdown) / serviceTimeSamples
}

// serviceTime returns the part of a latency that was spent in a slot: with n
// requests at the target a request takes n/slots times as long as in a slot.
func serviceTime(latency time.Duration, load Load, slots int) time.Duration {
	present := load.Running + load.Queued + 1
	return latency * time.Duration(slots) / time.Duration(max(present, slots))
}

// queueBound returns how many requests may wait at a target: what its slots finish
// within a part of the objective, at least one, so that no slot is idle between two
// requests. It is maxQueueFactor times the slots where the objective or the service
// time is unknown.
func queueBound(slots int, objective, serviceTime time.Duration) int {
	if objective <= 0 || serviceTime <= 0 {
		return maxQueueFactor * slots
	}
	return max(int(time.Duration(slots)*objective*queuePercent/100/serviceTime), 1)
}
