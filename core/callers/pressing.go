package callers

import (
	"math"
	"time"
)

// Pressing is a caller that repeats requests before the time that it was told, and the
// cost of that. VMs tell each other, as the next try of a caller may come to another one.
type Pressing struct {
	ID   uint64 // hash of workspace, route and address
	Cost float64
}

// minPressing is the smallest cost that is reported: 5.2 s after a single early repeat.
const minPressing = 0.5

// pressingTime is how long after the last early repeat there may be a cost to report.
const pressingTime = 5 * halfLife // in which maxPressed falls below minPressing

// Pressing returns the callers of which this VM has seen early repeats.
func (l *Tracker) Pressing(now time.Time) []Pressing {
	at := l.since(now)
	if l.repeatedAt == 0 || at-l.repeatedAt > pressingTime {
		return nil
	}
	var all []Pressing
	for i := range l.shares {
		for k := range l.shares[i] {
			s := &l.shares[i][k]
			if s.pressed == 0 {
				continue
			}
			if s.decay(at); s.pressed >= minPressing {
				all = append(all, Pressing{ID: s.caller.id, Cost: s.pressed})
			}
		}
	}
	return all
}

// SetPressing replaces the callers of which other VMs have seen early repeats.
func (l *Tracker) SetPressing(now time.Time, all []Pressing) {
	l.elsewhereAt, l.elsewhere = l.since(now), nil
	if len(all) == 0 {
		return
	}
	l.elsewhere = make(map[uint64]float64, len(all))
	for _, p := range all {
		l.elsewhere[p.ID] = min(p.Cost, maxPressed)
	}
}

// costElsewhere returns the cost of the early repeats of a caller at other VMs.
func (l *Tracker) costElsewhere(at time.Duration, c Caller) float64 {
	cost, known := l.elsewhere[c.id]
	if !known {
		return 0
	}
	return cost * decayed(at-l.elsewhereAt)
}

// decayed returns the part of a measure that is left after a time.
func decayed(age time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
}
