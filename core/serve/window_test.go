package serve

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against VMs whose requests wait in the queue of a target that they share,
// where a more urgent one can't pass them, against slots that are idle meanwhile, and
// against a VM that gets nothing beside others of greater demand.
func TestWindowsOfVMsShareATarget(t *testing.T) {
	for name, c := range map[string]struct{ pace float64 }{"usual speed": {1}, "slowed": {8}} {
		t.Run(name, func(t *testing.T) {
			const service = 28 * time.Millisecond
			weights := []float64{12, 6, 3, 2, 1, 1}
			m := newModel(weights, 1, 1, modelRoute("wide", 1, 1, 1, 80*time.Millisecond, 3*time.Second))
			m.work["/wide/x"] = service
			target := m.targets["shard0-0"]
			capacity := modelSlots / (service.Seconds() * c.pace)
			m.poisson(3*capacity, func() { m.call("/wide/x", 80*time.Millisecond, 3*time.Second) })
			m.run(2 * time.Second)
			target.pace = c.pace
			m.run(3 * time.Second)
			before := make([]int, len(weights))
			for i, vm := range m.vms {
				before[i] = vm.done
			}
			const samples, interval = 2000, 10 * time.Millisecond
			queued := 0
			for range samples {
				m.run(interval)
				queued += len(target.queue)
			}
			total := 0
			var done []int
			for i, vm := range m.vms {
				done = append(done, vm.done-before[i])
				total += done[i]
			}
			possible := capacity * (samples * interval).Seconds()
			bound := queueBound(modelSlots, 80*time.Millisecond, time.Duration(float64(service)*c.pace))
			mean := float64(queued) / samples
			t.Logf("answered by VM %v, %d of %.0f possible; %.2f queued, bound %d", done, total, possible, mean, bound)
			assert.Assert(t, float64(total) >= 0.95*possible, "%d of %.0f possible", total, possible)
			assert.Assert(t, mean <= float64(bound), "%.2f queued on average, bound %d", mean, bound)
			for i, n := range done {
				assert.Assert(t, float64(n) >= possible/float64(len(weights))/2, "VM %d got %d of %.0f", i, n, possible)
			}
		})
	}
}

// Guards against places of a lost VM that the others don't take over.
func TestFaultVMLostLeavesItsPlaces(t *testing.T) {
	m := newModel([]float64{3, 1, 1}, 1, 1, modelRoute("wide", 1, 1, 1, 80*time.Millisecond, 3*time.Second))
	m.work["/wide/x"] = 28 * time.Millisecond
	capacity := modelSlots / m.work["/wide/x"].Seconds()
	m.poisson(2*capacity, func() { m.call("/wide/x", 80*time.Millisecond, 3*time.Second) })
	m.run(3 * time.Second)
	lost := m.vms[0]
	m.vms = m.vms[1:]
	for _, job := range lost.jobs {
		m.cancel(job)
	}
	m.run(time.Second)
	before := m.vms[0].done + m.vms[1].done
	m.run(5 * time.Second)
	done := m.vms[0].done + m.vms[1].done - before
	assert.Assert(t, float64(done) >= 0.95*5*capacity, "%d of %.0f possible", done, 5*capacity)
}

// Guards against deployments whose targets report no load, or short queues, and whose
// limits no longer grow to the connections of the VM.
func TestWindowGrowsWithoutAQueue(t *testing.T) {
	for name, load := range map[string]*Load{"no report": nil, "short queue": {Running: 2, Queued: 2, Slots: 2}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			for range 300 {
				h.submit("/read/x")
				h.openAll()
				a := h.takeAttempt("single")
				h.step(AttemptDone{Attempt: a.Attempt, Conn: a.Conn, Kind: Answered, Reusable: true, Load: load,
					Response: &Response{Status: 200, Success: true}})
			}
			most := 0.0
			for _, target := range h.engine.service("single").targets {
				most = max(most, target.window.limit)
			}
			assert.Equal(t, most, float64(h.engine.maxConns(h.engine.service("single"))))
		})
	}
}

// Guards against several decreases for one queue, and against a report that closes a
// target for good.
func TestWindowDecreasesOncePerRoundTrip(t *testing.T) {
	w := window{limit: 8, serviceTime: 28 * time.Millisecond}
	full := Load{Running: 6, Queued: 9, Slots: 6}
	for range 5 {
		w.answered(epoch.Add(time.Second), epoch, full, 6, 80*time.Millisecond, 9)
	}
	wanted := 6 + queueBound(6, 80*time.Millisecond, w.serviceTime) // 12
	assert.Equal(t, w.limit, 8*float64(wanted)/16)
	for i := range 20 {
		at := epoch.Add(time.Duration(2+i) * time.Second)
		w.answered(at, at.Add(-time.Millisecond), Load{Running: -1, Queued: 1 << 40}, 6, 80*time.Millisecond, 9)
	}
	assert.Equal(t, w.size(), 1)
	w.answered(epoch.Add(time.Minute), epoch.Add(time.Minute), Load{Running: 5}, 6, 80*time.Millisecond, 9)
	assert.Assert(t, w.limit > 1)
}

// Guards against a target that ceases to report its load and is left with one place for
// good, by its last report.
func TestWindowGrowsWithoutReports(t *testing.T) {
	h := newHarness(t)
	target := h.engine.service("single").targets[0]
	answer := func(load *Load) {
		a := &attempt{target: target, route: h.engine.route("read"), started: h.now}
		h.now = h.now.Add(400 * time.Millisecond)
		h.engine.recordResult(h.now, a, AttemptDone{Kind: Answered, Load: load, Response: &Response{Success: true}})
	}
	for range 5 {
		answer(&Load{Running: 2, Queued: 60, Slots: 2})
	}
	assert.Equal(t, target.window.size(), 1)
	for range 200 {
		answer(nil)
	}
	assert.Assert(t, target.window.size() > initialLimit, "%v places", target.window.limit)
}
