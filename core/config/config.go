// Package config parses and validates configuration documents, which list the
// services with their targets, the availability zones, the workspaces and all
// limits. It also compares two configurations and rates the risk of each
// change, and it decides which of several revisions is in force. Its input is
// the TOML document as bytes; its results are an immutable Config, a list of
// violations or a list of changes.
package config

import (
	"slices"
	"time"
)

// Config is one validated document. It is immutable once Parse returns it. The
// struct tags are the schema of the document, see package strict; rules that
// involve several fields are in validate.go.
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
	MaxVMs         int           `toml:"max_vms" limits:"1..10000"`                    // upper bound on the VMs alive at once, including the overlap while VMs are replaced
	OwnersPerShard int           `toml:"homes_per_group" default:"2" limits:"1..2"`    // VMs that divide the targets of a shard
	FloorFraction  float64       `toml:"floor_fraction" default:"0.25" limits:"0..1"`  // part of each workspace rate that VMs may use without a coordinator
	AddressTTL     time.Duration `toml:"address_ttl" default:"5s" limits:"100ms..60s"` // how long callers may cache an address list; a stopping VM waits that long
}

// Zone is one availability zone.
type Zone struct {
	Name string `toml:"name" limits:"name"`
	Out  bool   `toml:"out" default:"false"` // taken out of service: its targets get no new requests
}

// Service is a set of shards that one query fans out over.
type Service struct {
	Name         string        `toml:"name" limits:"name"`
	DependsOn    []string      `toml:"depends_on" default:"[]"`
	PartitionMap uint64        `toml:"partition_map" limits:"1..9223372036854775807"` // version of the partitioning; changes whenever the data is repartitioned
	Slots        int           `toml:"slots" limits:"1..65534"`                       // concurrent requests that each target can run
	Connections  int           `toml:"connections" limits:"2..65535"`                 // open connections that each target accepts
	ConnectTime  time.Duration `toml:"connect_time" default:"0s" limits:"0s..60s"`    // typical time to open a connection
	ColdSlots    int           `toml:"cold_slots" default:"1" limits:"1..65534"`      // concurrent requests that a target can run right after its start
	ColdRamp     time.Duration `toml:"cold_ramp" default:"30s" limits:"0s..1h"`       // time in which the limit of a started target rises from ColdSlots to Slots
	Deadline     time.Duration `toml:"deadline" default:"2s" limits:"1ms..60s"`       // default and maximum duration of a query
	HedgeBudget  float64       `toml:"hedge_budget" default:"0.05" limits:"0..1"`     // hedges allowed, as a fraction of the sub-requests
	MinCoverage  float64       `toml:"least_coverage" default:"0" limits:"0..1"`      // minimum fraction of shards that must answer; below it the query is refused
	Shards       []Shard       `toml:"group"`                                         // written as "group" in documents
}

// Shard is one shard (partition) of a service with its replicas.
type Shard struct {
	Name    string   `toml:"name" limits:"name"`
	Targets []Target `toml:"targets"`
}

// Target is one replica of a shard.
type Target struct {
	Address string `toml:"address"` // IP:port
	Zone    string `toml:"zone"`
}

// Workspace is one customer with its limits.
type Workspace struct {
	Name     string    `toml:"name" limits:"name"`
	Weight   int       `toml:"weight" default:"1" limits:"1..1000000"` // relative share of contended capacity
	Rate     float64   `toml:"rate" limits:">0..1000000000"`           // requests per second over the whole fleet
	Burst    float64   `toml:"burst" limits:"1..1000000000"`           // requests over the whole fleet
	Keys     []KeyHash `toml:"keys" default:"[]"`
	Services []string  `toml:"services" default:"[]"` // services that it may query; empty allows all
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

// WorkspaceByKey returns the workspace that the key with this hash belongs to.
func (c *Config) WorkspaceByKey(key KeyHash) (*Workspace, bool) {
	for i := range c.Workspaces {
		if slices.Contains(c.Workspaces[i].Keys, key) {
			return &c.Workspaces[i], true
		}
	}
	return nil, false
}

// IsZoneOut reports whether the availability zone called name is taken out of
// service. An unknown zone is not.
func (c *Config) IsZoneOut(name string) bool {
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
