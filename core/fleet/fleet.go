// Package fleet holds what one VM knows of the fleet: the records of the other
// VMs, the shares of limits that this VM holds, and the immutable View that the
// control task passes to all other tasks. A task is a goroutine that owns its
// state and talks to others by messages. Members decides which VMs are live
// from the platform's list, heartbeats and the hub's table; View decides whether
// this VM serves and which VMs a caller should use.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/outcome"
)

// VMID identifies one incarnation of a VM process; a replacement at the same
// address has another id.
type VMID string

// VMState is the state of a VM as its peers see it.
type VMState string

// The states of a VM.
const (
	Starting VMState = "starting" // has not yet compared its configuration with its peers
	Live     VMState = "live"
	Leaving  VMState = "leaving"
)

// VM is one process of the fleet.
type VM struct {
	ID        VMID
	Zone      string
	PeerURL   string // base URL for other VMs
	CallerURL string // base URL for callers
	State     VMState
}

// ShardID identifies a shard of a service.
type ShardID struct {
	Service string
	Shard   string
}

// ShardShare is this VM's part of the slots and connections of each target of a
// shard. It is valid only before Expires.
type ShardShare struct {
	Shard       ShardID
	OwnerIndex  int  // index of this VM among the owners of the shard; 0 is the primary owner
	OwnerCount  int  // number of owners that divide the shard; values below two mean one
	Halved      bool // the other half belongs to the other side of a network partition
	Slots       int
	ColdSlots   int // slots on a target that has just started
	Connections int
	Expires     time.Time
}

// PartOf returns this VM's part of n slots or connections of a target: of n/2 if
// Halved, divided between the owners of the shard. If that is odd, the primary
// owner gets the larger part.
func (s ShardShare) PartOf(n int) int {
	if s.Halved {
		n /= 2
	}
	switch {
	case s.OwnerCount < 2:
		return n
	case s.OwnerIndex == 0:
		return (n + 1) / 2
	default:
		return n / 2
	}
}

// RateShare is this VM's part of the rate and burst of a workspace. It is valid
// only before Expires.
type RateShare struct {
	Workspace     string
	RatePerSecond float64
	Burst         float64
	Expires       time.Time
}

// RangeCount is the number of request-id ranges.
const RangeCount = 64

// RangeShare is the right to decide claims for one range of request ids. It is
// valid only before Expires.
type RangeShare struct {
	Range   int
	Since   time.Time // the range has been held without interruption since then
	Expires time.Time
}

// View is a snapshot of what this VM knows. It is immutable.
type View struct {
	Config  *config.Config // nil until a document is accepted
	Self    VM
	Serving bool      // if false, requests are refused
	Fenced  bool      // neither the configuration service nor a peer has been reachable lately
	FenceAt time.Time // this VM is fenced after that time unless a newer View says otherwise; zero means never
	VMs     []VM      // live and leaving VMs including this one, sorted by id

	Owners       map[ShardID][]VMID // owners of each shard, primary owner first
	RangeHolders []VMID             // holder of each request-id range; empty if a range has none
	Addresses    []VM               // VMs that callers may use

	// Generation numbers the shares below. Each task that uses shares reports to
	// control which generation it has applied, so that control can give back
	// shares that no task uses any more.
	Generation  uint64
	ShardShares []ShardShare
	RateShares  []RateShare
	RangeShares []RangeShare

	PoisonedUntil map[Fingerprint]time.Time // end of the block, for each blocked request content
}

// Fingerprint identifies the content of a request: SHA-256 of service and body.
type Fingerprint [32]byte

// FencedAt reports whether requests are refused at now because this VM may not
// know of withdrawn keys. A VM that was paused may still use a View from before
// the pause, so callers check the time for each request.
func (v *View) FencedAt(now time.Time) bool {
	return v.Fenced || !v.FenceAt.IsZero() && now.After(v.FenceAt)
}

// Unavailable returns why this VM refuses requests, or nil if it serves. It also
// applies to address lists, because a fenced VM knows no VM but itself. v may be
// nil.
func (v *View) Unavailable(now time.Time) *outcome.Refusal {
	switch {
	case v == nil || v.Config == nil:
		return outcome.New(outcome.CodeNotReady, outcome.NotRun, "this VM has no configuration yet")
	case v.FencedAt(now):
		return outcome.New(outcome.CodeFenced, outcome.NotRun, "this VM hears neither the configuration service nor another VM")
	case !v.Serving:
		return outcome.New(outcome.CodeNotReady, outcome.NotRun, "this VM is not serving")
	}
	return nil
}

// VM returns the record of a live or leaving VM.
func (v *View) VM(id VMID) (VM, bool) {
	i, ok := slices.BinarySearchFunc(v.VMs, id, func(vm VM, id VMID) int { return cmp.Compare(vm.ID, id) })
	if !ok {
		return VM{}, false
	}
	return v.VMs[i], true
}

// HoldsShares reports whether the VM called id owns a shard or holds a request-id
// range, by the assignment or, for this VM, by a share that it still has.
func (v *View) HoldsShares(id VMID) bool {
	if id == v.Self.ID && (len(v.ShardShares) > 0 || len(v.RangeShares) > 0) {
		return true
	}
	for _, owners := range v.Owners {
		if slices.Contains(owners, id) {
			return true
		}
	}
	return slices.Contains(v.RangeHolders, id)
}
