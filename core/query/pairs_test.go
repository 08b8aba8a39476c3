package query_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/query"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// pairFault is what happens to one group of a query; the group answers normally
// when it is asked again. Once is the outcome of the part for a non-idempotent
// query; empty when the part is answered in the end.
type pairFault struct {
	name string
	hit  func(r *rig, s query.SendSub)
	once outcome.Outcome
}

var pairFaults = []pairFault{
	{"VersionGone", func(r *rig, s query.SendSub) {
		rep := reply(s, scatter.VersionGone)
		rep.IndexVersions = []uint64{8, 6}
		r.replied(rep)
	}, outcome.NotRun},
	{"Repartition", func(r *rig, s query.SendSub) {
		r.replied(reply(s, scatter.PartitionMapChanged))
	}, outcome.NotRun},
	{"VMKilled", func(r *rig, s query.SendSub) {
		r.step(query.SendFailed{Sub: s.Sub.ID})
	}, outcome.Unknown},
	{"VMKilledBeforeWrite", func(r *rig, s query.SendSub) {
		r.step(query.SendFailed{Sub: s.Sub.ID, NotWritten: true})
	}, ""},
	{"Silent", func(*rig, query.SendSub) {}, outcome.Unknown},
	{"NotHome", func(r *rig, s query.SendSub) {
		r.replied(reply(s, scatter.NotOwner))
	}, ""},
	{"CrossedAnswer", func(r *rig, s query.SendSub) {
		rep := reply(s, scatter.Answered)
		rep.IndexVersion = 6
		r.replied(rep)
	}, outcome.RanAnswerLost},
	{"Crash", func(r *rig, s query.SendSub) { r.replied(crash(s)) }, outcome.Unknown},
	{"DuplicateAnswer", func(r *rig, s query.SendSub) {
		r.answer(s)
		r.answer(s)
	}, ""},
	{"HomesReplaced", func(r *rig, s query.SendSub) {
		r.step(query.ViewChanged{View: testView(testConfig(4), "c", "d")})
		r.answer(s)
	}, ""},
}

// settle answers what is asked, with the versions that all groups have after
// the faults, until the query ends.
func settle(r *rig) {
	for range 200 {
		for _, s := range r.take() {
			rep := reply(s, scatter.Answered)
			rep.IndexVersions = []uint64{8, 7, 6}
			rep.Body = []byte(s.Sub.Shard.Shard)
			if s.Sub.IndexVersion == 0 {
				rep.Status = scatter.VersionsOnly
			}
			r.replied(rep)
		}
		if len(r.finishes) > 0 {
			return
		}
		r.advance(10 * time.Millisecond)
	}
}

// Guards against two faults of one query that together break what each alone
// does not: lost groups of idempotent queries, second runs and untrue outcomes
// of non-idempotent ones.
func TestFaultPairs(t *testing.T) {
	for _, a := range pairFaults {
		for _, b := range pairFaults {
			t.Run(a.name+"+"+b.name, func(t *testing.T) {
				t.Run("idempotent", func(t *testing.T) {
					r := newRig(t, testConfig(4))
					r.advance(time.Millisecond)
					sent := r.fanOut(fullCoverage)
					r.advance(time.Millisecond)
					a.hit(r, sent[0])
					b.hit(r, sent[1])
					r.answer(sent[2])
					r.answer(sent[3])
					settle(r)
					r.wantAnswer(4)
				})
				t.Run("non-idempotent", func(t *testing.T) { nonIdempotentPair(t, a, b) })
			})
		}
	}
}

func nonIdempotentPair(t *testing.T, a, b pairFault) {
	r := newRig(t, testConfig(2))
	sent := r.fanOut(nonIdempotent, fullCoverage)
	a.hit(r, sent[0])
	b.hit(r, sent[1])
	asked := map[string]int{}
	for range 200 {
		for _, s := range r.take() {
			if s.Sub.IndexVersion != 0 {
				asked[s.Sub.Shard.Shard]++
			}
			r.answer(s)
		}
		r.advance(10 * time.Millisecond)
	}
	for i, f := range []pairFault{a, b} {
		if f.once != "" && f.once != outcome.NotRun {
			assert.Equal(t, asked[sent[i].Sub.Shard.Shard], 0, "the part may have run")
		}
	}
	f := r.finish()
	switch {
	case a.once == "" && b.once == "", a.once == outcome.NotRun && b.once == outcome.NotRun:
		// Where nothing ran, a new plan answers after all.
		assert.Assert(t, f.Refusal == nil, "%v", f.Refusal)
	default:
		want := outcome.RanAnswerLost
		if a.once == outcome.Unknown || b.once == outcome.Unknown {
			want = outcome.Unknown
		}
		assert.Assert(t, f.Refusal != nil)
		assert.Equal(t, f.Refusal.Outcome, want, f.Refusal.Reason)
	}
}
