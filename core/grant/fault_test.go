package grant_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/lease"
)

var faultLimits = simLimits{rate: 400, burst: 160, slots: 6, connections: 45}

const (
	faultShards   = 10
	faultWarmUp   = 15 * time.Second
	failoverBound = 12 * time.Second // VoteTTL, ShareTTL and a few heartbeats
)

// warmFleet returns a simulated fleet in which all shares are granted.
func warmFleet(t *testing.T, vms, zones int) *fleetSim {
	t.Helper()
	s := newFleetSim(1, vms, zones)
	watch(s, func(text string) { t.Helper(); t.Fatal(text) })
	c := simConfig(1, vms, faultShards, 0.25, faultLimits)
	for a := range vms {
		s.start(a, c)
	}
	s.run(faultWarmUp)
	assert.Equal(t, s.fullyHeldShards(nil), faultShards)
	return s
}

// coordinator returns the VM that is coordinator, nil when there is none.
func (s *fleetSim) coordinator() *simNode {
	for _, n := range s.running() {
		if n.candidate.Leadership(n.clock()).Fraction != lease.None {
			return n
		}
	}
	return nil
}

// slots returns the slots per shard that the VMs on the given partition sides
// hold; on all sides when sides is nil.
func (s *fleetSim) slots(sides []int) map[fleet.ShardID]int {
	sum := make(map[fleet.ShardID]int)
	for _, n := range s.running() {
		if sides != nil && !slices.Contains(sides, s.side[n.address]) {
			continue
		}
		for _, g := range n.holder.ShardShares(n.clock(), n.config) {
			sum[g.Shard] += g.Slots
		}
	}
	return sum
}

// fullyHeldShards returns the number of shards whose slots are all held.
func (s *fleetSim) fullyHeldShards(sides []int) int {
	n := 0
	for _, slots := range s.slots(sides) {
		if slots == faultLimits.slots {
			n++
		}
	}
	return n
}

// spendTokens makes VMs spend every token as soon as it accrues, for the duration
// d, and returns how many they spent.
func (s *fleetSim) spendTokens(d time.Duration, nodes ...*simNode) int {
	sum := 0
	for end := s.now + d; s.now < end; s.run(simTick) {
		for _, n := range nodes {
			n.offered[simWorkspace] = faultLimits.rate
			sum += n.offer(simWorkspace, simMaxRetries)
		}
	}
	return sum
}

// Guards against an equal split in which the halves together exceed a limit, or
// in which one half holds nothing.
func TestFaultPartitionHalf(t *testing.T) {
	s := warmFleet(t, 8, 4)
	for a := range s.side {
		s.side[a] = a % 2
	}
	s.run(20 * time.Second)
	for side := range 2 {
		slots := s.slots([]int{side})
		assert.Equal(t, len(slots), faultShards)
		for shard, n := range slots {
			assert.Equal(t, n, faultLimits.slots/2, "shard %v side %d", shard, side)
		}
	}
	count := s.spendTokens(10*time.Second, s.running()...)
	assert.Assert(t, float64(count) > 0.9*faultLimits.rate*10, "%d", count)
	clear(s.side)
	s.run(20 * time.Second)
	assert.Equal(t, s.fullyHeldShards(nil), faultShards)
}

// Guards against a partitioned VM that keeps its shares or loses its floor, and
// against shards that it still owns afterwards.
func TestFaultVMIsolated(t *testing.T) {
	s := warmFleet(t, 8, 4)
	isolated := s.nodes[3]
	s.side[3] = 1
	s.run(failoverBound)
	assert.Equal(t, len(isolated.holder.ShardShares(isolated.clock(), isolated.config)), 0)
	assert.Equal(t, s.fullyHeldShards([]int{0}), faultShards)
	admitted := s.spendTokens(10*time.Second, isolated)
	floor := 0.25 * faultLimits.rate / 8 * 10
	assert.Assert(t, float64(admitted) > 0.9*floor && float64(admitted) < floor+faultLimits.burst, "%d", admitted)
}

// Guards against a VM that uses its shares after a pause, when they have expired
// and other VMs may hold them.
func TestFaultVMPausedWakesLate(t *testing.T) {
	s := warmFleet(t, 4, 4)
	paused := s.nodes[1]
	assert.Assert(t, len(paused.holder.ShardShares(paused.clock(), paused.config)) > 0)
	s.pause(1, 9*time.Second)
	s.run(9*time.Second - simTick)
	assert.Equal(t, s.fullyHeldShards(nil), faultShards, "others have taken over")
	paused.pausedUntil = 0
	assert.Equal(t, len(paused.holder.ShardShares(paused.clock(), paused.config)), 0)
	assert.Equal(t, len(paused.holder.RangeShares(paused.clock())), 0)
	s.spendTokens(5*time.Second, s.running()...)
	s.run(failoverBound)
	assert.Equal(t, s.fullyHeldShards(nil), faultShards)
}

// Guards against a replacement VM that votes while its predecessor's vote at the
// same address still counts, which would elect two coordinators.
func TestFaultVMReplacedSameAddress(t *testing.T) {
	for seed := range int64(20) {
		s := newFleetSim(seed, 3, 3)
		watch(s, func(text string) { t.Helper(); t.Fatalf("seed %d: %s", seed, text) })
		c := simConfig(1, 3, faultShards, 0.25, faultLimits)
		for a := range 3 {
			s.start(a, c)
		}
		s.run(faultWarmUp)
		first := s.coordinator()
		s.side[first.address] = 1
		replaced := (first.address + 1) % 3
		s.kill(replaced)
		s.start(replaced, c)
		s.spendTokens(failoverBound, s.running()...)
		assert.Equal(t, s.fullyHeldShards([]int{0}), faultShards)
	}
}

// Guards against shares that move while a reply that grants them may be in
// flight, or before they have expired at their holder.
func TestFaultGrantLost(t *testing.T) {
	s := warmFleet(t, 4, 4)
	affected := s.nodes[2]
	s.dropReply = func(to *simNode) bool { return to == affected }
	s.run(3 * time.Second)
	assert.Equal(t, s.fullyHeldShards(nil), faultShards, "a share outlasts lost replies")
	s.run(5 * time.Second)
	assert.Equal(t, len(affected.holder.ShardShares(affected.clock(), affected.config)), 0)
	s.spendTokens(5*time.Second, s.running()...)
	s.dropReply = nil
	s.run(failoverBound)
	assert.Equal(t, s.fullyHeldShards(nil), faultShards)
}

// Guards against duplicated and overtaken messages that restore a share which was
// given back.
func TestFaultGrantDoubled(t *testing.T) {
	s := warmFleet(t, 4, 4)
	s.duplication, s.maxDelay = 1, 800*time.Millisecond
	for a := range 4 {
		s.spendTokens(5*time.Second, s.nodes[a])
	}
	assert.Equal(t, s.fullyHeldShards(nil), faultShards)
}

// Guards against shards that stay without an owner when an owner or the
// coordinator dies, and against owners that change or lose their shares although
// their VM is running.
func TestFaultHomeDies(t *testing.T) {
	for name, chooseNode := range map[string]func(*fleetSim) *simNode{
		"holder": func(s *fleetSim) *simNode {
			return s.nodes[(s.coordinator().address+1)%8]
		},
		"coordinator": (*fleetSim).coordinator,
	} {
		t.Run(name, func(t *testing.T) {
			s := warmFleet(t, 8, 4)
			dead := chooseNode(s)
			before := s.owners()
			s.kill(dead.address)
			for end := s.now + failoverBound; s.now < end; {
				s.spendTokens(simHeartbeatInterval, s.running()...)
				current := s.owners()
				for owner, vm := range before {
					if vm != dead.vm.ID {
						assert.Equal(t, current[owner], vm, "%v at %v", owner, s.now)
					}
				}
			}
			assert.Equal(t, s.fullyHeldShards(nil), faultShards)
		})
	}
}

type simOwner struct {
	shard fleet.ShardID
	index int
}

func (s *fleetSim) owners() map[simOwner]fleet.VMID {
	out := make(map[simOwner]fleet.VMID)
	for _, n := range s.running() {
		for _, g := range n.holder.ShardShares(n.clock(), n.config) {
			out[simOwner{g.Shard, g.OwnerIndex}] = n.vm.ID
		}
	}
	return out
}

// Guards against shares that overlap with those from before a restart of all VMs,
// or that are not granted again in time.
func TestFaultMassRestart(t *testing.T) {
	s := warmFleet(t, 8, 4)
	c := s.nodes[0].config
	for a := range s.nodes {
		s.kill(a)
		s.start(a, c)
	}
	s.run(3 * time.Second)
	assert.Assert(t, s.coordinator() == nil, "no votes yet")
	s.spendTokens(9*time.Second, s.running()...)
	assert.Equal(t, s.fullyHeldShards(nil), faultShards)
}

// Guards against a lowered limit that VMs exceed after they have accepted it, and
// against a raised limit that takes effect only when shares expire.
func TestFaultLimitLowered(t *testing.T) {
	s := warmFleet(t, 4, 4)
	s.spendTokens(5*time.Second, s.nodes[0])
	low := faultLimits
	low.rate, low.burst, low.slots = 40, 16, 2
	s.nodes[1].acceptConfig(simConfig(2, 4, faultShards, 0.25, low))
	s.run(3 * time.Second)
	for _, n := range s.running() {
		assert.Equal(t, n.config.Revision, uint64(2))
	}
	for shard, n := range s.slots(nil) {
		assert.Equal(t, n, low.slots, "shard %v", shard)
	}
	count := s.spendTokens(10*time.Second, s.running()...)
	assert.Assert(t, float64(count) <= low.rate*10+low.burst, "%d", count)
	assert.Assert(t, float64(count) >= 0.9*low.rate*10, "%d", count)
	for _, n := range s.running() {
		n.acceptConfig(simConfig(3, 4, faultShards, 0.25, faultLimits))
	}
	assert.Equal(t, s.fullyHeldShards(nil), faultShards, "a raised limit takes effect at once")
}

// Guards against a coordinator that is elected while shards move to other owners,
// and whose directory then names VMs that hold no share.
func TestFaultCoordinatorDiesDuringMoves(t *testing.T) {
	for seed := range int64(10) {
		s := newFleetSim(seed, 8, 4)
		watch(s, func(text string) { t.Helper(); t.Fatalf("seed %d: %s", seed, text) })
		c := simConfig(1, 8, 5, 0.25, faultLimits)
		for a := range 8 {
			s.start(a, c)
		}
		s.run(9*time.Second + time.Duration(seed)*200*time.Millisecond)
		if dead := s.coordinator(); dead != nil {
			s.kill(dead.address)
			s.start(dead.address, c)
		}
		s.run(2 * failoverBound)
		owners := s.owners()
		assert.Equal(t, len(owners), 10)
		for _, n := range s.running() {
			for owner, vm := range owners {
				assert.Equal(t, n.holder.Directory().Owner(owner.shard, owner.index), vm, "seed %d: %v", seed, owner)
			}
		}
	}
}
