package serve

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/catalog"
)

const (
	// noticeRetention is how long the notices of a process are kept. Its entry may come
	// back until the process has ended.
	noticeRetention = 2 * time.Minute
	// lastResortPercent is the part of Settings.DrainWithin, in percent, for which a
	// leaving target serves the requests of a service without another target. The
	// rest is for requests that are on their way and for clocks.
	lastResortPercent = 50
)

// processNotices holds what processes have said of themselves. It outlasts the entries of
// their targets, which can lapse and return.
type processNotices map[processID]processNotice

// processNotice is what a process has said of itself.
type processNotice struct {
	leavingSince time.Time // when it said first that it is about to end; zero if it has not
	backoffUntil time.Time // until when it wants no requests of this VM
	at           time.Time // of the last notice
}

// processID identifies the process of a target. The process that starts next may
// have the same id or address.
type processID struct {
	target, address string
	startedUnixMs   int64
}

func processOf(reg *catalog.Target) processID {
	return processID{target: reg.ID, address: reg.Address, startedUnixMs: reg.StartedUnixMs}
}

// prune removes the notices that are too old to matter.
func (p processNotices) prune(now time.Time) {
	for id, n := range p {
		if now.Sub(n.at) > noticeRetention {
			delete(p, id)
		}
	}
}

// targetLeaving takes a target out of the choice for new attempts, as its process
// is about to end.
func (e *Engine) targetLeaving(now time.Time, t *target) {
	if !t.lastResortUntil.IsZero() {
		return
	}
	n := e.notices[processOf(t.reg)]
	n.leavingSince, n.at = now, now
	e.notices[processOf(t.reg)] = n
	t.lastResortUntil = e.lastResortEnd(now)
	e.emit(LogEvent{Event: LogTargetLeaving, Service: t.service.name, Target: t.reg.ID, Duration: t.lastResortUntil.Sub(now)})
}

// lastResortEnd returns until when a target that said at the given time that it is
// about to end may serve requests for want of another target.
func (e *Engine) lastResortEnd(since time.Time) time.Time {
	return since.Add(e.settings.DrainWithin * lastResortPercent / 100)
}

// isLeaving reports whether the target's process is about to end.
func (t *target) isLeaving() bool { return !t.lastResortUntil.IsZero() }

// startBackoff keeps new attempts from a target that has asked for it.
func (e *Engine) startBackoff(now time.Time, t *target, d time.Duration) {
	if until := now.Add(d); until.After(t.backoffUntil) {
		t.backoffUntil = until
		n := e.notices[processOf(t.reg)]
		n.backoffUntil, n.at = until, now
		e.notices[processOf(t.reg)] = n
		e.emit(LogEvent{Event: LogTargetBackoff, Service: t.service.name, Target: t.reg.ID, Duration: d})
	}
}

// backsOff reports whether the target has asked this VM to send nothing for now.
func (t *target) backsOff(now time.Time) bool { return now.Before(t.backoffUntil) }

// backoffLeft returns how long it takes until a usable target of the service takes
// requests again. It is zero if one does now or none is usable.
func (s *service) backoffLeft(now time.Time) time.Duration {
	var shortest time.Duration
	for _, t := range s.targets {
		if !t.usable(now) {
			continue
		}
		left := t.backoffUntil.Sub(now)
		if left <= 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// hasStayingTarget reports whether the service has a usable target whose process is
// not about to end.
func (s *service) hasStayingTarget(now time.Time) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.usable(now) && !t.isLeaving() })
}
