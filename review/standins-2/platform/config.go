package main

// route and service are parts of the operator's configuration.
type route struct {
	Name            string `json:"Name"`
	Host            string `json:"Host"`
	Prefix          string `json:"Prefix"`
	Kind            string `json:"Kind"`
	TimeoutMs       int    `json:"TimeoutMs"`
	TargetLatencyMs int    `json:"TargetLatencyMs"`
	Priority        int    `json:"Priority"`
	Service         string `json:"Service"`
	MaxAttempts     int    `json:"MaxAttempts"`
	Public          bool   `json:"Public"`
}

type service struct {
	Name           string  `json:"Name"`
	HealthPath     string  `json:"HealthPath"`
	MaxConnections int     `json:"MaxConnections"`
	Protocol       string  `json:"Protocol"`
	Tls            bool    `json:"Tls"`
	WarmupS        float64 `json:"WarmupS"`
	WarmupPerS     float64 `json:"WarmupPerS"`
}

type limits struct {
	MaxHeaderBytes  int `json:"MaxHeaderBytes"`
	MaxBodyBytes    int `json:"MaxBodyBytes"`
	HeaderTimeoutMs int `json:"HeaderTimeoutMs"`
	IdleTimeoutMs   int `json:"IdleTimeoutMs"`
}

type tenant struct {
	Name     string   `json:"Name"`
	ApiKeys  []string `json:"ApiKeys"`
	Priority int      `json:"Priority"`
	RatePerS float64  `json:"RatePerS"`
	Burst    float64  `json:"Burst"`
}

type config struct {
	Version  int       `json:"Version"`
	Routes   []route   `json:"Routes"`
	Services []service `json:"Services"`
	Limits   limits    `json:"Limits"`
	Tenants  []tenant  `json:"Tenants"`
}

const (
	configKey   = "op/config"
	poolService = "pool"
	poolPrefix  = "/job/"
)

// poolConfig is a configuration with one route to one service of alike searchers.
func poolConfig(kind string, maxAttempts int, s service) config {
	s.Name, s.HealthPath, s.Protocol = poolService, "/health", "h1"
	return config{
		Version:  3,
		Routes:   []route{{Name: "r-job", Host: host, Prefix: poolPrefix, Kind: kind, TimeoutMs: 4000, TargetLatencyMs: 400, Priority: 1, Service: poolService, MaxAttempts: maxAttempts}},
		Services: []service{s},
		Limits:   limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Tenants:  []tenant{{Name: "t1", ApiKeys: []string{key}, Priority: 1, RatePerS: 2000, Burst: 2000}},
	}
}
