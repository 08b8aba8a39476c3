package control_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/internal/controltest"
)

// propagationTime publishes revision 2 and returns how long after the first VM has
// accepted it no VM serves with an older one.
func propagationTime(t *testing.T, f *controltest.Fleet, maxVMs int, limit time.Duration) time.Duration {
	t.Helper()
	f.Platform.SetDocument(2, plainDocument(2, maxVMs))
	within(t, f, maxApplyTime, "no VM accepted the document", func() bool {
		for _, n := range f.Up() {
			if haveRevision(2, n) {
				return true
			}
		}
		return false
	})
	return within(t, f, limit, "a VM serves with the old document", func() bool {
		for _, n := range f.Up() {
			if serves(f, n) && !haveRevision(2, n) {
				return false
			}
		}
		return true
	})
}

// Guards against a key that works on some VM for more than two seconds after
// another VM accepted its withdrawal, alone and together with one other fault.
func TestFaultKeyWithdrawn(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		fault func(f *controltest.Fleet)
	}{
		{"Alone", func(*controltest.Fleet) {}},
		{"CoordinatorDies", func(f *controltest.Fleet) { f.Up()[0].Kill() }},
		{"CoordinatorPauses", func(f *controltest.Fleet) { f.Up()[0].Freeze() }},
		{"ServiceDownForMost", func(f *controltest.Fleet) { failService(f, f.Up()[1:]...) }},
		{"OneWayFromCoordinator", func(f *controltest.Fleet) {
			hub := f.Up()[0]
			f.Reaches = func(from, _ *controltest.Node) bool { return from != hub }
		}},
		{"QuarterDies", func(f *controltest.Fleet) {
			for i, n := range f.Up() {
				if i%4 == 1 {
					n.Kill()
				}
			}
		}},
		{"ThirdOfLinksDown", func(f *controltest.Fleet) {
			f.Reaches = func(from, to *controltest.Node) bool {
				return (from.VM.ID[4]+to.VM.ID[4])%3 != 0
			}
		}},
		{"VMIsolated", func(f *controltest.Fleet) {
			n := f.Up()[len(f.Up())-1]
			partition(f, []*controltest.Node{n})
			failService(f, n)
		}},
	} {
		for _, vms := range []int{8, 64, 240} {
			t.Run(fmt.Sprintf("%s/%d", c.name, vms), func(t *testing.T) {
				t.Parallel()
				if vms > 64 && testing.Short() {
					t.Skip("long")
				}
				f := readyFleet(t, vms, vms)
				c.fault(f)
				t.Logf("withdrawn on all VMs %v after the first acceptance", propagationTime(t, f, vms, maxWithdrawTime))
			})
		}
	}
}

// Guards against an accepted lower limit that reverts, and against old and new
// limits that add up: the limit is raised and lowered, then the configuration
// service is reset to the raised one and a VM is replaced.
func TestFaultLimitRaisedThenStale(t *testing.T) {
	t.Parallel()
	f := readyFleet(t, 8, 9)
	raised, lowered := newDocument(2, 9, rate, "raised"), newDocument(3, 9, rate/2, "lowered")
	f.Platform.SetDocument(2, raised)
	within(t, f, maxApplyTime, "the raised limit was not in force", func() bool { return haveRevision(2, f.Up()...) })
	f.Platform.SetDocument(3, lowered)
	within(t, f, maxApplyTime, "the lowered limit was not in force", func() bool { return haveRevision(3, f.Up()...) })
	f.Platform.SetDocument(2, raised)
	f.Up()[5].Kill()
	newNode := f.Start("vm005", "b")
	throughout(t, f, 30*time.Second, "the raised limit came back", func() bool {
		for _, n := range f.Up() {
			if serves(f, n) && !haveRevision(3, n) {
				return false
			}
		}
		return true
	})
	assert.Assert(t, serves(f, newNode) && allSharesHeld(f))
	sum := 0.0
	for _, n := range f.Up() {
		for _, r := range n.View.RateShares {
			if r.Workspace == "league" {
				sum += r.RatePerSecond
			}
		}
	}
	assert.Assert(t, sum <= 0.75*rate/2+1e-6)
}

// Guards against faults that are harmless alone but break a limit, the fence or the
// recovery when one follows another by a second.
func TestFaultPairs(t *testing.T) {
	t.Parallel()
	type fault struct {
		name  string
		begin func(f *controltest.Fleet, victim int)
		end   func(f *controltest.Fleet)
	}
	nothing := func(*controltest.Fleet) {}
	faults := []fault{
		{"ServiceDown", func(f *controltest.Fleet, _ int) { failService(f) }, func(f *controltest.Fleet) { f.Platform.Down = nil }},
		{"CoordinatorDies", func(f *controltest.Fleet, _ int) { f.Up()[0].Kill() }, nothing},
		{"HomeDies", func(f *controltest.Fleet, victim int) { f.Up()[victim].Kill() }, nothing},
		{"Replaced", func(f *controltest.Fleet, victim int) {
			n := f.Up()[victim]
			n.Kill()
			f.Start(string(n.VM.ID[:5]), n.VM.Zone)
		}, nothing},
		{"Pause", func(f *controltest.Fleet, victim int) { f.Up()[victim].Freeze() }, func(f *controltest.Fleet) {
			for _, n := range f.Up() {
				n.Thaw()
			}
		}},
		{"Half", func(f *controltest.Fleet, _ int) { partition(f, f.Up()[:4]) }, func(f *controltest.Fleet) { f.Reaches = nil }},
		{"OneWay", func(f *controltest.Fleet, victim int) {
			n := f.Up()[victim]
			f.Reaches = func(from, _ *controltest.Node) bool { return from != n }
		}, func(f *controltest.Fleet) { f.Reaches = nil }},
	}
	for _, first := range faults {
		for _, second := range faults {
			t.Run(first.name+"And"+second.name, func(t *testing.T) {
				t.Parallel()
				f := readyFleet(t, 9, 10)
				first.begin(f, 4)
				run(t, f, time.Second)
				second.begin(f, 6)
				run(t, f, 8*time.Second)
				f.Platform.SetDocument(2, plainDocument(2, 10))
				run(t, f, 8*time.Second)
				first.end(f)
				second.end(f)
				f.Platform.Down = nil
				limit := 8*time.Second + 2*voteExpiry + 2*shareExpiry
				within(t, f, limit, "the fleet did not recover", func() bool {
					return fleetServes(f) && allSharesHeld(f) && haveRevision(2, f.Up()...)
				})
			})
		}
	}
}

// run runs the fleet and checks the limits on the way.
func run(t *testing.T, f *controltest.Fleet, d time.Duration) {
	t.Helper()
	throughout(t, f, d, "", func() bool { return true })
}
