package serve

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/retry"
)

// meanAttemptSamples is the number of attempts over which the mean latency of a
// service is averaged.
const meanAttemptSamples = 16

// service holds the targets of a service and the sub-requests that are queued
// for them.
type service struct {
	name      string
	config    catalog.Service
	routed    bool          // a route of the configuration names it
	isShard   bool          // a fan-out names it
	objective time.Duration // shortest one of the routes that name it; zero if there is none
	// overloadControl is set where no rates bound the demand: short queues at targets,
	// queues ordered by objectives, places for urgent queries, and admission by what
	// targets report.
	overloadControl bool
	targets         []*target
	queue           []*subRequest    // see urgency
	arrivals        map[int]arrivals // by priority
	budget          *retry.Budget
	meanAttempt     time.Duration // mean latency of attempts
	meanAtPace1     time.Duration // the same, divided by the pace of the target
}

// service returns the service of a name. It creates the state of one that is
// not in the configuration too, which then has no targets.
func (e *Engine) service(name string) *service {
	s := e.services[name]
	if s == nil {
		s = &service{name: name, budget: retry.NewBudget(e.settings.Retry, e.sharers())}
		if e.config != nil {
			s.applyConfig(e.config)
		}
		e.services[name] = s
		i, _ := slices.BinarySearchFunc(e.servicesByName, name, compareName)
		e.servicesByName = slices.Insert(e.servicesByName, i, s)
	}
	return s
}

func compareName(s *service, name string) int { return cmp.Compare(s.name, name) }

// removeService removes the state of a service without targets.
func (e *Engine) removeService(s *service) {
	delete(e.services, s.name)
	e.servicesByName = slices.DeleteFunc(e.servicesByName, func(o *service) bool { return o == s })
}

// applyConfig sets what a configuration says of the service.
func (s *service) applyConfig(c *catalog.Config) {
	s.config = c.Services[s.name]
	s.routed, s.isShard, s.objective = c.IsRouted(s.name), c.IsShard(s.name), c.ShortestObjective(s.name)
	s.overloadControl = !c.LimitsDemand()
}

// queueObjective returns the objective by which the queues of the targets are bounded,
// zero without overload control.
func (s *service) queueObjective() time.Duration {
	if !s.overloadControl {
		return 0
	}
	return s.objective
}

// divideRetryBudget sets this VM's share of the service's retry budget.
func (e *Engine) divideRetryBudget(s *service) {
	s.budget.SetSettings(e.settings.Retry, e.sharers())
}

// maxConns returns how many connections this VM may have to a target of the
// service. A VM that gets no callers needs one for the few requests that it
// still receives.
func (e *Engine) maxConns(s *service) int {
	if !e.view.IsActive() {
		return 1
	}
	return max(s.config.MaxConnections*connsUsedPercent/100/e.sharers(), 1)
}

// startQueued starts queued sub-requests on targets that can accept them.
func (e *Engine) startQueued(now time.Time, s *service) {
	if len(s.queue) == 0 {
		return
	}
	choice := s.choice(now)
	if !s.canStart(now, choice, s.queue[0].query.priority) {
		return
	}
	s.sortQueue(now)
	for i := 0; i < len(s.queue); {
		sub := s.queue[i]
		if !s.canStart(now, choice, sub.query.priority) {
			return
		}
		if e.tooLateToStart(now, sub.query, 0) { // failQueued ends it
			i++
			continue
		}
		t := e.pickTarget(now, sub, false)
		if t == nil {
			i++
			continue
		}
		s.removeQueued(now, sub)
		e.startAttempt(now, sub, t, false)
	}
}

// canStart reports whether a target that attempts go to accepts one of a priority. If
// none does, none accepts a less urgent one either.
func (s *service) canStart(now time.Time, c choice, priority int) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return c.includes(now, t) && t.canAccept(now, priority) })
}

// recordAttemptTime records the latency of an attempt, and that at pace 1.
func (s *service) recordAttemptTime(latency, atPace1 time.Duration) {
	s.meanAttempt = mean(s.meanAttempt, latency)
	s.meanAtPace1 = mean(s.meanAtPace1, atPace1)
}

// canServe reports whether a target is usable, or is likely to be once its
// first connection is open. A VM that keeps no connections open tries targets
// whose last connection failed again after their backoff.
func (e *Engine) canServe(now time.Time, s *service) bool {
	active := e.view.IsActive()
	return slices.ContainsFunc(s.targets, func(t *target) bool {
		if t.usable(now) || !t.registered(now) {
			return t.usable(now)
		}
		return t.connectFailures == 0 && !t.connectTimedOut(now) || !active && !now.Before(t.nextConnectAt)
	})
}

// connectTimeout is how long a target may take to accept a connection before
// sub-requests are no longer queued for it. Targets accept within milliseconds;
// one that lost power doesn't answer at all.
const connectTimeout = 100 * time.Millisecond

func (t *target) connectTimedOut(now time.Time) bool {
	return slices.ContainsFunc(t.conns, func(c *conn) bool { return !c.open && now.Sub(c.usedAt) > connectTimeout })
}

// failQueued fails the queued sub-requests of a service that has no target, and
// those whose deadline, or this process, ends before a target can have served them.
func (e *Engine) failQueued(now time.Time, s *service) {
	if len(s.queue) == 0 {
		return
	}
	canServe, openAt := e.canServe(now, s), now.Add(s.backoffLeft(now))
	for _, sub := range slices.Clone(s.queue) {
		if canServe && !openAt.After(sub.query.deadline) && !e.tooLateToStart(now, sub.query, 0) {
			continue
		}
		e.failSubRequest(now, sub)
		e.advance(now, sub.query)
	}
}
