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
	ingressVM     = fleet.VMID("entry")
	ownerA        = fleet.VMID("a")
	ownerB        = fleet.VMID("b")
	serviceName   = "stock"
	workspaceName = "league"
	version       = uint64(7)
	testSlots     = 6
)

var (
	epoch   = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	testKey = config.HashKey("anvilfork-key-test")
)

// testConfig returns a configuration with one service of n shards.
func testConfig(n int) *config.Config {
	s := config.Service{
		Name: serviceName, PartitionMap: 1, Slots: testSlots, Connections: 25,
		Deadline: 2 * time.Second, HedgeBudget: 0.05,
	}
	for i := range n {
		s.Shards = append(s.Shards, config.Shard{Name: fmt.Sprintf("g%02d", i)})
	}
	return &config.Config{
		Revision: 1, Services: []config.Service{s},
		Workspaces: []config.Workspace{{Name: workspaceName, Keys: []config.KeyHash{testKey}}},
	}
}

// testView returns a view in which all shards of all services have the same owners,
// every second shard in the opposite order.
func testView(c *config.Config, owners ...fleet.VMID) *fleet.View {
	v := &fleet.View{
		Config: c, Serving: true, Self: fleet.VM{ID: ingressVM},
		Owners: map[fleet.ShardID][]fleet.VMID{}, RangeHolders: make([]fleet.VMID, fleet.RangeCount),
	}
	for _, id := range append([]fleet.VMID{ingressVM}, owners...) {
		v.VMs = append(v.VMs, fleet.VM{ID: id, State: fleet.Live})
	}
	for i := range v.RangeHolders {
		v.RangeHolders[i] = ingressVM
	}
	for _, s := range c.Services {
		for i, shard := range s.Shards {
			order := slices.Clone(owners)
			if i%2 == 1 {
				slices.Reverse(order)
			}
			v.Owners[fleet.ShardID{Service: s.Name, Shard: shard.Name}] = order
		}
	}
	return v
}

// harness drives one Machine and records its actions.
type harness struct {
	t        *testing.T
	m        *query.Machine
	now      time.Time
	sends    []query.SendSub // sent since the last takeSends
	cancels  []query.CancelSub
	claims   []query.Claim
	settles  []query.Settle
	poisons  []query.ReportPoison
	finishes []query.Finish
	lastID   query.ID
}

func newHarness(t *testing.T, c *config.Config, owners ...fleet.VMID) *harness {
	h := &harness{t: t, m: query.New(ingressVM), now: epoch}
	if len(owners) == 0 {
		owners = []fleet.VMID{ownerA, ownerB}
	}
	h.step(query.ViewChanged{View: testView(c, owners...)})
	return h
}

func (h *harness) step(ev query.Event) {
	for _, a := range h.m.Step(h.now, ev) {
		switch a := a.(type) {
		case *query.SendSub:
			h.sends = append(h.sends, *a)
		case query.CancelSub:
			h.cancels = append(h.cancels, a)
		case query.Claim:
			h.claims = append(h.claims, a)
		case query.Settle:
			h.settles = append(h.settles, a)
		case query.ReportPoison:
			h.poisons = append(h.poisons, a)
		case query.Finish:
			h.finishes = append(h.finishes, a)
		default:
			h.t.Fatalf("unknown action %T", a)
		}
	}
}

// start begins a query with a deadline of one second.
func (h *harness) start(change ...func(*query.Start)) query.ID {
	h.lastID++
	s := query.Start{
		ID: h.lastID, Key: testKey, RequestID: fleet.NewRequestID(h.now, [10]byte{9: byte(h.lastID)}), Service: serviceName, Workspace: workspaceName,
		Deadline: h.now.Add(time.Second), Idempotent: true, Fingerprint: fleet.Fingerprint{byte(h.lastID)}, Body: []byte("mat"),
	}
	for _, f := range change {
		f(&s)
	}
	h.step(s)
	return s.ID
}

func nonIdempotent(s *query.Start) { s.Idempotent = false }
func fullCoverage(s *query.Start)  { s.MinCoverage = 1 }
func sameContent(s *query.Start)   { s.Fingerprint = fleet.Fingerprint{0xff} }

// takeSends returns the sub-requests sent since the last call.
func (h *harness) takeSends() []query.SendSub {
	sent := h.sends
	h.sends = nil
	return sent
}

// advance moves the clock by d and delivers a tick whenever the machine's timer is due.
func (h *harness) advance(d time.Duration) {
	until := h.now.Add(d)
	for next := h.m.Next(); !next.IsZero() && !next.After(until); next = h.m.Next() {
		if next.After(h.now) {
			h.now = next
		}
		h.step(query.Tick{})
	}
	h.now = until
	h.step(query.Tick{})
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

// answer replies to a sub-request, and to a probe with the index versions.
func (h *harness) answer(s query.SendSub) {
	rep := reply(s, scatter.Answered)
	if s.Sub.IndexVersion == 0 {
		rep.Status = scatter.VersionsOnly
	} else {
		rep.Body = []byte(s.Sub.Shard.Shard)
	}
	h.replied(rep)
}

func (h *harness) replied(rep scatter.SubReply) { h.step(&query.Replied{Reply: rep}) }

// answerAll answers all sub-requests until no more are sent.
func (h *harness) answerAll() {
	for sent := h.takeSends(); len(sent) > 0; sent = h.takeSends() {
		for _, s := range sent {
			h.answer(s)
		}
	}
}

// fanOut starts a query, answers its claim and its probes if it needs any, and returns
// the sub-requests of the fan-out.
func (h *harness) fanOut(change ...func(*query.Start)) []query.SendSub {
	h.start(change...)
	for _, c := range h.claims {
		h.step(query.Claimed{ID: c.ID})
	}
	h.claims = nil
	sent := h.takeSends()
	if len(sent) == 0 || sent[0].Sub.IndexVersion != 0 {
		return sent
	}
	for _, s := range sent {
		h.answer(s)
	}
	return h.takeSends()
}

// finish returns the only Finish since the last call.
func (h *harness) finish() query.Finish {
	h.t.Helper()
	assert.Equal(h.t, len(h.finishes), 1, "number of finished queries")
	f := h.finishes[0]
	h.finishes = nil
	return f
}

func (h *harness) wantRefusal(code outcome.Code, o outcome.Outcome) {
	h.t.Helper()
	f := h.finish()
	assert.Assert(h.t, f.Refusal != nil, "answered with coverage, want refusal %s", code)
	assert.Equal(h.t, f.Refusal.Code, code, f.Refusal.Reason)
	assert.Equal(h.t, f.Refusal.Outcome, o, f.Refusal.Reason)
}

func (h *harness) wantAnswer(shards int) *query.Answer {
	h.t.Helper()
	f := h.finish()
	assert.Assert(h.t, f.Refusal == nil, "refused: %v", f.Refusal)
	assert.Equal(h.t, len(f.Answer.Parts), shards)
	return f.Answer
}
