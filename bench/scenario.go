package main

import (
	"context"
	"hash/fnv"
	"math"
	"math/rand"
	"time"

	"github.com/anvilfork/anvilfork/localfleet"
)

const (
	shardedServiceMedian     = 5 * time.Millisecond // median service time of a target, for services of several shards
	singleShardServiceMedian = 3 * time.Millisecond
	serviceSigma             = 0.15 // standard deviation of the logarithm of the service time
	requestsPerStraggler     = 100
	stragglerFactor          = 20
	noisyRateFactor          = 10 // offered load of the noisy workspace, as a multiple of its rate
	zoneGracePeriod          = 3 * time.Second
)

// scenario is a condition under which both policies are measured.
type scenario struct {
	name              string
	hasStragglers     bool
	hasNoisyWorkspace bool // the first workspace offers ten times its rate
	removesZone       bool // one availability zone is taken out and restored
}

func scenarios() []scenario {
	return []scenario{
		{name: "healthy"},
		{name: "stragglers", hasStragglers: true},
		{name: "zone", removesZone: true},
		{name: "noisy", hasNoisyWorkspace: true},
	}
}

// newServiceTimes returns the service time of request n of a target, log-normal
// around the median. It depends only on the seed, the target and n, so that each run
// with the same seed has the same service times.
func newServiceTimes(seed int64, target string, median time.Duration, stragglers bool) func(n int) time.Duration {
	h := fnv.New64a()
	h.Write([]byte(target))
	targetSeed := seed ^ int64(h.Sum64())
	return func(n int) time.Duration {
		r := rand.New(rand.NewSource(targetSeed + int64(n)*7919))
		d := time.Duration(float64(median) * math.Exp(serviceSigma*r.NormFloat64()))
		if stragglers && r.Intn(requestsPerStraggler) == 0 {
			d *= stragglerFactor
		}
		return d
	}
}

// removeAndRestoreZone takes a zone out after a third of the run and restores it
// after two thirds. The targets of the zone start draining once the grace period is
// over, and return in a cold state.
func removeAndRestoreZone(ctx context.Context, f *localfleet.Fleet, n *naiveTier, zone string, d time.Duration) error {
	wait(ctx, d/3)
	if err := setZone(f, n, zone, true); err != nil {
		return err
	}
	grace := min(zoneGracePeriod, d/6)
	wait(ctx, grace)
	setZoneState(f, zone, "draining")
	wait(ctx, d/3-grace)
	setZoneState(f, zone, "cold")
	return setZone(f, n, zone, false)
}

// setZone publishes the change of the zone and passes it on to n, which may be nil.
func setZone(f *localfleet.Fleet, n *naiveTier, zone string, out bool) error {
	if err := f.Edit(func(e *localfleet.Editor) { e.SetZoneOut(zone, out) }); err != nil {
		return err
	}
	if n == nil {
		return nil
	}
	c, err := f.Config()
	if err == nil {
		n.setConfig(c)
	}
	return err
}

func setZoneState(f *localfleet.Fleet, zone, state string) {
	for _, t := range f.Targets {
		if t.Zone == zone {
			t.SetState(state)
		}
	}
}

// wait returns after d or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
