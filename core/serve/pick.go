package serve

import (
	"slices"
	"time"
)

const (
	// crossZoneCost is the least that an attempt in another zone counts as, in
	// time: traffic between zones is dear, and slower.
	crossZoneCost = 8 * time.Millisecond
	// crossZonePart is the same as a part of the median. It is above spreadCost,
	// so that work leaves the zone only when all slots there are taken.
	crossZonePart = 0.3
	// stallCost keeps attempts off a target whose attempts are overdue; a pause
	// of a target is of that order.
	stallCost = 150 * time.Millisecond
	// spreadCost is what each attempt in flight below the slots adds, as a part
	// of the median, so that targets with free slots share the work.
	spreadCost = 0.25
	coldFactor = 1.6 // a cold target is that much slower
)

// pick returns the best target for an attempt of a part, nil when none is free.
// A target that was tried before is used again only for want of others, and
// never for a hedge.
func (e *Engine) pick(now time.Time, p *part, hedge bool) *target {
	if t := e.best(now, p, false); t != nil {
		return t
	}
	if hedge || p.pending() > 0 {
		return nil
	}
	return e.best(now, p, true)
}

func (e *Engine) best(now time.Time, p *part, again bool) *target {
	var best, ejected *target
	var bestCost time.Duration
	median := e.route(p.query.route.Name).latency.P50
	n := len(p.service.targets)
	for i := range n {
		t := p.service.targets[(i+int(p.query.seq))%n]
		if !t.free(now) || !again && slices.Contains(p.tried, t) {
			continue
		}
		if t.ejected(now) {
			if ejected == nil || t.ejectedUntil.Before(ejected.ejectedUntil) {
				ejected = t
			}
			continue
		}
		if c := e.cost(now, t, median); best == nil || c < bestCost {
			best, bestCost = t, c
		}
	}
	if best == nil && !p.service.anySound(now) {
		return ejected // all are ejected: the one that was ejected first
	}
	return best
}

// cost estimates the time that an attempt takes at a target, with what it costs
// besides.
func (e *Engine) cost(now time.Time, t *target, median time.Duration) time.Duration {
	unit := float64(median) * t.expectedSlowness(now)
	if now.Before(t.coldUntil) {
		unit *= coldFactor
	}
	work := max(float64(len(t.running)), 0) + t.othersWork(now)
	slots := float64(t.slots())
	cost := unit * (1 + spreadCost*min(work, slots)/slots)
	if work >= slots {
		cost += unit * (work + 1 - slots) / slots
	}
	t.fadeFailures(now)
	cost += t.failures * 3 * float64(median)
	total := time.Duration(cost)
	if t.stalled(now) {
		total += stallCost
	}
	if t.reg.Zone != e.settings.Zone {
		total += max(crossZoneCost, time.Duration(crossZonePart*float64(median)))
	}
	return total
}

// anySound reports whether a target is in service and not ejected.
func (s *service) anySound(now time.Time) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.usable(now) && !t.ejected(now) })
}
