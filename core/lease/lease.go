// Package lease elects the coordinator by exclusive votes that expire. A Voter
// decides whether its VM may promise its vote to a candidate, and a Candidate counts
// the votes for its VM; both are given the time and do no input or output. Nothing
// is stored: a voter keeps its promise in memory, and a VM that may have lost a
// promise in a restart gives no vote until it has expired. A VM compares its clock
// only with stamps that it issued itself, so that clocks need not be synchronized.
package lease

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
)

// VoteTTL is how long a vote counts, from the issue of the candidate's stamp.
const VoteTTL = 3 * time.Second

const (
	driftPercent = 1 // two clocks that are each 0.5% off differ by 1%
	driftMargin  = 50 * time.Millisecond
)

// MaxDrift returns the allowance for clocks that run at different rates during a TTL.
func MaxDrift(ttl time.Duration) time.Duration {
	return ttl*driftPercent/100 + driftMargin
}

// Stamp is a time on the clock of one candidate: nanoseconds since that
// candidate started, at least 1. Zero means that there is none. It has no
// meaning on other VMs.
type Stamp int64

// Ballot is the part of a heartbeat that belongs to the election.
type Ballot struct {
	Candidate fleet.VMID // the VM that the heartbeat is sent to
	Stamp     Stamp      // the newest stamp received from Candidate; zero before the first
	Promised  bool       // the sender promises its vote to Candidate
}

// Fraction is the part of every limit that a coordinator may hand out.
type Fraction int

// The fractions. In an equal split each side hands out half of every limit.
const (
	None Fraction = iota
	Half
	Full
)

// String returns the fraction as a number.
func (f Fraction) String() string {
	switch f {
	case Half:
		return "1/2"
	case Full:
		return "1"
	default:
		return "0"
	}
}

// Leadership describes a candidate at one moment.
type Leadership struct {
	Fraction  Fraction
	Until     time.Time // lower bound: the votes counted so far last until then
	Since     time.Time // Fraction was Half or Full without a gap since then
	FullSince time.Time // Fraction was Full without a gap since then; zero when it is not
	Votes     int       // number of votes, which may include expired ones
	Unanimous bool      // every VM that can be alive votes for this candidate
}
