// Package mesh decides how the VMs of a fleet find each other, which of them reads
// the platform's store, and how the others get what it has read. Its Machine is
// given events (heartbeats, results of reads, ticks) and returns actions (send a
// heartbeat, read the store, publish a View of the fleet).
//
// A few VMs are hubs: the longest-running ones, in different availability zones
// where possible. The first hub, the reader, reads the store, and every VM
// exchanges heartbeats with the hubs. The reply to a heartbeat carries everything
// that hubs distribute: entries of the store, the members of the fleet, the fleet's
// demand by workspace, and the requests that are blocked because they crash
// targets. There is no election and no persistent state: each VM derives the hubs
// from the members that it knows, and any VM answers the heartbeats of any other.
package mesh

import (
	"time"

	"github.com/anvilfork/anvilfork/core/callers"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mirror"
)

// Phase is a stage in the life of a VM's process.
type Phase uint8

// The phases of a VM.
const (
	Starting Phase = iota // has no configuration yet
	Serving
	Leaving // is shutting down
)

// Node is the record that a VM publishes of itself.
type Node struct {
	ID            fleet.VMID
	Peer          string // address for heartbeats
	Front         string // address for callers
	Zone          string
	Region        string
	StartedUnixMs int64 // distinguishes a restarted process from the one before
	Phase         Phase
	Power         float64 // cores
	StoreDenied   bool    // its last reads of the store failed
	StoreFailing  bool    // its reads of the store fail, and no VM is known to have read it since
	Edition       uint32  // increases with each change that the VM makes to its record
}

// WorkspaceDemand is the demand for a workspace at one VM, or in total, in requests per
// second. Refused requests are included.
type WorkspaceDemand struct {
	Workspace     string
	RatePerSecond float64
}

// HeartbeatRequest is a heartbeat. It reports the sender's state, and which changes
// the sender already has.
type HeartbeatRequest struct {
	From          Node
	Interval      time.Duration // until the sender's next heartbeat; zero from VMs of earlier versions
	StoreRevision uint64        // revision of the sender's copy of the store
	StoreEra      uint64        // era of that copy
	StatesEra     bool          // false from VMs of earlier versions, which know no eras
	PastKnown     mirror.Known  // of earlier eras of the store
	Past          *mirror.Past  // entries of earlier eras, if the receiver is known to know less of them
	NodesSeq      uint64        // NodesSeq of the last reply from this hub
	NodesEpoch    int64         // start of the hub's process that NodesSeq belongs to, in Unix milliseconds
	Demand        []WorkspaceDemand
	Crashes       []Crash
	Blocked       []Block        // that the sender knows
	TimeoutsSum   uint64         // checksum of the timeouts that the sender knows; zero for none
	Timeouts      []RouteTimeout // all that the sender knows, if the receiver is known to know others
	Pressing      []callers.Pressing
}

// HeartbeatReply is the reply to a heartbeat, with the changes that the sender of
// the heartbeat lacks.
type HeartbeatReply struct {
	From        Node
	CopyAge     time.Duration  // since the hub's copy of the store was confirmed to be complete; negative when it never was
	RegainedAge time.Duration  // since the fleet could read the store again after an outage or a rewind; zero when there was none lately
	StoreEra    uint64         // era of the hub's copy
	StatesEra   bool           // false from VMs of earlier versions, which know no eras
	Update      *mirror.Update // nil when the sender's copy is as new as the hub's
	PastKnown   mirror.Known   // of earlier eras of the store
	Past        *mirror.Past   // entries of earlier eras, if the sender of the heartbeat knows less of them
	NodesSeq    uint64         // number of the last change to the hub's members
	FleetSize   int            // number of VMs that the hub knows, if Nodes holds only those that are to be hubs
	NodesFull   bool           // Nodes holds all members, not only those that changed
	Nodes       []Node
	Removed     []fleet.VMID      // members that are no longer reachable
	Hubs        []Node            // hubs to contact instead, when the replying VM is not a hub
	FleetDemand []WorkspaceDemand // fleet's demand for the workspaces in the request's Demand
	Blocked     []Block           // requests that crash targets
	TimeoutsSum uint64            // checksum of the timeouts that the hub knows
	Timeouts    []RouteTimeout    // all that the hub knows, if the sender of the heartbeat knows others
	Pressing    []callers.Pressing
}

// Event is an input of a Machine.
type Event interface{ event() }

// Tick reports that the time returned by Next has come.
type Tick struct{}

// Heartbeat is a heartbeat received from another VM. It is answered by an
// AnswerHeartbeat.
type Heartbeat struct {
	Request *HeartbeatRequest
	Ticket  any // handed back in the AnswerHeartbeat action
}

// HeartbeatAnswered is the reply to a heartbeat that was sent to Peer at Sent.
type HeartbeatAnswered struct {
	Peer  string
	Sent  time.Time
	Reply *HeartbeatReply
}

// HeartbeatFailed reports that a heartbeat to Peer got no reply.
type HeartbeatFailed struct {
	Peer    string
	Refused bool // the connection was refused: the VM runs, its process does not
}

// StoreRead is the result of a read of the store that was sent at Sent. Wait is the
// time for which the read waited for changes at most; zero for a listing.
type StoreRead struct {
	Sent   time.Time
	Wait   time.Duration
	Update *mirror.Update
}

// StoreFailed reports that a read of the store failed.
type StoreFailed struct {
	HistoryGone bool   // the store no longer has the changes after the requested revision
	Era         uint64 // that the answer states; zero for none
}

// LocalDemand reports the demand of this VM's callers and the crashes that this VM
// observed. It replaces the previous report.
type LocalDemand struct {
	Demand   []WorkspaceDemand
	Crashes  []Crash
	Timeouts []RouteTimeout // of this VM's callers
	Pressing []callers.Pressing
}

// Stopping reports that this VM is shutting down.
type Stopping struct{}

// SetSeeds replaces Settings.Seeds.
type SetSeeds struct{ Seeds []string }

// SetMaxActive limits the number of VMs that callers are sent to. No VM is active
// before the first one.
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

// SendHeartbeat sends a heartbeat to a peer address.
type SendHeartbeat struct {
	Peer    string
	Request *HeartbeatRequest
}

// AnswerHeartbeat sends the reply to the Heartbeat with the same Ticket.
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

// EntriesChanged publishes the entries of the store that changed.
type EntriesChanged struct {
	Entries []mirror.Entry
	Era     uint64 // of the copy; entries of an earlier one are kept past a rewind
	// LapseEnd is the time until which deleted entries may be back, as they may have
	// lapsed only because their writers could not reach the store either. It is zero
	// if the store was not away: the entries were removed.
	LapseEnd time.Time
}

// LapseEndOf returns LapseEnd for one of the entries. A deletion in an earlier era was
// no lapse.
func (c *EntriesChanged) LapseEndOf(e *mirror.Entry) time.Time {
	if e.Era != c.Era {
		return time.Time{}
	}
	return c.LapseEnd
}

// ViewChanged publishes a new View.
type ViewChanged struct{ View *View }

// StoreLost reports that several consecutive reads of the store failed on this VM.
type StoreLost struct{ Failures int }

// StoreRecovered reports the first successful read after StoreLost.
type StoreRecovered struct{}

// OutageEnded reports that this VM is the first to read the store after an outage, as
// far as it knows.
type OutageEnded struct {
	CopyAge time.Duration // since the copy was confirmed last
	Failed  []fleet.VMID  // VMs whose reads are known to have failed since then, sorted
	Panel   int           // VMs whose reads decide
}

// OutageRefuted reports that this VM read the store while the reads of some other VMs
// failed: it is only out of their reach.
type OutageRefuted struct {
	CopyAge time.Duration // since the copy was confirmed last
	Failed  []fleet.VMID  // VMs whose reads are known to have failed since then, sorted
	Panel   int           // VMs whose reads decide
}

// PeerLost reports that a VM is no longer a member: it became unresponsive, or its
// process is gone.
type PeerLost struct {
	Node            Node
	UnresponsiveFor time.Duration
}

// PeerFound reports a new member.
type PeerFound struct{ Node Node }

func (SendHeartbeat) action()   {}
func (AnswerHeartbeat) action() {}
func (ReadStore) action()       {}
func (EntriesChanged) action()  {}
func (ViewChanged) action()     {}
func (StoreLost) action()       {}
func (StoreRecovered) action()  {}
func (OutageEnded) action()     {}
func (OutageRefuted) action()   {}
func (PeerLost) action()        {}
func (PeerFound) action()       {}

// Demand is the demand for a workspace in requests per second.
type Demand struct {
	Own   float64 // of this VM, as it is included in Total
	Total float64 // of all VMs
}

// View is a snapshot of the fleet for the other tasks of a VM. It is immutable.
type View struct {
	Self      Node
	Nodes     []Node            // reachable VMs in every phase, including this one, sorted by id
	Active    []Node            // serving VMs that callers are sent to
	Sharers   int               // number of VMs that share limits; zero while it is unknown
	Confirmed time.Time         // when the copy of the store was last known to be complete
	Demand    map[string]Demand // by workspace
	Blocked   map[uint64]bool   // fingerprints of requests that crash targets
	Reader    bool              // this VM reads the store for the others
	Hubs      []fleet.VMID
	Timeouts  map[string]time.Duration // longest time that callers wait, by route
	Pressing  []callers.Pressing       // callers that press, also at other VMs
	Store     StoreState
}

// StoreState describes the copy of the store.
type StoreState struct {
	Era     uint64
	Outages int                   // outages that this VM was the first to find ended
	Refuted int                   // times that it read the store while the reads of some other VMs failed
	Rewinds int                   // times that the era changed since the start of this VM
	Ignored int                   // reads that were ignored because of their era
	Kept    map[mirror.Reason]int // entries that are kept past a rewind
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
