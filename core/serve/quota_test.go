package serve

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/quota"
)

// quotaFleet is several engines that get the fleet's demand with a delay of
// demandLagSteps.
type quotaFleet struct {
	vms           []*harness
	demands       [][]float64 // of each engine by step, oldest first
	isolatedSteps int         // steps in which the engines don't see each other
}

const (
	quotaStep      = 50 * time.Millisecond
	demandLagSteps = 30 // steps until the fleet's demand reaches a VM, as with late heartbeats
)

func newQuotaFleet(t *testing.T, vms int, rate float64) *quotaFleet {
	f := &quotaFleet{}
	for range vms {
		h := newHarness(t)
		h.config = testConfig(2, testRoutes(), rate)
		h.publish()
		f.vms = append(f.vms, h)
	}
	return f
}

// step sends the given number of requests to every VM and returns how many were
// admitted in total.
func (f *quotaFleet) step(perVM []int) int {
	admitted := 0
	var demands []float64
	nodes := make([]mesh.Node, len(f.vms))
	for i, h := range f.vms {
		h.advance(quotaStep)
		h.openAll()
		for range perVM[i] {
			h.submit("/read/x")
			f.askReader(h)
			for h.running("single") > 0 {
				h.answer(h.takeAttempt("single"), "")
				admitted++
			}
		}
		demands = append(demands, h.engine.workspaces["a"].demand.perSecond(h.now))
	}
	f.demands = append(f.demands, demands)
	seen, total := f.demands[max(len(f.demands)-demandLagSteps, 0)], 0.0
	for _, d := range seen {
		total += d
	}
	if f.isolatedSteps > 0 {
		f.isolatedSteps--
		for _, h := range f.vms {
			h.confirmIsolated()
		}
		return admitted
	}
	for i, h := range f.vms {
		demand := map[string]mesh.Demand{"a": {Own: seen[i], Total: total}}
		h.step(FleetChanged{View: &mesh.View{Confirmed: h.now, Self: nodes[0], Active: nodes, Sharers: len(nodes), Demand: demand,
			Reader: i == 0, Hubs: []fleet.VMID{"reader"}, Nodes: []mesh.Node{{ID: "reader", Peer: "reader"}}}})
	}
	return admitted
}

// askReader hands the requests of a VM for the pool to the first one, which is the
// reader.
func (f *quotaFleet) askReader(h *harness) {
	for _, ask := range h.poolAsks {
		reader := f.vms[0]
		reader.poolAnswers = nil
		reader.step(PoolRequested{Workspace: ask.Workspace, Ticket: ask.ID})
		answer := reader.poolAnswers[0]
		h.step(PoolReplied{ID: answer.Ticket.(RequestID), Granted: answer.Granted, Wait: answer.Wait})
	}
	h.poolAsks = nil
}

// Guards against requests within the rate of a workspace that are refused because
// they come to VMs without a share: its callers send little and connect to any VM,
// also just after all VMs were killed.
func TestFewRequestsToManyVMsAreAdmitted(t *testing.T) {
	const (
		vms  = 32
		rate = 2.0
	)
	f := newQuotaFleet(t, vms, rate)
	idle := make([]int, vms)
	f.step(idle)
	sent, admitted := 0, 0
	for i := range 200 {
		if i == 100 {
			f.restart(rate)
			for range 11 { // until the VMs see each other; before, they don't serve
				f.step(idle)
			}
		}
		load := make([]int, vms)
		if i%20 == 0 { // one request in a second, each to another VM
			load[(7*i/20+3)%vms] = 1
			sent++
		}
		admitted += f.step(load)
	}
	assert.Equal(t, admitted, sent)
}

// Guards against pools that add up beyond the tolerance: a workspace with a low rate
// sends to all VMs at once, and the reader is replaced.
func TestPoolKeepsWithinTheTolerance(t *testing.T) {
	const (
		vms  = 32
		rate = 2.0
	)
	f := newQuotaFleet(t, vms, rate)
	limit := testSettings.Quota.PoolLimit(quota.Limit{RatePerSecond: rate, Burst: rate})
	granted := 0
	for range int(testSettings.Quota.Window / quotaStep) {
		f.step(make([]int, vms))
		for range 5 {
			reader := f.vms[0]
			reader.poolAnswers = nil
			reader.step(PoolRequested{Workspace: "a"})
			if reader.poolAnswers[0].Granted {
				granted++
			}
		}
	}
	tolerance := testSettings.Quota
	remaining := (rate*tolerance.Window.Seconds()+rate)*(1+tolerance.OverRatio) + tolerance.SlackRequests - 1.1*rate*tolerance.Window.Seconds()
	assert.Assert(t, float64(granted) <= 0.2*remaining+1, "%d granted of %v left", granted, remaining)
	assert.Assert(t, float64(granted) >= limit.Burst)

	f.vms[1].poolAnswers = nil
	f.vms[1].step(PoolRequested{Workspace: "a"})
	assert.Assert(t, !f.vms[1].poolAnswers[0].Granted, "a VM that is not the reader grants")
}

// Guards against pools that are full again with each new reader, as when the store
// turns one VM away after the other: the ones before have given out of theirs.
func TestFaultReadersChange(t *testing.T) {
	const vms, rate = 6, 34.0
	f := newQuotaFleet(t, vms, rate)
	f.step(make([]int, vms))
	granted := func(h *harness) int {
		n := 0
		for range 40 {
			h.poolAnswers = nil
			h.step(PoolRequested{Workspace: "a"})
			if h.poolAnswers[0].Granted {
				n++
			}
		}
		return n
	}
	assert.Assert(t, granted(f.vms[0]) > 0)
	for _, h := range f.vms[1:] {
		h.advance(poolFillPeriod)
		view := *h.engine.view
		view.Confirmed, view.Reader = h.now, true
		h.step(FleetChanged{View: &view})
		assert.Equal(t, granted(h), 0)
	}
}

// Guards against requests that hang while the reader does not answer, against asking
// it for each request of a workspace that is far over its rate, and against a request
// that runs after its caller was refused.
func TestFaultPoolDoesNotAnswer(t *testing.T) {
	f := newQuotaFleet(t, 2, 1)
	f.step([]int{0, 0})
	h := f.vms[1]
	spendShare := func() {
		for h.engine.workspaces["a"].bucket.Take(h.now) == 0 {
			continue // leaves nothing of its own share
		}
	}
	spendShare()
	id := h.submit("/read/x")
	assert.Equal(t, len(h.poolAsks), 1)
	assert.Assert(t, h.answers[id] == nil)
	h.advance(poolTimeout + time.Millisecond)
	assert.Equal(t, h.answers[id].Refusal.Code, outcome.CodeRateExceeded)
	h.step(PoolReplied{ID: id, Granted: true})
	assert.Equal(t, h.running("single"), 0)
	for range 10 {
		h.submit("/read/x")
	}
	assert.Equal(t, len(h.poolAsks), 1, "the reader is asked again at once")
	h.advance(poolBackoff)
	spendShare()
	gone := h.submit("/read/x")
	assert.Equal(t, len(h.poolAsks), 2)
	h.step(Cancel{ID: gone})
	h.step(PoolReplied{ID: gone, Granted: true})
	assert.Equal(t, h.running("single"), 0)
	assert.Equal(t, h.engine.workspaces["a"].pool.waiting, 0)
}

// Guards against admitting more than the tolerance in any window while a
// workspace sends several times its rate, to all VMs at once or to one after
// the other.
func TestQuotaHoldsInASurge(t *testing.T) {
	const (
		vms  = 8
		rate = 128.0
	)
	baseLoad := func(int) []int { return []int{1, 1, 1, 1, 0, 0, 0, 0} }
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
				load := baseLoad(i)
				if i >= 100 {
					load = surge(i)
				}
				admitted = append(admitted, f.step(load))
			}
			q := testSettings.Quota
			maxAllowed := (rate*q.Window.Seconds()+rate)*(1+q.OverRatio) + q.SlackRequests
			window := int(q.Window / quotaStep)
			for i := window; i < len(admitted); i++ {
				sum := 0
				for _, n := range admitted[i-window : i] {
					sum += n
				}
				assert.Assert(t, float64(sum) <= maxAllowed, "%d admitted up to step %d, %v allowed", sum, i, maxAllowed)
			}
		})
	}
}

// Guards against shares that add up to several times a limit after all VMs were
// killed in a surge: each VM knows only itself at first.
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
			for range 10 { // half a second in which no process runs
				admitted = append(admitted, 0)
			}
		}
		admitted = append(admitted, f.step(surge))
	}
	q := testSettings.Quota
	maxAllowed := (rate*q.Window.Seconds()+rate)*(1+q.OverRatio) + q.SlackRequests
	window := int(q.Window / quotaStep)
	for i := window; i < len(admitted); i++ {
		sum := 0
		for _, n := range admitted[i-window : i] {
			sum += n
		}
		assert.Assert(t, float64(sum) <= maxAllowed, "%d admitted up to step %d, %v allowed", sum, i, maxAllowed)
	}
}

// restart replaces all engines with new ones, which get the configuration
// before they see each other.
func (f *quotaFleet) restart(rate float64) {
	now := f.vms[0].now.Add(500 * time.Millisecond)
	for _, old := range f.vms {
		restarted := &harness{t: old.t, now: now, engine: NewEngine(now, testSettings), targets: old.targets, everKnown: old.everKnown,
			config: old.config, opened: make(map[ConnID]string), answers: make(map[RequestID]*Answer)}
		restarted.publish()
		restarted.confirmIsolated()
		restarted.openAll()
		*old = *restarted
	}
	f.demands, f.isolatedSteps = nil, 10
}

// settlingSharers is the minimum number of VMs that core/mesh reports as
// sharing limits while a VM knows only itself.
const settlingSharers = 8

func (h *harness) confirmIsolated() {
	self := mesh.Node{ID: "vm"}
	h.step(FleetChanged{View: &mesh.View{Confirmed: h.now, Self: self, Active: []mesh.Node{self}, Sharers: settlingSharers}})
}
