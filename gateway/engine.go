package gateway

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/serve"
	"github.com/anvilfork/anvilfork/metrics"
)

// engineInbox is how many events may wait for the engine task. Senders wait
// when it is full, so that callers are slowed down instead of lost.
const engineInbox = 4096

// engineMsg is a message to the engine task; one of its fields is set.
type engineMsg struct {
	event     serve.Event
	submitted *submission
	left      *serve.Request // whose caller has closed its connection
	relay     *relayMsg
}

// submission is a request with the way back to the task that serves its caller.
type submission struct {
	request *serve.Request
	answer  chan<- *serve.Answer // holds one
}

// engineTask owns the machine that serves requests, and the connections.
type engineTask struct {
	clock   clock
	codec   TargetCodec
	log     zerolog.Logger
	metrics *metrics.Registry
	engine  *serve.Engine
	inbox   chan engineMsg
	dumps   chan chan<- serve.Dump
	control chan<- mesh.Event

	relayClient *relayClient

	conns    map[serve.ConnID]*targetConn
	callers  map[serve.RequestID]chan<- *serve.Answer
	requests map[serve.RequestID]*serve.Request
	relays   map[serve.RelayID]context.CancelFunc // to other VMs
	runs     map[serve.RequestID]*relayedRun      // for other VMs
	lines    lineBudget
	seq      serve.RequestID
}

func newEngineTask(c clock, s *Settings, codec TargetCodec, log zerolog.Logger, m *metrics.Registry) *engineTask {
	return &engineTask{
		clock: c, codec: codec, log: log, metrics: m,
		engine: serve.NewEngine(c.now(), serve.Settings{
			Zone: s.Zone, MaxKeyCopyAge: s.RevokeWithin * keyTrustPercent / 100, Retry: s.Retry, Quota: s.Quota,
		}),
		inbox: make(chan engineMsg, engineInbox),
		dumps: make(chan chan<- serve.Dump),
		conns: make(map[serve.ConnID]*targetConn), callers: make(map[serve.RequestID]chan<- *serve.Answer),
		requests: make(map[serve.RequestID]*serve.Request),
		relays:   make(map[serve.RelayID]context.CancelFunc), runs: make(map[serve.RequestID]*relayedRun),
	}
}

// keyTrustPercent is the part of the time within which a withdrawn key must
// stop working, for which keys are trusted without news. A copy of the store is
// never newer than it is taken for, so that the rest is only a margin for clocks.
const keyTrustPercent = 88

func (t *engineTask) run(done <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case m := <-t.inbox:
			t.receive(m)
		case reply := <-t.dumps:
			reply <- t.engine.Dump(t.clock.now())
		case <-timer.C:
			t.step(serve.Tick{})
		}
		timer.Reset(max(t.engine.Next().Sub(t.clock.now()), 0))
	}
}

func (t *engineTask) receive(m engineMsg) {
	switch {
	case m.submitted != nil:
		t.submit(m.submitted)
	case m.left != nil:
		delete(t.callers, m.left.ID)
		delete(t.requests, m.left.ID)
		t.step(serve.Cancel{ID: m.left.ID})
	case m.relay != nil:
		t.relayCall(m.relay)
	default:
		t.relayEvent(m.event)
		t.step(m.event)
	}
}

// submit gives a request its id on this VM.
func (t *engineTask) submit(s *submission) {
	t.seq++
	s.request.ID = t.seq
	t.callers[t.seq] = s.answer
	t.requests[t.seq] = s.request
	t.step(serve.Submit{Request: s.request})
}

func (t *engineTask) step(ev serve.Event) {
	now := t.clock.now()
	for _, a := range t.engine.Step(now, ev) {
		t.do(now, a)
	}
}

func (t *engineTask) do(now time.Time, a serve.Action) {
	switch a := a.(type) {
	case serve.StartAttempt:
		if c := t.conns[a.Conn]; c != nil {
			c.start(&a)
		}
	case serve.OpenConn:
		t.conns[a.Conn] = dialTarget(a.Conn, a.Address, t.codec, t.inbox)
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
		t.replyRelayed(a)
	case serve.Respond:
		t.respond(now, a)
	case serve.Report:
		t.report(a)
	case serve.LogEvent:
		t.note(now, a)
	}
}

func (t *engineTask) respond(now time.Time, a serve.Respond) {
	r := t.requests[a.ID]
	if caller := t.callers[a.ID]; caller != nil {
		caller <- a.Answer
	}
	delete(t.callers, a.ID)
	delete(t.requests, a.ID)
	t.record(now, a.Answer)
	if r != nil {
		t.logAnswer(now, r, a.Answer)
	}
}

// report hands the demand on. The control task's inbox being full means that
// it is behind; the next report follows soon.
func (t *engineTask) report(r serve.Report) {
	select {
	case t.control <- mesh.LocalDemand{Demand: r.Demand, Crashes: r.Crashes}:
	default:
		t.log.Warn().Str("event", "demand_not_reported").Str("reason", "the control task's inbox is full").Msg("demand was not reported")
	}
}

func (t *engineTask) record(now time.Time, a *serve.Answer) {
	tr := &a.Trace
	q := metrics.Query{
		Service: tr.Route, Workspace: tr.Workspace, Took: tr.Duration, Coverage: 1,
		Groups: tr.Shards, Attempts: tr.Attempts, Hedges: tr.Hedges, Refusal: a.Refusal,
	}
	if a.Merged != nil && tr.Shards > 0 {
		q.Coverage = 1 - float64(a.Merged.MissingShards)/float64(tr.Shards)
	}
	t.metrics.Record(now, q)
}

func (t *engineTask) mayLog(now time.Time) bool {
	ok, dropped := t.lines.take(now)
	if dropped > 0 {
		t.log.Warn().Str("event", "log_lines_dropped").Int("lines", dropped).Str("reason", "more lines about requests in a second than are written").Msg("log lines were dropped")
	}
	return ok
}

func (t *engineTask) logAnswer(now time.Time, r *serve.Request, a *serve.Answer) {
	if !t.mayLog(now) {
		return
	}
	tr := &a.Trace
	line := t.log.Info().Str("event", "request_ended").Str("request", r.CallerRef).Str("route", tr.Route).
		Str("workspace", tr.Workspace).Uint64("config_version", tr.ConfigVersion).Int64("copy_age_ms", tr.CopyAge.Milliseconds()).
		Int("priority", tr.Priority).Int64("patience_ms", r.Timeout.Milliseconds()).Int64("took_us", tr.Duration.Microseconds()).
		Int("attempts", tr.Attempts).Int("hedges", tr.Hedges).Int("retries", tr.Retries).Int("cross_zone_attempts", tr.CrossZone)
	if tr.Relayed > 0 {
		line = line.Int("relayed_shards", tr.Relayed).Str("relayed_to", string(tr.RelayedTo))
	}
	switch {
	case a.Refusal != nil:
		line = line.Str("outcome", string(a.Refusal.Outcome)).Str("code", string(a.Refusal.Code)).
			Str("reason", a.Refusal.Reason).Int64("retry_after_ms", a.Refusal.RetryAfter.Milliseconds()).Strs("missing", tr.MissingShards)
	case a.Merged != nil:
		line = line.Str("outcome", "answered").Int("shards", tr.Shards).Int("missing_shards", a.Merged.MissingShards).
			Strs("missing", tr.MissingShards).Bool("cut_at_objective", tr.EndedEarly)
	default:
		line = line.Str("outcome", "answered").Int("status", a.Response.Status)
	}
	line.Msg("request ended")
}

func (t *engineTask) note(now time.Time, n serve.LogEvent) {
	if n.Request != nil && !t.mayLog(now) {
		return
	}
	line := t.log.Info().Str("event", string(n.Event))
	if n.Request != nil {
		line = line.Str("request", n.Request.CallerRef)
	}
	if n.Service != "" {
		line = line.Str("service", n.Service)
	}
	if n.Target != "" {
		line = line.Str("target", n.Target)
	}
	if n.Cause != "" {
		line = line.Str("cause", n.Cause)
	}
	if n.Duration > 0 {
		line = line.Int64("took_us", n.Duration.Microseconds())
	}
	line.Int("count", n.Count).Msg(string(n.Event))
}
