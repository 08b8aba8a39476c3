package daemon

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/core/admit"
	"github.com/anvilfork/anvilfork/core/control"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/query"
	"github.com/anvilfork/anvilfork/core/scatter"
	"github.com/anvilfork/anvilfork/metrics"
)

const entryInboxSize = 4096 // messages; a caller's request that finds no room is refused as overloaded

// entryMsg is a message to the entry task.
type entryMsg interface{ entryMsg() }

// callMsg brings a caller's request; the entry task answers on reply.
type callMsg struct {
	admit admit.Request
	start query.Start // ID and Workspace are set by the entry task
	reply chan<- query.Finish
	began chan<- query.ID
	gone  <-chan struct{} // closed when the caller went away

	arrived time.Time // set by the entry task
}

func (m *callMsg) isGone() bool {
	select {
	case <-m.gone:
		return true
	default:
		return false
	}
}

type callerGoneMsg struct{ id query.ID }
type subReplyMsg struct{ reply scatter.SubReply }
type subFailedMsg struct {
	id      scatter.SubID
	failure sendFailure
}
type claimedMsg struct {
	id           query.ID
	refusal      *outcome.Refusal
	unanswerable bool
}
type entryDumpMsg struct{ reply chan<- EntryDump }

func (callMsg) entryMsg()       {}
func (callerGoneMsg) entryMsg() {}
func (subReplyMsg) entryMsg()   {}
func (subFailedMsg) entryMsg()  {}
func (claimedMsg) entryMsg()    {}
func (entryDumpMsg) entryMsg()  {}

// EntryDump is the state of the entry task.
type EntryDump struct {
	QueriesInFlight  int                `json:"queries_in_flight"`
	OfferedPerSecond map[string]float64 `json:"offered_per_second"` // by workspace, refused requests included
	AnsweredRatio    map[string]float64 `json:"answered_ratio"`     // by workspace, over the last minute
}

// runningCall is a caller's request that was admitted.
type runningCall struct {
	reply     chan<- query.Finish
	began     time.Time
	service   string
	workspace string
}

// entryTask owns admission and the queries of this VM.
type entryTask struct {
	ctx     context.Context
	self    fleet.VMID
	log     zerolog.Logger
	admit   *admit.Admitter
	machine *query.Machine
	view    *fleet.View
	calls   map[query.ID]runningCall
	waiting map[query.ID]callMsg // requests that wait for their rate
	metrics *metrics.Registry
	seq     query.ID
	control chan<- controlMsg
	home    chan<- homeMsg
	once    chan<- onceMsg
	peers   chan<- peerMsg
	unsent  []query.Event // what could not be handed over during the current step
	inbox   chan entryMsg
	views   chan *fleet.View
}

func newEntryTask(ctx context.Context, self fleet.VMID, log zerolog.Logger) *entryTask {
	return &entryTask{
		ctx: ctx, self: self, log: log,
		admit: admit.New(), machine: query.New(self),
		calls: make(map[query.ID]runningCall), waiting: make(map[query.ID]callMsg),
		inbox: make(chan entryMsg, entryInboxSize),
		views: make(chan *fleet.View, 1),
	}
}

func (t *entryTask) run() { loop(t.ctx, t.inbox, t.views, t) }

func (t *entryTask) next() time.Time {
	next, ready := t.machine.Next(), t.admit.NextReady()
	if next.IsZero() || !ready.IsZero() && ready.Before(next) {
		return ready
	}
	return next
}

func (t *entryTask) tick(now time.Time) {
	t.admitReady(now)
	t.step(now, query.Tick{})
}

func (t *entryTask) setView(now time.Time, v *fleet.View) {
	t.view = v
	t.admit.SetView(now, v)
	t.admitReady(now)
	t.step(now, query.ViewChanged{View: v})
	tellApplied(t.control, entryViewer, v)
	demand := control.Demand{RatePerSecond: t.admit.DemandPerSecond(now)}
	trySend(t.control, controlMsg(eventMsg{event: demand}))
	t.metrics.Refresh(now)
}

func (t *entryTask) handle(now time.Time, msg entryMsg) {
	switch msg := msg.(type) {
	case callMsg:
		t.call(now, msg)
	case callerGoneMsg:
		t.step(now, query.CallerGone{ID: msg.id})
	case subReplyMsg:
		t.step(now, &query.Replied{Reply: msg.reply})
	case subFailedMsg:
		t.step(now, query.SendFailed{Sub: msg.id, NotWritten: msg.failure != maybeDelivered, Unanswerable: msg.failure == senderUnreachable})
	case claimedMsg:
		t.step(now, query.Claimed{ID: msg.id, Refusal: msg.refusal, Unanswerable: msg.unanswerable})
	case entryDumpMsg:
		msg.reply <- EntryDump{
			QueriesInFlight: len(t.calls) + len(t.waiting), OfferedPerSecond: t.admit.DemandPerSecond(now), AnsweredRatio: t.metrics.AnsweredRatios(),
		}
	}
}

func (t *entryTask) call(now time.Time, msg callMsg) {
	if msg.isGone() {
		msg.reply <- query.Finish{Refusal: outcome.New(outcome.CodeCallerGone, outcome.NotRun, "the caller went away")}
		return
	}
	t.seq++
	msg.start.ID = t.seq
	msg.arrived = now
	if v, decided := t.admit.Offer(now, uint64(t.seq), msg.admit); decided {
		t.admitted(now, msg, v)
		return
	}
	t.waiting[t.seq] = msg
}

// admitReady starts or refuses requests that waited for their rate.
func (t *entryTask) admitReady(now time.Time) {
	for _, v := range t.admit.Ready(now) {
		msg := t.waiting[query.ID(v.ID)]
		delete(t.waiting, query.ID(v.ID))
		if v.Refusal == nil && msg.isGone() {
			v.Refusal = outcome.New(outcome.CodeCallerGone, outcome.NotRun, "the caller went away")
		}
		t.admitted(now, msg, v)
	}
}

func (t *entryTask) admitted(now time.Time, msg callMsg, v admit.Decision) {
	if v.Refusal != nil {
		msg.reply <- query.Finish{Refusal: v.Refusal}
		t.metrics.Record(now, metrics.Query{Service: msg.start.Service, Workspace: v.Workspace, Refusal: v.Refusal})
		return
	}
	service, _ := t.view.Config.Service(msg.start.Service)
	start := msg.start
	start.Workspace = v.Workspace
	start.MinCoverage = max(start.MinCoverage, service.MinCoverage)
	if limit := msg.arrived.Add(service.Deadline); start.Deadline.After(limit) {
		start.Deadline = limit
	}
	t.calls[start.ID] = runningCall{reply: msg.reply, began: msg.arrived, service: start.Service, workspace: v.Workspace}
	msg.began <- start.ID
	t.step(now, start)
}

// step carries out what the machine asks for. What finds no room at another
// task goes back to the machine after the step, never through the inbox, which
// may be full.
func (t *entryTask) step(now time.Time, ev query.Event) {
	t.unsent = append(t.unsent[:0], ev)
	for i := 0; i < len(t.unsent); i++ {
		for _, a := range t.machine.Step(now, t.unsent[i]) {
			t.do(now, a)
		}
	}
	clear(t.unsent)
}

func (t *entryTask) do(now time.Time, a query.Action) {
	switch a := a.(type) {
	case *query.SendSub:
		t.sendSub(a)
	case query.CancelSub:
		if a.Owner == t.self {
			trySend(t.home, homeMsg(cancelMsg{id: a.ID}))
			return
		}
		trySend(t.peers, peerMsg(cancelSubMsg{to: a.Owner, id: a.ID}))
	case query.Claim:
		t.claim(a)
	case query.Settle:
		if a.Holder == t.self {
			trySend(t.once, onceMsg(settleMsg{query: a.ID, request: a.Request, outcome: a.Outcome}))
			return
		}
		trySend(t.peers, peerMsg(sendSettleMsg{to: a.Holder, query: a.ID, request: a.Request, outcome: a.Outcome}))
	case query.ReportPoison:
		t.log.Warn().Str("event", "request_poisoned").Hex("fingerprint", a.Fingerprint[:]).Time("until", a.Until).
			Msg("a request crashed targets and is blocked")
		trySend(t.control, controlMsg(eventMsg{event: control.PoisonReported{Fingerprint: a.Fingerprint, Until: a.Until}}))
	case query.Finish:
		t.finish(now, a)
	}
}

func (t *entryTask) finish(now time.Time, f query.Finish) {
	c, ok := t.calls[f.ID]
	if !ok {
		return
	}
	delete(t.calls, f.ID)
	c.reply <- f
	q := metrics.Query{
		Service: c.service, Workspace: c.workspace, Took: now.Sub(c.began),
		Groups: f.Stats.Shards, Attempts: f.Stats.Attempts, Hedges: f.Stats.Hedges, Refusal: f.Refusal,
	}
	if f.Answer != nil {
		q.Coverage = f.Answer.Coverage()
	}
	t.metrics.Record(now, q)
}

// sendSub never waits for another task: a sub-request without room goes back to
// the machine as not written.
func (t *entryTask) sendSub(a *query.SendSub) {
	sent := false
	if a.Owner == t.self {
		sent = trySend(t.home, homeMsg(submitMsg{sub: a.Sub}))
	} else {
		sent = trySend(t.peers, peerMsg(sendSubMsg{to: a.Owner, sub: a.Sub}))
	}
	if !sent {
		t.unsent = append(t.unsent, query.SendFailed{Sub: a.Sub.ID, NotWritten: true})
	}
}

func (t *entryTask) claim(a query.Claim) {
	sent := false
	if a.Holder == t.self {
		sent = trySend(t.once, onceMsg(claimMsg{query: a.ID, request: a.Request}))
	} else {
		sent = trySend(t.peers, peerMsg(sendClaimMsg{to: a.Holder, query: a.ID, request: a.Request}))
	}
	if !sent {
		refusal := outcome.New(outcome.CodeConnectionLost, outcome.NotRun, "the claim could not be sent")
		t.unsent = append(t.unsent, query.Claimed{ID: a.ID, Refusal: refusal})
	}
}
