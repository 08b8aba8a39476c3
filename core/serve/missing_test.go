package serve

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against missing shards whose cause is not told, or told wrongly: the first
// shard gets no answer until the objective, for another reason in each case.
func TestMissingShardsHaveTheirCause(t *testing.T) {
	shard := shardName(0)
	targets := func(h *harness) []*target { return h.engine.services[shard].targets }
	keepTargets := func(h *harness, n int) {
		for i := n; i < replicas; i++ {
			delete(h.targets, shard+"-"+string(rune('0'+i)))
		}
		h.publish()
	}
	spendBudget := func(h *harness) {
		for h.engine.services[shard].budget.TakeRetry() {
		}
	}
	failOnce := func(h *harness) { h.fail(h.takeAttempt(shard), ConnLost) }
	for name, c := range map[string]struct {
		far    int              // shards without a target in this zone
		before func(h *harness) // before the query
		after  func(h *harness) // once it has started
		want   MissingCause
	}{
		"no target":        {before: func(h *harness) { keepTargets(h, 0) }, want: MissingNoTarget},
		"target goes away": {after: func(h *harness) { keepTargets(h, 0) }, want: MissingNoTarget},
		"attempts fail":    {after: func(h *harness) { failOnce(h); failOnce(h) }, want: MissingFailed},
		"no retry left":    {after: func(h *harness) { spendBudget(h); failOnce(h) }, want: MissingFailed},
		"all ejected": {before: func(h *harness) {
			for _, tg := range targets(h) {
				tg.ejectedUntil = h.now.Add(time.Second)
			}
		}, want: MissingTargetsSlow},
		"all slow": {before: func(h *harness) {
			for _, tg := range targets(h) {
				tg.slowness, tg.sampleAt = maxSlowness, h.now
			}
		}, want: MissingTargetsSlow},
		"all pause longer than the caller waits": {before: func(h *harness) {
			for _, tg := range targets(h) {
				tg.backoffUntil = h.now.Add(time.Minute)
			}
		}, want: MissingTargetsSlow},
		"no target is free": {before: func(h *harness) {
			for _, tg := range targets(h) {
				tg.window.limit = 1
			}
			for range replicas {
				h.submit("/sweep/x")
				h.openAll()
			}
		}, after: func(h *harness) { h.advance(48 * time.Millisecond) }, want: MissingQueued}, // the others take as long, so that no target is slow
		"hedged":            {want: MissingLateHedged},
		"budget is spent":   {after: spendBudget, want: MissingHedgeBudget},
		"no other target":   {before: func(h *harness) { keepTargets(h, 1) }, want: MissingHedgeTarget},
		"relay is silent":   {far: farShards, after: spendBudget, want: MissingRelaySilent},
		"late at its relay": {far: farShards, after: func(h *harness) { spendBudget(h); h.replyWithout(0) }, want: MissingHedgeBudget},
		"no hedge allowed":  {before: func(h *harness) { h.config.Routes()[0].MaxAttempts = 1 }, want: MissingLate},
	} {
		t.Run(name, func(t *testing.T) {
			h := newRelayHarness(t, c.far)
			if c.before != nil {
				c.before(h)
			}
			id := h.submit("/sweep/x")
			if c.after != nil {
				c.after(h)
			}
			h.answerShards(1)
			h.advance(hedgeDue)
			h.answerShards(1) // hedges of relayed shards
			h.advance(100*time.Millisecond - hedgeDue)
			a := h.answers[id]
			assert.Assert(t, a != nil && a.Merged != nil)
			assert.DeepEqual(t, a.Trace.MissingShards, []string{shard})
			assert.DeepEqual(t, a.Trace.MissingCauses, []MissingCause{c.want})
		})
	}
}

// replyWithout reports all shards of the first relay but one as answered.
func (h *harness) replyWithout(shard int) {
	reply := allAnswered(h.relayed[0].Work)
	reply.Answers = append(reply.Answers[:shard], reply.Answers[shard+1:]...)
	reply.More = true
	h.step(RelayReplied{Relay: h.relayed[0].Relay, Reply: reply})
}

// answerShards answers the attempts in flight at shards from a number on.
func (h *harness) answerShards(from int) {
	for i := from; i < fanOutShards; i++ {
		for h.running(shardName(i)) > 0 {
			h.answer(h.takeAttempt(shardName(i)), record("a"))
		}
	}
}

// Guards against causes that are told for whole answers and refusals.
func TestWholeAnswersHaveNoMissingCauses(t *testing.T) {
	h := newHarness(t)
	whole := h.submit("/sweep/x")
	h.answerShards(0)
	assert.Equal(t, len(h.answers[whole].Trace.MissingCauses), 0)
	for i := range fanOutShards {
		delete(h.targets, shardName(i)+"-0")
		delete(h.targets, shardName(i)+"-1")
		delete(h.targets, shardName(i)+"-2")
	}
	h.publish()
	refused := h.submit("/sweep/x")
	assert.Assert(t, h.answers[refused].Refusal != nil)
	assert.Equal(t, len(h.answers[refused].Trace.MissingCauses), 0)
	for c := MissingNoTarget; c <= MissingLate; c++ {
		assert.Assert(t, c.String() != "" && !strings.Contains(c.String(), " "))
	}
}
