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

type policy string

const (
	policyNaive policy = "naive"
	policyTier  policy = "anvilfork"
)

const (
	rateUse       = 0.6 // part of its rate that a well-behaved workspace sends
	queryDeadline = 2 * time.Second
	readyTimeout  = 30 * time.Second
	secondsOfRate = 1.0 // burst of a workspace, as seconds of its rate
)

// result is one row of the table.
type result struct {
	load.Summary
	ExtraLoad float64 // attempts at targets above those that the queries needed, as a fraction
	Noisy     string  // workspace that sends more than its rate; empty when none does
	Shed      int     // attempts that targets refused
}

func measure(ctx context.Context, o options, text []byte, parsed *config.Config, s scenario, p policy) (result, error) {
	f, err := start(o, text, parsed, s, p)
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
	if err := load.Ready(ctx, sources, readyTimeout); err != nil {
		return result{}, err
	}
	load.Run(ctx, sources, o.warmUp, o.seed)
	before := f.Counts()
	if s.zone {
		go moveZone(ctx, f, naive, parsed.Zones[0].Name, o.perRun)
	}
	samples := load.Run(ctx, sources, o.perRun, o.seed)
	after := f.Counts()
	r := result{Summary: load.Summarize(samples), Shed: after.Shed - before.Shed}
	if s.noisy {
		r.Noisy = c.Workspaces[0].Name
	}
	if needed := neededAttempts(samples, c); needed > 0 {
		r.ExtraLoad = float64(after.Ran-before.Ran)/float64(needed) - 1
	}
	return r, nil
}

// neededAttempts counts the groups that answered queries needed. Queries that
// ended in a refusal needed none, so their work counts as extra load.
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

func start(o options, text []byte, parsed *config.Config, s scenario, p policy) (*localfleet.Fleet, error) {
	vms := o.vms
	if p == policyNaive {
		vms = 0
	}
	f, err := localfleet.Start(localfleet.Options{
		Text: text, VMs: vms, Log: zerolog.Nop(),
		Edit:    func(e *localfleet.Editor) { prepare(e, o, parsed) },
		Service: func(string) time.Duration { return groupedService },
	})
	if err != nil {
		return nil, err
	}
	for _, t := range f.Targets {
		service, _ := parsed.Service(t.Service)
		median := groupedService
		if len(service.Shards) == 1 {
			median = pooledService
		}
		t.SetDelay(delays(o.seed, fmt.Sprint(t.Service, t.Group, t.Index), median, s.stragglers))
	}
	return f, nil
}

// prepare sets the rates so that each workspace sends a fixed part of its own.
func prepare(e *localfleet.Editor, o options, parsed *config.Config) {
	e.MaxVMs(o.vms)
	total := 0.0
	for _, w := range parsed.Workspaces {
		total += w.Rate
	}
	for _, w := range parsed.Workspaces {
		rate := o.rate * w.Rate / total / rateUse
		e.Rate(w.Name, rate, max(rate*secondsOfRate, 1))
	}
}

// makeSources makes one source for each workspace and service.
func makeSources(o options, f *localfleet.Fleet, c *config.Config, naive *naiveTier, s scenario) ([]load.Source, func()) {
	var sources []load.Source
	var clients []*client.Client
	for i, w := range c.Workspaces {
		zone := c.Zones[i%len(c.Zones)].Name
		cl := f.Client(w.Name, zone)
		if naive != nil {
			cl = client.New(client.Options{Seeds: naive.urls(), Key: f.Key(w.Name), Zone: zone})
		}
		clients = append(clients, cl)
		rate := w.Rate * rateUse
		if s.noisy && i == 0 {
			rate = w.Rate * burstFactor
		}
		for _, service := range c.Services {
			if !w.MayQuery(service.Name) {
				continue
			}
			sources = append(sources, load.Source{
				Workspace: w.Name, Service: service.Name, RatePerSecond: rate / float64(len(c.Services)),
				Deadline: queryDeadline, Client: cl,
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
