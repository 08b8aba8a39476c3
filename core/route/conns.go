package route

import (
	"slices"
	"time"
)

const (
	// controlConns is the number of connections per target that are reserved for
	// status reads (one) and cancellations (one). The target's task opens them.
	controlConns        = 2
	spareConns          = 1                     // open connections per target beyond its allowance
	minReconnectBackoff = 20 * time.Millisecond // doubles with each consecutive failure
	maxReconnectBackoff = 2 * time.Second
)

type connState uint8

const (
	connOpening    connState = iota
	connUnverified           // open, but no status read has confirmed the boot id since
	connReady                // idle, or in use when an attempt is set
	connClosing              // CloseConn was emitted; ConnClosed follows
)

// conn is a connection to a target. It carries one attempt at a time.
type conn struct {
	id       ConnID
	state    connState
	openedAt time.Time
	attempt  *attempt // nil when idle
}

func (c *conn) idle() bool { return c.state == connReady && c.attempt == nil }

func (t *target) idleConn() *conn {
	for _, c := range t.conns {
		if c.idle() {
			return c
		}
	}
	return nil
}

func (t *target) findConn(id ConnID) *conn {
	for _, c := range t.conns {
		if c.id == id {
			return c
		}
	}
	return nil
}

// connOpened makes a connection wait for a status read that verifies it.
func (s *Shard) connOpened(now time.Time, ev ConnOpened) {
	t := s.byAddress[ev.Target]
	if t == nil {
		return
	}
	c := t.findConn(ev.Conn)
	if c == nil || c.state != connOpening {
		return
	}
	c.state, c.openedAt = connUnverified, now
	s.dirty = true
	s.emit(ProbeNow{Target: t.address})
}

// verifyConns makes connections ready that were open when a status read began: the
// read would have shown a restart of the target.
func (s *Shard) verifyConns(t *target, began time.Time) {
	if began.Before(t.verifyFrom) {
		return
	}
	for _, c := range t.conns {
		if c.state == connUnverified && !began.Before(c.openedAt) {
			c.state = connReady
			t.failedConnects = 0
		}
	}
}

// connClosed removes a connection. A refused one is evidence of a crash; one that
// failed before it was verified delays the next.
func (s *Shard) connClosed(now time.Time, ev ConnClosed) {
	t := s.byAddress[ev.Target]
	if t == nil {
		return
	}
	i := slices.IndexFunc(t.conns, func(c *conn) bool { return c.id == ev.Conn })
	if i < 0 {
		return
	}
	c := t.conns[i]
	t.conns = slices.Delete(t.conns, i, i+1)
	if a := c.attempt; a != nil { // AttemptDone should have come first
		s.attemptDone(now, &AttemptDone{Attempt: a.id, Result: ResultConnLost})
	}
	if ev.Refused {
		s.targetCrashed(now, t)
		t.reachable = false
	}
	if c.state == connOpening || c.state == connUnverified {
		s.backOffConnect(now, t)
	}
	s.dirty = true
}

// backOffConnect delays the next connection to a target after one failed.
func (s *Shard) backOffConnect(now time.Time, t *target) {
	backoff := min(minReconnectBackoff<<min(t.failedConnects, 10), maxReconnectBackoff)
	t.failedConnects++
	t.reconnectAt = now.Add(backoff/2 + time.Duration(s.jitter.Int63n(int64(backoff))))
}

func (s *Shard) closeConn(t *target, c *conn) {
	if c.state == connClosing {
		return
	}
	c.state = connClosing
	s.emit(CloseConn{Target: t.address, Conn: c.id})
}

// maxConns returns how many connections for attempts this owner may have to each
// target.
func (s *Shard) maxConns() int {
	share := s.assigned.Share.Connections
	return max(share-controlConns, min(share, 1))
}

// wantedConns returns the number of connections to keep open to a target: one for
// each allowed attempt and a spare one, or zero if it gets no attempts.
func (s *Shard) wantedConns(now time.Time, t *target) int {
	if !t.configured || t.zoneOut || !s.shareValid(now) || t.statusKnown && t.status.State == TargetDraining {
		return 0
	}
	return min(max(t.allowance, 1)+spareConns, s.maxConns())
}

// adjustConns opens or closes connections to reach wantedConns. It opens one at a
// time, so that a target that starts or returns does not get many at once, and
// closes only idle ones.
func (s *Shard) adjustConns(now time.Time, t *target) {
	wanted := s.wantedConns(now, t)
	opening := false
	for _, c := range t.conns {
		opening = opening || c.state == connOpening
	}
	if len(t.conns) > wanted {
		s.closeSurplusConns(t, len(t.conns)-wanted)
		return
	}
	if opening || len(t.conns) >= wanted || !t.reachable {
		return
	}
	if now.Before(t.reconnectAt) {
		s.scheduleMaintenance(t.reconnectAt)
		return
	}
	s.connSeq++
	s.stats.ConnsOpened++
	t.conns = append(t.conns, &conn{id: s.connSeq, state: connOpening})
	s.emit(OpenConn{Target: t.address, Conn: s.connSeq})
}

// closeSurplusConns closes unused connections until surplus are closing. Those in use
// are closed by later maintenance.
func (s *Shard) closeSurplusConns(t *target, surplus int) {
	for _, c := range t.conns {
		if c.state == connClosing {
			surplus--
		}
	}
	for _, c := range t.conns {
		if surplus > 0 && c.state != connClosing && c.attempt == nil {
			s.closeConn(t, c)
			surplus--
		}
	}
}
