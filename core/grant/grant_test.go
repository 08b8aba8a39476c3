package grant_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/grant"
	"github.com/anvilfork/anvilfork/core/lease"
)

// Guards against owners whose shares together are more or less than a limit, or
// than half of it.
func TestShardShareParts(t *testing.T) {
	for n := range 50 {
		two := func(half bool) int {
			return fleet.ShardShare{OwnerIndex: 0, OwnerCount: 2, Halved: half}.PartOf(n) + fleet.ShardShare{OwnerIndex: 1, OwnerCount: 2, Halved: half}.PartOf(n)
		}
		assert.Equal(t, two(false), n)
		assert.Equal(t, two(true), n/2)
		assert.Equal(t, fleet.ShardShare{OwnerCount: 1}.PartOf(n), n)
		assert.Equal(t, fleet.ShardShare{OwnerCount: 1, Halved: true}.PartOf(n), n/2)
	}
}

// Guards against owners of one shard in the same zone, owners that change while
// the fleet stays the same, and a new VM that gets no shards or causes too many
// moves.
func TestOwnersAreSpreadAndStable(t *testing.T) {
	s := newFleetSim(3, 9, 3)
	watch(s, func(text string) { t.Helper(); t.Fatal(text) })
	c := simConfig(1, 9, 40, 0.25, faultLimits)
	for a := range 8 {
		s.start(a, c)
	}
	s.run(faultWarmUp)
	before := s.owners()
	assert.Equal(t, len(before), 80)
	zone := func(id fleet.VMID) string {
		for _, n := range s.running() {
			if n.vm.ID == id {
				return n.vm.Zone
			}
		}
		return ""
	}
	for owner, vm := range before {
		other := before[simOwner{owner.shard, 1 - owner.index}]
		assert.Assert(t, zone(vm) != zone(other), "%v: %s and %s", owner, vm, other)
	}
	s.run(20 * time.Second)
	assert.DeepEqual(t, fmt.Sprint(s.owners()), fmt.Sprint(before))
	added := s.start(8, c)
	s.run(30 * time.Second)
	moved := 0
	for owner, vm := range s.owners() {
		if before[owner] != vm {
			moved++
		}
	}
	gained := len(added.holder.ShardShares(added.clock(), c))
	assert.Assert(t, moved <= 2*gained && moved <= 15, "%d moved, %d to the new VM", moved, gained)
	settled := fmt.Sprint(s.owners())
	s.run(30 * time.Second)
	assert.Equal(t, fmt.Sprint(s.owners()), settled, "shards keep moving")
}

// Guards against shards that move back and forth because zones of different size
// cannot have equal numbers of shards per VM.
func TestOwnersSettleInUnevenZones(t *testing.T) {
	for vms := 2; vms <= 9; vms++ {
		s := newFleetSim(int64(vms), vms, 4)
		watch(s, func(text string) { t.Helper(); t.Fatal(text) })
		c := simConfig(1, vms, 25, 0.25, faultLimits)
		for a := range vms {
			s.start(a, c)
		}
		s.run(faultWarmUp)
		s.kill(vms - 1)
		s.start(vms-1, c)
		s.run(30 * time.Second)
		settled := fmt.Sprint(s.owners())
		for range 20 {
			s.run(time.Second)
			assert.Equal(t, fmt.Sprint(s.owners()), settled, "%d VMs", vms)
		}
	}
}

// Guards against a planned stop after which shares are unused until they expire,
// or after which the successor of a coordinator waits for votes to expire.
func TestLeavingReturnsSharesAtOnce(t *testing.T) {
	for name, coordinator := range map[string]bool{"holder": false, "coordinator": true} {
		t.Run(name, func(t *testing.T) {
			s := warmFleet(t, 8, 4)
			leaving := s.coordinator()
			if !coordinator {
				leaving = s.nodes[(leaving.address+1)%8]
			}
			leaving.leave()
			bound := 3 * time.Second
			if coordinator {
				bound += lease.VoteTTL + grant.ShareTTL // the successor waits until unreported shares have expired
			}
			s.spendTokens(bound, s.running()...)
			assert.Equal(t, len(leaving.holder.ShardShares(leaving.clock(), leaving.config)), 0)
			assert.Equal(t, s.fullyHeldShards(nil), faultShards)
		})
	}
}

// Guards against refusing the first requests of an idle workspace because its
// tokens are on VMs that are not in the address list of its callers.
func TestIdleRateIsAtAdvertisedVM(t *testing.T) {
	for _, burst := range []float64{1, 10} {
		s := newFleetSim(5, 8, 4)
		watch(s, func(text string) { t.Helper(); t.Fatal(text) })
		l := faultLimits
		l.rate, l.burst = 10, burst
		c := simConfig(1, 8, 1, 0.25, l)
		var vms []fleet.VM
		for a := range 8 {
			vms = append(vms, s.start(a, c).vm)
		}
		s.run(faultWarmUp)
		advertised := fleet.WorkspaceAddresses(vms, &c.Workspaces[0])[0].ID
		for _, n := range s.running() {
			if n.vm.ID == advertised {
				assert.Assert(t, float64(n.offer(simWorkspace, 10)) >= burst/2)
			}
		}
	}
}

// Guards against a rate that does not follow the traffic, and against a
// workspace whose burst is too small to divide and that nobody could use.
func TestRatesFollowDemand(t *testing.T) {
	for _, tc := range []struct {
		name        string
		burst       float64
		minFraction float64 // part of the rate that a VM with all the traffic gets
	}{
		{"ample burst", 160, 0.75},
		{"burst below the number of VMs", 4, 0.7},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newFleetSim(5, 8, 4)
			watch(s, func(text string) { t.Helper(); t.Fatal(text) })
			l := faultLimits
			l.rate, l.burst = 40, tc.burst
			c := simConfig(1, 8, 1, 0.25, l)
			for a := range 8 {
				s.start(a, c)
			}
			s.run(faultWarmUp)
			s.spendTokens(5*time.Second, s.nodes[4])
			count := s.spendTokens(10*time.Second, s.nodes[4])
			assert.Assert(t, float64(count) >= tc.minFraction*l.rate*10, "%d", count)
		})
	}
}

// Guards against a renewal for a VM that has not accepted the present limits,
// for a report that was overtaken, and by a VM that is not coordinator.
func TestAllocatorDoesNotRenew(t *testing.T) {
	now := simEpoch.Add(time.Hour)
	full := lease.Leadership{Fraction: lease.Full, Since: simEpoch, FullSince: simEpoch}
	for _, tc := range []struct {
		name       string
		leadership lease.Leadership
		seq        uint64
		current    bool
		want       bool
	}{
		{"coordinator", full, 2, true, true},
		{"older configuration", full, 2, false, false},
		{"overtaken", full, 1, true, false},
		{"not coordinator", lease.Leadership{}, 2, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := grant.NewAllocator()
			a.SetConfig(simConfig(1, 2, 1, 0.25, faultLimits))
			in := grant.Input{Leadership: full, VM: fleet.VM{ID: "a", State: fleet.Live}, Report: grant.Report{Seq: 1}, SentDuringLeadership: true, ConfigCurrent: true}
			assert.Assert(t, a.Answer(now, in).Renew)
			in.Leadership, in.Report.Seq, in.ConfigCurrent = tc.leadership, tc.seq, tc.current
			assert.Equal(t, a.Answer(now.Add(simHeartbeatInterval), in).Renew, tc.want)
		})
	}
}

// Guards against accepting a reply to a report that was not sent, a duplicate, a
// reply based on another version of the shares, or one that arrives after the TTL.
func TestHolderRefusesReply(t *testing.T) {
	for _, tc := range []struct {
		name  string
		after time.Duration
		reply grant.Grants
		want  bool
	}{
		{"in time", 4 * time.Second, grant.Grants{Seq: 1, Renew: true}, true},
		{"after the TTL", grant.ShareTTL, grant.Grants{Seq: 1, Renew: true}, false},
		{"report not sent", 0, grant.Grants{Seq: 2, Renew: true}, false},
		{"other base", 0, grant.Grants{Seq: 1, Base: 7, Renew: true}, false},
		{"no renewal", 0, grant.Grants{Seq: 1}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := grant.NewHolder()
			h.Report(simEpoch)
			now := simEpoch.Add(tc.after)
			tc.reply.Ranges = 1
			assert.Equal(t, h.Accept(now, tc.reply), tc.want)
			if tc.want {
				assert.Equal(t, h.Expires(), simEpoch.Add(grant.ShareTTL), "the TTL counts from the report")
				assert.Equal(t, len(h.RangeShares(now)), 1)
				assert.Equal(t, len(h.RangeShares(simEpoch.Add(grant.ShareTTL))), 0)
			}
			assert.Assert(t, !h.Accept(now, tc.reply), "doubled")
		})
	}
}

// Guards against a range that seems held without interruption although it had
// expired and another VM may have answered claims in between.
func TestRangeHeldSince(t *testing.T) {
	h := grant.NewHolder()
	heartbeat := func(at time.Duration) time.Time {
		now := simEpoch.Add(at)
		r := h.Report(now)
		assert.Assert(t, h.Accept(now, grant.Grants{Seq: r.Seq, Base: r.Base, Renew: true, Ranges: 1}))
		h.MarkApplied(h.Generation())
		return h.RangeShares(now)[0].Since
	}
	assert.Equal(t, heartbeat(0), simEpoch)
	assert.Equal(t, heartbeat(4*time.Second), simEpoch)
	assert.Equal(t, heartbeat(9*time.Second), simEpoch.Add(9*time.Second))
}

// Guards against directories that differ between VMs or from the shares held.
func TestDirectoryMatchesOwners(t *testing.T) {
	s := warmFleet(t, 8, 4)
	s.kill(s.coordinatorAddress())
	s.run(failoverBound)
	owners := s.owners()
	for _, n := range s.running() {
		d := n.holder.Directory()
		for owner, vm := range owners {
			assert.Equal(t, d.Owner(owner.shard, owner.index), vm, "%s: %v", n.vm.ID, owner)
		}
		assert.Equal(t, d.Digest(), s.coordinator().holder.Directory().Digest())
		for r := range fleet.RangeCount {
			assert.Assert(t, d.RangeHolder(r) != "")
		}
	}
}

// Guards against ranges that change their holder although nothing happens: a new
// holder does not know the request ids claimed before.
func TestRangeHoldersAreStable(t *testing.T) {
	for vms := 2; vms <= 5; vms++ {
		s := newFleetSim(int64(vms), vms, 3)
		c := simConfig(1, vms+1, 5, 0.25, faultLimits)
		for a := range vms {
			s.start(a, c)
		}
		heldSince := func() map[int]time.Time {
			out := make(map[int]time.Time)
			for _, n := range s.running() {
				for _, r := range n.holder.RangeShares(n.clock()) {
					out[r.Range] = r.Since
				}
			}
			return out
		}
		s.run(faultWarmUp)
		before := heldSince()
		assert.Equal(t, len(before), fleet.RangeCount)
		for range 60 {
			s.run(simHeartbeatInterval)
			assert.DeepEqual(t, heldSince(), before)
		}
	}
}
