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

// Guards against every sequence of faults that breaks a cap, starts work where
// none may start, loses a reply, answers twice, runs a non-idempotent request
// twice or lies about it. The checks are in world.
func TestGroupKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, propertyReplicas)
		w.assign.Share.Owners = rapid.IntRange(1, 2).Draw(t, "homes")
		w.assign.Share.Slots /= w.assign.Share.Owners
		w.begin()
		var subs []*simSub
		for range rapid.IntRange(5, 60).Draw(t, "events") {
			subs = append(subs, w.randomEvent(t)...)
			w.run(time.Duration(rapid.IntRange(0, 60000).Draw(t, "us")) * time.Microsecond)
		}
		w.heal()
		w.run(propertySettle)
		w.checkSettled(subs)
	})
}

// checkSettled runs after all faults have ended and all deadlines have passed.
func (w *world) checkSettled(subs []*simSub) {
	for _, s := range subs {
		if !s.cancelled && len(s.replies) != 1 {
			w.t.Fatalf("sub-request %d has %d replies", s.ID.Seq, len(s.replies))
		}
	}
	if d := w.g.Dump(); d.SubRequests != 0 || d.Alone != 0 {
		w.t.Fatalf("%d sub-requests are left", d.SubRequests)
	}
	if attempts, _ := w.g.InFlight(); attempts != 0 {
		w.t.Fatalf("%d attempts are left", attempts)
	}
	for _, d := range w.g.Dump().Targets {
		if d.Usable && d.Ready == 0 {
			w.t.Fatalf("no connection to %s is ready", d.Address)
		}
	}
	last := w.submit(func(r *scatter.SubRequest) { r.Fingerprint = fleet.Fingerprint{200, 200} })
	w.run(2 * time.Second)
	if !last.ok() {
		w.t.Fatalf("the healed group does not answer: %+v %v", last.replies, last.refusal())
	}
}

func (w *world) randomEvent(t *rapid.T) []*simSub {
	target := w.target(rapid.IntRange(0, propertyReplicas-1).Draw(t, "target"))
	switch rapid.IntRange(0, 12).Draw(t, "kind") {
	case 0, 1, 2, 3, 4:
		return w.randomBurst(t)
	case 5:
		w.cancelOne(rapid.IntRange(0, 50).Draw(t, "victim"))
	case 6, 7, 8:
		w.randomFault(t, target)
	case 9:
		w.randomAssign(t)
	case 10:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause ms")) * time.Millisecond)
	case 11:
		w.heal()
	case 12:
		target.service = simServices[rapid.IntRange(0, len(simServices)-1).Draw(t, "service")]
	}
	return nil
}

var simServices = []func(int) time.Duration{
	func(int) time.Duration { return simService },
	func(int) time.Duration { return 40 * simService },
	func(n int) time.Duration { return time.Duration(n%7) * simService },
	func(int) time.Duration { return 0 },
}

func (w *world) randomBurst(t *rapid.T) []*simSub {
	n := rapid.IntRange(1, 30).Draw(t, "burst")
	idempotent, alone := rapid.Bool().Draw(t, "idempotent"), rapid.IntRange(0, 9).Draw(t, "alone") == 0
	print := byte(rapid.IntRange(0, 3).Draw(t, "print"))
	wait := time.Duration(rapid.IntRange(0, 2000).Draw(t, "deadline ms")) * time.Millisecond
	var subs []*simSub
	for range n {
		subs = append(subs, w.submit(func(r *scatter.SubRequest) {
			r.Idempotent, r.Isolated, r.Deadline = idempotent, alone, w.now.Add(wait)
			r.Workspace = string(rune('p' + w.seq%3))
			if print > 0 {
				r.Fingerprint = fleet.Fingerprint{print}
			}
		}))
	}
	return subs
}

func (w *world) cancelOne(n int) {
	for _, id := range slices.SortedFunc(mapsKeys(w.subs), func(a, b scatter.SubID) int { return int(a.Seq) - int(b.Seq) }) {
		if s := w.subs[id]; len(s.replies) == 0 && !s.cancelled {
			if n--; n < 0 {
				w.cancel(s)
				return
			}
		}
	}
}

func mapsKeys(m map[scatter.SubID]*simSub) func(func(scatter.SubID) bool) {
	return func(yield func(scatter.SubID) bool) {
		for id := range m {
			if !yield(id) {
				return
			}
		}
	}
}

func (w *world) randomFault(t *rapid.T, target *simTarget) {
	switch rapid.IntRange(0, 12).Draw(t, "fault") {
	case 0:
		w.crash(target, time.Duration(rapid.IntRange(1, 800).Draw(t, "down ms"))*time.Millisecond)
	case 1:
		target.state = route.TargetDraining
	case 2:
		target.state = route.TargetCold
	case 3:
		target.shed = true
	case 4:
		target.hung = true
	case 5:
		target.mute, target.muteFrom = true, 1<<40
	case 6:
		target.crossed = 3
	case 7:
		target.cut = 3
	case 8:
		target.keepsOn = true
	case 9:
		target.versions = []uint64{simVersion + 1}
	case 10:
		target.crashOn[fleet.Fingerprint{1}] = true
	case 11:
		target.fails = true
	case 12:
		target.lagBoot = target.boot
	}
}

func (w *world) randomAssign(t *rapid.T) {
	switch rapid.IntRange(0, 4).Draw(t, "assign") {
	case 0:
		zone := string(rune('a' + rapid.IntRange(0, 2).Draw(t, "zone")))
		w.assign.ZonesOut[zone] = !w.assign.ZonesOut[zone]
	case 1:
		w.assign.Share.Slots = rapid.IntRange(0, 4).Draw(t, "slots")
	case 2:
		w.assign.Share.Connections = rapid.IntRange(1, 24).Draw(t, "connections")
	case 3:
		w.assign.Share.Expires = w.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "expires ms")) * time.Millisecond)
	case 4:
		i := rapid.IntRange(0, len(w.assign.Shard.Targets)-1).Draw(t, "leaves")
		if len(w.assign.Shard.Targets) > 1 {
			w.assign.Shard.Targets = slices.Delete(slices.Clone(w.assign.Shard.Targets), i, i+1)
		}
	}
	w.reassign()
}

// heal ends all faults.
func (w *world) heal() {
	w.assign.Shard.Targets = nil
	for i := range propertyReplicas {
		old := w.target(i)
		next := w.addTarget(i)
		kept := *next
		kept.boot, kept.up, kept.known, kept.running, kept.conns = old.boot, old.up, old.known, old.running, old.conns
		kept.max, kept.opened, kept.ran = old.max, old.opened, old.ran
		*old = kept
		w.targets[old.address] = old
	}
	w.assign.ZonesOut = map[string]bool{}
	w.assign.Share.Slots, w.assign.Share.Connections = 4/w.assign.Share.Owners, 24
	w.assign.Share.Expires = w.now.Add(time.Hour)
	w.reassign()
}
