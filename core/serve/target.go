package serve

import (
	"time"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/timer"
)

const (
	connectBackoff    = 100 * time.Millisecond // after a failed connection; doubles with each further failure
	maxConnectBackoff = 500 * time.Millisecond
	// connsUsedPercent is the share of a target's connections, in percent, that
	// all VMs use together. When all VMs lose power, a target holds the old
	// connections for a while, and each VM needs another one beside them.
	connsUsedPercent = 65
	spareConns       = 1 // idle connections kept to each target in use

	// spareTargets is the number of targets of a shard that spare connections are
	// kept to, besides those in use: for attempts, for hedges, and for the case that
	// the first two are slow. Targets close connections that stay idle, so that each
	// further one would be opened again and again without being used.
	spareTargets = 3
	// spareRetention is how long a target counts as in use after an attempt.
	spareRetention = 10 * time.Second
	// resetWindow is the time after opening within which the end of a connection
	// shows that the target does not accept it. Later an idle one has timed out.
	resetWindow = time.Second

	ejectAfterFailures = 3 // consecutive failed attempts after which a target is ejected
	// shedTolerance is the time since a target's last answer for which refusals do
	// not eject it.
	shedTolerance   = time.Second
	ejectBackoff    = 500 * time.Millisecond // first ejection; doubles with each further one
	maxEjectBackoff = 4 * time.Second

	failureDecay         = 3 * time.Second       // time constant with which the failure ratio decays
	minLoadValidity      = 20 * time.Millisecond // shortest time for which a load report is used
	loadValidityAttempts = 3                     // validity of a load report, as a multiple of the service's mean attempt duration
	maxSlowness          = 4.0                   // upper limit on the slowness of a single attempt
	slownessValidity     = 2 * time.Second       // the slowness (latency as a multiple of the route's median) counts as 1 once its last sample is older than this

	// stallFactor times the 95th percentile of the route's latency (99th for
	// abandoned attempts) is the time after which an unanswered attempt is overdue.
	stallFactor = 2
)

// target is the state of one server of a service on this VM.
type target struct {
	reg         *catalog.Target // current entry, or the last one
	service     *service
	missing     bool      // has no entry
	lapsedUntil time.Time // until when a missing entry may have lapsed; zero if it was removed
	zoneOut     bool      // its zone is out of service
	replaced    bool      // another process has answered at its address since the entry was read
	coldUntil   time.Time
	// lastResortUntil is set once the target's process has said that it is about to
	// end. Until then it serves requests for want of another target, and none later.
	lastResortUntil time.Time
	backoffUntil    time.Time // the target wants no requests of this VM until then
	coldLimiter     coldLimiter

	conns           []*conn
	nextConnectAt   time.Time // no connection is opened before it
	connectFailures int
	connected       bool      // a connection is open and reaches the right process
	closedBy        ConnCause // end of the last connection, if none was opened since

	running             []*attempt
	startedAt           time.Time // last start of an attempt
	window              window
	speed                       // how fast the target works
	failureRatio        float64 // decaying ratio of failed attempts
	failuresDecayedAt   time.Time
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	answeredAt          time.Time
	reportedLoad
	connsLostAt      time.Time // last loss of a connection with an attempt in flight
	lostFingerprints []uint64  // requests that were in flight on lost connections
}

// conn is one connection to a target.
type conn struct {
	id             ConnID
	target         *target
	open           bool
	verified       bool // has carried an answer; a target whose connections are all taken resets a new one before that
	attempt        *attempt
	usableAt       time.Time // see settleTime
	targetClosesAt time.Time // when the target closes it if it stays idle; zero if unknown
	usedAt         time.Time
}

// attempt is one try to run a sub-request at a target.
type attempt struct {
	id           AttemptID
	subRequest   *subRequest // nil when its answer is no longer needed
	route        *routeState
	priority     int
	fingerprint  uint64
	target       *target
	conn         *conn
	started      time.Time
	abandonTimer timer.Timer[timerOwner] // ends an attempt whose answer is no longer needed
}

// usable reports whether the target may get new attempts: it is registered and
// has an open connection.
func (t *target) usable(now time.Time) bool {
	return t.connected && t.registered(now)
}

// registered reports whether the target may get attempts: it has an entry, or one that
// may have lapsed, and nothing else takes it out of service. All that keeps a target
// without an entry is subject to the same conditions.
func (t *target) registered(now time.Time) bool {
	switch {
	case t.zoneOut, t.replaced, t.reg.Draining, t.isLeaving() && !now.Before(t.lastResortUntil):
		return false
	case t.missing:
		return now.Before(t.lapsedUntil)
	}
	return true
}

// isSound reports whether nothing speaks against attempts at the target: it is
// registered, and its connections and attempts have not failed lately.
func (t *target) isSound(now time.Time) bool {
	return t.registered(now) && !t.ejected(now) && !t.isLeaving() && !t.backsOff(now) && t.connectFailures == 0
}

// ejected reports whether the target is avoided after consecutive failures.
func (t *target) ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// idleConn returns the most recently used idle connection, or nil. It skips
// connections that the target is about to close, and those that it may not accept.
func (t *target) idleConn(now time.Time) *conn {
	var best *conn
	for _, c := range t.conns {
		if !c.open || c.attempt != nil || now.Before(c.usableAt) || !c.targetClosesAt.IsZero() && !now.Before(c.targetClosesAt) {
			continue
		}
		if best == nil || c.usedAt.After(best.usedAt) {
			best = c
		}
	}
	return best
}

// canAccept reports whether an attempt of a priority can start at the target now.
func (t *target) canAccept(now time.Time, priority int) bool {
	return t.usable(now) && !t.backsOff(now) && t.hasRoom(now, priority) && t.coldLimiter.allows(now) && t.idleConn(now) != nil
}

// targetShed records a refused attempt. A target that refuses some requests and
// answers others is not ejected: the remaining targets would get the work of all,
// and take far longer than another attempt.
func (e *Engine) targetShed(now time.Time, t *target) {
	t.window.shed()
	if now.Sub(t.answeredAt) <= shedTolerance {
		t.recordFailure(now)
		return
	}
	e.targetFailed(now, t, Shed.String())
}

// recordFailure makes the target more expensive for a while.
func (t *target) recordFailure(now time.Time) {
	t.decayFailures(now)
	t.failureRatio += (1 - t.failureRatio) / 4
}

// targetFailed records a failed attempt and ejects the target after several
// consecutive ones.
func (e *Engine) targetFailed(now time.Time, t *target, cause string) {
	t.recordFailure(now)
	t.consecutiveFailures++
	if t.consecutiveFailures < ejectAfterFailures || t.ejected(now) {
		return
	}
	backoff := min(ejectBackoff<<min(t.ejections, 5), maxEjectBackoff)
	t.ejections++
	t.consecutiveFailures = 0
	t.ejectedUntil = now.Add(backoff)
	e.emit(LogEvent{Event: LogTargetEjected, Service: t.service.name, Target: t.reg.ID, Cause: cause, Duration: backoff, Count: t.ejections})
}

// targetSucceeded records an answer. The first one after an ejection restores
// the target.
func (e *Engine) targetSucceeded(now time.Time, t *target) {
	t.decayFailures(now)
	t.failureRatio -= t.failureRatio / 8
	t.consecutiveFailures, t.connectFailures = 0, 0
	t.answeredAt = now
	if t.ejections > 0 && !t.ejected(now) {
		e.emit(LogEvent{Event: LogTargetRestored, Service: t.service.name, Target: t.reg.ID, Count: t.ejections})
		t.ejections = 0
	}
}

func (t *target) decayFailures(now time.Time) {
	if d := now.Sub(t.failuresDecayedAt); d > 0 {
		t.failureRatio *= max(0, 1-d.Seconds()/failureDecay.Seconds())
		t.failuresDecayedAt = now
	}
}

// stalled reports whether an attempt is overdue and the target has answered
// nothing since the attempt began: it pauses, or its connections carry no data.
func (t *target) stalled(now time.Time) bool {
	for _, a := range t.running {
		if float64(now.Sub(a.started)) > stallFactor*float64(a.route.atPace1.P95)*t.expectedPace(now) && !t.answeredAt.After(a.started) {
			return true
		}
	}
	return false
}

func (t *target) slots() int { return max(t.reg.Slots, 1) }
