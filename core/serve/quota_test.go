package serve

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/mesh"
)

// quotaFleet is several engines that learn the fleet's demand late.
type quotaFleet struct {
	rigs    []*rig
	demands [][]float64 // of each engine by step, oldest first
	alone   int         // steps in which the engines don't hear of each other
}

const (
	quotaStep = 50 * time.Millisecond
	quotaLag  = 30 // steps until the fleet's demand reaches a VM: heartbeats are late
)

func newQuotaFleet(t *testing.T, vms int, rate float64) *quotaFleet {
	f := &quotaFleet{}
	for range vms {
		r := newRig(t)
		r.config = testConfig(2, testRoutes(), rate)
		r.publish()
		f.rigs = append(f.rigs, r)
	}
	return f
}

// step sends the given number of requests to every VM and returns how many were
// admitted in all.
func (f *quotaFleet) step(perVM []int) int {
	admitted := 0
	var demands []float64
	nodes := make([]mesh.Node, len(f.rigs))
	for i, r := range f.rigs {
		r.advance(quotaStep)
		r.openAll()
		for range perVM[i] {
			r.submit("/read/x")
			for r.running("single") > 0 {
				r.answer(r.take("single"), "")
				admitted++
			}
		}
		demands = append(demands, r.engine.tenants["a"].demand.perSecond(r.now))
	}
	f.demands = append(f.demands, demands)
	seen, total := f.demands[max(len(f.demands)-quotaLag, 0)], 0.0
	for _, d := range seen {
		total += d
	}
	if f.alone > 0 {
		f.alone--
		for _, r := range f.rigs {
			r.confirmAlone()
		}
		return admitted
	}
	for i, r := range f.rigs {
		demand := map[string]mesh.Demand{"a": {Own: seen[i], Total: total}}
		r.step(FleetChanged{View: &mesh.View{Confirmed: r.now, Self: nodes[0], Active: nodes, Sharers: len(nodes), Demand: demand}})
	}
	return admitted
}

// Guards against more than the tolerance in any window while one workspace
// surges to several times its rate on all VMs at once, or on one after the other.
func TestQuotaHoldsInASurge(t *testing.T) {
	const (
		vms  = 8
		rate = 128.0
	)
	calm := func(int) []int { return []int{1, 1, 1, 1, 0, 0, 0, 0} }
	loads := map[string]func(step int) []int{
		"all at once": func(int) []int { return []int{6, 6, 6, 6, 6, 6, 6, 6} },
		"moving": func(step int) []int {
			load := make([]int, vms)
			load[step/10%vms] = 40
			return load
		},
	}
	for name, surge := range loads {
		t.Run(name, func(t *testing.T) {
			f := newQuotaFleet(t, vms, rate)
			var admitted []int
			for i := range 300 {
				load := calm(i)
				if i >= 100 {
					load = surge(i)
				}
				admitted = append(admitted, f.step(load))
			}
			q := testSettings.Quota
			most := (rate*q.Window.Seconds()+rate)*(1+q.OverRatio) + q.SlackRequests
			window := int(q.Window / quotaStep)
			for i := window; i < len(admitted); i++ {
				sum := 0
				for _, n := range admitted[i-window : i] {
					sum += n
				}
				assert.Assert(t, float64(sum) <= most, "%d admitted up to step %d, %v allowed", sum, i, most)
			}
		})
	}
}

// Guards against parts that add up to several times a limit after all VMs were
// killed in a surge: each knows only itself at first.
func TestQuotaHoldsAfterARestartOfAll(t *testing.T) {
	const (
		vms  = 12
		rate = 32.0
	)
	surge := make([]int, vms)
	for i := range surge {
		surge[i] = 2
	}
	f := newQuotaFleet(t, vms, rate)
	var admitted []int
	for i := range 240 {
		if i == 120 {
			f.restart(rate)
			for range 10 { // half a second without a process
				admitted = append(admitted, 0)
			}
		}
		admitted = append(admitted, f.step(surge))
	}
	q := testSettings.Quota
	most := (rate*q.Window.Seconds()+rate)*(1+q.OverRatio) + q.SlackRequests
	window := int(q.Window / quotaStep)
	for i := window; i < len(admitted); i++ {
		sum := 0
		for _, n := range admitted[i-window : i] {
			sum += n
		}
		assert.Assert(t, float64(sum) <= most, "%d admitted up to step %d, %v allowed", sum, i, most)
	}
}

// restart replaces all engines by new ones, which know the configuration before
// they know each other.
func (f *quotaFleet) restart(rate float64) {
	now := f.rigs[0].now.Add(500 * time.Millisecond)
	for _, old := range f.rigs {
		fresh := &rig{t: old.t, now: now, engine: NewEngine(now, testSettings), targets: old.targets, known: old.known,
			config: old.config, opened: make(map[ConnID]string), answers: make(map[RequestID]*Answer)}
		fresh.publish()
		fresh.confirmAlone()
		fresh.openAll()
		*old = *fresh
	}
	f.demands, f.alone = nil, 10
}

// settlingSharers is what core/mesh says of the VMs that share limits while a
// VM knows only itself, at the least.
const settlingSharers = 8

func (r *rig) confirmAlone() {
	self := mesh.Node{ID: "vm"}
	r.step(FleetChanged{View: &mesh.View{Confirmed: r.now, Self: self, Active: []mesh.Node{self}, Sharers: settlingSharers}})
}
