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

// Guards against a fan-out that loses a shard, and against an answer that hides a
// missing one.
func TestAnswerAll(t *testing.T) {
	h := newHarness(t, testConfig(15))
	h.start()
	h.answerAll()
	a := h.wantAnswer(15)
	assert.Equal(t, a.Coverage(), 1.0)
	assert.Equal(t, a.IndexVersion, version)
	assert.Equal(t, h.m.Running(), 0)
	assert.Assert(t, h.m.Next().IsZero())
}

// changePartitionMap delivers a view with a new partition map.
func changePartitionMap(h *harness, shards int, owners ...fleet.VMID) {
	c := testConfig(shards)
	c.Revision, c.Services[0].PartitionMap = 2, 2
	h.step(query.ViewChanged{View: testView(c, owners...)})
}

// Guards against an answer that mixes two partition maps when a service is repartitioned
// while a query runs.
func TestFaultRepartition(t *testing.T) {
	t.Run("owner is ahead", func(t *testing.T) {
		h := newHarness(t, testConfig(3))
		sent := h.fanOut()
		h.answer(sent[0])
		gone := reply(sent[1], scatter.PartitionMapChanged)
		gone.PartitionMap = 2
		h.replied(gone)
		assert.Equal(t, len(h.cancels), 1, "the part under way is cancelled")
		h.answer(sent[2]) // late answer from the old map
		h.takeSends()
		changePartitionMap(h, 4, ownerA, ownerB)
		h.answerAll()
		a := h.wantAnswer(4)
		assert.Equal(t, a.PartitionMap, uint64(2))
	})
	t.Run("owner is behind", func(t *testing.T) {
		h := newHarness(t, testConfig(3))
		h.fanOut()
		h.takeSends()
		changePartitionMap(h, 3, ownerA, ownerB)
		h.finishes = nil
		h.start()
		for _, s := range h.takeSends() {
			behind := reply(s, scatter.PartitionMapChanged)
			behind.PartitionMap = 1
			h.replied(behind)
		}
		assert.Equal(t, len(h.finishes), 0, "the query waits for the owners")
		h.advance(100 * time.Millisecond)
		h.answerAll()
		h.wantAnswer(3)
	})
	t.Run("answer of the new map", func(t *testing.T) {
		h := newHarness(t, testConfig(2))
		sent := h.fanOut()
		h.answer(sent[0])
		mixed := reply(sent[1], scatter.Answered)
		mixed.PartitionMap = 2
		h.replied(mixed)
		assert.Equal(t, len(h.finishes), 0, "the answer of another map is not merged")
		changePartitionMap(h, 2, ownerA, ownerB)
		h.answerAll()
		assert.Equal(t, h.wantAnswer(2).PartitionMap, uint64(2))
	})
	t.Run("owners never agree", func(t *testing.T) {
		h := newHarness(t, testConfig(1))
		sent := h.fanOut()
		for len(h.finishes) == 0 {
			for _, s := range sent {
				h.replied(reply(s, scatter.PartitionMapChanged))
			}
			h.advance(50 * time.Millisecond)
			sent = h.takeSends()
		}
		h.wantRefusal(outcome.CodeNoSnapshot, outcome.NotRun)
	})
}

// Guards against an answer from two index versions, and against a query that fails
// although its shards have another version in common.
func TestFaultVersionGone(t *testing.T) {
	gone := func(s query.SendSub, versions ...uint64) scatter.SubReply {
		rep := reply(s, scatter.VersionGone)
		rep.IndexVersions = versions
		return rep
	}
	t.Run("newer version", func(t *testing.T) {
		h := newHarness(t, testConfig(3))
		sent := h.fanOut()
		h.answer(sent[0])
		h.replied(gone(sent[1], 8))
		probes := h.takeSends()
		assert.Equal(t, probes[0].Sub.IndexVersion, uint64(0), "the other shards are probed for their versions")
		for _, s := range probes {
			rep := reply(s, scatter.VersionsOnly)
			rep.IndexVersions = []uint64{8, 7}
			h.replied(rep)
		}
		h.answerAll()
		a := h.wantAnswer(3)
		assert.Equal(t, a.IndexVersion, uint64(8))
	})
	t.Run("gone three times", func(t *testing.T) {
		h := newHarness(t, testConfig(1))
		sent := h.fanOut()
		plans := 0
		for ; len(h.finishes) == 0; plans++ {
			for _, s := range sent {
				if s.Sub.IndexVersion == 0 {
					h.answer(s)
				} else {
					h.replied(gone(s, version)) // the owner's list lags behind
				}
			}
			h.advance(30 * time.Millisecond)
			sent = h.takeSends()
		}
		h.wantRefusal(outcome.CodeNoSnapshot, outcome.NotRun)
	})
	t.Run("non-idempotent, one shard", func(t *testing.T) {
		h := newHarness(t, testConfig(1))
		sent := h.fanOut(nonIdempotent)
		h.replied(gone(sent[0], 8))
		h.advance(25 * time.Millisecond)
		h.answerAll()
		assert.Equal(t, h.wantAnswer(1).IndexVersion, uint64(8))
	})
	t.Run("non-idempotent, another shard ran", func(t *testing.T) {
		h := newHarness(t, testConfig(2))
		sent := h.fanOut(nonIdempotent, fullCoverage)
		h.answer(sent[0])
		h.replied(gone(sent[1], 8))
		assert.Equal(t, len(h.takeSends()), 0, "no new plan after something ran")
		h.wantRefusal(outcome.CodeInsufficientCoverage, outcome.RanAnswerLost)
	})
	t.Run("one shard has no replica", func(t *testing.T) {
		h := newHarness(t, testConfig(3))
		sent := h.fanOut()
		h.answer(sent[0])
		h.replied(gone(sent[1]))
		h.answer(sent[2])
		second := h.takeSends()
		assert.Equal(t, len(second), 1, "the other owner may have a replica")
		h.replied(gone(second[0]))
		a := h.wantAnswer(2)
		assert.DeepEqual(t, a.Missing, []string{"g01"})
		// The shard without a replica must not make the next query probe for versions again.
		for _, s := range h.fanOut() {
			assert.Equal(t, s.Sub.IndexVersion, version)
		}
	})
}

// Guards against a query that waits for the owner on a dead VM, and against
// non-idempotent work that runs a second time after the VM died.
func TestFaultVMKilled(t *testing.T) {
	t.Run("idempotent", func(t *testing.T) {
		h := newHarness(t, testConfig(4))
		for _, s := range h.fanOut() {
			if s.Owner == ownerA {
				h.step(query.SendFailed{Sub: s.Sub.ID})
			} else {
				h.answer(s)
			}
		}
		for _, s := range h.takeSends() {
			assert.Equal(t, s.Owner, ownerB)
			assert.Assert(t, s.Sub.Repeat)
			h.answer(s)
		}
		h.wantAnswer(4)
		for _, s := range h.fanOut() {
			assert.Equal(t, s.Owner, ownerB, "an owner that failed is the second choice")
		}
	})
	t.Run("non-idempotent after write", func(t *testing.T) {
		h := newHarness(t, testConfig(2))
		sent := h.fanOut(nonIdempotent)
		h.step(query.SendFailed{Sub: sent[0].Sub.ID})
		assert.Equal(t, len(h.takeSends()), 0)
		h.step(query.SendFailed{Sub: sent[1].Sub.ID})
		h.wantRefusal(outcome.CodeConnectionLost, outcome.Unknown)
		assert.Equal(t, h.settles[0].Outcome, outcome.Unknown)
	})
	t.Run("non-idempotent before write", func(t *testing.T) {
		h := newHarness(t, testConfig(1))
		sent := h.fanOut(nonIdempotent)
		h.step(query.SendFailed{Sub: sent[0].Sub.ID, NotWritten: true})
		again := h.takeSends()
		assert.Equal(t, len(again), 1)
		assert.Assert(t, again[0].Owner != sent[0].Owner)
		h.answer(again[0])
		h.wantAnswer(1)
		assert.Equal(t, h.settles[0].Outcome, outcome.Outcome(""))
	})
	t.Run("leaves the view", func(t *testing.T) {
		h := newHarness(t, testConfig(4))
		h.fanOut()
		h.step(query.ViewChanged{View: testView(testConfig(4), ownerB)})
		moved := h.takeSends()
		assert.Equal(t, len(moved), 2)
		for _, s := range moved {
			assert.Equal(t, s.Owner, ownerB)
		}
	})
	t.Run("all owners of one shard", func(t *testing.T) {
		h := newHarness(t, testConfig(2))
		sent := h.fanOut(fullCoverage)
		h.answer(sent[0])
		for lost := sent[1:]; len(lost) > 0; lost = h.takeSends() {
			h.step(query.SendFailed{Sub: lost[0].Sub.ID})
		}
		// The refusal code must tell the caller that another VM may succeed.
		h.wantRefusal(outcome.CodeConnectionLost, outcome.Unknown)
	})
	t.Run("both owners of one shard for a while", func(t *testing.T) {
		// Calls between VMs fail after 250 ms; the caller waits for a second.
		h := newHarness(t, testConfig(2))
		sent := h.fanOut(fullCoverage)
		h.answer(sent[0])
		lost := sent[1:]
		for ; h.now.Before(epoch.Add(700 * time.Millisecond)); lost = h.takeSends() {
			assert.Assert(t, len(lost) > 0, "nothing is sent %v before the deadline", epoch.Add(time.Second).Sub(h.now))
			h.advance(250 * time.Millisecond)
			for _, s := range append(lost, h.takeSends()...) {
				h.step(query.SendFailed{Sub: s.Sub.ID})
			}
		}
		for _, s := range lost {
			h.answer(s)
		}
		h.wantAnswer(2)
	})
	t.Run("calls to both owners of one shard are not made for a while", func(t *testing.T) {
		// The circuit breakers to both owners are open, and one of the owners returns soon.
		h := newHarness(t, testConfig(2))
		sent := h.fanOut(fullCoverage)
		h.answer(sent[0])
		lost := sent[1:]
		for ; h.now.Before(epoch.Add(600 * time.Millisecond)); lost = h.takeSends() {
			assert.Equal(t, len(h.finishes), 0, "refused after %v", h.now.Sub(epoch))
			for ; len(lost) > 0; lost = h.takeSends() {
				for _, s := range lost {
					h.step(query.SendFailed{Sub: s.Sub.ID, NotWritten: true})
				}
			}
			h.advance(5 * time.Millisecond)
		}
		for ; len(h.finishes) == 0; lost = h.takeSends() {
			for _, s := range lost {
				if s.Owner == ownerA {
					h.step(query.SendFailed{Sub: s.Sub.ID, NotWritten: true})
					continue
				}
				h.answer(s)
			}
			h.advance(5 * time.Millisecond)
		}
		h.wantAnswer(2)
	})
	t.Run("no owner of one shard is reached", func(t *testing.T) {
		h := newHarness(t, testConfig(2))
		sent := h.fanOut(fullCoverage)
		h.answer(sent[0])
		for lost := sent[1:]; len(h.finishes) == 0; lost = h.takeSends() {
			for _, s := range lost {
				h.step(query.SendFailed{Sub: s.Sub.ID, NotWritten: true})
			}
			h.advance(5 * time.Millisecond)
		}
		h.wantRefusal(outcome.CodeConnectionLost, outcome.RanAnswerLost)
	})
	t.Run("fenced while one shard waits", func(t *testing.T) {
		h := newHarness(t, testConfig(2))
		sent := h.fanOut(fullCoverage)
		h.answer(sent[0])
		for lost := sent[1:]; len(lost) > 0; lost = h.takeSends() {
			h.step(query.SendFailed{Sub: lost[0].Sub.ID, NotWritten: true})
		}
		v := *testView(testConfig(2), ownerA, ownerB)
		v.Fenced = true
		h.step(query.ViewChanged{View: &v})
		h.advance(time.Second)
		assert.Assert(t, h.finishes[0].Refusal.Code != outcome.CodeInsufficientCoverage, "%v", h.finishes[0].Refusal)
	})
	t.Run("no owner can send its answer here", func(t *testing.T) {
		h := newHarness(t, testConfig(2))
		for sent := h.fanOut(nonIdempotent); len(sent) > 0; sent = h.takeSends() {
			for _, s := range sent {
				h.step(query.SendFailed{Sub: s.Sub.ID, NotWritten: true, NoReturnPath: true})
			}
		}
		h.wantRefusal(outcome.CodeConnectionLost, outcome.NotRun) // without waiting, so that time is left for another VM
	})
	t.Run("one shard has no owner", func(t *testing.T) {
		h := newHarness(t, testConfig(2))
		sent := h.fanOut(fullCoverage)
		h.answer(sent[0])
		for asked := sent[1:]; len(h.finishes) == 0; asked = h.takeSends() {
			for _, s := range asked {
				h.replied(scatter.SubReply{ID: s.Sub.ID, Shard: s.Sub.Shard, Status: scatter.NotOwner})
			}
			h.advance(5 * time.Millisecond)
		}
		h.wantRefusal(outcome.CodeNoHome, outcome.RanAnswerLost)
	})
	t.Run("all owners", func(t *testing.T) {
		h := newHarness(t, testConfig(1), ownerA)
		sends := 0
		for sent := h.fanOut(); len(h.finishes) == 0; sent = h.takeSends() {
			for _, s := range sent {
				h.step(query.SendFailed{Sub: s.Sub.ID, NotWritten: true})
			}
			sends += len(sent)
			h.advance(5 * time.Millisecond)
		}
		h.wantRefusal(outcome.CodeConnectionLost, outcome.NotRun)
		assert.Assert(t, sends > 3 && sends < 15, "%d sends", sends)
		assert.Assert(t, h.now.Sub(epoch) < time.Second, "time is left for another VM")
	})
}

// Guards against a suspended owner that delays all queries, and against an ingress that
// resumes late and sends or runs work that is out of date.
func TestFaultVMPausedWakesLate(t *testing.T) {
	t.Run("owner is paused", func(t *testing.T) {
		h := newHarness(t, testConfig(4))
		h.advance(time.Millisecond)
		sent := h.fanOut()
		h.advance(time.Millisecond)
		for _, s := range sent {
			if s.Owner == ownerB {
				h.answer(s)
			}
		}
		h.advance(300 * time.Millisecond)
		moved := h.takeSends()
		assert.Equal(t, len(moved), 2)
		for _, s := range moved {
			assert.Equal(t, s.Owner, ownerB)
			h.answer(s)
		}
		assert.Equal(t, h.finish().Stats.Failovers, 2)
	})
	t.Run("owner wakes and answers first", func(t *testing.T) {
		h := newHarness(t, testConfig(2))
		h.advance(time.Millisecond)
		sent := h.fanOut()
		h.advance(time.Millisecond)
		h.answer(sent[1])
		h.advance(300 * time.Millisecond)
		moved := h.takeSends()
		h.answer(sent[0])
		assert.Equal(t, h.cancels[len(h.cancels)-1].ID, moved[0].Sub.ID, "the loser is cancelled")
		h.wantAnswer(2)
		h.answer(moved[0])
		assert.Equal(t, len(h.finishes), 0)
	})
	t.Run("ingress wakes with a claim answer", func(t *testing.T) {
		for _, late := range []time.Duration{600 * time.Millisecond, 2 * time.Second} {
			h := newHarness(t, testConfig(1))
			h.start(nonIdempotent)
			h.now = h.now.Add(late) // no tick: the process was suspended
			h.step(query.Claimed{ID: h.claims[0].ID})
			assert.Equal(t, len(h.takeSends()), 0, "nothing is sent after %v", late)
			assert.Equal(t, h.finish().Refusal.Outcome, outcome.NotRun)
			assert.Equal(t, h.settles[0].Outcome, outcome.NotRun)
		}
	})
	t.Run("ingress wakes with a refusal to retry", func(t *testing.T) {
		h := newHarness(t, testConfig(1))
		sent := h.fanOut()
		h.now = h.now.Add(3 * time.Second)
		h.replied(refusal(sent[0], outcome.CodeOverloaded, outcome.NotRun))
		assert.Equal(t, len(h.takeSends()), 0, "nothing is sent after the deadline")
		assert.Equal(t, h.finish().Refusal.Outcome, outcome.NotRun)
	})
}

// Guards against work that continues for a caller that disconnected, and against a wrong
// outcome of it.
func TestFaultCallerGone(t *testing.T) {
	t.Run("while it waits for its claim", func(t *testing.T) {
		h := newHarness(t, testConfig(1))
		id := h.start(nonIdempotent)
		h.step(query.CallerGone{ID: id})
		h.wantRefusal(outcome.CodeCallerGone, outcome.NotRun)
		assert.Equal(t, h.settles[0].Outcome, outcome.NotRun)
	})
	t.Run("after the fan-out", func(t *testing.T) {
		h := newHarness(t, testConfig(3))
		sent := h.fanOut()
		h.answer(sent[0])
		h.step(query.CallerGone{ID: h.lastID})
		assert.Equal(t, len(h.cancels), 2)
		h.wantRefusal(outcome.CodeCallerGone, outcome.Unknown)
		h.step(query.CallerGone{ID: h.lastID})
		assert.Equal(t, len(h.finishes), 0)
	})
}

// Guards against a query that outlives its deadline, and against "not run" for a part
// that was in flight.
func TestFaultDeadlineSpent(t *testing.T) {
	t.Run("enough has arrived", func(t *testing.T) {
		h := newHarness(t, testConfig(4))
		sent := h.fanOut(func(s *query.Start) { s.MinCoverage = 0.75 })
		for _, s := range sent[:3] {
			h.answer(s)
		}
		h.advance(time.Second)
		a := h.wantAnswer(3)
		assert.DeepEqual(t, a.Missing, []string{"g03"})
		assert.Equal(t, a.Coverage(), 0.75)
	})
	t.Run("too little has arrived", func(t *testing.T) {
		h := newHarness(t, testConfig(4))
		sent := h.fanOut(fullCoverage)
		h.answer(sent[0])
		h.advance(time.Second)
		h.wantRefusal(outcome.CodeInsufficientCoverage, outcome.Unknown)
	})
	t.Run("nothing has arrived", func(t *testing.T) {
		h := newHarness(t, testConfig(4))
		h.fanOut()
		h.advance(time.Second)
		h.wantRefusal(outcome.CodeDeadlineExceeded, outcome.Unknown)
	})
	t.Run("before it began", func(t *testing.T) {
		h := newHarness(t, testConfig(4))
		h.start(func(s *query.Start) { s.Deadline = h.now })
		h.wantRefusal(outcome.CodeDeadlineExceeded, outcome.NotRun)
	})
}

// Guards against merging a duplicate reply or the reply to another sub-request.
func TestFaultDuplicateSend(t *testing.T) {
	h := newHarness(t, testConfig(2))
	sent := h.fanOut()
	h.answer(sent[0])
	h.answer(sent[0])
	assert.Equal(t, len(h.finishes), 0, "one reply counts once")
	h.answer(sent[1])
	h.wantAnswer(2)
}

// Guards against a reply that is attributed to the wrong shard, query, plan or VM.
func TestFaultCrossedAnswer(t *testing.T) {
	h := newHarness(t, testConfig(2))
	sent := h.fanOut()
	other := reply(sent[0], scatter.Answered)
	other.Shard.Shard = "g01"
	h.replied(other)
	foreign := reply(sent[0], scatter.Answered)
	foreign.ID.Ingress = "another"
	h.replied(foreign)
	h.answer(sent[1])
	assert.Equal(t, len(h.finishes), 0, "shard g00 has no answer yet")

	wrong := reply(sent[0], scatter.Answered)
	wrong.IndexVersion = 6
	h.replied(wrong)
	again := h.takeSends()
	assert.Equal(t, len(again), 1, "an answer of another version is asked for again")
	h.answer(again[0])
	assert.Equal(t, string(h.wantAnswer(2).Parts[0].Body), "g00")
}

// Guards against answers that arrive after their query ended or was planned again.
func TestFaultLateAnswer(t *testing.T) {
	h := newHarness(t, testConfig(2))
	first := h.fanOut()
	h.advance(2 * time.Second)
	h.finishes = nil
	second := h.fanOut()
	for _, s := range first {
		h.answer(s)
	}
	assert.Equal(t, len(h.finishes), 0)
	for _, s := range second {
		h.answer(s)
	}
	h.wantAnswer(2)
}

// Guards against an owner whose replies do not arrive while others answer: its
// sub-requests go to the other owner, which the next queries then prefer.
func TestFaultSilentConnection(t *testing.T) {
	h := newHarness(t, testConfig(6))
	h.advance(time.Millisecond)
	sent := h.fanOut()
	h.advance(5 * time.Millisecond)
	for _, s := range sent {
		if s.Owner == ownerA {
			h.answer(s)
		}
	}
	h.advance(300 * time.Millisecond)
	h.answerAll()
	h.wantAnswer(6)
	for _, s := range h.fanOut() {
		assert.Equal(t, s.Owner, ownerA)
	}
}

// Guards against a part that waits until its deadline for an owner that accepted the
// sub-request and stopped responding.
func TestFaultHomeFrozen(t *testing.T) {
	t.Run("other owner failed recently", func(t *testing.T) {
		h := newFrozenOwnerHarness(t)
		for failures := 0; failures < 3; h.advance(time.Second) {
			for sent := h.fanOut(); len(sent) > 0; sent = h.takeSends() {
				for _, s := range sent {
					if s.Owner == ownerA {
						failures++
						h.step(query.SendFailed{Sub: s.Sub.ID})
						continue
					}
					h.answer(s)
				}
			}
		}
		h.finishes = nil
		h.wantAnswerDespiteFrozen(ownerB)
	})
	t.Run("slow answers before", func(t *testing.T) {
		h := newFrozenOwnerHarness(t)
		for range 100 {
			sent := h.fanOut()
			h.advance(700 * time.Millisecond)
			for _, s := range append(sent, h.takeSends()...) {
				h.answer(s)
			}
		}
		h.finishes = nil
		h.wantAnswerDespiteFrozen(ownerB)
	})
}

// newFrozenOwnerHarness returns a harness with one shard owned by A and B, and one owned
// by a third VM.
func newFrozenOwnerHarness(t *testing.T) *harness {
	const third = fleet.VMID("c")
	h := newHarness(t, testConfig(2))
	v := testView(testConfig(2), ownerA, ownerB, third)
	v.Owners[fleet.ShardID{Service: serviceName, Shard: "g00"}] = []fleet.VMID{ownerA, ownerB}
	v.Owners[fleet.ShardID{Service: serviceName, Shard: "g01"}] = []fleet.VMID{third}
	h.step(query.ViewChanged{View: v})
	return h
}

// wantAnswerDespiteFrozen runs queries until one is sent to the frozen owner, which
// accepts the sub-request and never replies. That query must still get a complete
// answer.
func (h *harness) wantAnswerDespiteFrozen(frozen fleet.VMID) {
	h.t.Helper()
	for asked := false; !asked; {
		h.finishes = nil
		for sent := h.fanOut(); len(h.finishes) == 0; sent = h.takeSends() {
			h.advance(time.Millisecond)
			for _, s := range sent {
				if asked = asked || s.Owner == frozen; s.Owner != frozen {
					h.answer(s)
				}
			}
		}
	}
	h.wantAnswer(2)
}
