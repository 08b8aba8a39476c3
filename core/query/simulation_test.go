package query_test

import (
	"container/heap"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/query"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// simulation simulates owners, targets, claims and a changing view around one Machine.
// It records what really happened, independently of the machine's state.
type simulation struct {
	t             *rapid.T
	m             *query.Machine
	now           time.Time
	events        eventQueue
	order         int // breaks ties between events at the same time
	shards        int
	partitionMap  uint64
	newestVersion uint64 // newest index version
	queries       map[query.ID]*queryRecord
	subs          map[scatter.SubID]*subRecord
}

// queryRecord is what really happened to one query.
type queryRecord struct {
	start    query.Start
	claimed  bool
	finishes int
	endedAt  time.Time
	parts    map[string][]*subRecord
}

// subRecord is what really happened to one sub-request.
type subRecord struct {
	query        *queryRecord
	sub          scatter.SubRequest
	owner        fleet.VMID
	mayRun       bool // a target ran it or may still run it
	provenNotRun bool // the machine was informed that it did not run
}

type timedEvent struct {
	at     time.Time
	order  int
	handle func()
}

type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, m: query.New(ingressVM), now: epoch, shards: rapid.IntRange(1, 5).Draw(t, "groups"), partitionMap: 1, newestVersion: 7,
		queries: map[query.ID]*queryRecord{}, subs: map[scatter.SubID]*subRecord{},
	}
	sim.step(query.ViewChanged{View: sim.view()})
	return sim
}

func (sim *simulation) after(d time.Duration, handle func()) {
	heap.Push(&sim.events, timedEvent{at: sim.now.Add(d), order: sim.order, handle: handle})
	sim.order++
}

// run handles events and timers in the order of their time until none is left.
func (sim *simulation) run() {
	for len(sim.events) > 0 || sim.m.Running() > 0 {
		next := sim.m.Next()
		if len(sim.events) > 0 && (next.IsZero() || !next.Before(sim.events[0].at)) {
			ev := heap.Pop(&sim.events).(timedEvent)
			sim.now = later(sim.now, ev.at)
			ev.handle()
			continue
		}
		sim.now = later(sim.now, next)
		sim.step(query.Tick{})
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (sim *simulation) config() *config.Config {
	c := testConfig(sim.shards)
	c.Revision, c.Services[0].PartitionMap = sim.partitionMap, sim.partitionMap
	return c
}

// view draws which owners exist; sometimes a shard has none.
func (sim *simulation) view() *fleet.View {
	v := testView(sim.config(), ownerA, ownerB)
	for _, shard := range v.Config.Services[0].Shards {
		id := fleet.ShardID{Service: serviceName, Shard: shard.Name}
		n := rapid.SampledFrom([]int{2, 2, 2, 2, 2, 1, 0}).Draw(sim.t, "homes")
		v.Owners[id] = v.Owners[id][:n]
	}
	return v
}

func (sim *simulation) drawDelay(label string, maxMillis int) time.Duration {
	return time.Duration(rapid.IntRange(0, maxMillis).Draw(sim.t, label)) * time.Millisecond
}

func (sim *simulation) start(id query.ID) {
	s := query.Start{
		ID: id, Key: testKey, RequestID: fleet.NewRequestID(sim.now, [10]byte{9: byte(id)}), Service: serviceName, Workspace: workspaceName,
		Deadline: sim.now.Add(sim.drawDelay("deadline", 400)), Idempotent: rapid.Bool().Draw(sim.t, "idempotent"),
		MinCoverage: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(sim.t, "least"),
		Fingerprint: fleet.Fingerprint{byte(id)}, Body: fmt.Appendf(nil, "query %d", id),
	}
	sim.queries[id] = &queryRecord{start: s, parts: map[string][]*subRecord{}}
	sim.step(s)
}

func (sim *simulation) step(ev query.Event) {
	actions := sim.m.Step(sim.now, ev)
	for _, a := range append([]query.Action(nil), actions...) {
		switch a := a.(type) {
		case *query.SendSub:
			sim.handleSend(*a)
		case query.Claim:
			sim.answerClaim(a)
		case query.Finish:
			sim.checkFinish(a)
		}
	}
}

func (sim *simulation) answerClaim(c query.Claim) {
	fate := rapid.SampledFrom([]string{"first", "first", "first", "first", "moved", "duplicate", "lost"}).Draw(sim.t, "claim")
	sim.after(sim.drawDelay("claim delay", 30), func() {
		switch fate {
		case "first":
			sim.queries[c.ID].claimed = true
			sim.step(query.Claimed{ID: c.ID})
		case "moved":
			sim.step(query.Claimed{ID: c.ID, Refusal: outcome.New(outcome.CodeNoHome, outcome.NotRun, "moved")})
		case "duplicate":
			sim.step(query.Claimed{ID: c.ID, Refusal: outcome.New(outcome.CodeDuplicateRequest, outcome.Unknown, "running")})
		}
	})
}

// handleSend checks a sub-request against the invariants and draws what becomes of it.
func (sim *simulation) handleSend(a query.SendSub) {
	q := sim.queries[query.ID(a.Sub.Fingerprint[0])]
	s := &subRecord{query: q, sub: a.Sub, owner: a.Owner}
	if _, known := sim.subs[a.Sub.ID]; known {
		sim.t.Fatalf("sub-request id %v was used twice", a.Sub.ID)
	}
	sim.subs[a.Sub.ID] = s
	switch {
	case q.finishes > 0:
		sim.t.Fatalf("sent after the end of query %d", q.start.ID)
	case !sim.now.Before(q.start.Deadline):
		sim.t.Fatalf("sent after the deadline of query %d", q.start.ID)
	case !q.start.Idempotent && !q.claimed:
		sim.t.Fatalf("sent without a claim")
	}
	if a.Sub.IndexVersion == 0 {
		sim.answerProbe(s)
		return
	}
	for _, earlier := range q.parts[a.Sub.Shard.Shard] {
		if !q.start.Idempotent && !earlier.provenNotRun {
			sim.t.Fatalf("shard %s of a non-idempotent query was sent again before the first was proved not to have run", a.Sub.Shard.Shard)
		}
	}
	q.parts[a.Sub.Shard.Shard] = append(q.parts[a.Sub.Shard.Shard], s)
	sim.simulateOwner(s)
}

func (sim *simulation) answerProbe(s *subRecord) {
	fate := rapid.SampledFrom([]string{"versions", "versions", "versions", "none", "lost", "map", "not owner"}).Draw(sim.t, "probe")
	sim.after(sim.drawDelay("probe delay", 5), func() {
		rep := sim.reply(s, scatter.VersionsOnly)
		switch fate {
		case "versions":
		case "none":
			rep.IndexVersions = nil
		case "lost":
			sim.step(query.SendFailed{Sub: s.sub.ID})
			return
		case "map":
			rep.Status = scatter.PartitionMapChanged
		case "not owner":
			rep.Status = scatter.NotOwner
		}
		sim.step(&query.Replied{Reply: rep})
	})
}

func (sim *simulation) reply(s *subRecord, status scatter.Status) scatter.SubReply {
	return scatter.SubReply{
		ID: s.sub.ID, Shard: s.sub.Shard, Status: status, PartitionMap: sim.partitionMap, Attempts: 1, Repeat: s.sub.Repeat,
		IndexVersions: []uint64{sim.newestVersion, sim.newestVersion - 1},
	}
}

var subRequestFates = []string{
	"answer", "answer", "answer", "answer", "answer", "answer", "answer twice", "slow", "silent", "crossed version", "crossed shard",
	"version gone", "no replica", "map changed", "not owner", "overloaded", "not written", "lost after", "lost before",
	"failed", "crash", "poison",
}

// simulateOwner draws what becomes of a sub-request. mayRun is true from the moment at
// which a target may run it.
func (sim *simulation) simulateOwner(s *subRecord) {
	fate := rapid.SampledFrom(subRequestFates).Draw(sim.t, "fate")
	s.mayRun = true // until the opposite is proved
	delay := sim.drawDelay("delay", 20)
	if fate == "slow" {
		delay = sim.drawDelay("slow", 500)
	}
	notRun := func(status scatter.Status, code outcome.Code) scatter.SubReply {
		s.mayRun, s.provenNotRun = false, true
		rep := sim.reply(s, status)
		if code != "" {
			rep.Status, rep.Refusal = scatter.Refused, outcome.New(code, outcome.NotRun, "%s", fate)
		}
		return rep
	}
	sim.after(delay, func() {
		switch fate {
		case "answer", "slow":
			sim.step(&query.Replied{Reply: sim.answer(s)})
		case "answer twice":
			sim.step(&query.Replied{Reply: sim.answer(s)})
			sim.step(&query.Replied{Reply: sim.answer(s)})
		case "silent":
		case "crossed version":
			rep := sim.answer(s)
			rep.IndexVersion++
			sim.step(&query.Replied{Reply: rep})
		case "crossed shard":
			rep := sim.answer(s)
			rep.Shard.Shard = "another"
			sim.step(&query.Replied{Reply: rep})
		case "version gone":
			sim.step(&query.Replied{Reply: notRun(scatter.VersionGone, "")})
		case "no replica":
			rep := notRun(scatter.VersionGone, "")
			rep.IndexVersions = nil
			sim.step(&query.Replied{Reply: rep})
		case "map changed":
			sim.step(&query.Replied{Reply: notRun(scatter.PartitionMapChanged, "")})
		case "not owner":
			sim.step(&query.Replied{Reply: notRun(scatter.NotOwner, "")})
		case "overloaded":
			sim.step(&query.Replied{Reply: notRun(0, outcome.CodeOverloaded)})
		case "poison":
			sim.step(&query.Replied{Reply: notRun(0, outcome.CodePoisonRequest)})
		case "not written":
			s.mayRun, s.provenNotRun = false, true
			sim.step(query.SendFailed{Sub: s.sub.ID, NotWritten: true})
		case "lost after", "lost before":
			sim.step(query.SendFailed{Sub: s.sub.ID})
		case "failed":
			rep := sim.reply(s, scatter.Refused)
			rep.Refusal = outcome.New(outcome.CodeTargetFailed, outcome.Unknown, "failed")
			sim.step(&query.Replied{Reply: rep})
		case "crash":
			rep := sim.reply(s, scatter.Refused)
			rep.Refusal, rep.Crashes = outcome.New(outcome.CodeTargetCrashed, outcome.Unknown, "crash"), 1
			sim.step(&query.Replied{Reply: rep})
		}
	})
}

// answer returns an answer whose body names the sub-request that it answers.
func (sim *simulation) answer(s *subRecord) scatter.SubReply {
	rep := sim.reply(s, scatter.Answered)
	rep.IndexVersion, rep.PartitionMap = s.sub.IndexVersion, s.sub.PartitionMap
	rep.Body = fmt.Appendf(nil, "%s|%s|%d|%d", s.sub.Body, s.sub.Shard.Shard, s.sub.IndexVersion, s.sub.PartitionMap)
	return rep
}

// injectChange draws one change of the environment.
func (sim *simulation) injectChange() {
	switch rapid.SampledFrom([]string{"view", "version", "map", "gone", "pause"}).Draw(sim.t, "disturbance") {
	case "view":
		sim.step(query.ViewChanged{View: sim.view()})
	case "version":
		sim.newestVersion++
	case "map":
		sim.partitionMap++
		sim.shards = rapid.IntRange(1, 5).Draw(sim.t, "groups")
		sim.after(sim.drawDelay("view delay", 100), func() { sim.step(query.ViewChanged{View: sim.view()}) })
	case "gone":
		sim.step(query.CallerGone{ID: query.ID(rapid.IntRange(1, 4).Draw(sim.t, "gone"))})
	case "pause":
		sim.now = sim.now.Add(sim.drawDelay("pause", 800)) // the process was suspended; events and timers are late
	}
}

// checkFinish checks the end of a query against what really happened.
func (sim *simulation) checkFinish(f query.Finish) {
	q := sim.queries[f.ID]
	q.finishes++
	q.endedAt = sim.now
	if q.finishes > 1 {
		sim.t.Fatalf("query %d finished twice", f.ID)
	}
	if (f.Answer == nil) == (f.Refusal == nil) {
		sim.t.Fatalf("query %d has both or neither of answer and refusal", f.ID)
	}
	if f.Refusal != nil {
		sim.checkRefusal(q, f.Refusal)
		return
	}
	sim.checkAnswer(q, f.Answer)
}

func (sim *simulation) checkRefusal(q *queryRecord, r *outcome.Refusal) {
	if !r.Outcome.Valid() {
		sim.t.Fatalf("outcome %q", r.Outcome)
	}
	if r.Outcome != outcome.NotRun {
		return
	}
	for _, subs := range q.parts {
		for _, s := range subs {
			if s.mayRun || !s.provenNotRun {
				sim.t.Fatalf("refused %s as not run, but shard %s may have run", r.Code, s.sub.Shard.Shard)
			}
		}
	}
}

func (sim *simulation) checkAnswer(q *queryRecord, a *query.Answer) {
	if a.Shards != len(a.Parts)+len(a.Missing) {
		sim.t.Fatalf("%d shards, %d parts, missing %v", a.Shards, len(a.Parts), a.Missing)
	}
	if a.Coverage() < q.start.MinCoverage {
		sim.t.Fatalf("coverage %v below %v", a.Coverage(), q.start.MinCoverage)
	}
	names := map[string]bool{}
	for _, shard := range a.Missing {
		names[shard] = true
	}
	for _, p := range a.Parts {
		want := fmt.Sprintf("%s|%s|%d|%d", q.start.Body, p.Shard, a.IndexVersion, a.PartitionMap)
		if string(p.Body) != want {
			sim.t.Fatalf("part %q, want %q", p.Body, want)
		}
		names[p.Shard] = true
	}
	if len(names) != a.Shards {
		sim.t.Fatalf("%d different shards of %d", len(names), a.Shards)
	}
}
