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

// world simulates homes, targets, claims and a changing view round one machine
// and records what really happened, independently of what the machine believes.
type world struct {
	t       *rapid.T
	m       *query.Machine
	now     time.Time
	events  eventQueue
	order   int // of events at the same time
	groups  int
	mapID   uint64
	latest  uint64 // newest index version
	queries map[query.ID]*truth
	subs    map[scatter.SubID]*subTruth
}

// truth is what really happened to one query.
type truth struct {
	start    query.Start
	claimed  bool
	finishes int
	endedAt  time.Time
	parts    map[string][]*subTruth
}

// subTruth is what really happened to one sub-request.
type subTruth struct {
	query    *truth
	sub      scatter.SubRequest
	home     fleet.VMID
	mayRun   bool // a target executed it or may still do so
	excluded bool // the machine was told that it did not run
}

type timed struct {
	at    time.Time
	order int
	do    func()
}

type eventQueue []timed

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(timed)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, m: query.New(entryVM), now: epoch, groups: rapid.IntRange(1, 5).Draw(t, "groups"), mapID: 1, latest: 7,
		queries: map[query.ID]*truth{}, subs: map[scatter.SubID]*subTruth{},
	}
	w.step(query.ViewChanged{View: w.view()})
	return w
}

func (w *world) after(d time.Duration, do func()) {
	heap.Push(&w.events, timed{at: w.now.Add(d), order: w.order, do: do})
	w.order++
}

// run handles events and timers in order of time until nothing is left.
func (w *world) run() {
	for len(w.events) > 0 || w.m.Running() > 0 {
		next := w.m.Next()
		if len(w.events) > 0 && (next.IsZero() || !next.Before(w.events[0].at)) {
			ev := heap.Pop(&w.events).(timed)
			w.now = later(w.now, ev.at)
			ev.do()
			continue
		}
		w.now = later(w.now, next)
		w.step(query.Tick{})
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *world) config() *config.Config {
	c := testConfig(w.groups)
	c.Revision, c.Services[0].PartitionMap = w.mapID, w.mapID
	return c
}

// view draws which homes exist; sometimes a group has none.
func (w *world) view() *fleet.View {
	v := testView(w.config(), homeA, homeB)
	for _, g := range v.Config.Services[0].Shards {
		id := fleet.ShardID{Service: svcName, Shard: g.Name}
		n := rapid.SampledFrom([]int{2, 2, 2, 2, 2, 1, 0}).Draw(w.t, "homes")
		v.Owners[id] = v.Owners[id][:n]
	}
	return v
}

func (w *world) ms(label string, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(w.t, label)) * time.Millisecond
}

func (w *world) start(id query.ID) {
	s := query.Start{
		ID: id, Key: testKey, Request: fleet.NewRequestID(w.now, [10]byte{9: byte(id)}), Service: svcName, Workspace: wsName,
		Deadline: w.now.Add(w.ms("deadline", 400)), Idempotent: rapid.Bool().Draw(w.t, "idempotent"),
		MinCoverage: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(w.t, "least"),
		Fingerprint: fleet.Fingerprint{byte(id)}, Body: fmt.Appendf(nil, "query %d", id),
	}
	w.queries[id] = &truth{start: s, parts: map[string][]*subTruth{}}
	w.step(s)
}

func (w *world) step(ev query.Event) {
	actions := w.m.Step(w.now, ev)
	for _, a := range append([]query.Action(nil), actions...) {
		switch a := a.(type) {
		case *query.SendSub:
			w.sent(*a)
		case query.Claim:
			w.claim(a)
		case query.Finish:
			w.finished(a)
		}
	}
}

func (w *world) claim(c query.Claim) {
	fate := rapid.SampledFrom([]string{"first", "first", "first", "first", "moved", "duplicate", "lost"}).Draw(w.t, "claim")
	w.after(w.ms("claim delay", 30), func() {
		switch fate {
		case "first":
			w.queries[c.ID].claimed = true
			w.step(query.Claimed{ID: c.ID})
		case "moved":
			w.step(query.Claimed{ID: c.ID, Refusal: outcome.New(outcome.CodeNoHome, outcome.NotRun, "moved")})
		case "duplicate":
			w.step(query.Claimed{ID: c.ID, Refusal: outcome.New(outcome.CodeDuplicateRequest, outcome.Unknown, "running")})
		}
	})
}

// sent checks a sub-request against the rules and draws its fate.
func (w *world) sent(a query.SendSub) {
	q := w.queries[query.ID(a.Sub.Fingerprint[0])]
	s := &subTruth{query: q, sub: a.Sub, home: a.Owner}
	if _, known := w.subs[a.Sub.ID]; known {
		w.t.Fatalf("sub-request id %v was used twice", a.Sub.ID)
	}
	w.subs[a.Sub.ID] = s
	switch {
	case q.finishes > 0:
		w.t.Fatalf("sent after the end of query %d", q.start.ID)
	case !w.now.Before(q.start.Deadline):
		w.t.Fatalf("sent after the deadline of query %d", q.start.ID)
	case !q.start.Idempotent && !q.claimed:
		w.t.Fatalf("sent without a claim")
	}
	if a.Sub.IndexVersion == 0 {
		w.probed(s)
		return
	}
	for _, earlier := range q.parts[a.Sub.Shard.Shard] {
		if !q.start.Idempotent && !earlier.excluded {
			w.t.Fatalf("group %s of a non-idempotent query was sent again before the first was proved not to have run", a.Sub.Shard.Shard)
		}
	}
	q.parts[a.Sub.Shard.Shard] = append(q.parts[a.Sub.Shard.Shard], s)
	w.fate(s)
}

func (w *world) probed(s *subTruth) {
	fate := rapid.SampledFrom([]string{"versions", "versions", "versions", "none", "lost", "map", "not home"}).Draw(w.t, "probe")
	w.after(w.ms("probe delay", 5), func() {
		rep := w.reply(s, scatter.VersionsOnly)
		switch fate {
		case "versions":
		case "none":
			rep.IndexVersions = nil
		case "lost":
			w.step(query.SendFailed{Sub: s.sub.ID})
			return
		case "map":
			rep.Status = scatter.PartitionMapChanged
		case "not home":
			rep.Status = scatter.NotOwner
		}
		w.step(&query.Replied{Reply: rep})
	})
}

func (w *world) reply(s *subTruth, status scatter.Status) scatter.SubReply {
	return scatter.SubReply{
		ID: s.sub.ID, Shard: s.sub.Shard, Status: status, PartitionMap: w.mapID, Attempts: 1, Repeat: s.sub.Repeat,
		IndexVersions: []uint64{w.latest, w.latest - 1},
	}
}

var fates = []string{
	"answer", "answer", "answer", "answer", "answer", "answer", "answer twice", "slow", "silent", "crossed version", "crossed group",
	"version gone", "no replica", "map changed", "not home", "overloaded", "not written", "lost after", "lost before",
	"failed", "crash", "poison",
}

// fate draws what becomes of a sub-request. mayRun holds from the moment on at
// which a target may execute it.
func (w *world) fate(s *subTruth) {
	fate := rapid.SampledFrom(fates).Draw(w.t, "fate")
	s.mayRun = true // until it is proved otherwise
	delay := w.ms("delay", 20)
	if fate == "slow" {
		delay = w.ms("slow", 500)
	}
	notRun := func(status scatter.Status, code outcome.Code) scatter.SubReply {
		s.mayRun, s.excluded = false, true
		rep := w.reply(s, status)
		if code != "" {
			rep.Status, rep.Refusal = scatter.Refused, outcome.New(code, outcome.NotRun, "%s", fate)
		}
		return rep
	}
	w.after(delay, func() {
		switch fate {
		case "answer", "slow":
			w.step(&query.Replied{Reply: w.answer(s)})
		case "answer twice":
			w.step(&query.Replied{Reply: w.answer(s)})
			w.step(&query.Replied{Reply: w.answer(s)})
		case "silent":
		case "crossed version":
			rep := w.answer(s)
			rep.IndexVersion++
			w.step(&query.Replied{Reply: rep})
		case "crossed group":
			rep := w.answer(s)
			rep.Shard.Shard = "another"
			w.step(&query.Replied{Reply: rep})
		case "version gone":
			w.step(&query.Replied{Reply: notRun(scatter.VersionGone, "")})
		case "no replica":
			rep := notRun(scatter.VersionGone, "")
			rep.IndexVersions = nil
			w.step(&query.Replied{Reply: rep})
		case "map changed":
			w.step(&query.Replied{Reply: notRun(scatter.PartitionMapChanged, "")})
		case "not home":
			w.step(&query.Replied{Reply: notRun(scatter.NotOwner, "")})
		case "overloaded":
			w.step(&query.Replied{Reply: notRun(0, outcome.CodeOverloaded)})
		case "poison":
			w.step(&query.Replied{Reply: notRun(0, outcome.CodePoisonRequest)})
		case "not written":
			s.mayRun, s.excluded = false, true
			w.step(query.SendFailed{Sub: s.sub.ID, NotWritten: true})
		case "lost after", "lost before":
			w.step(query.SendFailed{Sub: s.sub.ID})
		case "failed":
			rep := w.reply(s, scatter.Refused)
			rep.Refusal = outcome.New(outcome.CodeTargetFailed, outcome.Unknown, "failed")
			w.step(&query.Replied{Reply: rep})
		case "crash":
			rep := w.reply(s, scatter.Refused)
			rep.Refusal, rep.Crashes = outcome.New(outcome.CodeTargetCrashed, outcome.Unknown, "crash"), 1
			w.step(&query.Replied{Reply: rep})
		}
	})
}

// answer carries in its body what it is the answer to.
func (w *world) answer(s *subTruth) scatter.SubReply {
	rep := w.reply(s, scatter.Answered)
	rep.IndexVersion, rep.PartitionMap = s.sub.IndexVersion, s.sub.PartitionMap
	rep.Body = fmt.Appendf(nil, "%s|%s|%d|%d", s.sub.Body, s.sub.Shard.Shard, s.sub.IndexVersion, s.sub.PartitionMap)
	return rep
}

// disturb draws one change of the world.
func (w *world) disturb() {
	switch rapid.SampledFrom([]string{"view", "version", "map", "gone", "pause"}).Draw(w.t, "disturbance") {
	case "view":
		w.step(query.ViewChanged{View: w.view()})
	case "version":
		w.latest++
	case "map":
		w.mapID++
		w.groups = rapid.IntRange(1, 5).Draw(w.t, "groups")
		w.after(w.ms("view delay", 100), func() { w.step(query.ViewChanged{View: w.view()}) })
	case "gone":
		w.step(query.CallerGone{ID: query.ID(rapid.IntRange(1, 4).Draw(w.t, "gone"))})
	case "pause":
		w.now = w.now.Add(w.ms("pause", 800)) // the process slept; events and timers are late
	}
}

// finished checks an end of a query against what really happened.
func (w *world) finished(f query.Finish) {
	q := w.queries[f.ID]
	q.finishes++
	q.endedAt = w.now
	if q.finishes > 1 {
		w.t.Fatalf("query %d finished twice", f.ID)
	}
	if (f.Answer == nil) == (f.Refusal == nil) {
		w.t.Fatalf("query %d has both or neither of answer and refusal", f.ID)
	}
	if f.Refusal != nil {
		w.refused(q, f.Refusal)
		return
	}
	w.answered(q, f.Answer)
}

func (w *world) refused(q *truth, r *outcome.Refusal) {
	if !r.Outcome.Valid() {
		w.t.Fatalf("outcome %q", r.Outcome)
	}
	if r.Outcome != outcome.NotRun {
		return
	}
	for _, subs := range q.parts {
		for _, s := range subs {
			if s.mayRun || !s.excluded {
				w.t.Fatalf("refused %s as not run, but group %s may have run", r.Code, s.sub.Shard.Shard)
			}
		}
	}
}

func (w *world) answered(q *truth, a *query.Answer) {
	if a.Shards != len(a.Parts)+len(a.Missing) {
		w.t.Fatalf("%d groups, %d parts, missing %v", a.Shards, len(a.Parts), a.Missing)
	}
	if a.Coverage() < q.start.MinCoverage {
		w.t.Fatalf("coverage %v below %v", a.Coverage(), q.start.MinCoverage)
	}
	named := map[string]bool{}
	for _, g := range a.Missing {
		named[g] = true
	}
	for _, p := range a.Parts {
		want := fmt.Sprintf("%s|%s|%d|%d", q.start.Body, p.Shard, a.IndexVersion, a.PartitionMap)
		if string(p.Body) != want {
			w.t.Fatalf("part %q, want %q", p.Body, want)
		}
		named[p.Shard] = true
	}
	if len(named) != a.Shards {
		w.t.Fatalf("%d different groups of %d", len(named), a.Shards)
	}
}
