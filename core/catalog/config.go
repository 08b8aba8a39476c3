// Package catalog holds what the platform publishes, in the product's own
// terms: the operator's configuration, the targets that are registered, and the
// availability zones that are taken out of service. Its values never change
// once they are built, so that tasks can share them.
package catalog

import (
	"strings"
	"time"
)

// Route tells which service runs the requests of one host and path prefix.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Idempotent  bool
	Timeout     time.Duration // longest time that a request may wait for its answer
	Objective   time.Duration // latency within which an answer has its full value
	MaxAttempts int           // targets that may run one request; for each shard of a fan-out
	Priority    int           // 0 is the most urgent
	Public      bool          // needs no key

	Service string            // set for a route to a single service
	Split   []WeightedService // set for a route that is split between services
	FanOut  *FanOut           // set for a route to many shards
}

// WeightedService is a service with its part of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// FanOut describes a query over many shards, each of which is a service.
type FanOut struct {
	Shards      []string
	TopK        int     // records that an answer holds at most
	MinCoverage float64 // smallest share of the shards that makes an answer
}

// MinShards is the number of shards that an answer needs.
func (f *FanOut) MinShards() int {
	n := len(f.Shards)
	for least := 1; least < n; least++ {
		if float64(least)/float64(n) >= f.MinCoverage {
			return least
		}
	}
	return n
}

// Service describes the targets of one service.
type Service struct {
	Name              string
	HealthPath        string
	MaxConnections    int           // that one target accepts from all callers together
	Warmup            time.Duration // how long a target stays cold
	ColdRatePerSecond float64       // requests that a cold target bears; zero when it has no bound
}

// Workspace is a tenant of the system with its limits.
type Workspace struct {
	Name          string
	Priority      int
	HasPriority   bool    // the priority overrides the one of the route
	RatePerSecond float64 // zero means unlimited
	Burst         float64
}

// Limits bound what a client may send.
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

	routes     []*Route
	byHost     map[string][]*Route
	workspaces []*Workspace
	byKey      map[string]*Workspace
}

// NewConfig indexes the parts of a configuration. Keys maps each API key to the
// workspace that holds it.
func NewConfig(version uint64, routes []*Route, services []Service, limits Limits, workspaces []*Workspace, keys map[string]*Workspace) *Config {
	c := &Config{
		Version: version, Limits: limits, routes: routes, workspaces: workspaces, byKey: keys,
		Services: make(map[string]Service, len(services)),
		byHost:   make(map[string][]*Route),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	return c
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

// Workspaces returns all workspaces.
func (c *Config) Workspaces() []*Workspace { return c.workspaces }

// Routes returns all routes.
func (c *Config) Routes() []*Route { return c.routes }

// WorkspaceByKey returns the workspace that holds a key, nil for an unknown key.
func (c *Config) WorkspaceByKey(key string) *Workspace { return c.byKey[key] }

// MinShardConnections returns the least number of connections that a target
// of a fan-out accepts; zero when there is no fan-out.
func (c *Config) MinShardConnections() int {
	least := 0
	for _, r := range c.routes {
		if r.FanOut == nil {
			continue
		}
		for _, name := range r.FanOut.Shards {
			if n := c.Services[name].MaxConnections; n > 0 && (least == 0 || n < least) {
				least = n
			}
		}
	}
	return least
}
