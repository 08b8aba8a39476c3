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

// Guards against an answer that isn't the greatest records of its parts, or
// whose coverage isn't true.
func TestFanOutMergesAllShards(t *testing.T) {
	r := newRig(t)
	id := r.submit("/sweep/x")
	for i := range fanOutShards {
		r.answer(r.take(shardName(i)), record(string(rune('a'+i)))+"rest")
	}
	m := r.answers[id].Merged
	assert.Assert(t, m != nil)
	assert.Equal(t, string(m.Body), record("j")+record("i")+record("h"))
	assert.Equal(t, len(m.Signatures), fanOutShards)
	assert.Equal(t, m.MissingShards, 0)
}

// Guards against a caller that gets nothing in time because one shard is late,
// and against an answer below the least coverage.
func TestLateShardsAreLeftOutNearTheObjective(t *testing.T) {
	for _, late := range []int{2, 3} { // 8 of 10 shards are needed
		r := newRig(t)
		id := r.submit("/sweep/x")
		for i := late; i < fanOutShards; i++ {
			r.answer(r.take(shardName(i)), record("a"))
		}
		r.advance(95 * time.Millisecond)
		if late > 2 {
			assert.Assert(t, r.answers[id] == nil, "answered below the least coverage")
			continue
		}
		assert.Equal(t, r.answers[id].Merged.MissingShards, late)
		assert.Assert(t, r.answers[id].Trace.EndedEarly)
	}
}

// Guards against a request that may run only once and runs twice: the first
// attempt may have run when its connection is lost.
func TestLostConnectionOfARequestThatRunsOnce(t *testing.T) {
	r := newRig(t)
	id := r.submit("/write/x")
	r.fail(r.take("single"), ConnLost)
	assert.Equal(t, r.running("single"), 0)
	assert.Equal(t, r.answers[id].Refusal.Outcome, outcome.Unknown)
}

// Guards against giving up a request that certainly didn't run.
func TestShedRequestThatRunsOnceIsRepeated(t *testing.T) {
	r := newRig(t)
	id := r.submit("/write/x")
	first := r.take("single")
	r.fail(first, Shed)
	second := r.take("single")
	assert.Assert(t, second.Target != first.Target)
	r.answer(second, "body")
	assert.Equal(t, string(r.answers[id].Response.Body), "body")
}

// Guards against a refusal that says "not run" after an attempt was lost.
func TestRefusalIsTrueAfterMixedEnds(t *testing.T) {
	r := newRig(t)
	id := r.submit("/read/x")
	r.fail(r.take("single"), ConnLost)
	r.fail(r.take("single"), Shed)
	for r.running("single") > 0 {
		r.fail(r.take("single"), Shed)
	}
	assert.Equal(t, r.answers[id].Refusal.Outcome, outcome.Unknown)
}

// Guards against a busy loop: a request that may run only once had a hedge due
// in the past, and its timer fired again and again within one step.
func TestRequestThatRunsOnceDoesNotSpin(t *testing.T) {
	r := newRig(t)
	id := r.submit("/write/x")
	r.advance(time.Second)
	assert.Equal(t, r.running("single"), 1)
	assert.Assert(t, r.engine.Next().After(r.now))
	r.answer(r.take("single"), "body")
	assert.Assert(t, r.answers[id].Response != nil)
}

// Guards against a late hedge: a paused target must not hold up the answer.
func TestHedgeGoesToAnotherTarget(t *testing.T) {
	r := newRig(t)
	id := r.submit("/read/x")
	first := r.take("single")
	r.advance(200 * time.Millisecond) // half of the objective: the second attempt must be in time
	second := r.take("single")
	assert.Assert(t, second.Target != first.Target)
	r.answer(second, "body")
	assert.Equal(t, r.answers[id].Trace.Hedges, 1)
}

// Guards against a connection that is reopened without pause while its target,
// which is full, resets it as soon as it is open.
func TestResetConnectionsBackOff(t *testing.T) {
	r := newRig(t)
	asked := 0
	for range 200 {
		for id, address := range r.opened {
			if address == "single-0" {
				r.step(ConnClosed{Conn: id, Cause: "reset"})
			}
		}
		asked += len(r.asked)
		r.openAll()
		r.advance(10 * time.Millisecond)
	}
	assert.Assert(t, asked <= 10, "%d connections in 2 s", asked)
}

// Guards against keys that are honoured without news from the platform.
func TestKeysAreNotTrustedWithoutNews(t *testing.T) {
	r := newRig(t)
	r.advance(testSettings.MaxKeyCopyAge + time.Millisecond)
	id := r.submit("/read/x")
	assert.Equal(t, r.answers[id].Refusal.Code, outcome.CodeFenced)
	r.confirm()
	r.submit("/read/x")
	assert.Equal(t, r.running("single"), 1)
}

// Guards against a retry that runs with a key which was withdrawn meanwhile.
func TestWithdrawnKeyEndsRetries(t *testing.T) {
	r := newRig(t)
	id := r.submit("/read/x")
	a := r.take("single")
	r.config = catalog.NewConfig(2, testRoutes(), nil, catalog.Limits{}, []*catalog.Workspace{{Name: "a"}}, nil)
	r.publish()
	r.fail(a, ConnLost)
	assert.Equal(t, r.running("single"), 0)
	assert.Equal(t, r.answers[id].Refusal.Code, outcome.CodeUnauthorized)
	assert.Equal(t, r.answers[id].Refusal.Outcome, outcome.Unknown)
}

// Guards against work at a target that drains or is gone.
func TestDrainingTargetGetsNoWork(t *testing.T) {
	r := newRig(t)
	draining := *r.targets["single-0"]
	draining.Draining = true
	r.targets["single-0"] = &draining
	delete(r.targets, "single-1")
	r.publish()
	for range 4 {
		r.submit("/read/x")
	}
	r.openAll()
	for _, a := range r.started {
		assert.Equal(t, a.Target, "single-2")
	}
}

// Guards against targets that are given up because their entries lapsed while
// the store was away, and against keeping them longer than the platform needs
// to restore the entries of live ones.
func TestEntriesThatLapsedWhileTheStoreWasAway(t *testing.T) {
	r := newRig(t)
	r.advance(4 * time.Second)
	for id, target := range r.targets {
		if target.Service == "single" {
			delete(r.targets, id)
		}
	}
	r.publish()
	r.confirm()
	r.submit("/read/x")
	assert.Equal(t, r.running("single"), 1)
	r.advance(lapseHold + time.Millisecond)
	r.confirm()
	id := r.submit("/read/x")
	assert.Equal(t, r.answers[id].Refusal.Code, outcome.CodeNoReplica)
}

// Guards against work in a zone that is taken out of service.
func TestZoneOutGetsNoWork(t *testing.T) {
	r := newRig(t)
	r.step(CatalogChanged{Config: r.config, Targets: r.targets, ZonesOut: map[string]bool{"z0": true, "z1": true}})
	for range 2 {
		r.submit("/read/x")
	}
	for _, a := range r.started {
		assert.Equal(t, r.targets[a.Target].Zone, "z2")
	}
}

// Guards against work that goes on for a caller that has left.
func TestCallerThatLeftStopsItsAttempts(t *testing.T) {
	r := newRig(t)
	id := r.submit("/sweep/x")
	assert.Equal(t, len(r.started), fanOutShards)
	r.step(Cancel{ID: id})
	assert.Equal(t, len(r.started), 0)
	assert.Assert(t, r.answers[id] == nil)
}

// Guards against a request that crashes one target after the other.
func TestRequestThatCrashesTargetsIsBlocked(t *testing.T) {
	r := newRig(t)
	const print = 77
	submit := func() *Answer {
		r.seq++
		r.step(Submit{Request: &Request{ID: r.seq, Host: "h", Path: "/write/x", Key: testKey, Fingerprint: print}})
		return r.answers[r.seq]
	}
	for range crashLimit {
		submit()
		a := r.take("single")
		r.fail(a, ConnLost)
		for len(r.asked) > 0 { // the target's process is gone
			c := r.asked[0]
			r.asked = r.asked[1:]
			r.step(ConnClosed{Conn: c.Conn, Refused: r.targets[a.Target].Address == c.Address})
		}
	}
	assert.Equal(t, submit().Refusal.Code, outcome.CodePoisonRequest)
}

// Guards against a workspace that exceeds its rate by more than the tolerance.
func TestQuotaHoldsOverAWindow(t *testing.T) {
	const rate = 20.0
	r := newRig(t)
	r.config = testConfig(2, testRoutes(), rate)
	r.publish()
	r.advance(2 * time.Second)
	admitted := 0
	for range 500 { // five seconds at five times the rate
		r.advance(10 * time.Millisecond)
		r.step(FleetChanged{View: &mesh.View{Confirmed: r.now, Self: mesh.Node{ID: "vm"}, Active: []mesh.Node{{ID: "vm"}}, Sharers: 1}})
		id := r.submit("/read/x")
		if r.answers[id] == nil || r.answers[id].Refusal.Code != outcome.CodeRateExceeded {
			admitted++
		}
		for r.running("single") > 0 {
			r.answer(r.take("single"), "")
		}
	}
	q := testSettings.Quota
	most := (rate*q.Window.Seconds()+rate)*(1+q.OverRatio) + q.SlackRequests
	assert.Assert(t, float64(admitted) <= most, "%d admitted, %v allowed", admitted, most)
	assert.Assert(t, float64(admitted) >= rate*q.Window.Seconds(), "%d admitted", admitted)
}

// Guards against a split that strays from its weights.
func TestSplitKeepsItsWeights(t *testing.T) {
	r := newRig(t)
	route := &catalog.Route{Name: "split", Split: []catalog.WeightedService{{Service: "x", Weight: 1}, {Service: "y", Weight: 3}}}
	count := make(map[string]int)
	for range 400 {
		count[r.engine.chooseService(route)]++
	}
	assert.Equal(t, count["x"], 100)
	assert.Equal(t, count["y"], 300)
}

// Guards against a VM that callers aren't sent to and that takes up connections
// which the others need, or refuses the few requests that it gets because a
// connection failed some time ago.
func TestInactiveVMKeepsNoConnections(t *testing.T) {
	r := newRig(t)
	r.step(FleetChanged{View: &mesh.View{Confirmed: r.now, Self: mesh.Node{ID: "vm"}, Active: []mesh.Node{{ID: "other"}}, Sharers: 1}})
	r.advance(idleInactive + 2*upkeepInterval)
	assert.Equal(t, len(r.opened), 0)
	r.submit("/read/x")
	for len(r.asked) > 0 {
		c := r.asked[0]
		r.asked = r.asked[1:]
		r.step(ConnClosed{Conn: c.Conn, Cause: "reset"})
	}
	r.advance(time.Second)
	id := r.submit("/read/x")
	assert.Assert(t, r.answers[id] == nil)
	r.openAll()
	for r.running("single") > 0 {
		r.answer(r.take("single"), "body")
	}
	assert.Assert(t, r.answers[id].Response != nil)
}

// Guards against work that leaves the zone, at a price, for seconds after a
// target there paused once, and against work that stays with one that is slow.
func TestOnePauseDoesNotMoveWork(t *testing.T) {
	for name, c := range map[string]struct {
		slow int // attempts in a row that take ten times as long
		home bool
	}{"pause": {1, true}, "slow": {16, false}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			serve := func(atHome time.Duration) string {
				r.submit("/write/x")
				r.openAll()
				a := r.take("single")
				zone := r.known[a.Target].Zone
				if zone == testSettings.Zone {
					r.advance(atHome)
				} else {
					r.advance(10 * time.Millisecond)
				}
				r.answer(a, "")
				return zone
			}
			for range 80 {
				serve(10 * time.Millisecond)
			}
			for range c.slow {
				serve(100 * time.Millisecond)
			}
			assert.Equal(t, serve(10*time.Millisecond) == testSettings.Zone, c.home)
		})
	}
}

// Guards against connections that are kept after a burst: a target accepts only
// so many from all VMs, and those of VMs that lost power still count for a while.
func TestConnectionsShrinkAfterABurst(t *testing.T) {
	r := newRig(t)
	var burst []RequestID
	for range 12 {
		burst = append(burst, r.submit("/read/x"))
		r.openAll()
	}
	assert.Assert(t, len(r.engine.targets["single-0"].conns) > 2)
	for r.running("single") > 0 {
		r.answer(r.take("single"), "")
		r.openAll()
	}
	for range 10 {
		r.advance(time.Second)
		r.confirm()
	}
	assert.Equal(t, len(r.engine.targets["single-0"].conns), spareConns)
	assert.Assert(t, r.answers[burst[11]].Response != nil)
}

// Guards against targets that are full of the connections of VMs that lost
// power, which they hold for a while: each VM must get another one beside them.
func TestConnectionsLeaveRoomForARestart(t *testing.T) {
	for _, c := range []struct{ accepted, vms int }{{26, 8}, {45, 6}, {76, 12}, {38, 6}, {110, 8}} {
		r := newRig(t)
		view := &mesh.View{Confirmed: r.now, Self: mesh.Node{ID: "vm"}, Sharers: c.vms}
		for range c.vms {
			view.Active = append(view.Active, mesh.Node{ID: "vm"})
		}
		r.step(FleetChanged{View: view})
		most := r.engine.connCap(&service{config: catalog.Service{MaxConnections: c.accepted}})
		assert.Assert(t, most >= 1 && c.vms*(most+spareConns) <= c.accepted, "%d of %d for each of %d", most, c.accepted, c.vms)
	}
}

// Guards against fan-outs that wait until the objective for a shard none of
// whose targets answers at all, as after a power loss there.
func TestDarkShardIsNotWaitedFor(t *testing.T) {
	r := newRig(t)
	for id, address := range r.opened {
		if r.known[address].Service == shardName(0) {
			r.step(ConnClosed{Conn: id, Cause: "reset"})
		}
	}
	r.advance(connectPauseTo) // connections are asked for again, and hang
	r.confirm()
	r.advance(connectPatience + 2*upkeepInterval)
	id := r.submit("/sweep/x")
	for i := 1; i < fanOutShards; i++ {
		r.answer(r.take(shardName(i)), record("a"))
	}
	assert.Assert(t, r.answers[id] != nil, "the answer waits for the dark shard")
	assert.Equal(t, r.answers[id].Merged.MissingShards, 1)
}

// Guards against memory that grows with every lost answer and every version of
// the configuration, and against a crash that is put down to old requests.
func TestOldLossesAndRoutesAreForgotten(t *testing.T) {
	r := newRig(t)
	for range 50 {
		r.submit("/write/x")
		for r.running("single") > 0 {
			r.fail(r.take("single"), ConnLost)
		}
		r.advance(crashWindow + time.Millisecond)
		r.confirm()
		r.openAll()
	}
	for _, target := range r.engine.targets {
		assert.Assert(t, len(target.lost) <= 1, "%d losses are remembered", len(target.lost))
	}
	r.config = testConfig(2, nil, 0)
	r.publish()
	assert.Equal(t, len(r.engine.routes), 0)
}
