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

// Guards against work that waits behind a connection that went silent for good.
func TestFaultSilentConnection(t *testing.T) {
	w := newWorld(t, 3)
	w.begin()
	w.load(300, time.Millisecond, nil)
	w.target(0).mute, w.target(0).muteFrom = true, 1000
	subs := w.load(100, time.Millisecond, nil)
	w.target(0).muteFrom = 0
	for id := range w.target(0).conns {
		w.target(0).muteFrom = max(w.target(0).muteFrom, id+1)
	}
	subs = append(subs, w.load(1000, time.Millisecond, nil)...)
	assertAll(t, w, subs)
	assert.Assert(t, quantile(subs, 0.9999) < 200*time.Millisecond, "%v", quantile(subs, 0.9999))
	assert.Assert(t, w.g.Stats().SilentCloses >= 4)
	before := w.target(0).ran
	w.run(2 * time.Second)
	w.load(100, time.Millisecond, nil)
	assert.Assert(t, w.target(0).ran > before, "the target is not used again")
	assert.Assert(t, w.target(0).opened < 30, "%d connections opened", w.target(0).opened)
}

// Guards against idempotent work that waits for its deadline on a silent
// connection because no hedge is allowed.
// With one request at a time there are no others whose answers show that only
// this connection is silent.
func TestFaultSilentWithoutHedge(t *testing.T) {
	for name, interval := range map[string]time.Duration{"others answer": time.Millisecond, "one at a time": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3)
			w.assign.Service.HedgeBudget = 0
			w.begin()
			w.load(300, time.Millisecond, nil)
			w.target(0).mute, w.target(0).muteFrom = true, 1000
			subs := w.load(100, interval, nil)
			assertAll(t, w, subs)
			assert.Equal(t, w.g.Stats().Hedges, 0)
			assert.Assert(t, w.g.Stats().SilentMoves > 0)
			assert.Assert(t, quantile(subs, 0.9999) < 200*time.Millisecond, "%v", quantile(subs, 0.9999))
		})
	}
}

// Guards against an answer from another snapshot than the one that was asked for.
func TestFaultOtherVersionAnswered(t *testing.T) {
	w := newWorld(t, 1)
	w.begin()
	w.target(0).answers = simVersion + 1
	s := w.submit(func(r *scatter.SubRequest) { r.Idempotent = false })
	w.run(time.Second)
	assert.Equal(t, s.refusal().Code, outcome.CodeTargetFailed)
	assert.Equal(t, s.refusal().Outcome, outcome.Unknown)
}

// Guards against a target that was slow once and is never used again.
func TestFaultSlowForAWhile(t *testing.T) {
	w := newWorld(t, 3)
	w.begin()
	w.target(0).service = func(int) time.Duration { return 10 * simService }
	assertAll(t, w, w.load(100, 20*time.Millisecond, nil))
	slow := w.target(0).ran
	w.target(0).service = func(int) time.Duration { return simService }
	assertAll(t, w, w.load(500, 20*time.Millisecond, nil))
	assert.Assert(t, slow < 30, "%d of 100 at the slow target", slow)
	assert.Assert(t, w.target(0).ran-slow > 100, "%d of 500 at the healed target", w.target(0).ran-slow)
}

// Guards against a connection that is used on the word of a status read which
// began before it was open and may come from before a restart.
func TestFaultProbeBeforeOpen(t *testing.T) {
	w := newWorld(t, 1)
	w.step(w.assign)
	old := route.Probed{Target: "t0", Began: w.now, Status: w.target(0).status()}
	w.g.Step(w.now, old)
	w.now = w.now.Add(time.Millisecond)
	w.g.Step(w.now, route.ConnOpened{Target: "t0", Conn: 1})
	w.now = w.now.Add(time.Millisecond)
	w.g.Step(w.now, old)
	assert.Equal(t, w.g.Dump().Targets[0].Ready, 0)
	fresh := old
	fresh.Began = w.now
	w.g.Step(w.now.Add(time.Millisecond), fresh)
	assert.Equal(t, w.g.Dump().Targets[0].Ready, 1)
}

// Guards against a hedge to a target that the same event takes out of service.
func TestFaultZoneOutAsHedgeIsDue(t *testing.T) {
	w := newWorld(t, 2)
	w.begin()
	w.load(200, 8*time.Millisecond, nil)
	w.target(0).service = func(int) time.Duration { return 200 * time.Millisecond }
	s := w.submitAt(w.target(0), nil)
	w.now = w.now.Add(10 * time.Millisecond) // the hedge is due, but the group has not been told
	w.assign.ZonesOut["b"] = true
	w.reassign()
	w.run(time.Second)
	assert.Assert(t, s.ok())
	assert.Assert(t, !slices.Contains(s.starts, "t1"))
}

// Guards against slow work that is begun again and again on the only replica.
func TestFaultSlowOnlyReplica(t *testing.T) {
	w := newWorld(t, 1)
	w.begin()
	w.load(100, 10*time.Millisecond, nil)
	w.target(0).service = func(int) time.Duration { return 400 * time.Millisecond }
	s := w.submit(nil)
	w.run(time.Second)
	assert.Assert(t, s.ok())
	assert.Assert(t, len(s.starts) <= 2, "%d attempts", len(s.starts))
}

// Guards against an answer to another attempt being handed to a caller.
func TestFaultCrossedAnswer(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		w := newWorld(t, 3)
		w.begin()
		w.target(0).crossed = 1
		opened := w.target(0).opened
		s := w.submitAt(w.target(0), func(r *scatter.SubRequest) { r.Idempotent = idempotent })
		w.run(time.Second)
		assert.Equal(t, s.ok(), idempotent)
		if !idempotent {
			assert.Equal(t, s.refusal().Outcome, outcome.Unknown)
		}
		assert.Equal(t, w.target(0).opened, opened+1, "the connection was not replaced")
	}
}

// Guards against an answer lost inside its body being reported as not run.
func TestFaultAnswerCut(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		w := newWorld(t, 3)
		w.begin()
		w.target(0).cut = 1
		s := w.submitAt(w.target(0), func(r *scatter.SubRequest) { r.Idempotent = idempotent })
		w.run(time.Second)
		assert.Equal(t, s.ok(), idempotent)
		if !idempotent {
			assert.Equal(t, s.refusal().Outcome, outcome.RanAnswerLost)
		}
	}
}

// Guards against a slot that is given away while a cancelled attempt still
// runs, and against an answer after the cancellation that reaches anybody.
func TestFaultLateAnswer(t *testing.T) {
	for name, end := range map[string]func(*world, *simSub){
		"caller gone": func(w *world, s *simSub) { w.cancel(s) },
		"deadline":    func(w *world, s *simSub) { w.run(s.Deadline.Sub(w.now)) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.assign.Share.Slots = 1
			w.begin()
			target := w.target(0)
			target.keepsOn = true
			target.service = func(int) time.Duration { return 40 * time.Millisecond }
			first := w.submit(func(r *scatter.SubRequest) { r.Deadline = w.now.Add(10 * time.Millisecond); r.Idempotent = false })
			w.run(2 * time.Millisecond)
			end(w, first)
			second := w.submit(nil)
			w.run(20 * time.Millisecond)
			assert.Equal(t, len(second.starts), 0, "the slot was given away")
			w.run(200 * time.Millisecond)
			assert.Assert(t, second.ok())
			assert.Equal(t, target.max, 1)
			if !first.cancelled {
				assert.Equal(t, first.refusal().Code, outcome.CodeDeadlineExceeded)
				assert.Equal(t, first.refusal().Outcome, outcome.Unknown)
			}
		})
	}
}

// Guards against a caller that goes away and keeps a target busy.
func TestFaultCallerGone(t *testing.T) {
	w := newWorld(t, 1)
	w.begin()
	w.target(0).service = func(int) time.Duration { return 500 * time.Millisecond }
	s := w.submit(nil)
	w.run(2 * time.Millisecond)
	w.cancel(s)
	w.run(5 * time.Millisecond)
	assert.Equal(t, len(w.target(0).running), 0)
	d := w.g.Dump()
	assert.Equal(t, d.SubRequests+d.Targets[0].InFlight, 0)
}

// Guards against work that waits for an index version that is gone, and against
// a target being asked for a version that it no longer has.
func TestFaultVersionGone(t *testing.T) {
	w := newWorld(t, 3)
	w.begin()
	w.target(0).versions = []uint64{8}
	assertAll(t, w, w.load(30, time.Millisecond, func(r *scatter.SubRequest) { r.Idempotent = false }))
	w.target(1).versions = []uint64{8}
	w.target(2).versions = []uint64{8}
	s := w.submit(nil)
	w.run(50 * time.Millisecond)
	assert.Equal(t, s.replies[0].Status, scatter.VersionGone)
	assert.DeepEqual(t, s.replies[0].IndexVersions, []uint64{8})
}

// Guards against sub-requests of one partition map that run under another.
func TestFaultRepartition(t *testing.T) {
	w := newWorld(t, 3)
	w.begin()
	for _, target := range w.targets {
		target.service = func(int) time.Duration { return 50 * time.Millisecond }
	}
	var old []*simSub
	for range 20 {
		old = append(old, w.submit(nil))
	}
	w.run(time.Millisecond)
	w.assign.Service.PartitionMap = 2
	w.reassign()
	fresh := w.submit(nil)
	w.run(100 * time.Millisecond)
	for _, s := range old {
		if len(s.starts) > 0 {
			assert.Assert(t, s.ok())
			continue
		}
		assert.Equal(t, s.replies[0].Status, scatter.PartitionMapChanged)
	}
	assert.Equal(t, len(fresh.replies), 0)
	for _, target := range w.targets {
		target.mapID = 2
	}
	w.run(time.Second)
	assert.Assert(t, fresh.ok(), "%v", fresh.refusal())
}

// Guards against a process that paused, wakes and uses its expired share.
func TestFaultVMPausedWakesLate(t *testing.T) {
	w := newWorld(t, 3)
	w.assign.Share.Expires = w.now.Add(5 * time.Second)
	w.begin()
	for _, target := range w.targets {
		target.service = func(int) time.Duration { return time.Minute }
	}
	var subs []*simSub
	for range 30 {
		subs = append(subs, w.submit(func(r *scatter.SubRequest) { r.Deadline = w.now.Add(time.Hour); r.Idempotent = false }))
	}
	w.now = w.now.Add(10 * time.Second) // the process does not run
	late := w.submit(nil)
	w.run(time.Second)
	assert.Equal(t, late.replies[0].Status, scatter.NotOwner)
	for _, s := range subs {
		assert.Equal(t, len(s.replies), 1)
	}
	attempts, conns := w.g.InFlight()
	assert.Equal(t, attempts+conns, 0)
}

// Guards against work that is started although its deadline has passed or
// nobody will have the answer in time.
func TestFaultDeadlineSpent(t *testing.T) {
	w := newWorld(t, 1)
	w.begin()
	spent := w.submit(func(r *scatter.SubRequest) { r.Deadline = w.now })
	assert.Equal(t, spent.refusal().Code, outcome.CodeDeadlineExceeded)
	assert.Equal(t, spent.refusal().Outcome, outcome.NotRun)
	w.load(50, simService, nil)
	for range 44 {
		w.submit(nil)
	}
	hasty := w.submit(func(r *scatter.SubRequest) { r.Deadline = w.now.Add(20 * time.Millisecond) })
	assert.Equal(t, hasty.refusal().Code, outcome.CodeOverloaded)
	assert.Assert(t, hasty.refusal().RetryAfter > 20*time.Millisecond)
	w.run(time.Second)
}

// Guards against a sub-request that is delivered twice and runs or is answered twice.
func TestFaultDeliveredTwice(t *testing.T) {
	w := newWorld(t, 1)
	w.begin()
	s := w.submit(func(r *scatter.SubRequest) { r.Idempotent = false })
	w.step(&route.Submit{Sub: s.SubRequest})
	w.run(time.Second)
	assert.Assert(t, s.ok())
	assert.Equal(t, w.target(0).ran, 1)
}

// Guards against a group that stops because status reads hang or lag.
func TestFaultStatusHangs(t *testing.T) {
	w := newWorld(t, 3)
	w.begin()
	for _, target := range w.targets {
		target.hung = true
	}
	assertAll(t, w, w.load(3000, time.Millisecond, nil))
}

// Guards against a lagging status that hides a restart which an answer showed.
func TestFaultStatusLags(t *testing.T) {
	w := newWorld(t, 3)
	w.begin()
	target := w.target(0)
	target.boot, target.lagBoot = 2, 1
	w.load(30, time.Millisecond, nil)
	assert.Assert(t, w.g.Dump().Targets[0].Cold)
	w.run(2 * time.Second)
	lagging := w.g.Dump().Targets[0]
	assert.Equal(t, lagging.Boot, "t0-2")
	assert.Equal(t, lagging.Ready, 0, "connections verified by a status from before the restart")
	target.lagBoot = 0
	w.run(time.Second)
	d := w.g.Dump().Targets[0]
	assert.Equal(t, d.Boot, "t0-2")
	assert.Equal(t, d.Ready, d.Conns)
}

// Guards against faults that are handled one at a time but not together.
func TestFaultPairs(t *testing.T) {
	faults := map[string]func(*world){
		"straggler":   func(w *world) { w.target(1).service = func(int) time.Duration { return 20 * simService } },
		"crash":       func(w *world) { w.crash(w.target(0), 30*time.Millisecond) },
		"shed":        func(w *world) { w.target(2).shed = true },
		"drain":       func(w *world) { w.target(1).state = route.TargetDraining },
		"zone out":    func(w *world) { w.assign.ZonesOut["a"] = true; w.reassign() },
		"silent":      func(w *world) { w.target(2).mute, w.target(2).muteFrom = true, 1000 },
		"crossed":     func(w *world) { w.target(0).crossed = 5 },
		"status hung": func(w *world) { w.target(0).hung = true },
	}
	for one, first := range faults {
		for other, second := range faults {
			if one >= other {
				continue
			}
			t.Run(one+" and "+other, func(t *testing.T) {
				w := newWorld(t, 4)
				w.begin()
				w.load(100, time.Millisecond, nil)
				first(w)
				w.run(2 * time.Millisecond)
				second(w)
				subs := w.load(400, 2*time.Millisecond, nil)
				w.run(2 * time.Second)
				for _, s := range subs {
					assert.Equal(t, len(s.replies), 1)
				}
				assert.Assert(t, answered(subs) >= 395, "%d of 400 answered", answered(subs))
			})
		}
	}
}
