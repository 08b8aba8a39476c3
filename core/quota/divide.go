package quota

import (
	"github.com/anvilfork/anvilfork/core/config"
)

// Limit is a rate in requests per second and a burst in requests.
type Limit struct {
	RatePerSecond float64
	Burst         float64
}

// Division splits the limit of a workspace: every VM holds Floor at all times,
// and the coordinator hands out parts of Divisible.
type Division struct {
	Floor     Limit
	Divisible Limit
}

// minBurst is the burst below which a bucket could never admit a request.
const minBurst = 1.0

// Divide returns the division of a workspace's limit.
//
// A floor whose burst is below one request could never admit any. Where the
// burst suffices, every floor therefore gets a burst of one request at least, at
// the expense of Divisible. Where it does not, no floor has a burst: VMs that do not
// hear of each other may each admit a request at the same moment, so that max_vms
// requests have to fit into the burst. A VM without a share then admits nothing.
//
// Both parts grow with the limit and never shrink when it grows. While VMs have
// different revisions, their parts together therefore stay within the greatest
// limit of these revisions, as long as floor_fraction and max_vms are the same.
func Divide(w *config.Workspace, f *config.Fleet) Division {
	if f.MaxVMs < 1 || f.FloorFraction <= 0 {
		return Division{Divisible: Limit{RatePerSecond: w.Rate, Burst: w.Burst}}
	}
	vms := float64(f.MaxVMs)
	floor := Limit{RatePerSecond: w.Rate * f.FloorFraction / vms}
	rest := Limit{RatePerSecond: w.Rate * (1 - f.FloorFraction)}
	if least := leastBurst(f); w.Burst < least {
		rest.Burst = min(w.Burst, least-floorBursts(least, f))
	} else {
		all := floorBursts(w.Burst, f)
		floor.Burst, rest.Burst = all/vms, w.Burst-all
	}
	return Division{Floor: floor, Divisible: rest}
}

// leastBurst is the burst of a workspace from which on floors have a burst.
func leastBurst(f *config.Fleet) float64 {
	const floorPart = 0.5 // all floors together take half of the least burst
	return float64(f.MaxVMs) * minBurst / max(f.FloorFraction, floorPart)
}

// floorBursts is the burst of all floors together.
func floorBursts(burst float64, f *config.Fleet) float64 {
	return max(burst*f.FloorFraction, float64(f.MaxVMs)*minBurst)
}

// Floor is what every VM holds of a workspace's limit without a coordinator.
func Floor(w *config.Workspace, f *config.Fleet) Limit { return Divide(w, f).Floor }

// Scale returns the given fraction of a limit.
func (l Limit) Scale(fraction float64) Limit {
	return Limit{RatePerSecond: l.RatePerSecond * fraction, Burst: l.Burst * fraction}
}
