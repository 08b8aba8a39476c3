// Package callers decides which callers are refused first while work has to be
// refused. A Tracker is given the requests, what became of them and the time. It keeps
// for each caller how much was admitted lately and how often it repeated a refused
// request before the time that it was told, and the waits that callers were told. Its
// size is fixed.
package callers

import (
	"hash/fnv"
	"time"
)

const (
	// pressureTime is how long after a refusal for want of capacity callers are
	// restricted.
	pressureTime = time.Second
	// shareMultiple is the multiple of the mean of all callers above which a caller is
	// over its share. Poisson arrivals of equal callers seldom exceed it in a halfLife.
	shareMultiple = 2.0
	// floorInterval is the time after an admitted request from which on another one is
	// not refused for the caller's share.
	floorInterval = time.Second
	// repeatCost is how many admitted requests a repeat before the told time counts as.
	repeatCost = 3.0
	// maxPressed bounds the cost of repeats, so that a caller that stops pressing is
	// within its share again after some halfLives.
	maxPressed = 12.0
	// earlyTolerance covers the rounding of the told time to milliseconds and timers of
	// callers that fire early.
	earlyTolerance = 5 * time.Millisecond
	// fullTime is how long an expectation that there is no room for callers over their
	// share is used for others of them. Targets finish little in it.
	fullTime = 20 * time.Millisecond
)

// Caller identifies a caller in one group. The callers of a group compete for the same
// work: those of one route, or of a route within a workspace.
type Caller struct{ group, id uint64 }

// NewCaller returns the caller with an address. The workspace is empty if no key is
// needed.
func NewCaller(workspace, route, address string) Caller {
	h := fnv.New64a()
	for _, part := range []string{workspace, route} {
		_, _ = h.Write([]byte(part + "\x00")) // a write to a hash does not fail
	}
	group := h.Sum64()
	_, _ = h.Write([]byte(address))
	return Caller{group: group, id: h.Sum64()}
}

// Standing is how a caller's request is admitted.
type Standing uint8

// The standings of a request.
const (
	Fair      Standing = iota
	OverShare          // admitted only while there is room for others after it
	Waited             // a retry of a caller that has waited as told, which goes before others
)

var standingNames = [...]string{"fair", "over_share", "waited"}

// String returns the name used in logs.
func (s Standing) String() string { return standingNames[s] }

// Cause is why a request is refused.
type Cause uint8

// The causes of a refusal.
const (
	None        Cause = iota
	EarlyRepeat       // the caller repeats a request before the time that it was told
	Share             // the caller is over its share
)

var causeNames = [...]string{"", "early_repeat", "over_share"}

// String returns the name used in logs and metrics.
func (c Cause) String() string { return causeNames[c] }

// Verdict is what a Tracker decides about a request. RetryAfter is set with Refusal.
type Verdict struct {
	Standing   Standing
	Refusal    Cause
	RetryAfter time.Duration
	Measure    float64 // of the caller: requests admitted lately, and its early repeats
	Mean       float64 // of the admitted requests of the callers that are present
}

// Tracker holds the state of all callers of a VM.
type Tracker struct {
	start  time.Time
	shares shareTable
	waits  waitTable
	groups map[uint64]*group

	repeatedAt  time.Duration      // last early repeat at this VM
	elsewhere   map[uint64]float64 // by id of the caller: cost of early repeats at other VMs
	elsewhereAt time.Duration      // when it was set
}

// maxGroups bounds the groups that are kept. Only groups of the configuration that had
// to refuse work are.
const maxGroups = 256

// group holds what the callers of a group have in common.
type group struct {
	overloadedAt time.Duration // last refusal for want of capacity
	fullUntil    time.Duration // until when callers over their share are refused at once
	fullWait     time.Duration // wait that they are told
	mean         float64       // mean of the admitted requests of the callers that are present
	meanAt       time.Duration // when it was computed; zero if it never was
}

// New returns a Tracker without callers.
func New(now time.Time) *Tracker {
	return &Tracker{start: now, groups: make(map[uint64]*group)}
}

// since returns the time since the start of the tracker, above zero.
func (l *Tracker) since(now time.Time) time.Duration { return max(now.Sub(l.start), 0) + 1 }

// Judge decides about a request before any other work is done for it. Without a recent
// refusal for want of capacity every request is Fair.
func (l *Tracker) Judge(now time.Time, c Caller, fingerprint uint64) Verdict {
	at := l.since(now)
	g := l.groups[c.group]
	if g == nil || at-g.overloadedAt > pressureTime {
		return Verdict{}
	}
	w := l.waits.find(at, waitID(c, fingerprint))
	if w == nil {
		return l.judgeShare(at, g, c, false)
	}
	if left := w.until - at; left > earlyTolerance {
		s := l.shares.entry(at, c)
		s.pressed = min(s.pressed+repeatCost, maxPressed)
		l.repeatedAt = at
		return Verdict{Refusal: EarlyRepeat, RetryAfter: left, Measure: s.measure(), Mean: g.mean}
	}
	*w = wait{} // one retry is preferred
	return l.judgeShare(at, g, c, true)
}

// judgeShare decides about a request that is no early repeat. A caller over its share
// that has waited as told is treated like others.
func (l *Tracker) judgeShare(at time.Duration, g *group, c Caller, waited bool) Verdict {
	v := Verdict{Mean: l.meanOf(at, g, c.group), Measure: l.costElsewhere(at, c)}
	hasFloor := true // is not refused at once, see floorInterval
	if s := l.shares.find(at, c); s != nil {
		v.Measure = s.admitted + max(s.pressed, v.Measure)
		hasFloor = s.admitted == 0 || at-s.admittedAt >= floorInterval
	}
	isOver := v.Measure > max(shareMultiple*v.Mean, 1)
	switch {
	case waited && !isOver:
		v.Standing = Waited
	case isOver && !waited:
		v.Standing = OverShare
		if at < g.fullUntil && !hasFloor {
			v.Refusal, v.RetryAfter = Share, g.fullWait
		}
	}
	return v
}

// meanOf returns the mean of a group, which is computed anew when it is older than
// meanInterval.
func (l *Tracker) meanOf(at time.Duration, g *group, id uint64) float64 {
	const meanInterval = 250 * time.Millisecond // a scan of all callers takes some 10 us
	if g.meanAt == 0 || at-g.meanAt > meanInterval {
		g.mean, g.meanAt = l.shares.mean(at, id), at
	}
	return g.mean
}

// Admitted counts an admitted request.
func (l *Tracker) Admitted(now time.Time, c Caller) {
	at := l.since(now)
	s := l.shares.entry(at, c)
	s.admitted++
	s.admittedAt = at
}

// Told records that a request was refused and its caller told to wait.
func (l *Tracker) Told(now time.Time, c Caller, fingerprint uint64, wait time.Duration) {
	at := l.since(now)
	l.waits.set(waitID(c, fingerprint), at+wait)
}

// Overloaded records that there was no capacity for a request of a group, whoever its
// caller was.
func (l *Tracker) Overloaded(now time.Time, c Caller) {
	at := l.since(now)
	g := l.groups[c.group]
	if g == nil {
		l.dropOldGroups(at)
		g = &group{}
		l.groups[c.group] = g
	}
	g.overloadedAt = at
}

// Full records that there is no room for callers over their share, and how long they
// are to wait.
func (l *Tracker) Full(now time.Time, c Caller, wait time.Duration) {
	if g := l.groups[c.group]; g != nil {
		g.fullUntil, g.fullWait = l.since(now)+fullTime, wait
	}
}

// dropOldGroups makes room for a group: it drops those without pressure, and all if
// none is.
func (l *Tracker) dropOldGroups(at time.Duration) {
	if len(l.groups) < maxGroups {
		return
	}
	for id, g := range l.groups {
		if at-g.overloadedAt > pressureTime {
			delete(l.groups, id)
		}
	}
	if len(l.groups) >= maxGroups {
		clear(l.groups)
	}
}
