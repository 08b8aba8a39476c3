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

// Bounds that the design promises, and timeouts of the code under test.
const (
	maxWithdrawTime = 2 * time.Second // from the first acceptance of a key's withdrawal until no VM accepts the key
	maxLeaveTime    = 3 * time.Second // until a VM that is lost or leaving gets no new requests
	maxApplyTime    = 4 * time.Second // until a document is in force on all VMs
	maxFenceTime    = 1500 * time.Millisecond
	livenessTimeout = 2 * time.Second
	voteExpiry      = 3080 * time.Millisecond // vote TTL and max drift
	shareExpiry     = 5100 * time.Millisecond // share TTL and max drift
	maxServiceCalls = 2000                    // calls per second of all VMs together
)

// failService makes the configuration service and the VM list fail for some VMs, or
// for all if none is given.
func failService(f *controltest.Fleet, vms ...*controltest.Node) {
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
	failService(f)
	throughout(t, f, time.Minute, "a VM does not serve", func() bool { return fleetServes(f) && allSharesHeld(f) })
	f.Platform.Down = nil
	f.Platform.SetDocument(2, plainDocument(2, 8))
	within(t, f, maxApplyTime, "the new document was not in force", func() bool { return haveRevision(2, f.Up()...) })
}

// Guards against an accepted document that is replaced by an older one, on running
// VMs and on a VM that starts while the service returns an old document.
func TestFaultServiceStale(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		revision uint64
		text     []byte
	}{
		{"Stale", 4, plainDocument(4, 9)},
		{"Resets", 1, plainDocument(1, 9)},
		{"Empty", 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := readyFleet(t, 8, 9)
			f.Platform.SetDocument(5, plainDocument(5, 9))
			within(t, f, maxApplyTime, "revision 5 was not in force", func() bool { return haveRevision(5, f.Up()...) })
			f.Platform.SetDocument(c.revision, c.text)
			newNode := f.Start("vm100", "a")
			f.Platform.ListRunning()
			throughout(t, f, 20*time.Second, "an older document is served", func() bool {
				return haveRevision(5, f.Up()[:8]...) && (!serves(f, newNode) || haveRevision(5, newNode))
			})
			assert.Assert(t, fleetServes(f))
		})
	}
}

// Guards against VMs that together exceed the service's call limit while it
// alternates between up and down, and against a VM that stops serving meanwhile.
func TestFaultServiceFlaps(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{8, 64} {
		f := readyFleet(t, vms, vms)
		f.Platform.Calls = nil
		f.Platform.Down = func(*controltest.Node) bool { return f.Now.UnixMilli()/300%2 == 0 }
		throughout(t, f, 20*time.Second, "a VM does not serve", func() bool { return fleetServes(f) })
		assert.Assert(t, f.Platform.PeakCalls() < maxServiceCalls, "%d calls in a second", f.Platform.PeakCalls())
	}
}

// Guards against an invalid document that is accepted in part, or that keeps the
// next valid one from coming into force.
func TestFaultBadText(t *testing.T) {
	t.Parallel()
	for name, bad := range map[string]string{
		"Syntax": "revision = 2\n[fleet", "Value": "revision = 2\n[fleet]\nmax_vms = 0\n", "Empty": "",
	} {
		t.Run(name, func(t *testing.T) {
			f := readyFleet(t, 8, 8)
			f.Platform.SetDocument(2, []byte(bad))
			throughout(t, f, 10*time.Second, "the invalid document had an effect", func() bool { return haveRevision(1, f.Up()...) && fleetServes(f) })
			rejects := 0
			for _, n := range f.Up() {
				rejects += len(n.Rejections)
				assert.Assert(t, len(n.Rejections) <= 1, "one document was rejected %d times", len(n.Rejections))
			}
			assert.Assert(t, rejects > 0)
			f.Platform.SetDocument(3, plainDocument(3, 8))
			// A VM whose reads changed nothing waits up to 4 s before the next one.
			within(t, f, 2*maxApplyTime, "the next document was not in force", func() bool { return haveRevision(3, f.Up()...) })
		})
	}
}

// Guards against VMs that keep different documents of the same revision, which two
// halves of a partitioned fleet accepted.
func TestFaultSameVersionOtherText(t *testing.T) {
	t.Parallel()
	f := readyFleet(t, 8, 8)
	failService(f, f.Up()[4:]...)
	one, other := newDocument(2, 8, rate, "one"), newDocument(2, 8, rate, "other")
	partition(f, f.Up()[:4])
	f.Platform.SetDocument(2, one)
	f.Run(time.Second)
	failService(f, f.Up()[:4]...)
	f.Platform.SetDocument(2, other)
	f.Run(4 * time.Second) // the longest wait between two calls is 3 s
	assert.Assert(t, haveRevision(2, f.Up()...))
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
	// Without a VM list, the halves find each other by trying unreachable addresses,
	// which takes up to 8 s; the bound counts from then on.
	within(t, f, 8*time.Second+maxApplyTime, "the documents did not converge", same)
	reported := 0
	for _, n := range f.Up() {
		for _, r := range n.Rejections {
			var conflict *config.RevisionConflictError
			if errors.As(r.Err, &conflict) {
				reported++
			}
		}
	}
	assert.Assert(t, reported > 0, "the conflict was not reported")
}

// Guards against membership that follows an outdated VM list against the evidence
// of heartbeats.
func TestFaultListLags(t *testing.T) {
	t.Parallel()
	f := readyFleet(t, 8, 10) // the list is not updated from here on
	dead, rest := f.Up()[3], append(f.Up()[:3:3], f.Up()[4:]...)
	dead.Kill()
	within(t, f, maxLeaveTime, "a dead VM was still listed", func() bool { return !isListed(dead, rest...) })
	unlisted := f.Start("vm100", "a")
	within(t, f, maxLeaveTime, "a VM that the list lacks was not found", func() bool { return isListed(unlisted, rest...) && serves(f, unlisted) })
	throughout(t, f, 10*time.Second, "the dead VM came back", func() bool { return !isListed(dead, rest...) })
}

// Guards against frequent heartbeats to addresses that never answer.
func TestFaultListNamesDeadVMs(t *testing.T) {
	t.Parallel()
	f := readyFleet(t, 4, 6)
	for _, name := range []string{"gone1", "gone2"} {
		f.Platform.VMs = append(f.Platform.VMs, fleet.VM{ID: fleet.VMID(name), PeerURL: "http://" + name + ".example", State: fleet.Live})
	}
	f.Run(20 * time.Second) // until the backoff between tries has grown
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

// Guards against a VM that is still given to callers after it or the VM list has
// reported that it is leaving, and against shares that it keeps.
func TestFaultLeaving(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		leave func(f *controltest.Fleet, n *controltest.Node)
	}{
		{"OwnWord", func(_ *controltest.Fleet, n *controltest.Node) { n.Deliver(control.Leave{}) }},
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
				leaving, rest := f.Up()[which], append(f.Up()[:which:which], f.Up()[which+1:]...)
				c.leave(f, leaving)
				within(t, f, maxLeaveTime, "a leaving VM was still listed", func() bool { return !isListed(leaving, f.Up()...) })
				assert.Equal(t, leaving.View.Self.State, fleet.Leaving)
				within(t, f, maxLeaveTime, "a leaving VM kept shares", func() bool {
					return len(leaving.View.ShardShares)+len(leaving.View.RateShares)+len(leaving.View.RangeShares) == 0
				})
				within(t, f, voteExpiry+shareExpiry, "its shares were lost", func() bool { return allSharesHeld(f) && allServe(f, rest...) })
			})
		}
	}
}
