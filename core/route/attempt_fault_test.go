package route_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/route"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// Guards against work that waits on connections which stay open but deliver nothing
// any more.
func TestFaultSilentConnection(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.begin()
	sim.load(300, time.Millisecond, nil)
	sim.target(0).mute, sim.target(0).muteBelow = true, 1000
	subs := sim.load(100, time.Millisecond, nil)
	sim.target(0).muteBelow = 0
	for id := range sim.target(0).conns {
		sim.target(0).muteBelow = max(sim.target(0).muteBelow, id+1)
	}
	subs = append(subs, sim.load(1000, time.Millisecond, nil)...)
	assertAll(t, sim, subs)
	assert.Assert(t, quantile(subs, 0.9999) < 200*time.Millisecond, "%v", quantile(subs, 0.9999))
	assert.Assert(t, sim.shard.Stats().UnconfirmedCancels >= 4)
	before := sim.target(0).executed
	sim.run(2 * time.Second)
	sim.load(100, time.Millisecond, nil)
	assert.Assert(t, sim.target(0).executed > before, "the target is not used again")
	assert.Assert(t, sim.target(0).connsOpened < 30, "%d connections opened", sim.target(0).connsOpened)
}

// Guards against idempotent work that waits for its deadline on an unresponsive
// connection because no hedge is allowed. With one request at a time, no other
// answers show that only this connection is unresponsive.
func TestFaultSilentWithoutHedge(t *testing.T) {
	for name, interval := range map[string]time.Duration{"others answer": time.Millisecond, "one at a time": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 3)
			sim.assign.Service.HedgeBudget = 0
			sim.begin()
			sim.load(300, time.Millisecond, nil)
			sim.target(0).mute, sim.target(0).muteBelow = true, 1000
			subs := sim.load(100, interval, nil)
			assertAll(t, sim, subs)
			assert.Equal(t, sim.shard.Stats().Hedges, 0)
			assert.Assert(t, sim.shard.Stats().UnresponsiveAttempts > 0)
			assert.Assert(t, quantile(subs, 0.9999) < 200*time.Millisecond, "%v", quantile(subs, 0.9999))
		})
	}
}

// Guards against an answer from another index version than the requested one.
func TestFaultOtherVersionAnswered(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.begin()
	sim.target(0).answerVersion = simVersion + 1
	s := sim.submit(func(r *scatter.SubRequest) { r.Idempotent = false })
	sim.run(time.Second)
	assert.Equal(t, s.refusal().Code, outcome.CodeTargetFailed)
	assert.Equal(t, s.refusal().Outcome, outcome.Unknown)
}

// Guards against a target that is not used again after it was slow for a while.
func TestFaultSlowForAWhile(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.begin()
	sim.target(0).serviceTime = func(int) time.Duration { return 10 * simServiceTime }
	assertAll(t, sim, sim.load(100, 20*time.Millisecond, nil))
	slow := sim.target(0).executed
	sim.target(0).serviceTime = func(int) time.Duration { return simServiceTime }
	assertAll(t, sim, sim.load(500, 20*time.Millisecond, nil))
	assert.Assert(t, slow < 30, "%d of 100 on the slow target", slow)
	assert.Assert(t, sim.target(0).executed-slow > 100, "%d of 500 on the recovered target", sim.target(0).executed-slow)
}

// Guards against a connection being verified by a status read that began before it
// was open, and so may come from before a restart.
func TestFaultProbeBeforeOpen(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.step(sim.assign)
	old := route.ProbeResult{Target: "t0", Began: sim.now, Status: sim.target(0).status()}
	sim.shard.Step(sim.now, old)
	sim.now = sim.now.Add(time.Millisecond)
	sim.shard.Step(sim.now, route.ConnOpened{Target: "t0", Conn: 1})
	sim.now = sim.now.Add(time.Millisecond)
	sim.shard.Step(sim.now, old)
	assert.Equal(t, sim.shard.Dump().Targets[0].Ready, 0)
	fresh := old
	fresh.Began = sim.now
	sim.shard.Step(sim.now.Add(time.Millisecond), fresh)
	assert.Equal(t, sim.shard.Dump().Targets[0].Ready, 1)
}

// Guards against a hedge to a target that the same event takes out of service: its
// zone is taken out in the step in which the hedge is due.
func TestFaultZoneOutAsHedgeIsDue(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.begin()
	sim.load(200, 8*time.Millisecond, nil)
	sim.target(0).serviceTime = func(int) time.Duration { return 200 * time.Millisecond }
	s := sim.submitTo(sim.target(0), nil)
	sim.now = sim.now.Add(10 * time.Millisecond) // the hedge is due, but no Tick has been sent
	sim.assign.ZonesOut["b"] = true
	sim.reassign()
	sim.run(time.Second)
	assert.Assert(t, s.ok())
	assert.Assert(t, !slices.Contains(s.startedOn, "t1"))
}

// Guards against slow work that is restarted over and over on the only replica.
func TestFaultSlowOnlyReplica(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.begin()
	sim.load(100, 10*time.Millisecond, nil)
	sim.target(0).serviceTime = func(int) time.Duration { return 400 * time.Millisecond }
	s := sim.submit(nil)
	sim.run(time.Second)
	assert.Assert(t, s.ok())
	assert.Assert(t, len(s.startedOn) <= 2, "%d attempts", len(s.startedOn))
}

// Guards against passing the answer to another attempt on to the caller.
func TestFaultCrossedAnswer(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		sim := newSimulation(t, 3)
		sim.begin()
		sim.target(0).mismatchedAnswers = 1
		opened := sim.target(0).connsOpened
		s := sim.submitTo(sim.target(0), func(r *scatter.SubRequest) { r.Idempotent = idempotent })
		sim.run(time.Second)
		assert.Equal(t, s.ok(), idempotent)
		if !idempotent {
			assert.Equal(t, s.refusal().Outcome, outcome.Unknown)
		}
		assert.Equal(t, sim.target(0).connsOpened, opened+1, "the connection was not replaced")
	}
}

// Guards against reporting a request as not run whose answer was cut off in its body.
func TestFaultAnswerCut(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		sim := newSimulation(t, 3)
		sim.begin()
		sim.target(0).truncatedAnswers = 1
		s := sim.submitTo(sim.target(0), func(r *scatter.SubRequest) { r.Idempotent = idempotent })
		sim.run(time.Second)
		assert.Equal(t, s.ok(), idempotent)
		if !idempotent {
			assert.Equal(t, s.refusal().Outcome, outcome.RanAnswerLost)
		}
	}
}

// Guards against reusing a slot while a cancelled attempt still runs, and against
// passing on an answer that arrives after the cancellation.
func TestFaultLateAnswer(t *testing.T) {
	for name, end := range map[string]func(*simulation, *simSub){
		"caller gone": func(sim *simulation, s *simSub) { sim.cancel(s) },
		"deadline":    func(sim *simulation, s *simSub) { sim.run(s.Deadline.Sub(sim.now)) },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.assign.Share.Slots = 1
			sim.begin()
			target := sim.target(0)
			target.ignoresCancel = true
			target.serviceTime = func(int) time.Duration { return 40 * time.Millisecond }
			first := sim.submit(func(r *scatter.SubRequest) { r.Deadline = sim.now.Add(10 * time.Millisecond); r.Idempotent = false })
			sim.run(2 * time.Millisecond)
			end(sim, first)
			second := sim.submit(nil)
			sim.run(20 * time.Millisecond)
			assert.Equal(t, len(second.startedOn), 0, "the slot was reused")
			sim.run(200 * time.Millisecond)
			assert.Assert(t, second.ok())
			assert.Equal(t, target.maxRunning, 1)
			if !first.cancelled {
				assert.Equal(t, first.refusal().Code, outcome.CodeDeadlineExceeded)
				assert.Equal(t, first.refusal().Outcome, outcome.Unknown)
			}
		})
	}
}

// Guards against a target that stays busy for a caller that has gone.
func TestFaultCallerGone(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.begin()
	sim.target(0).serviceTime = func(int) time.Duration { return 500 * time.Millisecond }
	s := sim.submit(nil)
	sim.run(2 * time.Millisecond)
	sim.cancel(s)
	sim.run(5 * time.Millisecond)
	assert.Equal(t, len(sim.target(0).running), 0)
	d := sim.shard.Dump()
	assert.Equal(t, d.SubRequests+d.Targets[0].InFlight, 0)
}

// Guards against work that waits for an index version that no target has any more,
// and against attempts on a target that no longer has the version.
func TestFaultVersionGone(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.begin()
	sim.target(0).versions = []uint64{8}
	assertAll(t, sim, sim.load(30, time.Millisecond, func(r *scatter.SubRequest) { r.Idempotent = false }))
	sim.target(1).versions = []uint64{8}
	sim.target(2).versions = []uint64{8}
	s := sim.submit(nil)
	sim.run(50 * time.Millisecond)
	assert.Equal(t, s.replies[0].Status, scatter.VersionGone)
	assert.DeepEqual(t, s.replies[0].IndexVersions, []uint64{8})
}

// Guards against sub-requests that were planned with one partition map running
// under another.
func TestFaultRepartition(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.begin()
	for _, target := range sim.targets {
		target.serviceTime = func(int) time.Duration { return 50 * time.Millisecond }
	}
	var old []*simSub
	for range 20 {
		old = append(old, sim.submit(nil))
	}
	sim.run(time.Millisecond)
	sim.assign.Service.PartitionMap = 2
	sim.reassign()
	fresh := sim.submit(nil)
	sim.run(100 * time.Millisecond)
	for _, s := range old {
		if len(s.startedOn) > 0 {
			assert.Assert(t, s.ok())
			continue
		}
		assert.Equal(t, s.replies[0].Status, scatter.PartitionMapChanged)
	}
	assert.Equal(t, len(fresh.replies), 0)
	for _, target := range sim.targets {
		target.partitionMap = 2
	}
	sim.run(time.Second)
	assert.Assert(t, fresh.ok(), "%v", fresh.refusal())
}

// Guards against a process that uses its expired share after it was paused.
func TestFaultVMPausedWakesLate(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.assign.Share.Expires = sim.now.Add(5 * time.Second)
	sim.begin()
	for _, target := range sim.targets {
		target.serviceTime = func(int) time.Duration { return time.Minute }
	}
	var subs []*simSub
	for range 30 {
		subs = append(subs, sim.submit(func(r *scatter.SubRequest) { r.Deadline = sim.now.Add(time.Hour); r.Idempotent = false }))
	}
	sim.now = sim.now.Add(10 * time.Second) // the process does not run
	late := sim.submit(nil)
	sim.run(time.Second)
	assert.Equal(t, late.replies[0].Status, scatter.NotOwner)
	for _, s := range subs {
		assert.Equal(t, len(s.replies), 1)
	}
	attempts, conns := sim.shard.InFlight()
	assert.Equal(t, attempts+conns, 0)
}

// Guards against starting work whose deadline has passed, and against queueing
// work that cannot meet its deadline.
func TestFaultDeadlineSpent(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.begin()
	expired := sim.submit(func(r *scatter.SubRequest) { r.Deadline = sim.now })
	assert.Equal(t, expired.refusal().Code, outcome.CodeDeadlineExceeded)
	assert.Equal(t, expired.refusal().Outcome, outcome.NotRun)
	sim.load(50, simServiceTime, nil)
	for range 44 {
		sim.submit(nil)
	}
	tight := sim.submit(func(r *scatter.SubRequest) { r.Deadline = sim.now.Add(20 * time.Millisecond) })
	assert.Equal(t, tight.refusal().Code, outcome.CodeOverloaded)
	assert.Assert(t, tight.refusal().RetryAfter > 20*time.Millisecond)
	sim.run(time.Second)
}

// Guards against a sub-request that runs twice or is answered twice because it was
// delivered twice.
func TestFaultDeliveredTwice(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.begin()
	s := sim.submit(func(r *scatter.SubRequest) { r.Idempotent = false })
	sim.step(&route.Submit{Sub: s.SubRequest})
	sim.run(time.Second)
	assert.Assert(t, s.ok())
	assert.Equal(t, sim.target(0).executed, 1)
}

// Guards against a shard that becomes unavailable because status reads hang.
func TestFaultStatusHangs(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.begin()
	for _, target := range sim.targets {
		target.statusHangs = true
	}
	assertAll(t, sim, sim.load(3000, time.Millisecond, nil))
}

// Guards against a stale status that hides a restart which an answer has shown.
func TestFaultStatusLags(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.begin()
	target := sim.target(0)
	target.boot, target.staleBoot = 2, 1
	sim.load(30, time.Millisecond, nil)
	assert.Assert(t, sim.shard.Dump().Targets[0].Cold)
	sim.run(2 * time.Second)
	lagging := sim.shard.Dump().Targets[0]
	assert.Equal(t, lagging.BootID, "t0-2")
	assert.Equal(t, lagging.Ready, 0, "connections were verified by a status from before the restart")
	target.staleBoot = 0
	sim.run(time.Second)
	d := sim.shard.Dump().Targets[0]
	assert.Equal(t, d.BootID, "t0-2")
	assert.Equal(t, d.Ready, d.Conns)
}

// Guards against faults that are handled alone but not in combination.
func TestFaultPairs(t *testing.T) {
	faults := map[string]func(*simulation){
		"straggler": func(sim *simulation) {
			sim.target(1).serviceTime = func(int) time.Duration { return 20 * simServiceTime }
		},
		"crash":       func(sim *simulation) { sim.crash(sim.target(0), 30*time.Millisecond) },
		"shed":        func(sim *simulation) { sim.target(2).shed = true },
		"drain":       func(sim *simulation) { sim.target(1).state = route.TargetDraining },
		"zone out":    func(sim *simulation) { sim.assign.ZonesOut["a"] = true; sim.reassign() },
		"silent":      func(sim *simulation) { sim.target(2).mute, sim.target(2).muteBelow = true, 1000 },
		"crossed":     func(sim *simulation) { sim.target(0).mismatchedAnswers = 5 },
		"status hung": func(sim *simulation) { sim.target(0).statusHangs = true },
	}
	for one, first := range faults {
		for other, second := range faults {
			if one >= other {
				continue
			}
			t.Run(one+" and "+other, func(t *testing.T) {
				sim := newSimulation(t, 4)
				sim.begin()
				sim.load(100, time.Millisecond, nil)
				first(sim)
				sim.run(2 * time.Millisecond)
				second(sim)
				subs := sim.load(400, 2*time.Millisecond, nil)
				sim.run(2 * time.Second)
				for _, s := range subs {
					assert.Equal(t, len(s.replies), 1)
				}
				assert.Assert(t, answered(subs) >= 395, "%d of 400 answered", answered(subs))
			})
		}
	}
}
