package serve

import (
	"slices"
	"time"
)

// MissingCause says why the answer of a fan-out lacks a shard.
type MissingCause uint8

// The causes of missing shards, in the order in which they are looked for.
const (
	MissingNoTarget    MissingCause = iota + 1 // the service has no target in service
	MissingFailed                              // its attempts failed and no retry was left
	MissingTargetsSlow                         // all its targets are avoided, unresponsive or slow
	MissingQueued                              // no attempt was made, as no target was free
	MissingLateHedged                          // late although it was hedged
	MissingRelaySilent                         // the VM that was to run it has sent no reply
	MissingHedgeBudget                         // late; the retry budget had nothing left for a hedge
	MissingHedgeTarget                         // late; no other target had a free connection for a hedge
	MissingLate                                // late before a hedge was due, or the route allows none
)

var missingCauseNames = [...]string{
	"", "no_target", "failed", "targets_slow", "queued", "late_hedged", "relay_silent", "hedge_no_budget", "hedge_no_target", "late",
}

// String returns the name used in logs and metrics.
func (c MissingCause) String() string { return missingCauseNames[c] }

// slowTargetFactor is the latency of a target, as a multiple of the route's median,
// from which it counts as slow. A fan-out leaves its zone for one that is so much
// faster.
const slowTargetFactor = 2.0

// missingCauses returns the cause of each shard that an answer lacks, in the order of
// the shards. It is called while the sub-requests still run.
func (e *Engine) missingCauses(now time.Time, q *query) []MissingCause {
	var causes []MissingCause
	for _, sub := range q.subRequests {
		if !sub.succeeded() {
			causes = append(causes, e.missingCause(now, sub))
		}
	}
	return causes
}

func (e *Engine) missingCause(now time.Time, sub *subRequest) MissingCause {
	targets := sub.service.targets
	switch {
	case !slices.ContainsFunc(targets, func(t *target) bool { return t.registered(now) }):
		return MissingNoTarget
	case sub.done && sub.delivered+sub.possibleRuns > 0:
		return MissingFailed
	case sub.done, !slices.ContainsFunc(targets, func(t *target) bool { return t.isFast(now) }):
		return MissingTargetsSlow
	case sub.pending() == 0:
		return MissingQueued
	case sub.hedged:
		return MissingLateHedged
	case sub.relay != nil && !sub.relay.replied:
		return MissingRelaySilent
	case sub.hedgeDenied != 0:
		return sub.hedgeDenied
	}
	return MissingLate
}

// isFast reports whether the target is expected to answer in about the usual time.
func (t *target) isFast(now time.Time) bool {
	return t.registered(now) && !t.ejected(now) && !t.backsOff(now) && !t.stalled(now) &&
		t.expectedSlowness(now)*t.expectedPace(now) < slowTargetFactor
}
