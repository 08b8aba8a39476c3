package serve

import "time"

const (
	// meanLoadSamples is the number of reports over which the load of the other VMs is
	// averaged. The mean loses half of its weight in each meanLoadHalfLife.
	meanLoadSamples  = 8
	meanLoadHalfLife = time.Second
)

// reportedLoad is what a target has reported about the requests that it has.
type reportedLoad struct {
	load         Load
	loadAt       time.Time
	meanOthers   float64 // mean number of requests of other VMs
	invalidLoads int     // answers whose stated load was invalid
}

// recordLoad records the load and the pace that an answer states. An invalid load is
// logged when it is the first one since the target was added.
func (e *Engine) recordLoad(now time.Time, t *target, ev AttemptDone) {
	if ev.InvalidLoad != "" {
		t.invalidLoads++
		if t.invalidLoads == 1 {
			e.emit(LogEvent{Event: LogInvalidLoad, Service: t.service.name, Target: t.reg.ID, Cause: ev.InvalidLoad, Count: 1})
		}
	}
	if ev.Load != nil {
		t.load, t.loadAt = *ev.Load, now
		t.load.Running = max(t.load.Running-1, 0) // the target still counted the request that it has answered
		t.meanOthers += (t.otherVMsLoad(now) - t.meanOthers) / meanLoadSamples
		t.statePace(now, ev.Load.Pace)
	} else if ev.Kind == Answered {
		t.statePace(now, 0)
	}
}

// loadWith returns the load by which an answer adjusts the window. Under overload
// control that is what the answer states, none if it states nothing: a report says
// nothing of later answers, and a target may cease to report.
func (t *target) loadWith(ev AttemptDone) Load {
	if ev.Load == nil && t.service.overloadControl {
		return Load{}
	}
	return t.load
}

// otherVMsLoad estimates the number of requests of other VMs at the target from its
// last load report, whose weight declines with its age. At a target that states its
// pace the mean takes over, as the VMs that know it to be fast all use it.
func (t *target) otherVMsLoad(now time.Time) float64 {
	if t.loadAt.IsZero() {
		return 0
	}
	age, validity := now.Sub(t.loadAt), max(loadValidityAttempts*t.service.meanAttempt, minLoadValidity)
	weight := max(1-age.Seconds()/validity.Seconds(), 0)
	others := float64(max(t.load.Running+t.load.Queued-len(t.running), 0)) * weight
	if t.statesPace() {
		others += t.meanOthers * halvings(age, meanLoadHalfLife) * (1 - weight)
	}
	return others
}

// requestsAhead estimates how many requests the target has now.
func (t *target) requestsAhead(now time.Time) float64 {
	return float64(len(t.running)) + t.otherVMsLoad(now)
}
