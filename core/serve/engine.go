package serve

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/latency"
	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/quota"
	"github.com/anvilfork/anvilfork/core/retry"
	"github.com/anvilfork/anvilfork/core/timer"
)

// Settings are fixed while an Engine runs.
type Settings struct {
	Zone string
	// MaxKeyCopyAge is the age of the copy of the store from which on requests with
	// keys are refused, since a key may have been withdrawn meanwhile.
	MaxKeyCopyAge time.Duration
	Retry         retry.Settings // bound on extra attempts, for all VMs together
	Quota         quota.Tolerance
}

const reportInterval = 250 * time.Millisecond // of the demand; well below a heartbeat

// Engine is the state machine of one VM.
type Engine struct {
	settings  Settings
	config    *catalog.Config
	zonesOut  map[string]bool
	confirmed time.Time
	view      *mesh.View

	services map[string]*service
	targets  map[string]*target // by id
	queries  map[RequestID]*query
	attempts map[AttemptID]*attempt
	conns    map[ConnID]*conn
	timers   timer.Heap[timed]
	routes   map[string]*routeState // by name
	tenants  map[string]*tenant     // by name
	crashes  crashes
	relays   map[RelayID]*relay
	silent   map[fleet.VMID]time.Time // VMs that nothing is relayed to before a time

	attemptSeq AttemptID
	connSeq    ConnID
	relaySeq   RelayID
	querySeq   uint64
	reportAt   time.Time
	returnedAt time.Time // when the copy of the store was confirmed again after a gap
	upkeepAt   time.Time
	out        []Action
}

// timed is what a timer belongs to: one of the two.
type timed struct {
	query   *query
	attempt *attempt
}

// routeState is what is learned about a route.
type routeState struct {
	latency     latency.Estimate // of attempts at one target
	patience    time.Duration    // longest that a caller of the route has named
	splitCredit map[string]float64
}

// NewEngine returns an Engine without configuration.
func NewEngine(now time.Time, s Settings) *Engine {
	return &Engine{
		settings: s, reportAt: now, view: &mesh.View{},
		services: make(map[string]*service), targets: make(map[string]*target),
		queries: make(map[RequestID]*query), attempts: make(map[AttemptID]*attempt),
		conns: make(map[ConnID]*conn), routes: make(map[string]*routeState),
		tenants: make(map[string]*tenant), crashes: newCrashes(),
		relays: make(map[RelayID]*relay), silent: make(map[fleet.VMID]time.Time),
	}
}

// Step handles one event and returns what is to be done.
func (e *Engine) Step(now time.Time, ev Event) []Action {
	e.out = nil
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
		e.relayDropped(now, ev.ID)
	case CatalogChanged:
		e.published(now, ev)
	case FleetChanged:
		e.fleetChanged(now, ev.View)
	case Tick:
	}
	e.fire(now)
	e.upkeep(now)
	e.report(now)
	return e.out
}

// Next returns when Step is to be called with Tick.
func (e *Engine) Next() time.Time {
	next := e.reportAt
	if t := e.timers.First(); t != nil && t.At.Before(next) {
		next = t.At
	}
	if !e.upkeepAt.IsZero() && e.upkeepAt.Before(next) {
		next = e.upkeepAt
	}
	return next
}

// Pending returns the number of requests without an answer.
func (e *Engine) Pending() int { return len(e.queries) }

func (e *Engine) emit(a Action) { e.out = append(e.out, a) }

func (e *Engine) fire(now time.Time) {
	for t := e.timers.First(); t != nil && !now.Before(t.At); t = e.timers.First() {
		e.timers.Remove(t)
		if a := t.Owner.attempt; a != nil {
			e.abandon(now, a)
			continue
		}
		e.advance(now, t.Owner.query)
	}
}

// report hands on the demand and the crashes, at intervals.
func (e *Engine) report(now time.Time) {
	if now.Before(e.reportAt) {
		return
	}
	e.reportAt = now.Add(reportInterval)
	r := Report{Crashes: e.crashes.list(now)}
	for name, t := range e.tenants {
		rate := t.demand.perSecond(now)
		if rate > leastDemand {
			r.Demand = append(r.Demand, mesh.WorkspaceDemand{Workspace: name, RatePerSecond: rate})
		}
	}
	slices.SortFunc(r.Demand, func(a, b mesh.WorkspaceDemand) int {
		if a.Workspace < b.Workspace {
			return -1
		}
		return 1
	})
	e.emit(r)
}

func (e *Engine) fleetChanged(now time.Time, v *mesh.View) {
	if gap := v.Confirmed.Sub(e.confirmed); !e.confirmed.IsZero() && gap > lapseGap {
		e.returnedAt = now
	}
	vms := e.sharers()
	e.view, e.confirmed = v, v.Confirmed
	if e.sharers() != vms {
		for _, s := range e.services {
			e.divide(s)
		}
	}
	e.divideQuotas(now)
}

// sharers is the number of VMs that share limits, one at least.
func (e *Engine) sharers() int { return max(e.view.Sharers, 1) }

// copyAge is how long ago the copy of the store was known to be complete.
func (e *Engine) copyAge(now time.Time) time.Duration {
	if e.confirmed.IsZero() {
		return unknownAge
	}
	return now.Sub(e.confirmed)
}

// unknownAge stands for the age of a copy that was never confirmed.
const unknownAge = time.Hour

func (e *Engine) route(name string) *routeState {
	r := e.routes[name]
	if r == nil {
		r = &routeState{latency: latency.New()}
		e.routes[name] = r
	}
	return r
}

// tenant is a workspace as this VM sees it.
type tenant struct {
	bucket   *quota.Bucket // nil without a limit
	unfilled bool          // the bucket is new
	fleet    quota.Limit   // what all VMs together hold
	demand   rateMeter
}
