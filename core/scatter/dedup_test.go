package scatter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
)

func newSub(seq uint64, deadline time.Time) *scatter.SubRequest {
	return &scatter.SubRequest{ID: scatter.SubID{Ingress: "a", Seq: seq}, Deadline: deadline}
}

// Guards against a request that runs twice because it was delivered twice.
func TestAcceptsOnce(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	deadline := start.Add(time.Second)
	idempotent, other := newSub(4, deadline), newSub(1, deadline)
	idempotent.Idempotent, other.ID.Ingress = true, "b"
	var dedup scatter.Deduplicator
	for i, c := range []struct {
		sub  *scatter.SubRequest
		want bool
	}{
		{newSub(1, deadline), true}, {newSub(1, deadline), false}, {newSub(2, deadline), true},
		{other, true}, {idempotent, true}, {idempotent, true}, {newSub(1, deadline), false},
	} {
		got, refusal := dedup.Accept(start.Add(time.Duration(i)*time.Millisecond), c.sub)
		assert.Assert(t, refusal == nil)
		assert.Equal(t, got, c.want, "case %d", i)
	}
}

// Guards against memory that grows with every request, and against an id that is
// forgotten while its sub-request may still be delivered again.
func TestDeduplicatorIsBounded(t *testing.T) {
	const perSecond, timeout = 50_000, 500 * time.Millisecond
	now := time.Unix(1_000_000, 0)
	var dedup scatter.Deduplicator
	for seq := range uint64(10 * perSecond) { // far more than are remembered at once
		now = now.Add(time.Second / perSecond)
		ok, refusal := dedup.Accept(now, newSub(seq, now.Add(timeout)))
		assert.Assert(t, refusal == nil && ok, "sub-request %d", seq)
		if seq > perSecond/2 {
			late := newSub(seq-perSecond/2, now)
			again, _ := dedup.Accept(now, late)
			assert.Assert(t, !again, "sub-request %d runs twice", late.ID.Seq)
		}
	}
}

// Guards against an owner that accepts a sub-request whose id it cannot remember.
func TestDeduplicatorFull(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var dedup scatter.Deduplicator
	seq, refusal := uint64(0), (*outcome.Refusal)(nil)
	for refusal == nil {
		_, refusal = dedup.Accept(now, newSub(seq, now.Add(time.Minute)))
		seq++
		assert.Assert(t, seq < 1<<20, "no bound")
	}
	assert.Equal(t, refusal.Outcome, outcome.NotRun)
	again := newSub(seq, now.Add(time.Minute))
	again.Redelivered = true
	_, refusal = dedup.Accept(now, again)
	assert.Equal(t, refusal.Outcome, outcome.Unknown)
	ok, refusal := dedup.Accept(now.Add(2*time.Minute), newSub(seq, now.Add(3*time.Minute)))
	assert.Assert(t, ok && refusal == nil, "room again after the deadlines")
}
