package route_test

import (
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/route"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// Guards against another VM getting part of a share while this one still runs more
// attempts, or holds more connections, than the reduced share allows.
func TestWithinShrunkShare(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	id := fleet.ShardID{Service: "stock", Shard: "g00"}
	shard := route.NewShard(id, 1, rand.New(rand.NewSource(1)))
	assign := route.Assignment{
		Service: config.Service{Name: "stock", PartitionMap: 1, Slots: 2, Connections: 25, ColdSlots: 2},
		Shard:   config.Shard{Name: "g00", Targets: []config.Target{{Address: "t0", Zone: "a"}}},
		Share:   fleet.ShardShare{Shard: id, Slots: 2, Connections: 25, ColdSlots: 2, OwnerCount: 1, Expires: now.Add(time.Hour)},
	}
	var running []*route.StartAttempt
	step := func(ev route.Event) {
		events := []route.Event{ev}
		for len(events) > 0 {
			now = now.Add(time.Millisecond)
			ev, events = events[0], events[1:]
			for _, a := range shard.Step(now, ev) {
				switch a := a.(type) {
				case route.ProbeNow:
					events = append(events, probeOf(a.Target, now))
				case route.WatchTarget:
					events = append(events, probeOf(a.Target, now))
				case route.OpenConn:
					events = append(events, route.ConnOpened(a))
				case *route.StartAttempt:
					started := *a
					running = append(running, &started)
				}
			}
		}
	}
	step(assign)
	for seq := range uint64(2) {
		step(&route.Submit{Sub: scatter.SubRequest{
			ID: scatter.SubID{Ingress: "e", Seq: seq + 1}, Shard: id, PartitionMap: 1, IndexVersion: 7,
			Workspace: "w", Deadline: now.Add(time.Hour), Idempotent: true,
		}})
	}
	for range 20 { // connections are opened one after the other
		now = now.Add(time.Millisecond)
		step(route.Tick{})
	}
	assert.Equal(t, len(running), 2)
	assert.Assert(t, shard.WithinShare())
	assign.Share.Slots, assign.Share.Connections, assign.Share.ColdSlots = 1, 12, 1
	step(assign)
	assert.Assert(t, !shard.WithinShare())
	for i, a := range running {
		step(&route.AttemptDone{Attempt: a.Attempt, Result: route.ResultOK, BootID: "b", IndexVersion: 7})
		step(route.ConnClosed{Target: "t0", Conn: a.Conn})
		assert.Equal(t, shard.WithinShare(), true, "after %d ends", i+1)
	}
}
