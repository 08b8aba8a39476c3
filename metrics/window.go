package metrics

import (
	"maps"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/anvilfork/anvilfork/core/outcome"
)

// windowSeconds is the length of the sliding windows, in steps of one second.
const windowSeconds = 60

// tally counts the queries of a period.
type tally struct {
	offered       int64 // all queries
	eligible      int64 // queries that were not refused for a reason on the caller's side
	answered      int64 // queries that were answered
	subrequests   int64
	extraAttempts int64 // attempts beyond one for each sub-request
}

func (t *tally) add(o tally) {
	t.offered += o.offered
	t.eligible += o.eligible
	t.answered += o.answered
	t.subrequests += o.subrequests
	t.extraAttempts += o.extraAttempts
}

// ratio returns part/whole, or empty when whole is zero.
func ratio(part, whole int64, empty float64) float64 {
	if whole == 0 {
		return empty
	}
	return float64(part) / float64(whole)
}

// window is a sliding window of windowSeconds steps.
type window struct {
	seconds [windowSeconds]tally
	newest  int64 // newest step, in seconds since the start of the registry
}

func (w *window) add(second int64, t tally) {
	w.advance(second)
	w.seconds[second%windowSeconds].add(t)
}

// advance makes second the newest step and clears the steps that leave the
// window. A second before the newest step changes nothing.
func (w *window) advance(second int64) {
	for n := min(second-w.newest, windowSeconds); n > 0; n-- {
		w.seconds[(second-n+1)%windowSeconds] = tally{}
	}
	w.newest = max(w.newest, second)
}

func (w *window) sum() tally {
	var sum tally
	for _, t := range w.seconds {
		sum.add(t)
	}
	return sum
}

// windowsByName holds the windows by workspace or by service.
type windowsByName map[string]*window

// add counts t for a name. Beyond maxSeries names it counts nothing.
func (ws windowsByName) add(name string, second int64, t tally) {
	w, ok := ws[name]
	if !ok {
		if len(ws) >= maxSeries {
			return
		}
		w = &window{newest: second}
		ws[name] = w
	}
	w.add(second, t)
}

// causedByCaller reports whether the reason of a refusal is on the caller's side,
// so that the refusal does not count against the service quality of its workspace.
func causedByCaller(code outcome.Code) bool {
	switch code {
	case outcome.CodeRateExceeded, outcome.CodeBadRequest, outcome.CodeUnauthorized, outcome.CodeUnknownService,
		outcome.CodeDuplicateRequest, outcome.CodeRequestTooOld, outcome.CodePoisonRequest:
		return true
	}
	return false
}

// newTally returns the counts of one query.
func newTally(q *Query) tally {
	t := tally{offered: 1, subrequests: int64(q.Shards), extraAttempts: int64(max(q.Attempts-q.Shards, 0))}
	switch {
	case q.Refusal == nil:
		t.eligible, t.answered = 1, 1
	case !causedByCaller(q.Refusal.Code):
		t.eligible = 1
	}
	return t
}

// secondAt returns the step of a time. Times before the start belong to the first step.
func (r *Registry) secondAt(now time.Time) int64 {
	return max(int64(now.Sub(r.start)/time.Second), 0)
}

// Refresh updates the series that cover the sliding window. The recording task
// calls it regularly, so that they also decrease without traffic.
func (r *Registry) Refresh(now time.Time) {
	second, worst := r.secondAt(now), 1.0
	clear(r.answered)
	for name, w := range r.workspaces {
		w.advance(second)
		sum, l := w.sum(), Labels{Workspace: name}
		if sum.offered == 0 {
			delete(r.workspaces, name)
			r.unregister("workspace_answered_ratio", l)
			r.unregister("workspace_offered_per_second", l)
			continue
		}
		answered := ratio(sum.answered, sum.eligible, 1)
		worst = min(worst, answered)
		r.answered[name] = answered
		r.gauge("workspace_answered_ratio", l).Update(answered)
		r.gauge("workspace_offered_per_second", l).Update(float64(sum.offered) / windowSeconds)
	}
	r.gauge("worst_workspace_answered_ratio", Labels{}).Update(worst)
	r.refreshServices(second)
}

func (r *Registry) refreshServices(second int64) {
	for name, w := range r.services {
		w.advance(second)
		sum, l := w.sum(), Labels{Service: name}
		if sum.offered == 0 {
			delete(r.services, name)
			r.unregister("extra_load_ratio", l)
			continue
		}
		r.gauge("extra_load_ratio", l).Update(ratio(sum.extraAttempts, sum.subrequests, 0))
	}
}

// AnsweredRatios returns, by workspace, the fraction of the eligible queries of
// the last minute that were answered, as of the last Refresh.
func (r *Registry) AnsweredRatios() map[string]float64 {
	return maps.Clone(r.answered)
}

func (r *Registry) gauge(name string, l Labels) gometrics.GaugeFloat64 {
	return gometrics.GetOrRegisterGaugeFloat64(r.seriesName(name, l), r.series)
}

// unregister removes a series, so that it is no longer exposed.
func (r *Registry) unregister(name string, l Labels) {
	r.series.Unregister(encodeSeries(name, l))
	delete(r.names, seriesKey{name, l})
}
