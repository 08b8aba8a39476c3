package lease

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
)

// Voter decides to which candidate this VM may promise its vote. It holds at most
// one unexpired promise.
type Voter struct {
	votesFrom time.Time // when the promises of an earlier incarnation have expired
	stamps    map[fleet.VMID]receivedStamp
	promised  fleet.VMID
	until     time.Time // end of the promise on this VM's clock
	leaving   bool
}

// receivedStamp is the newest stamp of a candidate and when it arrived here.
type receivedStamp struct {
	stamp      Stamp
	receivedAt time.Time
}

// NewVoter returns the voter of a VM that started at now.
func NewVoter(now time.Time) *Voter {
	return &Voter{votesFrom: now.Add(VoteTTL + MaxDrift(VoteTTL)), stamps: make(map[fleet.VMID]receivedStamp)}
}

// RecordStamp records the stamp in a reply of a candidate that arrived at now.
func (v *Voter) RecordStamp(now time.Time, candidate fleet.VMID, stamp Stamp) {
	if stamp > v.stamps[candidate].stamp {
		v.stamps[candidate] = receivedStamp{stamp: stamp, receivedAt: now}
	}
}

// Forget drops the stamp of a VM that is gone. A promise to it stays until it expires.
func (v *Voter) Forget(candidate fleet.VMID) { delete(v.stamps, candidate) }

// Ballot returns the ballot of a heartbeat sent to candidate at now. It promises the
// vote if no other candidate holds it and the candidate's stamp is recent enough.
func (v *Voter) Ballot(now time.Time, candidate fleet.VMID) Ballot {
	last := v.stamps[candidate]
	b := Ballot{Candidate: candidate, Stamp: last.stamp}
	// The candidate counts the vote until stamp + VoteTTL on its clock, and issued
	// the stamp before it arrived here, so a promise counted from the arrival lasts
	// long enough. If it were counted from now, heartbeats to a dead candidate would
	// prolong it.
	until := last.receivedAt.Add(VoteTTL + MaxDrift(VoteTTL))
	if last.stamp == 0 || !now.Before(until) || !v.canPromise(now, candidate) {
		return b
	}
	v.promised, v.until = candidate, until
	b.Promised = true
	return b
}

// canPromise reports whether this VM may promise its vote to candidate at now.
func (v *Voter) canPromise(now time.Time, candidate fleet.VMID) bool {
	if v.leaving || now.Before(v.votesFrom) {
		return false
	}
	return v.promised == candidate || !now.Before(v.until)
}

// Promised returns the VM that holds this VM's promise at now, empty if none does.
func (v *Voter) Promised(now time.Time) fleet.VMID {
	if now.Before(v.until) {
		return v.promised
	}
	return ""
}

// Release ends the promise to a candidate that has reported its resignation and so
// counts no votes any more.
func (v *Voter) Release(candidate fleet.VMID) {
	if v.promised == candidate {
		v.until = time.Time{}
	}
	delete(v.stamps, candidate)
}

// Leave ends voting for good. A promise already made holds until it expires.
func (v *Voter) Leave() { v.leaving = true }
