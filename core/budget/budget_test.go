package budget_test

import (
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/budget"
)

const serviceLimit = 2000 // calls per second

// Guards against VMs that together exceed the service's limit if all of them
// call at the same instants.
func TestSpacingBoundsCoincidingCalls(t *testing.T) {
	for maxVMs := 1; maxVMs < serviceLimit; maxVMs++ {
		spacing := budget.Spacing(maxVMs)
		perSecond := int((time.Second + spacing - 1) / spacing)
		assert.Assert(t, perSecond*maxVMs <= serviceLimit, "max_vms %d: %d calls each", maxVMs, perSecond)
	}
}

// countCalls returns the number of calls of a VM that calls whenever it may.
func countCalls(p *budget.Pacer, now *time.Time, d time.Duration, answered func(n int) bool) int {
	n := 0
	for end := now.Add(d); now.Before(end); *now = now.Add(time.Millisecond) {
		if p.Take(*now) {
			n++
			if answered(n) {
				p.Answered()
			} else {
				p.Failed(*now)
			}
		}
	}
	return n
}

// Guards against a backoff that does not grow, does not end, or is the same on
// all VMs.
func TestFaultServiceFails(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := budget.New(rand.New(rand.NewSource(1)))
	p.SetMaxVMs(8)
	fails := func(int) bool { return false }
	first, later := countCalls(p, &now, 5*time.Second, fails), countCalls(p, &now, 60*time.Second, fails)
	assert.Assert(t, first >= 4 && first <= 12, "%d calls in the first 5 s", first)
	assert.Assert(t, later <= 60, "%d calls in the minute after", later)
	assert.Assert(t, p.Due().Sub(now) <= 3*time.Second)
	now = p.Due()
	assert.Assert(t, p.Take(now))
	p.Answered()
	assert.Assert(t, p.Due().Sub(now) <= budget.Spacing(8))

	other := budget.New(rand.New(rand.NewSource(2)))
	p.Failed(now)
	other.Failed(now)
	assert.Assert(t, !p.Due().Equal(other.Due()))
}

// Guards against a VM that calls at the pace of a small fleet before it knows
// the size of the fleet.
func TestUnknownFleetIsLarge(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := budget.New(rand.New(rand.NewSource(1)))
	n := countCalls(p, &now, time.Second, func(int) bool { return true })
	assert.Assert(t, n*560 < serviceLimit, "%d calls in the first second", n)
	p.SetMaxVMs(1)
	assert.Assert(t, p.Due().Sub(now) < time.Millisecond)
}
