package lease

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
)

// Voter decides to whom this VM may promise its vote.
type Voter struct {
	from     time.Time // first moment at which promises of an earlier incarnation have expired
	stamps   map[fleet.VMID]heard
	promised fleet.VMID
	until    time.Time // end of the promise on this VM's clock
	leaving  bool
}

// heard is the newest stamp of a candidate and when it arrived here.
type heard struct {
	stamp Stamp
	at    time.Time
}

// NewVoter returns the voter of a VM that started at now.
func NewVoter(now time.Time) *Voter {
	return &Voter{from: now.Add(VoteTTL + MaxDrift(VoteTTL)), stamps: make(map[fleet.VMID]heard)}
}

// RecordStamp records the stamp in a reply of a candidate that arrived at now.
func (v *Voter) RecordStamp(now time.Time, candidate fleet.VMID, stamp Stamp) {
	if stamp > v.stamps[candidate].stamp {
		v.stamps[candidate] = heard{stamp: stamp, at: now}
	}
}

// Forget drops the stamps of a VM that is gone. A promise to it stays.
func (v *Voter) Forget(candidate fleet.VMID) { delete(v.stamps, candidate) }

// Ballot returns what a heartbeat sent to candidate at now carries, and
// promises the vote when that is allowed.
func (v *Voter) Ballot(now time.Time, candidate fleet.VMID) Ballot {
	h := v.stamps[candidate]
	b := Ballot{Candidate: candidate, Stamp: h.stamp}
	// The candidate counts the vote until stamp + VoteTTL on its clock, and took
	// the stamp before it arrived here. A promise from then on is long enough;
	// counted from now, heartbeats to a dead candidate would prolong it.
	until := h.at.Add(VoteTTL + MaxDrift(VoteTTL))
	if h.stamp == 0 || !now.Before(until) || !v.may(now, candidate) {
		return b
	}
	v.promised, v.until = candidate, until
	b.Promised = true
	return b
}

func (v *Voter) may(now time.Time, candidate fleet.VMID) bool {
	if v.leaving || now.Before(v.from) {
		return false
	}
	return v.promised == candidate || !now.Before(v.until)
}

// Promised returns the VM that holds this VM's promise at now, empty when none does.
func (v *Voter) Promised(now time.Time) fleet.VMID {
	if now.Before(v.until) {
		return v.promised
	}
	return ""
}

// Release ends the promise to a candidate that has said that it counts no
// votes any more.
func (v *Voter) Release(candidate fleet.VMID) {
	if v.promised == candidate {
		v.until = time.Time{}
	}
	delete(v.stamps, candidate)
}

// Leave ends voting for good. A promise already made stays with its candidate
// until it expires.
func (v *Voter) Leave() { v.leaving = true }
