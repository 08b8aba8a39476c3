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

// warmUp lets the machine record n queries whose owner calls take d.
func warmUp(h *harness, n int, d time.Duration) {
	h.t.Helper()
	for range n {
		sent := h.fanOut()
		h.advance(d)
		for _, s := range sent {
			h.answer(s)
		}
		assert.Assert(h.t, h.finish().Refusal == nil)
	}
}

// Guards against a slow owner that determines the latency of the whole query.
func TestHedgeToOtherOwner(t *testing.T) {
	h := newHarness(t, testConfig(15))
	warmUp(h, 100, 2*time.Millisecond)
	sent := h.fanOut(fullCoverage)
	for _, s := range sent[2:] {
		h.answer(s)
	}
	h.advance(1500 * time.Microsecond)
	assert.Equal(t, len(h.takeSends()), 0, "no hedge below the 95th percentile")
	h.advance(4 * time.Millisecond)
	hedges := h.takeSends()
	assert.Equal(t, len(hedges), 2)
	assert.Assert(t, hedges[0].Owner != sent[0].Owner)
	assert.Assert(t, hedges[0].Sub.Repeat)
	h.answer(hedges[0])
	assert.Equal(t, h.cancels[0].ID, sent[0].Sub.ID, "the loser is cancelled at once")
	h.answer(sent[1])
	assert.Equal(t, h.cancels[1].ID, hedges[1].Sub.ID)
	assert.Equal(t, h.finish().Stats.Hedges, 2)
}

// Guards against adopting index versions that belong to another partition map.
func TestVersionsOfOtherPartitionMap(t *testing.T) {
	h := newHarness(t, testConfig(2))
	sent := h.fanOut()
	for _, s := range sent {
		rep := reply(s, scatter.PartitionMapChanged)
		rep.PartitionMap, rep.IndexVersions = 2, []uint64{9}
		h.replied(rep)
	}
	h.start()
	for _, s := range h.takeSends() {
		assert.Equal(t, s.Sub.IndexVersion, version)
	}
}

// Guards against hedges of non-idempotent queries, and against hedges where there is no
// second owner.
func TestNoHedge(t *testing.T) {
	cases := []struct {
		name   string
		owners []fleet.VMID
		change func(*query.Start)
	}{
		{"non-idempotent", []fleet.VMID{ownerA, ownerB}, nonIdempotent},
		{"one owner", []fleet.VMID{ownerA}, func(*query.Start) {}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testConfig(15), c.owners...)
			warmUp(h, 100, 2*time.Millisecond)
			sent := h.fanOut(c.change)
			h.answer(sent[0])
			h.advance(900 * time.Millisecond)
			assert.Equal(t, len(h.takeSends()), 0)
		})
	}
}

// Guards against extra load beyond the ingress's fraction of the hedge budget, here with
// three times as many slow sub-requests as the budget allows hedges.
func TestHedgeBudget(t *testing.T) {
	const queries, shards = 400, 15
	h := newHarness(t, testConfig(shards))
	warmUp(h, 100, 2*time.Millisecond)
	hedges := 0
	for i := range queries {
		sent := h.fanOut()
		h.advance(2 * time.Millisecond)
		for _, s := range sent[i%2:] {
			h.answer(s)
		}
		h.advance(20 * time.Millisecond)
		hedges += len(h.takeSends())
		h.answer(sent[0])
		h.finish()
	}
	allowed := float64((queries+100)*shards) * 0.05 * 0.2
	assert.Assert(t, float64(hedges) <= allowed, "%d hedges, %v allowed", hedges, allowed)
	assert.Assert(t, float64(hedges) > allowed/2, "%d hedges, %v allowed", hedges, allowed)
}

// Guards against an ingress with little load of its own that always asks the primary
// owner and leaves the slots of the secondary idle. The owners hold unequal parts of the
// slots.
func TestSpreadOverOwners(t *testing.T) {
	for _, c := range []struct {
		slots, concurrent  int
		minShare, maxShare float64 // fraction sent to the primary owner
	}{
		{1, 1, 1, 1},
		{2, 1, 0.48, 0.52},
		{3, 1, 0.64, 0.69},
		{3, 3, 0.60, 0.70},
		{6, 1, 0.48, 0.52},
		{6, 5, 0.48, 0.52},
	} {
		cfg := testConfig(1)
		cfg.Services[0].Slots = c.slots
		h := newHarness(t, cfg)
		warmUp(h, 1, 0)
		sendsByOwner := map[fleet.VMID]int{}
		for range 300 {
			var sent []query.SendSub
			for range c.concurrent {
				sent = append(sent, h.fanOut()...)
			}
			for _, s := range sent {
				sendsByOwner[s.Owner]++
				h.answer(s)
			}
		}
		share := float64(sendsByOwner[ownerA]) / float64(sendsByOwner[ownerA]+sendsByOwner[ownerB])
		t.Logf("slots %d, %d queries at a time: first owner %.3f", c.slots, c.concurrent, share)
		assert.Assert(t, share >= c.minShare && share <= c.maxShare, "slots %d, %d at a time: %.3f", c.slots, c.concurrent, share)
	}
}

// Guards against an owner that returns after an absence and then gets all work.
func TestSpreadAfterReturn(t *testing.T) {
	h := newHarness(t, testConfig(1))
	warmUp(h, 1, 0)
	for range 2000 {
		for _, s := range h.fanOut() {
			if s.Owner == ownerA {
				h.step(query.SendFailed{Sub: s.Sub.ID, NotWritten: true})
			} else {
				h.answer(s)
			}
		}
		h.answerAll()
		h.finish()
	}
	h.advance(10 * time.Second)
	first := 0
	for range 400 {
		for _, s := range h.fanOut() {
			if s.Owner == ownerA {
				first++
			}
			h.answer(s)
		}
		h.finish()
	}
	assert.Assert(t, first < 300, "%d of 400 went to the owner that came back", first)
}

// Guards against a refusal during a change of owners when a new owner appears within the
// deadline.
func TestFaultNoHomeForAWhile(t *testing.T) {
	t.Run("from the start", func(t *testing.T) {
		h := newHarness(t, testConfig(3))
		empty := testView(testConfig(3))
		h.step(query.ViewChanged{View: empty})
		h.start(fullCoverage)
		h.advance(300 * time.Millisecond)
		assert.Equal(t, len(h.finishes), 0)
		h.step(query.ViewChanged{View: testView(testConfig(3), ownerB)})
		h.answerAll()
		h.wantAnswer(3)
	})
	t.Run("owners give up the shard", func(t *testing.T) {
		h := newHarness(t, testConfig(2))
		sent := h.fanOut(fullCoverage)
		h.answer(sent[0])
		h.replied(reply(sent[1], scatter.NotOwner))
		second := h.takeSends()
		assert.Assert(t, second[0].Owner != sent[1].Owner)
		h.replied(reply(second[0], scatter.NotOwner))
		assert.Equal(t, len(h.takeSends()), 0, "no repetition without a pause")
		h.step(query.ViewChanged{View: testView(testConfig(2), "c", "d")})
		h.answerAll()
		h.wantAnswer(2)
	})
	t.Run("owners do not have their shares yet", func(t *testing.T) {
		h := newHarness(t, testConfig(2))
		h.start(fullCoverage)
		for range 3 {
			for _, s := range h.takeSends() {
				h.replied(reply(s, scatter.NotOwner))
			}
			h.advance(50 * time.Millisecond)
		}
		assert.Equal(t, len(h.finishes), 0)
		h.answerAll()
		h.advance(200 * time.Millisecond)
		h.answerAll()
		h.wantAnswer(2)
	})
	t.Run("no replica lives", func(t *testing.T) {
		h := newHarness(t, testConfig(2))
		h.start()
		for _, s := range h.takeSends() {
			none := reply(s, scatter.VersionsOnly)
			none.IndexVersions = nil
			h.replied(none)
		}
		h.wantRefusal(outcome.CodeNoReplica, outcome.NotRun)
	})
	t.Run("no owner appears", func(t *testing.T) {
		h := newHarness(t, testConfig(3))
		h.step(query.ViewChanged{View: testView(testConfig(3))})
		h.start()
		h.advance(900 * time.Millisecond)
		h.wantRefusal(outcome.CodeNoHome, outcome.NotRun)
	})
	t.Run("owners refuse all the time", func(t *testing.T) {
		h := newHarness(t, testConfig(1))
		sends := 0
		for sent := h.fanOut(); len(h.finishes) == 0; sent = h.takeSends() {
			sends += len(sent)
			for _, s := range sent {
				h.replied(reply(s, scatter.NotOwner))
			}
			h.advance(time.Millisecond)
		}
		h.wantRefusal(outcome.CodeNoHome, outcome.NotRun)
		assert.Assert(t, sends < 40, "%d sends", sends)
	})
}

// Guards against resending again and again what overloaded owners refused.
func TestFaultOverloadedHomes(t *testing.T) {
	h := newHarness(t, testConfig(1))
	sends := 0
	for sent := h.fanOut(); len(sent) > 0; sent = h.takeSends() {
		sends += len(sent)
		for _, s := range sent {
			rep := refusal(s, outcome.CodeOverloaded, outcome.NotRun)
			rep.Refusal.RetryAfter = time.Second
			h.replied(rep)
		}
	}
	assert.Equal(t, sends, 2, "each owner is asked once")
	assert.Equal(t, h.finishes[0].Refusal.RetryAfter, time.Second)
	h.wantRefusal(outcome.CodeOverloaded, outcome.NotRun)
}

// Guards against using index versions that no reply has confirmed for a long time.
func TestVersionsExpire(t *testing.T) {
	h := newHarness(t, testConfig(2))
	warmUp(h, 1, time.Millisecond)
	h.start()
	assert.Equal(t, h.takeSends()[0].Sub.IndexVersion, version)
	h.advance(20 * time.Second)
	h.takeSends()
	h.start()
	assert.Equal(t, h.takeSends()[0].Sub.IndexVersion, uint64(0), "asked again")
}

// Guards against work for a service whose dependencies cannot answer.
func TestFaultDependencyUnavailable(t *testing.T) {
	chain := func() *config.Config {
		c := testConfig(2)
		c.Services[0].DependsOn = []string{"prices"}
		c.Services = append(c.Services,
			config.Service{Name: "prices", PartitionMap: 1, Slots: 1, DependsOn: []string{"tax"}, Shards: []config.Shard{{Name: "p"}}},
			config.Service{Name: "tax", PartitionMap: 1, Slots: 1, DependsOn: []string{serviceName}, Shards: []config.Shard{{Name: "t"}}})
		return c
	}
	for _, missing := range []fleet.ShardID{{Service: "prices", Shard: "p"}, {Service: "tax", Shard: "t"}} {
		h := newHarness(t, chain())
		v := testView(chain(), ownerA, ownerB)
		delete(v.Owners, missing)
		h.step(query.ViewChanged{View: v})
		h.start(nonIdempotent)
		assert.Equal(t, len(h.takeSends())+len(h.claims), 0, "nothing is sent")
		h.wantRefusal(outcome.CodeDependencyUnavailable, outcome.NotRun)
		h.step(query.ViewChanged{View: testView(chain(), ownerA, ownerB)})
		h.start()
		h.answerAll()
		h.wantAnswer(2)
	}
}
