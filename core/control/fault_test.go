package control_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/control"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/internal/controltest"
)

// Bounds from the design.
const (
	withdrawBound = 2 * time.Second // a withdrawn key is dead everywhere, after acceptance
	leaveBound    = 3 * time.Second // a VM that is gone or leaves gets no new work
	forceBound    = 4 * time.Second // a text is in force everywhere
	fenceBound    = 1500 * time.Millisecond
	silence       = 2 * time.Second
	voteWait      = 3080 * time.Millisecond // vote term and drift
	shareWait     = 5100 * time.Millisecond // share term and drift
	serviceLimit  = 2000                    // calls a second, all VMs together
)

// down makes the service fail for VMs.
func down(f *controltest.Fleet, vms ...*controltest.Node) {
	set := make(map[*controltest.Node]bool)
	for _, n := range vms {
		set[n] = true
	}
	f.Platform.Down = func(n *controltest.Node) bool { return len(vms) == 0 || set[n] }
}

// Guards against a fleet that stops serving, or loses shares, because the
// configuration service is down for all.
func TestFaultServiceDown(t *testing.T) {
	t.Parallel()
	f := readyFleet(t, 8, 8)
	down(f)
	throughout(t, f, time.Minute, "a VM does not serve", func() bool { return serving(f) && granted(f) })
	f.Platform.Down = nil
	f.Platform.SetText(2, plainText(2, 8))
	within(t, f, forceBound, "the new text was not in force", func() bool { return revision(2, f.Up()...) })
}

// Guards against an accepted text that is replaced by an older one, on running
// VMs and on a VM that starts while the service is wrong.
func TestFaultServiceStale(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		revision uint64
		text     []byte
	}{
		{"Stale", 4, plainText(4, 9)},
		{"Resets", 1, plainText(1, 9)},
		{"Empty", 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := readyFleet(t, 8, 9)
			f.Platform.SetText(5, plainText(5, 9))
			within(t, f, forceBound, "revision 5 was not in force", func() bool { return revision(5, f.Up()...) })
			f.Platform.SetText(c.revision, c.text)
			fresh := f.Start("vm100", "a")
			f.Platform.List()
			throughout(t, f, 20*time.Second, "an older text is served", func() bool {
				return revision(5, f.Up()[:8]...) && (!serves(f, fresh) || revision(5, fresh))
			})
			assert.Assert(t, serving(f))
		})
	}
}

// Guards against VMs that together exceed the service's limit while it flaps,
// and against serving that depends on it.
func TestFaultServiceFlaps(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{8, 64} {
		f := readyFleet(t, vms, vms)
		f.Platform.Calls = nil
		f.Platform.Down = func(*controltest.Node) bool { return f.Now.UnixMilli()/300%2 == 0 }
		throughout(t, f, 20*time.Second, "a VM does not serve", func() bool { return serving(f) })
		assert.Assert(t, f.Platform.PeakCalls() < serviceLimit, "%d calls in a second", f.Platform.PeakCalls())
	}
}

// Guards against a text that is accepted in part, and against an invalid text
// that keeps the next valid one from coming into force.
func TestFaultBadText(t *testing.T) {
	t.Parallel()
	for name, bad := range map[string]string{
		"Syntax": "revision = 2\n[fleet", "Value": "revision = 2\n[fleet]\nmax_vms = 0\n", "Empty": "",
	} {
		t.Run(name, func(t *testing.T) {
			f := readyFleet(t, 8, 8)
			f.Platform.SetText(2, []byte(bad))
			throughout(t, f, 10*time.Second, "the bad text had an effect", func() bool { return revision(1, f.Up()...) && serving(f) })
			rejects := 0
			for _, n := range f.Up() {
				rejects += len(n.Rejects)
				assert.Assert(t, len(n.Rejects) <= 1, "one text was rejected %d times", len(n.Rejects))
			}
			assert.Assert(t, rejects > 0)
			f.Platform.SetText(3, plainText(3, 8))
			// A VM that got a useless text waits up to 4 s before it asks again.
			within(t, f, 2*forceBound, "the next text was not in force", func() bool { return revision(3, f.Up()...) })
		})
	}
}

// Guards against VMs that stay on different contents of one revision.
func TestFaultSameVersionOtherText(t *testing.T) {
	t.Parallel()
	f := readyFleet(t, 8, 8)
	down(f, f.Up()[4:]...)
	one, other := textOf(2, 8, rate, "one"), textOf(2, 8, rate, "other")
	partition(f, f.Up()[:4])
	f.Platform.SetText(2, one)
	f.Run(time.Second)
	down(f, f.Up()[:4]...)
	f.Platform.SetText(2, other)
	f.Run(4 * time.Second) // the longest wait between two tries is 3 s
	assert.Assert(t, revision(2, f.Up()...))
	f.Reaches = nil
	same := func() bool {
		for _, n := range f.Up() {
			if n.View.Config.Digest != f.Up()[0].View.Config.Digest {
				return false
			}
		}
		return true
	}
	assert.Assert(t, !same())
	// Without a list to read, the halves find each other by trying silent
	// addresses, which takes up to 8 s; from then on the bound counts.
	within(t, f, 8*time.Second+forceBound, "the contents did not converge", same)
	reported := 0
	for _, n := range f.Up() {
		for _, r := range n.Rejects {
			var conflict *config.RevisionConflictError
			if errors.As(r.Err, &conflict) {
				reported++
			}
		}
	}
	assert.Assert(t, reported > 0, "the conflict was not reported")
}

// Guards against membership that follows the list where heartbeats know better.
func TestFaultListLags(t *testing.T) {
	t.Parallel()
	f := readyFleet(t, 8, 10) // the list is not updated any more
	dead, rest := f.Up()[3], append(f.Up()[:3:3], f.Up()[4:]...)
	dead.Kill()
	within(t, f, leaveBound, "a dead VM was still listed", func() bool { return !lists(dead, rest...) })
	unlisted := f.Start("vm100", "a")
	within(t, f, leaveBound, "a VM that the list lacks was not found", func() bool { return lists(unlisted, rest...) && serves(f, unlisted) })
	throughout(t, f, 10*time.Second, "the dead VM came back", func() bool { return !lists(dead, rest...) })
}

// Guards against frequent heartbeats to addresses that never answer.
func TestFaultListNamesDeadVMs(t *testing.T) {
	t.Parallel()
	f := readyFleet(t, 4, 6)
	for _, name := range []string{"gone1", "gone2"} {
		f.Platform.VMs = append(f.Platform.VMs, fleet.VM{ID: fleet.VMID(name), PeerURL: "http://" + name + ".example", State: fleet.Live})
	}
	f.Run(20 * time.Second) // until the waits between tries are long
	tries := 0
	f.HeartbeatSize = func(h control.Heartbeat) int {
		if name := string(h.Ballot.Candidate); name == "gone1" || name == "gone2" {
			tries++
		}
		return 0
	}
	f.Run(time.Minute)
	assert.Assert(t, tries <= 2*4*60/8+8, "%d tries in a minute", tries)
}

// Guards against a VM that is still handed to callers after it has said, or the
// list has said, that it leaves, and against shares that it keeps.
func TestFaultLeaving(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		leave func(f *controltest.Fleet, n *controltest.Node)
	}{
		{"OwnWord", func(_ *controltest.Fleet, n *controltest.Node) { n.Do(control.Leave{}) }},
		{"List", func(f *controltest.Fleet, n *controltest.Node) {
			for i := range f.Platform.VMs {
				if f.Platform.VMs[i].PeerURL == n.VM.PeerURL {
					f.Platform.VMs[i].State = fleet.Leaving
				}
			}
		}},
	} {
		for _, which := range []int{0, 5} { // 0 is the coordinator
			t.Run(c.name, func(t *testing.T) {
				f := readyFleet(t, 8, 8)
				gone, rest := f.Up()[which], append(f.Up()[:which:which], f.Up()[which+1:]...)
				c.leave(f, gone)
				within(t, f, leaveBound, "a leaving VM was still listed", func() bool { return !lists(gone, f.Up()...) })
				assert.Equal(t, gone.View.Self.State, fleet.Leaving)
				within(t, f, leaveBound, "a leaving VM kept shares", func() bool {
					return len(gone.View.ShardShares)+len(gone.View.RateShares)+len(gone.View.RangeShares) == 0
				})
				within(t, f, voteWait+shareWait, "its shares were lost", func() bool { return granted(f) && allServe(f, rest...) })
			})
		}
	}
}
