package route

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/fair"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
	"github.com/anvilfork/anvilfork/core/timer"
)

type queueItem = fair.Item[*pending]

// timed is what a timer belongs to: one of the two.
type timed struct {
	pending *pending
	attempt *attempt
}

// pending is a sub-request that has no reply yet.
type pending struct {
	timer      timer.Timer[timed]
	item       queueItem
	sub        scatter.SubRequest
	attempts   int // started
	refused    int // of them, proved not to have run
	crashes    int
	active     []*attempt
	doubts     int // lost attempts that may have crashed their target
	tried      []*target
	moves      int // away from attempts without progress
	hedged     bool
	waitsAlone bool // in Shard.alone
	waitsHedge bool // in Shard.lateHedges
	live       bool // in Shard.pending
	hedgeAt    time.Time
	silentAt   time.Time
	worst      outcome.Outcome // of the attempts that ended
	cause      outcome.Code    // of the last attempt that ended
	reason     string
}

// attempt is one execution of a sub-request at a target. It holds its slot
// until it ended at the target or its connection was closed.
type attempt struct {
	timer   timer.Timer[timed]
	id      AttemptID
	index   int // position in target.attempts
	target  *target
	conn    *conn
	pending *pending // nil after a cancellation
	started time.Time
	print   fingerprint
	version uint64
	hedge   bool
	alone   bool
	crash   uint64 // crash event of the target while the attempt was in flight
}

func (g *Shard) newPending(sub *scatter.SubRequest) *pending {
	var p *pending
	if n := len(g.freePending); n > 0 {
		p = g.freePending[n-1]
		g.freePending = g.freePending[:n-1]
	} else {
		p = &pending{}
		p.timer.Owner.pending = p
		p.item.Value = p
	}
	p.sub = *sub
	p.worst = outcome.NotRun
	p.live = true
	g.pending[sub.ID] = p
	g.fresh = p
	return p
}

// forget ends a sub-request; its attempts have been dropped before.
func (g *Shard) forget(p *pending) {
	delete(g.pending, p.sub.ID)
	g.timers.Remove(&p.timer)
	if p.item.Queued() {
		g.queue.Remove(&p.item)
	}
	if p.waitsAlone {
		g.alone = slices.DeleteFunc(g.alone, func(o *pending) bool { return o == p })
	}
	if p.waitsHedge {
		g.lateHedges = slices.DeleteFunc(g.lateHedges, func(o *pending) bool { return o == p })
	}
	if p.doubts > 0 {
		g.forgetDoubts(p)
	}
	p.reset()
	g.freePending = append(g.freePending, p)
}

// reset prepares the memory for another sub-request. It is cheaper than
// assigning a whole new value, most of which the next use overwrites.
func (p *pending) reset() {
	clear(p.tried)
	p.active, p.tried = p.active[:0], p.tried[:0]
	p.sub.Body = nil
	p.attempts, p.refused, p.crashes, p.doubts, p.moves = 0, 0, 0, 0, 0
	p.hedged, p.waitsAlone, p.waitsHedge, p.live = false, false, false, false
	p.hedgeAt, p.silentAt = time.Time{}, time.Time{}
	p.cause, p.reason = "", ""
	p.item = queueItem{Value: p}
}

// arm sets the timer of a sub-request to what is due first.
func (g *Shard) arm(p *pending) {
	at := p.sub.Deadline
	if len(p.active) > 0 {
		at = earlier(earlier(at, p.hedgeAt), p.silentAt)
	}
	g.timers.Set(&p.timer, at)
}

func (g *Shard) pendingDue(now time.Time, p *pending) {
	switch {
	case !now.Before(p.sub.Deadline):
		g.deadline(now, p)
		return
	case len(p.active) == 0:
	case !p.silentAt.IsZero() && !now.Before(p.silentAt):
		g.silent(now, p)
	case !p.hedgeAt.IsZero() && !now.Before(p.hedgeAt):
		g.hedge(now, p)
	}
	if p.live {
		g.arm(p)
	}
}

// deadline refuses what is past its deadline.
func (g *Shard) deadline(now time.Time, p *pending) {
	o, code, reason := outcome.NotRun, outcome.CodeDeadlineExceeded, "the deadline passed before a target was free"
	switch {
	case len(p.active) > 0 || p.doubts > 0:
		o, reason = outcome.Unknown, "the deadline passed while a target ran the request"
	case !g.anyUsable():
		code, reason = outcome.CodeNoReplica, "no replica could be used before the deadline"
	}
	g.refuse(now, p, code, o, reason)
}

func (g *Shard) anyUsable() bool {
	return slices.ContainsFunc(g.targets, func(t *target) bool { return t.usable })
}

func (g *Shard) cancel(now time.Time, id scatter.SubID) {
	if p, ok := g.pending[id]; ok {
		g.dropActive(now, p)
		g.forget(p)
	}
}

// dropActive cancels all attempts of a sub-request.
func (g *Shard) dropActive(now time.Time, p *pending) {
	for len(p.active) > 0 {
		g.detach(now, p.active[len(p.active)-1])
	}
}

// detach cancels an attempt and separates it from its sub-request. What it
// took so far is a lower bound of its latency.
func (g *Shard) detach(now time.Time, a *attempt) {
	a.pending.removeActive(a)
	a.pending = nil
	took := now.Sub(a.started)
	if took > g.latency.P95 {
		g.observe(now, a.target, took, false)
	}
	g.emitCancel(CancelAttempt{Attempt: a.id, Target: a.target.address, Conn: a.conn.id})
	g.timers.Set(&a.timer, now.Add(g.silentAfter()))
}

func (p *pending) removeActive(a *attempt) {
	if i := slices.Index(p.active, a); i >= 0 {
		p.active = slices.Delete(p.active, i, i+1)
	}
}

// reply returns a result to the entry VM.
func (g *Shard) reply(p *pending, r *scatter.SubReply) {
	r.ID, r.Shard, r.Repeat = p.sub.ID, g.id, p.sub.Repeat
	r.PartitionMap = g.assigned.Service.PartitionMap
	r.IndexVersions = g.versions
	r.Attempts, r.Crashes = p.attempts, p.crashes
	g.emitRespond(r)
}

func (g *Shard) finish(p *pending, r *scatter.SubReply) {
	g.reply(p, r)
	g.forget(p)
}

// refuse ends a sub-request with a refusal that claims no more than all of its
// attempts allow.
func (g *Shard) refuse(now time.Time, p *pending, code outcome.Code, o outcome.Outcome, reason string) {
	o = outcome.Worse(p.worst, o)
	g.dropActive(now, p)
	g.finish(p, &scatter.SubReply{Status: scatter.Refused, Refusal: outcome.New(code, o, "%s", reason)})
}
