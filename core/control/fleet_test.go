package control_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/internal/controltest"
)

const (
	slots             = 2
	rate              = 1000.0
	burst             = 100.0
	maxStartTime      = 20 * time.Second // until a fleet serves, in tests of something else
	heartbeatInterval = 500 * time.Millisecond
	checkInterval     = 20 * time.Millisecond // between two checks of the limits
)

// newDocument returns a configuration document. Documents with different comments
// have different digests.
func newDocument(revision, maxVMs int, rate float64, comment string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\nrevision = %d\n[fleet]\nmax_vms = %d\n", comment, revision, maxVMs)
	for _, z := range []string{"a", "b", "c", "d"} {
		fmt.Fprintf(&b, "[[zone]]\nname = %q\n", z)
	}
	fmt.Fprintf(&b, "[[service]]\nname = \"stock\"\npartition_map = 1\nslots = %d\nconnections = 25\n", slots)
	for shard := range 10 {
		fmt.Fprintf(&b, "[[service.group]]\nname = \"g%02d\"\ntargets = [{address = \"127.0.0.1:%d\", zone = \"a\"}]\n", shard, 9000+shard)
	}
	for _, w := range []string{"league", "rentals"} {
		fmt.Fprintf(&b, "[[workspace]]\nname = %q\nrate = %f\nburst = %f\nkeys = [%q]\n", w, rate, burst, config.HashKey(w))
	}
	return []byte(b.String())
}

func plainDocument(revision, maxVMs int) []byte { return newDocument(revision, maxVMs, rate, "plain") }

func newFleet(vms, maxVMs int, seed int64) *controltest.Fleet {
	f := controltest.New(seed)
	f.Platform.SetDocument(1, plainDocument(1, maxVMs))
	for i, name := range controltest.Names(vms) {
		f.Start(name, zoneOf(i))
	}
	f.Platform.ListRunning()
	return f
}

func zoneOf(i int) string { return string(rune('a' + i%4)) }

// readyFleet returns a fleet in which all VMs serve and all shares are held.
func readyFleet(t *testing.T, vms, maxVMs int) *controltest.Fleet {
	t.Helper()
	f := newFleet(vms, maxVMs, 1)
	within(t, f, maxStartTime, "the fleet did not start", func() bool { return fleetServes(f) && allSharesHeld(f) })
	f.Run(3 * time.Second)
	return f
}

// within runs the fleet until a condition holds, for at most limit, and checks the
// limits on the way.
func within(t *testing.T, f *controltest.Fleet, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	for spent := time.Duration(0); ; spent += checkInterval {
		checkLimits(t, f)
		if condition() {
			return spent
		}
		assert.Assert(t, spent < limit, "%s within %v", what, limit)
		f.Run(checkInterval)
	}
}

// throughout runs the fleet for d, during which a condition must hold.
func throughout(t *testing.T, f *controltest.Fleet, d time.Duration, what string, condition func() bool) {
	t.Helper()
	for spent := time.Duration(0); spent < d; spent += checkInterval {
		f.Run(checkInterval)
		checkLimits(t, f)
		assert.Assert(t, condition(), "%s after %v", what, spent)
	}
}

// checkLimits fails the test when the unexpired shares of all processes, frozen and
// isolated ones included, exceed a limit.
func checkLimits(t *testing.T, f *controltest.Fleet) {
	t.Helper()
	held := make(map[fleet.ShardID]int)
	rates := make(map[string]float64)
	ranges := make(map[int]fleet.VMID)
	for _, n := range f.Up() {
		for _, g := range n.View.ShardShares {
			if f.Now.Before(g.Expires) {
				held[g.Shard] += g.Slots
				assert.Assert(t, held[g.Shard] <= slots, "slots of %v exceeded", g.Shard)
			}
		}
		for _, r := range n.View.RateShares {
			if f.Now.Before(r.Expires) {
				rates[r.Workspace] += r.RatePerSecond
				assert.Assert(t, rates[r.Workspace] <= 0.75*rate+1e-6, "rate of %s exceeded", r.Workspace)
			}
		}
		for _, r := range n.View.RangeShares {
			if f.Now.Before(r.Expires) {
				assert.Assert(t, ranges[r.Range] == "", "range %d is held by %s and %s", r.Range, ranges[r.Range], n.VM.ID)
				ranges[r.Range] = n.VM.ID
			}
		}
	}
}

// serves reports whether a VM accepts requests now.
func serves(f *controltest.Fleet, n *controltest.Node) bool {
	return n.Up() && n.View.Serving && !n.View.FencedAt(f.Now)
}

// fleetServes reports whether all VMs serve and list each other.
func fleetServes(f *controltest.Fleet) bool {
	up := f.Up()
	for _, n := range up {
		if !serves(f, n) || len(n.View.Addresses) != len(up) {
			return false
		}
	}
	return true
}

func allServe(f *controltest.Fleet, vms ...*controltest.Node) bool {
	for _, n := range vms {
		if !serves(f, n) {
			return false
		}
	}
	return true
}

// allSharesHeld reports whether all slots and ranges are held, and every VM knows
// an owner of each shard.
func allSharesHeld(f *controltest.Fleet) bool {
	held, ranges := make(map[fleet.ShardID]int), 0
	for _, n := range f.Up() {
		for _, g := range n.View.ShardShares {
			if f.Now.Before(g.Expires) {
				held[g.Shard] += g.Slots
			}
		}
		ranges += len(n.View.RangeShares)
	}
	for _, n := range f.Up() {
		for id, owners := range n.View.Owners {
			if len(owners) == 0 || held[id] != slots {
				return false
			}
		}
	}
	return ranges == fleet.RangeCount
}

// haveRevision reports whether VMs use a revision of the configuration.
func haveRevision(want uint64, vms ...*controltest.Node) bool {
	for _, n := range vms {
		if n.View.Config == nil || n.View.Config.Revision != want {
			return false
		}
	}
	return true
}

// isListed reports whether any of the VMs gives the address of a process to callers.
func isListed(n *controltest.Node, vms ...*controltest.Node) bool {
	for _, other := range vms {
		for _, vm := range other.View.Addresses {
			if vm.ID == n.VM.ID {
				return true
			}
		}
	}
	return false
}

// splitAt returns the first processes, among which is the coordinator of a fleet
// that has just started, and the rest.
func splitAt(f *controltest.Fleet, cut int) (first, rest []*controltest.Node) {
	up := f.Up()
	return up[:cut], up[cut:]
}

// partition lets only VMs on the same side reach each other.
func partition(f *controltest.Fleet, side []*controltest.Node) {
	in := make(map[*controltest.Node]bool)
	for _, n := range side {
		in[n] = true
	}
	f.Reaches = func(from, to *controltest.Node) bool { return in[from] == in[to] }
}
