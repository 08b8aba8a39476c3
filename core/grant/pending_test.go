package grant_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a coordinator that forgets a reply which the holder has
// accepted but not all of its tasks have applied, once an earlier reply is
// confirmed: its shares are in use.
func TestFaultTasksLag(t *testing.T) {
	a, x, y, now := directPair(t, 2)
	c := simConfig(1, 2, 1, 0.25, faultLimits)
	rate := 0.75 * faultLimits.rate // the part that the coordinator divides
	parts := func(d *directVM) float64 {
		for _, r := range d.holder.RateShares(now, c) {
			return r.RatePerSecond / rate
		}
		return 0
	}
	demand := func(d *directVM, part float64) {
		d.holder.SetDemand(map[string]float64{simWorkspace: part * rate})
	}
	beats := func(n int, vms ...*directVM) {
		for range n {
			now = now.Add(100 * time.Millisecond)
			for _, d := range vms {
				d.beat(a, now, directWhole, false)
			}
		}
	}
	lagging := func() uint64 { // one heartbeat of x whose reply the tasks do not apply yet
		now = now.Add(100 * time.Millisecond)
		assert.Assert(t, x.holder.Accept(now, x.beat(a, now, directWhole, true)))
		return x.holder.Generation()
	}
	demand(x, 0.2)
	demand(y, 0.2)
	beats(6, x, y)
	demand(y, 0.14)
	beats(4, y)
	first := lagging()
	assert.Assert(t, parts(x) > 0.55 && parts(x) < 0.65, "%v", parts(x))
	demand(x, 4)
	beats(1, y)
	lagging()
	beats(2, y)
	lagging()
	assert.Assert(t, parts(x) > 0.95, "%v", parts(x))

	x.holder.Applied(first)
	demand(x, 0.01)
	demand(y, 2)
	now = now.Add(100 * time.Millisecond)
	x.beat(a, now, directWhole, true)
	x.beat(a, now, directWhole, true)
	beats(3, y)
	assert.Assert(t, parts(x)+parts(y) <= 1, "%v and %v", parts(x), parts(y))
}
