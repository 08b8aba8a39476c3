package serve

import (
	"slices"
	"time"
)

const (
	// queueConnsPerRequest is the number of connections that are opened at the same
	// time for each queued request of a service, so that one that is slow to open does
	// not hold the request up.
	queueConnsPerRequest = 2
	// poolSpareTargets is the number of targets of a service without shards that
	// spare connections are kept to if this zone has fewer. Work leaves the zone only
	// when its slots are taken, and targets close connections that stay idle.
	poolSpareTargets = 8
)

// settleTime is how long a VM that gets few callers waits before it uses a new
// connection. A target whose connections are all taken resets a new one one round trip
// after it was opened; a request that was written by then may have run for all that the
// VM knows. VMs with callers keep connections that have carried answers, and requests
// for shards may run again.
const settleTime = 4 * time.Millisecond

// settle lets a new connection be used after settleTime.
func (e *Engine) settle(now time.Time, c *conn) {
	if e.view.IsActive() || c.target.service.isShard {
		return
	}
	c.usableAt = now.Add(settleTime)
	e.maintainAt = earlierOf(e.maintainAt, c.usableAt)
}

// connectForQueue opens connections for the queued work of a service: to targets of
// this zone first, and beginning with another one for each query, so that the requests
// of many VMs spread over the targets.
func (e *Engine) connectForQueue(now time.Time, s *service, seq uint64) {
	n := len(s.targets)
	for _, near := range []bool{true, false} {
		for i := range n {
			t := s.targets[(i+int(seq))%n]
			if (t.reg.Zone == e.settings.Zone) == near {
				e.ensureSpareConn(now, t)
			}
		}
	}
}

// connectForQueued opens further connections for work that is still queued after one was
// refused or hung.
func (e *Engine) connectForQueued(now time.Time, s *service) {
	if len(s.queue) > 0 {
		e.connectForQueue(now, s, s.queue[0].query.seq)
	}
}

// queueNeedsConns reports whether more connections are to be opened for the queued work
// of a service. Those that are slow to open don't count.
func (s *service) queueNeedsConns(now time.Time) bool {
	opening := 0
	for _, t := range s.targets {
		if !t.connectTimedOut(now) && slices.ContainsFunc(t.conns, func(c *conn) bool { return !c.open }) {
			opening++
		}
	}
	limit := queueConnsPerRequest * len(s.queue)
	if s.isShard {
		limit = max(limit, spareTargets)
	}
	return opening < limit
}
