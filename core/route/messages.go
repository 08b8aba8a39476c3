// Package route decides, on a home VM of a group, which target runs each
// sub-request, on which connection and when.
package route

import (
	"fmt"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// AttemptID identifies one attempt at one target; the target echoes it.
type AttemptID struct {
	Origin uint64 // random number of the home VM's process
	Seq    uint64
}

// String returns the form that is sent to targets.
func (a AttemptID) String() string { return fmt.Sprintf("%016x-%x", a.Origin, a.Seq) }

// ConnID identifies one connection to a target, unique in a group.
type ConnID uint64

// Result classifies the end of an attempt.
type Result uint8

// The results of an attempt.
const (
	ResultOK                Result = iota + 1 // the target ran it and answered
	ResultFailed                              // the target ran it and reported a failure
	ResultShed                                // the target refused it and did not run it
	ResultVersionGone                         // the target lacks the index version or partition map; not run
	ResultCancelled                           // the target confirmed the cancellation
	ResultNotWritten                          // the connection failed before anything was written
	ResultConnLost                            // the connection failed after the request was written
	ResultAnswerLost                          // a success status arrived, the body did not
	ResultMismatch                            // the answer carried another attempt id
	ResultProtocolViolation                   // the answer did not follow the target protocol
)

// TargetState is what a target says of itself.
type TargetState string

// The states that a target reports.
const (
	TargetReady    TargetState = "ready"
	TargetCold     TargetState = "cold"
	TargetDraining TargetState = "draining"
)

// TargetStatus is a target's report of itself.
type TargetStatus struct {
	State         TargetState
	BootID        string // changes whenever the target restarts
	Load          float64
	IndexVersions []uint64
	PartitionMap  uint64
	Shard         string
}

// Event is an input of a Shard. Submit and AttemptDone are passed by pointer,
// so that the caller can reuse their memory; the group keeps none of it.
type Event interface{ event() }

// Submit hands a sub-request to the group.
type Submit struct{ Sub scatter.SubRequest }

// Cancel withdraws a sub-request; no reply follows.
type Cancel struct{ ID scatter.SubID }

// AttemptDone reports the end of an attempt.
type AttemptDone struct {
	Attempt      AttemptID
	Result       Result
	Body         []byte
	BootID       string
	IndexVersion uint64
}

// Probed reports a target's status, or that it could not be read.
type Probed struct {
	Target  string
	Status  TargetStatus
	Began   time.Time // when the read began
	Failed  bool
	Refused bool // failed because the target does not accept connections
}

// ConnOpened reports that a connection is ready.
type ConnOpened struct {
	Target string
	Conn   ConnID
}

// ConnClosed reports that a connection ended or could not be opened. It is the
// last event of every connection, also of one that was closed by CloseConn.
type ConnClosed struct {
	Target  string
	Conn    ConnID
	Refused bool // the target did not accept a new connection
}

// Assign gives the group its settings and this VM's share of its targets.
type Assign struct {
	Service       config.Service
	Shard         config.Shard
	ZonesOut      map[string]bool
	Share         fleet.ShardShare // zero Slots when this VM is not a home of the group
	PoisonedUntil map[fleet.Fingerprint]time.Time
	Weights       map[string]int // weight of each workspace
}

// Tick reports that the time given by Next has come.
type Tick struct{}

func (*Submit) event()      {}
func (Cancel) event()       {}
func (*AttemptDone) event() {}
func (Probed) event()       {}
func (ConnOpened) event()   {}
func (ConnClosed) event()   {}
func (Assign) event()       {}
func (Tick) event()         {}

// Action is an output of a Shard. StartAttempt, CancelAttempt and Respond are
// passed by pointer; what they point to is valid until the next Step.
type Action interface{ action() }

// StartAttempt sends a sub-request to a target on an idle connection.
type StartAttempt struct {
	Attempt AttemptID
	Target  string
	Conn    ConnID
	Sub     scatter.SubRequest
}

// CancelAttempt asks the target to stop an attempt.
type CancelAttempt struct {
	Attempt AttemptID
	Target  string
	Conn    ConnID
}

// OpenConn opens a connection to a target.
type OpenConn struct {
	Target string
	Conn   ConnID
}

// CloseConn closes a connection; an attempt on it ends with ResultConnLost,
// and ConnClosed follows. Closing a connection that is gone does nothing.
type CloseConn struct {
	Target string
	Conn   ConnID
}

// WatchTarget begins the status reads of a target.
type WatchTarget struct{ Target string }

// ProbeNow asks for a status read that begins after this action.
type ProbeNow struct{ Target string }

// DropTarget ends the status reads of a target that has no attempts and no
// connections left.
type DropTarget struct{ Target string }

// Respond returns a reply to the entry VM of a sub-request.
type Respond struct{ Reply scatter.SubReply }

// ReportPoison reports that a request content crashed targets and must be blocked.
type ReportPoison struct {
	Fingerprint fleet.Fingerprint
	Until       time.Time
}

func (*StartAttempt) action()  {}
func (*CancelAttempt) action() {}
func (OpenConn) action()       {}
func (CloseConn) action()      {}
func (WatchTarget) action()    {}
func (ProbeNow) action()       {}
func (DropTarget) action()     {}
func (*Respond) action()       {}
func (ReportPoison) action()   {}
