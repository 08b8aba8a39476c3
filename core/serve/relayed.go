package serve

import (
	"time"

	"github.com/anvilfork/anvilfork/core/catalog"
)

// remoteState is the additional state of a query that another VM relayed to
// this one.
type remoteState struct {
	work     *RelayedWork
	replyAt  time.Time // when the first reply is due
	reported []bool    // shards that were reported, by index in RelayedWork.Shards
	replied  bool      // the first reply was sent
	leaving  []string  // targets that are about to end, for the next reply
}

// relayRequested starts work that another VM relayed. The other VM has admitted
// the query.
func (e *Engine) relayRequested(now time.Time, w *RelayedWork) {
	q := &query{
		engine: e, request: w.Request, arrived: now, config: e.config, copyAge: e.copyAge(now),
		workspaceName: w.Workspace, priority: w.Priority, deadline: e.untilStop(now.Add(w.TimeLeft)), objective: now.Add(w.TimeLeft),
		route:  &catalog.Route{Name: w.Route, Idempotent: true, MaxAttempts: 1, FanOut: &catalog.FanOut{Shards: w.Shards, TopK: w.TopK}},
		remote: &remoteState{work: w, replyAt: now.Add(w.ReplyTimeout), reported: make([]bool, len(w.Shards))},
	}
	q.timer.Owner.query = q
	e.setRelayedOrder(now, q)
	for _, name := range w.Shards {
		q.addSubRequest(e.relayedService(name))
	}
	e.querySeq++
	q.seq = e.querySeq
	e.queries[w.Request.ID] = q
	for _, sub := range q.subRequests {
		if !e.knowsService(sub.service.name) {
			e.failSubRequest(now, sub)
			continue
		}
		sub.service.recordArrival(now, q.priority)
		e.startOrQueue(now, sub)
	}
	e.advance(now, q)
}

// knowsService reports whether the configuration of this VM names a service. The
// configuration of the VM that relays the work may be newer or older; without the
// service's limits on connections and cold targets this VM refuses the shard, and the
// other VM runs it.
func (e *Engine) knowsService(name string) bool {
	if e.config == nil {
		return false
	}
	_, listed := e.config.Services[name]
	return listed || e.config.IsRouted(name)
}

// relayedService returns the service of a relayed shard. It keeps no state of one that
// the configuration of this VM does not name.
func (e *Engine) relayedService(name string) *service {
	if e.knowsService(name) {
		return e.service(name)
	}
	return &service{name: name}
}

// advanceRelayed replies when all shards have ended, once when the reply is
// due, and then with each shard that ends.
func (e *Engine) advanceRelayed(now time.Time, q *query) {
	remote := q.remote
	if !now.Before(q.deadline) {
		for _, sub := range q.subRequests {
			if !sub.done {
				e.failSubRequest(now, sub)
			}
		}
	}
	switch {
	case q.openSubRequests() == 0:
		e.replyRelayed(q)
		e.emit(LogEvent{Event: LogRelayedRun, Request: q.request, Count: q.answered, Duration: now.Sub(q.arrived)})
		e.removeQuery(now, q, lingerTime)
		return
	case !now.Before(remote.replyAt):
		e.replyRelayed(q)
		e.timers.Set(&q.timer, laterOf(q.deadline, now.Add(minTimerDelay)))
	default:
		e.timers.Set(&q.timer, laterOf(remote.replyAt, now.Add(minTimerDelay)))
	}
}

// replyRelayed reports the shards that have ended since the last reply. Only
// the first reply may be empty; it shows the other VM that this one is
// reachable.
func (e *Engine) replyRelayed(q *query) {
	remote, reply := q.remote, &RelayReply{More: q.openSubRequests() > 0}
	var succeeded []*subRequest
	for i, sub := range q.subRequests {
		if !sub.done || remote.reported[i] {
			continue
		}
		remote.reported[i] = true
		if sub.succeeded() {
			succeeded = append(succeeded, sub)
			reply.Answers = append(reply.Answers, RelayedAnswer{Shard: i, Signature: sub.response.Signature, Attempts: sub.delivered})
			continue
		}
		reply.Failed = append(reply.Failed, RelayedFailure{Shard: i, Attempts: sub.delivered, PossibleRuns: sub.possibleRuns + sub.pending()})
	}
	if len(reply.Answers)+len(reply.Failed) == 0 && remote.replied {
		return
	}
	remote.replied = true
	reply.Leaving, remote.leaving = remote.leaving, nil
	reply.Body = merge(remote.work.TopK, bodies(succeeded))
	e.emit(SendRelayReply{ID: q.request.ID, Reply: reply})
}

// relayCancelled ends work that the other VM no longer needs.
func (e *Engine) relayCancelled(now time.Time, id RequestID) {
	if q := e.queries[id]; q != nil {
		e.removeQuery(now, q, lingerTime)
	}
}
