package breaker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/breaker"
)

// Guards against calls to an unreachable VM, against opening the breaker after a
// single failed connection, and against a breaker that never closes again.
func TestBreaker(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1_000_000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var b breaker.Breaker
	allowed := func(want bool, when ...time.Duration) {
		t.Helper()
		for _, d := range when {
			assert.Equal(t, b.Allow(at(d)), want, "at %v", d)
		}
	}
	b.Failed(at(0), at(250*ms))
	b.Failed(at(10*ms), at(260*ms)) // was in flight together with the first
	allowed(true, 260*ms, 260*ms)
	b.Failed(at(260*ms), at(510*ms))
	assert.Assert(t, b.Open())
	allowed(false, 511*ms, 1009*ms)
	assert.Assert(t, !b.Due(at(1009*ms)) && b.Due(at(1010*ms)) && b.Due(at(1010*ms)))
	allowed(true, 1010*ms)
	assert.Assert(t, !b.Due(at(1010*ms)))
	allowed(false, 1011*ms)
	b.Failed(at(1010*ms), at(1260*ms))
	allowed(false, 1700*ms)
	allowed(true, 1760*ms)
	b.Succeeded()
	assert.Assert(t, !b.Open())
	allowed(true, 1770*ms, 1771*ms)
}
