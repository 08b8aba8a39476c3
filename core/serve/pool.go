package serve

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/quota"
)

const (
	// poolTimeout is how long a request waits for an answer of the pool. The reader
	// answers within a round trip; one that is down does not.
	poolTimeout = 60 * time.Millisecond
	// poolBackoff is how long the pool is not asked after a call that failed.
	poolBackoff = 500 * time.Millisecond
	// maxPoolDenial bounds for how long a denial counts. Until then requests beyond
	// this VM's share are refused without asking, so that a workspace far over its
	// rate does not flood the reader.
	maxPoolDenial = time.Second
	// maxPoolWaiting bounds the requests of a workspace that wait for the pool.
	maxPoolWaiting = 4
	// poolFillPeriod is the time after its start in which a VM that becomes the reader
	// begins with full pools. Later another reader has given out of its own before.
	poolFillPeriod = 3 * time.Second
)

// The pool of a workspace is a part of its limit that is not divided between the
// VMs but kept by the reader, which gives single requests out of it. Many VMs share
// the rate of a workspace that sends few requests, so that its next request often
// comes to a VM without a share, and after a restart of the fleet none has one.

// PoolReplied reports the answer to AskPool.
type PoolReplied struct {
	ID      RequestID
	Granted bool
	Failed  bool          // no answer came
	Wait    time.Duration // until the pool has a request again, after a denial
}

// PoolRequested hands over another VM's request to this one's pools. It is answered
// by AnswerPool.
type PoolRequested struct {
	Workspace string
	Ticket    any // handed back in AnswerPool
}

// AskPool asks the reader for one request of a workspace. PoolReplied follows.
type AskPool struct {
	ID        RequestID
	Peer      string // address of the reader
	Workspace string
}

// AnswerPool answers a PoolRequested.
type AnswerPool struct {
	Ticket  any
	Granted bool
	Wait    time.Duration // until the pool has a request again, after a denial
}

func (PoolReplied) event()   {}
func (PoolRequested) event() {}
func (AskPool) action()      {}
func (AnswerPool) action()   {}

// workspacePool is the pool of a workspace, and what this VM knows of the reader's.
type workspacePool struct {
	bucket      *quota.Bucket // used while this VM is the reader
	limit       quota.Limit
	deniedUntil time.Time // the reader's pool is empty until then
	waiting     int       // requests that wait for an answer of the reader
}

// reset gives the pool of a VM that becomes the reader: a full one, or else an empty
// one that fills in the course of time.
func (p *workspacePool) reset(now time.Time, full bool) {
	p.bucket = quota.NewBucket(now)
	p.bucket.SetLimit(now, p.limit, fleet.RateShare{})
	if full {
		p.bucket.SetFill(now, 1)
	}
}

// take takes a request from the pool of this VM. It returns the time until there is
// one, zero if it was granted.
func (p *workspacePool) take(now time.Time) time.Duration {
	if p.bucket == nil { // of a workspace that is new
		p.reset(now, true)
	}
	return p.bucket.Take(now)
}

// setLimit sets the limit of the pool.
func (p *workspacePool) setLimit(now time.Time, l quota.Limit) {
	p.limit = l
	if p.bucket != nil {
		p.bucket.SetLimit(now, l, fleet.RateShare{})
	}
}

// askPool tries to admit a query beyond this VM's share of its workspace's limit. It
// returns whether the query is admitted, or waits for the reader's answer.
func (e *Engine) askPool(now time.Time, q *query, ws *workspaceState) (admitted, waiting bool) {
	if now.Before(ws.pool.deniedUntil) {
		return false, false
	}
	if e.view.Reader {
		wait := ws.pool.take(now)
		if wait > 0 {
			ws.pool.deniedUntil = now.Add(min(wait, maxPoolDenial))
		}
		q.fromPool = wait == 0
		return q.fromPool, false
	}
	reader, known := e.reader()
	if !known || ws.pool.waiting >= maxPoolWaiting || !now.Add(poolTimeout).Before(q.deadline) {
		return false, false
	}
	ws.pool.waiting++
	q.awaitsPool = ws
	e.emit(AskPool{ID: q.request.ID, Peer: reader.Peer, Workspace: q.workspaceName})
	return false, true
}

// reader returns the VM that reads the store and keeps the pools.
func (e *Engine) reader() (mesh.Node, bool) {
	if len(e.view.Hubs) == 0 {
		return mesh.Node{}, false
	}
	for _, n := range e.view.Nodes {
		if n.ID == e.view.Hubs[0] {
			return n, true
		}
	}
	return mesh.Node{}, false
}

// poolReplied starts or refuses the query that waits for the reader's answer.
func (e *Engine) poolReplied(now time.Time, ev PoolReplied) {
	q := e.queries[ev.ID]
	if q == nil || q.awaitsPool == nil {
		return // the caller has gone away, or the answer came too late
	}
	ws := q.awaitsPool
	e.stopAwaitingPool(q)
	switch {
	case ev.Granted, !ws.isLimited(): // a new configuration may have lifted the limit
		q.fromPool = ev.Granted
		e.startQuery(now, q)
		return
	case ev.Failed:
		ws.pool.deniedUntil = now.Add(poolBackoff)
	default:
		ws.pool.deniedUntil = now.Add(min(ev.Wait, maxPoolDenial))
	}
	e.finish(now, q, e.refuseOverRate(now, q, ws))
}

// stopAwaitingPool ends the wait of a query for the pool, if it waits.
func (e *Engine) stopAwaitingPool(q *query) {
	if q.awaitsPool != nil {
		q.awaitsPool.pool.waiting--
		q.awaitsPool = nil
	}
}

// refuseOverRate returns the refusal of a query whose workspace is over its rate.
func (e *Engine) refuseOverRate(now time.Time, q *query, ws *workspaceState) *Answer {
	return refusal(outcome.CodeRateExceeded, addJitter(ws.wait(now), q.request.Fingerprint), "workspace %q is over its rate", q.workspace.Name)
}

// poolRequested answers another VM's request to the pool of this one. A VM that is
// not the reader grants nothing: there must be one pool only.
func (e *Engine) poolRequested(now time.Time, ev PoolRequested) {
	ws := e.workspaces[ev.Workspace]
	if ws == nil || !ws.isLimited() || !e.view.Reader {
		e.emit(AnswerPool{Ticket: ev.Ticket, Wait: poolBackoff})
		return
	}
	wait := ws.pool.take(now)
	e.emit(AnswerPool{Ticket: ev.Ticket, Granted: wait == 0, Wait: wait})
}
