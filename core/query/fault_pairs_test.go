package query_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/query"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// pairFault is a fault of one shard of a query; the shard answers normally when it is
// asked again. The field nonIdempotentOutcome is the outcome of the part in a
// non-idempotent query, empty if the part is answered in the end.
type pairFault struct {
	name                 string
	inject               func(h *harness, s query.SendSub)
	nonIdempotentOutcome outcome.Outcome
}

var pairFaults = []pairFault{
	{"VersionGone", func(h *harness, s query.SendSub) {
		rep := reply(s, scatter.VersionGone)
		rep.IndexVersions = []uint64{8, 6}
		h.replied(rep)
	}, outcome.NotRun},
	{"Repartition", func(h *harness, s query.SendSub) {
		h.replied(reply(s, scatter.PartitionMapChanged))
	}, outcome.NotRun},
	{"VMKilled", func(h *harness, s query.SendSub) {
		h.step(query.SendFailed{Sub: s.Sub.ID})
	}, outcome.Unknown},
	{"VMKilledBeforeWrite", func(h *harness, s query.SendSub) {
		h.step(query.SendFailed{Sub: s.Sub.ID, NotWritten: true})
	}, ""},
	{"Silent", func(*harness, query.SendSub) {}, outcome.Unknown},
	{"NotHome", func(h *harness, s query.SendSub) {
		h.replied(reply(s, scatter.NotOwner))
	}, ""},
	{"CrossedAnswer", func(h *harness, s query.SendSub) {
		rep := reply(s, scatter.Answered)
		rep.IndexVersion = 6
		h.replied(rep)
	}, outcome.RanAnswerLost},
	{"Crash", func(h *harness, s query.SendSub) { h.replied(crash(s)) }, outcome.Unknown},
	{"DuplicateAnswer", func(h *harness, s query.SendSub) {
		h.answer(s)
		h.answer(s)
	}, ""},
	{"HomesReplaced", func(h *harness, s query.SendSub) {
		h.step(query.ViewChanged{View: testView(testConfig(4), "c", "d")})
		h.answer(s)
	}, ""},
}

// answerUntilEnd answers all sub-requests, with the versions that all shards have after
// the faults, until the query ends.
func answerUntilEnd(h *harness) {
	for range 200 {
		for _, s := range h.takeSends() {
			rep := reply(s, scatter.Answered)
			rep.IndexVersions = []uint64{8, 7, 6}
			rep.Body = []byte(s.Sub.Shard.Shard)
			if s.Sub.IndexVersion == 0 {
				rep.Status = scatter.VersionsOnly
			}
			h.replied(rep)
		}
		if len(h.finishes) > 0 {
			return
		}
		h.advance(10 * time.Millisecond)
	}
}

// Guards against pairs of faults that together break what neither breaks by itself: lost
// shards of idempotent queries, second runs and wrong outcomes of non-idempotent ones.
func TestFaultPairs(t *testing.T) {
	for _, a := range pairFaults {
		for _, b := range pairFaults {
			t.Run(a.name+"+"+b.name, func(t *testing.T) {
				t.Run("idempotent", func(t *testing.T) {
					h := newHarness(t, testConfig(4))
					h.advance(time.Millisecond)
					sent := h.fanOut(fullCoverage)
					h.advance(time.Millisecond)
					a.inject(h, sent[0])
					b.inject(h, sent[1])
					h.answer(sent[2])
					h.answer(sent[3])
					answerUntilEnd(h)
					h.wantAnswer(4)
				})
				t.Run("non-idempotent", func(t *testing.T) { nonIdempotentPair(t, a, b) })
			})
		}
	}
}

func nonIdempotentPair(t *testing.T, a, b pairFault) {
	h := newHarness(t, testConfig(2))
	sent := h.fanOut(nonIdempotent, fullCoverage)
	a.inject(h, sent[0])
	b.inject(h, sent[1])
	sendsByShard := map[string]int{}
	for range 200 {
		for _, s := range h.takeSends() {
			if s.Sub.IndexVersion != 0 {
				sendsByShard[s.Sub.Shard.Shard]++
			}
			h.answer(s)
		}
		h.advance(10 * time.Millisecond)
	}
	for i, f := range []pairFault{a, b} {
		if f.nonIdempotentOutcome != "" && f.nonIdempotentOutcome != outcome.NotRun {
			assert.Equal(t, sendsByShard[sent[i].Sub.Shard.Shard], 0, "the part may have run")
		}
	}
	f := h.finish()
	switch {
	case a.nonIdempotentOutcome == "" && b.nonIdempotentOutcome == "", a.nonIdempotentOutcome == outcome.NotRun && b.nonIdempotentOutcome == outcome.NotRun:
		// Where nothing ran, a new plan answers after all.
		assert.Assert(t, f.Refusal == nil, "%v", f.Refusal)
	default:
		want := outcome.RanAnswerLost
		if a.nonIdempotentOutcome == outcome.Unknown || b.nonIdempotentOutcome == outcome.Unknown {
			want = outcome.Unknown
		}
		assert.Assert(t, f.Refusal != nil)
		assert.Equal(t, f.Refusal.Outcome, want, f.Refusal.Reason)
	}
}
