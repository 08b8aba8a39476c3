// Package mesh decides how the VMs of a fleet find each other, which of them
// read the platform's store, and how the others learn what these have read.
//
// A few VMs are hubs: the longest-running ones, in different availability zones
// where possible. Hubs read the store, and every VM exchanges heartbeats with
// them. The reply to a heartbeat carries everything that hubs pass on: entries
// of the store, the members of the fleet, the fleet's demand by workspace, and
// requests that are blocked because they crash targets. No VM is elected, and
// nothing lasts: any VM answers any other.
package mesh

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mirror"
)

// Phase is where a VM is between its start and its end.
type Phase uint8

// The phases of a VM.
const (
	Starting Phase = iota // has no configuration yet
	Serving
	Leaving // was told to stop
)

// Node describes a VM to the others.
type Node struct {
	ID            fleet.VMID
	Peer          string // address for heartbeats
	Front         string // address for callers
	Zone          string
	Region        string
	StartedUnixMs int64 // tells a restarted VM from its predecessor
	Phase         Phase
	Power         float64 // cores
	StoreDenied   bool    // its last reads of the store failed
	Edition       uint32  // counts what the VM changed of its record
}

// WorkspaceDemand is the demand for a workspace in requests per second, refused ones included.
type WorkspaceDemand struct {
	Workspace     string
	RatePerSecond float64
}

// Crash counts the targets that a request content has crashed.
type Crash struct {
	Fingerprint uint64
	Count       uint32
}

// HeartbeatRequest is a heartbeat.
type HeartbeatRequest struct {
	From          Node
	Interval      time.Duration // the sender's next heartbeat comes after this
	StoreRevision uint64        // revision of the sender's copy of the store
	NodesSeq      uint64        // changes of the hub's members that the sender knows
	NodesEpoch    int64         // start of the hub's process that counted them, in Unix milliseconds
	Demand        []WorkspaceDemand
	Crashes       []Crash
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	From        Node
	CopyAge     time.Duration // since the hub's copy of the store was known to be complete; negative without one
	Update      *mirror.Update
	NodesSeq    uint64 // changes of the hub's members so far
	NodesFull   bool   // Nodes holds all members, not only those that changed
	Nodes       []Node
	Removed     []fleet.VMID      // members that are not in touch any more
	Hubs        []Node            // whom to ask instead, when the sender is no hub
	FleetDemand []WorkspaceDemand // fleet's demand for the workspaces that the sender named
	Blocked     []uint64          // fingerprints of requests that crash targets
}

// Event is an input of a Machine.
type Event interface{ event() }

// Tick reports that the time given by Next has come.
type Tick struct{}

// Heartbeat is a request from another VM; AnswerHeartbeat answers it.
type Heartbeat struct {
	Request *HeartbeatRequest
	Ticket  any // handed back in the AnswerHeartbeat action
}

// HeartbeatAnswered is a hub's reply to a heartbeat that was sent at Sent.
type HeartbeatAnswered struct {
	Peer  string
	Sent  time.Time
	Reply *HeartbeatReply
}

// HeartbeatFailed reports a heartbeat that failed.
type HeartbeatFailed struct {
	Peer    string
	Refused bool // the VM is up, and the process is not
}

// StoreRead is the answer to a read of the store that was sent at Sent. Wait is
// how long the read was to wait for changes; zero for a listing.
type StoreRead struct {
	Sent   time.Time
	Wait   time.Duration
	Update *mirror.Update
}

// StoreFailed reports a read of the store that failed.
type StoreFailed struct {
	HistoryGone bool // the changes asked for are not available any more
}

// LocalDemand is what this VM's callers ask for and what crashed here.
type LocalDemand struct {
	Demand  []WorkspaceDemand
	Crashes []Crash
}

// Stopping reports that this VM was told to stop.
type Stopping struct{}

// SetSeeds replaces the addresses of the VMs to begin with.
type SetSeeds struct{ Seeds []string }

// SetMaxActive bounds the VMs that callers are sent to. Before it, there are none.
type SetMaxActive struct{ VMs int }

func (Tick) event()              {}
func (SetMaxActive) event()      {}
func (Heartbeat) event()         {}
func (HeartbeatAnswered) event() {}
func (HeartbeatFailed) event()   {}
func (StoreRead) event()         {}
func (StoreFailed) event()       {}
func (LocalDemand) event()       {}
func (Stopping) event()          {}
func (SetSeeds) event()          {}

// Action is an output of a Machine.
type Action interface{ action() }

// SendHeartbeat sends a request to the VM at an address.
type SendHeartbeat struct {
	Peer    string
	Request *HeartbeatRequest
}

// AnswerHeartbeat answers a Heartbeat.
type AnswerHeartbeat struct {
	Ticket any
	Reply  *HeartbeatReply
}

// ReadStore lists all entries when After is zero, and otherwise waits up to
// Wait for entries that changed after that revision.
type ReadStore struct {
	After uint64
	Wait  time.Duration
}

// EntriesChanged hands on entries of the store that changed.
type EntriesChanged struct{ Entries []mirror.Entry }

// ViewChanged hands on what is known of the fleet and of the copy's age.
type ViewChanged struct{ View *View }

// StoreLost and StoreRecovered report whether this VM, which reads the store,
// gets answers.
type StoreLost struct{ Failures int }

// StoreRecovered reports the first answer of the store after StoreLost.
type StoreRecovered struct{}

// PeerLost reports that a VM is no longer in touch.
type PeerLost struct {
	Node      Node
	SilentFor time.Duration
}

// PeerFound reports a VM that was not known before.
type PeerFound struct{ Node Node }

func (SendHeartbeat) action()   {}
func (AnswerHeartbeat) action() {}
func (ReadStore) action()       {}
func (EntriesChanged) action()  {}
func (ViewChanged) action()     {}
func (StoreLost) action()       {}
func (StoreRecovered) action()  {}
func (PeerLost) action()        {}
func (PeerFound) action()       {}

// Demand is the demand for a workspace in requests per second.
type Demand struct {
	Own   float64 // of this VM, as Total holds it
	Total float64 // of all VMs
}

// View is what the other tasks of a VM know of the fleet. It is never changed.
type View struct {
	Self      Node
	Nodes     []Node // serving and starting VMs in touch, this one included, by id
	Active    []Node // those that callers are sent to
	Sharers   int    // VMs that share limits; zero while it is unknown
	Confirmed time.Time
	Demand    map[string]Demand // by workspace
	Blocked   map[uint64]bool
	Reader    bool // this VM reads the store
	Hubs      []fleet.VMID
}

// IsActive reports whether callers are sent to this VM.
func (v *View) IsActive() bool {
	for _, n := range v.Active {
		if n.ID == v.Self.ID {
			return true
		}
	}
	return false
}
