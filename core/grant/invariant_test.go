package grant_test

import (
	"fmt"
	"math"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/lease"
)

// simMeter checks that in no window [s,t] more requests are admitted than burst(s)
// plus the integral of rate over [s,t], where rate and burst are the maximum in
// force on any VM: with unchanged limits, rate*(t-s) + burst. X(t) is the number
// admitted until t minus that integral; the check is X(t) <= min over s of
// X(s) + burst(s).
type simMeter struct {
	at    time.Duration
	x     float64 // X(at)
	floor float64 // min over s of X(s) + burst(s)
}

func newSimMeter() *simMeter { return &simMeter{floor: math.Inf(1)} }

// advance accounts for the time up to now, at which a window may begin.
func (m *simMeter) advance(now time.Duration, rate, burst float64) {
	m.x -= rate * (now - m.at).Seconds()
	m.at = now
	m.floor = min(m.floor, m.x+burst)
}

func (m *simMeter) excess() float64 { return m.x - m.floor }

// invariants checks the limits of the whole fleet after every tick.
type invariants struct {
	sim   *fleetSim
	meter *simMeter
	fail  func(string)
}

func watch(s *fleetSim, fail func(string)) *invariants {
	v := &invariants{sim: s, meter: newSimMeter(), fail: fail}
	s.beforeTick, s.afterTick = v.advance, v.check
	s.onAdmit = func(now time.Duration, _ string) {
		v.advance()
		v.meter.x++
		if v.meter.excess() > 1e-6 {
			fail(fmt.Sprintf("at %v: %.3f requests more than rate and burst allow", now, v.meter.excess()))
		}
	}
	return v
}

// limitsInForce returns the maximum of each limit over all VMs and their tasks.
func (v *invariants) limitsInForce() simLimits {
	var l simLimits
	for _, n := range v.sim.running() {
		for _, c := range []*config.Config{n.config, n.tasks[0].config, n.tasks[1].config} {
			l.rate = max(l.rate, c.Workspaces[0].Rate)
			l.burst = max(l.burst, c.Workspaces[0].Burst)
			l.slots = max(l.slots, c.Services[0].Slots)
			l.connections = max(l.connections, c.Services[0].Connections)
		}
	}
	return l
}

func (v *invariants) advance() {
	l := v.limitsInForce()
	v.meter.advance(v.sim.now, l.rate, l.burst)
}

func (v *invariants) check() {
	v.advance()
	l := v.limitsInForce()
	slots, connections := make(map[fleet.ShardID]int), make(map[fleet.ShardID]int)
	holders := make(map[int]fleet.VMID)
	fractions := 0
	for _, n := range v.sim.running() {
		fractions += int(n.candidate.Leadership(n.clock()).Fraction)
		v.checkShards(n, slots, connections)
		v.checkRanges(n, holders)
	}
	if fractions > int(lease.Full) {
		v.fail(fmt.Sprintf("at %v: coordinators hold %d halves of the limits", v.sim.now, fractions))
	}
	for shard, sum := range slots {
		if sum > l.slots || connections[shard] > l.connections {
			v.fail(fmt.Sprintf("at %v: shard %v has %d of %d slots and %d of %d connections granted",
				v.sim.now, shard, sum, l.slots, connections[shard], l.connections))
		}
	}
}

// checkShards adds what one VM may use of each shard: the greater of its newest
// share and of the share that its task has applied.
func (v *invariants) checkShards(n *simNode, slots, connections map[fleet.ShardID]int) {
	now := n.clock()
	vmSlots, vmConnections := make(map[fleet.ShardID]int), make(map[fleet.ShardID]int)
	for _, g := range append(n.holder.ShardShares(now, n.config), n.tasks[1].shards...) {
		if now.Before(g.Expires) {
			vmSlots[g.Shard] = max(vmSlots[g.Shard], g.Slots)
			vmConnections[g.Shard] = max(vmConnections[g.Shard], g.Connections)
		}
	}
	for shard := range vmSlots {
		slots[shard] += vmSlots[shard]
		connections[shard] += vmConnections[shard]
	}
}

// checkRanges fails if another VM may use a range that n may use.
func (v *invariants) checkRanges(n *simNode, holders map[int]fleet.VMID) {
	now := n.clock()
	for _, r := range append(n.holder.RangeShares(now), n.tasks[1].ranges...) {
		if !now.Before(r.Expires) {
			continue
		}
		if other, ok := holders[r.Range]; ok && other != n.vm.ID {
			v.fail(fmt.Sprintf("at %v: range %d is held by %s and %s", v.sim.now, r.Range, other, n.vm.ID))
		}
		holders[r.Range] = n.vm.ID
	}
}
