package route_test

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/route"
	"github.com/anvilfork/anvilfork/core/scatter"
)

const (
	simMap        = 1
	simVersion    = 7
	simService    = 5 * time.Millisecond
	simConnect    = 6 * time.Millisecond
	simDelay      = 300 * time.Microsecond // of a message between home and target
	simProbe      = 500 * time.Millisecond
	simCancelWait = time.Millisecond
	simMaxTicks   = 100 // ticks at one moment; more would be a spin
)

// world drives a Shard in virtual time against model targets.
type world struct {
	t       failer
	g       *route.Shard
	now     time.Time
	start   time.Time
	random  *rand.Rand
	assign  route.Assign
	targets map[string]*simTarget
	events  []simEvent
	order   int
	seq     uint64
	subs    map[scatter.SubID]*simSub
	poison  []fleet.Fingerprint
	moment  time.Time
	ticks   int
	allowed map[string]int // allowance of each target in the newest step
}

type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

type simEvent struct {
	at    time.Time
	order int
	fire  func() route.Event // nil event: nothing to tell the group
}

type simSub struct {
	scatter.SubRequest
	sent      time.Time
	replies   []scatter.SubReply
	answered  time.Time
	cancelled bool
	ran       int // attempts that a target may have executed
	starts    []string
}

// simTarget is a model of one target. Its fields are the faults it can show.
type simTarget struct {
	address  string
	group    string
	boot     int
	state    route.TargetState
	versions []uint64
	mapID    uint64
	load     float64
	service  func(n int) time.Duration
	up       bool // accepts connections and status reads
	hung     bool // status reads time out
	lagBoot  int  // boot id that status reads show, when not zero
	shed     bool
	fails    bool
	crashOn  map[fleet.Fingerprint]bool
	mute     bool // connections opened before muteUntilConn are silent for good
	muteFrom route.ConnID
	crossed  int    // answers that carry another attempt id
	cut      int    // answers that end inside the body
	keepsOn  bool   // ignores cancellations
	answers  uint64 // index version that answers come from, when not zero

	known    simKnown // what the group was told last
	running  map[route.AttemptID]*simRun
	conns    map[route.ConnID]bool
	max      int
	maxConns int
	ran      int
	opened   int
}

// simKnown is what the group can know of a target.
type simKnown struct {
	status  route.TargetStatus
	read    bool
	watched bool
}

type simRun struct {
	a     route.StartAttempt
	ended bool
}

func newWorld(t failer, replicas int) *world {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	id := fleet.ShardID{Service: "stock", Shard: "g00"}
	w := &world{
		t: t, g: route.NewShard(id, 1, rand.New(rand.NewSource(1))), now: start, start: start, random: rand.New(rand.NewSource(1)),
		targets: map[string]*simTarget{}, subs: map[scatter.SubID]*simSub{}, allowed: map[string]int{},
	}
	w.assign = route.Assign{
		Service: config.Service{
			Name: "stock", PartitionMap: simMap, Slots: 4, Connections: 24, ColdSlots: 2,
			ColdRamp: 10 * time.Second, HedgeBudget: 0.05,
		},
		Shard: config.Shard{Name: "g00"}, ZonesOut: map[string]bool{}, PoisonedUntil: map[fleet.Fingerprint]time.Time{},
		Share:   fleet.ShardShare{Shard: id, Slots: 4, Connections: 24, Owners: 1, Expires: start.Add(time.Hour)},
		Weights: map[string]int{},
	}
	for i := range replicas {
		w.addTarget(i)
	}
	return w
}

func (w *world) addTarget(i int) *simTarget {
	address := fmt.Sprintf("t%d", i)
	t := &simTarget{
		address: address, group: "g00", boot: 1, state: route.TargetReady, versions: []uint64{simVersion}, mapID: simMap,
		up: true, service: func(int) time.Duration { return simService },
		crashOn: map[fleet.Fingerprint]bool{}, running: map[route.AttemptID]*simRun{}, conns: map[route.ConnID]bool{},
	}
	w.targets[address] = t
	zone := string(rune('a' + i%3))
	w.assign.Shard.Targets = append(slices.Clone(w.assign.Shard.Targets), config.Target{Address: address, Zone: zone})
	return t
}

func (w *world) target(i int) *simTarget { return w.targets[fmt.Sprintf("t%d", i)] }

// begin assigns the group and runs until its connections are ready.
func (w *world) begin() {
	w.reassign()
	w.run(time.Second)
}

func (w *world) reassign() {
	a := w.assign
	a.ZonesOut = cloneMap(a.ZonesOut)
	w.step(a)
}

func cloneMap(m map[string]bool) map[string]bool {
	c := make(map[string]bool, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

func (w *world) at(d time.Duration, fire func() route.Event) {
	w.order++
	e := simEvent{at: w.now.Add(d), order: w.order, fire: fire}
	i, _ := slices.BinarySearchFunc(w.events, e, func(a, b simEvent) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.order, b.order))
	})
	w.events = slices.Insert(w.events, i, e)
}

// run lets virtual time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for {
		due := end
		if len(w.events) > 0 && w.events[0].at.Before(due) {
			due = w.events[0].at
		}
		if next := w.g.Next(); !next.IsZero() && next.Before(due) {
			w.now = maxTime(w.now, next)
			w.step(route.Tick{})
			continue
		}
		w.now = maxTime(w.now, due)
		if due.Equal(end) {
			return
		}
		e := w.events[0]
		w.events = w.events[1:]
		if ev := e.fire(); ev != nil {
			w.step(ev)
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *world) step(ev route.Event) {
	if w.now.Equal(w.moment) {
		if _, tick := ev.(route.Tick); tick {
			w.ticks++
		}
	} else {
		w.moment, w.ticks = w.now, 0
	}
	if w.ticks > simMaxTicks {
		w.t.Fatalf("the group asks for a tick again and again at one moment")
	}
	clear(w.allowed)
	before := w.g.Dump().Targets
	actions := w.g.Step(w.now, ev)
	for _, d := range w.g.Dump().Targets {
		w.allowed[d.Address] = d.Allowance
	}
	if slices.ContainsFunc(actions, isCancel) {
		// A cancellation can show that a target is slow, which reduces its
		// allowance after attempts that were started earlier in the step.
		for _, d := range before {
			w.allowed[d.Address] = max(w.allowed[d.Address], d.Allowance)
		}
	}
	for _, a := range actions {
		w.do(a)
	}
}

func isCancel(a route.Action) bool {
	_, ok := a.(*route.CancelAttempt)
	return ok
}

func (w *world) do(a route.Action) {
	switch a := a.(type) {
	case *route.StartAttempt:
		w.attempt(*a)
	case *route.CancelAttempt:
		w.cancelAttempt(*a)
	case *route.Respond:
		w.replied(a.Reply)
	case route.OpenConn:
		w.openConn(a)
	case route.CloseConn:
		t := w.targets[a.Target]
		w.at(simDelay, func() route.Event { w.endConn(t, a.Conn, false); return nil })
	case route.WatchTarget:
		w.targets[a.Target].known.watched = true
		w.probeLoop(w.targets[a.Target])
	case route.ProbeNow:
		w.probe(w.targets[a.Target])
	case route.DropTarget:
		w.targets[a.Target].known = simKnown{}
	case route.ReportPoison:
		w.poison = append(w.poison, a.Fingerprint)
	}
}

func (w *world) probeLoop(t *simTarget) {
	if !t.known.watched {
		return
	}
	w.probe(t)
	w.at(simProbe, func() route.Event { w.probeLoop(t); return nil })
}

func (w *world) probe(t *simTarget) {
	began := w.now
	switch {
	case !t.up:
		w.at(simDelay, func() route.Event { return route.Probed{Target: t.address, Began: began, Failed: true, Refused: true} })
	case t.hung:
		w.at(300*time.Millisecond, func() route.Event { return route.Probed{Target: t.address, Began: began, Failed: true} })
	default:
		w.at(2*simDelay, func() route.Event {
			if !t.up || !t.known.watched {
				return route.Probed{Target: t.address, Began: began, Failed: true, Refused: !t.up}
			}
			t.known.status, t.known.read = t.status(), true
			return route.Probed{Target: t.address, Began: began, Status: t.known.status}
		})
	}
}

func (t *simTarget) status() route.TargetStatus {
	boot := t.boot
	if t.lagBoot != 0 {
		boot = t.lagBoot
	}
	return route.TargetStatus{
		State: t.state, BootID: fmt.Sprint(t.address, "-", boot), Load: t.load,
		IndexVersions: slices.Clone(t.versions), PartitionMap: t.mapID, Shard: t.group,
	}
}

func (w *world) openConn(a route.OpenConn) {
	t := w.targets[a.Target]
	if !t.up {
		w.at(simDelay, func() route.Event { return route.ConnClosed{Target: a.Target, Conn: a.Conn, Refused: true} })
		return
	}
	t.conns[a.Conn] = true
	t.opened++
	t.maxConns = max(t.maxConns, len(t.conns))
	if limit := w.assign.Share.Connections; len(t.conns) > limit {
		w.t.Fatalf("%d connections to %s, the share is %d", len(t.conns), a.Target, limit)
	}
	w.at(simConnect, func() route.Event { return route.ConnOpened(a) })
}

// endConn ends a connection with what runs on it.
func (w *world) endConn(t *simTarget, id route.ConnID, refused bool) {
	if !t.conns[id] {
		return
	}
	delete(t.conns, id)
	for _, r := range t.sorted() {
		if r.a.Conn == id {
			w.endRun(t, r, &route.AttemptDone{Attempt: r.a.Attempt, Result: route.ResultConnLost}, 0)
		}
	}
	w.at(2*simDelay, func() route.Event {
		w.untaken(t, id)
		return route.ConnClosed{Target: t.address, Conn: id, Refused: refused}
	})
}

// untaken ends attempts that were started on a connection which had ended.
func (w *world) untaken(t *simTarget, id route.ConnID) {
	for _, r := range t.sorted() {
		if r.a.Conn == id {
			r.ended = true
			delete(t.running, r.a.Attempt)
			w.subs[r.a.Sub.ID].ran--
			w.step(&route.AttemptDone{Attempt: r.a.Attempt, Result: route.ResultNotWritten})
		}
	}
}

func (t *simTarget) sorted() []*simRun {
	var runs []*simRun
	for _, r := range t.running {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *simRun) int { return cmp.Compare(a.a.Attempt.Seq, b.a.Attempt.Seq) })
	return runs
}

func (w *world) endRun(t *simTarget, r *simRun, done *route.AttemptDone, after time.Duration) {
	if r.ended {
		return
	}
	r.ended = true
	delete(t.running, r.a.Attempt)
	w.at(after+simDelay, func() route.Event { return done })
}

// attempt checks what no attempt may violate and starts it at the model.
func (w *world) attempt(a route.StartAttempt) {
	t, s := w.targets[a.Target], w.subs[a.Sub.ID]
	w.checkStart(t, s, a)
	s.starts = append(s.starts, a.Target)
	r := &simRun{a: a}
	t.running[a.Attempt] = r
	t.max = max(t.max, len(t.running))
	w.at(simDelay, func() route.Event { w.receive(t, r); return nil })
}

func (w *world) checkStart(t *simTarget, s *simSub, a route.StartAttempt) {
	switch {
	case len(t.running) >= w.assign.Share.Slots:
		w.t.Fatalf("attempt at %s above the share of %d", t.address, w.assign.Share.Slots)
	case !w.now.Before(w.assign.Share.Expires):
		w.t.Fatalf("attempt at %s after the share expired", t.address)
	case !w.listed(t):
		w.t.Fatalf("attempt at %s, which left the text or whose zone is out", t.address)
	case !t.known.read || t.known.status.State == route.TargetDraining || t.known.status.PartitionMap != w.assign.Service.PartitionMap:
		w.t.Fatalf("attempt at %s, whose last status is %+v", t.address, t.known.status)
	case !slices.Contains(t.known.status.IndexVersions, a.Sub.IndexVersion):
		w.t.Fatalf("attempt at %s, which lacks version %d", t.address, a.Sub.IndexVersion)
	case !s.Idempotent && s.ran > 0:
		w.t.Fatalf("second attempt of a non-idempotent request that may have run")
	case len(s.replies) > 0 || s.cancelled:
		w.t.Fatalf("attempt of a request that has ended")
	case !w.now.Before(s.Deadline):
		w.t.Fatalf("attempt after the deadline")
	}
	if allowed := w.allowed[t.address]; len(t.running) >= allowed {
		w.t.Fatalf("attempt at %s above the allowance of %d", t.address, allowed)
	}
	s.ran++ // until the target says otherwise
}

func (w *world) listed(t *simTarget) bool {
	for _, tc := range w.assign.Shard.Targets {
		if tc.Address == t.address {
			return !w.assign.ZonesOut[tc.Zone]
		}
	}
	return false
}

func (w *world) receive(t *simTarget, r *simRun) {
	if r.ended || t.mute && r.a.Conn < t.muteFrom {
		return
	}
	sub := w.subs[r.a.Sub.ID]
	done := &route.AttemptDone{Attempt: r.a.Attempt, BootID: fmt.Sprint(t.address, "-", t.boot)}
	switch {
	case !t.conns[r.a.Conn]:
		return
	case t.shed || t.state == route.TargetDraining:
		sub.ran--
		done.Result = route.ResultShed
		w.endRun(t, r, done, 0)
		return
	case !slices.Contains(t.versions, r.a.Sub.IndexVersion) || t.mapID != r.a.Sub.PartitionMap:
		sub.ran--
		done.Result = route.ResultVersionGone
		w.endRun(t, r, done, 0)
		return
	case t.crashOn[r.a.Sub.Fingerprint]:
		w.crash(t, 50*time.Millisecond)
		return
	}
	t.ran++
	w.at(t.service(t.ran), func() route.Event { w.complete(t, r, done); return nil })
}

func (w *world) complete(t *simTarget, r *simRun, done *route.AttemptDone) {
	done.Result, done.IndexVersion, done.Body = route.ResultOK, r.a.Sub.IndexVersion, []byte(t.address)
	if t.answers != 0 {
		done.IndexVersion = t.answers
	}
	switch {
	case r.ended:
		return
	case t.fails:
		done.Result = route.ResultFailed
	case t.crossed > 0:
		t.crossed--
		done.Result, done.BootID = route.ResultMismatch, ""
	case t.cut > 0:
		t.cut--
		done.Result = route.ResultAnswerLost
		defer w.endConn(t, r.a.Conn, false)
	}
	w.endRun(t, r, done, 0)
}

func (w *world) cancelAttempt(a route.CancelAttempt) {
	t := w.targets[a.Target]
	w.at(simCancelWait, func() route.Event {
		r := t.running[a.Attempt]
		if r != nil && !t.keepsOn && !(t.mute && r.a.Conn < t.muteFrom) {
			w.endRun(t, r, &route.AttemptDone{Attempt: a.Attempt, Result: route.ResultCancelled}, 0)
		}
		return nil
	})
}

// crash breaks all connections; the target is back after a while with another boot id.
func (w *world) crash(t *simTarget, down time.Duration) {
	t.up = false
	ids := make([]route.ConnID, 0, len(t.conns))
	for id := range t.conns {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		w.endConn(t, id, false)
	}
	w.at(down, func() route.Event { t.up = true; t.boot++; return nil })
}
