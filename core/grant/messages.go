// Package grant divides the limits of the fleet into expiring shares. The
// Allocator runs on the coordinator and decides which VM holds which share; the
// Holder runs on every VM and keeps the shares granted to it. Both are given the
// time, the configuration and the messages, and do no input or output. They
// exchange a Report in a heartbeat and Grants in its reply. Both messages carry
// only changes, so that their size does not grow with the number of workspaces.
//
// A share is a part of a limit, not a number of requests or slots: the holder
// applies its part to its own accepted configuration. A changed limit therefore
// takes effect on each VM when that VM accepts the configuration document, and
// all parts together never exceed the greatest limit still in force on any VM.
package grant

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/lease"
)

// ShareTTL is the lifetime of a share, counted from the moment its holder sent
// the heartbeat that the grant answers.
const ShareTTL = 5 * time.Second

// WholeParts is the whole of a workspace's divisible rate, in parts.
const WholeParts = 1_000_000

// reservationTTL is how long after a reply the coordinator counts the granted
// shares as in use, and how long after its election it grants no share that no
// VM has reported.
var reservationTTL = ShareTTL + lease.MaxDrift(ShareTTL)

// Limits on the number of changes in one message. Reductions that keep the
// fleet within its limits are not counted.
const (
	maxRateChanges  = 16
	maxShardChanges = 64
	maxDemands      = 16
)

// ShardShare is the right to use the targets of a shard as one of its owners.
type ShardShare struct {
	Shard      fleet.ShardID
	OwnerIndex int  // 0 for the primary, 1 for the secondary owner
	OwnerCount int  // number of owners that divide the shard's limits: 1 or 2
	Halved     bool // only half of the limits is divided, the other half belongs to the other side of an equal split
}

// RatePart is the part of a workspace's divisible rate and burst that a VM holds.
type RatePart struct {
	Workspace string
	Parts     int // out of WholeParts
}

// Demand is the rate at which callers send requests of a workspace to a VM,
// including refused requests.
type Demand struct {
	Workspace     string
	RatePerSecond float64
}

// RangeSet is a set of request-id ranges, one bit each.
type RangeSet uint64

// Has reports whether the set contains a range.
func (s RangeSet) Has(r int) bool { return s>>r&1 == 1 }

// Report is the part of a heartbeat that states which shares the sender holds
// and which demand it has.
type Report struct {
	Seq             uint64 // number of this report, strictly increasing
	Base            uint64 // version of the shares that all tasks of the sender have applied; 0 for no shares
	Full            bool   // ShardShares, Rates and Ranges list all shares of version Base
	ShardShares     []ShardShare
	Rates           []RatePart
	Ranges          RangeSet
	Demand          []Demand // changed values, and a few repeated ones
	DirectoryDigest uint64   // Digest of the sender's Directory
}

// Grants is the part of a reply that changes and renews the shares of the VM
// that sent the Report.
type Grants struct {
	Seq         uint64 // number of the answered report; becomes the version of the shares
	Base        uint64 // version to which the changes apply
	Renew       bool   // shares are valid for ShareTTL from the sending of the report; when false, the shares stay as they are
	Resync      bool   // the next report must be Full
	ShardShares []ShardShare
	DropShards  []fleet.ShardID
	Rates       []RatePart       // zero Parts removes the share
	Ranges      RangeSet         // all ranges that the VM holds from now on
	Directory   *DirectoryUpdate // nil when the VM's directory is current
}
