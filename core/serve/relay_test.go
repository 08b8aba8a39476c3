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
	farShards = 4                     // without a target in the zone of the VM that asks
	replyDue  = 51 * time.Millisecond // with the estimates of a VM that has no samples
	hedgeDue  = replyDue + relayHop
)

// relayView is a fleet of a VM in zone z0 and two in z1.
func relayView(self fleet.VMID, now time.Time) *mesh.View {
	active := []mesh.Node{
		{ID: "vm", Zone: "z0", Peer: "peer-vm"}, {ID: "other1", Zone: "z1", Peer: "peer-other1"}, {ID: "other2", Zone: "z1", Peer: "peer-other2"},
	}
	return &mesh.View{Confirmed: now, Self: mesh.Node{ID: self}, Active: active, Sharers: len(active)}
}

// newRelayRig is a VM in z0, where the first shards have no targets.
func newRelayRig(t *testing.T, far int) *rig {
	r := newRig(t)
	for i := range far {
		delete(r.targets, fmt.Sprintf("%s-0", shardName(i)))
	}
	r.publish()
	r.step(FleetChanged{View: relayView("vm", r.now)})
	r.openAll()
	return r
}

// newRelayVM is a VM in z1 that runs the work of another one.
func newRelayVM(t *testing.T) *rig {
	r := newRig(t)
	r.engine.settings.Zone = "z1"
	r.step(FleetChanged{View: relayView("other1", r.now)})
	r.openAll()
	return r
}

// request hands work of another VM to the rig.
func (r *rig) request(w *RelayedWork) RequestID {
	r.seq++
	request := *w.Request
	request.ID = r.seq
	work := *w
	work.Request = &request
	r.step(RelayRequested{Work: &work})
	return r.seq
}

func (r *rig) answerNear(from int) {
	for i := from; i < fanOutShards; i++ {
		r.answer(r.take(shardName(i)), record(string(rune('a'+i))))
	}
}

// Guards against parts that each cross zones though one reply could bring them,
// and against a merged answer that isn't the greatest records of all parts.
func TestFarShardsAreRelayed(t *testing.T) {
	r, vm := newRelayRig(t, farShards), newRelayVM(t)
	id := r.submit("/sweep/x")
	assert.Equal(t, len(r.started), fanOutShards-farShards)
	assert.Equal(t, len(r.relayed), 1)
	work := r.relayed[0].Work
	assert.Equal(t, len(work.Shards), farShards)
	vm.request(work)
	for i := range farShards {
		a := vm.take(shardName(i))
		assert.Equal(t, vm.known[a.Target].Zone, "z1")
		assert.Equal(t, a.Workspace, "a")
		vm.answer(a, record(string(rune('w'+i))))
	}
	assert.Equal(t, len(vm.replies), 1)
	r.step(RelayReplied{Relay: r.relayed[0].Relay, Reply: vm.replies[0]})
	r.answerNear(farShards)
	m := r.answers[id].Merged
	assert.Equal(t, string(m.Body), record("z")+record("y")+record("x"))
	assert.Equal(t, len(m.Signatures), fanOutShards)
	assert.Equal(t, m.MissingShards, 0)
	assert.Equal(t, r.answers[id].Trace.Relayed, farShards)
}

// Guards against a call to another VM that costs more than the attempts.
func TestFewFarShardsAreNotRelayed(t *testing.T) {
	r := newRelayRig(t, relayLeast-1)
	r.submit("/sweep/x")
	assert.Equal(t, len(r.relayed), 0)
	assert.Equal(t, len(r.started), fanOutShards)
}

// Guards against records of a shard that count twice: its answer comes from an
// attempt of this VM and, merged with others, from the other VM.
func TestRelayedShardThatIsAlsoHedgedCountsOnce(t *testing.T) {
	r, vm := newRelayRig(t, farShards), newRelayVM(t)
	id := r.submit("/sweep/x")
	vm.request(r.relayed[0].Work)
	r.advance(hedgeDue) // the reply is late, and the shards are hedged
	r.answer(r.take(shardName(0)), record("z"))
	for i := range farShards {
		vm.answer(vm.take(shardName(i)), record(string(rune('z'-i))))
	}
	r.step(RelayReplied{Relay: r.relayed[0].Relay, Reply: vm.replies[len(vm.replies)-1]})
	for i := farShards; i < fanOutShards; i++ {
		r.answer(r.take(shardName(i)), record("a"))
	}
	m := r.answers[id].Merged
	assert.Equal(t, len(m.Signatures), fanOutShards)
	assert.Equal(t, string(m.Body), record("z")+record("y")+record("x"))
}

// Guards against shards that wait for a slow one, and against a second attempt
// at the VM that runs the first.
func TestSlowRelayedShardIsHedgedByTheVMThatAsks(t *testing.T) {
	r, vm := newRelayRig(t, farShards), newRelayVM(t)
	id := r.submit("/sweep/x")
	vm.request(r.relayed[0].Work)
	for i := 1; i < farShards; i++ {
		vm.answer(vm.take(shardName(i)), record("w"))
	}
	assert.Equal(t, len(vm.replies), 0)
	vm.advance(replyDue)
	assert.Equal(t, len(vm.replies), 1)
	assert.Assert(t, vm.replies[0].More)
	assert.Equal(t, len(vm.started), 1) // not hedged there
	r.advance(replyDue)
	r.step(RelayReplied{Relay: r.relayed[0].Relay, Reply: vm.replies[0]})
	hedge := r.take(shardName(0))
	assert.Assert(t, r.known[hedge.Target].Zone != "z1")
	r.answer(hedge, record("x"))
	r.answerNear(farShards)
	assert.Equal(t, r.answers[id].Merged.MissingShards, 0)
	assert.Equal(t, len(r.relayed), 0) // dropped
	vm.step(RelayCancelled{ID: vm.seq})
	vm.advance(lingerTime + time.Millisecond)
	assert.Equal(t, len(vm.started), 0)
}

// Guards against queries that are lost, or wait, when the other VM fails, does
// not take the work or says nothing, and against more attempts than the route
// allows.
func TestFaultRelay(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(r *rig, relay RelayID)
		after time.Duration
	}{
		"refused":         {func(r *rig, id RelayID) { r.step(RelayFailed{Relay: id, NotRun: true, Cause: "refused"}) }, 0},
		"connection lost": {func(r *rig, id RelayID) { r.step(RelayFailed{Relay: id, Cause: "reset"}) }, 0},
		"silent":          {func(*rig, RelayID) {}, hedgeDue},
		"no targets there": {func(r *rig, id RelayID) {
			reply := &RelayReply{}
			for i := range farShards {
				reply.Failed = append(reply.Failed, RelayedFailure{Shard: i})
			}
			r.step(RelayReplied{Relay: id, Reply: reply})
		}, 0},
		"targets failed there": {func(r *rig, id RelayID) {
			reply := &RelayReply{}
			for i := range farShards {
				reply.Failed = append(reply.Failed, RelayedFailure{Shard: i, Attempts: 1, MayHaveRun: 1})
			}
			r.step(RelayReplied{Relay: id, Reply: reply})
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRelayRig(t, farShards)
			id := r.submit("/sweep/x")
			c.fault(r, r.relayed[0].Relay)
			r.advance(c.after)
			for i := range farShards {
				assert.Equal(t, r.running(shardName(i)), 1, "shard %d", i)
				r.answer(r.take(shardName(i)), record("x"))
			}
			r.answerNear(farShards)
			assert.Equal(t, r.answers[id].Merged.MissingShards, 0)
		})
	}
}

// Guards against work that goes on being relayed to a VM that says nothing.
func TestSilentVMGetsNoMoreRelays(t *testing.T) {
	r := newRelayRig(t, farShards)
	r.submit("/sweep/x")
	silent := r.relayed[0].Peer
	r.advance(hedgeDue)
	for range 4 {
		r.submit("/sweep/x")
	}
	for _, s := range r.relayed[1:] {
		assert.Assert(t, s.Peer != silent)
	}
	r.advance(relayPause)
	for len(r.started) > 0 {
		r.answer(r.take(r.known[r.started[0].Target].Service), "")
	}
	r.openAll()
	r.step(FleetChanged{View: relayView("vm", r.now)})
	again := false
	for range 4 {
		r.submit("/sweep/x")
		again = again || r.relayed[len(r.relayed)-1].Peer == silent
	}
	assert.Assert(t, again)
}

// Guards against work that goes on for a caller that has left, or whose answer
// has gone out.
func TestRelayEndsWithItsQuery(t *testing.T) {
	r := newRelayRig(t, farShards)
	id := r.submit("/sweep/x")
	relay := r.relayed[0].Relay
	r.step(Cancel{ID: id})
	assert.Equal(t, len(r.relayed), 0)
	r.step(RelayReplied{Relay: relay, Reply: &RelayReply{}}) // on its way when the caller left
	r.step(RelayFailed{Relay: relay})
}

// Guards against work of another VM that has no end when its shards say nothing,
// and against a refusal there that hides that they may have run.
func TestRelayedWorkEndsAtItsDeadline(t *testing.T) {
	vm := newRelayVM(t)
	vm.request(&RelayedWork{
		Route: "sweep", Shards: []string{shardName(0), "unknown"}, TopK: 3, Request: &Request{CallerRef: "x"},
		TimeLeft: 300 * time.Millisecond, ReplyIn: 30 * time.Millisecond,
	})
	vm.advance(31 * time.Millisecond)
	assert.Equal(t, len(vm.replies), 1)
	assert.DeepEqual(t, vm.replies[0].Failed, []RelayedFailure{{Shard: 1}})
	vm.advance(300 * time.Millisecond)
	assert.Equal(t, len(vm.replies), 2)
	assert.Assert(t, !vm.replies[1].More)
	assert.DeepEqual(t, vm.replies[1].Failed, []RelayedFailure{{Shard: 0, Attempts: 1, MayHaveRun: 1}})
	assert.Equal(t, vm.engine.Pending(), 0)
}

// Guards against an answer that says "not run" while another VM may have run
// parts of the request.
func TestRefusalIsTrueAfterARelay(t *testing.T) {
	r := newRelayRig(t, fanOutShards)
	id := r.submit("/sweep/x")
	r.step(RelayFailed{Relay: r.relayed[0].Relay, Cause: "reset"})
	for i := range fanOutShards {
		for r.running(shardName(i)) > 0 {
			r.fail(r.take(shardName(i)), Shed)
		}
	}
	assert.Equal(t, r.answers[id].Refusal.Outcome, outcome.Unknown)
}
