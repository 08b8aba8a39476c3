package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock returns the time since the host booted as a time.Time. Unlike the
// monotonic clock it advances while the host is suspended, so that data read before
// a suspension has the same age as on other hosts. Unlike the time of day it never
// jumps.
type clock struct{ base time.Time }

// newClock returns a clock that is set to the time of day once.
func newClock() clock {
	return clock{base: time.Now().Round(0).Add(-sinceBoot())}
}

// sinceBoot returns the time since boot, suspensions included.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists on every kernel that Go supports
	}
	return time.Duration(ts.Nano())
}

func (c clock) now() time.Time { return c.base.Add(sinceBoot()) }
