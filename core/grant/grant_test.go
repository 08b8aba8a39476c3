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

// Guards against homes that together get more or less than a limit, whole or halved.
func TestHomeShareParts(t *testing.T) {
	for n := range 50 {
		two := func(half bool) int {
			return fleet.ShardShare{OwnerIndex: 0, Owners: 2, Half: half}.Scale(n) + fleet.ShardShare{OwnerIndex: 1, Owners: 2, Half: half}.Scale(n)
		}
		assert.Equal(t, two(false), n)
		assert.Equal(t, two(true), n/2)
		assert.Equal(t, fleet.ShardShare{Owners: 1}.Scale(n), n)
		assert.Equal(t, fleet.ShardShare{Owners: 1, Half: true}.Scale(n), n/2)
	}
}

// Guards against homes of one group in the same zone, homes that move while the
// fleet stays the same, and a new VM that gets no homes or moves too many.
func TestHomesAreSpreadAndStable(t *testing.T) {
	s := newFleetSim(3, 9, 3)
	watch(s, func(text string) { t.Helper(); t.Fatal(text) })
	c := simConfig(1, 9, 40, 0.25, faultLimits)
	for a := range 8 {
		s.start(a, c)
	}
	s.run(faultWarmUp)
	before := s.homes()
	assert.Equal(t, len(before), 80)
	zone := func(id fleet.VMID) string {
		for _, n := range s.running() {
			if n.vm.ID == id {
				return n.vm.Zone
			}
		}
		return ""
	}
	for home, vm := range before {
		other := before[simHome{home.group, 1 - home.index}]
		assert.Assert(t, zone(vm) != zone(other), "%v: %s and %s", home, vm, other)
	}
	s.run(20 * time.Second)
	assert.DeepEqual(t, fmt.Sprint(s.homes()), fmt.Sprint(before))
	added := s.start(8, c)
	s.run(30 * time.Second)
	moved := 0
	for home, vm := range s.homes() {
		if before[home] != vm {
			moved++
		}
	}
	mine := len(added.holder.ShardShares(added.clock(), c))
	assert.Assert(t, moved <= 2*mine && moved <= 15, "%d moved, %d to the new VM", moved, mine)
	settled := fmt.Sprint(s.homes())
	s.run(30 * time.Second)
	assert.Equal(t, fmt.Sprint(s.homes()), settled, "moves go on")
}

// Guards against homes that move back and forth because zones of different size
// cannot have equal parts.
func TestHomesSettleInUnevenZones(t *testing.T) {
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
		settled := fmt.Sprint(s.homes())
		for range 20 {
			s.run(time.Second)
			assert.Equal(t, fmt.Sprint(s.homes()), settled, "%d VMs", vms)
		}
	}
}

// Guards against a planned stop that leaves shares to expire, or after which
// a coordinator's successor waits for votes to expire.
func TestLeavingGivesBackAtOnce(t *testing.T) {
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
				bound += lease.VoteTTL + grant.ShareTTL // the successor waits for shares that nobody reported
			}
			s.offerAll(bound, s.running()...)
			assert.Equal(t, len(leaving.holder.ShardShares(leaving.clock(), leaving.config)), 0)
			assert.Equal(t, s.served(nil), faultGroups)
		})
	}
}

// Guards against first requests of an idle workspace that are refused because
// its tokens are on VMs that its callers are not told to use.
func TestIdleRateWaitsAtToldVM(t *testing.T) {
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
		told := fleet.WorkspaceAddresses(vms, &c.Workspaces[0])[0].ID
		for _, n := range s.running() {
			if n.vm.ID == told {
				assert.Assert(t, float64(n.offer(simWorkspace, 10)) >= burst/2)
			}
		}
	}
}

// Guards against a rate that does not follow the traffic, and against a
// workspace whose burst is too small to divide and that nobody could use.
func TestRatesFollowDemand(t *testing.T) {
	for _, tc := range []struct {
		name  string
		burst float64
		least float64 // part of the rate that a VM with all the traffic gets
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
			s.offerAll(5*time.Second, s.nodes[4])
			count := s.offerAll(10*time.Second, s.nodes[4])
			assert.Assert(t, float64(count) >= tc.least*l.rate*10, "%d", count)
		})
	}
}

// Guards against a renewal for a VM that has not accepted the present limits,
// for a report that was overtaken, and by a VM that is not coordinator.
func TestAllocatorDoesNotRenew(t *testing.T) {
	now := simEpoch.Add(time.Hour)
	whole := lease.Leadership{Fraction: lease.Full, Since: simEpoch, FullSince: simEpoch}
	for _, tc := range []struct {
		name    string
		tenure  lease.Leadership
		seq     uint64
		current bool
		want    bool
	}{
		{"coordinator", whole, 2, true, true},
		{"older configuration", whole, 2, false, false},
		{"overtaken", whole, 1, true, false},
		{"not coordinator", lease.Leadership{}, 2, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := grant.NewAllocator()
			a.SetConfig(simConfig(1, 2, 1, 0.25, faultLimits))
			in := grant.Input{Leadership: whole, VM: fleet.VM{ID: "a", State: fleet.Live}, Report: grant.Report{Seq: 1}, Fresh: true, ConfigCurrent: true}
			assert.Assert(t, a.Answer(now, in).Renew)
			in.Leadership, in.Report.Seq, in.ConfigCurrent = tc.tenure, tc.seq, tc.current
			assert.Equal(t, a.Answer(now.Add(simBeat), in).Renew, tc.want)
		})
	}
}

// Guards against replies that a holder must not take: for a report that was not
// sent, doubled, on other shares than it has, or after the term.
func TestHolderRefusesReply(t *testing.T) {
	for _, tc := range []struct {
		name  string
		after time.Duration
		reply grant.Grants
		want  bool
	}{
		{"in time", 4 * time.Second, grant.Grants{Seq: 1, Renew: true}, true},
		{"after the term", grant.ShareTTL, grant.Grants{Seq: 1, Renew: true}, false},
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
				assert.Equal(t, h.Expires(), simEpoch.Add(grant.ShareTTL), "the term counts from the report")
				assert.Equal(t, len(h.RangeShares(now)), 1)
				assert.Equal(t, len(h.RangeShares(simEpoch.Add(grant.ShareTTL))), 0)
			}
			assert.Assert(t, !h.Accept(now, tc.reply), "doubled")
		})
	}
}

// Guards against a tenure that seems unbroken although the range had expired
// and another VM may have answered claims meanwhile.
func TestRangeTenure(t *testing.T) {
	h := grant.NewHolder()
	beat := func(at time.Duration) time.Time {
		now := simEpoch.Add(at)
		r := h.Report(now)
		assert.Assert(t, h.Accept(now, grant.Grants{Seq: r.Seq, Base: r.Base, Renew: true, Ranges: 1}))
		h.Applied(h.Generation())
		return h.RangeShares(now)[0].Since
	}
	assert.Equal(t, beat(0), simEpoch)
	assert.Equal(t, beat(4*time.Second), simEpoch)
	assert.Equal(t, beat(9*time.Second), simEpoch.Add(9*time.Second))
}

// Guards against directories that differ between VMs, and against sending the
// whole directory where a few changes do.
func TestDirectoryFollows(t *testing.T) {
	s := warmFleet(t, 8, 4)
	s.kill(s.coordinatorAddress())
	s.run(failoverBound)
	homes := s.homes()
	for _, n := range s.running() {
		d := n.holder.Directory()
		for home, vm := range homes {
			assert.Equal(t, d.Owner(home.group, home.index), vm, "%s: %v", n.vm.ID, home)
		}
		assert.Equal(t, d.Digest(), s.coordinator().holder.Directory().Digest())
		for r := range fleet.RangeCount {
			assert.Assert(t, d.RangeHolder(r) != "")
		}
	}
}

// Guards against tenures that begin anew although nothing happens: claims of ids
// from before a tenure are unknown.
func TestTenuresLast(t *testing.T) {
	for vms := 2; vms <= 5; vms++ {
		s := newFleetSim(int64(vms), vms, 3)
		c := simConfig(1, vms+1, 5, 0.25, faultLimits)
		for a := range vms {
			s.start(a, c)
		}
		tenures := func() map[int]time.Time {
			out := make(map[int]time.Time)
			for _, n := range s.running() {
				for _, r := range n.holder.RangeShares(n.clock()) {
					out[r.Range] = r.Since
				}
			}
			return out
		}
		s.run(faultWarmUp)
		before := tenures()
		assert.Equal(t, len(before), fleet.RangeCount)
		for range 60 {
			s.run(simBeat)
			assert.DeepEqual(t, tenures(), before)
		}
	}
}
