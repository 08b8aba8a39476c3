package serve

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/callers"
	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/latency"
	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/quota"
	"github.com/anvilfork/anvilfork/core/retry"
	"github.com/anvilfork/anvilfork/core/timer"
)

// Settings are the parameters of an Engine. They don't change while it runs.
type Settings struct {
	Zone string
	// MaxKeyCopyAge is the age of the copy of the store above which requests
	// with keys are refused, since a key may have been withdrawn meanwhile.
	MaxKeyCopyAge time.Duration
	// DrainWithin is the time after which a target that has said that it is about to
	// end may get no more requests.
	DrainWithin time.Duration
	Retry       retry.Settings // limit on retries and hedges of all VMs together
	Quota       quota.Tolerance
}

const reportInterval = 250 * time.Millisecond // interval of Report actions; well below the heartbeat interval

// Engine is the state machine of one VM. It is not safe for concurrent use: a
// single task owns it and calls Step.
type Engine struct {
	settings         Settings
	started          time.Time
	config           *catalog.Config
	zonesOut         map[string]bool
	storeConfirmedAt time.Time // when the copy of the store was last known to be complete
	view             *mesh.View

	services          map[string]*service
	servicesByName    []*service         // the same in the order of their names, so that decisions can be repeated
	targets           map[string]*target // by id
	notices           processNotices
	queries           map[RequestID]*query
	attempts          map[AttemptID]*attempt
	conns             map[ConnID]*conn
	timers            timer.Heap[timerOwner]
	routes            map[string]*routeState     // by name
	workspaces        map[string]*workspaceState // by name
	crashes           crashes
	callers           *callers.Tracker
	deliveryLag       deliveryLag
	relays            map[RelayID]*relay
	relayBlockedUntil map[fleet.VMID]time.Time // until when nothing is relayed to a VM

	attemptSeq AttemptID
	connSeq    ConnID
	relaySeq   RelayID
	querySeq   uint64
	reportAt   time.Time // of the next Report
	maintainAt time.Time // of the next periodic upkeep
	answerBy   time.Time // when the process ends; zero while it does not stop
	actions    []Action
}

// timerOwner is the query or the attempt that a timer belongs to. One of the
// two is set.
type timerOwner struct {
	query   *query
	attempt *attempt
}

// routeState holds the measurements of a route.
type routeState struct {
	latency     latency.Estimate   // of single attempts
	atPace1     latency.Estimate   // of single attempts, divided by the pace of their target
	maxTimeout  time.Duration      // longest timeout that a caller of the route has sent to this VM, in whole milliseconds
	splitCredit map[string]float64 // by service: weight not yet used by a split route
}

// NewEngine returns an Engine without configuration, which refuses all
// requests.
func NewEngine(now time.Time, s Settings) *Engine {
	return &Engine{
		settings: s, started: now, reportAt: now, view: &mesh.View{},
		services: make(map[string]*service), targets: make(map[string]*target), notices: make(processNotices),
		queries: make(map[RequestID]*query), attempts: make(map[AttemptID]*attempt),
		conns: make(map[ConnID]*conn), routes: make(map[string]*routeState),
		workspaces: make(map[string]*workspaceState), crashes: newCrashes(), callers: callers.New(now),
		relays: make(map[RelayID]*relay), relayBlockedUntil: make(map[fleet.VMID]time.Time),
	}
}

// Step handles one event and the timers that are due, and returns the actions
// to carry out.
func (e *Engine) Step(now time.Time, ev Event) []Action {
	e.actions = nil
	switch ev := ev.(type) {
	case Submit:
		e.submit(now, ev.Request)
	case Cancel:
		e.cancel(now, ev.ID)
	case AttemptDone:
		e.attemptDone(now, ev)
	case ConnOpened:
		e.connOpened(now, ev)
	case ConnClosed:
		e.connClosed(now, ev)
	case RelayReplied:
		e.relayReplied(now, ev)
	case RelayFailed:
		e.relayFailed(now, ev)
	case RelayRequested:
		e.relayRequested(now, ev.Work)
	case RelayCancelled:
		e.relayCancelled(now, ev.ID)
	case CatalogChanged:
		e.catalogChanged(now, ev)
	case FleetChanged:
		e.fleetChanged(now, ev.View)
	case PoolReplied:
		e.poolReplied(now, ev)
	case PoolRequested:
		e.poolRequested(now, ev)
	case Stopping:
		e.stop(now, ev)
	case Delivered:
		e.deliveryLag.record(ev.Lag)
	case Tick:
	}
	e.fireTimers(now)
	e.maintain(now)
	e.sendReport(now)
	return e.actions
}

// Next returns when Step is to be called with Tick, unless an event comes
// earlier.
func (e *Engine) Next() time.Time {
	next := e.reportAt
	if t := e.timers.First(); t != nil && t.At.Before(next) {
		next = t.At
	}
	if !e.maintainAt.IsZero() && e.maintainAt.Before(next) {
		next = e.maintainAt
	}
	return next
}

// Pending returns the number of requests that have no answer yet.
func (e *Engine) Pending() int { return len(e.queries) }

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

// fireTimers abandons the attempts and advances the queries whose timers are
// due.
func (e *Engine) fireTimers(now time.Time) {
	for t := e.timers.First(); t != nil && !now.Before(t.At); t = e.timers.First() {
		e.timers.Remove(t)
		if a := t.Owner.attempt; a != nil {
			e.abandon(now, a)
			continue
		}
		e.advance(now, t.Owner.query)
	}
}

// sendReport emits the demand of the workspaces and the crashes once per
// reportInterval.
func (e *Engine) sendReport(now time.Time) {
	if now.Before(e.reportAt) {
		return
	}
	e.reportAt = now.Add(reportInterval)
	r := Report{Crashes: e.crashes.list(now), Pressing: e.callers.Pressing(now)}
	for name, ws := range e.workspaces {
		rate := ws.demand.perSecond(now)
		if rate > minReportedDemand {
			r.Demand = append(r.Demand, mesh.WorkspaceDemand{Workspace: name, RatePerSecond: rate})
		}
	}
	for name, state := range e.routes {
		if state.maxTimeout > e.view.Timeouts[name] {
			r.Timeouts = append(r.Timeouts, mesh.RouteTimeout{Route: name, Longest: state.maxTimeout})
		}
	}
	slices.SortFunc(r.Timeouts, func(a, b mesh.RouteTimeout) int { return cmp.Compare(a.Route, b.Route) })
	slices.SortFunc(r.Demand, func(a, b mesh.WorkspaceDemand) int {
		if a.Workspace < b.Workspace {
			return -1
		}
		return 1
	})
	e.emit(r)
}

// fleetChanged applies a new view of the fleet and divides the limits anew if
// the number of VMs that share them has changed.
func (e *Engine) fleetChanged(now time.Time, v *mesh.View) {
	if v.Reader && !e.view.Reader {
		for _, ws := range e.workspaces {
			ws.pool.reset(now, now.Sub(e.started) < poolFillPeriod)
		}
	}
	sharersBefore := e.sharers()
	e.view, e.storeConfirmedAt = v, v.Confirmed
	if e.sharers() != sharersBefore {
		for _, s := range e.services {
			e.divideRetryBudget(s)
		}
	}
	e.divideQuotas(now)
	e.callers.SetPressing(now, v.Pressing)
}

// sharers returns the number of VMs that share limits, at least one.
func (e *Engine) sharers() int { return max(e.view.Sharers, 1) }

// copyAge returns the time since the copy of the store was last confirmed to be
// complete.
func (e *Engine) copyAge(now time.Time) time.Duration {
	if e.storeConfirmedAt.IsZero() {
		return unknownCopyAge
	}
	return now.Sub(e.storeConfirmedAt)
}

// unknownCopyAge is the age of a copy that was never confirmed. It is above
// every limit on the age.
const unknownCopyAge = time.Hour

// route returns the state of a route and creates it if necessary.
func (e *Engine) route(name string) *routeState {
	r := e.routes[name]
	if r == nil {
		r = &routeState{latency: latency.New(), atPace1: latency.New()}
		e.routes[name] = r
	}
	return r
}
