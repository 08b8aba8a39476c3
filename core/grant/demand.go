package grant

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

const (
	demandTolerance    = 0.125 // relative change up to which a value is not reported
	demandRefreshCount = 2     // values that every report repeats in rotation
)

// demandReporter chooses the demands that a report carries: the greatest
// changes, and the others in rotation, so that the loss of a report is repaired.
type demandReporter struct {
	current       map[string]float64
	reported      map[string]float64 // values of earlier reports, which may be lost
	lastRefreshed string             // workspace that was repeated last
}

func newDemandReporter() demandReporter {
	return demandReporter{current: make(map[string]float64), reported: make(map[string]float64)}
}

func (d *demandReporter) set(ratePerSecond map[string]float64) { d.current = ratePerSecond }

// reset makes the next reports carry all values again.
func (d *demandReporter) reset() { clear(d.reported) }

// nextDemands returns the demands of the next report, at most maxDemands, and
// records them as reported.
func (d *demandReporter) nextDemands() []Demand {
	out := d.changed()
	if len(out) > maxDemands-demandRefreshCount {
		slices.SortFunc(out, func(a, b Demand) int {
			x := math.Abs(a.RatePerSecond - d.reported[a.Workspace])
			y := math.Abs(b.RatePerSecond - d.reported[b.Workspace])
			return cmp.Or(cmp.Compare(y, x), strings.Compare(a.Workspace, b.Workspace))
		})
		out = out[:maxDemands-demandRefreshCount]
	}
	for range demandRefreshCount {
		if name, ok := d.nextRefreshed(); ok {
			d.lastRefreshed = name
			out = append(out, Demand{Workspace: name, RatePerSecond: d.current[name]})
		}
	}
	for _, demand := range out {
		if demand.RatePerSecond > 0 {
			d.reported[demand.Workspace] = demand.RatePerSecond
		} else {
			delete(d.reported, demand.Workspace)
		}
	}
	return out
}

// changed returns all demands that differ from the reported value, sorted by
// workspace. A demand that ended has rate zero.
func (d *demandReporter) changed() []Demand {
	var out []Demand
	for name, rate := range d.current {
		if reported := d.reported[name]; math.Abs(rate-reported) > demandTolerance*max(rate, reported) {
			out = append(out, Demand{Workspace: name, RatePerSecond: rate})
		}
	}
	for name := range d.reported {
		if _, ok := d.current[name]; !ok {
			out = append(out, Demand{Workspace: name})
		}
	}
	slices.SortFunc(out, func(a, b Demand) int { return strings.Compare(a.Workspace, b.Workspace) })
	return out
}

// nextRefreshed returns the workspace after lastRefreshed in alphabetical order,
// cyclically; false when there is none.
func (d *demandReporter) nextRefreshed() (string, bool) {
	var first, after string
	for name := range d.current {
		if first == "" || name < first {
			first = name
		}
		if name > d.lastRefreshed && (after == "" || name < after) {
			after = name
		}
	}
	if after != "" {
		return after, true
	}
	return first, first != ""
}
