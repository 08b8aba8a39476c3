package route

import (
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// zoneReturnJitter is the maximum random delay before connections to the targets
// of a returned zone are opened, so that the owners do not connect all at once.
const zoneReturnJitter = 200 * time.Millisecond

// assign applies a new configuration and share. Without a share, this VM removes
// all targets: running attempts finish, then their connections are closed.
func (s *Shard) assign(now time.Time, a Assignment) {
	wasOwner := s.isOwner
	mapChanged := a.Service.PartitionMap != s.assigned.Service.PartitionMap
	s.assigned = a
	s.isOwner = a.Share.Slots > 0
	s.queue.SetWeights(a.Weights)
	for _, t := range s.targets {
		t.configured = false
	}
	if s.isOwner {
		for _, tc := range a.Shard.Targets {
			s.configureTarget(now, tc, wasOwner)
		}
	}
	s.dirty, s.replicasChanged = true, true
	if mapChanged {
		s.rejectOldPartitionMap()
	}
	if !s.isOwner {
		s.rejectWaiting(now)
	}
}

// configureTarget puts a configured target into service. A target that joins a
// shard which this VM already owns is new and starts cold. To a VM that has just
// become an owner all targets are new, so they start cold only if they report it.
func (s *Shard) configureTarget(now time.Time, tc config.Target, wasOwner bool) {
	t, known := s.byAddress[tc.Address]
	if !known {
		t = newTarget(tc.Address)
		s.targets = append(s.targets, t)
		s.byAddress[tc.Address] = t
		s.emit(WatchTarget{Target: tc.Address})
	}
	zoneOut := s.assigned.ZonesOut[tc.Zone]
	switch {
	case !known && wasOwner, known && !t.wasConfigured:
		s.startCold(now, t)
	case known && t.zoneOut && !zoneOut:
		s.startCold(now, t)
		t.reconnectAt = now.Add(time.Duration(s.jitter.Int63n(int64(zoneReturnJitter))))
	}
	t.zone, t.configured, t.wasConfigured, t.zoneOut = tc.Zone, true, true, zoneOut
}

// rejectOldPartitionMap rejects waiting work that was planned with another
// partition map.
func (s *Shard) rejectOldPartitionMap() {
	s.forEachWaiting(func(p *pending) {
		if p.sub.PartitionMap != s.assigned.Service.PartitionMap {
			s.finish(p, &scatter.SubReply{Status: scatter.PartitionMapChanged})
		}
	})
}

// rejectWaiting rejects all waiting work, because this VM may not run it.
func (s *Shard) rejectWaiting(now time.Time) {
	s.forEachWaiting(func(p *pending) { s.rejectNotOwner(now, p) })
}

// rejectNotOwner lets the ingress send the work to another owner, unless an earlier
// attempt may have run it and it is not idempotent.
func (s *Shard) rejectNotOwner(now time.Time, p *pending) {
	if p.worstOutcome == outcome.NotRun || p.sub.Idempotent {
		s.finish(p, &scatter.SubReply{Status: scatter.NotOwner})
		return
	}
	s.refuse(now, p, outcome.CodeNoHome, outcome.NotRun, "this VM is not a home of the group any more")
}

// forEachWaiting calls fn for each sub-request that waits for a target. The
// function may remove it.
func (s *Shard) forEachWaiting(fn func(*pending)) {
	s.queue.Each(func(item *queueItem) { fn(item.Value) })
	for i := len(s.isolationQueue) - 1; i >= 0; i-- {
		if i < len(s.isolationQueue) {
			fn(s.isolationQueue[i])
		}
	}
}

// rejectUnrunnable rejects waiting work that no target can run before its deadline.
func (s *Shard) rejectUnrunnable(now time.Time) {
	if !s.shareValid(now) {
		return
	}
	s.forEachWaiting(func(p *pending) {
		if r := s.unrunnableReply(p); r != nil {
			s.finish(p, r)
		}
	})
}

// unrunnableReply returns the reply to a sub-request that no target can run before
// its deadline, nil when a target can run it or may become able to.
func (s *Shard) unrunnableReply(p *pending) *scatter.SubReply {
	anyUsable, mayRecover := false, false
	for _, t := range s.targets {
		switch {
		case !t.usable:
			mayRecover = mayRecover || t.mayBecomeUsable()
		case t.hasVersion(p.sub.IndexVersion):
			if t.allowance > 0 || !t.allowanceGrowsAt.IsZero() && t.allowanceGrowsAt.Before(p.sub.Deadline) {
				return nil
			}
			anyUsable = true
		default:
			anyUsable = true
		}
	}
	switch {
	case anyUsable && !s.hasVersion(p.sub.IndexVersion):
		return &scatter.SubReply{Status: scatter.VersionGone}
	case mayRecover && !anyUsable:
		return nil
	}
	return &scatter.SubReply{Status: scatter.Refused, Refusal: outcome.New(outcome.CodeNoReplica, p.worstOutcome,
		"group %s/%s has no replica that can take the request", s.id.Service, s.id.Shard)}
}

func (s *Shard) hasVersion(v uint64) bool {
	for _, have := range s.versions {
		if have == v {
			return true
		}
	}
	return false
}
