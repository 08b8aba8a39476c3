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
	simPartitionMap  = 1
	simVersion       = 7
	simServiceTime   = 5 * time.Millisecond
	simConnectDelay  = 6 * time.Millisecond
	simMessageDelay  = 300 * time.Microsecond // of a message between owner and target
	simProbeInterval = 500 * time.Millisecond
	simCancelDelay   = time.Millisecond
	simMaxTicks      = 100 // ticks at one time; more mean a busy loop
)

// simulation drives a Shard in virtual time against model targets and checks each
// action against the invariants of the Shard.
type simulation struct {
	t           testingT
	shard       *route.Shard // under test
	now         time.Time
	start       time.Time
	random      *rand.Rand
	assign      route.Assignment
	targets     map[string]*simTarget
	events      []simEvent
	eventSeq    int
	subSeq      uint64
	subs        map[scatter.SubID]*simSub
	poisoned    []fleet.Fingerprint // reported by the Shard
	lastStepAt  time.Time
	ticksAtOnce int            // Ticks at lastStepAt
	allowances  map[string]int // of each target, in the current step
}

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// simEvent is something that happens at a virtual time.
type simEvent struct {
	at   time.Time
	seq  int                // order of events at the same time
	fire func() route.Event // returns the event for the Shard, or nil
}

// simSub is the record of one sub-request.
type simSub struct {
	scatter.SubRequest
	sentAt     time.Time
	replies    []scatter.SubReply
	answeredAt time.Time
	cancelled  bool
	mayHaveRun int      // attempts that a target may have executed
	startedOn  []string // targets of its attempts
}

// simTarget is a model of one target, with the faults that it can show.
type simTarget struct {
	address           string
	shard             string
	boot              int
	state             route.TargetState
	versions          []uint64
	partitionMap      uint64
	load              float64
	serviceTime       func(n int) time.Duration
	up                bool // accepts connections and answers status reads
	statusHangs       bool // status reads time out
	staleBoot         int  // boot number that status reads show, when not zero
	shed              bool
	fails             bool
	crashOn           map[fleet.Fingerprint]bool
	mute              bool // nothing is answered on connections with an id below muteBelow
	muteBelow         route.ConnID
	mismatchedAnswers int    // how many answers carry another attempt id
	truncatedAnswers  int    // how many answers end inside the body
	ignoresCancel     bool   // ignores cancellations
	answerVersion     uint64 // index version of the answers, when not zero

	reported    simReport // last status that the Shard read
	running     map[route.AttemptID]*simRun
	conns       map[route.ConnID]bool
	maxRunning  int
	maxConns    int
	executed    int // attempts that it began to run
	connsOpened int
}

// simReport is what the Shard can know of a target.
type simReport struct {
	status  route.TargetStatus
	read    bool // status has been read
	watched bool // between WatchTarget and UnwatchTarget
}

// simRun is one attempt on a model target.
type simRun struct {
	attempt route.StartAttempt
	ended   bool
}

func newSimulation(t testingT, replicas int) *simulation {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	id := fleet.ShardID{Service: "stock", Shard: "g00"}
	sim := &simulation{
		t: t, shard: route.NewShard(id, 1, rand.New(rand.NewSource(1))), now: start, start: start, random: rand.New(rand.NewSource(1)),
		targets: map[string]*simTarget{}, subs: map[scatter.SubID]*simSub{}, allowances: map[string]int{},
	}
	sim.assign = route.Assignment{
		Service: config.Service{
			Name: "stock", PartitionMap: simPartitionMap, Slots: 4, Connections: 24, ColdSlots: 2,
			ColdRamp: 10 * time.Second, HedgeBudget: 0.05,
		},
		Shard: config.Shard{Name: "g00"}, ZonesOut: map[string]bool{}, PoisonedUntil: map[fleet.Fingerprint]time.Time{},
		Share:   fleet.ShardShare{Shard: id, Slots: 4, Connections: 24, OwnerCount: 1, Expires: start.Add(time.Hour)},
		Weights: map[string]int{},
	}
	for i := range replicas {
		sim.addTarget(i)
	}
	return sim
}

func (sim *simulation) addTarget(i int) *simTarget {
	address := fmt.Sprintf("t%d", i)
	t := &simTarget{
		address: address, shard: "g00", boot: 1, state: route.TargetReady, versions: []uint64{simVersion}, partitionMap: simPartitionMap,
		up: true, serviceTime: func(int) time.Duration { return simServiceTime },
		crashOn: map[fleet.Fingerprint]bool{}, running: map[route.AttemptID]*simRun{}, conns: map[route.ConnID]bool{},
	}
	sim.targets[address] = t
	zone := string(rune('a' + i%3))
	sim.assign.Shard.Targets = append(slices.Clone(sim.assign.Shard.Targets), config.Target{Address: address, Zone: zone})
	return t
}

func (sim *simulation) target(i int) *simTarget { return sim.targets[fmt.Sprintf("t%d", i)] }

// begin assigns the shard and runs until its connections are ready.
func (sim *simulation) begin() {
	sim.reassign()
	sim.run(time.Second)
}

func (sim *simulation) reassign() {
	a := sim.assign
	a.ZonesOut = cloneMap(a.ZonesOut)
	sim.step(a)
}

func cloneMap(m map[string]bool) map[string]bool {
	c := make(map[string]bool, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

// schedule runs fire after a delay; events at the same time keep their order.
func (sim *simulation) schedule(d time.Duration, fire func() route.Event) {
	sim.eventSeq++
	e := simEvent{at: sim.now.Add(d), seq: sim.eventSeq, fire: fire}
	i, _ := slices.BinarySearchFunc(sim.events, e, func(a, b simEvent) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.seq, b.seq))
	})
	sim.events = slices.Insert(sim.events, i, e)
}

// run advances virtual time by d and handles all events and timers that are due.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for {
		due := end
		if len(sim.events) > 0 && sim.events[0].at.Before(due) {
			due = sim.events[0].at
		}
		if next := sim.shard.Next(); !next.IsZero() && next.Before(due) {
			sim.now = maxTime(sim.now, next)
			sim.step(route.Tick{})
			continue
		}
		sim.now = maxTime(sim.now, due)
		if due.Equal(end) {
			return
		}
		e := sim.events[0]
		sim.events = sim.events[1:]
		if ev := e.fire(); ev != nil {
			sim.step(ev)
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (sim *simulation) step(ev route.Event) {
	if sim.now.Equal(sim.lastStepAt) {
		if _, tick := ev.(route.Tick); tick {
			sim.ticksAtOnce++
		}
	} else {
		sim.lastStepAt, sim.ticksAtOnce = sim.now, 0
	}
	if sim.ticksAtOnce > simMaxTicks {
		sim.t.Fatalf("Next returns the same time after ticks")
	}
	clear(sim.allowances)
	before := sim.shard.Dump().Targets
	actions := sim.shard.Step(sim.now, ev)
	for _, d := range sim.shard.Dump().Targets {
		sim.allowances[d.Address] = d.Allowance
	}
	if slices.ContainsFunc(actions, isCancel) {
		// A cancellation can show that a target is slow. That reduces its allowance
		// only after the attempts that were started earlier in the step.
		for _, d := range before {
			sim.allowances[d.Address] = max(sim.allowances[d.Address], d.Allowance)
		}
	}
	for _, a := range actions {
		sim.perform(a)
	}
}

func isCancel(a route.Action) bool {
	_, ok := a.(*route.CancelAttempt)
	return ok
}

func (sim *simulation) perform(a route.Action) {
	switch a := a.(type) {
	case *route.StartAttempt:
		sim.startAttempt(*a)
	case *route.CancelAttempt:
		sim.cancelAttempt(*a)
	case *route.Respond:
		sim.replied(a.Reply)
	case route.OpenConn:
		sim.openConn(a)
	case route.CloseConn:
		t := sim.targets[a.Target]
		sim.schedule(simMessageDelay, func() route.Event { sim.endConn(t, a.Conn, false); return nil })
	case route.WatchTarget:
		sim.targets[a.Target].reported.watched = true
		sim.probeLoop(sim.targets[a.Target])
	case route.ProbeNow:
		sim.probe(sim.targets[a.Target])
	case route.UnwatchTarget:
		sim.targets[a.Target].reported = simReport{}
	case route.ReportPoison:
		sim.poisoned = append(sim.poisoned, a.Fingerprint)
	}
}

func (sim *simulation) probeLoop(t *simTarget) {
	if !t.reported.watched {
		return
	}
	sim.probe(t)
	sim.schedule(simProbeInterval, func() route.Event { sim.probeLoop(t); return nil })
}

func (sim *simulation) probe(t *simTarget) {
	began := sim.now
	switch {
	case !t.up:
		sim.schedule(simMessageDelay, func() route.Event {
			return route.ProbeResult{Target: t.address, Began: began, Failed: true, Refused: true}
		})
	case t.statusHangs:
		sim.schedule(300*time.Millisecond, func() route.Event { return route.ProbeResult{Target: t.address, Began: began, Failed: true} })
	default:
		sim.schedule(2*simMessageDelay, func() route.Event {
			if !t.up || !t.reported.watched {
				return route.ProbeResult{Target: t.address, Began: began, Failed: true, Refused: !t.up}
			}
			t.reported.status, t.reported.read = t.status(), true
			return route.ProbeResult{Target: t.address, Began: began, Status: t.reported.status}
		})
	}
}

func (t *simTarget) status() route.TargetStatus {
	boot := t.boot
	if t.staleBoot != 0 {
		boot = t.staleBoot
	}
	return route.TargetStatus{
		State: t.state, BootID: fmt.Sprint(t.address, "-", boot), Load: t.load,
		IndexVersions: slices.Clone(t.versions), PartitionMap: t.partitionMap, Shard: t.shard,
	}
}

func (sim *simulation) openConn(a route.OpenConn) {
	t := sim.targets[a.Target]
	if !t.up {
		sim.schedule(simMessageDelay, func() route.Event { return route.ConnClosed{Target: a.Target, Conn: a.Conn, Refused: true} })
		return
	}
	t.conns[a.Conn] = true
	t.connsOpened++
	t.maxConns = max(t.maxConns, len(t.conns))
	if limit := sim.assign.Share.Connections; len(t.conns) > limit {
		sim.t.Fatalf("%d connections to %s, the share is %d", len(t.conns), a.Target, limit)
	}
	sim.schedule(simConnectDelay, func() route.Event { return route.ConnOpened(a) })
}

// endConn ends a connection and the attempts that run on it.
func (sim *simulation) endConn(t *simTarget, id route.ConnID, refused bool) {
	if !t.conns[id] {
		return
	}
	delete(t.conns, id)
	for _, r := range t.sortedRuns() {
		if r.attempt.Conn == id {
			sim.endRun(t, r, &route.AttemptDone{Attempt: r.attempt.Attempt, Result: route.ResultConnLost}, 0)
		}
	}
	sim.schedule(2*simMessageDelay, func() route.Event {
		sim.failUnwritten(t, id)
		return route.ConnClosed{Target: t.address, Conn: id, Refused: refused}
	})
}

// failUnwritten fails the attempts that were started on a connection after its end.
func (sim *simulation) failUnwritten(t *simTarget, id route.ConnID) {
	for _, r := range t.sortedRuns() {
		if r.attempt.Conn == id {
			r.ended = true
			delete(t.running, r.attempt.Attempt)
			sim.subs[r.attempt.Sub.ID].mayHaveRun--
			sim.step(&route.AttemptDone{Attempt: r.attempt.Attempt, Result: route.ResultNotWritten})
		}
	}
}

func (t *simTarget) sortedRuns() []*simRun {
	var runs []*simRun
	for _, r := range t.running {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *simRun) int { return cmp.Compare(a.attempt.Attempt.Seq, b.attempt.Attempt.Seq) })
	return runs
}

func (sim *simulation) endRun(t *simTarget, r *simRun, done *route.AttemptDone, after time.Duration) {
	if r.ended {
		return
	}
	r.ended = true
	delete(t.running, r.attempt.Attempt)
	sim.schedule(after+simMessageDelay, func() route.Event { return done })
}

// startAttempt checks the invariants of an attempt and starts it on the model.
func (sim *simulation) startAttempt(a route.StartAttempt) {
	t, s := sim.targets[a.Target], sim.subs[a.Sub.ID]
	sim.checkStart(t, s, a)
	s.startedOn = append(s.startedOn, a.Target)
	r := &simRun{attempt: a}
	t.running[a.Attempt] = r
	t.maxRunning = max(t.maxRunning, len(t.running))
	sim.schedule(simMessageDelay, func() route.Event { sim.receive(t, r); return nil })
}

// checkStart fails the test if an attempt must not be started now.
func (sim *simulation) checkStart(t *simTarget, s *simSub, a route.StartAttempt) {
	switch {
	case len(t.running) >= sim.assign.Share.Slots:
		sim.t.Fatalf("attempt at %s above the share of %d", t.address, sim.assign.Share.Slots)
	case !sim.now.Before(sim.assign.Share.Expires):
		sim.t.Fatalf("attempt at %s after the share expired", t.address)
	case !sim.inService(t):
		sim.t.Fatalf("attempt at %s, which is not configured or whose zone is out", t.address)
	case !t.reported.read || t.reported.status.State == route.TargetDraining || t.reported.status.PartitionMap != sim.assign.Service.PartitionMap:
		sim.t.Fatalf("attempt at %s, whose last status is %+v", t.address, t.reported.status)
	case !slices.Contains(t.reported.status.IndexVersions, a.Sub.IndexVersion):
		sim.t.Fatalf("attempt at %s, which lacks version %d", t.address, a.Sub.IndexVersion)
	case !s.Idempotent && s.mayHaveRun > 0:
		sim.t.Fatalf("second attempt of a non-idempotent request that may have run")
	case len(s.replies) > 0 || s.cancelled:
		sim.t.Fatalf("attempt of a request that has ended")
	case !sim.now.Before(s.Deadline):
		sim.t.Fatalf("attempt after the deadline")
	}
	if allowed := sim.allowances[t.address]; len(t.running) >= allowed {
		sim.t.Fatalf("attempt at %s above the allowance of %d", t.address, allowed)
	}
	s.mayHaveRun++ // until the target reports that it did not run it
}

func (sim *simulation) inService(t *simTarget) bool {
	for _, tc := range sim.assign.Shard.Targets {
		if tc.Address == t.address {
			return !sim.assign.ZonesOut[tc.Zone]
		}
	}
	return false
}

// receive models how a target accepts, refuses or ignores an attempt.
func (sim *simulation) receive(t *simTarget, r *simRun) {
	if r.ended || t.mute && r.attempt.Conn < t.muteBelow {
		return
	}
	sub := sim.subs[r.attempt.Sub.ID]
	done := &route.AttemptDone{Attempt: r.attempt.Attempt, BootID: fmt.Sprint(t.address, "-", t.boot)}
	switch {
	case !t.conns[r.attempt.Conn]:
		return
	case t.shed || t.state == route.TargetDraining:
		sub.mayHaveRun--
		done.Result = route.ResultShed
		sim.endRun(t, r, done, 0)
		return
	case !slices.Contains(t.versions, r.attempt.Sub.IndexVersion) || t.partitionMap != r.attempt.Sub.PartitionMap:
		sub.mayHaveRun--
		done.Result = route.ResultVersionGone
		sim.endRun(t, r, done, 0)
		return
	case t.crashOn[r.attempt.Sub.Fingerprint]:
		sim.crash(t, 50*time.Millisecond)
		return
	}
	t.executed++
	sim.schedule(t.serviceTime(t.executed), func() route.Event { sim.complete(t, r, done); return nil })
}

// complete models how a target answers an attempt that it ran.
func (sim *simulation) complete(t *simTarget, r *simRun, done *route.AttemptDone) {
	done.Result, done.IndexVersion, done.Body = route.ResultOK, r.attempt.Sub.IndexVersion, []byte(t.address)
	if t.answerVersion != 0 {
		done.IndexVersion = t.answerVersion
	}
	switch {
	case r.ended:
		return
	case t.fails:
		done.Result = route.ResultFailed
	case t.mismatchedAnswers > 0:
		t.mismatchedAnswers--
		done.Result, done.BootID = route.ResultMismatch, ""
	case t.truncatedAnswers > 0:
		t.truncatedAnswers--
		done.Result = route.ResultAnswerLost
		defer sim.endConn(t, r.attempt.Conn, false)
	}
	sim.endRun(t, r, done, 0)
}

func (sim *simulation) cancelAttempt(a route.CancelAttempt) {
	t := sim.targets[a.Target]
	sim.schedule(simCancelDelay, func() route.Event {
		r := t.running[a.Attempt]
		if r != nil && !t.ignoresCancel && !(t.mute && r.attempt.Conn < t.muteBelow) {
			sim.endRun(t, r, &route.AttemptDone{Attempt: a.Attempt, Result: route.ResultCancelled}, 0)
		}
		return nil
	})
}

// crash breaks all connections. The target is back after the given time with
// another boot id.
func (sim *simulation) crash(t *simTarget, down time.Duration) {
	t.up = false
	ids := make([]route.ConnID, 0, len(t.conns))
	for id := range t.conns {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		sim.endConn(t, id, false)
	}
	sim.schedule(down, func() route.Event { t.up = true; t.boot++; return nil })
}
