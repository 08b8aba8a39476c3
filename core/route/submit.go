package route

import (
	"time"

	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// maxWaitingSuspects bounds the isolation queue of one Shard.
const maxWaitingSuspects = 64

// submit answers a sub-request at once when it cannot be run, and queues it
// otherwise; dispatch starts it.
func (s *Shard) submit(now time.Time, sub *scatter.SubRequest) {
	if _, known := s.pending[sub.ID]; known {
		return // the same sub-request was delivered twice
	}
	if r := s.rejection(now, sub); r != nil {
		s.sendReply(&pending{sub: *sub}, r)
		return
	}
	s.stats.SubRequests++
	p := s.newPending(sub)
	if s.capacity == 0 || !s.hasVersion(sub.IndexVersion) {
		if r := s.unrunnableReply(p); r != nil {
			s.finish(p, r)
			return
		}
	}
	if sub.Isolated || s.suspects.has(now, sub.Fingerprint) {
		s.queueIsolated(now, p)
		return
	}
	if wait := s.expectedWait(sub.Workspace); wait > 0 && now.Add(wait).After(sub.Deadline) {
		s.refuseOverloaded(now, p, wait)
		return
	}
	if !s.queue.Push(sub.Workspace, &p.item) {
		s.refuseOverloaded(now, p, s.expectedWait(sub.Workspace))
	}
}

// rejection returns the reply to a sub-request that is not accepted, nil for one
// that is.
func (s *Shard) rejection(now time.Time, sub *scatter.SubRequest) *scatter.SubReply {
	switch {
	case !s.shareValid(now):
		return &scatter.SubReply{Status: scatter.NotOwner}
	case sub.PartitionMap != s.assigned.Service.PartitionMap:
		return &scatter.SubReply{Status: scatter.PartitionMapChanged}
	case sub.IndexVersion == 0:
		return &scatter.SubReply{Status: scatter.VersionsOnly}
	case !now.Before(sub.Deadline):
		return refusal(outcome.CodeDeadlineExceeded, "the deadline passed before the request reached the group's home")
	case s.poisoned(now, sub.Fingerprint):
		return refusal(outcome.CodePoisonRequest, "the request crashed targets and is blocked")
	}
	return nil
}

func refusal(code outcome.Code, reason string) *scatter.SubReply {
	return &scatter.SubReply{Status: scatter.Refused, Refusal: outcome.New(code, outcome.NotRun, "%s", reason)}
}

func (s *Shard) refuseOverloaded(now time.Time, p *pending, wait time.Duration) {
	r := outcome.New(outcome.CodeOverloaded, outcome.NotRun, "%d sub-requests of workspace %q wait in group %s/%s",
		s.queue.Waiting(p.sub.Workspace), p.sub.Workspace, s.id.Service, s.id.Shard)
	r.RetryAfter = max(wait, time.Millisecond)
	s.finish(p, &scatter.SubReply{Status: scatter.Refused, Refusal: r})
}

// expectedWait estimates how long a new sub-request of a workspace waits for a
// slot. It is zero when the queue is empty and while no target is usable.
func (s *Shard) expectedWait(workspace string) time.Duration {
	if s.queue.Len() == 0 || s.capacity == 0 {
		return 0
	}
	return time.Duration(s.queue.Ahead(workspace) / float64(s.capacity) * float64(s.latency.Mean))
}
