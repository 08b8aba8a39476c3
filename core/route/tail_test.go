package route_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	tailFanOut     = 25 // shards of the largest sharded services together
	tailSigma      = 0.3
	tailStragglers = 100 // one attempt in this many takes tailFactor times as long
	tailFactor     = 20
)

// measureTail runs one shard and returns the p99 of queries that consist of
// tailFanOut such sub-requests, and the extra attempts as a fraction of the
// sub-requests.
func measureTail(t *testing.T, stragglers bool, slots int, gap time.Duration) (time.Duration, float64) {
	t.Helper()
	sim := newSimulation(t, 3)
	sim.assign.Service.Slots, sim.assign.Share.Slots = 2, slots
	for _, target := range sim.targets {
		target.serviceTime = func(int) time.Duration {
			d := time.Duration(float64(simServiceTime) * math.Exp(tailSigma*sim.random.NormFloat64()))
			if sim.random.Intn(tailStragglers) == 0 && stragglers {
				d *= tailFactor
			}
			return d
		}
	}
	sim.begin()
	sim.load(500, gap, nil)
	before := sim.shard.Stats()
	var subs []*simSub
	for range tailFanOut * 800 {
		subs = append(subs, sim.submit(nil))
		sim.run(time.Duration(sim.random.ExpFloat64() * float64(gap)))
	}
	assertAll(t, sim, subs)
	var queries []time.Duration
	for i := 0; i < len(subs); i += tailFanOut {
		slowest := time.Duration(0)
		for _, s := range subs[i : i+tailFanOut] {
			slowest = max(slowest, s.latency())
		}
		queries = append(queries, slowest)
	}
	slices.Sort(queries)
	after := sim.shard.Stats()
	return queries[len(queries)*99/100], float64(after.Attempts-before.Attempts)/float64(len(subs)) - 1
}

// Guards against stragglers that determine the tail latency of queries. If 1 in 100
// attempts takes 20 times as long, the p99 is at most 1.5 times that without
// stragglers, and owners add at most their part (0.8) of the 5% of extra load. With
// one slot per replica, a hedge often finds no free slot when it is due.
func TestFaultStragglerTail(t *testing.T) {
	for _, c := range []struct {
		slots int // of each replica, at this owner
		gap   time.Duration
	}{
		{2, 20 * time.Millisecond}, {2, 8 * time.Millisecond}, {2, 4 * time.Millisecond},
		{1, 20 * time.Millisecond}, {1, 8 * time.Millisecond}, {1, 6 * time.Millisecond}, {1, 4 * time.Millisecond},
	} {
		healthy, _ := measureTail(t, false, c.slots, c.gap)
		slow, extra := measureTail(t, true, c.slots, c.gap)
		t.Logf("%d slots, one sub-request every %v: p99 %v healthy, %v with stragglers, extra load %.4f", c.slots, c.gap, healthy, slow, extra)
		assert.Check(t, slow <= healthy*3/2, "p99 %v, healthy %v", slow, healthy)
		assert.Check(t, extra <= 0.04+16.0/(tailFanOut*800), "extra load %.4f", extra)
	}
}
