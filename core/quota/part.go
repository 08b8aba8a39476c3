package quota

import "time"

// evenPart is the part of a rate that all VMs get alike, so that callers who
// move to a VM without demand find some of the rate there at once.
const evenPart = 0.3

// Tolerance is what all VMs together may admit beyond a limit: in any Window,
// a limit's requests times 1+OverRatio, plus SlackRequests.
type Tolerance struct {
	Window        time.Duration
	OverRatio     float64
	SlackRequests float64
}

const (
	// overUsed is the part of OverRatio by which the rates of all VMs together exceed
	// a limit. VMs don't know each other's demand exactly, and without it callers
	// within their rate would be refused.
	overUsed = 0.4
	// restUsed is the part of what the tolerance leaves besides that is handed
	// out as bursts. The remainder covers shares that move between VMs.
	restUsed = 0.65
)

// FleetLimit returns what all VMs together hold of a limit.
func (t Tolerance) FleetLimit(limit Limit) Limit {
	w := t.Window.Seconds()
	most := (limit.RatePerSecond*w+limit.Burst)*(1+t.OverRatio) + t.SlackRequests
	all := Limit{RatePerSecond: limit.RatePerSecond * (1 + overUsed*t.OverRatio)}
	all.Burst = max((most-all.RatePerSecond*w)*restUsed, 0)
	return all
}

// VMShare returns this VM's part of what all VMs hold. The parts of VMs that know
// the same totals add up to it: of the rate, each gets its share of the demand;
// of the burst, half is shared like the rate and half evenly, since callers
// don't come evenly.
func VMShare(all Limit, own, total float64, vms int) Limit {
	n := float64(max(vms, 1))
	even := evenPart * max(all.RatePerSecond, 1) / n
	own, total = own+even, max(total, own)+even*n
	share := own / total
	return Limit{
		RatePerSecond: all.RatePerSecond * share,
		Burst:         max(all.Burst*(share+1/n)/2, minBurst), // a smaller bucket could never admit a request
	}
}
