package serve

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/outcome"
)

// poolHarness returns a harness whose VM gets few callers, with many targets of the
// service "single" in three zones.
func poolHarness(t *testing.T, targets int) *harness {
	h := newHarness(t)
	for n := replicas; n < targets; n++ {
		tg := h.addTarget("single", n)
		tg.Zone = h.targets["single-"+string(rune('0'+n%replicas))].Zone
	}
	h.step(FleetChanged{View: &mesh.View{Confirmed: h.now, Self: mesh.Node{ID: "vm"}, Active: []mesh.Node{{ID: "busy", Peer: "busy"}}, Sharers: 1}})
	h.publish()
	for range 30 { // idle connections close
		h.advance(100 * time.Millisecond)
		h.step(FleetChanged{View: &mesh.View{Confirmed: h.now, Self: mesh.Node{ID: "vm"}, Active: []mesh.Node{{ID: "busy", Peer: "busy"}}, Sharers: 1}})
	}
	assert.Equal(t, len(h.engine.conns), 0)
	return h
}

// Guards against a VM with few callers that opens a connection to every target of a
// service for a single request.
func TestRequestAtAnInactiveVMOpensFewConnections(t *testing.T) {
	h := poolHarness(t, 24)
	id := h.submit("/read/x")
	assert.Equal(t, len(h.connecting), queueConnsPerRequest)
	for _, c := range h.connecting {
		assert.Equal(t, h.everKnown[c.Address].Zone, "z0", "a target of another zone")
	}
	h.openAll()
	h.advance(settleTime)
	h.answer(h.takeAttempt("single"), record("a"))
	assert.Assert(t, h.answers[id].Response != nil)
}

// Guards against a request that may have run for all that its caller learns, although no
// target has read it: a target whose connections are all taken resets a new one shortly
// after it was opened.
func TestFaultTargetsResetNewConnections(t *testing.T) {
	h := poolHarness(t, replicas)
	id := h.submit("/write/x")
	for range 5 {
		opening := h.connecting
		h.openAll()
		h.advance(2 * time.Millisecond)
		for _, c := range opening {
			if h.engine.conns[c.Conn] != nil {
				h.step(ConnClosed{Conn: c.Conn, Cause: "connection reset by peer"})
			}
		}
		h.advance(maintenanceInterval)
	}
	assert.Equal(t, len(h.started), 0)
	assert.Assert(t, h.answers[id] != nil, "the request waits until its deadline")
	assert.Equal(t, h.answers[id].Refusal.Outcome, outcome.NotRun)
}

// Guards against a request that waits for targets that do not accept connections while
// others would.
func TestFaultConnectionsOfQueuedWorkHang(t *testing.T) {
	h := poolHarness(t, 24)
	h.submit("/read/x")
	hanging := len(h.connecting)
	h.advance(connectTimeout + 2*maintenanceInterval)
	assert.Assert(t, len(h.connecting) > hanging, "no other target is tried")
	assert.Assert(t, len(h.connecting) <= 3*hanging, "%d connections for one request", len(h.connecting))
}

// Guards against queued work that leaves the zone for want of order when the first
// targets do not accept connections, and against a pause before others are tried.
func TestFaultConnectionsOfQueuedWorkAreRefused(t *testing.T) {
	for name, c := range map[string]struct{ refuse bool }{"refused": {true}, "hanging": {}} {
		t.Run(name, func(t *testing.T) {
			h := poolHarness(t, 24)
			h.submit("/read/x")
			tried := make(map[string]bool)
			for len(tried) < 8 { // targets of this zone
				assert.Assert(t, len(h.connecting) >= queueConnsPerRequest, "none is tried after %v", tried)
				for _, c := range h.connecting {
					assert.Equal(t, h.everKnown[c.Address].Zone, "z0", "a target of another zone")
					tried[c.Address] = true
				}
				if !c.refuse {
					h.advance(connectTimeout + maintenanceInterval)
					continue
				}
				for _, c := range slices.Clone(h.connecting) {
					h.step(ConnClosed{Conn: c.Conn, Refused: true})
				}
			}
		})
	}
}
