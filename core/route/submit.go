package route

import (
	"time"

	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// maxAlone bounds the suspects that wait in one group.
const maxAlone = 64

func (g *Shard) submit(now time.Time, sub *scatter.SubRequest) {
	if _, known := g.pending[sub.ID]; known {
		return // delivered twice
	}
	if r := g.reject(now, sub); r != nil {
		g.reply(&pending{sub: *sub}, r)
		return
	}
	g.stats.SubRequests++
	p := g.newPending(sub)
	if g.capacity == 0 || !g.hasVersion(sub.IndexVersion) {
		if r := g.hopeless(p); r != nil {
			g.finish(p, r)
			return
		}
	}
	if sub.Isolated || g.suspects.has(now, sub.Fingerprint) {
		g.queueAlone(now, p)
		return
	}
	if wait := g.expectedWait(sub.Workspace); wait > 0 && now.Add(wait).After(sub.Deadline) {
		g.overloaded(now, p, wait)
		return
	}
	if !g.queue.Push(sub.Workspace, &p.item) {
		g.overloaded(now, p, g.expectedWait(sub.Workspace))
	}
}

// reject returns the reply to a sub-request that is not accepted.
func (g *Shard) reject(now time.Time, sub *scatter.SubRequest) *scatter.SubReply {
	switch {
	case !g.holds(now):
		return &scatter.SubReply{Status: scatter.NotOwner}
	case sub.PartitionMap != g.assigned.Service.PartitionMap:
		return &scatter.SubReply{Status: scatter.PartitionMapChanged}
	case sub.IndexVersion == 0:
		return &scatter.SubReply{Status: scatter.VersionsOnly}
	case !now.Before(sub.Deadline):
		return refusal(outcome.CodeDeadlineExceeded, "the deadline passed before the request reached the group's home")
	case g.poisoned(now, sub.Fingerprint):
		return refusal(outcome.CodePoisonRequest, "the request crashed targets and is blocked")
	}
	return nil
}

func refusal(code outcome.Code, reason string) *scatter.SubReply {
	return &scatter.SubReply{Status: scatter.Refused, Refusal: outcome.New(code, outcome.NotRun, "%s", reason)}
}

func (g *Shard) overloaded(now time.Time, p *pending, wait time.Duration) {
	r := outcome.New(outcome.CodeOverloaded, outcome.NotRun, "%d sub-requests of workspace %q wait in group %s/%s",
		g.queue.Waiting(p.sub.Workspace), p.sub.Workspace, g.id.Service, g.id.Shard)
	r.RetryAfter = max(wait, time.Millisecond)
	g.finish(p, &scatter.SubReply{Status: scatter.Refused, Refusal: r})
}

// expectedWait estimates how long a new sub-request of a workspace waits for a
// slot; zero when nothing waits or too little is known.
func (g *Shard) expectedWait(workspace string) time.Duration {
	if g.queue.Len() == 0 || g.capacity == 0 {
		return 0
	}
	return time.Duration(g.queue.Ahead(workspace) / float64(g.capacity) * float64(g.latency.Mean))
}
