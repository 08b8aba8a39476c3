package serve

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/outcome"
)

const testLapse = 2 * time.Second

// lapse removes the entries of all targets of the service "single", which may have
// lapsed in an outage of the store.
func (h *harness) lapse() {
	lapsed := make(map[string]time.Time)
	for id, target := range h.targets {
		if target.Service == "single" {
			delete(h.targets, id)
			lapsed[id] = h.now.Add(testLapse)
		}
	}
	h.step(CatalogChanged{Config: h.config, Targets: h.targets, Lapsed: lapsed})
}

// Guards against removing targets whose entries lapsed while the store was
// unreachable, and against keeping them longer than the platform needs to
// restore the entries of live targets.
func TestEntriesThatLapsedWhileTheStoreWasAway(t *testing.T) {
	h := newHarness(t)
	h.lapse()
	h.confirm()
	h.submit("/read/x")
	assert.Equal(t, h.running("single"), 1)
	h.publish() // later events do not change the decision
	h.submit("/read/x")
	assert.Equal(t, h.running("single"), 2)
	h.advance(testLapse + time.Millisecond)
	h.confirm()
	id := h.submit("/read/x")
	assert.Equal(t, h.answers[id].Refusal.Code, outcome.CodeNoReplica)
}

// Guards against a removed target that is kept because the copy of the store is old:
// the age says nothing about the reason for the removal.
func TestFaultRemovedTargetIsNotKeptForAnOldCopy(t *testing.T) {
	h := newHarness(t)
	h.advance(2500 * time.Millisecond)
	for id, target := range h.targets {
		if target.Service == "single" {
			delete(h.targets, id)
		}
	}
	h.publish()
	id := h.submit("/read/x")
	assert.Equal(t, h.running("single"), 0)
	assert.Equal(t, h.answers[id].Refusal.Code, outcome.CodeNoReplica)
	h.confirm()
	id = h.submit("/read/x")
	assert.Equal(t, h.answers[id].Refusal.Code, outcome.CodeNoReplica)
}

// Guards against a target that is kept after the loss of its entry and gets requests
// although its zone is evacuated, or it drains, leaves, or has been replaced.
func TestFaultKeptTargetsAreStillTakenOut(t *testing.T) {
	takeOut := map[string]func(h *harness){
		"zones evacuated before": func(h *harness) {
			h.step(CatalogChanged{Config: h.config, Targets: h.targets, ZonesOut: allZonesOut})
			h.lapseWith(allZonesOut)
		},
		"zones evacuated after": func(h *harness) {
			h.lapse()
			h.step(CatalogChanged{Config: h.config, Targets: h.targets, ZonesOut: allZonesOut})
		},
		"draining": func(h *harness) {
			for id, target := range h.targets {
				draining := *target
				draining.Draining = true
				h.targets[id] = &draining
			}
			h.publish()
			h.lapse()
		},
		"leaving before": func(h *harness) {
			h.leaveAll()
			h.advance(testSettings.DrainWithin)
			h.confirm()
			h.lapse()
		},
		"leaving after": func(h *harness) {
			h.lapse()
			h.leaveAll()
			h.advance(testSettings.DrainWithin * 3 / 5)
			h.confirm()
		},
		"replaced": func(h *harness) {
			h.lapse()
			for range replicas {
				h.submit("/read/x")
			}
			for h.running("single") > 0 {
				h.fail(h.takeAttempt("single"), WrongProcess)
			}
		},
	}
	for name, takeOut := range takeOut {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			takeOut(h)
			h.openAll()
			for range replicas {
				h.submit("/read/x")
			}
			h.openAll()
			assert.Equal(t, h.running("single"), 0)
		})
	}
}

var allZonesOut = map[string]bool{"z0": true, "z1": true, "z2": true}

// lapseWith is lapse while zones are out of service.
func (h *harness) lapseWith(zonesOut map[string]bool) {
	lapsed := make(map[string]time.Time)
	for id := range h.targets {
		lapsed[id] = h.now.Add(testLapse)
	}
	h.step(CatalogChanged{Config: h.config, Targets: make(map[string]*catalog.Target), Lapsed: lapsed, ZonesOut: zonesOut})
}

// leaveAll has every target of the service "single" say that it is about to end.
func (h *harness) leaveAll() {
	for range replicas {
		h.submit("/read/x")
	}
	for h.running("single") > 0 {
		a := h.takeAttempt("single")
		h.step(AttemptDone{Attempt: a.Attempt, Conn: a.Conn, Kind: Answered, Reusable: true, Leaving: true,
			Response: &Response{Status: 200, Success: true, Signature: "seal-" + a.Target}})
	}
}

// Guards against a target whose zone comes back into service while its entry has
// lapsed, and that gets its full load although it is cold.
func TestKeptTargetOfAReturningZoneIsCold(t *testing.T) {
	h := newHarness(t)
	services := []catalog.Service{{Name: "single", MaxConnections: 40, Warmup: 4 * time.Second, ColdRatePerSecond: 2}}
	h.config = catalog.NewConfig(2, testRoutes()[1:2], services, catalog.Limits{}, nil, nil)
	h.publish()
	h.step(CatalogChanged{Config: h.config, Targets: h.targets, ZonesOut: allZonesOut})
	h.lapseWith(allZonesOut)
	h.step(CatalogChanged{Config: h.config})
	h.openAll()
	for range 10 * replicas {
		h.submit("/read/x")
		for h.running("single") > 0 {
			h.answer(h.takeAttempt("single"), "")
		}
	}
	for _, target := range h.engine.service("single").targets {
		assert.Assert(t, h.now.Before(target.coldUntil), "%s", target.reg.ID)
	}
}
