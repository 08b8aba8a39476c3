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

// Guards against a healthy group that does not answer, hedges without need or
// opens more connections than slots and a spare one.
func TestHealthyGroup(t *testing.T) {
	w := newWorld(t, 3)
	w.begin()
	subs := w.load(500, time.Millisecond, nil)
	w.run(time.Second)
	assertAll(t, w, subs)
	s := w.g.Stats()
	assert.Equal(t, s.Attempts-s.Hedges, 500)
	for _, target := range w.targets {
		assert.Assert(t, target.opened <= 5, "%d connections to %s", target.opened, target.address)
		assert.Assert(t, target.ran > 100, "%s ran only %d", target.address, target.ran)
	}
}

// Guards against a tail that follows the slowest target, hedges above the
// budget and a storm of new connections because of stragglers.
func TestFaultStraggler(t *testing.T) {
	w := newWorld(t, 3)
	for _, target := range w.targets {
		target.service = func(int) time.Duration {
			if w.random.Intn(100) == 0 {
				return 20 * simService
			}
			return simService + time.Duration(w.random.Int63n(int64(time.Millisecond)))
		}
	}
	w.begin()
	subs := w.load(5000, 2*time.Millisecond, nil)
	w.run(time.Second)
	assertAll(t, w, subs)
	s := w.g.Stats()
	assert.Assert(t, quantile(subs, 0.999) < 60*time.Millisecond, "p99.9 %v", quantile(subs, 0.999))
	assert.Assert(t, quantile(subs, 0.99) < 3*simService, "p99 %v", quantile(subs, 0.99))
	assert.Assert(t, s.Attempts <= 5000+5000*4/100, "%d attempts of 5000 sub-requests", s.Attempts)
	assert.Assert(t, s.ConnsOpened <= 15, "%d connections opened", s.ConnsOpened)
}

// Guards against retries by the home after a crash, and against innocent
// requests that stay suspect.
func TestFaultTargetCrash(t *testing.T) {
	w := newWorld(t, 3)
	w.begin()
	w.load(50, time.Millisecond, nil)
	victim := w.target(0)
	victim.service = func(int) time.Duration { return 100 * time.Millisecond }
	var there []*simSub
	for len(there) < 2 {
		s := w.submit(nil)
		w.run(time.Millisecond)
		if s.starts[0] == victim.address {
			there = append(there, s)
		}
	}
	w.crash(victim, 20*time.Millisecond)
	w.run(200 * time.Millisecond)
	for _, s := range there {
		assert.Equal(t, s.refusal().Code, outcome.CodeTargetCrashed)
		assert.Equal(t, s.refusal().Outcome, outcome.Unknown)
		assert.Equal(t, s.replies[0].Crashes, 1)
		again := w.submit(func(r *scatter.SubRequest) { r.Fingerprint, r.Repeat = s.Fingerprint, true })
		w.run(time.Second)
		assert.Assert(t, again.ok())
	}
	assert.Equal(t, w.g.Dump().Suspects, 0)
	assert.Equal(t, len(w.poison), 0)
}

// Guards against a lost connection to a healthy target being taken for a crash.
func TestFaultConnectionLost(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		w := newWorld(t, 3)
		w.begin()
		w.target(0).service = func(int) time.Duration { return 100 * time.Millisecond }
		s := w.submitAt(w.target(0), func(r *scatter.SubRequest) { r.Idempotent = idempotent })
		for id := range w.target(0).conns {
			w.endConn(w.target(0), id, false)
		}
		w.run(50 * time.Millisecond)
		if idempotent {
			assert.Assert(t, s.ok())
			assert.Assert(t, s.took() < 30*time.Millisecond, "%v", s.took())
			continue
		}
		assert.Equal(t, s.refusal().Code, outcome.CodeConnectionLost)
		assert.Equal(t, s.refusal().Outcome, outcome.Unknown)
	}
}

// submitAt repeats sub-requests until one runs at the wanted target.
func (w *world) submitAt(t *simTarget, change func(*scatter.SubRequest)) *simSub {
	for range 50 {
		s := w.submit(change)
		w.run(time.Millisecond)
		if len(s.starts) > 0 && s.starts[0] == t.address {
			return s
		}
		w.run(20 * time.Millisecond)
	}
	w.t.Fatalf("no sub-request ran at %s", t.address)
	return nil
}

// Guards against a request that crashes every target that runs it: two targets
// at most, then it is blocked; others that were in flight are not.
func TestFaultPoisonRequest(t *testing.T) {
	bad := fleet.Fingerprint{99}
	w := newWorld(t, 3)
	for _, target := range w.targets {
		target.crashOn[bad] = true
	}
	w.begin()
	send := func() *simSub {
		s := w.submit(func(r *scatter.SubRequest) { r.Fingerprint, r.Repeat = bad, len(w.subs) > 0 })
		w.load(20, 2*time.Millisecond, nil)
		w.run(time.Second)
		return s
	}
	first, second, third := send(), send(), send()
	assert.Equal(t, first.refusal().Code, outcome.CodeTargetCrashed)
	assert.Equal(t, second.refusal().Code, outcome.CodeTargetCrashed)
	assert.Equal(t, third.refusal().Code, outcome.CodePoisonRequest)
	assert.Equal(t, third.refusal().Outcome, outcome.NotRun)
	assert.DeepEqual(t, w.poison, []fleet.Fingerprint{bad})
	boots := 0
	for _, target := range w.targets {
		boots += target.boot - 1
	}
	assert.Equal(t, boots, 2)
	w.run(time.Second)
	assertAll(t, w, w.load(20, 5*time.Millisecond, nil))
}

// Guards against a blocked fingerprint that another home reported being run here.
func TestFaultPoisonRequestElsewhere(t *testing.T) {
	w := newWorld(t, 3)
	bad := fleet.Fingerprint{9}
	w.assign.PoisonedUntil = map[fleet.Fingerprint]time.Time{bad: w.now.Add(time.Minute)}
	w.begin()
	s := w.submit(func(r *scatter.SubRequest) { r.Fingerprint = bad })
	assert.Equal(t, s.refusal().Code, outcome.CodePoisonRequest)
	assert.Equal(t, s.refusal().Outcome, outcome.NotRun)
}

// Guards against full load on a target that starts cold, by every way in which
// it can become cold, and against a ramp that never ends.
func TestFaultCold(t *testing.T) {
	cases := map[string]func(*world, *simTarget){
		"reported": func(w *world, t *simTarget) { t.state = route.TargetCold },
		"restarted": func(w *world, t *simTarget) {
			w.crash(t, time.Millisecond)
			w.run(time.Second)
		},
		"zone returned": func(w *world, t *simTarget) {
			w.assign.ZonesOut["a"] = true
			w.reassign()
			w.run(time.Second)
			w.assign.ZonesOut["a"] = false
			w.reassign()
		},
		"new": func(w *world, t *simTarget) {
			all := w.assign.Shard.Targets
			w.assign.Shard.Targets = all[1:]
			w.reassign()
			w.run(time.Second)
			w.assign.Shard.Targets = all
			w.reassign()
		},
	}
	for name, turn := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3)
			w.begin()
			target := w.target(0)
			turn(w, target)
			w.run(600 * time.Millisecond)
			target.max = 0
			assertAll(t, w, w.load(500, 600*time.Microsecond, nil))
			assert.Equal(t, target.max, 2, "concurrent attempts while cold")
			w.run(10 * time.Second)
			target.max = 0
			w.load(500, 300*time.Microsecond, nil)
			assert.Equal(t, target.max, 4, "concurrent attempts after the ramp")
		})
	}
}

// Guards against a home that takes a whole cold target although two homes share it.
func TestFaultColdDividedBetweenHomes(t *testing.T) {
	for index, want := range []int{1, 0} {
		w := newWorld(t, 3)
		w.assign.Service.ColdSlots = 1
		w.assign.Share.Slots, w.assign.Share.Owners, w.assign.Share.OwnerIndex = 2, 2, index
		w.target(0).state = route.TargetCold
		w.begin()
		assert.Equal(t, w.g.Dump().Targets[0].Allowance, want)
		w.run(4 * time.Second) // two of the four slots
		assert.Equal(t, w.g.Dump().Targets[0].Allowance, 1)
	}
}

// Guards against full load on a target that turned cold without a restart.
func TestFaultColdAgain(t *testing.T) {
	w := newWorld(t, 3)
	w.begin()
	w.load(300, time.Millisecond, nil)
	assert.Equal(t, w.g.Stats().ColdAgain, 0)
	w.target(0).service = func(int) time.Duration { return 10 * simService }
	w.load(300, time.Millisecond, nil)
	assert.Equal(t, w.g.Stats().ColdAgain, 1)
	assert.Assert(t, w.g.Dump().Targets[0].Allowance < 4)
}

// Guards against a target that sheds being sent as much as before, and against
// a shed request that is reported as run or lost.
func TestFaultShed(t *testing.T) {
	w := newWorld(t, 3)
	w.begin()
	w.target(0).shed = true
	subs := w.load(200, time.Millisecond, func(r *scatter.SubRequest) { r.Idempotent = false })
	w.run(100 * time.Millisecond)
	assertAll(t, w, subs)
	assert.Assert(t, w.g.Stats().Sheds < 20, "%d sheds", w.g.Stats().Sheds)
	assert.Assert(t, w.g.Dump().Targets[0].Allowance <= 2)
	w.target(0).shed = false
	w.run(11 * time.Second)
	assert.Equal(t, w.g.Dump().Targets[0].Allowance, 4)
	for _, target := range w.targets {
		target.shed = true
	}
	s := w.submit(func(r *scatter.SubRequest) { r.Idempotent = false })
	w.run(2 * time.Second)
	assert.Equal(t, s.refusal().Outcome, outcome.NotRun)
}

// Guards against a shed answer that leaves the allowance as it was, and against
// one that never grows back.
func TestFaultShedOnce(t *testing.T) {
	w := newWorld(t, 1)
	w.begin()
	w.target(0).shed = true
	s := w.submit(nil)
	w.run(time.Millisecond)
	w.target(0).shed = false
	w.run(time.Second)
	assert.Assert(t, s.ok())
	assert.Equal(t, w.g.Dump().Targets[0].Allowance, 2)
	assert.Assert(t, !w.g.Dump().Targets[0].Cold)
	w.run(10 * time.Second)
	assert.Equal(t, w.g.Dump().Targets[0].Allowance, 4)
}

// Guards against new work at a draining target, cut work there, and connections
// that stay open.
func TestFaultDrain(t *testing.T) {
	w := newWorld(t, 3)
	w.begin()
	w.target(0).service = func(int) time.Duration { return 30 * time.Millisecond }
	running := w.submitAt(w.target(0), nil)
	w.target(0).state = route.TargetDraining
	subs := w.load(300, 4*time.Millisecond, nil)
	w.run(time.Second)
	assert.Assert(t, running.ok())
	assertAll(t, w, subs)
	assert.Equal(t, len(w.target(0).conns), 0)
}

// Guards against work that waits for its deadline although no replica of the
// text can be used.
func TestFaultNoReplica(t *testing.T) {
	w := newWorld(t, 3)
	w.begin()
	for _, target := range w.targets {
		target.state = route.TargetDraining
	}
	w.run(time.Second)
	s := w.submit(nil)
	assert.Equal(t, s.refusal().Code, outcome.CodeNoReplica)
	assert.Equal(t, s.refusal().Outcome, outcome.NotRun)
}

// Guards against waiting work that is kept until its deadline when the last
// replica drains, and running work that is cut then.
func TestFaultLastReplicaDrains(t *testing.T) {
	w := newWorld(t, 1)
	w.assign.Share.Slots = 1
	w.begin()
	w.target(0).service = func(int) time.Duration { return 700 * time.Millisecond }
	running := w.submit(nil)
	w.run(time.Millisecond)
	waits := w.submit(nil)
	w.target(0).state = route.TargetDraining
	w.run(600 * time.Millisecond)
	assert.Equal(t, waits.refusal().Code, outcome.CodeNoReplica)
	assert.Equal(t, waits.refusal().Outcome, outcome.NotRun)
	w.run(time.Second)
	assert.Assert(t, running.ok())
}

// Guards against work refused while a replica may still come, and kept beyond its deadline.
func TestFaultAllUnreachable(t *testing.T) {
	w := newWorld(t, 2)
	for _, target := range w.targets {
		target.up = false
	}
	w.reassign()
	w.run(time.Second)
	lost := w.submit(func(r *scatter.SubRequest) { r.Deadline = w.now.Add(100 * time.Millisecond) })
	waits := w.submit(func(r *scatter.SubRequest) { r.Deadline = w.now.Add(3 * time.Second) })
	w.run(200 * time.Millisecond)
	assert.Equal(t, lost.refusal().Code, outcome.CodeNoReplica)
	w.target(0).up = true
	w.run(2 * time.Second)
	assert.Assert(t, waits.ok(), "%v", waits.refusal())
}

// Guards against a target that lies about its load and thereby draws all
// traffic or none.
func TestFaultLyingLoad(t *testing.T) {
	for name, loads := range map[string][3]float64{
		"idle": {0, 0.5, 0.5}, "busy": {1, 0.1, 0.1}, "above one": {50, 0.5, 0.5}, "negative": {-1, 0.5, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3)
			for i, load := range loads {
				w.target(i).load = load
			}
			w.begin()
			assertAll(t, w, w.load(900, 8*time.Millisecond, nil))
			ran := w.target(0).ran
			assert.Assert(t, ran >= 900/7 && ran <= 900*2/3+30, "%d of 900 at the lying target", ran)
		})
	}
}

// Guards against a target that fails fast and thereby draws all traffic.
func TestFaultFailsFast(t *testing.T) {
	w := newWorld(t, 3)
	w.begin()
	w.target(0).fails = true
	w.target(0).service = func(int) time.Duration { return 100 * time.Microsecond }
	assertAll(t, w, w.load(500, 8*time.Millisecond, nil))
	assert.Assert(t, w.target(0).ran < 100, "%d of 500 at the failing target", w.target(0).ran)
}

// Guards against new work in a zone that is out, and against a crowd of
// connections when it returns.
func TestFaultZoneOutAndReturn(t *testing.T) {
	w := newWorld(t, 3)
	w.begin()
	w.load(50, time.Millisecond, nil)
	w.assign.ZonesOut["a"] = true
	w.reassign()
	assertAll(t, w, w.load(100, time.Millisecond, nil))
	target := w.target(0)
	assert.Equal(t, len(target.conns), 0)
	w.assign.ZonesOut["a"] = false
	w.reassign()
	opened := target.opened
	for range 100 {
		before := target.opened
		w.run(simConnect / 2)
		assert.Assert(t, target.opened-before <= 1, "connections opened at once")
	}
	assert.Assert(t, target.opened > opened, "no connection after the return")
}
