package query_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/once"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/query"
)

// withoutHolders is a view in which no VM holds a request-id range.
func withoutHolders(groups int) *fleet.View {
	v := testView(testConfig(groups), homeA, homeB)
	clear(v.RangeHolders)
	return v
}

// Guards against a non-idempotent request that starts without a claim, and
// against one that waits for ever for it.
func TestFaultClaimHolder(t *testing.T) {
	t.Run("no answer", func(t *testing.T) {
		r := newRig(t, testConfig(1))
		r.start(nonIdempotent)
		r.advance(900 * time.Millisecond)
		assert.Equal(t, len(r.take()), 0)
		r.wantRefusal(outcome.CodeNoHome, outcome.NotRun)
		assert.Equal(t, r.settles[0].Outcome, outcome.NotRun)
		r.step(query.Claimed{ID: r.ids})
		assert.Equal(t, len(r.take()), 0, "a late answer starts nothing")
	})
	t.Run("cannot send its answer here", func(t *testing.T) {
		r := newRig(t, testConfig(1))
		r.start(nonIdempotent)
		lost := outcome.New(outcome.CodeConnectionLost, outcome.NotRun, "test")
		r.step(query.Claimed{ID: r.ids, Refusal: lost, Unanswerable: true})
		r.wantRefusal(outcome.CodeConnectionLost, outcome.NotRun) // at once
	})
	t.Run("no holder, then one", func(t *testing.T) {
		r := newRig(t, testConfig(1))
		r.step(query.ViewChanged{View: withoutHolders(1)})
		r.start(nonIdempotent)
		assert.Equal(t, len(r.claims), 0)
		r.advance(100 * time.Millisecond)
		r.step(query.ViewChanged{View: testView(testConfig(1), homeA, homeB)})
		assert.Equal(t, len(r.claims), 1)
		r.step(query.Claimed{ID: r.ids})
		r.answerAll()
		r.wantAnswer(1)
	})
	t.Run("never a holder", func(t *testing.T) {
		r := newRig(t, testConfig(1))
		r.step(query.ViewChanged{View: withoutHolders(1)})
		r.start(nonIdempotent)
		r.advance(time.Second)
		assert.Equal(t, len(r.settles), 0)
		r.wantRefusal(outcome.CodeNoHome, outcome.NotRun)
	})
	t.Run("holder moved", func(t *testing.T) {
		r := newRig(t, testConfig(1))
		r.start(nonIdempotent)
		v := testView(testConfig(1), homeA, homeB)
		for i := range v.RangeHolders {
			v.RangeHolders[i] = homeB
		}
		r.step(query.ViewChanged{View: v})
		assert.Equal(t, r.claims[1].Holder, homeB)
		r.step(query.Claimed{ID: r.ids})
		r.answerAll()
		r.wantAnswer(1)
		assert.Equal(t, r.settles[0].Holder, homeB)
	})
	t.Run("holder says it does not hold the range", func(t *testing.T) {
		r := newRig(t, testConfig(1))
		r.start(nonIdempotent)
		r.step(query.Claimed{ID: r.ids, Refusal: outcome.New(outcome.CodeNoHome, outcome.NotRun, "moved")})
		assert.Equal(t, len(r.finishes), 0)
		r.advance(60 * time.Millisecond)
		assert.Equal(t, len(r.claims), 2, "asked again after a pause")
	})
	t.Run("duplicate", func(t *testing.T) {
		r := newRig(t, testConfig(1))
		r.start(nonIdempotent)
		r.step(query.Claimed{ID: r.ids, Refusal: outcome.New(outcome.CodeDuplicateRequest, outcome.Unknown, "running")})
		r.wantRefusal(outcome.CodeDuplicateRequest, outcome.Unknown)
		assert.Equal(t, len(r.settles), 0, "the claim belongs to the other send")
	})
	t.Run("claim answered twice", func(t *testing.T) {
		r := newRig(t, testConfig(1))
		r.start(nonIdempotent)
		r.step(query.Claimed{ID: r.ids})
		sent := len(r.take())
		r.step(query.Claimed{ID: r.ids})
		assert.Equal(t, len(r.take()), 0)
		assert.Assert(t, sent > 0)
	})
}

// Guards against a request that runs twice because its caller sends it to two
// VMs at once, or again after one of them gave up waiting for its claim.
func TestFaultDuplicateSendToTwoVMs(t *testing.T) {
	ledger := once.NewLedger()
	var shares []fleet.RangeShare
	for i := range fleet.RangeCount {
		shares = append(shares, fleet.RangeShare{Range: i, Since: epoch.Add(-time.Hour), Expires: epoch.Add(time.Hour)})
	}
	ledger.SetRanges(shares)
	first, second := newRig(t, testConfig(1)), newRig(t, testConfig(1))
	claimer := func(vm fleet.VMID, id query.ID) once.Claimer { return once.Claimer{VM: vm, Query: uint64(id)} }
	request := fleet.NewRequestID(epoch, [10]byte{1})
	sameID := func(s *query.Start) { s.Request = request }

	first.start(nonIdempotent, sameID)
	second.start(nonIdempotent, sameID)
	assert.Assert(t, ledger.Claim(epoch, claimer("first", 1), request) == nil)
	refusal := ledger.Claim(epoch, claimer("second", 1), request)

	// The second VM slept over the answer and gives up: its settlement must not
	// release the claim of the first.
	second.advance(time.Second)
	assert.Equal(t, second.settles[0].Outcome, outcome.NotRun)
	ledger.Settle(claimer("second", 1), request, outcome.NotRun)
	assert.Assert(t, ledger.Claim(epoch, claimer("third", 1), request) != nil)

	second.step(query.Claimed{ID: 1, Refusal: refusal})
	assert.Equal(t, len(second.take()), 0)
	first.step(query.Claimed{ID: 1})
	first.answerAll()
	first.wantAnswer(1)
	ledger.Settle(claimer("first", 1), request, first.settles[0].Outcome)
	again := ledger.Claim(epoch.Add(time.Second), claimer("second", 2), request)
	assert.Equal(t, again.Outcome, outcome.RanAnswerLost)
}

// Guards against a withdrawn key that goes on working for queries that began
// before, and against a wrong outcome of them.
func TestFaultKeyWithdrawn(t *testing.T) {
	without := func(change func(*config.Config)) *fleet.View {
		c := testConfig(2)
		c.Revision = 2
		change(c)
		return testView(c, homeA, homeB)
	}
	noKey := without(func(c *config.Config) { c.Workspaces[0].Keys = nil })
	notAllowed := without(func(c *config.Config) { c.Workspaces[0].Services = []string{"other"} })
	same := without(func(*config.Config) {})
	open := func(s *query.Start) { s.Key = config.KeyHash{} }

	t.Run("nothing sent", func(t *testing.T) {
		r := newRig(t, testConfig(2))
		r.start(nonIdempotent)
		r.step(query.ViewChanged{View: noKey})
		r.wantRefusal(outcome.CodeUnauthorized, outcome.NotRun)
	})
	t.Run("parts under way", func(t *testing.T) {
		r := newRig(t, testConfig(2))
		r.fanOut()
		r.step(query.ViewChanged{View: notAllowed})
		assert.Equal(t, len(r.cancels), 2)
		r.wantRefusal(outcome.CodeUnauthorized, outcome.Unknown)
	})
	t.Run("open route withdrawn", func(t *testing.T) {
		text := testConfig(2)
		text.OpenRoutes = []config.OpenRoute{{Service: svcName, Workspace: wsName}}
		r := newRig(t, text)
		r.fanOut(open)
		r.step(query.ViewChanged{View: same})
		r.wantRefusal(outcome.CodeUnauthorized, outcome.Unknown)
	})
	t.Run("key still there", func(t *testing.T) {
		r := newRig(t, testConfig(2))
		sent := r.fanOut()
		r.step(query.ViewChanged{View: same})
		for _, s := range sent {
			r.answer(s)
		}
		r.wantAnswer(2)
	})
}

// Guards against new work on a VM that cannot know of withdrawn keys.
func TestFaultFenced(t *testing.T) {
	r := newRig(t, testConfig(1))
	r.start(nonIdempotent)
	v := testView(testConfig(1), homeA, homeB)
	v.Fenced = true
	r.step(query.ViewChanged{View: v})
	r.step(query.Claimed{ID: r.ids})
	for _, s := range r.take() {
		assert.Equal(t, s.Sub.IndexVersion, uint64(0))
		r.answer(s)
	}
	assert.Equal(t, len(r.take()), 0)
	r.wantRefusal(outcome.CodeFenced, outcome.NotRun)
}
