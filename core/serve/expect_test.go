package serve

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/outcome"
)

// crowd makes the targets of shards slow and has them report that requests wait.
func (h *harness) crowd(shards int, slowness float64, queued int) {
	for i := range shards {
		s := h.engine.service(shardName(i))
		s.meanAttempt = 80 * time.Millisecond
		for _, t := range s.targets {
			t.window = window{limit: 1, serviceTime: 80 * time.Millisecond, slowdown: slowness}
			t.sampleAt, t.loadAt, t.load = h.now, h.now, Load{Running: 2, Queued: queued, Slots: 2}
		}
	}
}

// Guards against fan-outs that take places on some shards although others can't answer
// in time, and against refusing a query because a service is slow without a queue.
func TestFanOutIsAdmittedOrRefusedWhole(t *testing.T) {
	for name, c := range map[string]struct {
		crowded, queued int
		slowness        float64
		refused         bool
	}{
		"as many shards late as may be missing": {2, 8, 2, false},
		"more":                                  {3, 8, 2, true},
		"slow without a queue":                  {10, 0, 3, false},
		"too slow for the objective anyway":     {10, 8, 6, false},
		"too slow for the deadline":             {10, 100, 6, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.crowd(c.crowded, c.slowness, c.queued)
			id := h.submit("/sweep/x")
			if !c.refused {
				assert.Assert(t, h.answers[id] == nil)
				return
			}
			r := h.answers[id].Refusal
			assert.Equal(t, r.Code, outcome.CodeOverloaded)
			assert.Equal(t, r.Outcome, outcome.NotRun)
			assert.Assert(t, r.RetryAfter >= minRetryAfter && r.RetryAfter <= maxRetryAfter*3/2)
			assert.Equal(t, len(h.started), 0)
		})
	}
}

// Guards against fan-outs that are refused for want of targets since their objective has
// passed, or nearly so, when a busy VM has read them.
func TestFanOutThatIsReadLateIsAdmitted(t *testing.T) {
	for _, lag := range []time.Duration{85 * time.Millisecond, 95 * time.Millisecond, 300 * time.Millisecond} {
		h := newHarness(t)
		id := h.submitWaited(0, lag)
		assert.Assert(t, h.answers[id] == nil, "%v: refused", lag)
		assert.Equal(t, len(h.started), fanOutShards)
	}
}

// Guards against fan-outs that are admitted since a target is idle that gets no work.
func TestAdmissionCountsNoAvoidedTargets(t *testing.T) {
	for name, avoid := range map[string]func(h *harness, t *target){
		"ejected": func(h *harness, t *target) { t.ejectedUntil = h.now.Add(time.Second) },
		"leaving": func(h *harness, t *target) { t.lastResortUntil = h.now.Add(time.Second) },
	} {
		h := newHarness(t)
		h.crowd(3, 2, 8)
		for i := range 3 {
			idle := h.engine.service(shardName(i)).targets[0]
			idle.load, idle.sampleAt = Load{}, time.Time{}
			avoid(h, idle)
		}
		id := h.submit("/sweep/x")
		assert.Assert(t, h.answers[id] != nil && h.answers[id].Refusal != nil, "%s: admitted", name)
	}
}

// Guards against refusing single requests that would be late, as a late answer is worth
// most of one in time, and against admitting those that would wait beyond their deadline.
func TestSingleRequestsAreAdmittedUpToTheirDeadline(t *testing.T) {
	h := newHarness(t)
	h.engine.service("single").meanAttempt = 400 * time.Millisecond
	admitted, refused := 0, 0
	for range 300 {
		if id := h.submit("/read/x"); h.answers[id] == nil {
			admitted++
		} else {
			refused++
		}
		h.openAll()
	}
	assert.Assert(t, admitted > 40, "%d admitted", admitted) // the windows hold 12, and 4 s hold 10 times that
	assert.Assert(t, refused > 0)
}

// Guards against deployments whose workspaces have rates that are served otherwise than
// before there was overload control: there only what waits on this VM counts, work is
// ordered by admission, and the queues that targets report close no window.
func TestNoOverloadControlWhereRatesLimitTheDemand(t *testing.T) {
	h := newHarness(t)
	h.config = testConfig(2, testRoutes(), 1000)
	h.publish()
	h.crowd(fanOutShards, 2, 8)
	first := h.submit("/sweep/x")
	assert.Assert(t, h.answers[first] == nil, "refused although nothing waits on this VM")
	assert.Assert(t, h.engine.queries[first].orderBy.IsZero())
	s := h.engine.service(shardName(0))
	assert.Equal(t, s.queueObjective(), time.Duration(0))
	w := window{limit: 3, serviceTime: 80 * time.Millisecond}
	w.answered(h.now, h.now.Add(-time.Second), Load{Running: 2, Queued: 30, Slots: 2}, 2, s.queueObjective(), 9)
	assert.Equal(t, w.limit, 3.0)
	s.recordArrival(h.now, 0)
	s.recordArrival(h.now, 0)
	s.recordArrival(h.now, 0)
	_, urgent := s.mostUrgentArrivals(h.now, 1)
	assert.Assert(t, !urgent)
}

// Guards against a retry-after that changed where rates limit the demand: there it is
// that of the service with the longest wait.
func TestRetryAfterWhereRatesLimitTheDemand(t *testing.T) {
	h := newHarness(t)
	h.config = testConfig(2, testRoutes(), 1000)
	h.publish()
	for range 20 {
		h.submit("/sweep/x")
		h.openAll()
	}
	for i := range 3 { // two may be missing
		s := h.engine.service(shardName(i))
		assert.Assert(t, len(s.queue) > 0)
		s.meanAttempt, s.meanAtPace1 = time.Duration(i*i+1)*time.Second, 0
	}
	assert.Assert(t, h.answers[h.submit("/sweep/x")].Refusal.RetryAfter >= maxRetryAfter)
}
