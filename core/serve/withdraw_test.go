package serve

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against work of a query that goes on or waits after its answer, after its
// refusal, after its caller has left, or at a VM that ran a part of it.
func TestNothingOfAnEndedQueryRunsOrWaits(t *testing.T) {
	for name, end := range map[string]func(h *harness, id RequestID){
		"answered early": func(h *harness, _ RequestID) {
			h.answerAllBut(2)
			h.advance(95 * time.Millisecond)
		},
		"too few shards left": func(h *harness, _ RequestID) {
			for i := range 6 { // two attempts at three shards
				h.fail(h.takeAttempt(shardName(1+i/2)), ConnLost)
				h.openAll()
			}
		},
		"caller left": func(h *harness, id RequestID) { h.step(Cancel{ID: id}) },
		"relay": func(h *harness, id RequestID) {
			h.step(Cancel{ID: id})
			work := &RelayedWork{Route: "sweep", Request: &Request{ID: 99}, TimeLeft: 3 * time.Second, ReplyTimeout: time.Second}
			for i := range fanOutShards {
				work.Shards = append(work.Shards, shardName(i))
			}
			h.openAll()
			h.step(RelayRequested{Work: work})
			assert.Assert(h.t, len(h.engine.attempts) > 0)
			assert.Equal(h.t, len(h.engine.service(shardName(0)).queue), 1)
			h.step(RelayCancelled{ID: 99})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			for _, target := range h.engine.service(shardName(0)).targets { // its sub-request is queued
				target.backoffUntil = h.now.Add(400 * time.Millisecond)
			}
			id := h.submit("/sweep/x")
			assert.Equal(t, len(h.started), fanOutShards-1)
			assert.Equal(t, len(h.engine.service(shardName(0)).queue), 1)
			end(h, id)
			assert.Equal(t, h.engine.Pending(), 0)
			h.advance(500 * time.Millisecond)
			h.openAll()
			assert.Equal(t, len(h.started)+len(h.engine.attempts), 0)
			assert.Equal(t, len(h.engine.service(shardName(0)).queue), 0)
		})
	}
}
