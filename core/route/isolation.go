package route

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/outcome"
)

// mustIsolate reports whether a sub-request may run only on a target without other
// attempts, because it may crash its target.
func (s *Shard) mustIsolate(now time.Time, p *pending) bool {
	return p.sub.Isolated || s.suspects.has(now, p.sub.Fingerprint)
}

// queueIsolated queues a suspect until a target without attempts is available.
func (s *Shard) queueIsolated(now time.Time, p *pending) {
	if len(s.isolationQueue) >= maxWaitingSuspects {
		s.refuse(now, p, outcome.CodeOverloaded, outcome.NotRun, "too many requests wait to run alone after a crash")
		return
	}
	p.waitsForIsolation = true
	s.isolationQueue = append(s.isolationQueue, p)
}

// dispatchIsolated runs the suspects of a shard one at a time, each on a target
// without other attempts. A busy target is reserved: it gets no other work until
// it is empty and has run the suspect.
func (s *Shard) dispatchIsolated(now time.Time) {
	for len(s.isolationQueue) > 0 {
		p := s.isolationQueue[0]
		switch {
		case s.poisoned(now, p.sub.Fingerprint):
			s.refuse(now, p, outcome.CodePoisonRequest, outcome.NotRun, "the request crashed targets and is blocked")
			continue
		case !s.mustIsolate(now, p):
			s.dequeueIsolated(p)
			s.queue.PushFront(p.sub.Workspace, &p.item)
			continue
		case !s.shareValid(now) || s.anyIsolatedRunning():
			return
		}
		t := s.leastBusyTarget(p)
		if t == nil {
			return
		}
		if t.inFlight() > 0 || !t.available(now) || t.idleConn() == nil {
			s.suspects.reservedTarget = t
			return
		}
		s.dequeueIsolated(p)
		s.startAttempt(now, p, t, false)
		a := p.activeAttempts[0]
		a.isolated, t.isolatedAttempt = true, a
	}
}

func (s *Shard) dequeueIsolated(p *pending) {
	p.waitsForIsolation = false
	s.isolationQueue = slices.DeleteFunc(s.isolationQueue, func(o *pending) bool { return o == p })
}

func (s *Shard) anyIsolatedRunning() bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.isolatedAttempt != nil })
}

// leastBusyTarget returns the target with the fewest attempts in flight that can
// run p, nil when there is none. It is expected to be empty soonest.
func (s *Shard) leastBusyTarget(p *pending) *target {
	var best *target
	for _, t := range s.targets {
		if !t.usable || t.allowance == 0 || !t.hasVersion(p.sub.IndexVersion) {
			continue
		}
		if best == nil || t.inFlight() < best.inFlight() {
			best = t
		}
	}
	return best
}
