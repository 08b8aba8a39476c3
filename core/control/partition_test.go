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

// slotsOf adds up the unexpired slots of one group on some VMs.
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

// Guards against an equal split in which a side stops, or in which both sides
// together exceed a limit, and against a healed fleet that stays split.
func TestFaultPartitionHalf(t *testing.T) {
	t.Parallel()
	f := readyFleet(t, 8, 8)
	a, b := split(f, 4)
	partition(f, a)
	within(t, f, voteWait+2*shareWait, "a side has not half of the slots", func() bool {
		return slotsOf(f, a) == slots/2 && slotsOf(f, b) == slots/2 && allServe(f, f.Up()...)
	})
	throughout(t, f, 20*time.Second, "a side lost its half", func() bool {
		return slotsOf(f, a) == slots/2 && slotsOf(f, b) == slots/2
	})
	f.Reaches = nil
	// 8 s until a silent address is tried again, then votes and shares move.
	within(t, f, 8*time.Second+2*voteWait+2*shareWait, "the sides did not join", func() bool { return serving(f) && granted(f) })
}

// Guards against a minority that uses targets, and a majority that stops.
func TestFaultPartitionMinority(t *testing.T) {
	t.Parallel()
	for _, withService := range []bool{true, false} {
		f := readyFleet(t, 8, 8)
		few, most := split(f, 3) // the coordinator is among the few
		partition(f, few)
		if !withService {
			down(f)
		}
		within(t, f, silence+voteWait+2*shareWait, "the majority did not recover", func() bool {
			return slotsOf(f, most) == slots && slotsOf(f, few) == 0 && allServe(f, most...)
		})
		throughout(t, f, 10*time.Second, "the minority uses targets", func() bool { return slotsOf(f, few) == 0 })
		f.Reaches = nil
		within(t, f, 8*time.Second+2*voteWait+2*shareWait, "the sides did not join", func() bool { return serving(f) && granted(f) })
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
				down(f, n)
				f.Reaches = func(from, to *controltest.Node) bool { return !c.cut(n, from, to) }
				within(t, f, fenceBound, "the VM was not fenced", func() bool { return !serves(f, n) })
				within(t, f, leaveBound, "the VM was still listed", func() bool { return !lists(n, rest...) })
				within(t, f, voteWait+2*shareWait, "the others did not recover", func() bool {
					return slotsOf(f, rest) == slots && allServe(f, rest...)
				})
				throughout(t, f, 5*time.Second, "the VM serves", func() bool { return !serves(f, n) && !lists(n, rest...) })
				f.Reaches, f.Platform.Down = nil, nil
				within(t, f, 8*time.Second+2*voteWait+2*shareWait, "the VM did not come back", func() bool { return serving(f) && granted(f) })
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
	f.Platform.SetText(2, plainText(2, 8))
	within(t, f, forceBound, "the text was not in force", func() bool { return revision(2, f.Up()...) })
	throughout(t, f, 20*time.Second, "a VM does not serve", func() bool { return allServe(f, f.Up()...) })
	assert.Equal(t, slotsOf(f, f.Up()), slots)
}

// Guards against an isolated VM that serves on with keys that may be withdrawn.
func TestFaultVMIsolated(t *testing.T) {
	t.Parallel()
	for _, which := range []int{0, 5} {
		f := readyFleet(t, 8, 8)
		n, rest := f.Up()[which], append(f.Up()[:which:which], f.Up()[which+1:]...)
		partition(f, []*controltest.Node{n})
		down(f, n)
		within(t, f, fenceBound, "the VM was not fenced", func() bool { return !serves(f, n) })
		f.Platform.SetText(2, plainText(2, 8))
		within(t, f, leaveBound, "the VM was still listed", func() bool { return !lists(n, rest...) })
		throughout(t, f, 10*time.Second, "the VM serves", func() bool { return !serves(f, n) })
		f.Reaches, f.Platform.Down = nil, nil
		throughout(t, f, 20*time.Second, "the VM serves with the old text", func() bool {
			return !serves(f, n) || revision(2, n)
		})
		assert.Assert(t, serving(f) && granted(f))
	}
}

// Guards against a VM that wakes from a pause and serves with a withdrawn key
// or an expired share, or takes messages from before the pause for fresh ones.
func TestFaultVMPausedWakesLate(t *testing.T) {
	t.Parallel()
	for _, which := range []int{0, 5} {
		for _, pause := range []time.Duration{1600 * time.Millisecond, 4 * time.Second, 12 * time.Second} {
			f := readyFleet(t, 8, 8)
			n, rest := f.Up()[which], append(f.Up()[:which:which], f.Up()[which+1:]...)
			n.Freeze()
			f.Run(100 * time.Millisecond)
			f.Platform.SetText(2, plainText(2, 8))
			throughout(t, f, pause, "the others do not serve", func() bool { return allServe(f, rest...) })
			assert.Assert(t, !serves(f, n), "the view from before the pause still serves")
			n.Thaw()
			throughout(t, f, 20*time.Second, "the VM serves with the old text", func() bool {
				return !serves(f, n) || revision(2, n)
			})
			assert.Assert(t, serving(f) && granted(f))
		}
	}
}

// Guards against two incarnations at one address: the old one must be gone
// everywhere, and the new one must not vote with the old one's promise.
func TestFaultVMReplacedSameAddress(t *testing.T) {
	t.Parallel()
	for _, which := range []int{0, 5} {
		f := readyFleet(t, 8, 8)
		old, rest := f.Up()[which], append(f.Up()[:which:which], f.Up()[which+1:]...)
		old.Kill()
		fresh := f.Start(string(old.VM.ID[:5]), old.VM.Zone)
		within(t, f, leaveBound, "the old incarnation was still listed", func() bool {
			return !lists(old, f.Up()...) && lists(fresh, rest...) && serves(f, fresh)
		})
		within(t, f, silence+voteWait+2*shareWait, "its shares did not move", func() bool { return serving(f) && granted(f) })
	}
}

// Guards against targets without a home for longer than the share of a lost
// home lasts, and against the loss of the other home meanwhile.
func TestFaultHomeDies(t *testing.T) {
	t.Parallel()
	for which := range 8 {
		f := readyFleet(t, 8, 9)
		dead, rest := f.Up()[which], append(f.Up()[:which:which], f.Up()[which+1:]...)
		dead.Kill()
		within(t, f, leaveBound, "entries still send to the dead home", func() bool {
			for _, n := range rest {
				for _, homes := range n.View.Owners {
					for _, id := range homes {
						if id == dead.VM.ID {
							return false
						}
					}
				}
			}
			return true
		})
		limit := silence + shareWait + 4*beat
		if which == 0 { // the coordinator: another one is elected first
			limit += voteWait + shareWait
		}
		within(t, f, limit, "its shares did not move", func() bool { return granted(f) && allServe(f, rest...) })
	}
}

// Guards against a new coordinator that moves a home while the group's other
// home still waits for the share of a lost VM: the group would have no home.
func TestFaultCoordinatorDiesGroupsKeepAHome(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{4, 6, 8} {
		f := readyFleet(t, vms, vms)
		f.Up()[0].Kill()
		throughout(t, f, 20*time.Second, "a group has no home", func() bool { return everyGroupHasAHome(f) })
	}
}

// everyGroupHasAHome reports whether some VM may use slots of each group now.
func everyGroupHasAHome(f *controltest.Fleet) bool {
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

// Guards against a restart of all VMs that overloads the service, and against
// one that serves before the votes and shares of the old VMs have ended.
func TestFaultMassRestart(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		vms, maxVMs int
		limit       time.Duration
	}{
		{8, 8, voteWait}, {8, 9, voteWait + shareWait + 4*beat},
		{64, 64, voteWait}, {560, 560, voteWait},
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
		took := within(t, f, c.limit, "the fleet did not start", func() bool { return serving(f) && granted(f) })
		t.Logf("%d of %d VMs: all shares held after %v, %d calls to the service in the worst second", c.vms, c.maxVMs, took, f.Platform.PeakCalls())
		assert.Assert(t, f.Platform.PeakCalls() < serviceLimit, "%d calls in a second", f.Platform.PeakCalls())
	}
}

// Guards against a start gate that opens with an old text: the service is reset
// while a VM starts, and the fleet has a newer one.
func TestFaultStartWithoutPeers(t *testing.T) {
	t.Parallel()
	f := readyFleet(t, 8, 9)
	f.Platform.SetText(2, plainText(2, 9))
	within(t, f, forceBound, "revision 2 was not in force", func() bool { return revision(2, f.Up()...) })
	f.Platform.SetText(1, plainText(1, 9))
	fresh := f.Start("vm100", "a")
	partition(f, []*controltest.Node{fresh})
	throughout(t, f, 4900*time.Millisecond, "it serves before it has compared", func() bool { return !serves(f, fresh) })
	f.Reaches = nil
	within(t, f, 8*time.Second, "it does not take the newer text", func() bool { return serves(f, fresh) && revision(2, fresh) })
}

// Guards against a request content that is blocked on some VMs only.
func TestFaultPoisonSpreads(t *testing.T) {
	t.Parallel()
	f := readyFleet(t, 64, 64)
	print := fleet.Fingerprint{1, 2, 3}
	f.Up()[7].Do(control.PoisonReported{Fingerprint: print, Until: f.Now.Add(10 * time.Minute)})
	blocked := func() bool {
		for _, n := range f.Up() {
			if !n.View.PoisonedUntil[print].After(f.Now) {
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

// Guards against request ids that nobody can claim, and groups without a home,
// while a coordinator leaves as planned: its successor may grant what it held
// only 5 s later, so it has to hand that over itself.
func TestFaultCoordinatorLeaves(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{6, 8} {
		f := readyFleet(t, vms, vms+1)
		leaver, rest := f.Up()[0], f.Up()[1:]
		leaver.Do(control.Leave{})
		held := rangesHeld(f)
		throughout(t, f, 15*time.Second, "a group has no home or a range no holder", func() bool {
			return held() && everyGroupHasAHome(f)
		})
		leaver.Kill()
		throughout(t, f, 10*time.Second, "a group has no home", func() bool { return everyGroupHasAHome(f) })
		assert.Assert(t, granted(f) && allServe(f, rest...))
	}
}

// rangesHeld returns a check, to be made at every grain, that no range is without
// a holder for longer than it takes to change its holder.
func rangesHeld(f *controltest.Fleet) func() bool {
	const bound = 4 * beat
	var idle [fleet.RangeCount]time.Duration
	return func() bool {
		held := make(map[int]bool)
		for _, n := range f.Up() {
			for _, r := range n.View.RangeShares {
				held[r.Range] = held[r.Range] || f.Now.Before(r.Expires)
			}
		}
		longest := time.Duration(0)
		for r := range idle {
			idle[r] += grain
			if held[r] {
				idle[r] = 0
			}
			longest = max(longest, idle[r])
		}
		return longest <= bound
	}
}

// Guards against request ids that nobody can claim for seconds during a rolling
// restart: every VM that leaves has just become coordinator and may not yet
// grant to others what it held.
func TestFaultRollingRestart(t *testing.T) {
	t.Parallel()
	f := readyFleet(t, 6, 7)
	held := rangesHeld(f)
	run := func(d time.Duration) {
		throughout(t, f, d, "a range had no holder for too long", held)
		assert.Assert(t, everyGroupHasAHome(f))
	}
	for i, leaver := range f.Up() {
		fresh := f.Start(fmt.Sprintf("new%d", i), leaver.VM.Zone)
		for !serves(f, fresh) || fresh.Machine.Coordinator(f.Now).VM.ID == "" {
			run(grain)
		}
		leaver.Do(control.Leave{})
		for leaver.View.Holds(leaver.VM.ID) {
			run(grain)
		}
		run(2 * beat)
		leaver.Kill()
	}
}
