// Package metrics records the service quality that users see: latency, coverage,
// extra load, refusals, and the worst-served workspace. It is given finished
// queries, aggregates them by service and workspace, and writes the series in
// the Prometheus text format.
package metrics

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/anvilfork/anvilfork/core/outcome"
)

const (
	reservoirSize  = 1028  // samples of a latency histogram
	reservoirAlpha = 0.015 // the usual decay of an exponentially decaying reservoir, per second
	maxSeries      = 2048  // label names come from the configuration; more series than this mean a fault
)

// Labels identify a series of a metric. An empty label is left out.
type Labels struct {
	Service   string
	Workspace string
	Code      string
	Cause     string
}

// seriesKey identifies a series.
type seriesKey struct {
	name   string
	labels Labels
}

// Registry holds all series of one process. Only one task may call its recording
// methods. Any task may call Write at any time, since every series is safe for
// concurrent use.
type Registry struct {
	series      gometrics.Registry
	names       map[seriesKey]string
	start       time.Time
	workspaces  windowsByName
	services    windowsByName
	answered    map[string]float64 // by workspace, as of the last Refresh
	overloads   gometrics.Counter
	keptReasons map[string]bool // reasons that store_kept_entries has series of
}

// New returns a Registry whose sliding windows start at now.
func New(now time.Time) *Registry {
	r := &Registry{
		series: gometrics.NewRegistry(), names: make(map[seriesKey]string), start: now,
		workspaces: make(windowsByName), services: make(windowsByName), answered: make(map[string]float64),
		keptReasons: make(map[string]bool),
	}
	r.overloads = r.counter("refusals_total", Labels{Code: string(outcome.CodeOverloaded)})
	r.Refresh(now)
	return r
}

// RecordOverload counts a request that was refused because the inbox of the
// recording task was full. Any task may call it.
func (r *Registry) RecordOverload() { r.overloads.Inc(1) }

// RecordConnection counts a connection to a target that is opened for a cause.
func (r *Registry) RecordConnection(cause string) {
	r.counter("connections_opened_total", Labels{Cause: cause}).Inc(1)
}

// RecordFailedAttempt counts an attempt at a target of a service that ended without a
// success; kind says how.
func (r *Registry) RecordFailedAttempt(service, kind string) {
	r.counter("failed_attempts_total", Labels{Service: service, Code: kind}).Inc(1)
}

// Query is a finished query as it is recorded.
type Query struct {
	Service   string
	Workspace string
	Duration  time.Duration
	Coverage  float64 // fraction of the shards that answered
	Shards    int     // sub-requests that the query needed, one for each shard
	Attempts  int     // attempts at targets that it caused
	Hedges    int
	Refusal   *outcome.Refusal // nil when the query was answered

	MissingCauses []string // cause of each shard that the answer lacks, where it is known
	CallerRefusal string   // why it was refused for its caller's sake; empty if it was not
}

// Record adds a query that finished at now.
func (r *Registry) Record(now time.Time, q Query) {
	second, t := r.secondAt(now), newTally(&q)
	if q.Workspace != "" {
		r.workspaces.add(q.Workspace, second, t)
	}
	if q.Service != "" && t.subrequests > 0 {
		r.services.add(q.Service, second, t)
	}
	l := Labels{Service: q.Service, Workspace: q.Workspace}
	r.counter("queries_total", l).Inc(1)
	r.counter("subrequests_total", l).Inc(int64(q.Shards))
	r.counter("attempts_total", l).Inc(int64(q.Attempts))
	r.counter("hedges_total", l).Inc(int64(q.Hedges))
	if q.Refusal != nil {
		l.Code = string(q.Refusal.Code)
		r.counter("refusals_total", l).Inc(1)
		if q.CallerRefusal != "" {
			r.counter("caller_refusals_total", Labels{Service: q.Service, Workspace: q.Workspace, Cause: q.CallerRefusal}).Inc(1)
		}
		if !causedByCaller(q.Refusal.Code) {
			r.counter("refusals_inside_rate_total", l).Inc(1)
		}
		return
	}
	r.counter("answers_total", l).Inc(1)
	if q.Coverage < 1 {
		r.counter("partial_answers_total", l).Inc(1)
	}
	for _, cause := range q.MissingCauses {
		r.counter("missing_shards_total", Labels{Service: q.Service, Cause: cause}).Inc(1)
	}
	r.histogram("query_duration_seconds", l).Update(q.Duration.Microseconds())
	r.histogram("coverage_ratio", l).Update(int64(q.Coverage * ratioScale))
}

func (r *Registry) counter(name string, l Labels) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(r.seriesName(name, l), r.series)
}

func (r *Registry) histogram(name string, l Labels) gometrics.Histogram {
	return r.series.GetOrRegister(r.seriesName(name, l), func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}).(gometrics.Histogram)
}

// seriesName returns the encoded name of a series. Beyond maxSeries, further label
// sets share one series for each metric, code and cause, with the other labels set to
// "other".
func (r *Registry) seriesName(name string, l Labels) string {
	k := seriesKey{name, l}
	if full, ok := r.names[k]; ok {
		return full
	}
	if len(r.names) >= maxSeries {
		return encodeSeries(name, Labels{Service: "other", Workspace: "other", Code: l.Code, Cause: l.Cause})
	}
	full := encodeSeries(name, l)
	r.names[k] = full
	return full
}
