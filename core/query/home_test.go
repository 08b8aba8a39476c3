package query_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/query"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// warm lets the machine observe n queries whose home calls take d.
func warm(r *rig, n int, d time.Duration) {
	r.t.Helper()
	for range n {
		sent := r.fanOut()
		r.advance(d)
		for _, s := range sent {
			r.answer(s)
		}
		assert.Assert(r.t, r.finish().Refusal == nil)
	}
}

// Guards against a straggling home that sets the latency of the whole query.
func TestHedgeToSecondHome(t *testing.T) {
	r := newRig(t, testConfig(15))
	warm(r, 100, 2*time.Millisecond)
	sent := r.fanOut(fullCoverage)
	for _, s := range sent[2:] {
		r.answer(s)
	}
	r.advance(1500 * time.Microsecond)
	assert.Equal(t, len(r.take()), 0, "no hedge below the 95th percentile")
	r.advance(4 * time.Millisecond)
	hedges := r.take()
	assert.Equal(t, len(hedges), 2)
	assert.Assert(t, hedges[0].Owner != sent[0].Owner)
	assert.Assert(t, hedges[0].Sub.Repeat)
	r.answer(hedges[0])
	assert.Equal(t, r.cancels[0].ID, sent[0].Sub.ID, "the loser is cancelled at once")
	r.answer(sent[1])
	assert.Equal(t, r.cancels[1].ID, hedges[1].Sub.ID)
	assert.Equal(t, r.finish().Stats.Hedges, 2)
}

// Guards against index versions of another partition map that are taken for
// those of this one.
func TestVersionsOfAnotherMap(t *testing.T) {
	r := newRig(t, testConfig(2))
	sent := r.fanOut()
	for _, s := range sent {
		rep := reply(s, scatter.PartitionMapChanged)
		rep.PartitionMap, rep.IndexVersions = 2, []uint64{9}
		r.replied(rep)
	}
	r.start()
	for _, s := range r.take() {
		assert.Equal(t, s.Sub.IndexVersion, version)
	}
}

// Guards against hedges of work that may run once only, and against hedges
// without a second home.
func TestNoHedge(t *testing.T) {
	cases := []struct {
		name   string
		homes  []fleet.VMID
		change func(*query.Start)
	}{
		{"non-idempotent", []fleet.VMID{homeA, homeB}, nonIdempotent},
		{"one home", []fleet.VMID{homeA}, func(*query.Start) {}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, testConfig(15), c.homes...)
			warm(r, 100, 2*time.Millisecond)
			sent := r.fanOut(c.change)
			r.answer(sent[0])
			r.advance(900 * time.Millisecond)
			assert.Equal(t, len(r.take()), 0)
		})
	}
}

// Guards against extra load beyond the entry's part of the hedge budget, here
// with three times as many stragglers as it allows hedges.
func TestHedgeBudget(t *testing.T) {
	const queries, groups = 400, 15
	r := newRig(t, testConfig(groups))
	warm(r, 100, 2*time.Millisecond)
	hedges := 0
	for i := range queries {
		sent := r.fanOut()
		r.advance(2 * time.Millisecond)
		for _, s := range sent[i%2:] {
			r.answer(s)
		}
		r.advance(20 * time.Millisecond)
		hedges += len(r.take())
		r.answer(sent[0])
		r.finish()
	}
	allowed := float64((queries+100)*groups) * 0.05 * 0.2
	assert.Assert(t, float64(hedges) <= allowed, "%d hedges, %v allowed", hedges, allowed)
	assert.Assert(t, float64(hedges) > allowed/2, "%d hedges, %v allowed", hedges, allowed)
}

// Measures how the sub-requests of entries with little load of their own spread
// over two homes that hold unequal parts of the slots. An entry that always asks
// the first home leaves the slots of the second one idle.
func TestSpreadOverHomes(t *testing.T) {
	for _, c := range []struct {
		slots, together int
		low, high       float64 // share of the first home
	}{
		{1, 1, 1, 1},
		{2, 1, 0.48, 0.52},
		{3, 1, 0.64, 0.69},
		{3, 3, 0.60, 0.70},
		{6, 1, 0.48, 0.52},
		{6, 5, 0.48, 0.52},
	} {
		text := testConfig(1)
		text.Services[0].Slots = c.slots
		r := newRig(t, text)
		warm(r, 1, 0)
		asked := map[fleet.VMID]int{}
		for range 300 {
			var sent []query.SendSub
			for range c.together {
				sent = append(sent, r.fanOut()...)
			}
			for _, s := range sent {
				asked[s.Owner]++
				r.answer(s)
			}
		}
		share := float64(asked[homeA]) / float64(asked[homeA]+asked[homeB])
		t.Logf("slots %d, %d queries at a time: first home %.3f", c.slots, c.together, share)
		assert.Assert(t, share >= c.low && share <= c.high, "slots %d, %d at a time: %.3f", c.slots, c.together, share)
	}
}

// Guards against a home that was away and gets all work when it comes back.
func TestSpreadAfterReturn(t *testing.T) {
	r := newRig(t, testConfig(1))
	warm(r, 1, 0)
	for range 2000 {
		for _, s := range r.fanOut() {
			if s.Owner == homeA {
				r.step(query.SendFailed{Sub: s.Sub.ID, NotWritten: true})
			} else {
				r.answer(s)
			}
		}
		r.answerAll()
		r.finish()
	}
	r.advance(10 * time.Second)
	first := 0
	for range 400 {
		for _, s := range r.fanOut() {
			if s.Owner == homeA {
				first++
			}
			r.answer(s)
		}
		r.finish()
	}
	assert.Assert(t, first < 300, "%d of 400 went to the home that came back", first)
}

// Guards against a refusal during a change of home: a home appears within the
// deadline.
func TestFaultNoHomeForAWhile(t *testing.T) {
	t.Run("from the start", func(t *testing.T) {
		r := newRig(t, testConfig(3))
		empty := testView(testConfig(3))
		r.step(query.ViewChanged{View: empty})
		r.start(fullCoverage)
		r.advance(300 * time.Millisecond)
		assert.Equal(t, len(r.finishes), 0)
		r.step(query.ViewChanged{View: testView(testConfig(3), homeB)})
		r.answerAll()
		r.wantAnswer(3)
	})
	t.Run("homes give up the group", func(t *testing.T) {
		r := newRig(t, testConfig(2))
		sent := r.fanOut(fullCoverage)
		r.answer(sent[0])
		r.replied(reply(sent[1], scatter.NotOwner))
		second := r.take()
		assert.Assert(t, second[0].Owner != sent[1].Owner)
		r.replied(reply(second[0], scatter.NotOwner))
		assert.Equal(t, len(r.take()), 0, "no repetition without a pause")
		r.step(query.ViewChanged{View: testView(testConfig(2), "c", "d")})
		r.answerAll()
		r.wantAnswer(2)
	})
	t.Run("homes do not have their shares yet", func(t *testing.T) {
		r := newRig(t, testConfig(2))
		r.start(fullCoverage)
		for range 3 {
			for _, s := range r.take() {
				r.replied(reply(s, scatter.NotOwner))
			}
			r.advance(50 * time.Millisecond)
		}
		assert.Equal(t, len(r.finishes), 0)
		r.answerAll()
		r.advance(200 * time.Millisecond)
		r.answerAll()
		r.wantAnswer(2)
	})
	t.Run("no replica lives", func(t *testing.T) {
		r := newRig(t, testConfig(2))
		r.start()
		for _, s := range r.take() {
			none := reply(s, scatter.VersionsOnly)
			none.IndexVersions = nil
			r.replied(none)
		}
		r.wantRefusal(outcome.CodeNoReplica, outcome.NotRun)
	})
	t.Run("no home appears", func(t *testing.T) {
		r := newRig(t, testConfig(3))
		r.step(query.ViewChanged{View: testView(testConfig(3))})
		r.start()
		r.advance(900 * time.Millisecond)
		r.wantRefusal(outcome.CodeNoHome, outcome.NotRun)
	})
	t.Run("homes refuse all the time", func(t *testing.T) {
		r := newRig(t, testConfig(1))
		sends := 0
		for sent := r.fanOut(); len(r.finishes) == 0; sent = r.take() {
			sends += len(sent)
			for _, s := range sent {
				r.replied(reply(s, scatter.NotOwner))
			}
			r.advance(time.Millisecond)
		}
		r.wantRefusal(outcome.CodeNoHome, outcome.NotRun)
		assert.Assert(t, sends < 40, "%d sends", sends)
	})
}

// Guards against load that homes refused and that comes back again and again.
func TestFaultOverloadedHomes(t *testing.T) {
	r := newRig(t, testConfig(1))
	sends := 0
	for sent := r.fanOut(); len(sent) > 0; sent = r.take() {
		sends += len(sent)
		for _, s := range sent {
			rep := refusal(s, outcome.CodeOverloaded, outcome.NotRun)
			rep.Refusal.RetryAfter = time.Second
			r.replied(rep)
		}
	}
	assert.Equal(t, sends, 2, "each home is asked once")
	assert.Equal(t, r.finishes[0].Refusal.RetryAfter, time.Second)
	r.wantRefusal(outcome.CodeOverloaded, outcome.NotRun)
}

// Guards against index versions that nobody confirmed for long.
func TestOldVersionsAreDropped(t *testing.T) {
	r := newRig(t, testConfig(2))
	warm(r, 1, time.Millisecond)
	r.start()
	assert.Equal(t, r.take()[0].Sub.IndexVersion, version)
	r.advance(20 * time.Second)
	r.take()
	r.start()
	assert.Equal(t, r.take()[0].Sub.IndexVersion, uint64(0), "asked again")
}

// Guards against work for a service whose dependencies cannot answer.
func TestFaultDependencyUnavailable(t *testing.T) {
	chain := func() *config.Config {
		c := testConfig(2)
		c.Services[0].DependsOn = []string{"prices"}
		c.Services = append(c.Services,
			config.Service{Name: "prices", PartitionMap: 1, Slots: 1, DependsOn: []string{"tax"}, Shards: []config.Shard{{Name: "p"}}},
			config.Service{Name: "tax", PartitionMap: 1, Slots: 1, DependsOn: []string{svcName}, Shards: []config.Shard{{Name: "t"}}})
		return c
	}
	for _, missing := range []fleet.ShardID{{Service: "prices", Shard: "p"}, {Service: "tax", Shard: "t"}} {
		r := newRig(t, chain())
		v := testView(chain(), homeA, homeB)
		delete(v.Owners, missing)
		r.step(query.ViewChanged{View: v})
		r.start(nonIdempotent)
		assert.Equal(t, len(r.take())+len(r.claims), 0, "nothing is sent")
		r.wantRefusal(outcome.CodeDependencyUnavailable, outcome.NotRun)
		r.step(query.ViewChanged{View: testView(chain(), homeA, homeB)})
		r.start()
		r.answerAll()
		r.wantAnswer(2)
	}
}
