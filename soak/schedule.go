package main

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"time"
)

// kind is the kind of a fault or of a planned operation.
type kind string

// The kinds of steps. All but storeRewound, storeCut and poisoned are in kinds.
const (
	killVM        kind = "kill-vm"
	stopVM        kind = "stop-vm" // planned restart: SIGTERM, then a new process
	pauseVM       kind = "pause-vm"
	reloadVM      kind = "reload-vm"
	storeRefuses  kind = "store-refuses"
	storeResets   kind = "store-resets"
	storeSilent   kind = "store-silent"
	storeForgets  kind = "store-forgets"
	storeRewound  kind = "store-rewound" // returns from a copy that is as old as the step lasts
	storeCut      kind = "store-cut"     // one or two VMs are cut off from it, and a target leaves
	poisoned      kind = "poisoned"      // a request that crashes targets comes again and again from then on
	targetKilled  kind = "target-killed" // a new target replaces it
	targetDrains  kind = "target-drains"
	targetDelayed kind = "target-delayed"
	targetResets  kind = "target-resets"
	targetSilent  kind = "target-silent"
	targetOneWay  kind = "target-one-way"
	keyWithdrawn  kind = "key-withdrawn"
	configChanged kind = "config-changed"
	zoneOut       kind = "zone-out"
)

var kinds = []kind{
	killVM, stopVM, pauseVM, reloadVM, storeRefuses, storeResets, storeSilent, storeForgets, targetKilled, targetDrains,
	targetDelayed, targetResets, targetSilent, targetOneWay, keyWithdrawn, configChanged, zoneOut,
}

// step is one fault. Index modulo the number of VMs, targets or zones selects the
// one that is affected.
type step struct {
	At       time.Duration
	Kind     kind
	Index    int
	Duration time.Duration
}

// String formats the step for the list of the schedule and the timeline of a report.
func (s step) String() string {
	return fmt.Sprintf("%6.2fs  %-14s %d for %v", s.At.Seconds(), s.Kind, s.Index, s.Duration)
}

const (
	warmUpTime       = 2 * time.Second // before the first fault, for the fleet to start serving
	faultsPerSecond  = 1.0             // most faults last longer than a second, so they overlap
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// poisonBlockTime is the time from the first request that crashes targets after which
	// none may reach targets.
	poisonBlockTime    = 5500 * time.Millisecond
	poisonKillInterval = 3 * time.Second
)

// poisonSteps returns the start of a request that crashes targets, and kills of one VM
// after the other from when it has to be blocked.
func poisonSteps(random *rand.Rand, duration time.Duration) []step {
	at := warmUpTime + time.Duration(random.Int63n(int64(time.Second)))
	steps := []step{{At: at, Kind: poisoned}}
	first := random.Intn(1 << 16)
	for at += poisonBlockTime; at < duration; at += poisonKillInterval {
		steps = append(steps, step{At: at, Kind: killVM, Index: first + len(steps)})
	}
	return steps
}

// lateIndex draws the index of a step. That of storeRewound, which affects no single VM,
// is zero.
func lateIndex(random *rand.Rand, k kind) int {
	if k == storeRewound {
		return 0
	}
	return random.Intn(1 << 16)
}

// schedule returns the faults of a seed in the order of their times. It is
// deterministic.
func schedule(seed int64, duration time.Duration) []step {
	random := rand.New(rand.NewSource(seed))
	var steps []step
	for range int((duration - warmUpTime).Seconds() * faultsPerSecond) {
		steps = append(steps, step{
			At:       warmUpTime + time.Duration(random.Int63n(int64(duration-warmUpTime))),
			Kind:     kinds[random.Intn(len(kinds))],
			Index:    random.Intn(1 << 16),
			Duration: minFaultDuration + time.Duration(random.Int63n(int64(maxFaultDuration-minFaultDuration))),
		})
	}
	// Drawn last, so that the other steps of a seed stay as they were.
	for _, k := range []kind{storeRewound, storeCut, storeCut} {
		if duration > warmUpTime && random.Intn(2) == 0 {
			steps = append(steps, step{
				At: warmUpTime + time.Duration(random.Int63n(int64(duration-warmUpTime))), Kind: k, Index: lateIndex(random, k),
				Duration: minFaultDuration + time.Duration(random.Int63n(int64(maxFaultDuration-minFaultDuration))),
			})
		}
	}
	if duration > warmUpTime && random.Intn(2) == 0 {
		steps = append(steps, poisonSteps(random, duration)...)
	}
	slices.SortFunc(steps, func(a, b step) int { return cmp.Compare(a.At, b.At) })
	return steps
}
