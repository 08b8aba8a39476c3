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

const ingressInboxSize = 4096 // messages; a caller's request that finds no room is refused as overloaded

// ingressMsg is a message to the ingress task.
type ingressMsg interface{ ingressMsg() }

// callMsg brings a caller's request; the ingress task answers once on reply.
type callMsg struct {
	admit      admit.Request
	start      query.Start // ID and Workspace are set by the ingress task
	reply      chan<- query.Finish
	started    chan<- query.ID // gets the id of an admitted query; capacity one
	callerGone <-chan struct{} // closed when the caller disconnects

	arrived time.Time // set by the ingress task
}

func (m *callMsg) isCallerGone() bool {
	select {
	case <-m.callerGone:
		return true
	default:
		return false
	}
}

// callerGoneMsg reports that the caller of an admitted query disconnected.
type callerGoneMsg struct{ id query.ID }

// subReplyMsg brings the reply of an owner to a sub-request.
type subReplyMsg struct{ reply scatter.SubReply }

// subFailedMsg reports that a sub-request did not reach its owner.
type subFailedMsg struct {
	id      scatter.SubID
	failure sendFailure
}

// claimedMsg brings the result of a claim; a nil refusal grants it.
type claimedMsg struct {
	id           query.ID
	refusal      *outcome.Refusal
	unanswerable bool // the holder cannot reach this VM with its answer
}

// ingressDumpMsg asks for the state of the task.
type ingressDumpMsg struct{ reply chan<- IngressDump }

func (callMsg) ingressMsg()        {}
func (callerGoneMsg) ingressMsg()  {}
func (subReplyMsg) ingressMsg()    {}
func (subFailedMsg) ingressMsg()   {}
func (claimedMsg) ingressMsg()     {}
func (ingressDumpMsg) ingressMsg() {}

// IngressDump is the state of the ingress task.
type IngressDump struct {
	QueriesInFlight  int                `json:"queries_in_flight"`
	OfferedPerSecond map[string]float64 `json:"offered_per_second"` // by workspace, refused requests included
	AnsweredRatio    map[string]float64 `json:"answered_ratio"`     // by workspace, over the last minute
}

// runningCall is an admitted request whose query runs.
type runningCall struct {
	reply     chan<- query.Finish
	started   time.Time
	service   string
	workspace string
}

// ingressTask owns the admission of callers' requests and the queries that this VM
// fans out to the owners of shards.
type ingressTask struct {
	ctx           context.Context
	self          fleet.VMID
	log           zerolog.Logger
	admitter      *admit.Admitter
	machine       *query.Machine
	view          *fleet.View
	calls         map[query.ID]runningCall
	waiting       map[query.ID]callMsg // requests that wait for their workspace's rate
	metrics       *metrics.Registry
	lastID        query.ID
	control       chan<- controlMsg
	owner         chan<- ownerMsg
	ledger        chan<- ledgerMsg
	peers         chan<- peerMsg
	pendingEvents []query.Event // events of the current step that the state machine has yet to handle
	inbox         chan ingressMsg
	views         chan *fleet.View
}

func newIngressTask(ctx context.Context, self fleet.VMID, log zerolog.Logger) *ingressTask {
	return &ingressTask{
		ctx: ctx, self: self, log: log,
		admitter: admit.New(), machine: query.New(self),
		calls: make(map[query.ID]runningCall), waiting: make(map[query.ID]callMsg),
		inbox: make(chan ingressMsg, ingressInboxSize),
		views: make(chan *fleet.View, 1),
	}
}

func (t *ingressTask) run() { loop(t.ctx, t.inbox, t.views, t) }

func (t *ingressTask) next() time.Time {
	next, ready := t.machine.Next(), t.admitter.NextReady()
	if next.IsZero() || !ready.IsZero() && ready.Before(next) {
		return ready
	}
	return next
}

func (t *ingressTask) tick(now time.Time) {
	t.admitReady(now)
	t.step(now, query.Tick{})
}

func (t *ingressTask) setView(now time.Time, v *fleet.View) {
	t.view = v
	t.admitter.SetView(now, v)
	t.admitReady(now)
	t.step(now, query.ViewChanged{View: v})
	reportApplied(t.control, ingressSubscriber, v)
	demand := control.Demand{RatePerSecond: t.admitter.DemandPerSecond(now)}
	trySend(t.control, controlMsg(eventMsg{event: demand}))
	t.metrics.Refresh(now)
}

func (t *ingressTask) handle(now time.Time, msg ingressMsg) {
	switch msg := msg.(type) {
	case callMsg:
		t.offer(now, msg)
	case callerGoneMsg:
		t.step(now, query.CallerGone{ID: msg.id})
	case subReplyMsg:
		t.step(now, &query.Replied{Reply: msg.reply})
	case subFailedMsg:
		t.step(now, query.SendFailed{Sub: msg.id, NotWritten: msg.failure != maybeDelivered, NoReturnPath: msg.failure == senderUnreachable})
	case claimedMsg:
		t.step(now, query.Claimed{ID: msg.id, Refusal: msg.refusal, NoReturnPath: msg.unanswerable})
	case ingressDumpMsg:
		msg.reply <- IngressDump{
			QueriesInFlight: len(t.calls) + len(t.waiting), OfferedPerSecond: t.admitter.DemandPerSecond(now), AnsweredRatio: t.metrics.AnsweredRatios(),
		}
	}
}

// offer gives a request to admission; it starts, is refused or waits for its rate.
func (t *ingressTask) offer(now time.Time, msg callMsg) {
	if msg.isCallerGone() {
		msg.reply <- query.Finish{Refusal: outcome.New(outcome.CodeCallerGone, outcome.NotRun, "the caller went away")}
		return
	}
	t.lastID++
	msg.start.ID = t.lastID
	msg.arrived = now
	if decision, decided := t.admitter.Offer(now, uint64(t.lastID), msg.admit); decided {
		t.applyDecision(now, msg, decision)
		return
	}
	t.waiting[t.lastID] = msg
}

// admitReady applies the decisions on requests that waited for their rate.
func (t *ingressTask) admitReady(now time.Time) {
	for _, decision := range t.admitter.Ready(now) {
		msg := t.waiting[query.ID(decision.ID)]
		delete(t.waiting, query.ID(decision.ID))
		if decision.Refusal == nil && msg.isCallerGone() {
			decision.Refusal = outcome.New(outcome.CodeCallerGone, outcome.NotRun, "the caller went away")
		}
		t.applyDecision(now, msg, decision)
	}
}

// applyDecision answers a refused request and starts the query of an admitted one.
func (t *ingressTask) applyDecision(now time.Time, msg callMsg, decision admit.Decision) {
	if decision.Refusal != nil {
		msg.reply <- query.Finish{Refusal: decision.Refusal}
		t.metrics.Record(now, metrics.Query{Service: msg.start.Service, Workspace: decision.Workspace, Refusal: decision.Refusal})
		return
	}
	service, _ := t.view.Config.Service(msg.start.Service)
	start := msg.start
	start.Workspace = decision.Workspace
	start.MinCoverage = max(start.MinCoverage, service.MinCoverage)
	if limit := msg.arrived.Add(service.Deadline); start.Deadline.After(limit) {
		start.Deadline = limit
	}
	t.calls[start.ID] = runningCall{reply: msg.reply, started: msg.arrived, service: start.Service, workspace: decision.Workspace}
	msg.started <- start.ID
	t.step(now, start)
}

// step passes an event to the state machine and executes the actions that it
// returns. An action that finds another task's inbox full comes back to the state
// machine as an event of the same step, not through this task's inbox, which may be full too.
func (t *ingressTask) step(now time.Time, ev query.Event) {
	t.pendingEvents = append(t.pendingEvents[:0], ev)
	for i := 0; i < len(t.pendingEvents); i++ {
		for _, a := range t.machine.Step(now, t.pendingEvents[i]) {
			t.execute(now, a)
		}
	}
	clear(t.pendingEvents)
}

func (t *ingressTask) execute(now time.Time, a query.Action) {
	switch a := a.(type) {
	case *query.SendSub:
		t.sendSub(a)
	case query.CancelSub:
		if a.Owner == t.self {
			trySend(t.owner, ownerMsg(cancelMsg{id: a.ID}))
			return
		}
		trySend(t.peers, peerMsg(cancelSubMsg{to: a.Owner, id: a.ID}))
	case query.Claim:
		t.sendClaim(a)
	case query.Settle:
		if a.Holder == t.self {
			trySend(t.ledger, ledgerMsg(settleMsg{query: a.ID, request: a.RequestID, outcome: a.Outcome}))
			return
		}
		trySend(t.peers, peerMsg(sendSettleMsg{to: a.Holder, query: a.ID, request: a.RequestID, outcome: a.Outcome}))
	case query.ReportPoison:
		t.log.Warn().Str("event", "request_poisoned").Hex("fingerprint", a.Fingerprint[:]).Time("until", a.Until).
			Msg("a request crashed targets and is blocked")
		trySend(t.control, controlMsg(eventMsg{event: control.PoisonReported{Fingerprint: a.Fingerprint, Until: a.Until}}))
	case query.Finish:
		t.finish(now, a)
	}
}

// finish answers the caller and records the query in the metrics.
func (t *ingressTask) finish(now time.Time, f query.Finish) {
	c, ok := t.calls[f.ID]
	if !ok {
		return
	}
	delete(t.calls, f.ID)
	c.reply <- f
	q := metrics.Query{
		Service: c.service, Workspace: c.workspace, Duration: now.Sub(c.started),
		Shards: f.Stats.Shards, Attempts: f.Stats.Attempts, Hedges: f.Stats.Hedges, Refusal: f.Refusal,
	}
	if f.Answer != nil {
		q.Coverage = f.Answer.Coverage()
	}
	t.metrics.Record(now, q)
}

// sendSub passes a sub-request to the owner task of this VM or to the outbox. It never
// waits: when the inbox is full, the state machine gets the sub-request back as not written.
func (t *ingressTask) sendSub(a *query.SendSub) {
	sent := false
	if a.Owner == t.self {
		sent = trySend(t.owner, ownerMsg(submitMsg{sub: a.Sub}))
	} else {
		sent = trySend(t.peers, peerMsg(sendSubMsg{to: a.Owner, sub: a.Sub}))
	}
	if !sent {
		t.pendingEvents = append(t.pendingEvents, query.SendFailed{Sub: a.Sub.ID, NotWritten: true})
	}
}

// sendClaim passes a claim to the ledger task of this VM or to the outbox. When the
// inbox is full, the state machine gets a refusal.
func (t *ingressTask) sendClaim(a query.Claim) {
	sent := false
	if a.Holder == t.self {
		sent = trySend(t.ledger, ledgerMsg(claimMsg{query: a.ID, request: a.RequestID}))
	} else {
		sent = trySend(t.peers, peerMsg(sendClaimMsg{to: a.Holder, query: a.ID, request: a.RequestID}))
	}
	if !sent {
		refusal := outcome.New(outcome.CodeConnectionLost, outcome.NotRun, "the claim could not be sent")
		t.pendingEvents = append(t.pendingEvents, query.Claimed{ID: a.ID, Refusal: refusal})
	}
}
