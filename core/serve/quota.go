package serve

import (
	"math"
	"time"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/quota"
)

const (
	demandLeast   = time.Second     // time over which demand fades; shares follow callers that fast
	demandMost    = 5 * time.Second // the same for workspaces with few requests
	demandSamples = 8               // requests, at the workspace's rate, that an estimate rests on
	// startFill is the part of its burst with which a VM starts. While all VMs
	// restart at once nothing is admitted, which makes up for it.
	startFill   = 0.5
	leastDemand = 0.05 // requests a second below which demand is not reported
)

// rateMeter estimates a rate with exponentially fading memory.
type rateMeter struct {
	memory time.Duration
	count  float64
	at     time.Time
}

// demandMemory is the time over which the demand for a workspace is estimated.
// With few requests, a short one would move the rate to another VM between two
// requests of one caller.
func demandMemory(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return demandLeast
	}
	return min(max(time.Duration(demandSamples/perSecond*float64(time.Second)), demandLeast), demandMost)
}

func (r *rateMeter) fade(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		r.count *= math.Exp(-d.Seconds() / r.memory.Seconds())
		r.at = now
	}
}

func (r *rateMeter) add(now time.Time) {
	r.fade(now)
	r.count++
}

func (r *rateMeter) perSecond(now time.Time) float64 {
	r.fade(now)
	return r.count / r.memory.Seconds()
}

// setTenants takes over the workspaces of a configuration.
func (e *Engine) setTenants(now time.Time, c *catalog.Config) {
	kept := make(map[string]*tenant)
	for _, w := range c.Workspaces() {
		t := e.tenants[w.Name]
		if t == nil {
			t = &tenant{}
		}
		t.demand.memory = demandMemory(w.RatePerSecond)
		t.fleet = e.settings.Quota.FleetLimit(quota.Limit{RatePerSecond: w.RatePerSecond, Burst: w.Burst})
		switch {
		case w.RatePerSecond <= 0:
			t.bucket = nil
		case t.bucket == nil:
			t.bucket, t.unfilled = quota.NewBucket(now), true
		}
		kept[w.Name] = t
	}
	e.tenants = kept
	e.divideQuotas(now)
}

// divideQuotas sets this VM's part of every workspace's limit. It has none
// until it is known how many VMs share the limits.
func (e *Engine) divideQuotas(now time.Time) {
	if e.view.Sharers == 0 {
		return
	}
	for name, t := range e.tenants {
		if t.bucket == nil {
			continue
		}
		d := e.view.Demand[name]
		part := quota.VMShare(t.fleet, d.Own, d.Total, e.view.Sharers)
		t.bucket.SetLimit(now, part, fleet.RateShare{})
		if t.unfilled {
			t.unfilled = false
			t.bucket.SetFill(now, startFill)
		}
	}
}
