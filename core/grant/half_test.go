package grant_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/grant"
	"github.com/anvilfork/anvilfork/core/lease"
)

// directVM talks to an allocator without a network.
type directVM struct {
	vm     fleet.VM
	holder *grant.Holder
}

func newDirectVM(id, zone string) *directVM {
	return &directVM{vm: fleet.VM{ID: fleet.VMID(id), Zone: zone, State: fleet.Live}, holder: grant.NewHolder()}
}

// beat exchanges one heartbeat; the reply is lost when deaf is set.
func (d *directVM) beat(a *grant.Allocator, now time.Time, t lease.Leadership, deaf bool) grant.Grants {
	g := a.Answer(now, grant.Input{Leadership: t, VM: d.vm, Report: d.holder.Report(now), Fresh: true, ConfigCurrent: true})
	if !deaf {
		d.holder.Accept(now, g)
		d.holder.Applied(d.holder.Generation())
	}
	return g
}

var (
	directStart = simEpoch.Add(time.Hour)
	directWhole = lease.Leadership{Fraction: lease.Full, Since: simEpoch, FullSince: simEpoch}
	directHalf  = lease.Leadership{Fraction: lease.Half, Since: simEpoch}
)

// directPair returns a whole coordinator, two VMs that hold both homes of the
// only group, and the time.
func directPair(t *testing.T, maxVMs int) (*grant.Allocator, *directVM, *directVM, time.Time) {
	t.Helper()
	a := grant.NewAllocator()
	a.SetConfig(simConfig(1, maxVMs, 1, 0.25, faultLimits))
	x, y, now := newDirectVM("x", "zone-0"), newDirectVM("y", "zone-1"), directStart
	y.holder.SetDemand(map[string]float64{simWorkspace: 2 * faultLimits.rate})
	for range 20 {
		now = now.Add(simBeat)
		x.beat(a, now, directWhole, false)
		y.beat(a, now, directWhole, false)
	}
	c := simConfig(1, maxVMs, 1, 0.25, faultLimits)
	assert.Equal(t, len(x.holder.ShardShares(now, c))+len(y.holder.ShardShares(now, c)), 2)
	return a, x, y, now
}

// Guards against half a coordinator that hands out a home of its half while a
// VM may still use a home of the whole group: the other side hands out its own
// half meanwhile.
func TestFaultHalfBeforeReduction(t *testing.T) {
	a, _, y, now := directPair(t, 4)
	w := newDirectVM("w", "zone-2")
	granted := func() bool { return len(w.beat(a, now, directHalf, false).ShardShares) > 0 }
	freed := now.Add(grant.ShareTTL + lease.MaxDrift(grant.ShareTTL)) // the other VM is silent from now on
	for range 3 {
		now = now.Add(simBeat)
		y.beat(a, now, directWhole, false)
	}
	end := y.holder.Expires()
	assert.Assert(t, freed.Add(2*simBeat).Before(end))
	for now = now.Add(simBeat); now.Before(end); now = now.Add(simBeat) {
		y.beat(a, now, directHalf, true) // its reductions are lost
		assert.Assert(t, !granted(), "%v", now.Sub(directStart))
	}
	for range 4 {
		now = now.Add(simBeat)
		y.beat(a, now, directHalf, false)
		granted()
	}
	homes := w.holder.ShardShares(now, simConfig(1, 4, 1, 0.25, faultLimits))
	assert.Equal(t, len(homes), 1)
	assert.Assert(t, homes[0].Slots <= 2, "%+v", homes)
}

// Guards against half a coordinator that renews rates from before the split:
// they may be more than its half.
func TestFaultHalfRenewsRates(t *testing.T) {
	const maxVMs = 4
	a, _, y, now := directPair(t, maxVMs)
	parts := func(c *directVM) float64 {
		for _, r := range c.holder.RateShares(now, simConfig(1, maxVMs, 1, 0.25, faultLimits)) {
			return r.RatePerSecond / (0.75 * faultLimits.rate)
		}
		return 0
	}
	assert.Assert(t, parts(y) > 0.9, "%v", parts(y))
	now = now.Add(simBeat)
	y.beat(a, now, directHalf, false)
	assert.Assert(t, parts(y) <= 0.5/maxVMs, "%v", parts(y))
	for range 20 {
		now = now.Add(simBeat)
		y.beat(a, now, directHalf, false)
	}
	assert.Assert(t, parts(y) > 0.45 && parts(y) <= 0.5, "%v", parts(y))
}

// Guards against shares that a new coordinator takes from a list sent before
// its election: another coordinator may have moved them since.
func TestFaultListFromBeforeElection(t *testing.T) {
	a := grant.NewAllocator()
	a.SetConfig(simConfig(1, 4, 1, 0.25, faultLimits))
	now := directStart
	fresh := lease.Leadership{Fraction: lease.Full, Since: now, FullSince: now}
	list := grant.Report{Seq: 5, Base: 4, Full: true, Ranges: 1, Rates: []grant.RatePart{{Workspace: simWorkspace, Parts: 1000}}}
	in := grant.Input{Leadership: fresh, VM: fleet.VM{ID: "x", State: fleet.Live}, Report: list, ConfigCurrent: true}
	g := a.Answer(now, in)
	assert.Assert(t, g.Resync && !g.Renew)
	in.Fresh, in.Report.Seq, in.Report.Base = true, 7, 6
	g = a.Answer(now, in)
	assert.Assert(t, g.Renew && !g.Resync && g.Base == 6 && g.Ranges == 1)
	in.VM.ID = "y"
	in.Report = grant.Report{Seq: 2, Base: 1, Full: true}
	g = a.Answer(now, in)
	assert.Assert(t, g.Renew && g.Ranges == 0 && len(g.Rates)+len(g.ShardShares) == 0, "nothing that nobody has reported: %+v", g)
	later := now.Add(grant.ShareTTL + lease.MaxDrift(grant.ShareTTL))
	in.Report = grant.Report{Seq: 3, Base: 1}
	g = a.Answer(later, in)
	assert.Assert(t, g.Renew && g.Ranges != 0 && len(g.ShardShares) == 1, "%+v", g)
}

// Guards against a new coordinator whose directory still names the VMs that
// held homes and ranges before the last changes: nobody would find the holders.
func TestFaultDirectoryFromBeforeElection(t *testing.T) {
	a := grant.NewAllocator()
	a.SetConfig(simConfig(1, 4, 1, 0.25, faultLimits))
	a.Adopt(grant.NewDirectory())
	id := fleet.ShardID{Service: "search", Shard: "g00"}
	in := grant.Input{
		Leadership: lease.Leadership{Fraction: lease.Full, Since: directStart, FullSince: directStart}, VM: fleet.VM{ID: "x", State: fleet.Live},
		Report: grant.Report{Seq: 2, Base: 1, Full: true, ShardShares: []grant.ShardShare{{Shard: id, OwnerIndex: 1, Owners: 2}}, Ranges: 1 << 7},
		Fresh:  true, ConfigCurrent: true,
	}
	assert.Assert(t, a.Answer(directStart, in).Renew)
	in.VM.ID, in.Report = "y", grant.Report{Seq: 2, Base: 1, Full: true}
	d := grant.NewDirectory()
	d.Apply(a.Answer(directStart, in).Directory)
	assert.Equal(t, d.Owner(id, 1), fleet.VMID("x"))
	assert.Equal(t, d.RangeHolder(7), fleet.VMID("x"))
}

// Guards against half a coordinator that renews the same home for two VMs, which
// had it from different halves, when the first falls silent.
func TestFaultHalfRenewsTwoHomes(t *testing.T) {
	a := grant.NewAllocator()
	a.SetConfig(simConfig(1, 4, 1, 0.25, faultLimits))
	now := directStart
	half := lease.Leadership{Fraction: lease.Half, Since: now}
	list := grant.Report{Seq: 2, Base: 1, Full: true, ShardShares: []grant.ShardShare{{Shard: fleet.ShardID{Service: "search", Shard: "g00"}, Owners: 2, Half: true}}}
	answer := func(id fleet.VMID, r grant.Report) grant.Grants {
		return a.Answer(now, grant.Input{Leadership: half, VM: fleet.VM{ID: id, State: fleet.Live}, Report: r, Fresh: true, ConfigCurrent: true})
	}
	g := answer("x", list)
	assert.Assert(t, g.Renew && len(g.DropShards) == 0, "%+v", g)
	for range 5 { // x is silent until its home passes to the next that reports it
		now = now.Add(simBeat)
		answer("z", grant.Report{Seq: uint64(now.UnixNano()), Base: 1, Full: true})
	}
	g = answer("y", list)
	assert.Assert(t, g.Renew && len(g.DropShards) == 1, "%+v", g)
}
