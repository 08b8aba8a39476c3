// Package admit decides whether a caller's request may start. It is given the
// configuration, this VM's shares of the workspaces' rates and the time, checks
// the key or open route, the service, the deadline and the rate of the
// workspace, and returns a Decision: at once, or after a wait for a rate token.
package admit

import (
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/quota"
)

// Request holds the attributes of a caller's request that admission depends on.
type Request struct {
	Service  string
	HasKey   bool           // whether the caller sent a key
	Key      config.KeyHash // meaningful only if HasKey
	Deadline time.Time
}

// Admitter admits requests on one ingress VM. Its state is bounded by the
// configuration: a request with an unknown key leaves no state behind.
type Admitter struct {
	view       *fleet.View
	workspaces map[config.KeyHash]*config.Workspace
	routes     map[string]*config.Workspace // by service: the workspace of its open route
	buckets    map[string]*quota.Bucket     // by workspace
	demand     map[string]*demand           // by workspace
	queues     []*queue                     // of the workspaces that have waiting requests
}

// New returns an Admitter that refuses every request until SetView is called.
func New() *Admitter {
	return &Admitter{buckets: make(map[string]*quota.Bucket), demand: make(map[string]*demand)}
}

// SetView applies a new view of the fleet: the configuration with its keys and
// open routes, and this VM's shares of the rates.
func (a *Admitter) SetView(now time.Time, v *fleet.View) {
	if v.Config != nil && (a.view == nil || a.view.Config != v.Config) {
		a.indexConfig(now, v.Config)
	}
	a.view = v
	if v.Config == nil {
		return
	}
	shares := make(map[string]fleet.RateShare, len(v.RateShares))
	for _, s := range v.RateShares {
		shares[s.Workspace] = s
	}
	for i := range v.Config.Workspaces {
		w := &v.Config.Workspaces[i]
		a.buckets[w.Name].SetLimit(now, quota.Floor(w, &v.Config.Fleet), shares[w.Name])
	}
}

// indexConfig rebuilds the lookups of keys and open routes. It keeps the buckets
// and the demand of the workspaces that remain in the configuration.
func (a *Admitter) indexConfig(now time.Time, c *config.Config) {
	a.workspaces = make(map[config.KeyHash]*config.Workspace)
	a.routes = make(map[string]*config.Workspace, len(c.OpenRoutes))
	buckets := make(map[string]*quota.Bucket, len(c.Workspaces))
	demands := make(map[string]*demand, len(c.Workspaces))
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, k := range w.Keys {
			a.workspaces[k] = w
		}
		buckets[w.Name], demands[w.Name] = a.buckets[w.Name], a.demand[w.Name]
		if buckets[w.Name] == nil {
			buckets[w.Name], demands[w.Name] = quota.NewBucket(now), &demand{updatedAt: now}
		}
	}
	for _, o := range c.OpenRoutes {
		if w, ok := c.Workspace(o.Workspace); ok {
			a.routes[o.Service] = w
		}
	}
	a.buckets, a.demand = buckets, demands
}

// check returns the workspace that a request runs for, or the refusal of a
// request that may not start even if its workspace is within its rate.
func (a *Admitter) check(now time.Time, r Request) (*config.Workspace, *outcome.Refusal) {
	if refusal := a.view.Unavailable(now); refusal != nil {
		return nil, refusal
	}
	w, refusal := a.workspace(r)
	if refusal != nil {
		return nil, refusal
	}
	if _, ok := a.view.Config.Service(r.Service); !ok {
		return nil, outcome.New(outcome.CodeUnknownService, outcome.NotRun, "service %q does not exist", r.Service)
	}
	if !now.Before(r.Deadline) {
		return nil, outcome.New(outcome.CodeDeadlineExceeded, outcome.NotRun, "the deadline passed before the request was admitted")
	}
	return w, nil
}

// DemandPerSecond returns a moving average of the requests per second that each
// workspace offered, refused ones included. Idle workspaces are left out.
func (a *Admitter) DemandPerSecond(now time.Time) map[string]float64 {
	rates := make(map[string]float64, len(a.demand))
	for name, d := range a.demand {
		if rate := d.rate(now); rate >= minDemandPerSecond {
			rates[name] = rate
		}
	}
	return rates
}

// workspace returns the workspace that the request runs for. A key that is sent
// must be valid even if the service has an open route: its sender expects to be
// identified.
func (a *Admitter) workspace(r Request) (*config.Workspace, *outcome.Refusal) {
	if !r.HasKey {
		if w, ok := a.routes[r.Service]; ok {
			return w, nil
		}
		return nil, outcome.New(outcome.CodeUnauthorized, outcome.NotRun, "service %q needs a key", r.Service)
	}
	// The lookup is by hash, so its duration reveals nothing about other keys.
	w, ok := a.workspaces[r.Key]
	if !ok {
		return nil, outcome.New(outcome.CodeUnauthorized, outcome.NotRun, "the key belongs to no workspace")
	}
	if !w.MayQuery(r.Service) {
		return nil, outcome.New(outcome.CodeUnauthorized, outcome.NotRun, "workspace %q may not query service %q", w.Name, r.Service)
	}
	return w, nil
}
