package grant_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/grant"
	"github.com/anvilfork/anvilfork/core/lease"
)

// Guards against a range that is taken from a leaving VM while no other VM can
// have it soon: requests still run in the homes of the VM, the coordinator may
// not grant yet, or it resigns in a moment.
func TestLeavingKeepsRangesUntilTheyCanMove(t *testing.T) {
	a, x, y, now := directPair(t, 2)
	ranges := func() int { return len(x.holder.RangeShares(now)) }
	beats := func(n int, t lease.Leadership, resigning, lagging bool) {
		for range n {
			now = now.Add(simBeat)
			in := grant.Input{Leadership: t, VM: x.vm, Report: x.holder.Report(now), Fresh: true, ConfigCurrent: true, Resigning: resigning}
			x.holder.Accept(now, a.Answer(now, in))
			if !lagging {
				x.holder.Applied(x.holder.Generation())
			}
			y.beat(a, now, t, false)
		}
	}
	held := ranges()
	assert.Assert(t, held > 0)
	x.vm.State = fleet.Leaving
	x.holder.Leave()
	beats(4, directWhole, false, true)
	assert.Equal(t, ranges(), held, "requests run in its homes")
	x.holder.Applied(x.holder.Generation())
	beats(14, directWhole, true, false) // longer than a share lasts
	assert.Equal(t, ranges(), held, "the coordinator resigns")
	elected := lease.Leadership{Fraction: lease.Full, Since: now, FullSince: now}
	beats(8, elected, false, false)
	assert.Equal(t, ranges(), held, "the coordinator may not grant yet")
	beats(6, elected, false, false)
	assert.Equal(t, ranges(), 0)
	assert.Equal(t, len(y.holder.RangeShares(now)), fleet.RangeCount)
}
