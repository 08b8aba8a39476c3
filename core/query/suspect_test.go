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

// crashRun answers or crashes every sub-request until the query ends and counts
// the crashes outside the first fan-out.
func crashRun(r *rig, sent []query.SendSub, crashes func(group string, repeat bool) bool) (repeated int) {
	for len(sent) > 0 && len(r.finishes) == 0 {
		for _, s := range sent {
			if s.Sub.IndexVersion == 0 || !crashes(s.Sub.Shard.Shard, s.Sub.Repeat) {
				r.answer(s)
				continue
			}
			if s.Sub.Repeat {
				repeated++
			}
			r.replied(crash(s))
		}
		sent = r.take()
	}
	return repeated
}

// Guards against a request that takes down one target after the other: at most
// two crashes outside the first fan-out, then its content is blocked.
func TestFaultPoisonRequest(t *testing.T) {
	cases := []struct {
		name     string
		crashes  func(group string, repeat bool) bool
		answered bool
		repeated int
	}{
		{"every target crashes", func(string, bool) bool { return true }, false, 1},
		{"one group crashes always", func(g string, _ bool) bool { return g == "g07" }, false, 1},
		{"one group crashed by another request", func(g string, repeat bool) bool { return g == "g07" && !repeat }, true, 0},
		{"all groups crashed by another request", func(_ string, repeat bool) bool { return !repeat }, true, 0},
		{"only the last group crashes again", func(g string, repeat bool) bool { return !repeat || g == "g14" }, false, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, testConfig(15))
			repeated := crashRun(r, r.fanOut(sameContent), c.crashes)
			assert.Equal(t, repeated, c.repeated, "crashes outside the first fan-out")
			if c.answered {
				r.wantAnswer(15)
				assert.Equal(t, len(r.poisons), 0)
				return
			}
			r.wantRefusal(outcome.CodePoisonRequest, outcome.Unknown)
			assert.Equal(t, len(r.poisons), 1)
			assert.Assert(t, r.poisons[0].Until.After(r.now))
			// Sent again by its caller, here before the block is in the view.
			r.start(sameContent)
			assert.Equal(t, len(r.take()), 0)
			r.wantRefusal(outcome.CodePoisonRequest, outcome.NotRun)
		})
	}
}

// Guards against several parts of a suspect query that run at the same time.
func TestSuspectRunsAlone(t *testing.T) {
	r := newRig(t, testConfig(15))
	sent := r.fanOut()
	for _, s := range sent {
		r.replied(crash(s))
	}
	alone := r.take()
	assert.Equal(t, len(alone), 1)
	assert.Assert(t, alone[0].Sub.Repeat && alone[0].Sub.Isolated)
	r.advance(100 * time.Millisecond)
	assert.Equal(t, len(r.take()), 0, "no hedge and no move of a suspect query")
	r.answer(alone[0])
	rest := r.take()
	assert.Equal(t, len(rest), 14, "the rest is sent together after a success")
	for _, s := range rest {
		r.answer(s)
	}
	f := r.finish()
	assert.Equal(t, f.Stats.Crashes, 15)
	assert.Equal(t, f.Stats.RepeatCrashes, 0)
}

// Guards against parts of a suspect query that failed without a crash and are
// retried while another part runs alone.
func TestSuspectHoldsFailedParts(t *testing.T) {
	r := newRig(t, testConfig(3))
	sent := r.fanOut()
	r.replied(crash(sent[0]))
	alone := r.take()
	r.step(query.SendFailed{Sub: sent[1].Sub.ID})
	r.replied(reply(sent[2], scatter.NotOwner))
	assert.Equal(t, len(r.take()), 0)
	r.step(query.SendFailed{Sub: alone[0].Sub.ID})
	next := r.take()
	assert.Equal(t, len(next), 1, "the next part runs alone")
	r.answer(next[0])
	assert.Equal(t, len(r.take()), 2)
}

// Guards against a caller that resends a request whose first send crashed
// targets and ended before it was blocked.
func TestFaultPoisonResent(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		r := newRig(t, testConfig(15))
		change := func(s *query.Start) { s.Idempotent = idempotent }
		sent := r.fanOut(sameContent, change)
		r.replied(crash(sent[0]))
		r.take()
		r.advance(time.Second) // the alone part never answers
		assert.Assert(t, r.finish().Refusal != nil || !idempotent)
		again := r.fanOut(sameContent, change)
		assert.Equal(t, len(again), 1, "a suspect content gets no fan-out")
		r.replied(crash(again[0]))
		r.wantRefusal(outcome.CodePoisonRequest, outcome.Unknown)
		assert.Equal(t, len(r.poisons), 1)
	}
}

// Guards against a non-idempotent part that runs again after its target crashed.
func TestFaultCrashNonIdempotent(t *testing.T) {
	r := newRig(t, testConfig(3))
	sent := r.fanOut(nonIdempotent, fullCoverage)
	for _, s := range sent {
		r.replied(crash(s))
	}
	assert.Equal(t, len(r.take()), 0)
	r.wantRefusal(outcome.CodeTargetCrashed, outcome.Unknown)
}

// Guards against work on a content that the fleet blocked.
func TestFaultPoisonInView(t *testing.T) {
	r := newRig(t, testConfig(3))
	v := testView(testConfig(3), homeA, homeB)
	v.PoisonedUntil = map[fleet.Fingerprint]time.Time{{0xff}: r.now.Add(time.Minute)}
	r.step(query.ViewChanged{View: v})
	r.start(sameContent)
	assert.Equal(t, len(r.take()), 0)
	r.wantRefusal(outcome.CodePoisonRequest, outcome.NotRun)
	r.advance(2 * time.Minute)
	r.start(sameContent)
	r.answerAll()
	r.wantAnswer(3)
}
