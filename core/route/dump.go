package route

import "github.com/anvilfork/anvilfork/core/fleet"

// Dump is the state of a Shard, for operators.
type Dump struct {
	Service         string         `json:"service"`
	Shard           string         `json:"group"`
	IsOwner         bool           `json:"home"` // this VM owns the shard
	Slots           int            `json:"slots"`
	Connections     int            `json:"connections"`
	SubRequests     int            `json:"sub_requests"` // queued and running
	Queued          map[string]int `json:"queued"`       // by workspace
	WaitingSuspects int            `json:"alone"`        // suspects in the isolation queue
	Suspects        int            `json:"suspects"`
	HedgeTokens     float64        `json:"hedge_tokens"`
	P95Us           int64          `json:"p95_us"`
	P99Us           int64          `json:"p99_us"`
	Stats           Stats          `json:"stats"`
	Targets         []TargetDump   `json:"targets"`
}

// TargetDump is the state of one target as seen by this owner.
type TargetDump struct {
	Address   string `json:"address"`
	Zone      string `json:"zone"`
	State     string `json:"state"` // as reported; empty before the first status
	BootID    string `json:"boot"`
	Usable    bool   `json:"usable"` // in service: configured, reachable and not draining
	Cold      bool   `json:"cold"`
	Allowance int    `json:"allowance"` // max attempts in flight
	InFlight  int    `json:"in_flight"`
	Conns     int    `json:"conns"`
	Ready     int    `json:"ready"` // verified connections, idle or in use
	LatencyUs int64  `json:"latency_us"`
}

// Dump returns the current state.
func (s *Shard) Dump() Dump {
	d := Dump{
		Service: s.id.Service, Shard: s.id.Shard, IsOwner: s.isOwner,
		Slots: s.assigned.Share.Slots, Connections: s.assigned.Share.Connections,
		SubRequests: len(s.pending), Queued: s.queue.Lengths(), WaitingSuspects: len(s.isolationQueue), Suspects: len(s.suspects.byFingerprint),
		HedgeTokens: s.hedgeBudget.tokens, P95Us: s.latency.P95.Microseconds(), P99Us: s.latency.P99.Microseconds(),
		Stats: s.stats, Targets: make([]TargetDump, 0, len(s.targets)),
	}
	for _, t := range s.targets {
		d.Targets = append(d.Targets, t.dump())
	}
	return d
}

func (t *target) dump() TargetDump {
	d := TargetDump{
		Address: t.address, Zone: t.zone, State: string(t.status.State), BootID: t.bootID, Usable: t.usable,
		Cold: t.coldRamp.active, Allowance: t.allowance, InFlight: t.inFlight(), Conns: len(t.conns),
		LatencyUs: t.recentLatency.Microseconds(),
	}
	for _, c := range t.conns {
		if c.state == connReady {
			d.Ready++
		}
	}
	return d
}

// Stats returns the counters since NewShard.
func (s *Shard) Stats() Stats { return s.stats }

// InFlight returns this owner's attempts in flight and its connections, summed over
// all targets of the shard.
func (s *Shard) InFlight() (attempts, conns int) {
	for _, t := range s.targets {
		attempts += len(t.attempts)
		conns += len(t.conns)
	}
	return attempts, conns
}

// ID returns the service and name of the shard.
func (s *Shard) ID() fleet.ShardID { return s.id }
