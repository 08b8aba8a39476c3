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

// mostUrgentArrivals returns the most urgent priority above the given one of which
// sub-requests arrive regularly. It returns false if there is none, or without overload
// control.
func (s *service) mostUrgentArrivals(now time.Time, priority int) (int, bool) {
	most, found := priority, false
	if s.overloadControl {
		for p, a := range s.arrivals {
			if p < most && a.current(now) >= regularArrivals {
				most, found = p, true
			}
		}
	}
	return most, found
}

// hasRoom reports whether the window of the target admits an attempt of a priority. It
// admits none that is less urgent than one that it refuses.
func (t *target) hasRoom(now time.Time, priority int) bool {
	size := t.window.size()
	switch n := len(t.running); {
	case n >= size: // a window of one place can't keep one free: an urgent attempt goes beyond it
		return t.service.overloadControl && size == 1 && n == 1 && t.running[0].priority > priority
	case n < size-reservedPlaces, size == 1:
		return true
	}
	urgent, found := t.service.mostUrgentArrivals(now, priority)
	return !found || t.runningLessUrgent(urgent) < size-reservedPlaces
}

// runningLessUrgent returns the number of attempts in flight that are less urgent than a
// priority.
func (t *target) runningLessUrgent(priority int) int {
	n := 0
	for _, a := range t.running {
		if a.priority > priority {
			n++
		}
	}
	return n
}
