// Package load is an open-loop load generator: it sends queries at fixed rates,
// whether or not earlier ones were answered. It is given sources of queries and
// returns a sample of each query; Summarize adds these up.
package load

import (
	"context"
	"math/rand"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilfork/anvilfork/client"
	"github.com/anvilfork/anvilfork/core/outcome"
)

const (
	maxInFlight  = 4096 // queries in flight per source; more would measure the load generator itself
	sampleBuffer = 4096 // samples
)

// Source sends the queries of one workspace to one service.
type Source struct {
	Workspace     string
	Service       string
	RatePerSecond float64
	Deadline      time.Duration
	Client        *client.Client
	Body          func(n int) []byte           // body of query n, counted from 0
	Check         func(*client.Answer) Verdict // verifies an answer; may be nil
}

// Verdict lists the faults that a check found in an answer.
type Verdict struct {
	MixedSnapshot bool // a part has another index version than the answer names
	WrongCoverage bool // coverage and parts do not match
}

// Sample is the result of one query.
type Sample struct {
	Workspace string
	Service   string
	At        time.Duration // scheduled sending time, from the start of the run
	Latency   time.Duration // from the scheduled sending time to the answer, so that delays of the generator count
	Coverage  float64
	Refusal   *outcome.Refusal // nil when it was answered
	Verdict   Verdict
}

// Run sends queries of all sources for a duration, waits until all have ended, and
// returns their samples in the order of their ends. The arrivals of each source are
// a Poisson process that is determined by the seed.
func Run(ctx context.Context, sources []Source, duration time.Duration, seed int64) []Sample {
	samples := make(chan Sample, sampleBuffer)
	var running atomic.Int64
	running.Store(int64(len(sources)))
	start := time.Now()
	for i := range sources {
		go func() {
			sources[i].run(ctx, start, duration, rand.New(rand.NewSource(seed+int64(i))), samples)
			if running.Add(-1) == 0 {
				close(samples)
			}
		}()
	}
	var all []Sample
	for s := range samples {
		all = append(all, s)
	}
	return all
}

// run sends the samples of the source to out. It returns when all its queries have
// ended, which it knows by taking all slots of inFlight.
func (s *Source) run(ctx context.Context, start time.Time, duration time.Duration, rng *rand.Rand, out chan<- Sample) {
	inFlight := make(chan struct{}, maxInFlight)
	due := time.Duration(0)
	for n := 0; ctx.Err() == nil; n++ {
		due += time.Duration(rng.ExpFloat64() / s.RatePerSecond * float64(time.Second))
		if due >= duration {
			break
		}
		time.Sleep(time.Until(start.Add(due)))
		inFlight <- struct{}{}
		go func(due time.Duration) {
			out <- s.query(ctx, n, start, due)
			<-inFlight
		}(due)
	}
	for range maxInFlight {
		inFlight <- struct{}{}
	}
}

// query sends query n. An error that is not a refusal counts as a lost connection
// with an unknown outcome.
func (s *Source) query(ctx context.Context, n int, start time.Time, due time.Duration) Sample {
	sample := Sample{Workspace: s.Workspace, Service: s.Service, At: due}
	answer, err := s.Client.Query(ctx, client.Request{Service: s.Service, Body: s.Body(n), Deadline: s.Deadline})
	sample.Latency = time.Since(start) - due
	if err != nil {
		if !errors.As(err, &sample.Refusal) {
			sample.Refusal = outcome.New(outcome.CodeConnectionLost, outcome.Unknown, "%v", err)
		}
		return sample
	}
	sample.Coverage = float64(answer.Coverage.Answered) / float64(max(answer.Coverage.Groups, 1))
	if s.Check != nil {
		sample.Verdict = s.Check(answer)
	}
	return sample
}
