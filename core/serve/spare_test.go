package serve

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/catalog"
)

// opensDuring closes each idle connection as targets do after their idle timeout,
// and returns how many connections were opened in that time to targets of a service.
func (h *harness) opensDuring(service string, rounds int) int {
	opens := 0
	for range rounds {
		h.advance(10 * time.Second)
		for id := range h.opened {
			if c := h.engine.conns[id]; c != nil && c.open && c.attempt == nil {
				h.step(ConnClosed{Conn: id, Cause: "EOF"})
			}
		}
		h.advance(time.Second)
		for _, c := range h.connecting {
			if h.everKnown[c.Address].Service == service {
				opens++
			}
		}
		h.openAll()
		h.confirm()
	}
	return opens
}

// Guards against connections that are opened again and again to targets which close
// them unused: of each shard only spareTargets are kept connected, and none of a
// service that no route names.
func TestUnusedConnectionsAreNotOpenedAgain(t *testing.T) {
	h := newHarness(t)
	for n := range replicas {
		h.addTarget("later", n)
	}
	h.addTarget(shardName(0), replicas)
	h.addTarget(shardName(0), replicas+1)
	h.publish()
	h.openAll()
	assert.Equal(t, h.opensDuring(shardName(0), 5), 5*spareTargets)
	assert.Equal(t, h.opensDuring("single", 5), 5*replicas)
	assert.Equal(t, h.opensDuring("later", 5), 0)

	routes := testRoutes()
	routes[0].FanOut = &catalog.FanOut{Shards: []string{"later"}, TopK: 3, MinCoverage: 1}
	h.config = testConfig(2, routes, 0)
	h.publish()
	h.advance(maintenanceInterval)
	h.openAll()
	id := h.submit("/sweep/x")
	h.answer(h.takeAttempt("later"), record("a"))
	assert.Assert(t, h.answers[id].Merged != nil, "no connection is open when a route names the service")
}

// Guards against shards that lose their answers because the targets with kept
// connections fail, while another one serves.
func TestFaultSpareTargetsFail(t *testing.T) {
	h := newHarness(t)
	h.addTarget(shardName(0), replicas)
	h.publish()
	service := h.engine.services[shardName(0)]
	for _, tg := range service.targets[:spareTargets] {
		id := tg.reg.ID
		for conn, address := range h.opened {
			if address == id {
				h.step(ConnClosed{Conn: conn, Refused: true, Cause: "refused"})
			}
		}
	}
	for range 5 { // each new connection to them is refused
		h.advance(maintenanceInterval)
		connecting := h.connecting
		h.connecting = nil
		for _, c := range connecting {
			if slices.ContainsFunc(service.targets[:spareTargets], func(tg *target) bool { return tg.reg.ID == c.Address }) {
				h.step(ConnClosed{Conn: c.Conn, Refused: true, Cause: "refused"})
			} else {
				h.step(ConnOpened{Conn: c.Conn})
			}
		}
	}
	id := h.submit("/sweep/x")
	for i := range fanOutShards {
		h.answer(h.takeAttempt(shardName(i)), record("a"))
	}
	assert.Equal(t, h.answers[id].Merged.MissingShards, 0, fmt.Sprint(h.answers[id].Trace.MissingShards))
}

// Guards against first attempts of a fan-out that cross zones, each with a whole
// answer, because the times of the targets differ a little, and against attempts
// that stay with a target of the zone that is much slower.
func TestFanOutStaysInTheZone(t *testing.T) {
	for slowness, stays := range map[float64]bool{1.5: true, 2.5: false} {
		h := newHarness(t)
		local := h.engine.targets[shardName(0)+"-0"]
		local.slowness, local.sampleAt = slowness, h.now
		id := h.submit("/sweep/x")
		a := h.takeAttempt(shardName(0))
		assert.Equal(t, a.Request.ID, id)
		assert.Equal(t, h.everKnown[a.Target].Zone == testSettings.Zone, stays, "slowness %v", slowness)
	}
}

// Guards against queries that lose a shard whose first two targets are slow while the
// third one, to which no connection was kept, could answer in time.
func TestThirdTargetOfAShardStaysConnected(t *testing.T) {
	h := newHarness(t)
	for range 3 {
		h.advance(10 * time.Second)
		for id := range h.opened {
			if c := h.engine.conns[id]; c != nil && c.open {
				h.step(ConnClosed{Conn: id, Cause: "EOF"})
			}
		}
		h.advance(maintenanceInterval)
		h.openAll()
	}
	h.confirm()
	for _, slow := range []string{shardName(0) + "-0", shardName(0) + "-1"} {
		h.engine.targets[slow].slowness, h.engine.targets[slow].sampleAt = maxSlowness, h.now
	}
	h.submit("/sweep/x")
	assert.Equal(t, h.takeAttempt(shardName(0)).Target, shardName(0)+"-2")
}
