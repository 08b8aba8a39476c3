package serve

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against queues that serve a query whose objective has passed before one that
// can still be in time, leave it waiting for good, or order shards differently.
func TestQueuesOrderByPriorityAndTimeLeft(t *testing.T) {
	const objective = 100 * time.Millisecond
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	newQuery := func(seq uint64, priority, objectiveMs int) *query {
		return &query{seq: seq, priority: priority, orderBy: at(objectiveMs), orderPeriod: objective}
	}
	queries := []*query{newQuery(1, 1, 95), newQuery(2, 1, 150), newQuery(3, 1, 190), newQuery(4, 0, 500), newQuery(5, 1, 310), newQuery(6, 1, 400)}
	for name, c := range map[string]struct {
		at    int
		order []uint64
	}{
		"all are in time":               {50, []uint64{4, 1, 2, 3, 5, 6}},
		"late behind those in time":     {100, []uint64{4, 2, 3, 1, 5, 6}},
		"late before one that has come": {300, []uint64{4, 5, 1, 6, 2, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			for range 2 { // two shards, at which the queries arrive in opposite orders
				s := &service{}
				slices.Reverse(queries)
				for _, q := range queries {
					s.enqueue(epoch, &subRequest{query: q, service: s})
				}
				s.sortQueue(at(c.at))
				var got []uint64
				for _, sub := range s.queue {
					got = append(got, sub.query.seq)
				}
				assert.DeepEqual(t, got, c.order)
			}
		})
	}
	assert.Assert(t, dueTime(epoch.Add(1<<62), epoch, objective).After(epoch))
}

// Guards against relayed shards that wait behind all others of the VM that runs them,
// as they come with a deadline and no objective.
func TestRelayedShardsAreOrderedByTheirRoute(t *testing.T) {
	h := newHarness(t)
	h.step(RelayRequested{Work: &RelayedWork{Route: "sweep", Shards: []string{shardName(0)}, Request: &Request{ID: 99}, TimeLeft: time.Second}})
	assert.Equal(t, h.engine.queries[99].orderBy, h.now.Add(100*time.Millisecond))
	h.step(RelayRequested{Work: &RelayedWork{Route: "unknown", Shards: []string{shardName(0)}, Request: &Request{ID: 98}, TimeLeft: time.Second}})
	assert.Equal(t, h.engine.queries[98].orderBy, h.now.Add(time.Second))
}

// BenchmarkStartQueued measures a look at the queue of a pooled service whose places are
// all taken, which follows each attempt. One target is ejected and has room.
func BenchmarkStartQueued(b *testing.B) {
	h := newHarness(&testing.T{})
	for n := replicas; n < 46; n++ {
		h.addTarget("single", n)
	}
	h.publish()
	h.openAll()
	s := h.engine.service("single")
	s.targets[0].ejectedUntil = h.now.Add(time.Hour)
	for range 800 {
		h.submit("/read/x")
		h.openAll()
	}
	b.ReportMetric(float64(len(s.queue)), "queued")
	for b.Loop() {
		h.engine.startQueued(h.now, s)
	}
}
