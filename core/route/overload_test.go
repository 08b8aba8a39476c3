package route_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/route"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// goodput runs workspaces with random arrivals for the time d and returns how many
// requests of each were answered within their deadline. The first workspace sends
// factor times the rate of the others.
func goodput(t *testing.T, workspaces int, rate, factor float64, d time.Duration) ([]int, *simulation) {
	t.Helper()
	sim := newSimulation(t, 3)
	for _, target := range sim.targets {
		target.serviceTime = func(int) time.Duration {
			return simServiceTime/2 + time.Duration(sim.random.Int63n(int64(simServiceTime)))
		}
	}
	sim.begin()
	got := make([]int, workspaces)
	var subs []*simSub
	for i := range workspaces {
		r := rate
		if i == 0 {
			r *= factor
		}
		var arrive func() route.Event
		random := rand.New(rand.NewSource(int64(i))) // the same arrivals in every run
		gap := func() time.Duration { return time.Duration(random.ExpFloat64() / r * float64(time.Second)) }
		arrive = func() route.Event {
			subs = append(subs, sim.submit(func(s *scatter.SubRequest) {
				s.Workspace, s.Deadline = fmt.Sprint("w", i), sim.now.Add(150*time.Millisecond)
			}))
			sim.schedule(gap(), arrive)
			return nil
		}
		sim.schedule(gap(), arrive)
	}
	sim.run(d)
	for _, s := range subs {
		if s.ok() {
			var i int
			fmt.Sscanf(s.Workspace, "w%d", &i)
			got[i]++
		}
	}
	return got, sim
}

// Guards against a workspace that overloads the shard with ten times its rate and
// starves the others: each of the others keeps at least 95% of the goodput that it
// has without the overload.
func TestFaultNoisyWorkspace(t *testing.T) {
	const workspaces, rate = 8, 240.0
	calm, _ := goodput(t, workspaces, rate, 1, 5*time.Second)
	noisy, sim := goodput(t, workspaces, rate, 10, 5*time.Second)
	worst := 1.0
	for i := 1; i < workspaces; i++ {
		worst = min(worst, float64(noisy[i])/float64(calm[i]))
	}
	s := sim.shard.Stats()
	t.Logf("calm %v noisy %v worst %.3f hedges %d of %d", calm, noisy, worst, s.Hedges, s.SubRequests)
	assert.Assert(t, worst >= 0.95, "the worst-served workspace keeps %.3f", worst)
	assert.Assert(t, noisy[0] > calm[0], "capacity is left unused")
	assert.Assert(t, noisy[0] < 5*rate*10/2, "the shard was not overloaded")
}

// Guards against an unbounded queue, and against a refusal without a time after
// which to retry.
func TestFaultQueueFull(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.begin()
	sim.target(0).serviceTime = func(int) time.Duration { return time.Second }
	var subs []*simSub
	for range 100 {
		subs = append(subs, sim.submit(func(s *scatter.SubRequest) { s.Deadline = sim.now.Add(time.Hour) }))
	}
	refused := 0
	for _, s := range subs {
		if len(s.replies) == 1 {
			refused++
			assert.Equal(t, s.refusal().Code, outcome.CodeOverloaded)
			assert.Equal(t, s.refusal().Outcome, outcome.NotRun)
			assert.Assert(t, s.refusal().RetryAfter > 0)
		}
	}
	assert.Equal(t, refused, 100-64-4)
	other := sim.submit(func(s *scatter.SubRequest) { s.Workspace = "other"; s.Deadline = sim.now.Add(time.Hour) })
	assert.Equal(t, len(other.replies), 0)
}

// Guards against memory that grows with each request that was in flight at a crash.
func TestFaultManySuspects(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.begin()
	for n := range 600 {
		for range 12 {
			sim.submit(func(s *scatter.SubRequest) { s.Deadline = sim.now.Add(20 * time.Millisecond) })
		}
		sim.run(2 * time.Millisecond)
		sim.crash(sim.target(n%3), 5*time.Millisecond)
		sim.run(600 * time.Millisecond)
	}
	suspects := sim.shard.Dump().Suspects
	assert.Assert(t, suspects > 500 && suspects <= 1024, "%d suspects", suspects)
}

// Guards against a suspect that never runs, because under load no target becomes
// empty unless it is reserved, and against attempts that run beside the suspect.
func TestFaultSuspectUnderLoad(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.begin()
	sim.load(500, 500*time.Microsecond, nil)
	s := sim.submit(func(r *scatter.SubRequest) { r.Isolated = true })
	for range 400 {
		sim.submit(nil)
		sim.run(500 * time.Microsecond)
		for _, target := range sim.targets {
			for _, run := range target.running {
				isolated := run.attempt.Sub.Isolated
				assert.Assert(t, !isolated || len(target.running) == 1, "%d run beside a suspect", len(target.running)-1)
			}
		}
	}
	assert.Assert(t, s.ok())
	assert.Assert(t, s.latency() < 50*time.Millisecond, "%v", s.latency())
}

// Guards against a crash that is missed because the target restarts at once and
// never refuses a connection: only its boot id changes.
func TestFaultQuickRestart(t *testing.T) {
	sim := newSimulation(t, 3)
	bad := fleet.Fingerprint{77}
	sim.begin()
	sim.target(0).crashOn[bad] = true
	for n := 0; ; n++ {
		s := sim.submit(func(r *scatter.SubRequest) { r.Fingerprint = fleet.Fingerprint{77, byte(n), 1} })
		sim.run(time.Millisecond)
		if s.startedOn[0] == "t0" {
			sim.crash(sim.target(0), 0)
			sim.run(100 * time.Millisecond)
			assert.Equal(t, s.refusal().Code, outcome.CodeTargetCrashed)
			return
		}
		sim.run(20 * time.Millisecond)
	}
}
