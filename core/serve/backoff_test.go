package serve

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/outcome"
)

// answerLeaving answers an attempt; the target says that it is about to end and
// closes the connection.
func (h *harness) answerLeaving(a StartAttempt) {
	h.step(AttemptDone{Attempt: a.Attempt, Conn: a.Conn, Kind: Answered, Leaving: true,
		Response: &Response{Status: 200, Success: true, Signature: "seal-" + a.Target}})
}

// shedFor refuses an attempt; the target wants no requests for d.
func (h *harness) shedFor(a StartAttempt, d time.Duration) {
	h.step(AttemptDone{Attempt: a.Attempt, Conn: a.Conn, Kind: Shed, Reusable: true, Backoff: d})
}

// targetsUsed submits and answers n requests, and returns how many each target got.
func (h *harness) targetsUsed(n int) map[string]int {
	used := make(map[string]int)
	for range n {
		h.submit("/read/x")
		a := h.takeAttempt("single")
		used[a.Target]++
		h.answer(a, "")
		h.openAll()
		h.advance(20 * time.Millisecond)
	}
	return used
}

// Guards against requests that reach a target which has said that it is about to
// end while others serve: at once, by a hedge, from the queue, and after its entry
// has lapsed and come back.
func TestLeavingTargetGetsNoMoreRequests(t *testing.T) {
	h := newHarness(t)
	h.submit("/read/x")
	first := h.takeAttempt("single")
	h.answerLeaving(first)
	h.openAll()
	assert.Equal(t, h.targetsUsed(30)[first.Target], 0)

	for range 40 { // more than fit, so that some wait and some are hedged
		h.submit("/read/x")
	}
	h.advance(300 * time.Millisecond)
	for _, a := range h.started {
		assert.Assert(t, a.Target != first.Target)
	}
	h = newHarness(t)
	h.submit("/read/x")
	first = h.takeAttempt("single")
	h.answerLeaving(first)
	entry := h.targets[first.Target]
	delete(h.targets, first.Target)
	h.confirm()
	h.publish()
	h.advance(time.Second)
	h.targets[first.Target] = entry
	h.confirm()
	h.publish()
	h.openAll()
	assert.Equal(t, h.targetsUsed(30)[first.Target], 0)

	restarted := *entry
	restarted.StartedUnixMs++
	h.targets[first.Target] = &restarted
	h.confirm()
	h.publish()
	h.openAll()
	assert.Assert(t, h.targetsUsed(30)[first.Target] > 0, "the next process with the id is avoided")
}

// Guards against refusing requests while the last target of a service is about to
// end but still serves, and against requests that reach it later than it allows.
func TestLastTargetServesUntilItLeaves(t *testing.T) {
	h := newHarness(t)
	for range replicas {
		h.submit("/read/x")
	}
	for range replicas {
		h.answerLeaving(h.takeAttempt("single"))
	}
	h.openAll()
	h.advance(testSettings.DrainWithin / 4)
	assert.Assert(t, len(h.targetsUsed(3)) > 0)
	h.advance(testSettings.DrainWithin / 2)
	id := h.submit("/read/x")
	assert.Equal(t, h.running("single"), 0)
	assert.Equal(t, h.answers[id].Refusal.Code, outcome.CodeNoReplica)
	assert.Equal(t, h.answers[id].Refusal.Outcome, outcome.NotRun)
}

// Guards against a VM that goes on sending to a target of which another VM, which
// runs work for it, has learned that it is about to end.
func TestRelayReplyTellsOfLeavingTargets(t *testing.T) {
	h := newHarness(t)
	q := &RelayedWork{Shards: []string{shardName(0), shardName(1)}, TopK: 1, Request: &Request{ID: 900}, TimeLeft: time.Second, ReplyTimeout: time.Second}
	h.step(RelayRequested{Work: q})
	left := h.takeAttempt(shardName(0))
	h.answerLeaving(left)
	h.answer(h.takeAttempt(shardName(1)), record("a"))
	assert.DeepEqual(t, h.replies[0].Leaving, []string{left.Target})

	other := newHarness(t)
	other.engine.relays[1] = &relay{id: 1, query: &query{engine: other.engine, request: &Request{ID: 901}}}
	other.step(RelayReplied{Relay: 1, Reply: &RelayReply{Leaving: []string{left.Target}, More: true}})
	assert.Assert(t, other.engine.targets[left.Target].isLeaving())
}

// Guards against requests that reach a target within the time for which it wants
// none, and against avoiding it for longer.
func TestBackoffOfATargetIsKept(t *testing.T) {
	h := newHarness(t)
	id := h.submit("/read/x")
	shed := h.takeAttempt("single")
	h.shedFor(shed, 2*time.Second)
	h.answer(h.takeAttempt("single"), "")
	assert.Assert(t, h.answers[id].Response != nil)
	until := h.now.Add(2 * time.Second)
	for h.now.Before(until) {
		assert.Equal(t, h.targetsUsed(1)[shed.Target], 0)
	}
	assert.Assert(t, h.targetsUsed(12)[shed.Target] > 0)
}

// Guards against requests that wait for targets none of which takes them before
// the deadline, and against a retry-after shorter than their time.
func TestAllTargetsBackOff(t *testing.T) {
	h := newHarness(t)
	waiting := make([]RequestID, 30)
	for i := range waiting {
		waiting[i] = h.submit("/read/x")
	}
	for i := range replicas {
		for _, a := range append([]StartAttempt(nil), h.started...) {
			if a.Target == h.targets["single-"+string(rune('0'+i))].ID {
				h.takeTarget(a.Target)
				h.shedFor(a, time.Duration(8-i)*time.Second)
				break
			}
		}
	}
	h.advance(time.Millisecond)
	id := h.submit("/read/x")
	r := h.answers[id].Refusal
	assert.Equal(t, r.Outcome, outcome.NotRun)
	assert.Assert(t, r.RetryAfter >= 5900*time.Millisecond && r.RetryAfter <= 9*time.Second, "%v", r.RetryAfter)
	h.advance(200 * time.Millisecond)
	for _, w := range waiting {
		if a := h.answers[w]; a != nil {
			assert.Assert(t, a.Refusal != nil && a.Refusal.Outcome == outcome.NotRun)
		}
	}
	assert.Equal(t, len(h.engine.services["single"].queue), 0)
}

// takeTarget removes the first attempt in flight at a target.
func (h *harness) takeTarget(id string) {
	for i, a := range h.started {
		if a.Target == id {
			h.started = append(h.started[:i], h.started[i+1:]...)
			return
		}
	}
}

// Guards against a request that is refused although its target takes requests again
// well before its objective.
func TestShortBackoffIsWaitedFor(t *testing.T) {
	h := newHarness(t)
	for range replicas {
		h.submit("/read/x")
	}
	for range replicas {
		h.shedFor(h.takeAttempt("single"), 100*time.Millisecond)
	}
	id := h.submit("/read/x")
	assert.Assert(t, h.answers[id] == nil)
	h.advance(250 * time.Millisecond)
	assert.Assert(t, h.running("single") > 0)
}

// Guards against a service that loses most of its targets to ejections while they
// refuse some of their requests: all work went to the one that refused none, which
// took ten times as long as usual.
func TestTargetsThatRefuseSomeRequestsStay(t *testing.T) {
	for _, c := range []struct {
		lastAnswer time.Duration // before the refusals
		stays      bool
	}{{200 * time.Millisecond, true}, {shedTolerance + time.Millisecond, false}} {
		h := newHarness(t)
		for _, other := range []string{"single-0", "single-2"} {
			delete(h.targets, other)
		}
		h.publish()
		h.submit("/read/x")
		h.answer(h.takeAttempt("single"), "")
		h.advance(c.lastAnswer)
		h.confirm()
		for range ejectAfterFailures {
			h.submit("/read/x")
			for h.running("single") > 0 {
				h.fail(h.takeAttempt("single"), Shed)
			}
		}
		ejected := slices.ContainsFunc(h.logEvents, func(e LogEvent) bool { return e.Event == LogTargetEjected })
		assert.Equal(t, ejected, !c.stays, "last answer %v before", c.lastAnswer)
	}
}

// Guards against requests to a target that wants none for a while, once its entry has
// been lost and is back.
func TestBackoffOutlastsTheEntry(t *testing.T) {
	h := newHarness(t)
	h.submit("/read/x")
	shed := h.takeAttempt("single")
	h.shedFor(shed, 2*time.Second)
	h.answer(h.takeAttempt("single"), "")
	until := h.now.Add(2 * time.Second)
	entry := h.targets[shed.Target]
	delete(h.targets, shed.Target)
	h.publish()
	h.advance(300 * time.Millisecond)
	h.confirm()
	h.targets[shed.Target] = entry
	h.publish()
	h.openAll()
	for h.now.Before(until) {
		assert.Equal(t, h.targetsUsed(1)[shed.Target], 0)
	}
	assert.Assert(t, h.targetsUsed(12)[shed.Target] > 0)
}
