package serve

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against urgent queries that find all places of a target taken by others, and
// against places that are kept although no urgent query comes.
func TestPlacesAreKeptForUrgentQueries(t *testing.T) {
	const urgent, other = 0, 1
	for name, c := range map[string]struct {
		size, running, runningUrgent int
		arrive                       bool
		urgentFits, otherFits        bool
	}{
		"no urgent queries":              {3, 2, 0, false, true, true},
		"last place is kept":             {3, 2, 0, true, true, false},
		"the urgent one uses it":         {3, 1, 1, true, true, true},
		"full":                           {3, 2, 1, true, false, false},
		"one place, free":                {1, 0, 0, true, true, true},
		"one place, taken by another":    {1, 1, 0, true, true, false},
		"one place, taken by an urgent":  {1, 0, 1, true, false, false},
		"one place, exceeded by another": {1, 1, 1, true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &service{overloadControl: true}
			target := &target{service: s, window: window{limit: float64(c.size)}}
			for range c.running {
				target.running = append(target.running, &attempt{priority: other})
			}
			for range c.runningUrgent {
				target.running = append(target.running, &attempt{priority: urgent})
			}
			if c.arrive {
				for i := range 20 {
					s.recordArrival(epoch.Add(time.Duration(i-20)*200*time.Millisecond), urgent)
				}
			}
			assert.Equal(t, target.hasRoom(epoch, urgent), c.urgentFits)
			assert.Equal(t, target.hasRoom(epoch, other), c.otherFits)
			later := epoch.Add(5 * arrivalWindow)
			assert.Equal(t, target.hasRoom(later, other), c.running+c.runningUrgent < c.size, "the place is kept for good")
		})
	}
}

// Guards against a place that is kept from one priority and given to a less urgent one,
// which then is served more often.
func TestKeptPlacesAreKeptFromAllLessUrgent(t *testing.T) {
	s := &service{overloadControl: true}
	target := &target{service: s, window: window{limit: 3}, running: []*attempt{{priority: 1}, {priority: 1}}}
	for i := range 20 {
		s.recordArrival(epoch.Add(time.Duration(i-20)*200*time.Millisecond), 0)
	}
	for priority, fits := range []bool{true, false, false} {
		assert.Equal(t, target.hasRoom(epoch, priority), fits, "priority %d", priority)
	}
	s.overloadControl = false // a workspace has got a rate
	for priority := range 3 {
		assert.Assert(t, target.hasRoom(epoch, priority), "priority %d", priority)
	}
}
