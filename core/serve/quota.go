package serve

import (
	"math"
	"time"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/quota"
)

const (
	// minDemandWindow is the shortest time constant of the demand estimate.
	// Quota shares follow callers that move this fast.
	minDemandWindow     = time.Second
	maxDemandWindow     = 5 * time.Second // longest time constant, for workspaces with low rates
	demandWindowSamples = 8               // requests at the workspace's rate that one time constant covers
	// initialFill is the fraction of its burst with which the bucket of a VM
	// starts. While all VMs restart at once nothing is admitted, which makes up
	// for it.
	initialFill       = 0.5
	minReportedDemand = 0.05 // requests per second below which demand is not reported
)

// rateMeter estimates a rate as an exponentially decaying average.
type rateMeter struct {
	window    time.Duration
	count     float64
	decayedAt time.Time
}

// demandWindow returns the time constant of the demand estimate of a workspace.
// With few requests, a short one would move the quota to another VM between two
// requests of one caller.
func demandWindow(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return minDemandWindow
	}
	return min(max(time.Duration(demandWindowSamples/perSecond*float64(time.Second)), minDemandWindow), maxDemandWindow)
}

func (r *rateMeter) decay(now time.Time) {
	if d := now.Sub(r.decayedAt); d > 0 {
		r.count *= math.Exp(-d.Seconds() / r.window.Seconds())
		r.decayedAt = now
	}
}

func (r *rateMeter) add(now time.Time) {
	r.decay(now)
	r.count++
}

func (r *rateMeter) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.count / r.window.Seconds()
}

// setWorkspaces applies the workspaces of a configuration that follows earlier, which is
// nil for the first one. It keeps the state of those that existed before, also under
// another name.
func (e *Engine) setWorkspaces(now time.Time, c, earlier *catalog.Config) {
	kept := make(map[string]*workspaceState)
	renamed := map[string]string{}
	if earlier != nil {
		renamed = c.Renamed(earlier)
	}
	for _, w := range c.Workspaces() {
		ws := e.workspaces[w.Name]
		if before, ok := renamed[w.Name]; ok {
			ws = e.workspaces[before]
		}
		if ws == nil {
			ws = &workspaceState{}
		}
		ws.demand.window = demandWindow(w.RatePerSecond)
		limit := quota.Limit{RatePerSecond: w.RatePerSecond, Burst: w.Burst}
		ws.fleetLimit = e.settings.Quota.FleetLimit(limit)
		ws.pool.setLimit(now, e.settings.Quota.PoolLimit(limit))
		switch {
		case w.RatePerSecond <= 0:
			ws.bucket = nil // queries that were charged keep theirs
		case ws.bucket == nil:
			ws.bucket, ws.needsFill = quota.NewBucket(now), true
		}
		kept[w.Name] = ws
	}
	e.workspaces = kept
	e.divideQuotas(now)
}

// workspaceState holds the quota and the demand of a workspace on this VM.
type workspaceState struct {
	bucket     *quota.Bucket // nil while the workspace has no rate limit
	needsFill  bool          // the bucket is new and gets its initial fill with its first limit
	fleetLimit quota.Limit   // limit of all VMs together
	demand     rateMeter
	pool       workspacePool
}

// charge is what a query has taken from the quota of its workspace. It holds the bucket
// that it was taken from, which a later configuration may have replaced or dropped. The
// zero value has taken nothing.
type charge struct{ bucket *quota.Bucket }

// refund gives the quota back, once.
func (c *charge) refund() {
	if c.bucket != nil {
		c.bucket.Return()
		c.bucket = nil
	}
}

// isLimited reports whether the workspace has a rate limit now.
func (ws *workspaceState) isLimited() bool { return ws.bucket != nil }

// take charges one request. It returns false if none is left on this VM.
func (ws *workspaceState) take(now time.Time) (charge, bool) {
	if !ws.isLimited() {
		return charge{}, true
	}
	if ws.bucket.Take(now) > 0 {
		return charge{}, false
	}
	return charge{bucket: ws.bucket}, true
}

// wait returns how long it takes until this VM can charge a request, above zero.
func (ws *workspaceState) wait(now time.Time) time.Duration {
	if !ws.isLimited() {
		return 1
	}
	return max(ws.bucket.TimeUntil(now, 1), 1)
}

// divideQuotas sets this VM's share of every workspace's limit. There is none
// until the number of VMs that share the limits is known.
func (e *Engine) divideQuotas(now time.Time) {
	if e.view.Sharers == 0 {
		return
	}
	for name, ws := range e.workspaces {
		if !ws.isLimited() {
			continue
		}
		d := e.view.Demand[name]
		share := quota.VMShare(ws.fleetLimit, d.Own, d.Total, e.view.Sharers)
		ws.bucket.SetLimit(now, share, fleet.RateShare{})
		if ws.needsFill {
			ws.needsFill = false
			ws.bucket.SetFill(now, initialFill)
		}
	}
}
