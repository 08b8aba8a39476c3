package serve

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/outcome"
)

const (
	farShards = 4                     // shards without a target in the zone of the VM that relays
	replyDue  = 51 * time.Millisecond // with the initial latency estimates
	hedgeDue  = replyDue + relayHopAllowance
)

// relayView returns the view of a fleet with one VM in zone z0 and two in z1.
func relayView(self fleet.VMID, now time.Time) *mesh.View {
	active := []mesh.Node{
		{ID: "vm", Zone: "z0", Peer: "peer-vm"}, {ID: "other1", Zone: "z1", Peer: "peer-other1"}, {ID: "other2", Zone: "z1", Peer: "peer-other2"},
	}
	return &mesh.View{Confirmed: now, Self: mesh.Node{ID: self}, Active: active, Sharers: len(active)}
}

// newRelayHarness returns a VM in z0, where the first far shards have no
// targets.
func newRelayHarness(t *testing.T, far int) *harness {
	h := newHarness(t)
	for i := range far {
		delete(h.targets, fmt.Sprintf("%s-0", shardName(i)))
	}
	h.publish()
	h.step(FleetChanged{View: relayView("vm", h.now)})
	h.openAll()
	return h
}

// newRemoteHarness returns a VM in z1 that runs work relayed to it.
func newRemoteHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.engine.settings.Zone = "z1"
	h.step(FleetChanged{View: relayView("other1", h.now)})
	h.advance(maintenanceInterval) // opens connections to the targets of the zone
	h.openAll()
	return h
}

// relayRequest hands relayed work to the engine.
func (h *harness) relayRequest(w *RelayedWork) RequestID {
	h.seq++
	request := *w.Request
	request.ID = h.seq
	work := *w
	work.Request = &request
	h.step(RelayRequested{Work: &work})
	return h.seq
}

func (h *harness) answerNearShards(from int) {
	for i := from; i < fanOutShards; i++ {
		h.answer(h.takeAttempt(shardName(i)), record(string(rune('a'+i))))
	}
}

// Guards against answers that cross zones one by one although one reply could
// carry them, and against a merged answer that does not hold the greatest
// records of all shards.
func TestFarShardsAreRelayed(t *testing.T) {
	h, vm := newRelayHarness(t, farShards), newRemoteHarness(t)
	id := h.submit("/sweep/x")
	assert.Equal(t, len(h.started), fanOutShards-farShards)
	assert.Equal(t, len(h.relayed), 1)
	work := h.relayed[0].Work
	assert.Equal(t, len(work.Shards), farShards)
	vm.relayRequest(work)
	for i := range farShards {
		a := vm.takeAttempt(shardName(i))
		assert.Equal(t, vm.everKnown[a.Target].Zone, "z1")
		assert.Equal(t, a.Workspace, "a")
		vm.answer(a, record(string(rune('w'+i))))
	}
	assert.Equal(t, len(vm.replies), 1)
	h.step(RelayReplied{Relay: h.relayed[0].Relay, Reply: vm.replies[0]})
	h.answerNearShards(farShards)
	m := h.answers[id].Merged
	assert.Equal(t, string(m.Body), record("z")+record("y")+record("x"))
	assert.Equal(t, len(m.Signatures), fanOutShards)
	assert.Equal(t, m.MissingShards, 0)
	assert.Equal(t, h.answers[id].Trace.Relayed, farShards)
}

// Guards against a relay for so few shards that it costs more than their
// attempts.
func TestFewFarShardsAreNotRelayed(t *testing.T) {
	h := newRelayHarness(t, minRelayShards-1)
	h.submit("/sweep/x")
	assert.Equal(t, len(h.relayed), 0)
	assert.Equal(t, len(h.started), fanOutShards)
}

// Guards against counting the records of a shard twice: they come from an
// attempt of this VM and, merged with others, from the other VM.
func TestRelayedShardThatIsAlsoHedgedCountsOnce(t *testing.T) {
	h, vm := newRelayHarness(t, farShards), newRemoteHarness(t)
	id := h.submit("/sweep/x")
	vm.relayRequest(h.relayed[0].Work)
	h.advance(hedgeDue) // the reply is late, so the shards are hedged
	h.answer(h.takeAttempt(shardName(0)), record("z"))
	for i := range farShards {
		vm.answer(vm.takeAttempt(shardName(i)), record(string(rune('z'-i))))
	}
	h.step(RelayReplied{Relay: h.relayed[0].Relay, Reply: vm.replies[len(vm.replies)-1]})
	for i := farShards; i < fanOutShards; i++ {
		h.answer(h.takeAttempt(shardName(i)), record("a"))
	}
	m := h.answers[id].Merged
	assert.Equal(t, len(m.Signatures), fanOutShards)
	assert.Equal(t, string(m.Body), record("z")+record("y")+record("x"))
}

// Guards against shards that wait for a slow one, and against a second attempt
// made by the VM that runs the first.
func TestSlowRelayedShardIsHedgedByTheVMThatAsks(t *testing.T) {
	h, vm := newRelayHarness(t, farShards), newRemoteHarness(t)
	id := h.submit("/sweep/x")
	vm.relayRequest(h.relayed[0].Work)
	for i := 1; i < farShards; i++ {
		vm.answer(vm.takeAttempt(shardName(i)), record("w"))
	}
	assert.Equal(t, len(vm.replies), 0)
	vm.advance(replyDue)
	assert.Equal(t, len(vm.replies), 1)
	assert.Assert(t, vm.replies[0].More)
	assert.Equal(t, len(vm.started), 1) // not hedged by the other VM
	h.advance(replyDue)
	h.step(RelayReplied{Relay: h.relayed[0].Relay, Reply: vm.replies[0]})
	hedge := h.takeAttempt(shardName(0))
	assert.Assert(t, h.everKnown[hedge.Target].Zone != "z1")
	h.answer(hedge, record("x"))
	h.answerNearShards(farShards)
	assert.Equal(t, h.answers[id].Merged.MissingShards, 0)
	assert.Equal(t, len(h.relayed), 0) // the relay was cancelled
	vm.step(RelayCancelled{ID: vm.seq})
	vm.advance(lingerTime + time.Millisecond)
	assert.Equal(t, len(vm.started), 0)
}

// Guards against queries that are lost or stuck if the other VM fails, refuses
// the work or does not reply, and against more attempts than the route allows.
func TestFaultRelay(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(h *harness, relay RelayID)
		after time.Duration
	}{
		"refused":         {func(h *harness, id RelayID) { h.step(RelayFailed{Relay: id, Refused: true, Cause: "refused"}) }, 0},
		"connection lost": {func(h *harness, id RelayID) { h.step(RelayFailed{Relay: id, Cause: "reset"}) }, 0},
		"silent":          {func(*harness, RelayID) {}, hedgeDue},
		"no targets there": {func(h *harness, id RelayID) {
			reply := &RelayReply{}
			for i := range farShards {
				reply.Failed = append(reply.Failed, RelayedFailure{Shard: i})
			}
			h.step(RelayReplied{Relay: id, Reply: reply})
		}, 0},
		"targets failed there": {func(h *harness, id RelayID) {
			reply := &RelayReply{}
			for i := range farShards {
				reply.Failed = append(reply.Failed, RelayedFailure{Shard: i, Attempts: 1, PossibleRuns: 1})
			}
			h.step(RelayReplied{Relay: id, Reply: reply})
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newRelayHarness(t, farShards)
			id := h.submit("/sweep/x")
			c.fault(h, h.relayed[0].Relay)
			h.advance(c.after)
			for i := range farShards {
				assert.Equal(t, h.running(shardName(i)), 1, "shard %d", i)
				h.answer(h.takeAttempt(shardName(i)), record("x"))
			}
			h.answerNearShards(farShards)
			assert.Equal(t, h.answers[id].Merged.MissingShards, 0)
		})
	}
}

// Guards against relaying to a VM that does not reply, and against avoiding it
// for good.
func TestSilentVMGetsNoMoreRelays(t *testing.T) {
	h := newRelayHarness(t, farShards)
	h.submit("/sweep/x")
	unresponsive := h.relayed[0].Peer
	h.advance(hedgeDue)
	for range 4 {
		h.submit("/sweep/x")
	}
	for _, s := range h.relayed[1:] {
		assert.Assert(t, s.Peer != unresponsive)
	}
	h.advance(relayBackoff)
	for len(h.started) > 0 {
		h.answer(h.takeAttempt(h.everKnown[h.started[0].Target].Service), "")
	}
	h.openAll()
	h.step(FleetChanged{View: relayView("vm", h.now)})
	again := false
	for range 4 {
		h.submit("/sweep/x")
		again = again || h.relayed[len(h.relayed)-1].Peer == unresponsive
	}
	assert.Assert(t, again)
}

// Guards against relayed work that goes on after its caller has gone away or
// its query was answered.
func TestRelayEndsWithItsQuery(t *testing.T) {
	h := newRelayHarness(t, farShards)
	id := h.submit("/sweep/x")
	relay := h.relayed[0].Relay
	h.step(Cancel{ID: id})
	assert.Equal(t, len(h.relayed), 0)
	h.step(RelayReplied{Relay: relay, Reply: &RelayReply{}}) // already under way when the caller left
	h.step(RelayFailed{Relay: relay})
}

// Guards against relayed work that does not end when its shards don't answer,
// and against a reply that hides that they may have run.
func TestRelayedWorkEndsAtItsDeadline(t *testing.T) {
	vm := newRemoteHarness(t)
	vm.relayRequest(&RelayedWork{
		Route: "sweep", Shards: []string{shardName(0), "unknown"}, TopK: 3, Request: &Request{CallerRequestID: "x"},
		TimeLeft: 300 * time.Millisecond, ReplyTimeout: 30 * time.Millisecond,
	})
	vm.advance(31 * time.Millisecond)
	assert.Equal(t, len(vm.replies), 1)
	assert.DeepEqual(t, vm.replies[0].Failed, []RelayedFailure{{Shard: 1}})
	vm.advance(300 * time.Millisecond)
	assert.Equal(t, len(vm.replies), 2)
	assert.Assert(t, !vm.replies[1].More)
	assert.DeepEqual(t, vm.replies[1].Failed, []RelayedFailure{{Shard: 0, Attempts: 1, PossibleRuns: 1}})
	assert.Equal(t, vm.engine.Pending(), 0)
}

// Guards against a refusal that says "not run" although another VM may have run
// shards of the request.
func TestRefusalIsTrueAfterARelay(t *testing.T) {
	h := newRelayHarness(t, fanOutShards)
	id := h.submit("/sweep/x")
	h.step(RelayFailed{Relay: h.relayed[0].Relay, Cause: "reset"})
	for i := range fanOutShards {
		for h.running(shardName(i)) > 0 {
			h.fail(h.takeAttempt(shardName(i)), Shed)
		}
	}
	assert.Equal(t, h.answers[id].Refusal.Outcome, outcome.Unknown)
}

// Guards against answers that cross zones one by one because only the zone with the
// most far shards gets a relay.
func TestEachZoneWithFarShardsGetsARelay(t *testing.T) {
	h := newRelayHarness(t, 0)
	view := relayView("vm", h.now)
	view.Active = append(view.Active, mesh.Node{ID: "other3", Zone: "z2", Peer: "peer-other3"})
	for i := range 7 { // four shards in z1 only, three in z2 only
		delete(h.targets, fmt.Sprintf("%s-0", shardName(i)))
		delete(h.targets, fmt.Sprintf("%s-%d", shardName(i), 1+i/4))
		delete(h.targets, fmt.Sprintf("%s-%d", shardName(i), 2-i/4))
		h.addTarget(shardName(i), 1+i/4)
	}
	h.publish()
	h.step(FleetChanged{View: view})
	h.openAll()
	id := h.submit("/sweep/x")
	assert.Equal(t, len(h.started), 3)
	assert.Equal(t, len(h.relayed), 2)
	assert.Equal(t, len(h.relayed[0].Work.Shards), 4)
	assert.Equal(t, len(h.relayed[1].Work.Shards), 3)
	for n, relay := range append([]StartRelay(nil), h.relayed...) {
		reply := &RelayReply{Body: []byte(record(string(rune('x' + n))))}
		for i := range relay.Work.Shards {
			reply.Answers = append(reply.Answers, RelayedAnswer{Shard: i, Signature: fmt.Sprintf("seal-%d-%d", n, i), Attempts: 1})
		}
		h.step(RelayReplied{Relay: relay.Relay, Reply: reply})
	}
	h.answerNearShards(7)
	m := h.answers[id].Merged
	assert.Equal(t, len(m.Signatures), fanOutShards)
	assert.Equal(t, string(m.Body), record("y")+record("x")+record("j"))
	assert.Equal(t, h.answers[id].Trace.Relayed, 7)
	assert.DeepEqual(t, len(h.answers[id].Trace.RelayedTo), 2)
}

// Guards against the loss of one relay that ends the others of its query.
func TestFaultOneOfTwoRelays(t *testing.T) {
	h := newRelayHarness(t, 0)
	view := relayView("vm", h.now)
	view.Active = append(view.Active, mesh.Node{ID: "other3", Zone: "z2", Peer: "peer-other3"})
	for i := range 7 {
		delete(h.targets, fmt.Sprintf("%s-0", shardName(i)))
		if i < 4 {
			delete(h.targets, fmt.Sprintf("%s-2", shardName(i)))
		}
	}
	h.publish()
	h.step(FleetChanged{View: view})
	h.openAll()
	id := h.submit("/sweep/x")
	total := 0
	for _, r := range h.relayed {
		total += len(r.Work.Shards)
	}
	assert.Equal(t, total, 7)
	failed := h.relayed[0]
	h.relayed = h.relayed[1:]
	h.step(RelayFailed{Relay: failed.Relay, Cause: "reset"})
	for _, s := range failed.Work.Shards {
		if h.running(s) > 0 {
			h.answer(h.takeAttempt(s), record("z"))
		}
	}
	for _, relay := range append([]StartRelay(nil), h.relayed...) {
		reply := &RelayReply{}
		for i := range relay.Work.Shards {
			reply.Answers = append(reply.Answers, RelayedAnswer{Shard: i, Signature: fmt.Sprint("seal-", i), Attempts: 1})
		}
		h.step(RelayReplied{Relay: relay.Relay, Reply: reply})
	}
	h.answerNearShards(7)
	h.advance(time.Second)
	a := h.answers[id]
	assert.Assert(t, a != nil && a.Merged != nil)
	assert.Equal(t, a.Merged.MissingShards, 0)
}
