package serve

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// tally counts the ends of the calls of one kind.
type tally struct{ calls, inTime, late, refused, partial int }

func (n tally) share(of int) float64 { return float64(of) / float64(max(n.calls, 1)) }

func (m *model) tally(path string) tally {
	var n tally
	for _, c := range m.ended {
		if c.path != path {
			continue
		}
		n.calls++
		switch {
		case !c.merged:
			n.refused++
		case !c.refusedLate && c.answered.Sub(c.sent) <= c.objective:
			n.inTime++
		default:
			n.late++
		}
		if c.partial {
			n.partial++
		}
	}
	return n
}

const (
	heavyWideRate   = 75.0 // queries per second over all VMs
	heavyUrgentRate = 25.0
	// heavySeeds is the number of runs of which the shares are compared. Of single runs
	// with 36 slowed shards the late share varies by 0.1.
	heavySeeds = 4
)

// heavySeconds plays the load of the heaviest seconds: the first slowed of 36 shards
// have all their targets slowed by a factor of 8, others one of three.
func heavySeconds(seed uint64, slowed int, d time.Duration) *model {
	const shards = 36
	m := newModel([]float64{3, 2, 2, 1, 1, 1}, shards, replicas,
		modelRoute("wide", 1, shards, 0.95, 300*time.Millisecond, 3*time.Second),
		modelRoute("urgent", 0, shards, 0.85, 80*time.Millisecond, 1200*time.Millisecond))
	m.random = rand.New(rand.NewPCG(seed, 2))
	m.work["/wide/x"], m.work["/urgent/x"] = 28*time.Millisecond, 9200*time.Microsecond
	m.poisson(heavyWideRate, func() { m.call("/wide/x", 300*time.Millisecond, 3*time.Second) })
	m.poisson(heavyUrgentRate, func() { m.call("/urgent/x", 80*time.Millisecond, 1200*time.Millisecond) })
	m.run(2 * time.Second)
	for i := range shards {
		for n := range replicas {
			if i < slowed || i%3 == 0 && n == i/3%replicas {
				m.targets[fmt.Sprintf("%s-%d", shardName(i), n)].pace = 8
			}
		}
	}
	m.run(2 * time.Second)
	m.ended = nil
	m.run(d)
	return m
}

// Guards against fan-outs that are all late while some shards are slow: their work
// waited in the queues of targets, where urgent queries waited behind it, and nothing
// was refused. The comments hold the figures of the code before, without windows.
func TestHeaviestSeconds(t *testing.T) {
	for _, c := range []struct {
		slowed             int
		wide, urgent, late float64 // least share in time of each, most share of wide ones late
	}{
		{0, 1, 1, 0},          // 1, 1, 0
		{1, 0.98, 0.98, 0.01}, // 1, 1, 0
		{2, 0.4, 0.98, 0.35},  // 0, 1, 0.99
		{4, 0.3, 0.95, 0.4},   // 0, 1, 1
		{7, 0.3, 0.4, 0.4},    // 0, 0, 0.98
		{36, 0.1, 0, 0.6},     // 0, 0, 0.97
	} {
		t.Run(fmt.Sprint(c.slowed), func(t *testing.T) {
			var wide, urgent tally
			for seed := range uint64(heavySeeds) {
				m := heavySeconds(seed+1, c.slowed, 8*time.Second)
				wide.add(m.tally("/wide/x"))
				urgent.add(m.tally("/urgent/x"))
			}
			t.Logf("wide %+v urgent %+v", wide, urgent)
			assert.Assert(t, wide.share(wide.inTime) >= c.wide)
			assert.Assert(t, urgent.share(urgent.inTime) >= c.urgent)
			assert.Assert(t, wide.share(wide.late) <= c.late)
			assert.Assert(t, urgent.share(urgent.refused) <= wide.share(wide.refused), "the urgent ones are refused more often")
			assert.Assert(t, wide.share(wide.refused) <= 0.75)
		})
	}
}
