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
	faultGroups   = 10
	faultWarmUp   = 15 * time.Second
	failoverBound = 12 * time.Second // a vote term, a share term and a few heartbeats
)

// warmFleet returns a fleet in which every VM has its shares.
func warmFleet(t *testing.T, vms, zones int) *fleetSim {
	t.Helper()
	s := newFleetSim(1, vms, zones)
	watch(s, func(text string) { t.Helper(); t.Fatal(text) })
	c := simConfig(1, vms, faultGroups, 0.25, faultLimits)
	for a := range vms {
		s.start(a, c)
	}
	s.run(faultWarmUp)
	assert.Equal(t, s.served(nil), faultGroups)
	return s
}

func (s *fleetSim) coordinator() *simNode {
	for _, n := range s.running() {
		if n.candidate.Leadership(n.clock()).Fraction != lease.None {
			return n
		}
	}
	return nil
}

// slots returns the slots per group that the VMs on one partition side hold; all
// sides when sides is nil.
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

// served counts the groups whose slots are all held.
func (s *fleetSim) served(sides []int) int {
	n := 0
	for _, slots := range s.slots(sides) {
		if slots == faultLimits.slots {
			n++
		}
	}
	return n
}

// offerAll lets VMs spend every token for a while and returns how many they spent.
func (s *fleetSim) offerAll(d time.Duration, nodes ...*simNode) int {
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
// in which a half has nothing.
func TestFaultPartitionHalf(t *testing.T) {
	s := warmFleet(t, 8, 4)
	for a := range s.side {
		s.side[a] = a % 2
	}
	s.run(20 * time.Second)
	for side := range 2 {
		slots := s.slots([]int{side})
		assert.Equal(t, len(slots), faultGroups)
		for g, n := range slots {
			assert.Equal(t, n, faultLimits.slots/2, "group %v side %d", g, side)
		}
	}
	count := s.offerAll(10*time.Second, s.running()...)
	assert.Assert(t, float64(count) > 0.9*faultLimits.rate*10, "%d", count)
	clear(s.side)
	s.run(20 * time.Second)
	assert.Equal(t, s.served(nil), faultGroups)
}

// Guards against an isolated VM that keeps its shares or loses its floor, and
// against homes that stay with it.
func TestFaultVMIsolated(t *testing.T) {
	s := warmFleet(t, 8, 4)
	cut := s.nodes[3]
	s.side[3] = 1
	s.run(failoverBound)
	assert.Equal(t, len(cut.holder.ShardShares(cut.clock(), cut.config)), 0)
	assert.Equal(t, s.served([]int{0}), faultGroups)
	alone := s.offerAll(10*time.Second, cut)
	floor := 0.25 * faultLimits.rate / 8 * 10
	assert.Assert(t, float64(alone) > 0.9*floor && float64(alone) < floor+faultLimits.burst, "%d", alone)
}

// Guards against a VM that uses its shares after a pause: they have expired and
// others may hold them.
func TestFaultVMPausedWakesLate(t *testing.T) {
	s := warmFleet(t, 4, 4)
	paused := s.nodes[1]
	assert.Assert(t, len(paused.holder.ShardShares(paused.clock(), paused.config)) > 0)
	s.pause(1, 9*time.Second)
	s.run(9*time.Second - simTick)
	assert.Equal(t, s.served(nil), faultGroups, "others have taken over")
	paused.pausedUntil = 0
	assert.Equal(t, len(paused.holder.ShardShares(paused.clock(), paused.config)), 0)
	assert.Equal(t, len(paused.holder.RangeShares(paused.clock())), 0)
	s.offerAll(5*time.Second, s.running()...)
	s.run(failoverBound)
	assert.Equal(t, s.served(nil), faultGroups)
}

// Guards against a replacement that votes although its predecessor's vote still
// counts, which would make two coordinators.
func TestFaultVMReplacedSameAddress(t *testing.T) {
	for seed := range int64(20) {
		s := newFleetSim(seed, 3, 3)
		watch(s, func(text string) { t.Helper(); t.Fatalf("seed %d: %s", seed, text) })
		c := simConfig(1, 3, faultGroups, 0.25, faultLimits)
		for a := range 3 {
			s.start(a, c)
		}
		s.run(faultWarmUp)
		first := s.coordinator()
		s.side[first.address] = 1
		replaced := (first.address + 1) % 3
		s.kill(replaced)
		s.start(replaced, c)
		s.offerAll(failoverBound, s.running()...)
		assert.Equal(t, s.served([]int{0}), faultGroups)
	}
}

// Guards against shares that move while a reply with them may be under way, or
// before their holder's term has ended.
func TestFaultGrantLost(t *testing.T) {
	s := warmFleet(t, 4, 4)
	deaf := s.nodes[2]
	s.dropReply = func(to *simNode) bool { return to == deaf }
	s.run(3 * time.Second)
	assert.Equal(t, s.served(nil), faultGroups, "a share outlasts lost replies")
	s.run(5 * time.Second)
	assert.Equal(t, len(deaf.holder.ShardShares(deaf.clock(), deaf.config)), 0)
	s.offerAll(5*time.Second, s.running()...)
	s.dropReply = nil
	s.run(failoverBound)
	assert.Equal(t, s.served(nil), faultGroups)
}

// Guards against doubled and overtaken messages that bring back what was given back.
func TestFaultGrantDoubled(t *testing.T) {
	s := warmFleet(t, 4, 4)
	s.doubled, s.maxDelay = 1, 800*time.Millisecond
	for a := range 4 {
		s.offerAll(5*time.Second, s.nodes[a])
	}
	assert.Equal(t, s.served(nil), faultGroups)
}

// Guards against groups that stay without a home when a holder or the
// coordinator dies, and against homes that move or pause although their VM lives.
func TestFaultHomeDies(t *testing.T) {
	for name, choose := range map[string]func(*fleetSim) *simNode{
		"holder": func(s *fleetSim) *simNode {
			return s.nodes[(s.coordinator().address+1)%8]
		},
		"coordinator": (*fleetSim).coordinator,
	} {
		t.Run(name, func(t *testing.T) {
			s := warmFleet(t, 8, 4)
			dead := choose(s)
			before := s.homes()
			s.kill(dead.address)
			for end := s.now + failoverBound; s.now < end; {
				s.offerAll(simBeat, s.running()...)
				now := s.homes()
				for home, vm := range before {
					if vm != dead.vm.ID {
						assert.Equal(t, now[home], vm, "%v at %v", home, s.now)
					}
				}
			}
			assert.Equal(t, s.served(nil), faultGroups)
		})
	}
}

type simHome struct {
	group fleet.ShardID
	index int
}

func (s *fleetSim) homes() map[simHome]fleet.VMID {
	out := make(map[simHome]fleet.VMID)
	for _, n := range s.running() {
		for _, g := range n.holder.ShardShares(n.clock(), n.config) {
			out[simHome{g.Shard, g.OwnerIndex}] = n.vm.ID
		}
	}
	return out
}

// Guards against a restart of all VMs after which shares overlap with those of
// the earlier incarnations, or do not come back in time.
func TestFaultMassRestart(t *testing.T) {
	s := warmFleet(t, 8, 4)
	c := s.nodes[0].config
	for a := range s.nodes {
		s.kill(a)
		s.start(a, c)
	}
	s.run(3 * time.Second)
	assert.Assert(t, s.coordinator() == nil, "no votes yet")
	s.offerAll(9*time.Second, s.running()...)
	assert.Equal(t, s.served(nil), faultGroups)
}

// Guards against a lowered limit that VMs exceed once they have accepted it, and
// against a raised one that waits for shares to expire.
func TestFaultLimitLowered(t *testing.T) {
	s := warmFleet(t, 4, 4)
	s.offerAll(5*time.Second, s.nodes[0])
	low := faultLimits
	low.rate, low.burst, low.slots = 40, 16, 2
	s.nodes[1].takeConfig(simConfig(2, 4, faultGroups, 0.25, low))
	s.run(3 * time.Second)
	for _, n := range s.running() {
		assert.Equal(t, n.config.Revision, uint64(2))
	}
	for g, n := range s.slots(nil) {
		assert.Equal(t, n, low.slots, "group %v", g)
	}
	count := s.offerAll(10*time.Second, s.running()...)
	assert.Assert(t, float64(count) <= low.rate*10+low.burst, "%d", count)
	assert.Assert(t, float64(count) >= 0.9*low.rate*10, "%d", count)
	for _, n := range s.running() {
		n.takeConfig(simConfig(3, 4, faultGroups, 0.25, faultLimits))
	}
	assert.Equal(t, s.served(nil), faultGroups, "a raised limit takes effect at once")
}

// Guards against a coordinator that takes over while homes move and whose
// directory then names VMs that hold nothing.
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
		homes := s.homes()
		assert.Equal(t, len(homes), 10)
		for _, n := range s.running() {
			for home, vm := range homes {
				assert.Equal(t, n.holder.Directory().Owner(home.group, home.index), vm, "seed %d: %v", seed, home)
			}
		}
	}
}
