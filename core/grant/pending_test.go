package grant_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a coordinator that drops a reply which the holder has accepted
// but not all of its tasks have applied, when an earlier reply is confirmed: the
// shares of the later reply are in use.
func TestFaultTasksLag(t *testing.T) {
	a, x, y, now := directPair(t, 2)
	c := simConfig(1, 2, 1, 0.25, faultLimits)
	rate := 0.75 * faultLimits.rate // the divisible part of the rate
	parts := func(d *directVM) float64 {
		for _, r := range d.holder.RateShares(now, c) {
			return r.RatePerSecond / rate
		}
		return 0
	}
	demand := func(d *directVM, part float64) {
		d.holder.SetDemand(map[string]float64{simWorkspace: part * rate})
	}
	heartbeats := func(n int, vms ...*directVM) {
		for range n {
			now = now.Add(100 * time.Millisecond)
			for _, d := range vms {
				d.heartbeat(a, now, directFull, false)
			}
		}
	}
	heartbeatUnapplied := func() uint64 { // one heartbeat of x whose reply the tasks have not applied
		now = now.Add(100 * time.Millisecond)
		assert.Assert(t, x.holder.Accept(now, x.heartbeat(a, now, directFull, true)))
		return x.holder.Generation()
	}
	demand(x, 0.2)
	demand(y, 0.2)
	heartbeats(6, x, y)
	demand(y, 0.14)
	heartbeats(4, y)
	first := heartbeatUnapplied()
	assert.Assert(t, parts(x) > 0.55 && parts(x) < 0.65, "%v", parts(x))
	demand(x, 4)
	heartbeats(1, y)
	heartbeatUnapplied()
	heartbeats(2, y)
	heartbeatUnapplied()
	assert.Assert(t, parts(x) > 0.95, "%v", parts(x))

	x.holder.MarkApplied(first)
	demand(x, 0.01)
	demand(y, 2)
	now = now.Add(100 * time.Millisecond)
	x.heartbeat(a, now, directFull, true)
	x.heartbeat(a, now, directFull, true)
	heartbeats(3, y)
	assert.Assert(t, parts(x)+parts(y) <= 1, "%v and %v", parts(x), parts(y))
}
