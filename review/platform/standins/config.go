package main

import "encoding/json"

type route struct {
	Name            string
	Host            string
	Prefix          string
	Kind            string
	TimeoutMs       int
	TargetLatencyMs int
	MaxAttempts     int
	Priority        int
	Public          bool     `json:",omitempty"`
	Service         string   `json:",omitempty"`
	Gather          []string `json:",omitempty"`
	TopK            int      `json:",omitempty"`
	MinShardShare   float64  `json:",omitempty"`
}

type serviceConfig struct {
	Name           string
	HealthPath     string
	MaxConnections int
	WarmupS        float64
	WarmupPerS     float64
}

type tenant struct {
	Name     string
	ApiKeys  []string
	Priority *int    `json:",omitempty"`
	RatePerS float64 `json:",omitempty"` // omitted: no limit
	Burst    float64 `json:",omitempty"`
}

type limits struct {
	MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int
}

type config struct {
	Version  int
	Routes   []route
	Services []serviceConfig
	Tenants  []tenant
	Limits   limits
}

var usualLimits = limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 5000, IdleTimeoutMs: 15000}

func (c *config) json() string {
	b, err := json.Marshal(c)
	check(err)
	return string(b)
}
