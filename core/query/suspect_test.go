package query_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/query"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// runWithCrashes answers or crashes every sub-request until the query ends. It returns
// the number of crashes outside the first fan-out.
func runWithCrashes(h *harness, sent []query.SendSub, crashes func(shard string, repeat bool) bool) (repeated int) {
	for len(sent) > 0 && len(h.finishes) == 0 {
		for _, s := range sent {
			if s.Sub.IndexVersion == 0 || !crashes(s.Sub.Shard.Shard, s.Sub.Repeat) {
				h.answer(s)
				continue
			}
			if s.Sub.Repeat {
				repeated++
			}
			h.replied(crash(s))
		}
		sent = h.takeSends()
	}
	return repeated
}

// Guards against a request that crashes one target after another: at most two crashes
// happen outside the first fan-out, then its content is blocked.
func TestFaultPoisonRequest(t *testing.T) {
	cases := []struct {
		name     string
		crashes  func(shard string, repeat bool) bool
		answered bool
		repeated int
	}{
		{"every target crashes", func(string, bool) bool { return true }, false, 1},
		{"one shard crashes always", func(shard string, _ bool) bool { return shard == "g07" }, false, 1},
		{"one shard crashed by another request", func(shard string, repeat bool) bool { return shard == "g07" && !repeat }, true, 0},
		{"all shards crashed by another request", func(_ string, repeat bool) bool { return !repeat }, true, 0},
		{"only the last shard crashes again", func(shard string, repeat bool) bool { return !repeat || shard == "g14" }, false, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testConfig(15))
			repeated := runWithCrashes(h, h.fanOut(sameContent), c.crashes)
			assert.Equal(t, repeated, c.repeated, "crashes outside the first fan-out")
			if c.answered {
				h.wantAnswer(15)
				assert.Equal(t, len(h.poisons), 0)
				return
			}
			h.wantRefusal(outcome.CodePoisonRequest, outcome.Unknown)
			assert.Equal(t, len(h.poisons), 1)
			assert.Assert(t, h.poisons[0].Until.After(h.now))
			// The caller sends the request again, before the block is in the view of this VM.
			h.start(sameContent)
			assert.Equal(t, len(h.takeSends()), 0)
			h.wantRefusal(outcome.CodePoisonRequest, outcome.NotRun)
		})
	}
}

// Guards against several parts of a suspect query that run at the same time.
func TestSuspectRunsIsolated(t *testing.T) {
	h := newHarness(t, testConfig(15))
	sent := h.fanOut()
	for _, s := range sent {
		h.replied(crash(s))
	}
	isolated := h.takeSends()
	assert.Equal(t, len(isolated), 1)
	assert.Assert(t, isolated[0].Sub.Repeat && isolated[0].Sub.Isolated)
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.takeSends()), 0, "no hedge and no move of a suspect query")
	h.answer(isolated[0])
	rest := h.takeSends()
	assert.Equal(t, len(rest), 14, "the rest is sent together after a success")
	for _, s := range rest {
		h.answer(s)
	}
	f := h.finish()
	assert.Equal(t, f.Stats.Crashes, 15)
	assert.Equal(t, f.Stats.RepeatCrashes, 0)
}

// Guards against resending parts of a suspect query that failed without a crash while
// another part runs isolated.
func TestSuspectHoldsFailedParts(t *testing.T) {
	h := newHarness(t, testConfig(3))
	sent := h.fanOut()
	h.replied(crash(sent[0]))
	isolated := h.takeSends()
	h.step(query.SendFailed{Sub: sent[1].Sub.ID})
	h.replied(reply(sent[2], scatter.NotOwner))
	assert.Equal(t, len(h.takeSends()), 0)
	h.step(query.SendFailed{Sub: isolated[0].Sub.ID})
	next := h.takeSends()
	assert.Equal(t, len(next), 1, "the next part runs isolated")
	h.answer(next[0])
	assert.Equal(t, len(h.takeSends()), 2)
}

// Guards against a caller that resends a request whose first send crashed targets and
// ended before its content was blocked.
func TestFaultPoisonResent(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		h := newHarness(t, testConfig(15))
		change := func(s *query.Start) { s.Idempotent = idempotent }
		sent := h.fanOut(sameContent, change)
		h.replied(crash(sent[0]))
		h.takeSends()
		h.advance(time.Second) // the isolated part never answers
		assert.Assert(t, h.finish().Refusal != nil || !idempotent)
		again := h.fanOut(sameContent, change)
		assert.Equal(t, len(again), 1, "a suspect content gets no fan-out")
		h.replied(crash(again[0]))
		h.wantRefusal(outcome.CodePoisonRequest, outcome.Unknown)
		assert.Equal(t, len(h.poisons), 1)
	}
}

// Guards against a non-idempotent part that runs again after its target crashed.
func TestFaultCrashNonIdempotent(t *testing.T) {
	h := newHarness(t, testConfig(3))
	sent := h.fanOut(nonIdempotent, fullCoverage)
	for _, s := range sent {
		h.replied(crash(s))
	}
	assert.Equal(t, len(h.takeSends()), 0)
	h.wantRefusal(outcome.CodeTargetCrashed, outcome.Unknown)
}

// Guards against running a request whose content is blocked in the whole fleet.
func TestFaultPoisonInView(t *testing.T) {
	h := newHarness(t, testConfig(3))
	v := testView(testConfig(3), ownerA, ownerB)
	v.PoisonedUntil = map[fleet.Fingerprint]time.Time{{0xff}: h.now.Add(time.Minute)}
	h.step(query.ViewChanged{View: v})
	h.start(sameContent)
	assert.Equal(t, len(h.takeSends()), 0)
	h.wantRefusal(outcome.CodePoisonRequest, outcome.NotRun)
	h.advance(2 * time.Minute)
	h.start(sameContent)
	h.answerAll()
	h.wantAnswer(3)
}
