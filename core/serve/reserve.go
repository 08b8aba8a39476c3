package serve

import (
	"math"
	"time"
)

const (
	// reservedPlaces is the number of a target's places that are kept from queries
	// while more urgent ones of the same service arrive regularly.
	reservedPlaces = 1
	// arrivalWindow is the time over which arrivals are averaged.
	arrivalWindow = 2 * time.Second
	// regularArrivals is the number of arrivals within arrivalWindow from which
	// queries count as arriving regularly.
	regularArrivals = 2.0
)

// arrivals counts the sub-requests of one priority, with weights that decay.
type arrivals struct {
	count float64
	at    time.Time
}

func (a arrivals) current(now time.Time) float64 {
	return a.count * math.Exp(-now.Sub(a.at).Seconds()/arrivalWindow.Seconds())
}

// recordArrival counts a sub-request of a priority. Without overload control no places
// are kept.
func (s *service) recordArrival(now time.Time, priority int) {
	if !s.overloadControl {
		return
	}
	if s.arrivals == nil {
		s.arrivals = make(map[int]arrivals)
	}
	for p, a := range s.arrivals {
		if a.current(now) < 1/regularArrivals && p != priority {
			delete(s.arrivals, p)
		}
	}
	s.arrivals[priority] = arrivals{count: s.arrivals[priority].current(now) + 1, at: now}
}

// expectsMoreUrgent reports whether sub-requests that are more urgent than a priority
// arrive regularly.
func (s *service) expectsMoreUrgent(now time.Time, priority int) bool {
	for p, a := range s.arrivals {
		if p < priority && a.current(now) >= regularArrivals {
			return true
		}
	}
	return false
}

// hasRoom reports whether the window of the target admits an attempt of a priority.
func (t *target) hasRoom(now time.Time, priority int) bool {
	size, lessUrgent, sameOrLess := t.window.size(), 0, 0
	for _, a := range t.running {
		if a.priority > priority {
			lessUrgent++
		}
		if a.priority >= priority {
			sameOrLess++
		}
	}
	if len(t.running) >= size {
		// A window of one place can't keep one free: an urgent attempt goes beyond it.
		return t.service.overloadControl && size == 1 && len(t.running) == lessUrgent && lessUrgent == 1
	}
	return size == 1 || !t.service.expectsMoreUrgent(now, priority) || sameOrLess < size-reservedPlaces
}
