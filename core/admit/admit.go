// Package admit decides whether a caller's request may start: its key or open
// route, its workspace's rate, and its deadline.
package admit

import (
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/quota"
)

// Request is what admission needs to know of a caller's request.
type Request struct {
	Service  string
	HasKey   bool
	Key      config.KeyHash
	Deadline time.Time
}

// Admitter admits requests on one entry VM. All its state is bounded by the
// text: a key that no workspace has leaves nothing behind.
type Admitter struct {
	view       *fleet.View
	workspaces map[config.KeyHash]*config.Workspace
	routes     map[string]*config.Workspace // workspace of the open route of each service
	buckets    map[string]*quota.Bucket
	demand     map[string]*demand
	lines      []*line // workspaces of which requests wait
}

// New returns an Admitter that refuses everything until it has a view.
func New() *Admitter {
	return &Admitter{buckets: make(map[string]*quota.Bucket), demand: make(map[string]*demand)}
}

// SetView takes a new view: keys, open routes and shares of the rates.
func (a *Admitter) SetView(now time.Time, v *fleet.View) {
	if v.Config != nil && (a.view == nil || a.view.Config != v.Config) {
		a.index(now, v.Config)
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

// index looks up what the text allows and keeps the buckets and the demand of
// the workspaces that it still has.
func (a *Admitter) index(now time.Time, c *config.Config) {
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
			buckets[w.Name], demands[w.Name] = quota.NewBucket(now), &demand{at: now}
		}
	}
	for _, o := range c.OpenRoutes {
		if w, ok := c.Workspace(o.Workspace); ok {
			a.routes[o.Service] = w
		}
	}
	a.buckets, a.demand = buckets, demands
}

// check returns the workspace that a request runs for, or why it may not start
// whatever the rate.
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

// DemandPerSecond returns the requests per second that each workspace offered
// lately, refused ones included.
func (a *Admitter) DemandPerSecond(now time.Time) map[string]float64 {
	rates := make(map[string]float64, len(a.demand))
	for name, d := range a.demand {
		if rate := d.rate(now); rate >= leastDemand {
			rates[name] = rate
		}
	}
	return rates
}

// workspace returns whom the request runs for. A key that is sent must be
// valid, also where an open route would let the request in without one: its
// sender expects to be known.
func (a *Admitter) workspace(r Request) (*config.Workspace, *outcome.Refusal) {
	if !r.HasKey {
		if w, ok := a.routes[r.Service]; ok {
			return w, nil
		}
		return nil, outcome.New(outcome.CodeUnauthorized, outcome.NotRun, "service %q needs a key", r.Service)
	}
	// The map is looked up by hash, so the time it takes says nothing about other keys.
	w, ok := a.workspaces[r.Key]
	if !ok {
		return nil, outcome.New(outcome.CodeUnauthorized, outcome.NotRun, "the key belongs to no workspace")
	}
	if !w.MayQuery(r.Service) {
		return nil, outcome.New(outcome.CodeUnauthorized, outcome.NotRun, "workspace %q may not query service %q", w.Name, r.Service)
	}
	return w, nil
}
