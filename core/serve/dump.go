package serve

import (
	"cmp"
	"slices"
	"time"
)

// Dump is the state of an Engine for operators.
type Dump struct {
	ConfigVersion uint64        `json:"config_version"`
	CopyAgeMs     int64         `json:"copy_age_ms"`
	Pending       int           `json:"pending_requests"`
	Attempts      int           `json:"attempts_in_flight"`
	ZonesOut      []string      `json:"zones_out"`
	Services      []ServiceDump `json:"services"`
}

// ServiceDump is the state of one service.
type ServiceDump struct {
	Name          string       `json:"name"`
	Waiting       int          `json:"waiting"`
	MeanAttemptUs int64        `json:"mean_attempt_us"`
	Targets       []TargetDump `json:"targets"`
}

// TargetDump is the state of one target.
type TargetDump struct {
	ID           string  `json:"id"`
	Address      string  `json:"address"`
	Zone         string  `json:"zone"`
	Usable       bool    `json:"usable"`
	Ejected      bool    `json:"ejected"`
	Stalled      bool    `json:"stalled"`
	Cold         bool    `json:"cold"`
	Conns        int     `json:"connections"`
	Running      int     `json:"attempts_in_flight"`
	Limit        float64 `json:"limit"`
	Waiting      int     `json:"reported_waiting"` // in the queue of the target by its last report
	Slowness     float64 `json:"slowness"`         // attempt latency as a multiple of the route's median, without the pace
	Pace         float64 `json:"pace"`             // last stated; zero if none
	PaceAgeMs    int64   `json:"pace_age_ms"`      // time since it was stated
	ExpectedPace float64 `json:"expected_pace"`    // used for attempts that start now
	InvalidLoads int     `json:"invalid_loads"`    // answers whose stated load was invalid
	FailureRatio float64 `json:"failure_ratio"`
}

// Dump returns the state of the engine at the given time.
func (e *Engine) Dump(now time.Time) Dump {
	d := Dump{CopyAgeMs: e.copyAge(now).Milliseconds(), Pending: len(e.queries), Attempts: len(e.attempts)}
	if e.config != nil {
		d.ConfigVersion = e.config.Version
	}
	for zone := range e.zonesOut {
		d.ZonesOut = append(d.ZonesOut, zone)
	}
	slices.Sort(d.ZonesOut)
	for _, s := range e.services {
		d.Services = append(d.Services, s.dump(now))
	}
	slices.SortFunc(d.Services, func(a, b ServiceDump) int { return cmp.Compare(a.Name, b.Name) })
	return d
}

func (s *service) dump(now time.Time) ServiceDump {
	d := ServiceDump{Name: s.name, Waiting: len(s.queue), MeanAttemptUs: s.meanAttempt.Microseconds()}
	for _, t := range s.targets {
		d.Targets = append(d.Targets, TargetDump{
			ID: t.reg.ID, Address: t.reg.Address, Zone: t.reg.Zone,
			Usable: t.usable(now), Ejected: t.ejected(now), Stalled: t.stalled(now), Cold: now.Before(t.coldUntil),
			Conns: len(t.conns), Running: len(t.running), Limit: t.window.limit, Waiting: t.load.Queued, Slowness: t.slowness, FailureRatio: t.failureRatio,
			Pace: t.pace, PaceAgeMs: t.paceAge(now).Milliseconds(), ExpectedPace: t.expectedPace(now), InvalidLoads: t.invalidLoads,
		})
	}
	return d
}
