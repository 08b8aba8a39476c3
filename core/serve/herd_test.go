package serve

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/catalog"
)

const (
	simVMs   = 6
	simSlots = 6
	simWork  = 28.0 // milliseconds at pace 1
	simStep  = time.Millisecond
)

// simAttempt is an attempt at a target of a simulation.
type simAttempt struct {
	StartAttempt
	vm      *harness
	started time.Time
	left    float64
}

type paceFunc func(at time.Duration) float64

// sim runs six VMs, all in the zone of all targets of one service, so that nothing but
// the estimates tells the targets apart. A target runs its first simSlots attempts.
type sim struct {
	vms    []*harness
	paces  []paceFunc
	queues map[string][]*simAttempt
	states bool // the targets state their pace
	served map[string]int
	times  []time.Duration // of the attempts, also of those that were abandoned
}

func newSim(t *testing.T, states bool, paces []paceFunc) *sim {
	s := &sim{paces: paces, states: states, queues: make(map[string][]*simAttempt), served: make(map[string]int)}
	routes := testRoutes()[1:2]
	routes[0].Objective = 300 * time.Millisecond
	config := catalog.NewConfig(2, routes, []catalog.Service{{Name: "single", MaxConnections: 84}}, catalog.Limits{}, nil, nil)
	for range simVMs {
		h := newHarness(t)
		h.config, h.targets = config, make(map[string]*catalog.Target)
		for n := range paces {
			tg := h.addTarget("single", n)
			tg.Zone, tg.Slots = testSettings.Zone, simSlots
		}
		h.publish()
		s.vms = append(s.vms, h)
	}
	return s
}

// run sends requests at random times until the end, and measures from a second on.
func (s *sim) run(seed int64, perSecond float64, end time.Duration) {
	rng := rand.New(rand.NewSource(seed))
	for at := time.Duration(0); at < end; at += simStep {
		if at <= time.Second {
			s.times, s.served = nil, make(map[string]int)
		}
		if at%(100*time.Millisecond) == 0 {
			stepFleet(s.vms, 0)
		}
		for _, h := range s.vms {
			h.advance(simStep)
			h.openAll()
			if rng.Float64() < perSecond/simVMs*simStep.Seconds() {
				h.submit("/read/x")
			}
			for _, a := range h.started {
				if q := s.queues[a.Target]; !slices.ContainsFunc(q, func(o *simAttempt) bool { return o.vm == h && o.Attempt == a.Attempt }) {
					s.queues[a.Target] = append(q, &simAttempt{StartAttempt: a, vm: h, started: h.now, left: simWork})
				}
			}
		}
		for n, pace := range s.paces {
			s.serve(fmt.Sprintf("single-%d", n), pace(at))
		}
	}
}

// serve runs a target for one step.
func (s *sim) serve(id string, pace float64) {
	remove := func(a *simAttempt) {
		s.queues[id] = slices.DeleteFunc(s.queues[id], func(o *simAttempt) bool { return o == a })
		s.times = append(s.times, a.vm.now.Sub(a.started))
	}
	for i, a := range slices.Clone(s.queues[id]) {
		own := func(o StartAttempt) bool { return o.Attempt == a.Attempt }
		if !slices.ContainsFunc(a.vm.started, own) {
			remove(a) // the VM has closed its connection
			continue
		}
		if i >= simSlots {
			continue
		}
		if a.left -= float64(simStep.Milliseconds()) / pace; a.left > 0 {
			continue
		}
		load := &Load{Running: min(len(s.queues[id]), simSlots), Queued: max(len(s.queues[id])-simSlots, 0), Slots: simSlots}
		if s.states {
			load.Pace = pace
		}
		remove(a)
		s.served[id]++
		a.vm.started = slices.DeleteFunc(a.vm.started, own)
		a.vm.step(AttemptDone{Attempt: a.Attempt, Conn: a.Conn, Kind: Answered, Reusable: true, Load: load,
			Response: &Response{Status: 200, Success: true, Signature: "s"}})
	}
}

func steady(pace float64) paceFunc { return func(time.Duration) float64 { return pace } }

// slowing returns a pace that is eight times as high in every second period.
func slowing(pace float64, period time.Duration) paceFunc {
	return func(at time.Duration) float64 {
		if at/period%2 == 1 {
			return pace * 8
		}
		return pace
	}
}

// Guards against VMs that all choose the target that looked best, or one that became
// slow: with the pace, attempts take less time than without it, which is the choice by
// measured latency alone, and work spreads over the targets as they can bear it.
func TestWorkSpreadsByThePace(t *testing.T) {
	const seeds, length = 4, 8 * time.Second
	for name, c := range map[string]struct {
		perSecond float64
		most      float64 // of the mean without the pace
		paces     []paceFunc
	}{
		"slow, few requests":           {90, 1, []paceFunc{steady(0.8), steady(1), steady(8)}},
		"slow, many requests":          {420, 0.96, []paceFunc{steady(0.8), steady(1), steady(8)}},
		"slow, nearly full":            {450, 1.05, []paceFunc{steady(0.8), steady(1), steady(8)}}, // queues decide there
		"slowed for 600 ms":            {520, 1, []paceFunc{steady(0.8), steady(1), slowing(1.3, 600*time.Millisecond)}},
		"the fastest slowed for 600ms": {450, 1, []paceFunc{slowing(0.8, 600*time.Millisecond), steady(1), steady(1.3)}},
	} {
		var means [2]time.Duration
		for i, states := range []bool{false, true} {
			for seed := range int64(seeds) {
				s := newSim(t, states, c.paces)
				s.run(seed, c.perSecond, length)
				sum := time.Duration(0)
				for _, d := range s.times {
					sum += d
				}
				means[i] += sum / time.Duration(len(s.times)) / seeds
			}
		}
		t.Logf("%s: %v without the pace, %v with it", name, means[0], means[1])
		assert.Assert(t, float64(means[1]) < c.most*float64(means[0]), "%s: %v without the pace, %v with it", name, means[0], means[1])
	}
	s := newSim(t, true, []paceFunc{steady(0.8), steady(1), steady(1.3)})
	s.run(1, 520, length) // 80% of what the targets can serve
	for n, pace := range []float64{0.8, 1, 1.3} {
		bears := simSlots * 1000 / simWork / pace * (length - time.Second).Seconds()
		used := float64(s.served[fmt.Sprintf("single-%d", n)]) / bears
		t.Logf("pace %v: %.0f%% used", pace, 100*used)
		assert.Assert(t, used > 0.5 && used < 0.98, "pace %v: %v used", pace, used)
	}
}

// Guards against a target that is kept out for good because it was slow when it was
// last heard from.
func TestSlowTargetIsTriedAgain(t *testing.T) {
	const recovers, heard = 10 * time.Second, 30 * time.Second
	recovering := func(at time.Duration) float64 {
		if at < recovers {
			return 8
		}
		return 0.8
	}
	s := newSim(t, true, []paceFunc{recovering, steady(1), steady(1.3)})
	s.run(1, 90, recovers+heard)
	before := s.served["single-0"]
	assert.Assert(t, before > 0, "the target was not tried again")
	assert.Assert(t, before > s.served["single-2"], "%v", s.served)
}
