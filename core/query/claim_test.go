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

// viewWithoutRangeHolders returns a view in which no VM holds a request-id range.
func viewWithoutRangeHolders(shards int) *fleet.View {
	v := testView(testConfig(shards), ownerA, ownerB)
	clear(v.RangeHolders)
	return v
}

// Guards against a non-idempotent request that starts without a granted claim, and
// against one that waits without limit for the range holder.
func TestFaultClaimHolder(t *testing.T) {
	t.Run("no answer", func(t *testing.T) {
		h := newHarness(t, testConfig(1))
		h.start(nonIdempotent)
		h.advance(900 * time.Millisecond)
		assert.Equal(t, len(h.takeSends()), 0)
		h.wantRefusal(outcome.CodeNoHome, outcome.NotRun)
		assert.Equal(t, h.settles[0].Outcome, outcome.NotRun)
		h.step(query.Claimed{ID: h.lastID})
		assert.Equal(t, len(h.takeSends()), 0, "a late answer starts nothing")
	})
	t.Run("cannot send its answer here", func(t *testing.T) {
		h := newHarness(t, testConfig(1))
		h.start(nonIdempotent)
		lost := outcome.New(outcome.CodeConnectionLost, outcome.NotRun, "test")
		h.step(query.Claimed{ID: h.lastID, Refusal: lost, NoReturnPath: true})
		h.wantRefusal(outcome.CodeConnectionLost, outcome.NotRun) // without waiting for the claim timeout
	})
	t.Run("no holder, then one", func(t *testing.T) {
		h := newHarness(t, testConfig(1))
		h.step(query.ViewChanged{View: viewWithoutRangeHolders(1)})
		h.start(nonIdempotent)
		assert.Equal(t, len(h.claims), 0)
		h.advance(100 * time.Millisecond)
		h.step(query.ViewChanged{View: testView(testConfig(1), ownerA, ownerB)})
		assert.Equal(t, len(h.claims), 1)
		h.step(query.Claimed{ID: h.lastID})
		h.answerAll()
		h.wantAnswer(1)
	})
	t.Run("never a holder", func(t *testing.T) {
		h := newHarness(t, testConfig(1))
		h.step(query.ViewChanged{View: viewWithoutRangeHolders(1)})
		h.start(nonIdempotent)
		h.advance(time.Second)
		assert.Equal(t, len(h.settles), 0)
		h.wantRefusal(outcome.CodeNoHome, outcome.NotRun)
	})
	t.Run("holder moved", func(t *testing.T) {
		h := newHarness(t, testConfig(1))
		h.start(nonIdempotent)
		v := testView(testConfig(1), ownerA, ownerB)
		for i := range v.RangeHolders {
			v.RangeHolders[i] = ownerB
		}
		h.step(query.ViewChanged{View: v})
		assert.Equal(t, h.claims[1].Holder, ownerB)
		h.step(query.Claimed{ID: h.lastID})
		h.answerAll()
		h.wantAnswer(1)
		assert.Equal(t, h.settles[0].Holder, ownerB)
	})
	t.Run("holder says it does not hold the range", func(t *testing.T) {
		h := newHarness(t, testConfig(1))
		h.start(nonIdempotent)
		h.step(query.Claimed{ID: h.lastID, Refusal: outcome.New(outcome.CodeNoHome, outcome.NotRun, "moved")})
		assert.Equal(t, len(h.finishes), 0)
		h.advance(60 * time.Millisecond)
		assert.Equal(t, len(h.claims), 2, "asked again after a pause")
	})
	t.Run("duplicate", func(t *testing.T) {
		h := newHarness(t, testConfig(1))
		h.start(nonIdempotent)
		h.step(query.Claimed{ID: h.lastID, Refusal: outcome.New(outcome.CodeDuplicateRequest, outcome.Unknown, "running")})
		h.wantRefusal(outcome.CodeDuplicateRequest, outcome.Unknown)
		assert.Equal(t, len(h.settles), 0, "the claim belongs to the other send")
	})
	t.Run("claim answered twice", func(t *testing.T) {
		h := newHarness(t, testConfig(1))
		h.start(nonIdempotent)
		h.step(query.Claimed{ID: h.lastID})
		sent := len(h.takeSends())
		h.step(query.Claimed{ID: h.lastID})
		assert.Equal(t, len(h.takeSends()), 0)
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
	first, second := newHarness(t, testConfig(1)), newHarness(t, testConfig(1))
	claimer := func(vm fleet.VMID, id query.ID) once.Claimer { return once.Claimer{VM: vm, Query: uint64(id)} }
	request := fleet.NewRequestID(epoch, [10]byte{1})
	sameID := func(s *query.Start) { s.RequestID = request }

	first.start(nonIdempotent, sameID)
	second.start(nonIdempotent, sameID)
	assert.Assert(t, ledger.Claim(epoch, claimer("first", 1), request) == nil)
	refusal := ledger.Claim(epoch, claimer("second", 1), request)

	// The second VM was suspended when the answer came and gives up. Its settlement must not
	// release the claim of the first VM.
	second.advance(time.Second)
	assert.Equal(t, second.settles[0].Outcome, outcome.NotRun)
	ledger.Settle(claimer("second", 1), request, outcome.NotRun)
	assert.Assert(t, ledger.Claim(epoch, claimer("third", 1), request) != nil)

	second.step(query.Claimed{ID: 1, Refusal: refusal})
	assert.Equal(t, len(second.takeSends()), 0)
	first.step(query.Claimed{ID: 1})
	first.answerAll()
	first.wantAnswer(1)
	ledger.Settle(claimer("first", 1), request, first.settles[0].Outcome)
	again := ledger.Claim(epoch.Add(time.Second), claimer("second", 2), request)
	assert.Equal(t, again.Outcome, outcome.RanAnswerLost)
}

// Guards against queries that run on after their key was withdrawn, and against a wrong
// outcome of such queries.
func TestFaultKeyWithdrawn(t *testing.T) {
	without := func(change func(*config.Config)) *fleet.View {
		c := testConfig(2)
		c.Revision = 2
		change(c)
		return testView(c, ownerA, ownerB)
	}
	noKey := without(func(c *config.Config) { c.Workspaces[0].Keys = nil })
	notAllowed := without(func(c *config.Config) { c.Workspaces[0].Services = []string{"other"} })
	same := without(func(*config.Config) {})
	open := func(s *query.Start) { s.Key = config.KeyHash{} }

	t.Run("nothing sent", func(t *testing.T) {
		h := newHarness(t, testConfig(2))
		h.start(nonIdempotent)
		h.step(query.ViewChanged{View: noKey})
		h.wantRefusal(outcome.CodeUnauthorized, outcome.NotRun)
	})
	t.Run("parts under way", func(t *testing.T) {
		h := newHarness(t, testConfig(2))
		h.fanOut()
		h.step(query.ViewChanged{View: notAllowed})
		assert.Equal(t, len(h.cancels), 2)
		h.wantRefusal(outcome.CodeUnauthorized, outcome.Unknown)
	})
	t.Run("open route withdrawn", func(t *testing.T) {
		cfg := testConfig(2)
		cfg.OpenRoutes = []config.OpenRoute{{Service: serviceName, Workspace: workspaceName}}
		h := newHarness(t, cfg)
		h.fanOut(open)
		h.step(query.ViewChanged{View: same})
		h.wantRefusal(outcome.CodeUnauthorized, outcome.Unknown)
	})
	t.Run("key still there", func(t *testing.T) {
		h := newHarness(t, testConfig(2))
		sent := h.fanOut()
		h.step(query.ViewChanged{View: same})
		for _, s := range sent {
			h.answer(s)
		}
		h.wantAnswer(2)
	})
}

// Guards against new work on a fenced VM, which may have missed that a key was
// withdrawn.
func TestFaultFenced(t *testing.T) {
	h := newHarness(t, testConfig(1))
	h.start(nonIdempotent)
	v := testView(testConfig(1), ownerA, ownerB)
	v.Fenced = true
	h.step(query.ViewChanged{View: v})
	h.step(query.Claimed{ID: h.lastID})
	for _, s := range h.takeSends() {
		assert.Equal(t, s.Sub.IndexVersion, uint64(0))
		h.answer(s)
	}
	assert.Equal(t, len(h.takeSends()), 0)
	h.wantRefusal(outcome.CodeFenced, outcome.NotRun)
}
