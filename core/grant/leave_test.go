package grant_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/grant"
	"github.com/anvilfork/anvilfork/core/lease"
)

// Guards against withdrawing a range from a leaving VM while no other VM can
// receive it soon: requests still run in the shards of the VM, the coordinator may
// not grant yet, or it is about to resign.
func TestLeavingKeepsRangesUntilTheyCanMove(t *testing.T) {
	a, x, y, now := directPair(t, 2)
	ranges := func() int { return len(x.holder.RangeShares(now)) }
	heartbeats := func(n int, t lease.Leadership, resigning, lagging bool) {
		for range n {
			now = now.Add(simHeartbeatInterval)
			in := grant.Input{Leadership: t, VM: x.vm, Report: x.holder.Report(now), SentDuringLeadership: true, ConfigCurrent: true, Resigning: resigning}
			x.holder.Accept(now, a.Answer(now, in))
			if !lagging {
				x.holder.MarkApplied(x.holder.Generation())
			}
			y.heartbeat(a, now, t, false)
		}
	}
	held := ranges()
	assert.Assert(t, held > 0)
	x.vm.State = fleet.Leaving
	x.holder.Leave()
	heartbeats(4, directFull, false, true)
	assert.Equal(t, ranges(), held, "requests run in its shards")
	x.holder.MarkApplied(x.holder.Generation())
	heartbeats(14, directFull, true, false) // longer than ShareTTL
	assert.Equal(t, ranges(), held, "the coordinator is about to resign")
	elected := lease.Leadership{Fraction: lease.Full, Since: now, FullSince: now}
	heartbeats(8, elected, false, false)
	assert.Equal(t, ranges(), held, "the coordinator may not grant yet")
	heartbeats(6, elected, false, false)
	assert.Equal(t, ranges(), 0)
	assert.Equal(t, len(y.holder.RangeShares(now)), fleet.RangeCount)
}
