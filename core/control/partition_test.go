package control_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/control"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/internal/controltest"
)

// slotsOf adds up the unexpired slots of shard g00 on some VMs.
func slotsOf(f *controltest.Fleet, vms []*controltest.Node) int {
	sum := 0
	for _, n := range vms {
		for _, g := range n.View.ShardShares {
			if g.Shard.Shard == "g00" && f.Now.Before(g.Expires) {
				sum += g.Slots
			}
		}
	}
	return sum
}

// Guards against an equal split in which a side stops serving, or in which both
// sides together exceed a limit, and against a fleet that stays split after the
// partition has healed.
func TestFaultPartitionHalf(t *testing.T) {
	t.Parallel()
	f := readyFleet(t, 8, 8)
	a, b := splitAt(f, 4)
	partition(f, a)
	within(t, f, voteExpiry+2*shareExpiry, "a side does not have half of the slots", func() bool {
		return slotsOf(f, a) == slots/2 && slotsOf(f, b) == slots/2 && allServe(f, f.Up()...)
	})
	throughout(t, f, 20*time.Second, "a side lost its half", func() bool {
		return slotsOf(f, a) == slots/2 && slotsOf(f, b) == slots/2
	})
	f.Reaches = nil
	// An unreachable address is tried again after up to 8 s, then votes and shares move.
	within(t, f, 8*time.Second+2*voteExpiry+2*shareExpiry, "the sides did not join", func() bool { return fleetServes(f) && allSharesHeld(f) })
}

// Guards against a partitioned minority that uses targets, and against a majority
// that stops serving.
func TestFaultPartitionMinority(t *testing.T) {
	t.Parallel()
	for _, withService := range []bool{true, false} {
		f := readyFleet(t, 8, 8)
		minority, majority := splitAt(f, 3) // the coordinator is in the minority
		partition(f, minority)
		if !withService {
			failService(f)
		}
		within(t, f, livenessTimeout+voteExpiry+2*shareExpiry, "the majority did not recover", func() bool {
			return slotsOf(f, majority) == slots && slotsOf(f, minority) == 0 && allServe(f, majority...)
		})
		throughout(t, f, 10*time.Second, "the minority uses targets", func() bool { return slotsOf(f, minority) == 0 })
		f.Reaches = nil
		within(t, f, 8*time.Second+2*voteExpiry+2*shareExpiry, "the sides did not join", func() bool { return fleetServes(f) && allSharesHeld(f) })
	}
}

// Guards against a VM that serves, or is given to callers, although only one
// direction of its connections works.
func TestFaultPartitionOneWay(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		cut  func(n, from, to *controltest.Node) bool
	}{
		{"HearsNothing", func(n, _, to *controltest.Node) bool { return to == n }},
		{"IsNotHeard", func(n, from, _ *controltest.Node) bool { return from == n }},
	} {
		for _, which := range []int{0, 5} {
			t.Run(c.name, func(t *testing.T) {
				f := readyFleet(t, 8, 8)
				n, rest := f.Up()[which], append(f.Up()[:which:which], f.Up()[which+1:]...)
				failService(f, n)
				f.Reaches = func(from, to *controltest.Node) bool { return !c.cut(n, from, to) }
				within(t, f, maxFenceTime, "the VM was not fenced", func() bool { return !serves(f, n) })
				within(t, f, maxLeaveTime, "the VM was still listed", func() bool { return !isListed(n, rest...) })
				within(t, f, voteExpiry+2*shareExpiry, "the others did not recover", func() bool {
					return slotsOf(f, rest) == slots && allServe(f, rest...)
				})
				throughout(t, f, 5*time.Second, "the VM serves", func() bool { return !serves(f, n) && !isListed(n, rest...) })
				f.Reaches, f.Platform.Down = nil, nil
				within(t, f, 8*time.Second+2*voteExpiry+2*shareExpiry, "the VM did not come back", func() bool { return fleetServes(f) && allSharesHeld(f) })
			})
		}
	}
}

// Guards against the loss of a whole VM because one pair of VMs, here a VM and
// the coordinator, does not reach each other.
func TestFaultPartitionOnePair(t *testing.T) {
	t.Parallel()
	f := readyFleet(t, 8, 8)
	hub, n := f.Up()[0], f.Up()[5]
	f.Reaches = func(from, to *controltest.Node) bool { return !(from == hub && to == n || from == n && to == hub) }
	f.Run(5 * time.Second)
	f.Platform.SetDocument(2, plainDocument(2, 8))
	within(t, f, maxApplyTime, "the document was not in force", func() bool { return haveRevision(2, f.Up()...) })
	throughout(t, f, 20*time.Second, "a VM does not serve", func() bool { return allServe(f, f.Up()...) })
	assert.Equal(t, slotsOf(f, f.Up()), slots)
}

// Guards against an isolated VM that keeps serving with keys that may be withdrawn.
func TestFaultVMIsolated(t *testing.T) {
	t.Parallel()
	for _, which := range []int{0, 5} {
		f := readyFleet(t, 8, 8)
		n, rest := f.Up()[which], append(f.Up()[:which:which], f.Up()[which+1:]...)
		partition(f, []*controltest.Node{n})
		failService(f, n)
		within(t, f, maxFenceTime, "the VM was not fenced", func() bool { return !serves(f, n) })
		f.Platform.SetDocument(2, plainDocument(2, 8))
		within(t, f, maxLeaveTime, "the VM was still listed", func() bool { return !isListed(n, rest...) })
		throughout(t, f, 10*time.Second, "the VM serves", func() bool { return !serves(f, n) })
		f.Reaches, f.Platform.Down = nil, nil
		throughout(t, f, 20*time.Second, "the VM serves with the old document", func() bool {
			return !serves(f, n) || haveRevision(2, n)
		})
		assert.Assert(t, fleetServes(f) && allSharesHeld(f))
	}
}

// Guards against a VM that resumes after a pause and serves with a withdrawn key or
// an expired share, or takes messages from before the pause as new ones.
func TestFaultVMPausedWakesLate(t *testing.T) {
	t.Parallel()
	for _, which := range []int{0, 5} {
		for _, pause := range []time.Duration{1600 * time.Millisecond, 4 * time.Second, 12 * time.Second} {
			f := readyFleet(t, 8, 8)
			n, rest := f.Up()[which], append(f.Up()[:which:which], f.Up()[which+1:]...)
			n.Freeze()
			f.Run(100 * time.Millisecond)
			f.Platform.SetDocument(2, plainDocument(2, 8))
			throughout(t, f, pause, "the others do not serve", func() bool { return allServe(f, rest...) })
			assert.Assert(t, !serves(f, n), "the view from before the pause still serves")
			n.Thaw()
			throughout(t, f, 20*time.Second, "the VM serves with the old document", func() bool {
				return !serves(f, n) || haveRevision(2, n)
			})
			assert.Assert(t, fleetServes(f) && allSharesHeld(f))
		}
	}
}

// Guards against confusion of two incarnations at one address: all VMs must drop the
// old one, and the new one must not break the old one's promise of its vote.
func TestFaultVMReplacedSameAddress(t *testing.T) {
	t.Parallel()
	for _, which := range []int{0, 5} {
		f := readyFleet(t, 8, 8)
		old, rest := f.Up()[which], append(f.Up()[:which:which], f.Up()[which+1:]...)
		old.Kill()
		newNode := f.Start(string(old.VM.ID[:5]), old.VM.Zone)
		within(t, f, maxLeaveTime, "the old incarnation was still listed", func() bool {
			return !isListed(old, f.Up()...) && isListed(newNode, rest...) && serves(f, newNode)
		})
		within(t, f, livenessTimeout+voteExpiry+2*shareExpiry, "its shares did not move", func() bool { return fleetServes(f) && allSharesHeld(f) })
	}
}

// Guards against targets without an owner for longer than the share of a lost owner
// lasts, and against the loss of the other owner meanwhile.
func TestFaultHomeDies(t *testing.T) {
	t.Parallel()
	for which := range 8 {
		f := readyFleet(t, 8, 9)
		dead, rest := f.Up()[which], append(f.Up()[:which:which], f.Up()[which+1:]...)
		dead.Kill()
		within(t, f, maxLeaveTime, "VMs still send to the dead owner", func() bool {
			for _, n := range rest {
				for _, owners := range n.View.Owners {
					for _, id := range owners {
						if id == dead.VM.ID {
							return false
						}
					}
				}
			}
			return true
		})
		limit := livenessTimeout + shareExpiry + 4*heartbeatInterval
		if which == 0 { // the coordinator: another one is elected first
			limit += voteExpiry + shareExpiry
		}
		within(t, f, limit, "its shares did not move", func() bool { return allSharesHeld(f) && allServe(f, rest...) })
	}
}

// Guards against a new coordinator that moves one owner of a shard while the other
// still waits for the share of a lost VM: the shard would have no owner.
func TestFaultCoordinatorDiesGroupsKeepAHome(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{4, 6, 8} {
		f := readyFleet(t, vms, vms)
		f.Up()[0].Kill()
		throughout(t, f, 20*time.Second, "a shard has no owner", func() bool { return everyShardHasOwner(f) })
	}
}

// everyShardHasOwner reports whether some VM may use slots of each shard now.
func everyShardHasOwner(f *controltest.Fleet) bool {
	held := make(map[fleet.ShardID]bool)
	for _, n := range f.Up() {
		for _, g := range n.View.ShardShares {
			held[g.Shard] = held[g.Shard] || g.Slots > 0 && f.Now.Before(g.Expires)
		}
	}
	for _, n := range f.Up() {
		for id := range n.View.Owners {
			if !held[id] {
				return false
			}
		}
	}
	return true
}

// Guards against a restart of all VMs that overloads the configuration service or
// takes longer than votes and shares last, and against shares that are granted
// before those of the old VMs have expired.
func TestFaultMassRestart(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		vms, maxVMs int
		limit       time.Duration
	}{
		{8, 8, voteExpiry}, {8, 9, voteExpiry + shareExpiry + 4*heartbeatInterval},
		{64, 64, voteExpiry}, {560, 560, voteExpiry},
	} {
		f := newFleet(c.vms, c.maxVMs, 1)
		if c.vms < 100 {
			f = readyFleet(t, c.vms, c.maxVMs)
			f.Platform.Calls = nil
			for _, n := range f.Up() {
				n.Kill()
				f.Start(string(n.VM.ID[:5]), n.VM.Zone)
			}
		}
		elapsed := within(t, f, c.limit, "the fleet did not start", func() bool { return fleetServes(f) && allSharesHeld(f) })
		t.Logf("%d of %d VMs: all shares held after %v, %d calls to the service in the worst second", c.vms, c.maxVMs, elapsed, f.Platform.PeakCalls())
		assert.Assert(t, f.Platform.PeakCalls() < maxServiceCalls, "%d calls in a second", f.Platform.PeakCalls())
	}
}

// Guards against a start gate that opens with an old document: the configuration
// service is reset to it while a VM starts, and the fleet has a newer one.
func TestFaultStartWithoutPeers(t *testing.T) {
	t.Parallel()
	f := readyFleet(t, 8, 9)
	f.Platform.SetDocument(2, plainDocument(2, 9))
	within(t, f, maxApplyTime, "revision 2 was not in force", func() bool { return haveRevision(2, f.Up()...) })
	f.Platform.SetDocument(1, plainDocument(1, 9))
	newNode := f.Start("vm100", "a")
	partition(f, []*controltest.Node{newNode})
	throughout(t, f, 4900*time.Millisecond, "it serves before it has compared revisions", func() bool { return !serves(f, newNode) })
	f.Reaches = nil
	within(t, f, 8*time.Second, "it does not accept the newer document", func() bool { return serves(f, newNode) && haveRevision(2, newNode) })
}

// Guards against the content of a poison request that is blocked on some VMs only.
func TestFaultPoisonSpreads(t *testing.T) {
	t.Parallel()
	f := readyFleet(t, 64, 64)
	fingerprint := fleet.Fingerprint{1, 2, 3}
	f.Up()[7].Deliver(control.PoisonReported{Fingerprint: fingerprint, Until: f.Now.Add(10 * time.Minute)})
	blocked := func() bool {
		for _, n := range f.Up() {
			if !n.View.PoisonedUntil[fingerprint].After(f.Now) {
				return false
			}
		}
		return true
	}
	within(t, f, 2*time.Second, "the content was not blocked", blocked)
	f.Run(9 * time.Minute)
	assert.Assert(t, blocked())
	f.Run(61 * time.Second)
	for _, n := range f.Up() {
		assert.Assert(t, len(n.View.PoisonedUntil) == 0, "the block did not end")
	}
}

// Guards against a block that ends with the VM that reported the content or with the hub
// that was told first.
func TestFaultPoisonOutlastsTheVMsThatKnewFirst(t *testing.T) {
	t.Parallel()
	f := readyFleet(t, 8, 9)
	fingerprint := fleet.Fingerprint{1, 2, 3}
	reporter, hub := f.Up()[7], f.Up()[0]
	reporter.Deliver(control.PoisonReported{Fingerprint: fingerprint, Until: f.Now.Add(10 * time.Minute)})
	f.Run(500 * time.Millisecond)
	reporter.Kill()
	hub.Kill()
	f.Run(20 * time.Second)
	restarted := f.Start("vm101", "a")
	within(t, f, 10*time.Second, "a new VM does not block the content", func() bool {
		return restarted.View != nil && restarted.View.PoisonedUntil[fingerprint].After(f.Now)
	})
	for _, n := range f.Up() {
		assert.Assert(t, n.View.PoisonedUntil[fingerprint].After(f.Now), "the block ended")
	}
}

// Guards against request ids that no VM can claim, and shards without an owner,
// while a coordinator leaves as planned: its successor may grant what it held only
// 5 s later, so that it has to grant that to others itself.
func TestFaultCoordinatorLeaves(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{6, 8} {
		f := readyFleet(t, vms, vms+1)
		leaver, rest := f.Up()[0], f.Up()[1:]
		leaver.Deliver(control.Leave{})
		held := newRangeCheck(f)
		throughout(t, f, 15*time.Second, "a shard has no owner or a range no holder", func() bool {
			return held() && everyShardHasOwner(f)
		})
		leaver.Kill()
		throughout(t, f, 10*time.Second, "a shard has no owner", func() bool { return everyShardHasOwner(f) })
		assert.Assert(t, allSharesHeld(f) && allServe(f, rest...))
	}
}

// newRangeCheck returns a check, to be called at every checkInterval, that no range
// is without a holder for longer than a change of its holder takes.
func newRangeCheck(f *controltest.Fleet) func() bool {
	const bound = 4 * heartbeatInterval
	var unheld [fleet.RangeCount]time.Duration
	return func() bool {
		held := make(map[int]bool)
		for _, n := range f.Up() {
			for _, r := range n.View.RangeShares {
				held[r.Range] = held[r.Range] || f.Now.Before(r.Expires)
			}
		}
		longest := time.Duration(0)
		for r := range unheld {
			unheld[r] += checkInterval
			if held[r] {
				unheld[r] = 0
			}
			longest = max(longest, unheld[r])
		}
		return longest <= bound
	}
}

// Guards against request ids that no VM can claim for seconds during a rolling
// restart: every leaving VM has just become coordinator and may not yet grant to
// others what it held.
func TestFaultRollingRestart(t *testing.T) {
	t.Parallel()
	f := readyFleet(t, 6, 7)
	held := newRangeCheck(f)
	run := func(d time.Duration) {
		throughout(t, f, d, "a range had no holder for too long", held)
		assert.Assert(t, everyShardHasOwner(f))
	}
	for i, leaver := range f.Up() {
		newNode := f.Start(fmt.Sprintf("new%d", i), leaver.VM.Zone)
		for !serves(f, newNode) || newNode.Machine.Coordinator(f.Now).VM.ID == "" {
			run(checkInterval)
		}
		leaver.Deliver(control.Leave{})
		for leaver.View.HoldsShares(leaver.VM.ID) {
			run(checkInterval)
		}
		run(2 * heartbeatInterval)
		leaver.Kill()
	}
}
