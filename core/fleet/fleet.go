// Package fleet holds what one VM knows of the others: the VM records, the
// shares of divisible limits that this VM holds, and the immutable View that
// the control task hands to all other tasks.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/outcome"
)

// VMID names one incarnation of a VM process; a replacement on the same
// address has another id.
type VMID string

// VMState is the state of a VM as its peers see it.
type VMState string

// The states of a VM.
const (
	Starting VMState = "starting" // has not compared configuration with its peers
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

// ShardID names a group of targets.
type ShardID struct {
	Service string
	Shard   string
}

// ShardShare is this VM's part of the slots and connections of each target in
// a group. It is valid only before Expires.
type ShardShare struct {
	Shard       ShardID
	OwnerIndex  int  // index of this VM among the homes of the group
	Owners      int  // homes that divide the group; below two means one
	Half        bool // the other half belongs to the other side of a split fleet
	Slots       int
	ColdSlots   int // slots of a target that has just started
	Connections int
	Expires     time.Time
}

// Scale returns this VM's part of n slots of a target; the first home has the
// larger part.
func (s ShardShare) Scale(n int) int {
	if s.Half {
		n /= 2
	}
	switch {
	case s.Owners < 2:
		return n
	case s.OwnerIndex == 0:
		return (n + 1) / 2
	default:
		return n / 2
	}
}

// RateShare is this VM's part of a workspace's rate and burst.
type RateShare struct {
	Workspace     string
	RatePerSecond float64
	Burst         float64
	Expires       time.Time
}

// RangeCount is the number of request-id ranges.
const RangeCount = 64

// RangeShare is the right to answer claims for one range of request ids.
type RangeShare struct {
	Range   int
	Since   time.Time // start of tenure
	Expires time.Time
}

// View is what this VM knows at one moment. It is immutable.
type View struct {
	Config  *config.Config // nil until a text is accepted
	Self    VM
	Serving bool      // false: requests are refused
	Fenced  bool      // neither the service nor a peer was heard of lately
	FenceAt time.Time // this VM is fenced from then on unless a newer View says otherwise; zero means never
	VMs     []VM      // live and leaving VMs, self included, sorted by id

	Owners       map[ShardID][]VMID // home VMs of each group, first home first
	RangeHolders []VMID             // holder of each request-id range; empty entries have none
	Addresses    []VM               // VMs that callers may use

	// Generation numbers the shares below. Each task that uses shares tells
	// control when it has taken them, so that what it no longer uses can be
	// given back.
	Generation  uint64
	ShardShares []ShardShare
	RateShares  []RateShare
	RangeShares []RangeShare

	PoisonedUntil map[Fingerprint]time.Time // blocked request contents and when the block ends
}

// Fingerprint identifies the content of a request: SHA-256 of service and body.
type Fingerprint [32]byte

// FencedAt reports whether requests are to be refused at now because this VM
// may not know of withdrawn keys. A VM that was paused may still use a View
// from before the pause, so the time is checked for each request.
func (v *View) FencedAt(now time.Time) bool {
	return v.Fenced || !v.FenceAt.IsZero() && now.After(v.FenceAt)
}

// Unavailable returns why this VM refuses requests, and address lists: one that is
// fenced knows only itself. It is nil when this VM serves; v may be nil.
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

// VM returns the VM called id.
func (v *View) VM(id VMID) (VM, bool) {
	i, ok := slices.BinarySearchFunc(v.VMs, id, func(vm VM, id VMID) int { return cmp.Compare(vm.ID, id) })
	if !ok {
		return VM{}, false
	}
	return v.VMs[i], true
}

// Holds reports whether the VM called id holds a share or is named as a home or
// as the holder of a range of request ids.
func (v *View) Holds(id VMID) bool {
	if id == v.Self.ID && (len(v.ShardShares) > 0 || len(v.RangeShares) > 0) {
		return true
	}
	for _, homes := range v.Owners {
		if slices.Contains(homes, id) {
			return true
		}
	}
	return slices.Contains(v.RangeHolders, id)
}
