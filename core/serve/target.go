package serve

import (
	"time"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/timer"
)

const (
	// lapseGap is a time without a confirmed copy after which entries may have
	// lapsed only because their targets could not reach the store.
	lapseGap = 1500 * time.Millisecond
	// lapseHold is how long after such a gap a target without an entry is kept:
	// the platform restores the entries of live targets within two seconds.
	lapseHold = 2200 * time.Millisecond

	connectPause   = 100 * time.Millisecond // after a failed connection; doubles with each in a row
	connectPauseTo = 500 * time.Millisecond
	// connsUsed is the part of a target's connections, in percent, that all VMs
	// together use. When all lose power, a target holds the old connections for
	// a while, and each VM needs another one beside them.
	connsUsed  = 65
	spareConns = 1 // idle connections kept to a target in use

	ejectAfter   = 3                      // failed attempts in a row
	ejectPause   = 500 * time.Millisecond // doubles with each ejection in a row
	ejectPauseTo = 4 * time.Second

	failureMemory = 3 * time.Second       // over which the rate of failures fades
	loadLeast     = 20 * time.Millisecond // a load report says something for at least so long
	loadAttempts  = 3                     // and for as many times the service's mean attempt
	slowMost      = 4.0                   // slowness that a single attempt shows at most
	slowMemory    = 2 * time.Second       // a target without samples for so long counts as usual again

	stallFactor = 2 // times the 95th percentile without an answer

	limitStart = 4   // attempts at once at a target that has not shown what it bears
	limitDrop  = 0.6 // of the limit that is kept when the target sheds
	limitGain  = 0.1 // added to the limit by an answer without a queue at the target
)

// target is one server of a service as this VM sees it.
type target struct {
	reg       *catalog.Target
	service   *service
	listed    bool      // registered, not draining, in a zone that is in service
	lapsesAt  time.Time // the entry is missing; kept until then
	coldUntil time.Time
	cold      coldLimit

	conns        []*conn
	connectAt    time.Time // no connection is opened before
	connectFails int
	reached      bool // a connection was open since the last failure

	running      []*attempt
	limit        float64
	slowness     float64 // time of attempts in units of their route's median
	sampleAt     time.Time
	failures     float64 // fading share of attempts that failed
	failedAt     time.Time
	failsInRow   int
	ejections    int
	ejectedUntil time.Time
	answeredAt   time.Time
	load         Load
	loadAt       time.Time
	lostAt       time.Time // connection loss with attempts in flight
	lost         []uint64  // fingerprints of those attempts
}

// conn is one connection to a target.
type conn struct {
	id      ConnID
	target  *target
	open    bool
	used    bool // carried an answer; a target that is full resets a connection before
	attempt *attempt
	closeAt time.Time // the target closes it when idle; zero when unknown
	usedAt  time.Time
}

// attempt is one request at one target.
type attempt struct {
	id      AttemptID
	part    *part // nil when its query has ended
	route   *routeState
	print   uint64
	target  *target
	conn    *conn
	started time.Time
	end     timer.Timer[timed] // when a connection is given up whose query has ended
}

// usable reports whether the target may get new attempts.
func (t *target) usable(now time.Time) bool {
	return t.reached && t.registered(now)
}

// registered reports whether the target's entry lets it be used.
func (t *target) registered(now time.Time) bool {
	return !t.reg.Draining && (t.listed || now.Before(t.lapsesAt))
}

// ejected reports whether the target is avoided because its attempts failed.
func (t *target) ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// idleConn returns the connection that was used last, nil when all are busy.
// One that the target is about to close is passed over.
func (t *target) idleConn(now time.Time) *conn {
	var best *conn
	for _, c := range t.conns {
		if !c.open || c.attempt != nil || !c.closeAt.IsZero() && !now.Before(c.closeAt) {
			continue
		}
		if best == nil || c.usedAt.After(best.usedAt) {
			best = c
		}
	}
	return best
}

// free reports whether the target can take an attempt now.
func (t *target) free(now time.Time) bool {
	return t.usable(now) && len(t.running) < max(int(t.limit), 1) && t.cold.allows(now) && t.idleConn(now) != nil
}

// failed notes a failed attempt and ejects the target after several in a row.
func (e *Engine) failed(now time.Time, t *target, cause string) {
	t.fadeFailures(now)
	t.failures += (1 - t.failures) / 4
	t.failsInRow++
	if t.failsInRow < ejectAfter || t.ejected(now) {
		return
	}
	pause := min(ejectPause<<min(t.ejections, 5), ejectPauseTo)
	t.ejections++
	t.failsInRow = 0
	t.ejectedUntil = now.Add(pause)
	e.emit(LogEvent{Event: LogTargetEjected, Service: t.service.name, Target: t.reg.ID, Cause: cause, Duration: pause, Count: t.ejections})
}

// succeeded notes an answer.
func (e *Engine) succeeded(now time.Time, t *target) {
	t.fadeFailures(now)
	t.failures -= t.failures / 8
	t.failsInRow, t.connectFails = 0, 0
	t.answeredAt = now
	if t.ejections > 0 && !t.ejected(now) {
		e.emit(LogEvent{Event: LogTargetRestored, Service: t.service.name, Target: t.reg.ID, Count: t.ejections})
		t.ejections = 0
	}
}

func (t *target) fadeFailures(now time.Time) {
	if d := now.Sub(t.failedAt); d > 0 {
		t.failures *= max(0, 1-d.Seconds()/failureMemory.Seconds())
		t.failedAt = now
	}
}

// sample records how long an attempt took, in units of the route's median. One
// that met a pause of the target says nothing of the next ones and counts for
// little.
func (t *target) sample(now time.Time, ratio float64) {
	ratio = min(ratio, slowMost)
	if t.sampleAt.IsZero() || now.Sub(t.sampleAt) > slowMemory {
		t.slowness = ratio
	}
	t.sampleAt = now
	t.slowness += (ratio - t.slowness) / 8
}

// expectedSlowness is 1 for a target without recent samples, so that one that
// was slow is tried again.
func (t *target) expectedSlowness(now time.Time) float64 {
	if t.sampleAt.IsZero() || now.Sub(t.sampleAt) > slowMemory {
		return 1
	}
	return t.slowness
}

// othersWork estimates the requests of other VMs at the target, from its last
// load report.
func (t *target) othersWork(now time.Time) float64 {
	age, fresh := now.Sub(t.loadAt), max(loadAttempts*t.service.took, loadLeast)
	if t.loadAt.IsZero() || age >= fresh {
		return 0
	}
	others := t.load.Running + t.load.Queued - len(t.running)
	return float64(max(others, 0)) * (1 - age.Seconds()/fresh.Seconds())
}

// stalled reports whether an attempt is overdue and nothing has answered since
// it began: the target pauses, or its connections are silent.
func (t *target) stalled(now time.Time) bool {
	for _, a := range t.running {
		if now.Sub(a.started) > stallFactor*a.route.latency.P95 && !t.answeredAt.After(a.started) {
			return true
		}
	}
	return false
}

func (t *target) slots() int { return max(t.reg.Slots, 1) }
