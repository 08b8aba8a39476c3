package serve

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/outcome"
)

const (
	testRunTime = 800 * time.Millisecond // of a request at a target
	testGrace   = 5 * time.Second
)

// newSlowHarness returns a harness whose route "/read/" is known to take testRunTime.
func newSlowHarness(t *testing.T) *harness {
	h := newHarness(t)
	for range 40 {
		h.submit("/read/x")
		h.advance(testRunTime)
		h.confirm()
		for h.running("single") > 0 {
			h.answer(h.takeAttempt("single"), "")
		}
	}
	h.openAll()
	return h
}

// stop begins the end of the VM and returns when it ends.
func (h *harness) stop() time.Time {
	end := h.now.Add(testGrace)
	h.step(Stopping{AnswerBy: end})
	return end
}

// Guards against requests that come late in the stop of a VM and are sent to a target
// although the process ends before they can be served: they may not be sent twice, and
// get no answer.
func TestFaultRequestsLateInAStop(t *testing.T) {
	for _, path := range []string{"/read/x", "/write/x"} {
		h := newSlowHarness(t)
		end := h.stop()
		served, refused := 0, 0
		for h.now.Before(end) {
			id := h.submit(path)
			if a := h.answers[id]; a != nil {
				assert.Equal(t, a.Refusal.Code, outcome.CodeStopping)
				assert.Equal(t, a.Refusal.Outcome, outcome.NotRun)
				assert.Assert(t, a.Refusal.RetryAfter > 0)
				assert.Assert(t, !h.now.Add(testRunTime*3/2).Before(end), "refused %v before the end", end.Sub(h.now))
				refused++
				h.advance(testRunTime / 16)
				h.confirm()
				continue
			}
			a := h.takeAttempt("single")
			assert.Assert(t, !h.now.Add(testRunTime).After(end), "sent %v before the end", end.Sub(h.now))
			assert.Assert(t, a.TimeLeft <= end.Sub(h.now))
			h.advance(testRunTime)
			h.confirm()
			h.answer(a, "")
			assert.Assert(t, h.answers[id].Response != nil)
			served++
		}
		assert.Assert(t, served >= 4 && refused >= 3, "%d served, %d refused", served, refused)
	}
}

// Guards against requests that wait for a target until the process ends and get no
// answer: those whose turn comes too late are refused before, and truly.
func TestFaultQueuedRequestsInAStop(t *testing.T) {
	h := newSlowHarness(t)
	var ids []RequestID
	for range 80 {
		ids = append(ids, h.submit("/write/x"))
	}
	end := h.stop()
	sent := make(map[RequestID]bool)
	due := make(map[AttemptID]time.Time)
	for h.now.Before(end) {
		for _, a := range h.started {
			if due[a.Attempt].IsZero() {
				assert.Assert(t, !h.now.Add(testRunTime).After(end), "sent %v before the end", end.Sub(h.now))
				due[a.Attempt], sent[a.Request.ID] = h.now.Add(testRunTime), true
			}
		}
		for i := 0; i < len(h.started); i++ {
			if a := h.started[i]; !due[a.Attempt].IsZero() && !h.now.Before(due[a.Attempt]) {
				h.started = append(h.started[:i:i], h.started[i+1:]...)
				h.answer(a, "")
				i = -1
			}
		}
		h.advance(20 * time.Millisecond)
		h.confirm()
		h.openAll()
	}
	refused := 0
	for _, id := range ids {
		a := h.answers[id]
		assert.Assert(t, a != nil, "request %d got no answer", id)
		if !sent[id] {
			assert.Equal(t, a.Refusal.Outcome, outcome.NotRun)
			refused++
			continue
		}
		assert.Assert(t, a.Response != nil, "%+v", a)
	}
	assert.Assert(t, len(sent) >= 10 && refused > 10, "%d sent, %d refused", len(sent), refused)
}

// Guards against requests in every state that are left without an answer when the
// process ends.
func TestFaultEveryRequestIsAnsweredInAStop(t *testing.T) {
	for name, inFlight := range inFlight {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.applyConfig(testConfig(2, testRoutes(), 40))
			ids := inFlight(h)
			ran := make(map[RequestID]bool)
			end := h.now.Add(300 * time.Millisecond)
			h.step(Stopping{AnswerBy: end})
			h.advance(end.Sub(h.now) - time.Millisecond)
			for _, a := range h.started {
				ran[a.Request.ID] = true
			}
			h.advance(2 * time.Millisecond)
			for _, id := range ids {
				a := h.answers[id]
				assert.Assert(t, a != nil, "request %d got no answer", id)
				assert.Equal(t, a.Refusal.Outcome == outcome.Unknown, ran[id], "%+v", a.Refusal)
			}
		})
	}
}
