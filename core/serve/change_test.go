package serve

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/outcome"
)

// inFlight brings a request with the workspace "a" into each state that it can be in
// while a new configuration arrives, and returns the ids of the requests.
var inFlight = map[string]func(h *harness) []RequestID{
	"queued": func(h *harness) []RequestID {
		var ids []RequestID
		for range 40 { // more than the targets take
			if id := h.submit("/read/x"); h.answers[id] == nil { // within the rate
				ids = append(ids, id)
			}
		}
		assert.Assert(h.t, h.running("single") < len(ids))
		return ids
	},
	"retried": func(h *harness) []RequestID {
		id := h.submit("/read/x")
		h.fail(h.takeAttempt("single"), Shed)
		return []RequestID{id}
	},
	"fan-out": func(h *harness) []RequestID { return []RequestID{h.submit("/sweep/x")} },
	"waiting for the pool": func(h *harness) []RequestID {
		h.step(FleetChanged{View: &mesh.View{Confirmed: h.now, Self: mesh.Node{ID: "vm"}, Active: []mesh.Node{{ID: "vm"}}, Sharers: 1,
			Hubs: []fleet.VMID{"reader"}, Nodes: []mesh.Node{{ID: "reader", Peer: "reader"}}}})
		var ids []RequestID
		for len(h.poolAsks) == 0 {
			ids = append(ids, h.submit("/read/x"))
			assert.Assert(h.t, len(ids) < 1000)
		}
		return ids[len(ids)-1:]
	},
}

// Guards against a configuration that lifts the limit of a workspace and ends the
// process, as requests that were charged to it, or wait for its pool, end afterwards.
func TestFaultLimitLiftedUnderRequests(t *testing.T) {
	for name, inFlight := range inFlight {
		for _, reimposed := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				h := newHarness(t)
				h.config = testConfig(2, testRoutes(), 40)
				h.publish()
				h.confirm()
				ids := inFlight(h)
				h.config = testConfig(3, testRoutes(), 0)
				h.publish()
				if reimposed {
					h.config = testConfig(4, testRoutes(), 40)
					h.publish()
				}
				for _, ask := range h.poolAsks {
					h.step(PoolReplied{ID: ask.ID, Wait: time.Second})
				}
				for len(h.started) > 0 { // each attempt is refused and may be retried
					h.fail(h.takeAttempt(h.everKnown[h.started[0].Target].Service), Shed)
				}
				h.runToDeadline(5 * time.Second)
				for _, id := range ids {
					assert.Assert(t, h.answers[id] != nil)
					if name != "fan-out" { // some of its shards may be running when too many others have failed
						assert.Equal(t, h.answers[id].Refusal.Outcome, outcome.NotRun)
					}
				}
			})
		}
	}
}

// runToDeadline advances the clock with the copy of the store confirmed.
func (h *harness) runToDeadline(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.advance(250 * time.Millisecond)
		h.confirm()
	}
}

// Guards against a request that waits for the pool of its workspace and is refused as
// over a limit that was lifted meanwhile.
func TestLiftedLimitAdmitsRequestsThatWaitForThePool(t *testing.T) {
	h := newHarness(t)
	h.config = testConfig(2, testRoutes(), 40)
	h.publish()
	h.confirm()
	id := inFlight["waiting for the pool"](h)[0]
	h.config = testConfig(3, testRoutes(), 0)
	h.publish()
	h.step(PoolReplied{ID: id, Wait: time.Second})
	for h.running("single") > 0 {
		h.answer(h.takeAttempt("single"), "")
	}
	assert.Assert(t, h.answers[id] != nil && h.answers[id].Response != nil)
}

// Guards against a limit that a refund raises after it was lifted and set again: the
// token goes back to the bucket that it came from.
func TestRefundGoesToTheChargedBucket(t *testing.T) {
	h := newHarness(t)
	h.config = testConfig(2, testRoutes(), 40)
	h.publish()
	h.confirm()
	inFlight["queued"](h)
	for version, rate := range []float64{0, 40} {
		h.config = testConfig(uint64(3+version), testRoutes(), rate)
		h.publish()
	}
	h.engine.workspaces["a"].bucket.SetFill(h.now, 0)
	before := h.engine.workspaces["a"].wait(h.now)
	assert.Assert(t, before > 1)
	h.config = catalog.NewConfig(5, testRoutes(), nil, catalog.Limits{}, h.config.Workspaces(), nil) // the key is withdrawn
	h.publish()
	for len(h.started) > 0 {
		h.fail(h.takeAttempt("single"), Shed)
	}
	assert.Equal(t, h.engine.workspaces["a"].wait(h.now), before)
}
