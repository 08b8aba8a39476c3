package serve

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/catalog"
)

const (
	// minCrossZoneCost is the least that an attempt in another zone adds to the
	// cost: traffic between zones is expensive, and slower.
	minCrossZoneCost = 8 * time.Millisecond
	// crossZoneFactor is the cost of an attempt in another zone as a fraction
	// of the median latency. It is above inFlightCostFactor, so that work
	// leaves the zone only when all slots there are taken.
	crossZoneFactor = 0.3
	// A fan-out waits for the slowest of many shards, so that a target of this zone
	// may be twice as slow as the median, or take crossZoneObjectivePercent of the
	// objective longer, before the traffic to another zone is worth it.
	crossZoneFanOutFactor     = 1.0
	crossZoneObjectivePercent = 15
	// stallPenalty keeps attempts off a target whose attempts are overdue.
	// Pauses of targets last about that long.
	stallPenalty = 150 * time.Millisecond
	// inFlightCostFactor is what attempts in flight add to the cost when all
	// slots are taken, as a fraction of the target's expected latency. Fewer
	// attempts add less, so that targets with free slots share the work.
	inFlightCostFactor = 0.25
	// failureCostFactor is what failures add to the cost when all attempts fail, as
	// a multiple of the median: each failed one takes an attempt from the retry
	// budget.
	failureCostFactor = 6
	coldSlowdown      = 1.6 // expected latency of a cold target, as a multiple of a warm one's
)

// pickTarget returns the cheapest target that can accept an attempt of a
// sub-request, or nil. It returns a target that was tried before only if there
// is no other, and never for a hedge.
func (e *Engine) pickTarget(now time.Time, sub *subRequest, hedge bool) *target {
	if t := e.bestTarget(now, sub, false); t != nil {
		return t
	}
	if hedge || sub.pending() > 0 {
		return nil
	}
	return e.bestTarget(now, sub, true)
}

// bestTarget returns the cheapest target that can accept an attempt, or nil.
// The search starts at another target for each query, so that targets of equal
// cost take turns.
func (e *Engine) bestTarget(now time.Time, sub *subRequest, allowTried bool) *target {
	var best, ejected, leaving *target
	var bestCost time.Duration
	median := e.route(sub.query.route.Name).atPace1.P50
	crossZone := crossZoneCost(sub.query.route, median)
	n := len(sub.service.targets)
	for i := range n {
		t := sub.service.targets[(i+int(sub.query.seq))%n]
		if !t.canAccept(now, sub.query.priority) || !allowTried && slices.Contains(sub.tried, t) {
			continue
		}
		if t.isLeaving() {
			leaving = t
			continue
		}
		if t.ejected(now) {
			if ejected == nil || t.ejectedUntil.Before(ejected.ejectedUntil) {
				ejected = t
			}
			continue
		}
		if c := e.cost(now, t, median, crossZone); best == nil || c < bestCost {
			best, bestCost = t, c
		}
	}
	if best == nil && !sub.service.hasHealthyTarget(now) && ejected != nil {
		return ejected // all are ejected: use the one whose ejection ends first
	}
	if best == nil && !sub.service.hasStayingTarget(now) {
		return leaving
	}
	return best
}

// cost estimates the latency of an attempt at a target, plus penalties for taken
// slots, failures, stalls and other zones. median is that of the route at pace 1, and
// crossZone is added for a target of another zone.
func (e *Engine) cost(now time.Time, t *target, median, crossZone time.Duration) time.Duration {
	slots := float64(t.slots())
	cost := t.runTime(now, median) * inFlightCostFactor * min(t.requestsAhead(now), slots) / slots
	t.decayFailures(now)
	cost += t.failureRatio * failureCostFactor * float64(median)
	total := e.attemptTime(now, t, median) + time.Duration(cost)
	if t.stalled(now) {
		total += stallPenalty
	}
	if t.reg.Zone != e.settings.Zone {
		total += crossZone
	}
	return total
}

// crossZoneCost returns what an attempt in another zone adds to the cost.
func crossZoneCost(r *catalog.Route, median time.Duration) time.Duration {
	cost := max(minCrossZoneCost, time.Duration(crossZoneFactor*float64(median)))
	if r.FanOut != nil {
		cost = max(cost, min(time.Duration(crossZoneFanOutFactor*float64(median)), r.Objective*crossZoneObjectivePercent/100))
	}
	return cost
}

// choice says which targets of a service attempts go to only for want of others.
type choice struct{ hasHealthy, hasStaying bool }

func (s *service) choice(now time.Time) choice {
	return choice{hasHealthy: s.hasHealthyTarget(now), hasStaying: s.hasStayingTarget(now)}
}

// includes reports whether attempts go to a target that can accept them.
func (c choice) includes(now time.Time, t *target) bool {
	if t.isLeaving() {
		return !c.hasStaying
	}
	return !c.hasHealthy || !t.ejected(now)
}

// hasHealthyTarget reports whether any target is usable and not ejected.
func (s *service) hasHealthyTarget(now time.Time) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.usable(now) && !t.ejected(now) && !t.isLeaving() })
}
