package route

import (
	"slices"
	"time"
)

const (
	// controlConns is how many connections the target task may hold open besides
	// those of attempts: one for status reads, one for cancellations.
	controlConns  = 2
	spareConns    = 1
	reconnectWait = 20 * time.Millisecond // doubles with each failure in a row
	reconnectLast = 2 * time.Second
)

type connState uint8

const (
	connOpening    connState = iota
	connUnverified           // open, but no status was read since
	connReady                // usable, or busy when an attempt is set
	connClosing              // CloseConn was emitted or the connection is spent; ConnClosed follows
)

// conn is one connection to a target.
type conn struct {
	id       ConnID
	state    connState
	openedAt time.Time
	attempt  *attempt
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

func (t *target) conn(id ConnID) *conn {
	for _, c := range t.conns {
		if c.id == id {
			return c
		}
	}
	return nil
}

func (g *Shard) connOpened(now time.Time, ev ConnOpened) {
	t := g.byName[ev.Target]
	if t == nil {
		return
	}
	c := t.conn(ev.Conn)
	if c == nil || c.state != connOpening {
		return
	}
	c.state, c.openedAt = connUnverified, now
	g.dirty = true
	g.emit(ProbeNow{Target: t.address})
}

// verify puts connections into use that were open before a status read began:
// the read would have shown a restart.
func (g *Shard) verify(t *target, began time.Time) {
	if began.Before(t.verifyFrom) {
		return
	}
	for _, c := range t.conns {
		if c.state == connUnverified && !began.Before(c.openedAt) {
			c.state = connReady
			t.retries = 0
		}
	}
}

func (g *Shard) connClosed(now time.Time, ev ConnClosed) {
	t := g.byName[ev.Target]
	if t == nil {
		return
	}
	i := slices.IndexFunc(t.conns, func(c *conn) bool { return c.id == ev.Conn })
	if i < 0 {
		return
	}
	c := t.conns[i]
	t.conns = slices.Delete(t.conns, i, i+1)
	if a := c.attempt; a != nil { // its end should have come first
		g.attemptDone(now, &AttemptDone{Attempt: a.id, Result: ResultConnLost})
	}
	if ev.Refused {
		g.crashEvidence(now, t)
		t.reached = false
	}
	if c.state == connOpening || c.state == connUnverified {
		g.backOff(now, t)
	}
	g.dirty = true
}

// backOff delays the next connection to a target where the last one failed.
func (g *Shard) backOff(now time.Time, t *target) {
	wait := min(reconnectWait<<min(t.retries, 10), reconnectLast)
	t.retries++
	t.retryAt = now.Add(wait/2 + time.Duration(g.jitter.Int63n(int64(wait))))
}

func (g *Shard) closeConn(t *target, c *conn) {
	if c.state == connClosing {
		return
	}
	c.state = connClosing
	g.emit(CloseConn{Target: t.address, Conn: c.id})
}

// connLimit is how many connections for attempts this home may have to a target.
func (g *Shard) connLimit() int {
	share := g.assigned.Share.Connections
	return max(share-controlConns, min(share, 1))
}

// wantedConns is one connection for every slot and a spare one; none to a
// target that gets no attempts.
func (g *Shard) wantedConns(now time.Time, t *target) int {
	if !t.listed || t.zoneOut || !g.holds(now) || t.known && t.status.State == TargetDraining {
		return 0
	}
	return min(max(t.allowance, 1)+spareConns, g.connLimit())
}

// keepConns opens one connection at a time, so that a target that starts or
// returns does not meet a crowd of them, and closes idle ones beyond the need.
func (g *Shard) keepConns(now time.Time, t *target) {
	wanted := g.wantedConns(now, t)
	opening := false
	for _, c := range t.conns {
		opening = opening || c.state == connOpening
	}
	if len(t.conns) > wanted {
		g.closeSurplus(t, len(t.conns)-wanted)
		return
	}
	if opening || len(t.conns) >= wanted || !t.reached {
		return
	}
	if now.Before(t.retryAt) {
		g.wake(t.retryAt)
		return
	}
	g.connSeq++
	g.stats.ConnsOpened++
	t.conns = append(t.conns, &conn{id: g.connSeq, state: connOpening})
	g.emit(OpenConn{Target: t.address, Conn: g.connSeq})
}

func (g *Shard) closeSurplus(t *target, surplus int) {
	for _, c := range t.conns {
		if c.state == connClosing {
			surplus--
		}
	}
	for _, c := range t.conns {
		if surplus > 0 && c.state != connClosing && c.attempt == nil {
			g.closeConn(t, c)
			surplus--
		}
	}
}
