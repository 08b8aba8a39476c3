// Package grant divides the limits of the fleet into expiring shares. The
// Allocator runs on the coordinator and decides who holds what; the Holder runs
// on every VM and keeps what was granted to it. They talk by a Report in a
// heartbeat and Grants in its reply. Both carry only changes, so that their
// size does not grow with the number of workspaces.
//
// A share is a part of a limit, not a number of requests or slots: the holder
// applies its part to its own accepted configuration. A changed limit therefore
// takes effect on each VM when that VM accepts the text, and all parts together
// never exceed the greatest limit still in force on any VM.
package grant

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/lease"
)

// ShareTTL is how long a share lasts, from the moment its holder sent the
// heartbeat that the grant answers.
const ShareTTL = 5 * time.Second

// WholeParts is the whole of a workspace's divisible rate, in parts.
const WholeParts = 1_000_000

// reserve is how long after a reply the coordinator counts what it granted, and
// how long after its election it hands out no share that nobody has reported.
var reserve = ShareTTL + lease.MaxDrift(ShareTTL)

// Limits on the size of one message. Reductions that safety demands are not
// limited.
const (
	maxRateChanges = 16
	maxHomeChanges = 64
	maxDemands     = 16
)

// ShardShare is the right to use the targets of a group as one of its homes.
type ShardShare struct {
	Shard      fleet.ShardID
	OwnerIndex int  // index of this home
	Owners     int  // number of homes that divide the group: 1 or 2
	Half       bool // only half of the group is divided, the other half belongs to the other side of a split
}

// RatePart is a part of a workspace's divisible rate and burst.
type RatePart struct {
	Workspace string
	Parts     int // of WholeParts
}

// Demand is the rate at which callers send requests of a workspace to a VM,
// refused ones included.
type Demand struct {
	Workspace     string
	RatePerSecond float64
}

// RangeSet is a set of request-id ranges, one bit each.
type RangeSet uint64

// Has reports whether the set contains a range.
func (s RangeSet) Has(r int) bool { return s>>r&1 == 1 }

// Report is the part of a heartbeat that tells the coordinator what the sender
// holds and needs.
type Report struct {
	Seq             uint64 // number of this report, rising
	Base            uint64 // version of the shares that all tasks of the sender use; 0 is none at all
	Full            bool   // the lists below are all shares of version Base
	ShardShares     []ShardShare
	Rates           []RatePart
	Ranges          RangeSet
	Demand          []Demand // changes
	DirectoryDigest uint64   // digest of the sender's directory
}

// Grants is the part of a reply that changes and renews the shares of the VM
// that sent the Report.
type Grants struct {
	Seq         uint64 // report that is answered; becomes the version of the shares
	Base        uint64 // version that the changes apply to
	Renew       bool   // the shares last ShareTTL from the sending of the report; false changes nothing
	Resync      bool   // the next report must be Full
	ShardShares []ShardShare
	DropShards  []fleet.ShardID
	Rates       []RatePart // zero parts take the share away
	Ranges      RangeSet   // all ranges held
	Directory   *DirectoryUpdate
}
