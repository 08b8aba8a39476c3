package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/core/callers"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/serve"
	"github.com/anvilfork/anvilfork/metrics"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

// engineInboxSize is the number of messages that may wait for the engine task.
// Senders block when the inbox is full, so that callers are slowed down and no
// message is lost.
const engineInboxSize = 4096

// engineMsg is a message to the engine task; one of its fields is set.
type engineMsg struct {
	event      serve.Event
	submitted  *submission
	callerGone *serve.Request // its caller has closed the connection
	relay      *relayMsg
}

// submission is a request and the channel for its answer.
type submission struct {
	request *serve.Request
	answer  chan<- *serve.Answer // has room for one
}

// engineTask owns the serve.Engine and the connections to targets.
type engineTask struct {
	clock        clock
	codec        TargetCodec
	log          zerolog.Logger
	metrics      *metrics.Registry
	engine       *serve.Engine
	inbox        chan engineMsg
	dumpRequests chan chan<- serve.Dump
	control      chan<- mesh.Event
	memory       chan<- memoryMsg

	relayClient *relayClient
	poolClient  *peerClient

	conns          map[serve.ConnID]*targetConn
	answers        map[serve.RequestID]chan<- *serve.Answer
	requests       map[serve.RequestID]*serve.Request
	outgoingRelays map[serve.RelayID]context.CancelFunc // to other VMs; cancels the calls of a relay
	relayedRuns    map[serve.RequestID]*relayedRun      // work that runs here for other VMs
	lineLimiter    lineLimiter
	lastID         serve.RequestID
}

func newEngineTask(c clock, s *Settings, codec TargetCodec, log zerolog.Logger, m *metrics.Registry) *engineTask {
	return &engineTask{
		clock: c, codec: codec, log: log, metrics: m,
		engine: serve.NewEngine(c.now(), serve.Settings{
			Zone: s.Zone, MaxKeyCopyAge: s.RevokeWithin * maxKeyAgePercent / 100, Retry: s.Retry, Quota: s.Quota,
			DrainWithin: s.DrainWithin,
		}),
		inbox:        make(chan engineMsg, engineInboxSize),
		dumpRequests: make(chan chan<- serve.Dump),
		conns:        make(map[serve.ConnID]*targetConn), answers: make(map[serve.RequestID]chan<- *serve.Answer),
		requests:       make(map[serve.RequestID]*serve.Request),
		outgoingRelays: make(map[serve.RelayID]context.CancelFunc), relayedRuns: make(map[serve.RequestID]*relayedRun),
	}
}

// maxKeyAgePercent is the largest age of the copy of the store with which keys
// are still accepted, as a percentage of the time within which a withdrawn key
// must stop working. The copy is never assumed to be newer than it is, so that
// the remainder is only a margin for clocks.
const maxKeyAgePercent = 88

func (t *engineTask) run(done <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case m := <-t.inbox:
			t.receive(m)
		case reply := <-t.dumpRequests:
			reply <- t.engine.Dump(t.clock.now())
		case <-timer.C:
			t.step(serve.Tick{})
		}
		timer.Reset(max(t.engine.Next().Sub(t.clock.now()), 0))
	}
}

// receive handles one message of the inbox.
func (t *engineTask) receive(m engineMsg) {
	switch {
	case m.submitted != nil:
		t.submit(m.submitted)
	case m.callerGone != nil:
		delete(t.answers, m.callerGone.ID)
		delete(t.requests, m.callerGone.ID)
		t.step(serve.Cancel{ID: m.callerGone.ID})
	case m.relay != nil:
		t.handleRelayCall(m.relay)
	default:
		if fleet, ok := m.event.(serve.FleetChanged); ok {
			t.metrics.RecordStore(storeMetrics(&fleet.View.Store))
			t.metrics.RecordBlocked(len(fleet.View.Blocked))
		}
		t.releaseFinishedRelay(m.event)
		t.step(m.event)
	}
}

// submit assigns a request its id on this VM and hands it to the engine.
func (t *engineTask) submit(s *submission) {
	t.lastID++
	s.request.ID = t.lastID
	t.answers[t.lastID] = s.answer
	t.requests[t.lastID] = s.request
	t.step(serve.Submit{Request: s.request})
}

// step hands an event to the engine and executes the actions that it returns.
func (t *engineTask) step(ev serve.Event) {
	now := t.clock.now()
	for _, a := range t.engine.Step(now, ev) {
		t.execute(now, a)
	}
}

func (t *engineTask) execute(now time.Time, a serve.Action) {
	switch a := a.(type) {
	case serve.StartAttempt:
		if c := t.conns[a.Conn]; c != nil {
			c.start(&a)
		}
	case serve.OpenConn:
		t.metrics.RecordConnection(a.Cause.String())
		t.conns[a.Conn] = dialTarget(a.Conn, a.Address, t.codec, t.inbox, t.memory)
	case serve.CloseConn:
		if c := t.conns[a.Conn]; c != nil {
			c.close()
			delete(t.conns, a.Conn)
		}
	case serve.StartRelay:
		t.startRelay(a)
	case serve.CancelRelay:
		t.endRelay(a.Relay)
	case serve.SendRelayReply:
		t.deliverReply(a)
	case serve.AskPool:
		go func() { t.inbox <- engineMsg{event: t.poolClient.take(context.Background(), a)} }()
	case serve.AnswerPool:
		a.Ticket.(poolTicket).answer <- &peer.MeshTaken{Granted: a.Granted, WaitUs: a.Wait.Microseconds()}
	case serve.Respond:
		t.respond(now, a)
	case serve.Report:
		t.reportDemand(a)
	case serve.LogEvent:
		if a.Event == serve.LogAttemptFailed {
			t.metrics.RecordFailedAttempt(a.Service, a.Failure.String())
		}
		t.logEvent(now, a)
	}
}

// respond sends an answer to the caller, unless it has gone, and records it.
func (t *engineTask) respond(now time.Time, a serve.Respond) {
	r := t.requests[a.ID]
	if answer := t.answers[a.ID]; answer != nil {
		answer <- a.Answer
	}
	delete(t.answers, a.ID)
	delete(t.requests, a.ID)
	t.recordMetrics(now, a.Answer)
	if r != nil {
		t.logAnswer(now, r, a.Answer)
	}
}

// reportDemand sends the demand to the control task. A report is dropped if that
// task is behind and its inbox is full, since the next one follows soon.
func (t *engineTask) reportDemand(r serve.Report) {
	select {
	case t.control <- mesh.LocalDemand{Demand: r.Demand, Crashes: r.Crashes, Timeouts: r.Timeouts, Pressing: r.Pressing}:
	default:
		t.log.Warn().Str("event", "demand_not_reported").Str("reason", "the control task's inbox is full").Msg("demand was not reported")
	}
}

func (t *engineTask) recordMetrics(now time.Time, a *serve.Answer) {
	tr := &a.Trace
	q := metrics.Query{
		Service: tr.Route, Workspace: tr.Workspace, Duration: tr.Duration, Coverage: 1,
		Shards: tr.Shards, Attempts: tr.Attempts, Hedges: tr.Hedges, Refusal: a.Refusal, MissingCauses: causeNames(tr.MissingCauses),
		CallerRefusal: tr.Caller.Refusal.String(),
	}
	if a.Merged != nil && tr.Shards > 0 {
		q.Coverage = 1 - float64(a.Merged.MissingShards)/float64(tr.Shards)
	}
	t.metrics.Record(now, q)
}

// mayLog reports whether a line about a request may be logged at now. It logs how
// many lines were dropped before.
func (t *engineTask) mayLog(now time.Time) bool {
	ok, dropped := t.lineLimiter.allow(now)
	if dropped > 0 {
		t.log.Warn().Str("event", "log_lines_dropped").Int("lines", dropped).Str("reason", "more log lines about requests in a second than the limit").Msg("log lines were dropped")
	}
	return ok
}

func (t *engineTask) logAnswer(now time.Time, r *serve.Request, a *serve.Answer) {
	if !t.mayLog(now) {
		return
	}
	tr := &a.Trace
	line := t.log.Info().Str("event", "request_ended").Str("request", r.CallerRequestID).Str("route", tr.Route).
		Str("workspace", tr.Workspace).Uint64("config_version", tr.ConfigVersion).Int64("copy_age_ms", tr.CopyAge.Milliseconds()).
		Int("priority", tr.Priority).Int64("patience_ms", r.Timeout.Milliseconds()).Int64("took_us", tr.Duration.Microseconds()).
		Int64("queue_wait_us", tr.QueueWait.Microseconds()).
		Int("attempts", tr.Attempts).Int("hedges", tr.Hedges).Int("retries", tr.Retries).Int("cross_zone_attempts", tr.CrossZoneAttempts)
	if tr.Relayed > 0 {
		line = line.Int("relayed_shards", tr.Relayed).Str("relayed_to", joinVMs(tr.RelayedTo))
	}
	if v := tr.Caller; v.Standing != callers.Fair || v.Refusal != callers.None {
		line = line.Str("caller", r.Caller).Str("standing", v.Standing.String()).Str("caller_refusal", v.Refusal.String()).
			Float64("caller_measure", v.Measure).Float64("mean_measure", v.Mean)
	}
	if tr.FromPool {
		line = line.Bool("from_pool", true)
	}
	switch {
	case a.Refusal != nil:
		line = line.Str("outcome", string(a.Refusal.Outcome)).Str("code", string(a.Refusal.Code)).
			Str("reason", a.Refusal.Reason).Int64("retry_after_ms", a.Refusal.RetryAfter.Milliseconds()).Strs("missing", tr.MissingShards)
	case a.Merged != nil:
		line = line.Str("outcome", "answered").Int("shards", tr.Shards).Int("missing_shards", a.Merged.MissingShards).
			Strs("missing", tr.MissingShards).Bool("cut_at_objective", tr.EndedEarly)
		if len(tr.MissingCauses) > 0 {
			line = line.Strs("missing_causes", causeNames(tr.MissingCauses))
		}
	default:
		line = line.Str("outcome", "answered").Int("status", a.Response.Status)
	}
	line.Msg("request ended")
}

// causeNames returns the names of causes, nil if there are none.
func causeNames(causes []serve.MissingCause) []string {
	if len(causes) == 0 {
		return nil
	}
	names := make([]string, len(causes))
	for i, c := range causes {
		names[i] = c.String()
	}
	return names
}

// joinVMs returns the ids separated by commas.
func joinVMs(ids []fleet.VMID) string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return strings.Join(names, ",")
}

// logEvent logs an event of the engine. Events of requests count against the
// limit of lines per second.
func (t *engineTask) logEvent(now time.Time, ev serve.LogEvent) {
	if ev.Request != nil && !t.mayLog(now) {
		return
	}
	line := t.log.Info().Str("event", string(ev.Event))
	if ev.Request != nil {
		line = line.Str("request", ev.Request.CallerRequestID)
	}
	if ev.Service != "" {
		line = line.Str("service", ev.Service)
	}
	if ev.Target != "" {
		line = line.Str("target", ev.Target)
	}
	if ev.Cause != "" {
		line = line.Str("cause", ev.Cause)
	}
	if ev.Duration > 0 {
		line = line.Int64("took_us", ev.Duration.Microseconds())
	}
	line.Int("count", ev.Count).Msg(string(ev.Event))
}
