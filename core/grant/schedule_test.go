package grant_test

import (
	"time"

	"pgregory.net/rapid"

	"github.com/anvilfork/anvilfork/core/config"
)

// schedule draws the events of a simulated fleet.
type schedule struct {
	t        *rapid.T
	sim      *fleetSim
	maxVMs   int
	floor    float64
	revision uint64
	config   *config.Config
}

func (r *schedule) step() {
	switch rapid.SampledFrom([]string{
		"run", "run", "drain", "drain", "drain", "network", "pause", "restart", "stop", "partition", "split", "heal", "limits", "leave", "demand", "tasks", "failover", "hot split",
	}).Draw(r.t, "action") {
	case "run":
		r.sim.run(r.duration("for", 10*time.Second))
	case "drain":
		r.exhaustTokens()
	case "network":
		r.sim.loss = float64(rapid.IntRange(0, 60).Draw(r.t, "loss percent")) / 100
		r.sim.duplication = float64(rapid.IntRange(0, 50).Draw(r.t, "doubled percent")) / 100
		r.sim.maxDelay = r.duration("delay", 6*time.Second)
	case "pause":
		r.sim.pause(r.address(), r.duration("pause", 9*time.Second))
	case "restart":
		a := r.address()
		r.sim.kill(a)
		r.sim.start(a, r.config)
	case "stop":
		r.sim.kill(r.address())
	case "partition":
		for a := range r.sim.side {
			r.sim.side[a] = rapid.IntRange(0, 2).Draw(r.t, "side")
		}
	case "split":
		first := rapid.IntRange(0, 1).Draw(r.t, "first")
		for a := range r.sim.side {
			r.sim.side[a] = (a + first) % 2
		}
	case "heal":
		clear(r.sim.side)
		r.sim.loss = 0
		r.sim.maxDelay = 10 * time.Millisecond
	case "limits":
		r.newLimits()
		if n := r.sim.nodes[r.address()]; n != nil {
			n.acceptConfig(r.config)
		}
	case "leave":
		if n := r.sim.nodes[r.address()]; n != nil {
			n.leave()
		}
	case "demand":
		if n := r.sim.nodes[r.address()]; n != nil {
			n.offered[simWorkspace] = float64(rapid.IntRange(0, 60).Draw(r.t, "demand"))
		}
	case "failover":
		r.failover()
	case "hot split":
		r.hotSplit()
	case "tasks":
		r.sim.taskDelay = r.duration("task delay", 4*time.Second)
	}
}

// duration draws one of the durations at which behaviour changes: below a
// heartbeat interval, around VoteTTL and around ShareTTL, but at most limit.
func (r *schedule) duration(label string, limit time.Duration) time.Duration {
	d := rapid.SampledFrom([]time.Duration{
		0, 100 * time.Millisecond, 600 * time.Millisecond, 1300 * time.Millisecond, 2500 * time.Millisecond,
		3300 * time.Millisecond, 4700 * time.Millisecond, 5300 * time.Millisecond, 8 * time.Second,
	}).Draw(r.t, label)
	return min(d, limit)
}

func (r *schedule) address() int { return rapid.IntRange(0, r.maxVMs-1).Draw(r.t, "address") }

// failover partitions one VM, restarts another and, after a while, makes some VMs
// spend their tokens.
func (r *schedule) failover() {
	cut, restarted := r.address(), r.address()
	clear(r.sim.side)
	r.sim.side[cut] = 1
	if restarted != cut {
		r.sim.kill(restarted)
		r.sim.start(restarted, r.config)
	}
	r.sim.run(r.duration("after failover", 8*time.Second))
	r.exhaustTokens()
}

// hotSplit sends all traffic to one VM and splits the fleet equally when that VM
// has most of the rate.
func (r *schedule) hotSplit() {
	hot := r.address()
	for a, n := range r.sim.nodes {
		if n != nil {
			n.offered[simWorkspace] = 0
			if a == hot {
				n.offered[simWorkspace] = 200
			}
		}
	}
	r.sim.run(r.duration("before split", 8*time.Second))
	for a := range r.sim.side {
		r.sim.side[a] = a % 2
	}
	r.sim.run(r.duration("after split", 8*time.Second))
	r.exhaustTokens()
}

func (r *schedule) newLimits() {
	r.revision++
	r.config = simConfig(r.revision, r.maxVMs, rapid.IntRange(1, 3).Draw(r.t, "groups"), r.floor, simLimits{
		rate:  float64(rapid.IntRange(1, 60).Draw(r.t, "rate")),
		burst: float64(rapid.IntRange(1, 40).Draw(r.t, "burst")),
		slots: rapid.IntRange(1, 6).Draw(r.t, "slots"), connections: rapid.IntRange(2, 45).Draw(r.t, "connections"),
	})
}

// exhaustTokens makes some VMs spend every token as soon as it accrues, for a while.
func (r *schedule) exhaustTokens() {
	mask := rapid.IntRange(1, 1<<r.maxVMs-1).Draw(r.t, "drained")
	for end := r.sim.now + r.duration("drain", 4*time.Second); ; {
		for a, n := range r.sim.nodes {
			if n != nil && mask>>a&1 == 1 {
				n.offered[simWorkspace] = 40
				n.offer(simWorkspace, simMaxRetries)
			}
		}
		if r.sim.now >= end {
			return
		}
		r.sim.run(simTick)
	}
}
