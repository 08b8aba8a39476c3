// Package latency estimates latency quantiles over a sliding window.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minMicros         = 10                                         // lowest value that the histogram distinguishes
	maxMicros         = int64(60 * time.Second / time.Microsecond) // values above it are recorded as this
	significantDigits = 2                                          // of the histogram; a resolution of about 1%
	windowSamples     = 2048                                       // samples at which the histograms change places; later estimates cover at least half as many
	refreshSamples    = 64                                         // samples between two updates of the quantiles
	minSamples        = 20                                         // samples before the quantiles are used
	initialP50        = 20 * time.Millisecond                      // P50 until there are minSamples
	initialP95        = 50 * time.Millisecond                      // also of P90
	initialP99        = 100 * time.Millisecond                     // also of P98
	percentile50      = 50.0
	percentile90      = 90.0
	percentile98      = 98.0
	percentile95      = 95.0
	percentile99      = 99.0
)

// Estimate holds quantiles of recent latencies. The older of two histograms
// gets every sample and gives the quantiles. The newer one gets those of the
// second half of the window. When the older one is full, it is emptied and the
// two change places, so that old samples drop out without being stored singly.
type Estimate struct {
	older, newer  *hdrhistogram.Histogram
	sinceRefresh  int // samples since the quantiles were updated
	Mean          time.Duration
	P50, P90      time.Duration
	P95, P98, P99 time.Duration
}

// New returns an Estimate without samples, which has the initial quantiles.
func New() Estimate {
	return Estimate{
		older: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		newer: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		P50:   initialP50, P90: initialP95, P95: initialP95, P98: initialP99, P99: initialP99,
	}
}

// Record adds a sample.
func (l *Estimate) Record(d time.Duration) {
	us := min(max(d.Microseconds(), 1), maxMicros)
	_ = l.older.RecordValue(us) // fails only for a value above maxMicros
	if l.older.TotalCount() > windowSamples/2 {
		_ = l.newer.RecordValue(us)
	}
	if l.Mean == 0 {
		l.Mean = d
	}
	l.Mean += (d - l.Mean) / meanSamples
	l.sinceRefresh++
	total := l.older.TotalCount()
	if total < minSamples || l.sinceRefresh < refreshSamples && total >= refreshSamples {
		return
	}
	l.sinceRefresh = 0
	l.P50 = time.Duration(l.older.ValueAtPercentile(percentile50)) * time.Microsecond
	l.P90 = time.Duration(l.older.ValueAtPercentile(percentile90)) * time.Microsecond
	l.P95 = time.Duration(l.older.ValueAtPercentile(percentile95)) * time.Microsecond
	l.P98 = time.Duration(l.older.ValueAtPercentile(percentile98)) * time.Microsecond
	l.P99 = time.Duration(l.older.ValueAtPercentile(percentile99)) * time.Microsecond
	if total >= windowSamples {
		l.older, l.newer = l.newer, l.older
		l.newer.Reset()
	}
}

// IsMeasured reports whether the quantiles are those of samples.
func (l *Estimate) IsMeasured() bool { return l.older.TotalCount() >= minSamples }

// meanSamples is the number of samples over which Mean is averaged.
const meanSamples = 32
