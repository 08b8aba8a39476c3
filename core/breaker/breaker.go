// Package breaker is the circuit breaker of the calls to one VM: calls that are
// bound to fail are not made, so that their work moves elsewhere at once.
package breaker

import "time"

const (
	// failuresToOpen is two, as one failure may come from connections that went
	// silent while new ones work.
	failuresToOpen = 2

	// probeInterval is the time between two calls that find out whether the VM
	// can be reached again.
	probeInterval = 500 * time.Millisecond
)

// Breaker counts failures in a row. The zero value is closed.
type Breaker struct {
	failures int
	failedAt time.Time
	probeAt  time.Time
}

// Failed notes that a call failed. Of calls that were under way together only
// one counts, as they fail for one reason.
func (b *Breaker) Failed(began, now time.Time) {
	if b.failures > 0 && began.Before(b.failedAt) {
		return
	}
	b.failures++
	b.failedAt = now
	b.probeAt = now.Add(probeInterval)
}

// Succeeded notes that a call was answered.
func (b *Breaker) Succeeded() { b.failures = 0 }

// Open reports whether calls are bound to fail.
func (b *Breaker) Open() bool { return b.failures >= failuresToOpen }

// Allow reports whether a call may be made now: any while the breaker is
// closed, one each probeInterval while it is open.
func (b *Breaker) Allow(now time.Time) bool {
	if !b.Due(now) {
		return false
	}
	if b.Open() {
		b.probeAt = now.Add(probeInterval)
	}
	return true
}

// Due reports whether Allow would allow a call now, which is not made yet.
func (b *Breaker) Due(now time.Time) bool { return !b.Open() || !now.Before(b.probeAt) }
