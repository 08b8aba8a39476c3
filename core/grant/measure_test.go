package grant_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
)

const (
	measureSeed   = 1
	measureVMs    = 8
	measureWarmUp = 20 * time.Second
	measureFor    = 40 * time.Second
	measureTail   = 10 * time.Second // last part of measureFor, when shares no longer move
	measureLoad   = 0.95             // offered requests, as a fraction of the rate
	measureFloor  = 0.25             // default floor_fraction
)

// measurement offers requests of one workspace within its rate and counts how many
// are admitted.
type measurement struct {
	sim               *fleetSim
	config            *config.Config
	usesVM            func(*simNode) bool // VMs that callers use
	counts            map[*simNode]float64
	offered, admitted float64
}

func measure(floor float64, maxVMs, addresses int, fail func(string)) *measurement {
	s := newFleetSim(measureSeed, addresses, 4)
	watch(s, fail)
	m := &measurement{sim: s, counts: make(map[*simNode]float64)}
	m.usesVM = func(n *simNode) bool { return n.vm.State == fleet.Live }
	m.config = simConfig(1, maxVMs, 4, floor, faultLimits)
	for a := range measureVMs {
		s.start(a, m.config)
	}
	m.run(measureWarmUp)
	m.offered, m.admitted = 0, 0
	return m
}

// run offers requests as a Poisson process, evenly to all VMs that callers use.
func (m *measurement) run(d time.Duration) {
	ticks := int(time.Second / simTick)
	for i := range int(d / simTick) {
		var vms []*simNode
		for _, n := range m.sim.running() {
			if m.usesVM(n) {
				vms = append(vms, n)
			}
		}
		for _, n := range vms {
			count := poisson(m.sim.random.Float64, measureLoad*faultLimits.rate*simTick.Seconds()/float64(len(vms)))
			m.counts[n] += float64(count)
			m.offered += float64(count)
			for range count {
				m.admitted += float64(n.offer(simWorkspace, 1))
			}
		}
		if i%ticks == ticks-1 {
			for _, n := range m.sim.running() {
				n.offered[simWorkspace] = (n.offered[simWorkspace] + m.counts[n]) / 2
				m.counts[n] = 0
			}
		}
		m.sim.run(simTick)
	}
}

func poisson(random func() float64, mean float64) int {
	n, p := 0, random()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= random()
	}
	return n
}

// shares runs for measureFor and returns the fraction of requests admitted in the
// whole time and in measureTail.
func (m *measurement) shares() (total, tail float64) {
	m.run(measureFor - measureTail)
	offered, admitted := m.offered, m.admitted
	m.run(measureTail)
	return m.admitted / m.offered, (m.admitted - admitted) / (m.offered - offered)
}

// replaceAll replaces the VMs one by one: it starts the new VM, makes the old one
// leave, and stops it.
func (m *measurement) replaceAll(spare int) {
	for a := range measureVMs {
		m.sim.start(spare, m.config)
		m.run(5 * time.Second)
		m.sim.nodes[a].leave()
		m.run(2 * time.Second)
		m.sim.kill(a)
		m.run(time.Second)
		spare = a
	}
}

func (m *measurement) useOnly(address int) {
	m.usesVM = func(n *simNode) bool { return n.address == address }
}

func (m *measurement) split(side func(address int) int) {
	for a := range m.sim.side {
		m.sim.side[a] = side(a)
	}
}

// Measures how much of a workspace's rate callers can use with each floor
// fraction. The figures are in docs/measurements-quota.md. Guards against a
// division that refuses requests within the rate while all VMs are healthy.
func TestMeasureUsableShare(t *testing.T) {
	cases := []struct {
		name              string
		maxVMs, addresses int
		event             func(*measurement)
	}{
		{"all well", 8, 8, func(*measurement) {}},
		{"one VM lost", 8, 8, func(m *measurement) { m.sim.kill(3) }},
		{"coordinator lost", 8, 8, func(m *measurement) { m.sim.kill(m.sim.coordinatorAddress()) }},
		{"zone cut off (2 of 8)", 8, 8, func(m *measurement) { m.split(func(a int) int { return b2i(a%4 == 1) }) }},
		{"equal split (4 and 4), max_vms 8", 8, 8, func(m *measurement) { m.split(func(a int) int { return a % 2 }) }},
		{"equal split (4 and 4), max_vms 9", 9, 9, func(m *measurement) { m.split(func(a int) int { return a % 2 }) }},
		{"rolling replacement, max_vms 9", 9, 9, func(m *measurement) { m.replaceAll(8) }},
		{"one VM gets all traffic", 8, 8, func(m *measurement) { m.useOnly(2) }},
		{"that VM lost, another gets it", 8, 8, func(m *measurement) {
			m.useOnly(2)
			m.run(measureWarmUp)
			m.offered, m.admitted = 0, 0
			m.sim.kill(2)
			m.useOnly(3)
		}},
	}
	floors := []float64{1, 0, measureFloor, 0.5}
	t.Logf("%-34s %-16s %-16s %-16s %-16s", "admitted / offered: whole (tail)", "1/M by right", "majority only", "floor 0.25", "floor 0.5")
	for _, tc := range cases {
		row := ""
		for _, floor := range floors {
			m := measure(floor, tc.maxVMs, tc.addresses, func(text string) { t.Fatalf("%s, floor %v: %s", tc.name, floor, text) })
			tc.event(m)
			total, tail := m.shares()
			row += fmt.Sprintf(" %.3f (%.3f)   ", total, tail)
			if tc.name == "all well" && floor == measureFloor {
				assert.Assert(t, total > 0.98, "%v", total)
			}
		}
		t.Logf("%-34s%s", tc.name, row)
	}
}

func (s *fleetSim) coordinatorAddress() int {
	if n := s.coordinator(); n != nil {
		return n.address
	}
	return 0
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
