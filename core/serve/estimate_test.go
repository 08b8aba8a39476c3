package serve

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// answerAfter answers an attempt at a target after a latency with a stated pace.
func (h *harness) answerAfter(latency time.Duration, pace float64) {
	h.confirm()
	h.openAll()
	h.submit("/read/x")
	a := h.takeAttempt("single")
	h.advance(latency)
	h.step(AttemptDone{Attempt: a.Attempt, Conn: a.Conn, Kind: Answered, Reusable: true, Load: &Load{Slots: 2, Pace: pace},
		Response: &Response{Status: 200, Success: true, Signature: "s"}})
}

// Guards against an old pace that is taken for the present one, and against a target
// that is kept out for good by what it stated last.
func TestPaceAges(t *testing.T) {
	s := &speed{}
	assert.Equal(t, s.expectedPace(epoch), 1.0)
	for i := range 100 {
		s.statePace(epoch.Add(time.Duration(i)*100*time.Millisecond), 1.3)
	}
	last := epoch.Add(10 * time.Second)
	s.statePace(last, 8)
	for age, want := range map[time.Duration]float64{
		0: 8, 300 * time.Millisecond: 4.68, 600 * time.Millisecond: 3.03, 2 * time.Second: 1.43, 7 * time.Second: 0.68, time.Minute: 0.5,
	} {
		assert.Assert(t, math.Abs(s.expectedPace(last.Add(age))-want) < 0.02, "%v: %v", age, s.expectedPace(last.Add(age)))
	}
	for i := range 1000 {
		s.statePace(last.Add(time.Duration(i)*100*time.Millisecond), 16)
	}
	last = last.Add(100 * time.Second)
	assert.Assert(t, s.expectedPace(last.Add(time.Second)) > 15)
	assert.Assert(t, s.expectedPace(last.Add(30*time.Second)) < 1)
	assert.Assert(t, s.expectedPace(epoch) > 0, "a clock that goes back")
}

// Guards against an estimate that overflows, and so becomes the shortest one, at a target
// that begins and ceases to state figures, or reports a queue without bounds.
func TestFalseFiguresDoNotOverflow(t *testing.T) {
	const median = 800 * time.Millisecond
	h := newHarness(t)
	tg := h.engine.service("single").targets[0]
	for range 400 {
		for _, pace := range []float64{0.25, 16, 0} {
			tg.recordSlowness(h.now, median, median, tg.expectedPace(h.now))
			tg.statePace(h.now, pace)
		}
	}
	d := h.engine.attemptTime(h.now, tg, median)
	assert.Assert(t, d >= median/10 && d <= highestSlowness*median, "%v, slowness %v", d, tg.slowness)
	tg.statePace(h.now, maxPace)
	tg.loadAt, tg.load = h.now, Load{Running: 1 << 20, Queued: 1 << 20}
	d = h.engine.attemptTime(h.now, tg, median)
	assert.Equal(t, d, maxAttemptTime)
	x := expectation{attempt: d, wait: d}
	assert.Assert(t, x.lateBy(time.Second, time.Second) > time.Hour)
}

// Guards against false figures that outweigh the VM's own measurements: whatever a
// target states, its expected time approaches the measured one.
func TestFalsePacesAreOutweighed(t *testing.T) {
	for _, stated := range []float64{0, -1, math.NaN(), math.Inf(1), 1e7, 0.0001, 0.25, 1, 3, 16, 99} {
		h := newHarness(t)
		for range 400 {
			h.answerAfter(20*time.Millisecond, stated)
		}
		checked := 0
		for _, tg := range h.engine.services["single"].targets {
			if !tg.isMeasured(h.now) {
				continue // it counts as faster after a silence, so that it is tried
			}
			checked++
			got := h.engine.attemptTime(h.now, tg, h.engine.route("read").atPace1.P50)
			assert.Assert(t, got > 15*time.Millisecond && got < 25*time.Millisecond, "stated %v: %v", stated, got)
		}
		assert.Assert(t, checked > 0)
	}
}

// Guards against a figure that is counted twice, in the pace and in the slowness, and
// against a jump of the estimate when a target begins or ceases to state its pace.
func TestPaceIsCountedOnce(t *testing.T) {
	h := newHarness(t)
	for range 100 {
		h.answerAfter(20*time.Millisecond, 1)
	}
	h.answerAfter(80*time.Millisecond, 4)
	tg := h.engine.targets["single-0"]
	median := h.engine.route("read").atPace1.P50
	assert.Assert(t, math.Abs(tg.slowness-1) < 0.02, "%v", tg.slowness)
	slow := h.engine.attemptTime(h.now, tg, median)
	assert.Assert(t, slow > 75*time.Millisecond && slow < 85*time.Millisecond, "%v", slow)
	tg.statePace(h.now, 0)
	assert.Assert(t, math.Abs(float64(h.engine.attemptTime(h.now, tg, median)-slow)) < float64(time.Millisecond))
	tg.statePace(h.now, 4)
	assert.Assert(t, math.Abs(float64(h.engine.attemptTime(h.now, tg, median)-slow)) < float64(time.Millisecond))
}

// Guards against hedges that wait at a target known to be slow as long as at others,
// that come before an attempt had a fair chance, that double the work when all targets
// are slow, and against changed hedges at targets that state no pace.
func TestHedgeWaitFollowsThePace(t *testing.T) {
	for name, c := range map[string]struct {
		paces [replicas]float64
		early bool
	}{
		"no pace": {[replicas]float64{0, 0, 0}, false}, "usual": {[replicas]float64{1, 1.3, 0.8}, false},
		"slow": {[replicas]float64{8, 1, 1}, true}, "all slow": {[replicas]float64{8, 8, 8}, false}, "false": {[replicas]float64{-8, 1, 1}, false},
	} {
		h := newHarness(t)
		for range 100 {
			h.answerAfter(20*time.Millisecond, 1)
		}
		q := &query{route: testRoutes()[1], objective: h.now.Add(400 * time.Millisecond)}
		sub := &subRequest{query: q, service: h.engine.services["single"]}
		for i, tg := range sub.service.targets {
			tg.statePace(h.now, c.paces[i])
		}
		got := h.engine.hedgeWaitAt(h.now, sub, sub.service.targets[0])
		if c.early {
			assert.Equal(t, got, 40*time.Millisecond, name)
			continue
		}
		assert.Assert(t, got >= h.engine.hedgeWait(h.now, q), "%s: %v", name, got)
	}
}

// Guards against an expected wait that ignores that the targets are slow now.
func TestExpectedWaitFollowsThePace(t *testing.T) {
	h := newHarness(t)
	for range 100 {
		h.answerAfter(20*time.Millisecond, 1)
	}
	for h.running("single") < replicas*initialLimit && len(h.engine.services["single"].queue) < 10 {
		h.submit("/read/x")
	}
	s := h.engine.services["single"]
	usual, _ := h.engine.expectedWait(h.now, s, s.queuedUpTo(2), 2)
	for _, tg := range s.targets {
		tg.statePace(h.now, 8)
	}
	slow, _ := h.engine.expectedWait(h.now, s, s.queuedUpTo(2), 2)
	assert.Assert(t, usual > 0 && slow > 7*usual && slow < 9*usual, "%v, %v", usual, slow)
}

// Guards against a changed choice among targets that state no pace: their cost is what
// it was before there was one.
func TestCostWithoutAPace(t *testing.T) {
	const median, crossZone = 20 * time.Millisecond, 9 * time.Millisecond
	rng := rand.New(rand.NewSource(1))
	h := newHarness(t)
	for range 1000 {
		tg := h.engine.targets[fmt.Sprintf("single-%d", rng.Intn(replicas))]
		load, slowness := rng.Intn(10), rng.Float64()*maxSlowness
		tg.service.meanAttempt, tg.running, tg.sampleAt, tg.slowness = 20*time.Millisecond, nil, h.now, slowness
		h.engine.recordLoad(h.now, tg, AttemptDone{Kind: Answered, Load: &Load{Running: load + 1}})
		unit, slots := float64(median)*slowness, float64(tg.slots())
		if tg.coldUntil = (time.Time{}); rng.Intn(2) == 0 {
			tg.coldUntil, unit = h.now.Add(time.Second), unit*coldSlowdown
		}
		want := unit * (1 + inFlightCostFactor*min(float64(load), slots)/slots)
		if float64(load) >= slots {
			want += unit * (float64(load) + 1 - slots) / slots
		}
		if tg.reg.Zone != testSettings.Zone {
			want += float64(crossZone)
		}
		got := h.engine.cost(h.now, tg, median, crossZone)
		assert.Assert(t, math.Abs(float64(got)-want) <= 2, "%v, wanted %v", got, want) // nanoseconds, from rounding
	}
}
