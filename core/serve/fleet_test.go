package serve

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/mesh"
)

// stepFleet advances every VM and gives it the view of the fleet.
func stepFleet(fleet []*harness, d time.Duration) {
	nodes := make([]mesh.Node, len(fleet))
	for _, h := range fleet {
		h.advance(d)
		h.step(FleetChanged{View: &mesh.View{Confirmed: h.now, Self: nodes[0], Active: nodes, Sharers: len(nodes)}})
		h.openAll()
	}
}

// Guards against VMs that together exceed the platform's budget of extra
// attempts while a service sheds all requests, also if a VM restarts meanwhile
// with a new budget.
func TestRetryBudgetHoldsOverTheFleet(t *testing.T) {
	const (
		vms          = 6
		step         = 50 * time.Millisecond
		window       = 10 * time.Second / step // steps in a window of the budget
		healthySteps = 2 * window
		restart      = healthySteps + window/2
		end          = healthySteps + 3*window
	)
	var fleet []*harness
	for range vms {
		fleet = append(fleet, newHarness(t))
	}
	var requests, extra []int // by step
	for i := range end {
		if i == restart {
			restarted := newHarness(t)
			restarted.now = fleet[0].now
			restarted.confirm()
			fleet[0] = restarted
		}
		stepFleet(fleet, step)
		sent, arrived := 0, 0
		for _, h := range fleet {
			for range 2 {
				h.submit("/read/x")
				sent++
			}
			for h.running("single") > 0 {
				a := h.takeAttempt("single")
				arrived++
				if i < healthySteps {
					h.answer(a, "")
					continue
				}
				h.fail(a, Shed)
			}
		}
		requests, extra = append(requests, sent), append(extra, max(arrived-sent, 0))
	}
	maxExtra := 0
	for i := int(window); i < len(extra); i++ {
		sentInWindow, extraInWindow := 0, 0
		for k := i - int(window); k < i; k++ {
			sentInWindow, extraInWindow = sentInWindow+requests[k], extraInWindow+extra[k]
		}
		allowed := testSettings.Retry.Ratio*float64(sentInWindow) + testSettings.Retry.Slack
		assert.Assert(t, float64(extraInWindow) <= allowed, "%d extra attempts up to step %d, %v allowed", extraInWindow, i, allowed)
		maxExtra = max(maxExtra, extraInWindow)
	}
	assert.Assert(t, maxExtra > int(window), "only %d extra attempts, the budget was not reached", maxExtra)
}

// Guards against VMs that together exceed the rate of a cold target while the
// warm targets of its service are full.
func TestColdTargetBearsItsRateOverTheFleet(t *testing.T) {
	const (
		vms       = 6
		step      = 50 * time.Millisecond
		second    = int(time.Second / step)
		rate      = 8.0
		warmup    = 4 * time.Second
		tolerance = 1.5 // the platform tolerates this multiple of the rate
		slack     = 5   // plus this many requests, in a second
	)
	services := []catalog.Service{{Name: "single", MaxConnections: 40, Warmup: warmup, ColdRatePerSecond: rate}}
	config := catalog.NewConfig(2, testRoutes()[1:2], services, catalog.Limits{}, nil, nil)
	var fleet []*harness
	for range vms {
		h := newHarness(t)
		h.config = config
		h.publish()
		fleet = append(fleet, h)
	}
	for range second {
		stepFleet(fleet, step)
	}
	var coldRequests []int // requests to the cold target, by step
	total := 0
	for i := range int(warmup / step) {
		n := 0
		for _, h := range fleet {
			if i == 0 {
				h.addTarget("single", replicas).WarmupLeft = warmup
				h.publish()
			}
			for range 8 { // more than the warm targets have slots
				h.submit("/read/x")
			}
		}
		stepFleet(fleet, step)
		for _, h := range fleet {
			for h.running("single") > 0 {
				a := h.takeAttempt("single")
				if a.Target == "single-3" {
					n++
				}
				h.answer(a, "")
			}
		}
		coldRequests = append(coldRequests, n)
		total += n
		sum := 0
		for _, n := range coldRequests[max(len(coldRequests)-second, 0):] {
			sum += n
		}
		assert.Assert(t, float64(sum) <= rate*tolerance+slack, "%d requests in a second up to step %d", sum, i)
	}
	assert.Assert(t, float64(total) > rate*warmup.Seconds()/2, "only %d requests reached the cold target", total)
}
