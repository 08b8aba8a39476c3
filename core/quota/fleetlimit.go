package quota

import "time"

// evenFraction is the weight, relative to the rate, of the demand that is added
// for all VMs together in equal parts, so that callers who move to a VM without
// demand find some of the rate there at once.
const evenFraction = 0.3

// Tolerance bounds what all VMs together may admit beyond a limit: in any Window,
// the requests within the limit times 1+OverRatio, plus SlackRequests.
type Tolerance struct {
	Window        time.Duration // zero takes defaultWindow
	OverRatio     float64
	SlackRequests float64
}

// defaultWindow applies where no window is set. A window of zero would turn what the
// tolerance leaves into an infinite rate.
const defaultWindow = 5 * time.Second

const (
	// overRatioUsed is the fraction of OverRatio by which the rates of all VMs
	// together exceed a limit. VMs don't know each other's demand exactly, and
	// without it callers within their rate would be refused.
	overRatioUsed = 0.4
	// burstFraction is the fraction of the remaining tolerance that is given out as
	// bursts, and poolFraction that of the pool within a window. The remainder covers
	// shares that move between VMs.
	burstFraction = 0.45
	poolFraction  = 0.2
	// poolBurstFraction is the part of the pool that is there at once; the rest of it
	// accrues in the course of a window.
	poolBurstFraction = 0.6
)

// FleetLimit returns the limit that all VMs together hold, which exceeds limit
// within the tolerance.
func (t Tolerance) FleetLimit(limit Limit) Limit {
	rate, remaining := t.divide(limit)
	return Limit{RatePerSecond: rate, Burst: remaining * burstFraction}
}

// PoolLimit returns the limit of the pool, which one VM keeps for all besides the
// FleetLimit that they divide.
func (t Tolerance) PoolLimit(limit Limit) Limit {
	_, remaining := t.divide(limit)
	pool := remaining * poolFraction
	return Limit{RatePerSecond: pool * (1 - poolBurstFraction) / t.window().Seconds(), Burst: max(pool*poolBurstFraction, minBurst)}
}

func (t Tolerance) window() time.Duration {
	if t.Window <= 0 {
		return defaultWindow
	}
	return t.Window
}

// divide returns the rate that all VMs hold, and the requests that the tolerance
// leaves in a window beyond it.
func (t Tolerance) divide(limit Limit) (rate, remaining float64) {
	w := t.window().Seconds()
	maxRequests := (limit.RatePerSecond*w+limit.Burst)*(1+t.OverRatio) + t.SlackRequests
	rate = limit.RatePerSecond * (1 + overRatioUsed*t.OverRatio)
	return rate, max(maxRequests-rate*w, 0)
}

// VMShare returns this VM's part of the limit that all VMs hold, from its own and
// the total demand in requests per second. The parts of VMs that know the same
// totals add up to the whole: the rate is divided in proportion to the demand; of
// the burst, half is divided like the rate and half equally, since requests do
// not arrive evenly.
func VMShare(fleetLimit Limit, own, total float64, vms int) Limit {
	n := float64(max(vms, 1))
	equal := evenFraction * max(fleetLimit.RatePerSecond, 1) / n
	own, total = own+equal, max(total, own)+equal*n
	fraction := own / total
	return Limit{
		RatePerSecond: fleetLimit.RatePerSecond * fraction,
		Burst:         max(fleetLimit.Burst*(fraction+1/n)/2, minBurst), // a smaller bucket could never admit a request
	}
}
