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

// goodput runs workspaces with random arrivals for a time and counts what each
// was answered within its deadline. The first one sends factor times the rate.
func goodput(t *testing.T, workspaces int, rate, factor float64, d time.Duration) ([]int, *world) {
	t.Helper()
	w := newWorld(t, 3)
	for _, target := range w.targets {
		target.service = func(int) time.Duration { return simService/2 + time.Duration(w.random.Int63n(int64(simService))) }
	}
	w.begin()
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
			subs = append(subs, w.submit(func(s *scatter.SubRequest) {
				s.Workspace, s.Deadline = fmt.Sprint("w", i), w.now.Add(150*time.Millisecond)
			}))
			w.at(gap(), arrive)
			return nil
		}
		w.at(gap(), arrive)
	}
	w.run(d)
	for _, s := range subs {
		if s.ok() {
			var i int
			fmt.Sscanf(s.Workspace, "w%d", &i)
			got[i]++
		}
	}
	return got, w
}

// Guards against one workspace at ten times its rate that starves the others
// while the group is overloaded: the worst-served of the others keeps at least
// 95% of the goodput that it has without the overload.
func TestFaultNoisyWorkspace(t *testing.T) {
	const workspaces, rate = 8, 240.0
	calm, _ := goodput(t, workspaces, rate, 1, 5*time.Second)
	noisy, w := goodput(t, workspaces, rate, 10, 5*time.Second)
	worst := 1.0
	for i := 1; i < workspaces; i++ {
		worst = min(worst, float64(noisy[i])/float64(calm[i]))
	}
	s := w.g.Stats()
	t.Logf("calm %v noisy %v worst %.3f hedges %d of %d", calm, noisy, worst, s.Hedges, s.SubRequests)
	assert.Assert(t, worst >= 0.95, "worst-served keeps %.3f", worst)
	assert.Assert(t, noisy[0] > calm[0], "capacity is left unused")
	assert.Assert(t, noisy[0] < 5*rate*10/2, "the group was not overloaded")
}

// Guards against a queue without a bound, and against a refusal that does not
// say when to try again.
func TestFaultQueueFull(t *testing.T) {
	w := newWorld(t, 1)
	w.begin()
	w.target(0).service = func(int) time.Duration { return time.Second }
	var subs []*simSub
	for range 100 {
		subs = append(subs, w.submit(func(s *scatter.SubRequest) { s.Deadline = w.now.Add(time.Hour) }))
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
	other := w.submit(func(s *scatter.SubRequest) { s.Workspace = "other"; s.Deadline = w.now.Add(time.Hour) })
	assert.Equal(t, len(other.replies), 0)
}

// Guards against memory that grows with every request that was in flight at a crash.
func TestFaultManySuspects(t *testing.T) {
	w := newWorld(t, 3)
	w.begin()
	for n := range 600 {
		for range 12 {
			w.submit(func(s *scatter.SubRequest) { s.Deadline = w.now.Add(20 * time.Millisecond) })
		}
		w.run(2 * time.Millisecond)
		w.crash(w.target(n%3), 5*time.Millisecond)
		w.run(600 * time.Millisecond)
	}
	suspects := w.g.Dump().Suspects
	assert.Assert(t, suspects > 500 && suspects <= 1024, "%d suspects", suspects)
}

// Guards against a suspect that never runs, because its target never becomes
// empty by itself under load, and against others that run beside it.
func TestFaultSuspectUnderLoad(t *testing.T) {
	w := newWorld(t, 2)
	w.begin()
	w.load(500, 500*time.Microsecond, nil)
	s := w.submit(func(r *scatter.SubRequest) { r.Isolated = true })
	for range 400 {
		w.submit(nil)
		w.run(500 * time.Microsecond)
		for _, target := range w.targets {
			for _, run := range target.running {
				alone := run.a.Sub.Isolated
				assert.Assert(t, !alone || len(target.running) == 1, "%d run beside a suspect", len(target.running)-1)
			}
		}
	}
	assert.Assert(t, s.ok())
	assert.Assert(t, s.took() < 50*time.Millisecond, "%v", s.took())
}

// Guards against a crash that is missed because the target restarts on the spot
// and never refuses a connection, and against blame for what ended before.
func TestFaultQuickRestart(t *testing.T) {
	w := newWorld(t, 3)
	bad := fleet.Fingerprint{77}
	w.begin()
	w.target(0).crashOn[bad] = true
	for n := 0; ; n++ {
		s := w.submit(func(r *scatter.SubRequest) { r.Fingerprint = fleet.Fingerprint{77, byte(n), 1} })
		w.run(time.Millisecond)
		if s.starts[0] == "t0" {
			w.crash(w.target(0), 0)
			w.run(100 * time.Millisecond)
			assert.Equal(t, s.refusal().Code, outcome.CodeTargetCrashed)
			return
		}
		w.run(20 * time.Millisecond)
	}
}
