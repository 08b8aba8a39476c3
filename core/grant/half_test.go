package grant_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/grant"
	"github.com/anvilfork/anvilfork/core/lease"
)

// directVM is a VM that calls an allocator directly, without a network.
type directVM struct {
	vm     fleet.VM
	holder *grant.Holder
}

func newDirectVM(id, zone string) *directVM {
	return &directVM{vm: fleet.VM{ID: fleet.VMID(id), Zone: zone, State: fleet.Live}, holder: grant.NewHolder()}
}

// heartbeat exchanges one heartbeat with its reply, which is lost if replyLost is
// set.
func (d *directVM) heartbeat(a *grant.Allocator, now time.Time, t lease.Leadership, replyLost bool) grant.Grants {
	g := a.Answer(now, grant.Input{Leadership: t, VM: d.vm, Report: d.holder.Report(now), SentDuringLeadership: true, ConfigCurrent: true})
	if !replyLost {
		d.holder.Accept(now, g)
		d.holder.MarkApplied(d.holder.Generation())
	}
	return g
}

var (
	directStart = simEpoch.Add(time.Hour)
	directFull  = lease.Leadership{Fraction: lease.Full, Since: simEpoch, FullSince: simEpoch}
	directHalf  = lease.Leadership{Fraction: lease.Half, Since: simEpoch}
)

// directPair returns the allocator of a full coordinator, the two VMs that own the
// only shard, and the time.
func directPair(t *testing.T, maxVMs int) (*grant.Allocator, *directVM, *directVM, time.Time) {
	t.Helper()
	a := grant.NewAllocator()
	a.SetConfig(simConfig(1, maxVMs, 1, 0.25, faultLimits))
	x, y, now := newDirectVM("x", "zone-0"), newDirectVM("y", "zone-1"), directStart
	y.holder.SetDemand(map[string]float64{simWorkspace: 2 * faultLimits.rate})
	for range 20 {
		now = now.Add(simHeartbeatInterval)
		x.heartbeat(a, now, directFull, false)
		y.heartbeat(a, now, directFull, false)
	}
	c := simConfig(1, maxVMs, 1, 0.25, faultLimits)
	assert.Equal(t, len(x.holder.ShardShares(now, c))+len(y.holder.ShardShares(now, c)), 2)
	return a, x, y, now
}

// Guards against half a coordinator that grants a share of its half of a shard
// while a VM may still use a share of the whole: the other side grants its own
// half at the same time.
func TestFaultHalfBeforeReduction(t *testing.T) {
	a, _, y, now := directPair(t, 4)
	w := newDirectVM("w", "zone-2")
	granted := func() bool { return len(w.heartbeat(a, now, directHalf, false).ShardShares) > 0 }
	freed := now.Add(grant.ShareTTL + lease.MaxDrift(grant.ShareTTL)) // x sends no heartbeats from now on
	for range 3 {
		now = now.Add(simHeartbeatInterval)
		y.heartbeat(a, now, directFull, false)
	}
	end := y.holder.Expires()
	assert.Assert(t, freed.Add(2*simHeartbeatInterval).Before(end))
	for now = now.Add(simHeartbeatInterval); now.Before(end); now = now.Add(simHeartbeatInterval) {
		y.heartbeat(a, now, directHalf, true) // its reductions are lost
		assert.Assert(t, !granted(), "%v", now.Sub(directStart))
	}
	for range 4 {
		now = now.Add(simHeartbeatInterval)
		y.heartbeat(a, now, directHalf, false)
		granted()
	}
	shares := w.holder.ShardShares(now, simConfig(1, 4, 1, 0.25, faultLimits))
	assert.Equal(t, len(shares), 1)
	assert.Assert(t, shares[0].Slots <= 2, "%+v", shares)
}

// Guards against half a coordinator that renews rate shares from before the split:
// they may exceed its half.
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
	now = now.Add(simHeartbeatInterval)
	y.heartbeat(a, now, directHalf, false)
	assert.Assert(t, parts(y) <= 0.5/maxVMs, "%v", parts(y))
	for range 20 {
		now = now.Add(simHeartbeatInterval)
		y.heartbeat(a, now, directHalf, false)
	}
	assert.Assert(t, parts(y) > 0.45 && parts(y) <= 0.5, "%v", parts(y))
}

// Guards against a new coordinator that trusts a full report sent before its
// election: another coordinator may have moved the shares since.
func TestFaultListFromBeforeElection(t *testing.T) {
	a := grant.NewAllocator()
	a.SetConfig(simConfig(1, 4, 1, 0.25, faultLimits))
	now := directStart
	elected := lease.Leadership{Fraction: lease.Full, Since: now, FullSince: now}
	list := grant.Report{Seq: 5, Base: 4, Full: true, Ranges: 1, Rates: []grant.RatePart{{Workspace: simWorkspace, Parts: 1000}}}
	in := grant.Input{Leadership: elected, VM: fleet.VM{ID: "x", State: fleet.Live}, Report: list, ConfigCurrent: true}
	g := a.Answer(now, in)
	assert.Assert(t, g.Resync && !g.Renew)
	in.SentDuringLeadership, in.Report.Seq, in.Report.Base = true, 7, 6
	g = a.Answer(now, in)
	assert.Assert(t, g.Renew && !g.Resync && g.Base == 6 && g.Ranges == 1)
	in.VM.ID = "y"
	in.Report = grant.Report{Seq: 2, Base: 1, Full: true}
	g = a.Answer(now, in)
	assert.Assert(t, g.Renew && g.Ranges == 0 && len(g.Rates)+len(g.ShardShares) == 0, "unreported shares were granted: %+v", g)
	later := now.Add(grant.ShareTTL + lease.MaxDrift(grant.ShareTTL))
	in.Report = grant.Report{Seq: 3, Base: 1}
	g = a.Answer(later, in)
	assert.Assert(t, g.Renew && g.Ranges != 0 && len(g.ShardShares) == 1, "%+v", g)
}

// Guards against a new coordinator whose directory still names the VMs that held
// shards and ranges before the last changes: requests would not reach the holders.
func TestFaultDirectoryFromBeforeElection(t *testing.T) {
	a := grant.NewAllocator()
	a.SetConfig(simConfig(1, 4, 1, 0.25, faultLimits))
	a.AdoptDirectory(grant.NewDirectory())
	id := fleet.ShardID{Service: "search", Shard: "g00"}
	in := grant.Input{
		Leadership: lease.Leadership{Fraction: lease.Full, Since: directStart, FullSince: directStart}, VM: fleet.VM{ID: "x", State: fleet.Live},
		Report:               grant.Report{Seq: 2, Base: 1, Full: true, ShardShares: []grant.ShardShare{{Shard: id, OwnerIndex: 1, OwnerCount: 2}}, Ranges: 1 << 7},
		SentDuringLeadership: true, ConfigCurrent: true,
	}
	assert.Assert(t, a.Answer(directStart, in).Renew)
	in.VM.ID, in.Report = "y", grant.Report{Seq: 2, Base: 1, Full: true}
	d := grant.NewDirectory()
	d.Apply(a.Answer(directStart, in).Directory)
	assert.Equal(t, d.Owner(id, 1), fleet.VMID("x"))
	assert.Equal(t, d.RangeHolder(7), fleet.VMID("x"))
}

// Guards against half a coordinator that renews the same share of a shard for two
// VMs, which were granted it by different halves, when the first one becomes
// unresponsive.
func TestFaultHalfRenewsTwoHomes(t *testing.T) {
	a := grant.NewAllocator()
	a.SetConfig(simConfig(1, 4, 1, 0.25, faultLimits))
	now := directStart
	half := lease.Leadership{Fraction: lease.Half, Since: now}
	list := grant.Report{Seq: 2, Base: 1, Full: true, ShardShares: []grant.ShardShare{{Shard: fleet.ShardID{Service: "search", Shard: "g00"}, OwnerCount: 2, Halved: true}}}
	answer := func(id fleet.VMID, r grant.Report) grant.Grants {
		return a.Answer(now, grant.Input{Leadership: half, VM: fleet.VM{ID: id, State: fleet.Live}, Report: r, SentDuringLeadership: true, ConfigCurrent: true})
	}
	g := answer("x", list)
	assert.Assert(t, g.Renew && len(g.DropShards) == 0, "%+v", g)
	for range 5 { // x sends no heartbeats until the next VM that reports the share becomes owner
		now = now.Add(simHeartbeatInterval)
		answer("z", grant.Report{Seq: uint64(now.UnixNano()), Base: 1, Full: true})
	}
	g = answer("y", list)
	assert.Assert(t, g.Renew && len(g.DropShards) == 1, "%+v", g)
}
