package query_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/anvilfork/anvilfork/core/query"
)

// Guards the invariants of a query under random combinations of faults: one end for each
// start, no part of another snapshot, true coverage, "not run" only where it is proved,
// at most one run of each shard of a non-idempotent query.
func TestPropertyRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt)
		queries := rapid.IntRange(1, 4).Draw(rt, "queries")
		for id := query.ID(1); id <= query.ID(queries); id++ {
			sim.after(sim.drawDelay("start", 100), func() { sim.start(id) })
		}
		for range rapid.IntRange(0, 4).Draw(rt, "disturbances") {
			sim.after(sim.drawDelay("disturbance", 300), sim.injectChange)
		}
		sim.run()
		for id, q := range sim.queries {
			if q.finishes != 1 {
				rt.Fatalf("query %d finished %d times", id, q.finishes)
			}
		}
		if sim.m.Running() != 0 || !sim.m.Next().IsZero() {
			rt.Fatalf("%d queries run after the end, next timer %v", sim.m.Running(), sim.m.Next())
		}
	})
}

// Guards against a query that ends after its deadline although the process runs.
func TestPropertyEndsAtDeadline(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt)
		sim.start(1)
		sim.run()
		if q := sim.queries[1]; q.finishes != 1 || q.endedAt.After(q.start.Deadline) {
			rt.Fatalf("%d ends, at %v with deadline %v", q.finishes, q.endedAt.Sub(epoch), q.start.Deadline.Sub(epoch))
		}
	})
}
