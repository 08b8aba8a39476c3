// Package breaker implements the circuit breaker for the calls to one VM. It is
// given the results of calls and decides which further calls may be made, so that
// work for an unreachable VM moves elsewhere at once. It does no input or output
// and takes the time as an argument.
package breaker

import "time"

const (
	// failuresToOpen is two because a single failure may come from established
	// connections that became unresponsive while new ones work.
	failuresToOpen = 2

	// probeInterval is the time between the calls that are allowed while the
	// breaker is open, to detect when the VM can be reached again.
	probeInterval = 500 * time.Millisecond
)

// Breaker counts consecutive failures and opens at failuresToOpen. The zero value
// is closed. It is not safe for concurrent use.
type Breaker struct {
	failures int       // consecutive
	failedAt time.Time // when the last failure was counted
	probeAt  time.Time // when the next call is allowed while open
}

// Failed records that a call which began at the given time has failed now. Of
// calls that were in flight together only one counts, because they probably
// failed for the same reason.
func (b *Breaker) Failed(began, now time.Time) {
	if b.failures > 0 && began.Before(b.failedAt) {
		return
	}
	b.failures++
	b.failedAt = now
	b.probeAt = now.Add(probeInterval)
}

// Succeeded records that a call was answered, and closes the breaker.
func (b *Breaker) Succeeded() { b.failures = 0 }

// Open reports whether the breaker is open, because calls are expected to fail.
func (b *Breaker) Open() bool { return b.failures >= failuresToOpen }

// Allow reports whether a call may be made now: any call while the breaker is
// closed, one per probeInterval while it is open.
func (b *Breaker) Allow(now time.Time) bool {
	if !b.Due(now) {
		return false
	}
	if b.Open() {
		b.probeAt = now.Add(probeInterval)
	}
	return true
}

// Due reports whether Allow would allow a call now, without using it up.
func (b *Breaker) Due(now time.Time) bool { return !b.Open() || !now.Before(b.probeAt) }
