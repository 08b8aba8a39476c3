package route

import "github.com/anvilfork/anvilfork/core/fleet"

// Dump is the state of a group for operators.
type Dump struct {
	Service     string         `json:"service"`
	Group       string         `json:"group"`
	Home        bool           `json:"home"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	SubRequests int            `json:"sub_requests"`
	Queued      map[string]int `json:"queued"` // by workspace
	Alone       int            `json:"alone"`  // suspects that wait
	Suspects    int            `json:"suspects"`
	HedgeTokens float64        `json:"hedge_tokens"`
	P95Us       int64          `json:"p95_us"`
	P99Us       int64          `json:"p99_us"`
	Stats       Stats          `json:"stats"`
	Targets     []TargetDump   `json:"targets"`
}

// TargetDump is the state of one target.
type TargetDump struct {
	Address   string `json:"address"`
	Zone      string `json:"zone"`
	State     string `json:"state"` // as reported; empty before the first status
	Boot      string `json:"boot"`
	Usable    bool   `json:"usable"`
	Cold      bool   `json:"cold"`
	Allowance int    `json:"allowance"`
	InFlight  int    `json:"in_flight"`
	Conns     int    `json:"conns"`
	Ready     int    `json:"ready"` // connections that are verified
	LatencyUs int64  `json:"latency_us"`
}

// Dump returns the state of the group.
func (g *Shard) Dump() Dump {
	d := Dump{
		Service: g.id.Service, Group: g.id.Shard, Home: g.isHome,
		Slots: g.assigned.Share.Slots, Connections: g.assigned.Share.Connections,
		SubRequests: len(g.pending), Queued: g.queue.Lengths(), Alone: len(g.alone), Suspects: len(g.suspects.byPrint),
		HedgeTokens: g.budget.tokens, P95Us: g.latency.P95.Microseconds(), P99Us: g.latency.P99.Microseconds(),
		Stats: g.stats, Targets: make([]TargetDump, 0, len(g.targets)),
	}
	for _, t := range g.targets {
		d.Targets = append(d.Targets, t.dump())
	}
	return d
}

func (t *target) dump() TargetDump {
	d := TargetDump{
		Address: t.address, Zone: t.zone, State: string(t.status.State), Boot: t.boot, Usable: t.usable,
		Cold: t.cold.active, Allowance: t.allowance, InFlight: t.inFlight(), Conns: len(t.conns),
		LatencyUs: t.latency.Microseconds(),
	}
	for _, c := range t.conns {
		if c.state == connReady {
			d.Ready++
		}
	}
	return d
}

// Stats returns the counters of the group.
func (g *Shard) Stats() Stats { return g.stats }

// InFlight returns the attempts in flight and the connections of this home over
// all targets of the group.
func (g *Shard) InFlight() (attempts, conns int) {
	for _, t := range g.targets {
		attempts += len(t.attempts)
		conns += len(t.conns)
	}
	return attempts, conns
}

// ID returns the name of the group.
func (g *Shard) ID() fleet.ShardID { return g.id }
