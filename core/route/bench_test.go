package route_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/route"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// newBenchShard returns a Shard with all connections ready, and its current time.
func newBenchShard(b *testing.B, replicas, slots int) (*route.Shard, time.Time) {
	b.Helper()
	now := time.Now()
	id := fleet.ShardID{Service: "stock", Shard: "g00"}
	shard := route.NewShard(id, 1, rand.New(rand.NewSource(1)))
	a := route.Assignment{
		Service: config.Service{Name: "stock", PartitionMap: 1, Slots: slots, Connections: 100, ColdSlots: 1, HedgeBudget: 0.05},
		Share:   fleet.ShardShare{Shard: id, Slots: slots, Connections: 100, OwnerCount: 1, Expires: now.Add(time.Hour)},
	}
	for i := range replicas {
		a.Shard.Targets = append(a.Shard.Targets, config.Target{Address: fmt.Sprint("t", i), Zone: "a"})
	}
	events := []route.Event{a}
	for len(events) > 0 {
		now = now.Add(time.Millisecond)
		ev := events[0]
		events = events[1:]
		for _, a := range shard.Step(now, ev) {
			switch a := a.(type) {
			case route.ProbeNow:
				events = append(events, probeOf(a.Target, now))
			case route.WatchTarget:
				events = append(events, probeOf(a.Target, now))
			case route.OpenConn:
				events = append(events, route.ConnOpened(a))
			}
		}
	}
	return shard, now
}

func probeOf(target string, now time.Time) route.ProbeResult {
	return route.ProbeResult{Target: target, Began: now.Add(time.Microsecond), Status: route.TargetStatus{
		State: route.TargetReady, BootID: "b", IndexVersions: []uint64{7}, PartitionMap: 1,
	}}
}

// BenchmarkShardStep measures one sub-request from Submit to Respond while others
// are in flight or queued.
func BenchmarkShardStep(b *testing.B) {
	for _, c := range []struct{ replicas, slots, pending int }{
		{3, 3, 1}, {3, 3, 8}, {3, 3, 120}, {35, 3, 100}, {35, 3, 400},
	} {
		b.Run(fmt.Sprintf("replicas=%d/pending=%d", c.replicas, c.pending), func(b *testing.B) {
			benchSteps(b, c.replicas, c.slots, c.pending)
		})
	}
}

func benchSteps(b *testing.B, replicas, slots, pending int) {
	shard, now := newBenchShard(b, replicas, slots)
	var running []route.AttemptID // oldest first, from head on
	head := 0
	workspaces := []string{"w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7"}
	submit := &route.Submit{Sub: scatter.SubRequest{
		Shard: shard.ID(), PartitionMap: 1, IndexVersion: 7, Idempotent: true, Body: []byte("mat"),
		ID: scatter.SubID{Ingress: "vm0-12345678"},
	}}
	done := &route.AttemptDone{Result: route.ResultOK, IndexVersion: 7, BootID: "b"}
	replies := 0
	handle := func(actions []route.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case *route.StartAttempt:
				running = append(running, a.Attempt)
			case *route.Respond:
				replies++
			}
		}
	}
	send := func() {
		submit.Sub.ID.Seq++
		submit.Sub.Workspace = workspaces[submit.Sub.ID.Seq%8]
		submit.Sub.Deadline = now.Add(time.Minute)
		handle(shard.Step(now, submit))
	}
	finish := func() {
		done.Attempt = running[head]
		head++
		if head == 1<<12 {
			running = append(running[:0], running[head:]...)
			head = 0
		}
		handle(shard.Step(now, done))
	}
	for range pending {
		send()
	}
	cycle := func() {
		now = now.Add(10 * time.Microsecond)
		finish()
		send()
	}
	for range 1 << 14 {
		cycle()
	}
	replies = 0
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		cycle()
	}
	if replies != b.N {
		b.Fatalf("%d replies to %d sub-requests", replies, b.N)
	}
}
