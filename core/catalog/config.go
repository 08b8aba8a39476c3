// Package catalog models what the platform publishes: the operator's
// configuration, the registered targets, and the availability zones that are out
// of service. A Builder is given the changes and returns Snapshots. All values
// except the Builder are immutable once built, so that tasks can share them.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Route defines which services run the requests for a host and path prefix.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Idempotent  bool
	Timeout     time.Duration // maximum time from the request to its answer
	Objective   time.Duration // latency within which an answer has its full value
	MaxAttempts int           // maximum number of attempts that may have run; counted per shard in a fan-out. Refused attempts don't count.
	Priority    int           // 0 is the most urgent
	Public      bool          // requests need no API key

	Service string            // set for a route to a single service
	Split   []WeightedService // set for a route that is split between services
	FanOut  *FanOut           // set for a route to many shards
}

// WeightedService is a service and its weight in the split of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// FanOut describes a scatter-gather query over shards, each of which is a service.
type FanOut struct {
	Shards      []string // names of services
	TopK        int      // maximum number of records in an answer
	MinCoverage float64  // minimum fraction of the shards that an answer needs
}

// MinShards returns the minimum number of shards that an answer needs.
func (f *FanOut) MinShards() int {
	n := len(f.Shards)
	for needed := 1; needed < n; needed++ {
		if float64(needed)/float64(n) >= f.MinCoverage {
			return needed
		}
	}
	return n
}

// Service holds the settings that the targets of one service have in common.
type Service struct {
	Name              string
	HealthPath        string
	MaxConnections    int           // that one target accepts in total; zero when it sets no limit
	Warmup            time.Duration // how long a target is cold (slow) after its start
	ColdRatePerSecond float64       // requests that a cold target can take; zero means unlimited
}

// Workspace is a customer and its limits.
type Workspace struct {
	Name          string
	Priority      int
	HasPriority   bool    // the priority overrides the one of the route
	RatePerSecond float64 // zero means unlimited
	Burst         float64 // in requests
}

// Limits bound the requests and connections of clients.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits

	routes       []*Route
	routed       map[string]bool          // services that a route names
	shards       map[string]bool          // those of them that are shards of a fan-out
	objectives   map[string]time.Duration // by service: the shortest objective of the routes that name it
	byHost       map[string][]*Route
	workspaces   []*Workspace
	byKey        map[string]*Workspace
	limitsDemand bool // a workspace has a rate
}

// NewConfig returns a Config that indexes its arguments. Keys maps each API key to
// the workspace that holds it.
func NewConfig(version uint64, routes []*Route, services []Service, limits Limits, workspaces []*Workspace, keys map[string]*Workspace) *Config {
	c := &Config{
		Version: version, Limits: limits, routes: routes, workspaces: workspaces, byKey: keys,
		Services:     make(map[string]Service, len(services)),
		routed:       make(map[string]bool),
		shards:       make(map[string]bool),
		objectives:   make(map[string]time.Duration),
		byHost:       make(map[string][]*Route),
		limitsDemand: slices.ContainsFunc(workspaces, func(w *Workspace) bool { return w.RatePerSecond > 0 }),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
		c.addRouted(r)
	}
	return c
}

// addRouted records the services that a route names.
func (c *Config) addRouted(r *Route) {
	c.addService(r, r.Service)
	for _, w := range r.Split {
		c.addService(r, w.Service)
	}
	if r.FanOut != nil {
		for _, name := range r.FanOut.Shards {
			c.addService(r, name)
			c.shards[name] = true
		}
	}
}

func (c *Config) addService(r *Route, name string) {
	c.routed[name] = true
	if shortest := c.objectives[name]; r.Objective > 0 && (shortest == 0 || r.Objective < shortest) {
		c.objectives[name] = r.Objective
	}
}

// ShortestObjective returns the shortest objective of the routes that send requests
// to a service, zero if none has one.
func (c *Config) ShortestObjective(service string) time.Duration { return c.objectives[service] }

// IsRouted reports whether a route sends requests to a service.
func (c *Config) IsRouted(service string) bool { return c.routed[service] }

// IsShard reports whether a service is a shard of a fan-out.
func (c *Config) IsShard(service string) bool { return c.shards[service] }

// Route returns the route of a name, nil when there is none.
func (c *Config) Route(name string) *Route {
	for _, r := range c.routes {
		if r.Name == name {
			return r
		}
	}
	return nil
}

// Match returns the route of a host with the longest prefix of path, nil when
// there is none.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// HasWorkspaces reports whether requests on routes that are not public need a key.
func (c *Config) HasWorkspaces() bool { return len(c.workspaces) > 0 }

// LimitsDemand reports whether the rates of workspaces bound the requests that callers
// may send. Where none has a rate, only the VMs keep the load within what targets bear.
func (c *Config) LimitsDemand() bool { return c.limitsDemand }

// Workspaces returns all workspaces.
func (c *Config) Workspaces() []*Workspace { return c.workspaces }

// Routes returns all routes.
func (c *Config) Routes() []*Route { return c.routes }

// WorkspaceByKey returns the workspace that holds a key, nil for an unknown key.
func (c *Config) WorkspaceByKey(key string) *Workspace { return c.byKey[key] }

// Renamed returns the workspaces that have another name than in an earlier
// configuration: earlier names by new ones. A workspace was renamed if it holds a key of
// one whose name c no longer has, and its own name is new.
func (c *Config) Renamed(earlier *Config) map[string]string {
	type rename struct{ from, to string }
	var renames []rename
	for key, w := range c.byKey {
		if old := earlier.byKey[key]; old != nil && !c.hasWorkspace(old.Name) && !earlier.hasWorkspace(w.Name) {
			renames = append(renames, rename{from: old.Name, to: w.Name})
		}
	}
	slices.SortFunc(renames, func(a, b rename) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to)) })
	names, used := make(map[string]string), make(map[string]bool)
	for _, r := range renames { // of a workspace that was split, one part stands for it
		if _, taken := names[r.to]; !taken && !used[r.from] {
			names[r.to], used[r.from] = r.from, true
		}
	}
	return names
}

func (c *Config) hasWorkspace(name string) bool {
	return slices.ContainsFunc(c.workspaces, func(w *Workspace) bool { return w.Name == name })
}

// MinShardConnections returns the minimum number of connections that a target of a
// fan-out accepts; zero when there is no fan-out, or none with such a limit.
func (c *Config) MinShardConnections() int {
	minConns := 0
	for _, r := range c.routes {
		if r.FanOut == nil {
			continue
		}
		for _, name := range r.FanOut.Shards {
			if n := c.Services[name].MaxConnections; n > 0 && (minConns == 0 || n < minConns) {
				minConns = n
			}
		}
	}
	return minConns
}
