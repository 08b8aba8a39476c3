package route_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/route"
	"github.com/anvilfork/anvilfork/core/scatter"
)

const (
	propertyReplicas = 4
	propertySettle   = 20 * time.Second
)

// Guards against any sequence of faults after which the Shard exceeds a limit,
// starts an attempt where it must not, loses a reply, replies twice, runs a
// non-idempotent request twice or reports a wrong outcome. The checks are in
// simulation.
func TestGroupKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, propertyReplicas)
		sim.assign.Share.OwnerCount = rapid.IntRange(1, 2).Draw(t, "homes")
		sim.assign.Share.Slots /= sim.assign.Share.OwnerCount
		sim.begin()
		var subs []*simSub
		for range rapid.IntRange(5, 60).Draw(t, "events") {
			subs = append(subs, sim.randomEvent(t)...)
			sim.run(time.Duration(rapid.IntRange(0, 60000).Draw(t, "us")) * time.Microsecond)
		}
		sim.clearFaults()
		sim.run(propertySettle)
		sim.checkSettled(subs)
	})
}

// checkSettled checks that nothing is left and that a new sub-request is answered,
// after all faults have ended and all deadlines have passed.
func (sim *simulation) checkSettled(subs []*simSub) {
	for _, s := range subs {
		if !s.cancelled && len(s.replies) != 1 {
			sim.t.Fatalf("sub-request %d has %d replies", s.ID.Seq, len(s.replies))
		}
	}
	if d := sim.shard.Dump(); d.SubRequests != 0 || d.WaitingSuspects != 0 {
		sim.t.Fatalf("%d sub-requests are left", d.SubRequests)
	}
	if attempts, _ := sim.shard.InFlight(); attempts != 0 {
		sim.t.Fatalf("%d attempts are left", attempts)
	}
	for _, d := range sim.shard.Dump().Targets {
		if d.Usable && d.Ready == 0 {
			sim.t.Fatalf("no connection to %s is ready", d.Address)
		}
	}
	last := sim.submit(func(r *scatter.SubRequest) { r.Fingerprint = fleet.Fingerprint{200, 200} })
	sim.run(2 * time.Second)
	if !last.ok() {
		sim.t.Fatalf("the shard does not answer after the faults ended: %+v %v", last.replies, last.refusal())
	}
}

func (sim *simulation) randomEvent(t *rapid.T) []*simSub {
	target := sim.target(rapid.IntRange(0, propertyReplicas-1).Draw(t, "target"))
	switch rapid.IntRange(0, 12).Draw(t, "kind") {
	case 0, 1, 2, 3, 4:
		return sim.randomBurst(t)
	case 5:
		sim.cancelOne(rapid.IntRange(0, 50).Draw(t, "victim"))
	case 6, 7, 8:
		sim.randomFault(t, target)
	case 9:
		sim.randomAssign(t)
	case 10:
		sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause ms")) * time.Millisecond)
	case 11:
		sim.clearFaults()
	case 12:
		target.serviceTime = simServiceTimes[rapid.IntRange(0, len(simServiceTimes)-1).Draw(t, "service")]
	}
	return nil
}

var simServiceTimes = []func(int) time.Duration{
	func(int) time.Duration { return simServiceTime },
	func(int) time.Duration { return 40 * simServiceTime },
	func(n int) time.Duration { return time.Duration(n%7) * simServiceTime },
	func(int) time.Duration { return 0 },
}

func (sim *simulation) randomBurst(t *rapid.T) []*simSub {
	n := rapid.IntRange(1, 30).Draw(t, "burst")
	idempotent, isolated := rapid.Bool().Draw(t, "idempotent"), rapid.IntRange(0, 9).Draw(t, "alone") == 0
	content := byte(rapid.IntRange(0, 3).Draw(t, "print"))
	wait := time.Duration(rapid.IntRange(0, 2000).Draw(t, "deadline ms")) * time.Millisecond
	var subs []*simSub
	for range n {
		subs = append(subs, sim.submit(func(r *scatter.SubRequest) {
			r.Idempotent, r.Isolated, r.Deadline = idempotent, isolated, sim.now.Add(wait)
			r.Workspace = string(rune('p' + sim.subSeq%3))
			if content > 0 {
				r.Fingerprint = fleet.Fingerprint{content}
			}
		}))
	}
	return subs
}

func (sim *simulation) cancelOne(n int) {
	for _, id := range slices.SortedFunc(keys(sim.subs), func(a, b scatter.SubID) int { return int(a.Seq) - int(b.Seq) }) {
		if s := sim.subs[id]; len(s.replies) == 0 && !s.cancelled {
			if n--; n < 0 {
				sim.cancel(s)
				return
			}
		}
	}
}

func keys(m map[scatter.SubID]*simSub) func(func(scatter.SubID) bool) {
	return func(yield func(scatter.SubID) bool) {
		for id := range m {
			if !yield(id) {
				return
			}
		}
	}
}

func (sim *simulation) randomFault(t *rapid.T, target *simTarget) {
	switch rapid.IntRange(0, 12).Draw(t, "fault") {
	case 0:
		sim.crash(target, time.Duration(rapid.IntRange(1, 800).Draw(t, "down ms"))*time.Millisecond)
	case 1:
		target.state = route.TargetDraining
	case 2:
		target.state = route.TargetCold
	case 3:
		target.shed = true
	case 4:
		target.statusHangs = true
	case 5:
		target.mute, target.muteBelow = true, 1<<40
	case 6:
		target.mismatchedAnswers = 3
	case 7:
		target.truncatedAnswers = 3
	case 8:
		target.ignoresCancel = true
	case 9:
		target.versions = []uint64{simVersion + 1}
	case 10:
		target.crashOn[fleet.Fingerprint{1}] = true
	case 11:
		target.fails = true
	case 12:
		target.staleBoot = target.boot
	}
}

func (sim *simulation) randomAssign(t *rapid.T) {
	switch rapid.IntRange(0, 4).Draw(t, "assign") {
	case 0:
		zone := string(rune('a' + rapid.IntRange(0, 2).Draw(t, "zone")))
		sim.assign.ZonesOut[zone] = !sim.assign.ZonesOut[zone]
	case 1:
		sim.assign.Share.Slots = rapid.IntRange(0, 4).Draw(t, "slots")
	case 2:
		sim.assign.Share.Connections = rapid.IntRange(1, 24).Draw(t, "connections")
	case 3:
		sim.assign.Share.Expires = sim.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "expires ms")) * time.Millisecond)
	case 4:
		i := rapid.IntRange(0, len(sim.assign.Shard.Targets)-1).Draw(t, "leaves")
		if len(sim.assign.Shard.Targets) > 1 {
			sim.assign.Shard.Targets = slices.Delete(slices.Clone(sim.assign.Shard.Targets), i, i+1)
		}
	}
	sim.reassign()
}

// clearFaults ends all faults and restores the configuration and the share.
func (sim *simulation) clearFaults() {
	sim.assign.Shard.Targets = nil
	for i := range propertyReplicas {
		old := sim.target(i)
		next := sim.addTarget(i)
		kept := *next
		kept.boot, kept.up, kept.reported, kept.running, kept.conns = old.boot, old.up, old.reported, old.running, old.conns
		kept.maxRunning, kept.connsOpened, kept.executed = old.maxRunning, old.connsOpened, old.executed
		*old = kept
		sim.targets[old.address] = old
	}
	sim.assign.ZonesOut = map[string]bool{}
	sim.assign.Share.Slots, sim.assign.Share.Connections = 4/sim.assign.Share.OwnerCount, 24
	sim.assign.Share.Expires = sim.now.Add(time.Hour)
	sim.reassign()
}
