package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/route"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// Guards against a healthy shard that leaves sub-requests unanswered, retries
// without need, opens more connections than slots and a spare one, or spreads
// the load unevenly.
func TestHealthyShard(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.begin()
	subs := sim.load(500, time.Millisecond, nil)
	sim.run(time.Second)
	assertAll(t, sim, subs)
	s := sim.shard.Stats()
	assert.Equal(t, s.Attempts-s.Hedges, 500)
	for _, target := range sim.targets {
		assert.Assert(t, target.connsOpened <= 5, "%d connections to %s", target.connsOpened, target.address)
		assert.Assert(t, target.executed > 100, "%s ran only %d", target.address, target.executed)
	}
}

// Guards against a tail latency that follows the stragglers, hedges above the
// budget, and new connections for each straggler. 1 in 100 attempts takes 20 times
// as long.
func TestFaultStraggler(t *testing.T) {
	sim := newSimulation(t, 3)
	for _, target := range sim.targets {
		target.serviceTime = func(int) time.Duration {
			if sim.random.Intn(100) == 0 {
				return 20 * simServiceTime
			}
			return simServiceTime + time.Duration(sim.random.Int63n(int64(time.Millisecond)))
		}
	}
	sim.begin()
	subs := sim.load(5000, 2*time.Millisecond, nil)
	sim.run(time.Second)
	assertAll(t, sim, subs)
	s := sim.shard.Stats()
	assert.Assert(t, quantile(subs, 0.999) < 60*time.Millisecond, "p99.9 %v", quantile(subs, 0.999))
	assert.Assert(t, quantile(subs, 0.99) < 3*simServiceTime, "p99 %v", quantile(subs, 0.99))
	assert.Assert(t, s.Attempts <= 5000+5000*4/100, "%d attempts of 5000 sub-requests", s.Attempts)
	assert.Assert(t, s.ConnsOpened <= 15, "%d connections opened", s.ConnsOpened)
}

// Guards against an owner that retries a request that was in flight at a crash,
// and against requests that stay suspect after they were answered. A target
// crashes while two requests run on it.
func TestFaultTargetCrash(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.begin()
	sim.load(50, time.Millisecond, nil)
	victim := sim.target(0)
	victim.serviceTime = func(int) time.Duration { return 100 * time.Millisecond }
	var onVictim []*simSub
	for len(onVictim) < 2 {
		s := sim.submit(nil)
		sim.run(time.Millisecond)
		if s.startedOn[0] == victim.address {
			onVictim = append(onVictim, s)
		}
	}
	sim.crash(victim, 20*time.Millisecond)
	sim.run(200 * time.Millisecond)
	for _, s := range onVictim {
		assert.Equal(t, s.refusal().Code, outcome.CodeTargetCrashed)
		assert.Equal(t, s.refusal().Outcome, outcome.Unknown)
		assert.Equal(t, s.replies[0].Crashes, 1)
		again := sim.submit(func(r *scatter.SubRequest) { r.Fingerprint, r.Repeat = s.Fingerprint, true })
		sim.run(time.Second)
		assert.Assert(t, again.ok())
	}
	assert.Equal(t, sim.shard.Dump().Suspects, 0)
	assert.Equal(t, len(sim.poisoned), 0)
}

// Guards against a lost connection to a healthy target being treated as a crash.
func TestFaultConnectionLost(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		sim := newSimulation(t, 3)
		sim.begin()
		sim.target(0).serviceTime = func(int) time.Duration { return 100 * time.Millisecond }
		s := sim.submitTo(sim.target(0), func(r *scatter.SubRequest) { r.Idempotent = idempotent })
		for id := range sim.target(0).conns {
			sim.endConn(sim.target(0), id, false)
		}
		sim.run(50 * time.Millisecond)
		if idempotent {
			assert.Assert(t, s.ok())
			assert.Assert(t, s.latency() < 30*time.Millisecond, "%v", s.latency())
			continue
		}
		assert.Equal(t, s.refusal().Code, outcome.CodeConnectionLost)
		assert.Equal(t, s.refusal().Outcome, outcome.Unknown)
	}
}

// submitTo repeats sub-requests until one runs on the given target.
func (sim *simulation) submitTo(t *simTarget, change func(*scatter.SubRequest)) *simSub {
	for range 50 {
		s := sim.submit(change)
		sim.run(time.Millisecond)
		if len(s.startedOn) > 0 && s.startedOn[0] == t.address {
			return s
		}
		sim.run(20 * time.Millisecond)
	}
	sim.t.Fatalf("no sub-request ran at %s", t.address)
	return nil
}

// Guards against a request that crashes every target that runs it: it may crash
// two targets and is then blocked. Requests in flight beside it are not blocked.
func TestFaultPoisonRequest(t *testing.T) {
	bad := fleet.Fingerprint{99}
	sim := newSimulation(t, 3)
	for _, target := range sim.targets {
		target.crashOn[bad] = true
	}
	sim.begin()
	send := func() *simSub {
		s := sim.submit(func(r *scatter.SubRequest) { r.Fingerprint, r.Repeat = bad, len(sim.subs) > 0 })
		sim.load(20, 2*time.Millisecond, nil)
		sim.run(time.Second)
		return s
	}
	first, second, third := send(), send(), send()
	assert.Equal(t, first.refusal().Code, outcome.CodeTargetCrashed)
	assert.Equal(t, second.refusal().Code, outcome.CodeTargetCrashed)
	assert.Equal(t, third.refusal().Code, outcome.CodePoisonRequest)
	assert.Equal(t, third.refusal().Outcome, outcome.NotRun)
	assert.DeepEqual(t, sim.poisoned, []fleet.Fingerprint{bad})
	boots := 0
	for _, target := range sim.targets {
		boots += target.boot - 1
	}
	assert.Equal(t, boots, 2)
	sim.run(time.Second)
	assertAll(t, sim, sim.load(20, 5*time.Millisecond, nil))
}

// Guards against running a request that another owner reported as poisonous.
func TestFaultPoisonRequestElsewhere(t *testing.T) {
	sim := newSimulation(t, 3)
	bad := fleet.Fingerprint{9}
	sim.assign.PoisonedUntil = map[fleet.Fingerprint]time.Time{bad: sim.now.Add(time.Minute)}
	sim.begin()
	s := sim.submit(func(r *scatter.SubRequest) { r.Fingerprint = bad })
	assert.Equal(t, s.refusal().Code, outcome.CodePoisonRequest)
	assert.Equal(t, s.refusal().Outcome, outcome.NotRun)
}

// Guards against full load on a cold target, whichever way it became cold, and
// against a ramp that never ends.
func TestFaultCold(t *testing.T) {
	cases := map[string]func(*simulation, *simTarget){
		"reported": func(sim *simulation, t *simTarget) { t.state = route.TargetCold },
		"restarted": func(sim *simulation, t *simTarget) {
			sim.crash(t, time.Millisecond)
			sim.run(time.Second)
		},
		"zone returned": func(sim *simulation, t *simTarget) {
			sim.assign.ZonesOut["a"] = true
			sim.reassign()
			sim.run(time.Second)
			sim.assign.ZonesOut["a"] = false
			sim.reassign()
		},
		"new": func(sim *simulation, t *simTarget) {
			all := sim.assign.Shard.Targets
			sim.assign.Shard.Targets = all[1:]
			sim.reassign()
			sim.run(time.Second)
			sim.assign.Shard.Targets = all
			sim.reassign()
		},
	}
	for name, makeCold := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 3)
			sim.begin()
			target := sim.target(0)
			makeCold(sim, target)
			sim.run(600 * time.Millisecond)
			target.maxRunning = 0
			assertAll(t, sim, sim.load(500, 600*time.Microsecond, nil))
			assert.Equal(t, target.maxRunning, 2, "concurrent attempts while cold")
			sim.run(10 * time.Second)
			target.maxRunning = 0
			sim.load(500, 300*time.Microsecond, nil)
			assert.Equal(t, target.maxRunning, 4, "concurrent attempts after the ramp")
		})
	}
}

// Guards against an owner that uses all cold slots of a target although two owners
// share it.
func TestFaultColdDividedBetweenHomes(t *testing.T) {
	for index, want := range []int{1, 0} {
		sim := newSimulation(t, 3)
		sim.assign.Service.ColdSlots = 1
		sim.assign.Share.Slots, sim.assign.Share.OwnerCount, sim.assign.Share.OwnerIndex = 2, 2, index
		sim.target(0).state = route.TargetCold
		sim.begin()
		assert.Equal(t, sim.shard.Dump().Targets[0].Allowance, want)
		sim.run(4 * time.Second) // two of the four slots
		assert.Equal(t, sim.shard.Dump().Targets[0].Allowance, 1)
	}
}

// Guards against full load on a target that became cold without a restart: its
// latency rises to 10 times the usual one.
func TestFaultColdAgain(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.begin()
	sim.load(300, time.Millisecond, nil)
	assert.Equal(t, sim.shard.Stats().BecameCold, 0)
	sim.target(0).serviceTime = func(int) time.Duration { return 10 * simServiceTime }
	sim.load(300, time.Millisecond, nil)
	assert.Equal(t, sim.shard.Stats().BecameCold, 1)
	assert.Assert(t, sim.shard.Dump().Targets[0].Allowance < 4)
}

// Guards against unreduced load on a target that sheds, and against a shed request
// being reported as run or lost.
func TestFaultShed(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.begin()
	sim.target(0).shed = true
	subs := sim.load(200, time.Millisecond, func(r *scatter.SubRequest) { r.Idempotent = false })
	sim.run(100 * time.Millisecond)
	assertAll(t, sim, subs)
	assert.Assert(t, sim.shard.Stats().Sheds < 20, "%d sheds", sim.shard.Stats().Sheds)
	assert.Assert(t, sim.shard.Dump().Targets[0].Allowance <= 2)
	sim.target(0).shed = false
	sim.run(11 * time.Second)
	assert.Equal(t, sim.shard.Dump().Targets[0].Allowance, 4)
	for _, target := range sim.targets {
		target.shed = true
	}
	s := sim.submit(func(r *scatter.SubRequest) { r.Idempotent = false })
	sim.run(2 * time.Second)
	assert.Equal(t, s.refusal().Outcome, outcome.NotRun)
}

// Guards against a single shed answer that does not reduce the allowance, and
// against an allowance that does not grow back.
func TestFaultShedOnce(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.begin()
	sim.target(0).shed = true
	s := sim.submit(nil)
	sim.run(time.Millisecond)
	sim.target(0).shed = false
	sim.run(time.Second)
	assert.Assert(t, s.ok())
	assert.Equal(t, sim.shard.Dump().Targets[0].Allowance, 2)
	assert.Assert(t, !sim.shard.Dump().Targets[0].Cold)
	sim.run(10 * time.Second)
	assert.Equal(t, sim.shard.Dump().Targets[0].Allowance, 4)
}

// Guards against new attempts on a draining target, running ones that are cut off,
// and connections that stay open.
func TestFaultDrain(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.begin()
	sim.target(0).serviceTime = func(int) time.Duration { return 30 * time.Millisecond }
	running := sim.submitTo(sim.target(0), nil)
	sim.target(0).state = route.TargetDraining
	subs := sim.load(300, 4*time.Millisecond, nil)
	sim.run(time.Second)
	assert.Assert(t, running.ok())
	assertAll(t, sim, subs)
	assert.Equal(t, len(sim.target(0).conns), 0)
}

// Guards against a sub-request that waits for its deadline although all configured
// targets are draining.
func TestFaultNoReplica(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.begin()
	for _, target := range sim.targets {
		target.state = route.TargetDraining
	}
	sim.run(time.Second)
	s := sim.submit(nil)
	assert.Equal(t, s.refusal().Code, outcome.CodeNoReplica)
	assert.Equal(t, s.refusal().Outcome, outcome.NotRun)
}

// Guards against queued work that waits for its deadline after the last target
// drains, and running work that is cut off by that.
func TestFaultLastReplicaDrains(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.assign.Share.Slots = 1
	sim.begin()
	sim.target(0).serviceTime = func(int) time.Duration { return 700 * time.Millisecond }
	running := sim.submit(nil)
	sim.run(time.Millisecond)
	waits := sim.submit(nil)
	sim.target(0).state = route.TargetDraining
	sim.run(600 * time.Millisecond)
	assert.Equal(t, waits.refusal().Code, outcome.CodeNoReplica)
	assert.Equal(t, waits.refusal().Outcome, outcome.NotRun)
	sim.run(time.Second)
	assert.Assert(t, running.ok())
}

// Guards against work that is refused while an unreachable target may still come
// back, and against work that is kept beyond its deadline.
func TestFaultAllUnreachable(t *testing.T) {
	sim := newSimulation(t, 2)
	for _, target := range sim.targets {
		target.up = false
	}
	sim.reassign()
	sim.run(time.Second)
	lost := sim.submit(func(r *scatter.SubRequest) { r.Deadline = sim.now.Add(100 * time.Millisecond) })
	waits := sim.submit(func(r *scatter.SubRequest) { r.Deadline = sim.now.Add(3 * time.Second) })
	sim.run(200 * time.Millisecond)
	assert.Equal(t, lost.refusal().Code, outcome.CodeNoReplica)
	sim.target(0).up = true
	sim.run(2 * time.Second)
	assert.Assert(t, waits.ok(), "%v", waits.refusal())
}

// Guards against a target that attracts all traffic or none by reporting a false
// load.
func TestFaultLyingLoad(t *testing.T) {
	for name, loads := range map[string][3]float64{
		"idle": {0, 0.5, 0.5}, "busy": {1, 0.1, 0.1}, "above one": {50, 0.5, 0.5}, "negative": {-1, 0.5, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 3)
			for i, load := range loads {
				sim.target(i).load = load
			}
			sim.begin()
			assertAll(t, sim, sim.load(900, 8*time.Millisecond, nil))
			ran := sim.target(0).executed
			assert.Assert(t, ran >= 900/7 && ran <= 900*2/3+30, "%d of 900 on the target that reports a false load", ran)
		})
	}
}

// Guards against a target that attracts all traffic because it fails fast.
func TestFaultFailsFast(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.begin()
	sim.target(0).fails = true
	sim.target(0).serviceTime = func(int) time.Duration { return 100 * time.Microsecond }
	assertAll(t, sim, sim.load(500, 8*time.Millisecond, nil))
	assert.Assert(t, sim.target(0).executed < 100, "%d of 500 on the failing target", sim.target(0).executed)
}

// Guards against new attempts in a zone that is out, and against many connections
// opened at once when it returns.
func TestFaultZoneOutAndReturn(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.begin()
	sim.load(50, time.Millisecond, nil)
	sim.assign.ZonesOut["a"] = true
	sim.reassign()
	assertAll(t, sim, sim.load(100, time.Millisecond, nil))
	target := sim.target(0)
	assert.Equal(t, len(target.conns), 0)
	sim.assign.ZonesOut["a"] = false
	sim.reassign()
	opened := target.connsOpened
	for range 100 {
		before := target.connsOpened
		sim.run(simConnectDelay / 2)
		assert.Assert(t, target.connsOpened-before <= 1, "connections opened at once")
	}
	assert.Assert(t, target.connsOpened > opened, "no connection after the return")
}
