package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/anvilfork/anvilfork/core/outcome"
)

// Bounds of the latency histogram.
const (
	maxTrackedMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 3
	percent           = 100
)

// Summary aggregates the samples of a run. Latencies and coverage are those of
// answered queries.
type Summary struct {
	Queries         int
	AnsweredWhole   int
	AnsweredPartial int
	RefusedNotRun   int
	OutcomeUnknown  int // outcome unknown, or run with the answer lost
	RateRefused     int
	MixedSnapshots  int
	WrongCoverage   int
	MeanCoverage    float64 // mean over all answers
	P50, P99, P999  time.Duration
	Refusals        map[outcome.Code]int
	Goodput         map[string]float64 // answers with full coverage / queries, by workspace
}

// Summarize aggregates samples.
func Summarize(samples []Sample) Summary {
	s := Summary{Refusals: make(map[outcome.Code]int), Goodput: make(map[string]float64)}
	latencies := hdrhistogram.New(1, maxTrackedMicros, significantDigits)
	offered := make(map[string]int)
	whole := make(map[string]int)
	for i := range samples {
		sample := &samples[i]
		s.Queries++
		offered[sample.Workspace]++
		s.count(sample)
		if sample.Refusal != nil {
			continue
		}
		if sample.Coverage >= 1 {
			whole[sample.Workspace]++
		}
		s.MeanCoverage += sample.Coverage
		_ = latencies.RecordValue(min(sample.Latency.Microseconds(), maxTrackedMicros)) // cannot fail, as min keeps the value in range
	}
	if answered := s.AnsweredWhole + s.AnsweredPartial; answered > 0 {
		s.MeanCoverage /= float64(answered)
	}
	for workspace, n := range offered {
		s.Goodput[workspace] = float64(whole[workspace]) / float64(n)
	}
	s.P50, s.P99, s.P999 = quantile(latencies, 0.5), quantile(latencies, 0.99), quantile(latencies, 0.999)
	return s
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q*percent)) * time.Microsecond
}

// count adds the outcome and the detected faults of one sample.
func (s *Summary) count(q *Sample) {
	if q.Verdict.MixedSnapshot {
		s.MixedSnapshots++
	}
	if q.Verdict.WrongCoverage {
		s.WrongCoverage++
	}
	switch {
	case q.Refusal == nil && q.Coverage >= 1:
		s.AnsweredWhole++
	case q.Refusal == nil:
		s.AnsweredPartial++
	case q.Refusal.Outcome == outcome.NotRun:
		s.RefusedNotRun++
	default:
		s.OutcomeUnknown++
	}
	if q.Refusal != nil {
		s.Refusals[q.Refusal.Code]++
		if q.Refusal.Code == outcome.CodeRateExceeded {
			s.RateRefused++
		}
	}
}

// WorstGoodput returns the minimum goodput of all workspaces other than except.
func (s *Summary) WorstGoodput(except string) float64 {
	worst := 1.0
	for workspace, goodput := range s.Goodput {
		if workspace != except {
			worst = min(worst, goodput)
		}
	}
	return worst
}
