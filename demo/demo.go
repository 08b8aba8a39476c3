// Package demo runs a whole fleet in one process, injects failures under load and
// verifies each answer against what the stand-in targets served. It is given a
// configuration document and returns the counts of outcomes and the latencies.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/client"
	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/load"
	"github.com/anvilfork/anvilfork/localfleet"
)

const (
	vmCount       = 6
	queryRate     = 120.0 // queries per second, total of all workspaces
	serviceTime   = 4 * time.Millisecond
	queryDeadline = time.Second
	runTime       = 11 * time.Second
	readyTimeout  = 12 * time.Second
	seed          = 1 // of the arrival times
)

// Result holds the counts of query outcomes, of detected faults, and the latencies of
// a run.
type Result struct {
	Queries         int     `json:"queries"`
	AnsweredWhole   int     `json:"answered_whole"`
	AnsweredPartial int     `json:"answered_partial"`
	RefusedNotRun   int     `json:"refused_not_run"`
	OutcomeUnknown  int     `json:"outcome_unknown"`
	MixedSnapshots  int     `json:"mixed_snapshots"`
	WrongCoverage   int     `json:"wrong_coverage"`
	KeyLeaks        int     `json:"key_leaks"`
	P50Ms           float64 `json:"p50_ms"`
	P99Ms           float64 `json:"p99_ms"`
}

// OK reports whether there were queries, and no answer mixed snapshots, no coverage
// was wrong and no key reached a target.
func (r Result) OK() bool {
	return r.Queries > 0 && r.MixedSnapshots == 0 && r.WrongCoverage == 0 && r.KeyLeaks == 0
}

// Run runs the demo with a configuration document and writes its progress line by
// line. It returns an error when the fleet does not start or is not ready in time.
func Run(ctx context.Context, document []byte, progress io.Writer) (Result, error) {
	d := &demo{progress: progress, start: time.Now()}
	f, err := localfleet.Start(localfleet.Options{
		Document: document, VMs: vmCount, Edit: setUpDocument,
		ServiceTime: func(string) time.Duration { return serviceTime }, Log: zerolog.Nop(),
	})
	if err != nil {
		return Result{}, err
	}
	defer f.Close()
	d.fleet = f
	c, err := f.Config()
	if err != nil {
		return Result{}, err
	}
	d.logf("started %d VMs, %d targets, %d workspaces", vmCount, len(f.Targets), len(c.Workspaces))
	sources := d.makeSources(c)
	if err := load.WaitReady(ctx, sources, readyTimeout); err != nil {
		return Result{}, err
	}
	d.logf("the fleet answers; %.0f queries/s for %v", queryRate, runTime)
	failuresDone := make(chan struct{})
	go func() {
		defer close(failuresDone)
		d.injectFailures(ctx, c)
	}()
	samples := load.Run(ctx, sources, runTime, seed)
	<-failuresDone
	return d.result(samples), nil
}

type demo struct {
	fleet    *localfleet.Fleet
	progress io.Writer
	start    time.Time
}

// logf writes a line of progress with the time since the start.
func (d *demo) logf(format string, args ...any) {
	fmt.Fprintf(d.progress, "%6.2fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// setUpDocument sets max_vms to the number of VMs that the demo starts, which
// shortens the start, and a short TTL of the callers' address list.
func setUpDocument(e *localfleet.Editor) {
	e.SetMaxVMs(vmCount)
	e.SetAddressTTL("1s")
}

// makeSources returns a source for each workspace and each service that it may query.
// The query rate is divided in proportion to the rates of the workspaces.
func (d *demo) makeSources(c *config.Config) []load.Source {
	var sources []load.Source
	totalRate := 0.0
	for _, w := range c.Workspaces {
		totalRate += w.Rate
	}
	for i, w := range c.Workspaces {
		caller := d.fleet.Client(w.Name, c.Zones[i%len(c.Zones)].Name)
		for _, s := range c.Services {
			if !w.MayQuery(s.Name) {
				continue
			}
			sources = append(sources, load.Source{
				Workspace: w.Name, Service: s.Name, RatePerSecond: queryRate * w.Rate / totalRate / float64(len(c.Services)),
				Deadline: queryDeadline, Client: caller,
				Body:  func(n int) []byte { return fmt.Appendf(nil, "%s %s %d", w.Name, s.Name, n) },
				Check: func(a *client.Answer) load.Verdict { return d.fleet.Verify(s.Name, a) },
			})
		}
	}
	return sources
}

func (d *demo) result(samples []load.Sample) Result {
	s := load.Summarize(samples)
	return Result{
		Queries: s.Queries, AnsweredWhole: s.AnsweredWhole, AnsweredPartial: s.AnsweredPartial,
		RefusedNotRun: s.RefusedNotRun, OutcomeUnknown: s.OutcomeUnknown,
		MixedSnapshots: s.MixedSnapshots, WrongCoverage: s.WrongCoverage, KeyLeaks: d.fleet.Counts().KeyLeaks,
		P50Ms: float64(s.P50) / float64(time.Millisecond), P99Ms: float64(s.P99) / float64(time.Millisecond),
	}
}
