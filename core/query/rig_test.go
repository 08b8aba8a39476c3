package query_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/query"
	"github.com/anvilfork/anvilfork/core/scatter"
)

const (
	entryVM  = fleet.VMID("entry")
	homeA    = fleet.VMID("a")
	homeB    = fleet.VMID("b")
	svcName  = "stock"
	wsName   = "league"
	version  = uint64(7)
	testSlot = 6
)

var (
	epoch   = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	testKey = config.HashKey("anvilfork-key-test")
)

// testConfig is a text with one service that has n groups.
func testConfig(n int) *config.Config {
	s := config.Service{
		Name: svcName, PartitionMap: 1, Slots: testSlot, Connections: 25,
		Deadline: 2 * time.Second, HedgeBudget: 0.05,
	}
	for i := range n {
		s.Shards = append(s.Shards, config.Shard{Name: fmt.Sprintf("g%02d", i)})
	}
	return &config.Config{
		Revision: 1, Services: []config.Service{s},
		Workspaces: []config.Workspace{{Name: wsName, Keys: []config.KeyHash{testKey}}},
	}
}

// testView is a view in which all groups of all services have the same homes,
// every second group in the opposite order.
func testView(c *config.Config, homes ...fleet.VMID) *fleet.View {
	v := &fleet.View{
		Config: c, Serving: true, Self: fleet.VM{ID: entryVM},
		Owners: map[fleet.ShardID][]fleet.VMID{}, RangeHolders: make([]fleet.VMID, fleet.RangeCount),
	}
	for _, id := range append([]fleet.VMID{entryVM}, homes...) {
		v.VMs = append(v.VMs, fleet.VM{ID: id, State: fleet.Live})
	}
	for i := range v.RangeHolders {
		v.RangeHolders[i] = entryVM
	}
	for _, s := range c.Services {
		for i, g := range s.Shards {
			order := slices.Clone(homes)
			if i%2 == 1 {
				slices.Reverse(order)
			}
			v.Owners[fleet.ShardID{Service: s.Name, Shard: g.Name}] = order
		}
	}
	return v
}

// rig drives one Machine by hand and keeps what it asked for.
type rig struct {
	t        *testing.T
	m        *query.Machine
	now      time.Time
	sends    []query.SendSub // not yet taken by take
	cancels  []query.CancelSub
	claims   []query.Claim
	settles  []query.Settle
	poisons  []query.ReportPoison
	finishes []query.Finish
	ids      query.ID
}

func newRig(t *testing.T, c *config.Config, homes ...fleet.VMID) *rig {
	r := &rig{t: t, m: query.New(entryVM), now: epoch}
	if len(homes) == 0 {
		homes = []fleet.VMID{homeA, homeB}
	}
	r.step(query.ViewChanged{View: testView(c, homes...)})
	return r
}

func (r *rig) step(ev query.Event) {
	for _, a := range r.m.Step(r.now, ev) {
		switch a := a.(type) {
		case *query.SendSub:
			r.sends = append(r.sends, *a)
		case query.CancelSub:
			r.cancels = append(r.cancels, a)
		case query.Claim:
			r.claims = append(r.claims, a)
		case query.Settle:
			r.settles = append(r.settles, a)
		case query.ReportPoison:
			r.poisons = append(r.poisons, a)
		case query.Finish:
			r.finishes = append(r.finishes, a)
		default:
			r.t.Fatalf("unknown action %T", a)
		}
	}
}

// start begins a query with a deadline of one second.
func (r *rig) start(change ...func(*query.Start)) query.ID {
	r.ids++
	s := query.Start{
		ID: r.ids, Key: testKey, Request: fleet.NewRequestID(r.now, [10]byte{9: byte(r.ids)}), Service: svcName, Workspace: wsName,
		Deadline: r.now.Add(time.Second), Idempotent: true, Fingerprint: fleet.Fingerprint{byte(r.ids)}, Body: []byte("mat"),
	}
	for _, f := range change {
		f(&s)
	}
	r.step(s)
	return s.ID
}

func nonIdempotent(s *query.Start) { s.Idempotent = false }
func fullCoverage(s *query.Start)  { s.MinCoverage = 1 }
func sameContent(s *query.Start)   { s.Fingerprint = fleet.Fingerprint{0xff} }

// take returns the sub-requests sent since the last call.
func (r *rig) take() []query.SendSub {
	sent := r.sends
	r.sends = nil
	return sent
}

// advance moves the clock and ticks whenever the machine asks for it.
func (r *rig) advance(d time.Duration) {
	until := r.now.Add(d)
	for next := r.m.Next(); !next.IsZero() && !next.After(until); next = r.m.Next() {
		if next.After(r.now) {
			r.now = next
		}
		r.step(query.Tick{})
	}
	r.now = until
	r.step(query.Tick{})
}

func reply(s query.SendSub, status scatter.Status) scatter.SubReply {
	return scatter.SubReply{
		ID: s.Sub.ID, Shard: s.Sub.Shard, Status: status, IndexVersion: s.Sub.IndexVersion,
		IndexVersions: []uint64{version}, PartitionMap: s.Sub.PartitionMap, Attempts: 1, Repeat: s.Sub.Repeat,
	}
}

func refusal(s query.SendSub, code outcome.Code, o outcome.Outcome) scatter.SubReply {
	rep := reply(s, scatter.Refused)
	rep.Refusal = outcome.New(code, o, "test")
	return rep
}

func crash(s query.SendSub) scatter.SubReply {
	rep := refusal(s, outcome.CodeTargetCrashed, outcome.Unknown)
	rep.Crashes = 1
	return rep
}

// answer replies to a sub-request; a probe gets the versions.
func (r *rig) answer(s query.SendSub) {
	rep := reply(s, scatter.Answered)
	if s.Sub.IndexVersion == 0 {
		rep.Status = scatter.VersionsOnly
	} else {
		rep.Body = []byte(s.Sub.Shard.Shard)
	}
	r.replied(rep)
}

func (r *rig) replied(rep scatter.SubReply) { r.step(&query.Replied{Reply: rep}) }

// answerAll answers everything that is sent until nothing more is.
func (r *rig) answerAll() {
	for sent := r.take(); len(sent) > 0; sent = r.take() {
		for _, s := range sent {
			r.answer(s)
		}
	}
}

// fanOut starts a query on a machine that knows the versions and returns its
// sub-requests.
func (r *rig) fanOut(change ...func(*query.Start)) []query.SendSub {
	r.start(change...)
	for _, c := range r.claims {
		r.step(query.Claimed{ID: c.ID})
	}
	r.claims = nil
	sent := r.take()
	if len(sent) == 0 || sent[0].Sub.IndexVersion != 0 {
		return sent
	}
	for _, s := range sent {
		r.answer(s)
	}
	return r.take()
}

// finish returns the only Finish since the last call.
func (r *rig) finish() query.Finish {
	r.t.Helper()
	assert.Equal(r.t, len(r.finishes), 1, "number of finished queries")
	f := r.finishes[0]
	r.finishes = nil
	return f
}

func (r *rig) wantRefusal(code outcome.Code, o outcome.Outcome) {
	r.t.Helper()
	f := r.finish()
	assert.Assert(r.t, f.Refusal != nil, "answered with coverage, want refusal %s", code)
	assert.Equal(r.t, f.Refusal.Code, code, f.Refusal.Reason)
	assert.Equal(r.t, f.Refusal.Outcome, o, f.Refusal.Reason)
}

func (r *rig) wantAnswer(groups int) *query.Answer {
	r.t.Helper()
	f := r.finish()
	assert.Assert(r.t, f.Refusal == nil, "refused: %v", f.Refusal)
	assert.Equal(r.t, len(f.Answer.Parts), groups)
	return f.Answer
}
