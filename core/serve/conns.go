package serve

import (
	"slices"
	"time"
)

// maintenanceInterval is how often missing connections are opened, surplus ones
// closed, and targets without an entry removed.
const maintenanceInterval = 100 * time.Millisecond

// maintain does the periodic upkeep of connections, targets and queues.
func (e *Engine) maintain(now time.Time) {
	if now.Before(e.maintainAt) {
		return
	}
	e.maintainAt = now.Add(maintenanceInterval)
	for _, s := range e.servicesByName { // before the targets are looked at without regard to the queue
		e.connectForQueued(now, s)
	}
	for _, s := range e.servicesByName {
		for _, t := range slices.Backward(s.targets) { // maintainTarget may remove it
			e.maintainTarget(now, t)
		}
	}
	for _, s := range e.servicesByName {
		e.failQueued(now, s)
		e.startQueued(now, s) // a backoff may have ended
	}
	e.notices.prune(now)
}

// maintainTarget opens and closes connections of a target, and removes one that has had
// no entry for long enough.
func (e *Engine) maintainTarget(now time.Time, t *target) {
	e.ensureSpareConn(now, t)
	e.closeSurplusConn(now, t)
	if t.registered(now) && (e.wantsSpareConns(now, t) || t.idleTime(now) <= inactiveIdleTimeout) {
		return
	}
	e.closeIdleConns(t, ConnIdle)
	if len(t.conns) == 0 && t.missing && !now.Before(t.lapsedUntil) {
		e.removeTarget(t.reg.ID, t)
	}
}

// inactiveIdleTimeout is how long a VM that gets no callers keeps unused
// connections. Targets accept too few connections for all VMs.
const inactiveIdleTimeout = time.Second

// surplusIdleTimeout is how long idle connections beyond spareConns are kept.
// After VMs lose power, their targets hold the old connections for a while, and
// new ones fit beside them only if there are few.
const surplusIdleTimeout = 5 * time.Second

// closeSurplusConn closes the connection that has been idle longest if there
// are more idle ones than spareConns.
func (e *Engine) closeSurplusConn(now time.Time, t *target) {
	idle := 0
	var oldest *conn
	for _, c := range t.conns {
		if !c.open || c.attempt != nil {
			continue
		}
		idle++
		if oldest == nil || c.usedAt.Before(oldest.usedAt) {
			oldest = c
		}
	}
	if idle > spareConns && now.Sub(oldest.usedAt) > surplusIdleTimeout {
		e.dropConn(oldest, ConnIdle)
	}
}

// idleTime returns the time since the most recent use of a connection to the
// target, zero if it has none.
func (t *target) idleTime(now time.Time) time.Duration {
	shortest := time.Duration(0)
	for i, c := range t.conns {
		if d := now.Sub(c.usedAt); i == 0 || d < shortest {
			shortest = d
		}
	}
	return shortest
}

// ensureSpareConn opens a connection if the target has fewer idle ones than
// spareConns. It opens one at a time, so that a target that returns is not
// flooded.
func (e *Engine) ensureSpareConn(now time.Time, t *target) {
	if !t.registered(now) || now.Before(t.nextConnectAt) {
		return
	}
	idle := 0
	for _, c := range t.conns {
		if !c.open {
			return // a connection is being opened
		}
		if c.attempt == nil {
			idle++
		}
	}
	if idle < spareConns && len(t.conns) < e.maxConns(t.service) && e.wantsSpareConns(now, t) {
		e.openConn(now, t)
	}
}

// openConn opens a connection to a target.
func (e *Engine) openConn(now time.Time, t *target) {
	e.connSeq++
	c := &conn{id: e.connSeq, target: t, usedAt: now}
	cause := e.connCause(t)
	t.conns, t.closedBy = append(t.conns, c), 0
	e.conns[c.id] = c
	e.emit(OpenConn{Conn: c.id, Address: t.reg.Address, Cause: cause})
}

// wantsSpareConns reports whether idle connections to the target are kept. A VM
// that gets no callers opens connections only when work is queued.
func (e *Engine) wantsSpareConns(now time.Time, t *target) bool {
	if t.isLeaving() && t.service.hasStayingTarget(now) {
		return false
	}
	if len(t.service.queue) > 0 && t.service.queueNeedsConns(now) {
		return true
	}
	return e.view.IsActive() && t.service.routed && (now.Sub(t.startedAt) < spareRetention || e.isSpareTarget(now, t))
}

// isSpareTarget reports whether a target is one of those of its service that spare
// connections are kept to without work: spareTargets of a shard, and of other services
// all of this zone, or poolSpareTargets. The sound ones in this zone come first.
func (e *Engine) isSpareTarget(now time.Time, t *target) bool {
	if !t.service.isShard && t.reg.Zone == e.settings.Zone {
		return true
	}
	ahead, passed := 0, false
	for _, o := range t.service.targets {
		if o == t {
			passed = true
			continue
		}
		near, otherNear := t.reg.Zone == e.settings.Zone, o.reg.Zone == e.settings.Zone
		if o.isSound(now) && (otherNear && !near || otherNear == near && !passed) {
			ahead++
		}
	}
	if t.service.isShard {
		return ahead < spareTargets
	}
	return ahead < poolSpareTargets
}

func (e *Engine) connOpened(now time.Time, ev ConnOpened) {
	c := e.conns[ev.Conn]
	if c == nil {
		return
	}
	c.open, c.usedAt = true, now
	t := c.target
	t.connected = true
	if !t.registered(now) {
		e.dropConn(c, ConnIdle)
		return
	}
	e.settle(now, c)
	e.ensureSpareConn(now, t)
	e.startQueued(now, t.service)
}

// connClosed handles a closed connection. If it never carried an answer, the
// target gets no new one until a backoff has passed.
func (e *Engine) connClosed(now time.Time, ev ConnClosed) {
	c := e.conns[ev.Conn]
	if c == nil {
		return
	}
	t := c.target
	if a := c.attempt; a != nil {
		e.attemptDone(now, AttemptDone{Attempt: a.id, Conn: c.id, Kind: ConnLost, Cause: ev.Cause})
		return
	}
	neverAnswered := !c.open || !c.verified && now.Sub(c.usedAt) < resetWindow
	cause := ConnIdle
	if neverAnswered {
		cause = ConnLoss
	}
	e.dropConn(c, cause)
	if neverAnswered {
		t.nextConnectAt = now.Add(min(connectBackoff<<min(t.connectFailures, 6), maxConnectBackoff))
		t.connectFailures++
		if ev.Refused {
			e.detectCrash(now, t)
		}
	}
	e.ensureSpareConn(now, t)
	e.connectForQueued(now, t.service)
}

// dropConn closes a connection and removes it. The cause is that of the next one.
func (e *Engine) dropConn(c *conn, cause ConnCause) {
	delete(e.conns, c.id)
	t := c.target
	t.closedBy = cause
	t.conns = slices.DeleteFunc(t.conns, func(o *conn) bool { return o == c })
	if !slices.ContainsFunc(t.conns, func(o *conn) bool { return o.open }) {
		t.connected = false
	}
	e.emit(CloseConn{Conn: c.id})
}

func (e *Engine) closeIdleConns(t *target, cause ConnCause) {
	for _, c := range slices.Clone(t.conns) {
		if c.attempt == nil {
			e.dropConn(c, cause)
		}
	}
}
