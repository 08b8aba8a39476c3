// Package config parses, validates, compares and orders the operators' text,
// which lists services, targets, zones, workspaces and their limits.
package config

import (
	"slices"
	"time"
)

// Config is one validated text. It is immutable after Parse returns it. The
// tags are the schema of the text: see package strict. Limits that involve
// several fields are in validate.go.
type Config struct {
	Revision   uint64      `toml:"revision" limits:"1..9223372036854775807"`
	Digest     Digest      `toml:"-"`
	Document   []byte      `toml:"-"`
	Fleet      Fleet       `toml:"fleet"`
	Zones      []Zone      `toml:"zone" default:"[]"`
	Services   []Service   `toml:"service" default:"[]"`
	Workspaces []Workspace `toml:"workspace" default:"[]"`
	OpenRoutes []OpenRoute `toml:"open_route" default:"[]"`
}

// Fleet holds the limits of the query tier itself.
type Fleet struct {
	MaxVMs         int           `toml:"max_vms" limits:"1..10000"`                    // bound on VMs alive at once, overlap during replacement included
	OwnersPerShard int           `toml:"homes_per_group" default:"2" limits:"1..2"`    // VMs that share the targets of a group
	FloorFraction  float64       `toml:"floor_fraction" default:"0.25" limits:"0..1"`  // part of each workspace rate that VMs hold without a coordinator
	AddressTTL     time.Duration `toml:"address_ttl" default:"5s" limits:"100ms..60s"` // how long callers may keep an address list; a stop waits that long
}

// Zone is one availability zone.
type Zone struct {
	Name string `toml:"name" limits:"name"`
	Out  bool   `toml:"out" default:"false"` // taken out: its targets get no new work
}

// Service is a set of target groups that one query fans out over.
type Service struct {
	Name         string        `toml:"name" limits:"name"`
	DependsOn    []string      `toml:"depends_on" default:"[]"`
	PartitionMap uint64        `toml:"partition_map" limits:"1..9223372036854775807"` // changes whenever groups are repartitioned
	Slots        int           `toml:"slots" limits:"1..65534"`                       // concurrent requests each target may bear
	Connections  int           `toml:"connections" limits:"2..65535"`                 // open connections each target may bear
	ConnectTime  time.Duration `toml:"connect_time" default:"0s" limits:"0s..60s"`    // usual time to open a connection
	ColdSlots    int           `toml:"cold_slots" default:"1" limits:"1..65534"`      // concurrent requests a freshly started target may bear
	ColdRamp     time.Duration `toml:"cold_ramp" default:"30s" limits:"0s..1h"`       // time from ColdSlots to Slots
	Deadline     time.Duration `toml:"deadline" default:"2s" limits:"1ms..60s"`       // default and upper bound of a query's time
	HedgeBudget  float64       `toml:"hedge_budget" default:"0.05" limits:"0..1"`     // extra attempts allowed, as a fraction of sub-requests
	MinCoverage  float64       `toml:"least_coverage" default:"0" limits:"0..1"`      // least fraction of groups that makes an answer
	Shards       []Shard       `toml:"group"`
}

// Shard is one shard (partition) of a service with its replicas.
type Shard struct {
	Name    string   `toml:"name" limits:"name"`
	Targets []Target `toml:"targets"`
}

// Target is one replica of a group.
type Target struct {
	Address string `toml:"address"` // IP:port
	Zone    string `toml:"zone"`
}

// Workspace is one customer with its limits.
type Workspace struct {
	Name     string    `toml:"name" limits:"name"`
	Weight   int       `toml:"weight" default:"1" limits:"1..1000000"` // share of contended capacity
	Rate     float64   `toml:"rate" limits:">0..1000000000"`           // requests per second, fleet-wide
	Burst    float64   `toml:"burst" limits:"1..1000000000"`           // requests, fleet-wide
	Keys     []KeyHash `toml:"keys" default:"[]"`
	Services []string  `toml:"services" default:"[]"` // services it may query; empty allows all
}

// OpenRoute lets requests without a key query one service on behalf of a workspace.
type OpenRoute struct {
	Service   string `toml:"service"`
	Workspace string `toml:"workspace"`
}

// Service returns the service called name.
func (c *Config) Service(name string) (*Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i], true
		}
	}
	return nil, false
}

// Workspace returns the workspace called name.
func (c *Config) Workspace(name string) (*Workspace, bool) {
	for i := range c.Workspaces {
		if c.Workspaces[i].Name == name {
			return &c.Workspaces[i], true
		}
	}
	return nil, false
}

// WorkspaceByKey returns the workspace that has a key.
func (c *Config) WorkspaceByKey(key KeyHash) (*Workspace, bool) {
	for i := range c.Workspaces {
		if slices.Contains(c.Workspaces[i].Keys, key) {
			return &c.Workspaces[i], true
		}
	}
	return nil, false
}

// ZoneOut reports whether the availability zone called name is taken out.
func (c *Config) ZoneOut(name string) bool {
	for i := range c.Zones {
		if c.Zones[i].Name == name {
			return c.Zones[i].Out
		}
	}
	return false
}

// MayQuery reports whether the workspace may query the service called name.
func (w *Workspace) MayQuery(name string) bool {
	if len(w.Services) == 0 {
		return true
	}
	for _, s := range w.Services {
		if s == name {
			return true
		}
	}
	return false
}
