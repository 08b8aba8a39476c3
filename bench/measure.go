package main

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/client"
	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/load"
	"github.com/anvilfork/anvilfork/localfleet"
)

// policy names the system that a measurement runs against.
type policy string

const (
	policyNaive policy = "naive"
	policyTier  policy = "anvilfork"
)

const (
	offeredRatio  = 0.6 // offered load of a well-behaved workspace, as a fraction of its rate
	queryDeadline = 2 * time.Second
	readyTimeout  = 30 * time.Second
	burstSeconds  = 1.0 // burst of a workspace, in seconds of its rate
)

// result holds the figures of one row of the table.
type result struct {
	load.Summary
	ExtraLoadRatio float64 // executions beyond those that the answers needed, as a fraction of the needed ones
	NoisyWorkspace string  // workspace that exceeds its rate; empty when none does
	ShedAttempts   int     // attempts that targets shed
}

// measure runs one scenario against one policy. The warm-up load is not counted.
func measure(ctx context.Context, o options, document []byte, parsed *config.Config, s scenario, p policy) (result, error) {
	f, err := startFleet(o, document, parsed, s, p)
	if err != nil {
		return result{}, err
	}
	defer f.Close()
	var naive *naiveTier
	if p == policyNaive {
		c, err := f.Config()
		if err != nil {
			return result{}, err
		}
		if naive, err = startNaive(o.vms, c); err != nil {
			return result{}, err
		}
		defer naive.close()
	}
	c, err := f.Config()
	if err != nil {
		return result{}, err
	}
	sources, closeClients := makeSources(o, f, c, naive, s)
	defer closeClients()
	if err := load.WaitReady(ctx, sources, readyTimeout); err != nil {
		return result{}, err
	}
	load.Run(ctx, sources, o.warmUpDuration, o.seed)
	before := f.Counts()
	if s.removesZone {
		go removeAndRestoreZone(ctx, f, naive, parsed.Zones[0].Name, o.runDuration)
	}
	samples := load.Run(ctx, sources, o.runDuration, o.seed)
	after := f.Counts()
	r := result{Summary: load.Summarize(samples), ShedAttempts: after.Shed - before.Shed}
	if s.hasNoisyWorkspace {
		r.NoisyWorkspace = c.Workspaces[0].Name
	}
	if needed := neededAttempts(samples, c); needed > 0 {
		r.ExtraLoadRatio = float64(after.Ran-before.Ran)/float64(needed) - 1
	}
	return r, nil
}

// neededAttempts counts the shards of all answered queries. Refused queries need no
// attempts, so that the work done for them counts as extra load.
func neededAttempts(samples []load.Sample, c *config.Config) int {
	n := 0
	for i := range samples {
		if samples[i].Refusal == nil {
			s, _ := c.Service(samples[i].Service)
			n += len(s.Shards)
		}
	}
	return n
}

// startFleet starts the targets, and the VMs unless the policy is the naive one.
func startFleet(o options, document []byte, parsed *config.Config, s scenario, p policy) (*localfleet.Fleet, error) {
	vms := o.vms
	if p == policyNaive {
		vms = 0
	}
	f, err := localfleet.Start(localfleet.Options{
		Document: document, VMs: vms, Log: zerolog.Nop(),
		Edit:        func(e *localfleet.Editor) { setRates(e, o, parsed) },
		ServiceTime: func(string) time.Duration { return shardedServiceMedian },
	})
	if err != nil {
		return nil, err
	}
	for _, t := range f.Targets {
		service, _ := parsed.Service(t.Service)
		median := shardedServiceMedian
		if len(service.Shards) == 1 {
			median = singleShardServiceMedian
		}
		t.SetDelay(newServiceTimes(o.seed, fmt.Sprint(t.Service, t.Shard, t.Index), median, s.hasStragglers))
	}
	return f, nil
}

// setRates sets the rates of all workspaces so that the load of o makes each offer
// the same fraction of its rate, offeredRatio.
func setRates(e *localfleet.Editor, o options, parsed *config.Config) {
	e.SetMaxVMs(o.vms)
	totalRate := 0.0
	for _, w := range parsed.Workspaces {
		totalRate += w.Rate
	}
	for _, w := range parsed.Workspaces {
		rate := o.queriesPerSecond * w.Rate / totalRate / offeredRatio
		e.SetRate(w.Name, rate, max(rate*burstSeconds, 1))
	}
}

// makeSources returns a source for each workspace and each service that it may query,
// and a function that closes their clients. The noisy workspace is the first one.
func makeSources(o options, f *localfleet.Fleet, c *config.Config, naive *naiveTier, s scenario) ([]load.Source, func()) {
	var sources []load.Source
	var clients []*client.Client
	for i, w := range c.Workspaces {
		zone := c.Zones[i%len(c.Zones)].Name
		caller := f.Client(w.Name, zone)
		if naive != nil {
			caller = client.New(client.Options{Seeds: naive.urls(), Key: f.Key(w.Name), Zone: zone})
		}
		clients = append(clients, caller)
		rate := w.Rate * offeredRatio
		if s.hasNoisyWorkspace && i == 0 {
			rate = w.Rate * noisyRateFactor
		}
		for _, service := range c.Services {
			if !w.MayQuery(service.Name) {
				continue
			}
			sources = append(sources, load.Source{
				Workspace: w.Name, Service: service.Name, RatePerSecond: rate / float64(len(c.Services)),
				Deadline: queryDeadline, Client: caller,
				Body: func(n int) []byte { return fmt.Appendf(nil, "%s %s %d", w.Name, service.Name, n) },
			})
		}
	}
	return sources, func() {
		for _, cl := range clients {
			cl.Close()
		}
	}
}
