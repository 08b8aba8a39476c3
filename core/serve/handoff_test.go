package serve

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/outcome"
)

const wideShards = 36

// wideView returns the view of a fleet with two active VMs in the zone of the
// harness and one in each of the others. Other VMs are not active.
func wideView(self fleet.VMID, now time.Time) *mesh.View {
	v := &mesh.View{Confirmed: now, Self: mesh.Node{ID: self, Zone: "z0"}, Sharers: 4}
	for id, zone := range map[fleet.VMID]string{"a0": "z0", "b0": "z0", "a1": "z1", "a2": "z2"} {
		v.Active = append(v.Active, mesh.Node{ID: id, Zone: zone, Peer: "peer-" + string(id)})
	}
	return v
}

// newWideHarness returns a VM with a fan-out of wideShards shards, each with a target
// in every zone, and with the connections that it keeps: none if it is not active.
func newWideHarness(t *testing.T, self fleet.VMID) *harness {
	h := newHarness(t)
	var shards []string
	services := []catalog.Service{{Name: "single", MaxConnections: 40}}
	for i := range wideShards {
		shards = append(shards, shardName(i))
		services = append(services, catalog.Service{Name: shardName(i), MaxConnections: 40})
		for n := range replicas {
			h.addTarget(shardName(i), n)
		}
	}
	routes := testRoutes()
	routes[0].FanOut = &catalog.FanOut{Shards: shards, TopK: 3, MinCoverage: 0.95}
	w := &catalog.Workspace{Name: "a"}
	h.config = catalog.NewConfig(2, routes, services, catalog.Limits{}, []*catalog.Workspace{w}, map[string]*catalog.Workspace{testKey: w})
	h.publish()
	for range 30 { // longer than inactiveIdleTimeout
		h.step(FleetChanged{View: wideView(self, h.now)})
		h.openAll()
		h.advance(maintenanceInterval)
	}
	h.openAll()
	return h
}

// answerAll answers every attempt in flight.
func (h *harness) answerAll() {
	for len(h.started) > 0 {
		h.answer(h.takeAttempt(h.everKnown[h.started[0].Target].Service), record("a"))
	}
}

// allAnswered returns a reply in which all shards of a work have answered.
func allAnswered(w *RelayedWork) *RelayReply {
	reply := &RelayReply{Body: []byte(record("z"))}
	for i := range w.Shards {
		reply.Answers = append(reply.Answers, RelayedAnswer{Shard: i, Signature: "seal-" + w.Shards[i], Attempts: 1})
	}
	return reply
}

// Guards against a connection to each shard for one query: a VM that is not active
// relays the whole fan-out in one call, with all that bounds it.
func TestFanOutAtAnInactiveVMOpensNoConnection(t *testing.T) {
	h, vm := newWideHarness(t, "weak"), newWideHarness(t, "a0")
	assert.Equal(t, len(h.opened), 0)
	id := h.submit("/sweep/x")
	assert.Equal(t, len(h.relayed), 1)
	work := h.relayed[0].Work
	assert.Equal(t, len(work.Shards), wideShards)
	assert.Equal(t, work.Workspace, "a")
	assert.Equal(t, work.Priority, 1)
	assert.Equal(t, work.TimeLeft, time.Second-deadlineMargin)
	vm.relayRequest(work)
	vm.answerAll()
	assert.Equal(t, len(vm.replies), 1)
	h.step(RelayReplied{Relay: h.relayed[0].Relay, Reply: vm.replies[0]})
	assert.Equal(t, h.answers[id].Merged.MissingShards, 0)
	assert.Equal(t, h.answers[id].Trace.Relayed, wideShards)
	assert.Equal(t, len(h.opened)+len(h.started), 0)
	h.submit("/read/x")
	assert.Equal(t, len(h.relayed), 1) // not a fan-out
}

// Guards against inactive VMs that all choose the same active VM, and against queries
// of one VM that do.
func TestHandOffsAreSpread(t *testing.T) {
	first := make(map[string]int)
	for n := range 20 {
		h := newWideHarness(t, fleet.VMID(fmt.Sprint("weak", n)))
		h.submit("/sweep/x")
		h.submit("/sweep/x")
		assert.Assert(t, h.relayed[0].Peer != h.relayed[1].Peer)
		first[h.relayed[0].Peer]++
	}
	assert.Equal(t, len(first), 2, "only VMs of the own zone")
	assert.Assert(t, first["peer-a0"] >= 4 && first["peer-b0"] >= 4, first)
}

// Guards against a call for each zone, and against shards that are left to this VM,
// when some have no target in its zone.
func TestHandOffByZones(t *testing.T) {
	for far, calls := range map[int]int{minRelayShards - 1: 1, minRelayShards: 2} {
		h := newWideHarness(t, "weak")
		for i := range far {
			delete(h.targets, shardName(i)+"-0")
		}
		h.publish()
		h.submit("/sweep/x")
		assert.Equal(t, len(h.relayed), calls)
		assert.Assert(t, h.relayed[0].Peer == "peer-a0" || h.relayed[0].Peer == "peer-b0")
		total := 0
		for _, r := range h.relayed {
			total += len(r.Work.Shards)
		}
		assert.Equal(t, total, wideShards)
		assert.Equal(t, len(h.connecting), 0)
	}
}

// Guards against queries that are lost when no active VM takes them: the VM then runs
// them itself.
func TestFaultNoActiveVMTakesAHandOff(t *testing.T) {
	refuse := func(h *harness) {
		for range maxHandOffs {
			h.step(RelayFailed{Relay: h.relayed[len(h.relayed)-1].Relay, Refused: true, Cause: "refused"})
		}
	}
	for name, c := range map[string]struct {
		before, fault func(h *harness)
		relays        int
	}{
		"none known": {before: func(h *harness) {
			h.step(FleetChanged{View: &mesh.View{Confirmed: h.now, Self: mesh.Node{ID: "weak"}}})
		}},
		"all blocked": {before: func(h *harness) {
			for _, n := range h.engine.view.Active {
				h.engine.relayBlockedUntil[n.ID] = h.now.Add(relayBackoff)
			}
		}},
		"all refuse": {fault: refuse, relays: maxHandOffs},
		"lost call":  {fault: func(h *harness) { h.step(RelayFailed{Relay: h.relayed[0].Relay, Cause: "reset"}) }, relays: 1},
		"frozen": {fault: func(h *harness) {
			h.advance(50 * time.Millisecond)
			h.openAll()
			h.advance(20 * time.Millisecond)
		}, relays: 1},
		"frozen, targets in one zone": {before: func(h *harness) {
			for i := range wideShards {
				delete(h.targets, shardName(i)+"-1")
				delete(h.targets, shardName(i)+"-2")
			}
			h.publish()
		}, fault: func(h *harness) {
			h.advance(50 * time.Millisecond)
			h.openAll()
			h.advance(20 * time.Millisecond)
		}, relays: 1},
		"services unknown there": {fault: func(h *harness) {
			for n := range maxHandOffs {
				reply := &RelayReply{}
				for i := range wideShards {
					reply.Failed = append(reply.Failed, RelayedFailure{Shard: i})
				}
				h.step(RelayReplied{Relay: h.relayed[n].Relay, Reply: reply})
			}
		}, relays: maxHandOffs},
	} {
		t.Run(name, func(t *testing.T) {
			h := newWideHarness(t, "weak")
			if c.before != nil {
				c.before(h)
			}
			id := h.submit("/sweep/x")
			if c.fault != nil {
				c.fault(h)
			}
			assert.Equal(t, len(h.relayed), c.relays)
			asked := make(map[string]bool)
			for _, r := range h.relayed {
				asked[r.Peer] = true
			}
			assert.Equal(t, len(asked), c.relays, "a VM was asked twice")
			h.openAll()
			h.answerAll()
			assert.Assert(t, h.answers[id] != nil && h.answers[id].Merged != nil)
			assert.Equal(t, h.answers[id].Merged.MissingShards, 0)
		})
	}
}

// Guards against hedges of an inactive VM that open connections, and against shards
// that are late at one active VM although another one can answer them: a few with slow
// targets, or all as the VM is overloaded.
func TestLateShardsOfAHandOffAreHedgedByAnotherVM(t *testing.T) {
	for _, late := range []int{2, wideShards} {
		h := newWideHarness(t, "weak")
		id := h.submit("/sweep/x")
		first := h.relayed[0]
		reply := allAnswered(first.Work)
		reply.Answers, reply.More = reply.Answers[late:], true
		h.step(RelayReplied{Relay: first.Relay, Reply: reply})
		assert.Equal(t, len(h.relayed), 2)
		hedge := h.relayed[1]
		assert.DeepEqual(t, hedge.Work.Shards, first.Work.Shards[:late])
		assert.Assert(t, hedge.Peer == "peer-a1" || hedge.Peer == "peer-a2") // beside other targets
		h.step(RelayReplied{Relay: hedge.Relay, Reply: allAnswered(hedge.Work)})
		assert.Equal(t, h.answers[id].Merged.MissingShards, 0)
		assert.Equal(t, h.answers[id].Trace.Hedges, late)
		assert.Equal(t, len(h.opened), 0)
		assert.Equal(t, len(h.relayed), 1) // the first relay was cancelled
	}
}

// Guards against work that a stopping VM accepts and can't finish, and against a query
// that ends with that VM.
func TestFaultActiveVMStops(t *testing.T) {
	h, vm := newWideHarness(t, "weak"), newWideHarness(t, "a0")
	id := h.submit("/sweep/x")
	vm.step(Stopping{AnswerBy: vm.now.Add(minHedgeWait)})
	vm.relayRequest(h.relayed[0].Work)
	assert.Equal(t, len(vm.started), 0)
	h.step(RelayReplied{Relay: h.relayed[0].Relay, Reply: vm.replies[0]})
	assert.Equal(t, len(h.relayed), 2)
	h.step(RelayReplied{Relay: h.relayed[1].Relay, Reply: allAnswered(h.relayed[1].Work)})
	assert.Equal(t, h.answers[id].Merged.MissingShards, 0)
	assert.Equal(t, len(h.opened), 0)
}

// Guards against records that count twice or are lost when two relays answer the same
// shards in different groups.
func TestShardsOfTwoRelaysCountOnce(t *testing.T) {
	h := newWideHarness(t, "weak")
	id := h.submit("/sweep/x")
	first := h.relayed[0]
	reply := allAnswered(first.Work)
	reply.Answers, reply.More, reply.Body = reply.Answers[3:], true, []byte(record("m"))
	h.step(RelayReplied{Relay: first.Relay, Reply: reply})
	hedge := h.relayed[1]
	shard := func(i int) RelayedAnswer { return RelayedAnswer{Shard: i, Signature: "seal", Attempts: 1} }
	h.step(RelayReplied{Relay: hedge.Relay, Reply: &RelayReply{Answers: []RelayedAnswer{shard(0), shard(1)}, Body: []byte(record("z") + record("y")), More: true}})
	h.step(RelayReplied{Relay: first.Relay, Reply: &RelayReply{Answers: []RelayedAnswer{shard(1), shard(2)}, Body: []byte(record("y") + record("x"))}})
	assert.Assert(t, h.answers[id] == nil, "the records of two groups that overlap were both used")
	h.step(RelayReplied{Relay: hedge.Relay, Reply: &RelayReply{Answers: []RelayedAnswer{shard(2)}, Body: []byte(record("x"))}})
	assert.Equal(t, string(h.answers[id].Merged.Body), record("z")+record("y")+record("x"))
	assert.Equal(t, h.answers[id].Merged.MissingShards, 0)
}

// Guards against a VM that runs shards of services without knowing their limits, and
// against shards that are lost then: the configuration of the VM that took the request
// decides which shards are asked.
func TestFaultConfigurationsDifferInAHandOff(t *testing.T) {
	h, vm := newWideHarness(t, "weak"), newWideHarness(t, "a0")
	vm.config = testConfig(3, testRoutes(), 0) // names fewer shards
	vm.publish()
	id := h.submit("/sweep/x")
	vm.relayRequest(h.relayed[0].Work)
	vm.answerAll()
	assert.Equal(t, len(vm.replies[0].Answers), fanOutShards)
	assert.Equal(t, len(vm.replies[0].Failed), wideShards-fanOutShards)
	h.step(RelayReplied{Relay: h.relayed[0].Relay, Reply: vm.replies[0]})
	assert.Equal(t, len(h.relayed), 2)
	assert.Equal(t, len(h.relayed[1].Work.Shards), wideShards-fanOutShards)
	h.step(RelayReplied{Relay: h.relayed[1].Relay, Reply: allAnswered(h.relayed[1].Work)})
	assert.Equal(t, h.answers[id].Merged.MissingShards, 0)
}

// Guards against a shard that runs twice since a reply reports its failure twice.
func TestFailureOfARelayedShardCountsOnce(t *testing.T) {
	h := newWideHarness(t, "weak")
	h.submit("/sweep/x")
	twice := []RelayedFailure{{Shard: 0}, {Shard: 0}}
	h.step(RelayReplied{Relay: h.relayed[0].Relay, Reply: &RelayReply{Failed: twice, More: true}})
	assert.DeepEqual(t, h.relayed[1].Work.Shards, []string{shardName(0)})
}

// Guards against a VM that wakes up each millisecond while another VM runs a fan-out that
// must not be hedged, and against a second run of its shards.
func TestHandOffThatMustRunOnce(t *testing.T) {
	h := newWideHarness(t, "weak")
	for _, r := range h.config.Routes() {
		r.Idempotent = false
	}
	id := h.submit("/sweep/x")
	steps := 0
	for end := h.now.Add(500 * time.Millisecond); h.engine.Next().Before(end); steps++ {
		h.now = laterOf(h.engine.Next(), h.now)
		h.step(Tick{})
	}
	assert.Assert(t, steps < 20, "%d steps in half a second", steps)
	h.step(RelayFailed{Relay: h.relayed[0].Relay, Cause: "reset"})
	assert.Equal(t, h.answers[id].Refusal.Outcome, outcome.Unknown)
	assert.Equal(t, len(h.relayed)+len(h.connecting), 1)
}

// Guards against work that goes on at an active VM after its caller has gone, and
// against a withdrawn key that lets refused work start again.
func TestHandOffEndsWithItsQuery(t *testing.T) {
	h := newWideHarness(t, "weak")
	id := h.submit("/sweep/x")
	h.step(Cancel{ID: id})
	assert.Equal(t, len(h.relayed), 0)

	id = h.submit("/sweep/x")
	relay := h.relayed[0]
	h.config = catalog.NewConfig(3, h.config.Routes(), nil, catalog.Limits{}, []*catalog.Workspace{{Name: "a"}}, nil)
	h.publish()
	h.step(RelayFailed{Relay: relay.Relay, Refused: true})
	assert.Assert(t, h.answers[id].Refusal != nil)
	assert.Equal(t, len(h.relayed)+len(h.connecting), 1)
}

// Guards against new connections whose cause can't be seen.
func TestConnectionsAreCountedByCause(t *testing.T) {
	h := newHarness(t)
	const id = "single-3"
	opened := func() ConnCause {
		h.advance(maxConnectBackoff)
		h.confirm()
		i := slices.IndexFunc(h.connecting, func(c OpenConn) bool { return c.Address == id })
		assert.Assert(t, i >= 0, "no connection is opened")
		cause := h.connecting[i].Cause
		h.openAll()
		return cause
	}
	closeIdle := func() {
		h.step(ConnClosed{Conn: h.engine.targets[id].idleConn(h.now).id, Refused: true})
	}
	h.addTarget("single", replicas)
	h.publish()
	assert.Equal(t, opened(), ConnSpare)
	h.advance(2 * resetWindow)
	closeIdle()
	assert.Equal(t, opened(), ConnIdle)
	closeIdle() // before its first answer
	assert.Equal(t, opened(), ConnLoss)
	assert.Equal(t, h.openCauses[ConnQueued], 0)
	for range 20 {
		h.submit("/read/x")
	}
	h.openAll()
	assert.Assert(t, h.openCauses[ConnQueued] > 0)
	before := h.openCauses
	h.step(FleetChanged{View: wideView("weak", h.now)})
	for _, c := range slices.Clone(h.engine.targets[id].conns) {
		h.step(ConnClosed{Conn: c.id})
	}
	h.submit("/read/x")
	assert.Assert(t, h.openCauses[ConnInactive] > 0)
	before[ConnInactive] = h.openCauses[ConnInactive]
	assert.DeepEqual(t, h.openCauses, before)
}
