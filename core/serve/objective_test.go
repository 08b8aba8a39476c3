package serve

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/mesh"
)

// submitWaited submits a fan-out whose caller has spent waited of its second on the
// way to this VM, and that the VM began to read lag ago.
func (h *harness) submitWaited(waited, lag time.Duration) RequestID {
	h.openAll()
	h.seq++
	h.step(Submit{Request: &Request{ID: h.seq, Host: "h", Path: "/sweep/x", Key: testKey, Fingerprint: uint64(h.seq),
		Timeout: time.Second - waited, Received: h.now.Add(-lag)}})
	return h.seq
}

// answerAllBut answers the attempts of all shards but the first n.
func (h *harness) answerAllBut(n int) {
	for i := n; i < fanOutShards; i++ {
		h.answer(h.takeAttempt(shardName(i)), record("a"))
	}
}

// answeredAfter returns how long after now a query that lacks one shard is answered.
func (h *harness) answeredAfter(id RequestID) time.Duration {
	h.t.Helper()
	h.answerAllBut(1)
	for d := range 200 {
		if h.answers[id] != nil {
			return time.Duration(d) * time.Millisecond
		}
		h.advance(time.Millisecond)
	}
	h.t.Fatal("no answer")
	return 0
}

// Guards against answers that miss their objective because all callers of this VM
// have spent time on their way, as after a restart or with few callers, so that the
// VM does not know how long they have waited.
func TestTimeoutsOfOtherVMsShowHowLongCallersWaited(t *testing.T) {
	const waited = 25 * time.Millisecond
	h := newHarness(t)
	assert.Assert(t, h.answeredAfter(h.submitWaited(waited, 0)) > 85*time.Millisecond)
	view := *h.engine.view
	view.Timeouts = map[string]time.Duration{"sweep": time.Second}
	h.step(FleetChanged{View: &view})
	after := h.answeredAfter(h.submitWaited(waited, 0))
	assert.Assert(t, after >= 64*time.Millisecond && after <= 67*time.Millisecond, "%v", after)

	// A timeout beyond that of the route says nothing of the others.
	view.Timeouts = map[string]time.Duration{"sweep": time.Hour}
	h.step(FleetChanged{View: &view})
	assert.Assert(t, h.answeredAfter(h.submitWaited(0, 0)) > 85*time.Millisecond)
}

// Guards against a longest timeout that this VM keeps to itself, or repeats although
// the fleet knows it.
func TestLongestTimeoutsAreReported(t *testing.T) {
	h := newHarness(t)
	reported := func() []mesh.RouteTimeout {
		h.now = h.now.Add(reportInterval)
		for _, a := range h.engine.Step(h.now, Tick{}) {
			if r, ok := a.(Report); ok {
				return r.Timeouts
			}
		}
		return nil
	}
	h.submitWaited(30*time.Millisecond, 0)
	h.submitWaited(20*time.Millisecond, 0)
	assert.DeepEqual(t, reported(), []mesh.RouteTimeout{{Route: "sweep", Longest: 980 * time.Millisecond}})
	view := *h.engine.view
	view.Timeouts = map[string]time.Duration{"sweep": time.Second}
	h.step(FleetChanged{View: &view})
	assert.Equal(t, len(reported()), 0)
}

// Guards against answers that miss their objective on a VM whose processor is busy:
// requests wait before the engine sees them, and answers before they are written.
func TestBusyVMAnswersEarlier(t *testing.T) {
	h := newHarness(t)
	assert.Assert(t, h.answeredAfter(h.submitWaited(0, 0)) > 85*time.Millisecond)
	after := h.answeredAfter(h.submitWaited(0, 20*time.Millisecond))
	assert.Assert(t, after < 72*time.Millisecond, "the time before the admission does not count: %v", after)
	for range 40 {
		h.step(Delivered{Lag: 15 * time.Millisecond})
	}
	after = h.answeredAfter(h.submitWaited(0, 0))
	assert.Assert(t, after >= 55*time.Millisecond && after < 65*time.Millisecond, "%v", after)
	for range 40 {
		h.step(Delivered{Lag: time.Minute})
	}
	assert.Assert(t, h.answeredAfter(h.submitWaited(0, 0)) >= 58*time.Millisecond, "the lag takes most of the objective")
	for range 400 {
		h.step(Delivered{Lag: time.Millisecond})
	}
	after = h.answeredAfter(h.submitWaited(0, 0))
	assert.Assert(t, after > 84*time.Millisecond, "the estimate does not fall: %v, %v", after, h.engine.deliveryLag.estimate)
}
