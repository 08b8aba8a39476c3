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

// Guards against a fan-out that loses a group or an answer that hides one.
func TestAnswerAll(t *testing.T) {
	r := newRig(t, testConfig(15))
	r.start()
	r.answerAll()
	a := r.wantAnswer(15)
	assert.Equal(t, a.Coverage(), 1.0)
	assert.Equal(t, a.IndexVersion, version)
	assert.Equal(t, r.m.Running(), 0)
	assert.Assert(t, r.m.Next().IsZero())
}

// repartitioned is the text after a change of the partition map.
func repartitioned(r *rig, groups int, homes ...fleet.VMID) {
	c := testConfig(groups)
	c.Revision, c.Services[0].PartitionMap = 2, 2
	r.step(query.ViewChanged{View: testView(c, homes...)})
}

// Guards against an answer that mixes two partition maps when groups are
// repartitioned under a running query.
func TestFaultRepartition(t *testing.T) {
	t.Run("home is ahead", func(t *testing.T) {
		r := newRig(t, testConfig(3))
		sent := r.fanOut()
		r.answer(sent[0])
		gone := reply(sent[1], scatter.PartitionMapChanged)
		gone.PartitionMap = 2
		r.replied(gone)
		assert.Equal(t, len(r.cancels), 1, "the part under way is cancelled")
		r.answer(sent[2]) // late answer of the old map
		r.take()
		repartitioned(r, 4, homeA, homeB)
		r.answerAll()
		a := r.wantAnswer(4)
		assert.Equal(t, a.PartitionMap, uint64(2))
	})
	t.Run("home is behind", func(t *testing.T) {
		r := newRig(t, testConfig(3))
		r.fanOut()
		r.take()
		repartitioned(r, 3, homeA, homeB)
		r.finishes = nil
		r.start()
		for _, s := range r.take() {
			behind := reply(s, scatter.PartitionMapChanged)
			behind.PartitionMap = 1
			r.replied(behind)
		}
		assert.Equal(t, len(r.finishes), 0, "the query waits for the homes")
		r.advance(100 * time.Millisecond)
		r.answerAll()
		r.wantAnswer(3)
	})
	t.Run("answer of the new map", func(t *testing.T) {
		r := newRig(t, testConfig(2))
		sent := r.fanOut()
		r.answer(sent[0])
		mixed := reply(sent[1], scatter.Answered)
		mixed.PartitionMap = 2
		r.replied(mixed)
		assert.Equal(t, len(r.finishes), 0, "the answer of another map is not merged")
		repartitioned(r, 2, homeA, homeB)
		r.answerAll()
		assert.Equal(t, r.wantAnswer(2).PartitionMap, uint64(2))
	})
	t.Run("homes never agree", func(t *testing.T) {
		r := newRig(t, testConfig(1))
		sent := r.fanOut()
		for len(r.finishes) == 0 {
			for _, s := range sent {
				r.replied(reply(s, scatter.PartitionMapChanged))
			}
			r.advance(50 * time.Millisecond)
			sent = r.take()
		}
		r.wantRefusal(outcome.CodeNoSnapshot, outcome.NotRun)
	})
}

// Guards against an answer from two index versions, and against a query that
// fails although its groups have another version in common.
func TestFaultVersionGone(t *testing.T) {
	gone := func(s query.SendSub, versions ...uint64) scatter.SubReply {
		rep := reply(s, scatter.VersionGone)
		rep.IndexVersions = versions
		return rep
	}
	t.Run("newer version", func(t *testing.T) {
		r := newRig(t, testConfig(3))
		sent := r.fanOut()
		r.answer(sent[0])
		r.replied(gone(sent[1], 8))
		probes := r.take()
		assert.Equal(t, probes[0].Sub.IndexVersion, uint64(0), "the other groups are asked what they have")
		for _, s := range probes {
			rep := reply(s, scatter.VersionsOnly)
			rep.IndexVersions = []uint64{8, 7}
			r.replied(rep)
		}
		r.answerAll()
		a := r.wantAnswer(3)
		assert.Equal(t, a.IndexVersion, uint64(8))
	})
	t.Run("gone three times", func(t *testing.T) {
		r := newRig(t, testConfig(1))
		sent := r.fanOut()
		plans := 0
		for ; len(r.finishes) == 0; plans++ {
			for _, s := range sent {
				if s.Sub.IndexVersion == 0 {
					r.answer(s)
				} else {
					r.replied(gone(s, version)) // the home's list lags
				}
			}
			r.advance(30 * time.Millisecond)
			sent = r.take()
		}
		r.wantRefusal(outcome.CodeNoSnapshot, outcome.NotRun)
	})
	t.Run("non-idempotent, one group", func(t *testing.T) {
		r := newRig(t, testConfig(1))
		sent := r.fanOut(nonIdempotent)
		r.replied(gone(sent[0], 8))
		r.advance(25 * time.Millisecond)
		r.answerAll()
		assert.Equal(t, r.wantAnswer(1).IndexVersion, uint64(8))
	})
	t.Run("non-idempotent, another group ran", func(t *testing.T) {
		r := newRig(t, testConfig(2))
		sent := r.fanOut(nonIdempotent, fullCoverage)
		r.answer(sent[0])
		r.replied(gone(sent[1], 8))
		assert.Equal(t, len(r.take()), 0, "no new plan after something ran")
		r.wantRefusal(outcome.CodeInsufficientCoverage, outcome.RanAnswerLost)
	})
	t.Run("one group has no replica", func(t *testing.T) {
		r := newRig(t, testConfig(3))
		sent := r.fanOut()
		r.answer(sent[0])
		r.replied(gone(sent[1]))
		r.answer(sent[2])
		second := r.take()
		assert.Equal(t, len(second), 1, "the other home may see a replica")
		r.replied(gone(second[0]))
		a := r.wantAnswer(2)
		assert.DeepEqual(t, a.Missing, []string{"g01"})
		// The dead group must not make the next query ask for versions again.
		for _, s := range r.fanOut() {
			assert.Equal(t, s.Sub.IndexVersion, version)
		}
	})
}

// Guards against a query that waits for a home VM that is dead, and against a
// second run of non-idempotent work after a home VM died.
func TestFaultVMKilled(t *testing.T) {
	t.Run("idempotent", func(t *testing.T) {
		r := newRig(t, testConfig(4))
		for _, s := range r.fanOut() {
			if s.Owner == homeA {
				r.step(query.SendFailed{Sub: s.Sub.ID})
			} else {
				r.answer(s)
			}
		}
		for _, s := range r.take() {
			assert.Equal(t, s.Owner, homeB)
			assert.Assert(t, s.Sub.Repeat)
			r.answer(s)
		}
		r.wantAnswer(4)
		for _, s := range r.fanOut() {
			assert.Equal(t, s.Owner, homeB, "a home that failed is asked second")
		}
	})
	t.Run("non-idempotent after write", func(t *testing.T) {
		r := newRig(t, testConfig(2))
		sent := r.fanOut(nonIdempotent)
		r.step(query.SendFailed{Sub: sent[0].Sub.ID})
		assert.Equal(t, len(r.take()), 0)
		r.step(query.SendFailed{Sub: sent[1].Sub.ID})
		r.wantRefusal(outcome.CodeConnectionLost, outcome.Unknown)
		assert.Equal(t, r.settles[0].Outcome, outcome.Unknown)
	})
	t.Run("non-idempotent before write", func(t *testing.T) {
		r := newRig(t, testConfig(1))
		sent := r.fanOut(nonIdempotent)
		r.step(query.SendFailed{Sub: sent[0].Sub.ID, NotWritten: true})
		again := r.take()
		assert.Equal(t, len(again), 1)
		assert.Assert(t, again[0].Owner != sent[0].Owner)
		r.answer(again[0])
		r.wantAnswer(1)
		assert.Equal(t, r.settles[0].Outcome, outcome.Outcome(""))
	})
	t.Run("leaves the view", func(t *testing.T) {
		r := newRig(t, testConfig(4))
		r.fanOut()
		r.step(query.ViewChanged{View: testView(testConfig(4), homeB)})
		moved := r.take()
		assert.Equal(t, len(moved), 2)
		for _, s := range moved {
			assert.Equal(t, s.Owner, homeB)
		}
	})
	t.Run("all homes of one group", func(t *testing.T) {
		r := newRig(t, testConfig(2))
		sent := r.fanOut(fullCoverage)
		r.answer(sent[0])
		for lost := sent[1:]; len(lost) > 0; lost = r.take() {
			r.step(query.SendFailed{Sub: lost[0].Sub.ID})
		}
		// The caller must see that another VM may do better.
		r.wantRefusal(outcome.CodeConnectionLost, outcome.Unknown)
	})
	t.Run("both homes of one group for a while", func(t *testing.T) {
		// Calls between VMs fail after 250 ms; the caller waits for a second.
		r := newRig(t, testConfig(2))
		sent := r.fanOut(fullCoverage)
		r.answer(sent[0])
		lost := sent[1:]
		for ; r.now.Before(epoch.Add(700 * time.Millisecond)); lost = r.take() {
			assert.Assert(t, len(lost) > 0, "nothing is asked %v before the deadline", epoch.Add(time.Second).Sub(r.now))
			r.advance(250 * time.Millisecond)
			for _, s := range append(lost, r.take()...) {
				r.step(query.SendFailed{Sub: s.Sub.ID})
			}
		}
		for _, s := range lost {
			r.answer(s)
		}
		r.wantAnswer(2)
	})
	t.Run("calls to both homes of one group are not made for a while", func(t *testing.T) {
		// The circuit breakers of both are open, and one of the homes is back soon.
		r := newRig(t, testConfig(2))
		sent := r.fanOut(fullCoverage)
		r.answer(sent[0])
		lost := sent[1:]
		for ; r.now.Before(epoch.Add(600 * time.Millisecond)); lost = r.take() {
			assert.Equal(t, len(r.finishes), 0, "refused after %v", r.now.Sub(epoch))
			for ; len(lost) > 0; lost = r.take() {
				for _, s := range lost {
					r.step(query.SendFailed{Sub: s.Sub.ID, NotWritten: true})
				}
			}
			r.advance(5 * time.Millisecond)
		}
		for ; len(r.finishes) == 0; lost = r.take() {
			for _, s := range lost {
				if s.Owner == homeA {
					r.step(query.SendFailed{Sub: s.Sub.ID, NotWritten: true})
					continue
				}
				r.answer(s)
			}
			r.advance(5 * time.Millisecond)
		}
		r.wantAnswer(2)
	})
	t.Run("no home of one group is reached", func(t *testing.T) {
		r := newRig(t, testConfig(2))
		sent := r.fanOut(fullCoverage)
		r.answer(sent[0])
		for lost := sent[1:]; len(r.finishes) == 0; lost = r.take() {
			for _, s := range lost {
				r.step(query.SendFailed{Sub: s.Sub.ID, NotWritten: true})
			}
			r.advance(5 * time.Millisecond)
		}
		r.wantRefusal(outcome.CodeConnectionLost, outcome.RanAnswerLost)
	})
	t.Run("fenced while one group waits", func(t *testing.T) {
		r := newRig(t, testConfig(2))
		sent := r.fanOut(fullCoverage)
		r.answer(sent[0])
		for lost := sent[1:]; len(lost) > 0; lost = r.take() {
			r.step(query.SendFailed{Sub: lost[0].Sub.ID, NotWritten: true})
		}
		v := *testView(testConfig(2), homeA, homeB)
		v.Fenced = true
		r.step(query.ViewChanged{View: &v})
		r.advance(time.Second)
		assert.Assert(t, r.finishes[0].Refusal.Code != outcome.CodeInsufficientCoverage, "%v", r.finishes[0].Refusal)
	})
	t.Run("no home can send its answer here", func(t *testing.T) {
		r := newRig(t, testConfig(2))
		for sent := r.fanOut(nonIdempotent); len(sent) > 0; sent = r.take() {
			for _, s := range sent {
				r.step(query.SendFailed{Sub: s.Sub.ID, NotWritten: true, Unanswerable: true})
			}
		}
		r.wantRefusal(outcome.CodeConnectionLost, outcome.NotRun) // at once, so that time is left for another VM
	})
	t.Run("one group has no home", func(t *testing.T) {
		r := newRig(t, testConfig(2))
		sent := r.fanOut(fullCoverage)
		r.answer(sent[0])
		for asked := sent[1:]; len(r.finishes) == 0; asked = r.take() {
			for _, s := range asked {
				r.replied(scatter.SubReply{ID: s.Sub.ID, Shard: s.Sub.Shard, Status: scatter.NotOwner})
			}
			r.advance(5 * time.Millisecond)
		}
		r.wantRefusal(outcome.CodeNoHome, outcome.RanAnswerLost)
	})
	t.Run("all homes", func(t *testing.T) {
		r := newRig(t, testConfig(1), homeA)
		sends := 0
		for sent := r.fanOut(); len(r.finishes) == 0; sent = r.take() {
			for _, s := range sent {
				r.step(query.SendFailed{Sub: s.Sub.ID, NotWritten: true})
			}
			sends += len(sent)
			r.advance(5 * time.Millisecond)
		}
		r.wantRefusal(outcome.CodeConnectionLost, outcome.NotRun)
		assert.Assert(t, sends > 3 && sends < 15, "%d sends", sends)
		assert.Assert(t, r.now.Sub(epoch) < time.Second, "time is left for another VM")
	})
}

// Guards against a home VM that is paused and holds up all queries, and against
// an entry VM that wakes late and sends or runs work that is out of date.
func TestFaultVMPausedWakesLate(t *testing.T) {
	t.Run("home is paused", func(t *testing.T) {
		r := newRig(t, testConfig(4))
		r.advance(time.Millisecond)
		sent := r.fanOut()
		r.advance(time.Millisecond)
		for _, s := range sent {
			if s.Owner == homeB {
				r.answer(s)
			}
		}
		r.advance(300 * time.Millisecond)
		moved := r.take()
		assert.Equal(t, len(moved), 2)
		for _, s := range moved {
			assert.Equal(t, s.Owner, homeB)
			r.answer(s)
		}
		assert.Equal(t, r.finish().Stats.Failovers, 2)
	})
	t.Run("home wakes and answers first", func(t *testing.T) {
		r := newRig(t, testConfig(2))
		r.advance(time.Millisecond)
		sent := r.fanOut()
		r.advance(time.Millisecond)
		r.answer(sent[1])
		r.advance(300 * time.Millisecond)
		moved := r.take()
		r.answer(sent[0])
		assert.Equal(t, r.cancels[len(r.cancels)-1].ID, moved[0].Sub.ID, "the loser is cancelled")
		r.wantAnswer(2)
		r.answer(moved[0])
		assert.Equal(t, len(r.finishes), 0)
	})
	t.Run("entry wakes with a claim answer", func(t *testing.T) {
		for _, late := range []time.Duration{600 * time.Millisecond, 2 * time.Second} {
			r := newRig(t, testConfig(1))
			r.start(nonIdempotent)
			r.now = r.now.Add(late) // no tick: the process slept
			r.step(query.Claimed{ID: r.claims[0].ID})
			assert.Equal(t, len(r.take()), 0, "nothing is sent after %v", late)
			assert.Equal(t, r.finish().Refusal.Outcome, outcome.NotRun)
			assert.Equal(t, r.settles[0].Outcome, outcome.NotRun)
		}
	})
	t.Run("entry wakes with a refusal to retry", func(t *testing.T) {
		r := newRig(t, testConfig(1))
		sent := r.fanOut()
		r.now = r.now.Add(3 * time.Second)
		r.replied(refusal(sent[0], outcome.CodeOverloaded, outcome.NotRun))
		assert.Equal(t, len(r.take()), 0, "nothing is sent after the deadline")
		assert.Equal(t, r.finish().Refusal.Outcome, outcome.NotRun)
	})
}

// Guards against work that goes on for a caller that went away, and against a
// wrong outcome of it.
func TestFaultCallerGone(t *testing.T) {
	t.Run("while it waits for its claim", func(t *testing.T) {
		r := newRig(t, testConfig(1))
		id := r.start(nonIdempotent)
		r.step(query.CallerGone{ID: id})
		r.wantRefusal(outcome.CodeCallerGone, outcome.NotRun)
		assert.Equal(t, r.settles[0].Outcome, outcome.NotRun)
	})
	t.Run("after the fan-out", func(t *testing.T) {
		r := newRig(t, testConfig(3))
		sent := r.fanOut()
		r.answer(sent[0])
		r.step(query.CallerGone{ID: r.ids})
		assert.Equal(t, len(r.cancels), 2)
		r.wantRefusal(outcome.CodeCallerGone, outcome.Unknown)
		r.step(query.CallerGone{ID: r.ids})
		assert.Equal(t, len(r.finishes), 0)
	})
}

// Guards against a query that outlives its deadline, and against "not run" for
// a part that was under way.
func TestFaultDeadlineSpent(t *testing.T) {
	t.Run("enough has arrived", func(t *testing.T) {
		r := newRig(t, testConfig(4))
		sent := r.fanOut(func(s *query.Start) { s.MinCoverage = 0.75 })
		for _, s := range sent[:3] {
			r.answer(s)
		}
		r.advance(time.Second)
		a := r.wantAnswer(3)
		assert.DeepEqual(t, a.Missing, []string{"g03"})
		assert.Equal(t, a.Coverage(), 0.75)
	})
	t.Run("too little has arrived", func(t *testing.T) {
		r := newRig(t, testConfig(4))
		sent := r.fanOut(fullCoverage)
		r.answer(sent[0])
		r.advance(time.Second)
		r.wantRefusal(outcome.CodeInsufficientCoverage, outcome.Unknown)
	})
	t.Run("nothing has arrived", func(t *testing.T) {
		r := newRig(t, testConfig(4))
		r.fanOut()
		r.advance(time.Second)
		r.wantRefusal(outcome.CodeDeadlineExceeded, outcome.Unknown)
	})
	t.Run("before it began", func(t *testing.T) {
		r := newRig(t, testConfig(4))
		r.start(func(s *query.Start) { s.Deadline = r.now })
		r.wantRefusal(outcome.CodeDeadlineExceeded, outcome.NotRun)
	})
}

// Guards against a duplicate or an answer to another sub-request that is merged.
func TestFaultDuplicateSend(t *testing.T) {
	r := newRig(t, testConfig(2))
	sent := r.fanOut()
	r.answer(sent[0])
	r.answer(sent[0])
	assert.Equal(t, len(r.finishes), 0, "one reply counts once")
	r.answer(sent[1])
	r.wantAnswer(2)
}

// Guards against a reply that is taken for another group, query, plan or VM.
func TestFaultCrossedAnswer(t *testing.T) {
	r := newRig(t, testConfig(2))
	sent := r.fanOut()
	other := reply(sent[0], scatter.Answered)
	other.Shard.Shard = "g01"
	r.replied(other)
	foreign := reply(sent[0], scatter.Answered)
	foreign.ID.Ingress = "another"
	r.replied(foreign)
	r.answer(sent[1])
	assert.Equal(t, len(r.finishes), 0, "group g00 has no answer yet")

	wrong := reply(sent[0], scatter.Answered)
	wrong.IndexVersion = 6
	r.replied(wrong)
	again := r.take()
	assert.Equal(t, len(again), 1, "an answer of another version is asked for again")
	r.answer(again[0])
	assert.Equal(t, string(r.wantAnswer(2).Parts[0].Body), "g00")
}

// Guards against answers that arrive after their query ended or was planned again.
func TestFaultLateAnswer(t *testing.T) {
	r := newRig(t, testConfig(2))
	old := r.fanOut()
	r.advance(2 * time.Second)
	r.finishes = nil
	fresh := r.fanOut()
	for _, s := range old {
		r.answer(s)
	}
	assert.Equal(t, len(r.finishes), 0)
	for _, s := range fresh {
		r.answer(s)
	}
	r.wantAnswer(2)
}

// Guards against a home whose replies stay out while others answer: its work
// moves, and the next queries ask the other home first.
func TestFaultSilentConnection(t *testing.T) {
	r := newRig(t, testConfig(6))
	r.advance(time.Millisecond)
	sent := r.fanOut()
	r.advance(5 * time.Millisecond)
	for _, s := range sent {
		if s.Owner == homeA {
			r.answer(s)
		}
	}
	r.advance(300 * time.Millisecond)
	r.answerAll()
	r.wantAnswer(6)
	for _, s := range r.fanOut() {
		assert.Equal(t, s.Owner, homeA)
	}
}

// Guards against a part that waits for a frozen home until its deadline.
func TestFaultHomeFrozen(t *testing.T) {
	t.Run("other home failed lately", func(t *testing.T) {
		r := frozenRig(t)
		for failures := 0; failures < 3; r.advance(time.Second) {
			for sent := r.fanOut(); len(sent) > 0; sent = r.take() {
				for _, s := range sent {
					if s.Owner == homeA {
						failures++
						r.step(query.SendFailed{Sub: s.Sub.ID})
						continue
					}
					r.answer(s)
				}
			}
		}
		r.finishes = nil
		r.wantAnswerWithout(homeB)
	})
	t.Run("slow answers before", func(t *testing.T) {
		r := frozenRig(t)
		for range 100 {
			sent := r.fanOut()
			r.advance(700 * time.Millisecond)
			for _, s := range append(sent, r.take()...) {
				r.answer(s)
			}
		}
		r.finishes = nil
		r.wantAnswerWithout(homeB)
	})
}

// frozenRig has a group with the homes A and B, and one with another home.
func frozenRig(t *testing.T) *rig {
	const third = fleet.VMID("c")
	r := newRig(t, testConfig(2))
	v := testView(testConfig(2), homeA, homeB, third)
	v.Owners[fleet.ShardID{Service: svcName, Shard: "g00"}] = []fleet.VMID{homeA, homeB}
	v.Owners[fleet.ShardID{Service: svcName, Shard: "g01"}] = []fleet.VMID{third}
	r.step(query.ViewChanged{View: v})
	return r
}

// wantAnswerWithout runs queries until one asks a home that takes its
// sub-request and freezes. That query must get its whole answer.
func (r *rig) wantAnswerWithout(frozen fleet.VMID) {
	r.t.Helper()
	for asked := false; !asked; {
		r.finishes = nil
		for sent := r.fanOut(); len(r.finishes) == 0; sent = r.take() {
			r.advance(time.Millisecond)
			for _, s := range sent {
				if asked = asked || s.Owner == frozen; s.Owner != frozen {
					r.answer(s)
				}
			}
		}
	}
	r.wantAnswer(2)
}
