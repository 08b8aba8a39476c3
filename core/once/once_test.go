package once

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func holdingLedger(since, expires time.Time) *Ledger {
	l := NewLedger()
	l.SetRanges(allRanges(since, expires))
	return l
}

func allRanges(since, expires time.Time) []fleet.RangeShare {
	var shares []fleet.RangeShare
	for i := range fleet.RangeCount {
		shares = append(shares, fleet.RangeShare{Range: i, Since: since, Expires: expires})
	}
	return shares
}

func idAt(created time.Time, n byte) fleet.RequestID {
	return fleet.NewRequestID(created, [10]byte{0: n, 9: n})
}

func claimerOn(vm string) Claimer { return Claimer{VM: fleet.VMID(vm), Query: 1} }

// Guards against a wrong answer to each kind of claim.
func TestClaim(t *testing.T) {
	hour := epoch.Add(time.Hour)
	cases := []struct {
		name    string
		since   time.Time
		expires time.Time
		created time.Time
		code    outcome.Code // empty: may run
		outcome outcome.Outcome
	}{
		{"first", epoch.Add(-time.Hour), hour, epoch, "", ""},
		{"created by a clock that is ahead", epoch.Add(-time.Hour), hour, epoch.Add(maxClockSkew), "", ""},
		{"created in the future", epoch.Add(-time.Hour), hour, epoch.Add(maxClockSkew + time.Millisecond), outcome.CodeBadRequest, outcome.NotRun},
		{"created before the range was held", epoch.Add(-time.Second), hour, epoch.Add(-2 * time.Second), outcome.CodeRequestTooOld, outcome.Unknown},
		{"created within the clock skew after the range was taken over", epoch.Add(-time.Second), hour, epoch, outcome.CodeRequestTooOld, outcome.Unknown},
		{"created after the clock skew", epoch.Add(-maxClockSkew), hour, epoch, "", ""},
		{"as old as the window allows", epoch.Add(-time.Hour), hour, epoch.Add(maxClockSkew - claimWindow), "", ""},
		{"older than the window", epoch.Add(-time.Hour), hour, epoch.Add(maxClockSkew - claimWindow - time.Millisecond), outcome.CodeRequestTooOld, outcome.Unknown},
		{"range share expired", epoch.Add(-time.Hour), epoch, epoch, outcome.CodeNoHome, outcome.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := holdingLedger(c.since, c.expires).Claim(epoch, claimerOn("a"), idAt(c.created, 1))
			if c.code == "" {
				assert.Assert(t, r == nil, "%v", r)
				return
			}
			assert.Equal(t, r.Code, c.code)
			assert.Equal(t, r.Outcome, c.outcome)
		})
	}
}

// Guards against a request that runs twice, and against a wrong outcome in the
// refusal of its duplicate.
func TestDuplicate(t *testing.T) {
	cases := []struct {
		name    string
		settle  bool
		outcome outcome.Outcome
		want    outcome.Outcome // empty: may run again
	}{
		{"running", false, "", outcome.Unknown},
		{"answered", true, "", outcome.RanAnswerLost},
		{"unknown", true, outcome.Unknown, outcome.Unknown},
		{"answer lost", true, outcome.RanAnswerLost, outcome.RanAnswerLost},
		{"invalid outcome", true, "maybe", outcome.Unknown},
		{"not run", true, outcome.NotRun, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := holdingLedger(epoch.Add(-time.Hour), epoch.Add(time.Hour))
			id := idAt(epoch, 1)
			assert.Assert(t, l.Claim(epoch, claimerOn("a"), id) == nil)
			assert.Assert(t, l.Claim(epoch, claimerOn("a"), id) == nil, "a claim that is delivered twice counts once")
			if c.settle {
				l.Settle(claimerOn("a"), id, c.outcome)
			}
			r := l.Claim(epoch.Add(time.Second), claimerOn("b"), id)
			if c.want == "" {
				assert.Assert(t, r == nil, "%v", r)
				return
			}
			assert.Equal(t, r.Code, outcome.CodeDuplicateRequest)
			assert.Equal(t, r.Outcome, c.want)
		})
	}
}

// Guards against a refused duplicate that releases the claim of the request that
// runs: only the claimer may settle, and only once.
func TestFaultForeignSettle(t *testing.T) {
	l := holdingLedger(epoch.Add(-time.Hour), epoch.Add(time.Hour))
	id := idAt(epoch, 1)
	assert.Assert(t, l.Claim(epoch, claimerOn("a"), id) == nil)
	l.Settle(claimerOn("b"), id, outcome.NotRun)
	l.Settle(Claimer{VM: "a", Query: 2}, id, outcome.NotRun)
	assert.Assert(t, l.Claim(epoch, claimerOn("b"), id) != nil)
	l.Settle(claimerOn("a"), id, "")
	l.Settle(claimerOn("a"), id, outcome.NotRun) // delivered late, after the claim was settled
	assert.Equal(t, l.Claim(epoch, claimerOn("b"), id).Outcome, outcome.RanAnswerLost)
}

// Guards against a request that runs a second time after its range moved to
// another VM, which does not know the claims of the previous holder.
func TestFaultRangeMoved(t *testing.T) {
	expires := epoch.Add(5 * time.Second)
	old := holdingLedger(epoch.Add(-time.Hour), expires)
	id := idAt(expires.Add(maxClockSkew-time.Millisecond), 1) // the newest id that the old holder can accept
	assert.Assert(t, old.Claim(expires.Add(-time.Millisecond), claimerOn("a"), id) == nil)
	assert.Equal(t, old.Claim(expires, claimerOn("b"), id).Code, outcome.CodeNoHome)

	successor := holdingLedger(expires, expires.Add(time.Hour))
	for _, at := range []time.Time{expires, expires.Add(time.Second), expires.Add(time.Minute), expires.Add(10 * time.Minute)} {
		r := successor.Claim(at, claimerOn("b"), id)
		assert.Assert(t, r != nil)
		assert.Equal(t, r.Outcome, outcome.Unknown)
	}

	// The range comes back: the claims of the old holder are still valid.
	old.SetRanges(allRanges(expires.Add(time.Minute), expires.Add(time.Hour)))
	assert.Assert(t, old.Claim(expires.Add(time.Minute), claimerOn("b"), id) != nil)
}

// Guards against memory that grows with the number of requests.
func TestClaimMemory(t *testing.T) {
	l := holdingLedger(epoch.Add(-time.Hour), epoch.Add(time.Hour))
	l.limit = 100
	for i := range 100 {
		assert.Assert(t, l.Claim(epoch, claimerOn("a"), idAt(epoch, byte(i))) == nil)
		l.Settle(claimerOn("a"), idAt(epoch, byte(i)), outcome.NotRun)
		assert.Assert(t, l.ClaimCount() <= 1)
	}
	r := l.Claim(epoch, claimerOn("a"), idAt(epoch, 200))
	assert.Equal(t, r.Code, outcome.CodeOverloaded)
	assert.Equal(t, r.Outcome, outcome.NotRun)
	assert.Assert(t, r.RetryAfter > 0)
	later := epoch.Add(claimWindow)
	assert.Assert(t, l.Claim(later, claimerOn("a"), idAt(later, 200)) == nil, "expired claims must make room")
	assert.Equal(t, len(l.byAge), 1)
}

// Guards against two claimers that both may run one id, under random claims,
// settlements, range moves and times. Only the outcome "not run" releases an id.
func TestPropertyAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := epoch
		ledgers := []*Ledger{holdingLedger(epoch.Add(-time.Hour), epoch.Add(time.Minute)), NewLedger()}
		current := 0
		expires := epoch.Add(time.Minute)
		running := map[fleet.RequestID]Claimer{} // may have run
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "ms")) * time.Millisecond)
			if !now.Before(expires) { // the range moves only when the share has expired
				current = 1 - current
				since := expires
				expires = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(rt, "term")) * time.Second)
				ledgers[current].SetRanges(allRanges(since, expires))
			}
			created := now.Add(time.Duration(rapid.IntRange(-150_000, 2_500).Draw(rt, "age")) * time.Millisecond)
			id := idAt(created, byte(rapid.IntRange(0, 3).Draw(rt, "id")))
			if len(running) > 0 && rapid.Bool().Draw(rt, "again") {
				ids := make([]fleet.RequestID, 0, len(running))
				for known := range running {
					ids = append(ids, known)
				}
				slices.SortFunc(ids, func(a, b fleet.RequestID) int { return bytes.Compare(a[:], b[:]) })
				id = rapid.SampledFrom(ids).Draw(rt, "known id")
			}
			claimer := Claimer{VM: "vm", Query: uint64(rapid.IntRange(1, 1<<20).Draw(rt, "query"))}
			contacted := rapid.IntRange(0, 1).Draw(rt, "asked") // a stale View may name the old holder
			if ledgers[contacted].Claim(now, claimer, id) != nil {
				continue
			}
			if first, ran := running[id]; ran && first != claimer {
				rt.Fatalf("id %s was given to %v and to %v", id, first, claimer)
			}
			running[id] = claimer
			if rapid.IntRange(0, 3).Draw(rt, "end") == 0 {
				ledgers[contacted].Settle(claimer, id, outcome.NotRun)
				delete(running, id)
			}
		}
	})
}
