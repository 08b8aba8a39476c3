package grant_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against any sequence of message loss, delay, duplication, pauses,
// restarts, partitions, equal splits, departures and changed limits that makes the
// fleet exceed a limit: the rate and burst in any window, the slots and
// connections of a shard, or one holder per request-id range.
func TestLimitsHoldUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxVMs := rapid.SampledFrom([]int{1, 2, 3, 4, 6}).Draw(t, "maxVMs")
		seed := rapid.Int64().Draw(t, "seed")
		s := newFleetSim(seed, maxVMs, 2)
		watch(s, func(text string) { t.Fatal(text) })
		run := &schedule{t: t, sim: s, maxVMs: maxVMs, floor: rapid.SampledFrom([]float64{0, 0.25, 0.5, 1}).Draw(t, "floor")}
		run.newLimits()
		for a := range maxVMs {
			s.start(a, run.config)
		}
		if rapid.Bool().Draw(t, "warm") {
			s.run(10 * time.Second)
		}
		for range rapid.SampledFrom([]int{5, 10, 20, 30}).Draw(t, "steps") {
			run.step()
		}
	})
}
