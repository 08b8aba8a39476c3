package quota

import (
	"github.com/anvilfork/anvilfork/core/config"
)

// Limit is a rate with the burst, in requests, that is admitted beyond it.
type Limit struct {
	RatePerSecond float64
	Burst         float64
}

// Division is the division of a workspace's limit: every VM holds Floor at all
// times, and the coordinator grants parts of Divisible.
type Division struct {
	Floor     Limit
	Divisible Limit
}

// minBurst is the burst below which a bucket could never admit a request.
const minBurst = 1.0

// Divide returns the division of a workspace's limit.
//
// A floor with a burst below one request could never admit any. Where the burst
// suffices, every floor therefore gets a burst of at least one request, at the
// expense of Divisible. Otherwise no floor has a burst: VMs that cannot reach each
// other may each admit a request at the same moment, so that max_vms requests have
// to fit into the burst. A VM without a share then admits nothing.
//
// Neither part shrinks when the limit grows. While VMs have different revisions
// of the configuration, their parts together therefore stay within the greatest
// limit of these revisions, as long as floor_fraction and max_vms are the same.
func Divide(w *config.Workspace, f *config.Fleet) Division {
	if f.MaxVMs < 1 || f.FloorFraction <= 0 {
		return Division{Divisible: Limit{RatePerSecond: w.Rate, Burst: w.Burst}}
	}
	vms := float64(f.MaxVMs)
	floor := Limit{RatePerSecond: w.Rate * f.FloorFraction / vms}
	divisible := Limit{RatePerSecond: w.Rate * (1 - f.FloorFraction)}
	if minWithFloors := minBurstForFloors(f); w.Burst < minWithFloors {
		divisible.Burst = min(w.Burst, minWithFloors-totalFloorBurst(minWithFloors, f))
	} else {
		floorTotal := totalFloorBurst(w.Burst, f)
		floor.Burst, divisible.Burst = floorTotal/vms, w.Burst-floorTotal
	}
	return Division{Floor: floor, Divisible: divisible}
}

// minBurstForFloors returns the minimum burst of a workspace with which floors
// have a burst.
func minBurstForFloors(f *config.Fleet) float64 {
	const floorFraction = 0.5 // all floors together take half of this minimum
	return float64(f.MaxVMs) * minBurst / max(f.FloorFraction, floorFraction)
}

// totalFloorBurst returns the burst of all floors together.
func totalFloorBurst(burst float64, f *config.Fleet) float64 {
	return max(burst*f.FloorFraction, float64(f.MaxVMs)*minBurst)
}

// Floor returns the part of a workspace's limit that every VM holds without a
// grant of the coordinator.
func Floor(w *config.Workspace, f *config.Fleet) Limit { return Divide(w, f).Floor }

// Scale returns the given fraction of a limit.
func (l Limit) Scale(fraction float64) Limit {
	return Limit{RatePerSecond: l.RatePerSecond * fraction, Burst: l.Burst * fraction}
}
