package serve

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/outcome"
)

func record(fill string) string { return strings.Repeat(fill, recordSize) }

// Guards against an answer that does not hold the greatest records of all
// shards, or reports a wrong coverage.
func TestFanOutMergesAllShards(t *testing.T) {
	h := newHarness(t)
	id := h.submit("/sweep/x")
	for i := range fanOutShards {
		h.answer(h.takeAttempt(shardName(i)), record(string(rune('a'+i)))+"rest")
	}
	m := h.answers[id].Merged
	assert.Assert(t, m != nil)
	assert.Equal(t, string(m.Body), record("j")+record("i")+record("h"))
	assert.Equal(t, len(m.Signatures), fanOutShards)
	assert.Equal(t, m.MissingShards, 0)
}

// Guards against a query that gets no answer by its objective because one shard
// is late, and against an answer below the minimum coverage.
func TestLateShardsAreLeftOutNearTheObjective(t *testing.T) {
	for _, late := range []int{2, 3} { // 8 of 10 shards are needed
		h := newHarness(t)
		id := h.submit("/sweep/x")
		for i := late; i < fanOutShards; i++ {
			h.answer(h.takeAttempt(shardName(i)), record("a"))
		}
		h.advance(95 * time.Millisecond)
		if late > 2 {
			assert.Assert(t, h.answers[id] == nil, "answered below the minimum coverage")
			continue
		}
		assert.Equal(t, h.answers[id].Merged.MissingShards, late)
		assert.Assert(t, h.answers[id].Trace.EndedEarly)
	}
}

// Guards against running a request that is not idempotent twice: the first
// attempt may have run when its connection is lost.
func TestLostConnectionOfARequestThatRunsOnce(t *testing.T) {
	h := newHarness(t)
	id := h.submit("/write/x")
	h.fail(h.takeAttempt("single"), ConnLost)
	assert.Equal(t, h.running("single"), 0)
	assert.Equal(t, h.answers[id].Refusal.Outcome, outcome.Unknown)
}

// Guards against failing a request that certainly has not run: a target shed
// it.
func TestShedRequestThatRunsOnceIsRepeated(t *testing.T) {
	h := newHarness(t)
	id := h.submit("/write/x")
	first := h.takeAttempt("single")
	h.fail(first, Shed)
	second := h.takeAttempt("single")
	assert.Assert(t, second.Target != first.Target)
	h.answer(second, "body")
	assert.Equal(t, string(h.answers[id].Response.Body), "body")
}

// Guards against a refusal that says "not run" although an attempt that may
// have run was lost before others were shed.
func TestRefusalIsTrueAfterMixedEnds(t *testing.T) {
	h := newHarness(t)
	id := h.submit("/read/x")
	h.fail(h.takeAttempt("single"), ConnLost)
	h.fail(h.takeAttempt("single"), Shed)
	for h.running("single") > 0 {
		h.fail(h.takeAttempt("single"), Shed)
	}
	assert.Equal(t, h.answers[id].Refusal.Outcome, outcome.Unknown)
}

// Guards against a busy loop: a request that is not idempotent had a hedge due
// in the past, and its timer fired repeatedly within one step.
func TestRequestThatRunsOnceDoesNotSpin(t *testing.T) {
	h := newHarness(t)
	id := h.submit("/write/x")
	h.advance(time.Second)
	assert.Equal(t, h.running("single"), 1)
	assert.Assert(t, h.engine.Next().After(h.now))
	h.answer(h.takeAttempt("single"), "body")
	assert.Assert(t, h.answers[id].Response != nil)
}

// Guards against an answer that waits for a paused target: the hedge must go to
// another target in time for the objective.
func TestHedgeGoesToAnotherTarget(t *testing.T) {
	h := newHarness(t)
	id := h.submit("/read/x")
	first := h.takeAttempt("single")
	h.advance(200 * time.Millisecond) // half of the objective: the hedge must have started
	second := h.takeAttempt("single")
	assert.Assert(t, second.Target != first.Target)
	h.answer(second, "body")
	assert.Equal(t, h.answers[id].Trace.Hedges, 1)
}

// Guards against reconnecting without backoff to a full target, which resets
// each connection as soon as it is open.
func TestResetConnectionsBackOff(t *testing.T) {
	h := newHarness(t)
	attempts := 0
	for range 200 {
		for id, address := range h.opened {
			if address == "single-0" {
				h.step(ConnClosed{Conn: id, Cause: "reset"})
			}
		}
		attempts += len(h.connecting)
		h.openAll()
		h.advance(10 * time.Millisecond)
	}
	assert.Assert(t, attempts <= 10, "%d connections in 2 s", attempts)
}

// Guards against keys that are accepted although the copy of the store is too
// old to show a withdrawal.
func TestKeysAreNotTrustedWithoutNews(t *testing.T) {
	h := newHarness(t)
	h.advance(testSettings.MaxKeyCopyAge + time.Millisecond)
	id := h.submit("/read/x")
	assert.Equal(t, h.answers[id].Refusal.Code, outcome.CodeFenced)
	h.confirm()
	h.submit("/read/x")
	assert.Equal(t, h.running("single"), 1)
}

// Guards against a retry with a key that was withdrawn after the first attempt.
func TestWithdrawnKeyEndsRetries(t *testing.T) {
	h := newHarness(t)
	id := h.submit("/read/x")
	a := h.takeAttempt("single")
	h.config = catalog.NewConfig(2, testRoutes(), nil, catalog.Limits{}, []*catalog.Workspace{{Name: "a"}}, nil)
	h.publish()
	h.fail(a, ConnLost)
	assert.Equal(t, h.running("single"), 0)
	assert.Equal(t, h.answers[id].Refusal.Code, outcome.CodeUnauthorized)
	assert.Equal(t, h.answers[id].Refusal.Outcome, outcome.Unknown)
}

// Guards against attempts at a target that drains or has no entry any more.
func TestDrainingTargetGetsNoWork(t *testing.T) {
	h := newHarness(t)
	draining := *h.targets["single-0"]
	draining.Draining = true
	h.targets["single-0"] = &draining
	delete(h.targets, "single-1")
	h.publish()
	for range 4 {
		h.submit("/read/x")
	}
	h.openAll()
	for _, a := range h.started {
		assert.Equal(t, a.Target, "single-2")
	}
}

// Guards against attempts in a zone that is out of service.
func TestZoneOutGetsNoWork(t *testing.T) {
	h := newHarness(t)
	h.step(CatalogChanged{Config: h.config, Targets: h.targets, ZonesOut: map[string]bool{"z0": true, "z1": true}})
	for range 2 {
		h.submit("/read/x")
	}
	for _, a := range h.started {
		assert.Equal(t, h.targets[a.Target].Zone, "z2")
	}
}

// Guards against attempts that go on after their caller has gone away.
func TestCallerThatLeftStopsItsAttempts(t *testing.T) {
	h := newHarness(t)
	id := h.submit("/sweep/x")
	assert.Equal(t, len(h.started), fanOutShards)
	h.step(Cancel{ID: id})
	assert.Equal(t, len(h.started), 0)
	assert.Assert(t, h.answers[id] == nil)
}

// Guards against a request that crashes one target after the other.
func TestRequestThatCrashesTargetsIsBlocked(t *testing.T) {
	h := newHarness(t)
	const fingerprint = 77
	submit := func() *Answer {
		h.seq++
		h.step(Submit{Request: &Request{ID: h.seq, Host: "h", Path: "/write/x", Key: testKey, Fingerprint: fingerprint}})
		return h.answers[h.seq]
	}
	for range mesh.CrashesToBlock {
		submit()
		a := h.takeAttempt("single")
		h.fail(a, ConnLost)
		for len(h.connecting) > 0 { // the target's process has ended and refuses connections
			c := h.connecting[0]
			h.connecting = h.connecting[1:]
			h.step(ConnClosed{Conn: c.Conn, Refused: h.targets[a.Target].Address == c.Address})
		}
	}
	assert.Equal(t, submit().Refusal.Code, outcome.CodePoisonRequest)
}

// Guards against a workspace that exceeds its rate by more than the tolerance
// within a window.
func TestQuotaHoldsOverAWindow(t *testing.T) {
	const rate = 20.0
	h := newHarness(t)
	h.config = testConfig(2, testRoutes(), rate)
	h.publish()
	h.advance(2 * time.Second)
	admitted := 0
	for range 500 { // five seconds at five times the rate
		h.advance(10 * time.Millisecond)
		h.step(FleetChanged{View: &mesh.View{Confirmed: h.now, Self: mesh.Node{ID: "vm"}, Active: []mesh.Node{{ID: "vm"}}, Sharers: 1}})
		id := h.submit("/read/x")
		if h.answers[id] == nil || h.answers[id].Refusal.Code != outcome.CodeRateExceeded {
			admitted++
		}
		for h.running("single") > 0 {
			h.answer(h.takeAttempt("single"), "")
		}
	}
	q := testSettings.Quota
	maxAllowed := (rate*q.Window.Seconds()+rate)*(1+q.OverRatio) + q.SlackRequests
	assert.Assert(t, float64(admitted) <= maxAllowed, "%d admitted, %v allowed", admitted, maxAllowed)
	assert.Assert(t, float64(admitted) >= rate*q.Window.Seconds(), "%d admitted", admitted)
}

// Guards against a split route whose services get requests in other proportions
// than their weights.
func TestSplitKeepsItsWeights(t *testing.T) {
	h := newHarness(t)
	route := &catalog.Route{Name: "split", Split: []catalog.WeightedService{{Service: "x", Weight: 1}, {Service: "y", Weight: 3}}}
	count := make(map[string]int)
	for range 400 {
		count[h.engine.chooseService(route)]++
	}
	assert.Equal(t, count["x"], 100)
	assert.Equal(t, count["y"], 300)
}

// Guards against a VM without callers that keeps connections which other VMs
// need, and against one that refuses its few requests because a connection
// failed some time before.
func TestInactiveVMKeepsNoConnections(t *testing.T) {
	h := newHarness(t)
	h.step(FleetChanged{View: &mesh.View{Confirmed: h.now, Self: mesh.Node{ID: "vm"}, Active: []mesh.Node{{ID: "other"}}, Sharers: 1}})
	h.advance(inactiveIdleTimeout + 2*maintenanceInterval)
	assert.Equal(t, len(h.opened), 0)
	h.submit("/read/x")
	for len(h.connecting) > 0 {
		c := h.connecting[0]
		h.connecting = h.connecting[1:]
		h.step(ConnClosed{Conn: c.Conn, Cause: "reset"})
	}
	h.advance(time.Second)
	id := h.submit("/read/x")
	assert.Assert(t, h.answers[id] == nil)
	h.openAll()
	h.advance(settleTime)
	for h.running("single") > 0 {
		h.answer(h.takeAttempt("single"), "body")
	}
	assert.Assert(t, h.answers[id].Response != nil)
}

// Guards against attempts that leave the zone, which is expensive, for seconds
// after a single pause of a target there, and against attempts that stay with a
// target that is slow.
func TestOnePauseDoesNotMoveWork(t *testing.T) {
	for name, c := range map[string]struct {
		slowAttempts int // consecutive attempts that take ten times as long
		staysInZone  bool
	}{"pause": {1, true}, "slow": {16, false}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			submitOne := func(localDuration time.Duration) string {
				h.submit("/write/x")
				h.openAll()
				a := h.takeAttempt("single")
				zone := h.everKnown[a.Target].Zone
				if zone == testSettings.Zone {
					h.advance(localDuration)
				} else {
					h.advance(10 * time.Millisecond)
				}
				h.answer(a, "")
				return zone
			}
			for range 80 {
				submitOne(10 * time.Millisecond)
			}
			for range c.slowAttempts {
				submitOne(100 * time.Millisecond)
			}
			assert.Equal(t, submitOne(10*time.Millisecond) == testSettings.Zone, c.staysInZone)
		})
	}
}

// Guards against connections that stay open after a burst: a target accepts a
// limited number from all VMs, and those of VMs that lost power still count for
// a while.
func TestConnectionsShrinkAfterABurst(t *testing.T) {
	h := newHarness(t)
	var burst []RequestID
	for range 12 {
		burst = append(burst, h.submit("/read/x"))
		h.openAll()
	}
	assert.Assert(t, len(h.engine.targets["single-0"].conns) > 2)
	for h.running("single") > 0 {
		h.answer(h.takeAttempt("single"), "")
		h.openAll()
	}
	for range 10 {
		h.advance(time.Second)
		h.confirm()
	}
	assert.Equal(t, len(h.engine.targets["single-0"].conns), spareConns)
	assert.Assert(t, h.answers[burst[11]].Response != nil)
}

// Guards against targets whose connections are all taken by VMs that lost
// power, and which hold them for a while: each VM must get another connection
// beside the old ones.
func TestConnectionsLeaveRoomForARestart(t *testing.T) {
	for _, c := range []struct{ accepted, vms int }{{26, 8}, {45, 6}, {76, 12}, {38, 6}, {110, 8}} {
		h := newHarness(t)
		view := &mesh.View{Confirmed: h.now, Self: mesh.Node{ID: "vm"}, Sharers: c.vms}
		for range c.vms {
			view.Active = append(view.Active, mesh.Node{ID: "vm"})
		}
		h.step(FleetChanged{View: view})
		maxAllowed := h.engine.maxConns(&service{config: catalog.Service{MaxConnections: c.accepted}})
		assert.Assert(t, maxAllowed >= 1 && c.vms*(maxAllowed+spareConns) <= c.accepted, "%d of %d for each of %d", maxAllowed, c.accepted, c.vms)
	}
}

// Guards against fan-outs that wait until the objective for a shard none of
// whose targets accepts connections, as after a power loss.
func TestDarkShardIsNotWaitedFor(t *testing.T) {
	h := newHarness(t)
	for id, address := range h.opened {
		if h.everKnown[address].Service == shardName(0) {
			h.step(ConnClosed{Conn: id, Cause: "reset"})
		}
	}
	h.advance(maxConnectBackoff) // connections are opened again, and hang
	h.confirm()
	h.advance(connectTimeout + 2*maintenanceInterval)
	id := h.submit("/sweep/x")
	for i := 1; i < fanOutShards; i++ {
		h.answer(h.takeAttempt(shardName(i)), record("a"))
	}
	assert.Assert(t, h.answers[id] != nil, "the answer waits for the unreachable shard")
	assert.Equal(t, h.answers[id].Merged.MissingShards, 1)
}

// Guards against state that grows with every lost connection and every version
// of the configuration, and against blaming a crash on requests that were lost
// long before.
func TestOldLossesAndRoutesAreForgotten(t *testing.T) {
	h := newHarness(t)
	for range 50 {
		h.submit("/write/x")
		for h.running("single") > 0 {
			h.fail(h.takeAttempt("single"), ConnLost)
		}
		h.advance(crashWindow + time.Millisecond)
		h.confirm()
		h.openAll()
	}
	for _, target := range h.engine.targets {
		assert.Assert(t, len(target.lostFingerprints) <= 1, "%d losses are remembered", len(target.lostFingerprints))
	}
	h.config = testConfig(2, nil, 0)
	h.publish()
	assert.Equal(t, len(h.engine.routes), 0)
}
