package e2e

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/localfleet"
)

const (
	drainBound = 3 * time.Second // until a leaving target or zone gets no new work
	targetRamp = 3 * time.Second // cold_ramp of the service in these tests
	coldSlots  = 1               // cold_slots in configDocument, for all owners together
)

// receivedAttempts counts the attempts that the targets received, including those
// that they refused as overloaded.
func receivedAttempts(targets []*localfleet.Target) int {
	n := 0
	for _, target := range targets {
		c := target.Counts()
		n += c.Ran + c.Shed
	}
	return n
}

// Guards against new work for leaving targets and zones, and against returning or
// suddenly cold targets that get their full load at once from all shard owners
// together.
func TestFaultTargetsLeaveAndReturn(t *testing.T) {
	t.Parallel()
	setZoneOut := func(out bool) func(t *testing.T, f *processFleet, _ []*localfleet.Target) {
		return func(t *testing.T, f *processFleet, _ []*localfleet.Target) {
			assert.NilError(t, f.Edit(func(e *localfleet.Editor) { e.SetZoneOut("b", out) }))
			f.waitRevision(time.Now(), f.processes...)
		}
	}
	setState := func(s string) func(t *testing.T, _ *processFleet, targets []*localfleet.Target) {
		return func(_ *testing.T, _ *processFleet, targets []*localfleet.Target) {
			for _, target := range targets {
				target.SetState(s)
			}
		}
	}
	restart := func(_ *testing.T, _ *processFleet, targets []*localfleet.Target) {
		for _, target := range targets {
			target.Restart()
			target.ResetMaxRunning() // excludes what ran before the restart
		}
	}
	for _, tc := range []struct {
		name           string
		leave, restore func(t *testing.T, f *processFleet, targets []*localfleet.Target)
		coldAfter      bool // the targets are cold after restore
	}{
		{"zone taken out", setZoneOut(true), setZoneOut(false), true},
		{"draining", setState("draining"), setState("ready"), false},
		{"restarted", nil, restart, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := startParallel(t, func(e *localfleet.Editor) { e.SetServiceField(service, "cold_ramp", targetRamp.String()) })
			var targets []*localfleet.Target
			for _, target := range f.Targets {
				if target.Zone == "b" {
					targets = append(targets, target)
				}
			}
			runs, tr := f.countRuns(), f.startTraffic()
			probes := f.startProbes(f.processes, 6, f.Key(workspace))
			time.Sleep(targetRamp)
			if tc.leave != nil {
				tc.leave(t, f, targets)
				time.Sleep(drainBound)
				before := receivedAttempts(targets)
				time.Sleep(time.Second)
				assert.Equal(t, receivedAttempts(targets), before, "new work after %v", drainBound)
			}
			for _, target := range targets {
				target.ResetMaxRunning()
			}
			before := receivedAttempts(targets)
			tc.restore(t, f, targets)
			f.eventually(drainBound, "the restored targets get no work", func() bool { return receivedAttempts(targets) > before })
			time.Sleep(targetRamp / 2)
			for _, target := range targets {
				assert.Check(t, !tc.coldAfter || target.Counts().MaxRunning <= coldSlots, "%d requests at once at a cold target", target.Counts().MaxRunning)
			}
			f.eventually(startTimeout, "the restored targets do not reach their full load", func() bool {
				return !slices.ContainsFunc(targets, func(target *localfleet.Target) bool { return target.Counts().MaxRunning < slotsPerTarget })
			})
			all := probes.stop()
			f.stopAndCheck(tr, runs)
			checkVerdicts(t, all)
		})
	}
}
