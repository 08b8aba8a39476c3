package serve

import (
	"time"

	"github.com/anvilfork/anvilfork/core/catalog"
)

// relayedWork is what a query needs besides when another VM asked for it.
type relayedWork struct {
	work     *RelayedWork
	replyAt  time.Time
	reported []bool // by shard
	replied  bool
}

// relayRequested runs a part of another VM's query. That VM has admitted it.
func (e *Engine) relayRequested(now time.Time, w *RelayedWork) {
	q := &query{
		engine: e, request: w.Request, arrived: now, config: e.config, age: e.copyAge(now),
		runsFor: w.Workspace, priority: w.Priority, deadline: now.Add(w.TimeLeft), objective: now.Add(w.TimeLeft),
		route: &catalog.Route{Name: w.Route, Idempotent: true, MaxAttempts: 1, FanOut: &catalog.FanOut{Shards: w.Shards, TopK: w.TopK}},
		forVM: &relayedWork{work: w, replyAt: now.Add(w.ReplyIn), reported: make([]bool, len(w.Shards))},
	}
	q.timer.Owner.query = q
	for _, name := range w.Shards {
		q.addPart(e.service(name))
	}
	e.querySeq++
	q.seq = e.querySeq
	e.queries[w.Request.ID] = q
	for _, p := range q.parts {
		e.startOrQueue(now, p)
	}
	e.advance(now, q)
}

// advanceRelayed replies when all shards have ended, and with each one that ends
// after the reply was due.
func (e *Engine) advanceRelayed(now time.Time, q *query) {
	f := q.forVM
	if !now.Before(q.deadline) {
		for _, p := range q.parts {
			if !p.done {
				e.failPart(now, p)
			}
		}
	}
	switch {
	case q.open() == 0:
		e.replyRelayed(q)
		e.emit(LogEvent{Event: LogRelayedRun, Request: q.request, Count: q.answered, Duration: now.Sub(q.arrived)})
		e.forget(now, q, lingerTime)
		return
	case !now.Before(f.replyAt):
		e.replyRelayed(q)
		e.timers.Set(&q.timer, later(q.deadline, now.Add(leastTimer)))
	default:
		e.timers.Set(&q.timer, later(f.replyAt, now.Add(leastTimer)))
	}
}

// replyRelayed reports the shards that have ended since the last reply. The
// first reply may be empty, which tells the other VM that this one is alive.
func (e *Engine) replyRelayed(q *query) {
	f, reply := q.forVM, &RelayReply{More: q.open() > 0}
	var in []*part
	for i, p := range q.parts {
		if !p.done || f.reported[i] {
			continue
		}
		f.reported[i] = true
		if p.succeeded() {
			in = append(in, p)
			reply.Parts = append(reply.Parts, RelayedPart{Shard: i, Signature: p.response.Signature, Attempts: p.arrivals})
			continue
		}
		reply.Failed = append(reply.Failed, RelayedFailure{Shard: i, Attempts: p.arrivals, MayHaveRun: p.ran + p.pending()})
	}
	if len(reply.Parts)+len(reply.Failed) == 0 && f.replied {
		return
	}
	f.replied = true
	reply.Body = merge(f.work.TopK, bodies(in))
	e.emit(SendRelayReply{ID: q.request.ID, Reply: reply})
}

// relayDropped ends work that the other VM does not need any more.
func (e *Engine) relayDropped(now time.Time, id RequestID) {
	if q := e.queries[id]; q != nil {
		e.forget(now, q, lingerTime)
	}
}
