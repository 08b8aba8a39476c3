// Package route is the scheduler of one shard on one of the VMs that own it. It
// decides which target runs each sub-request, on which connection and when, and
// when to hedge, retry, isolate or refuse one. It does no input or output:
// Shard.Step is given the time and an event, and returns the actions that the
// caller has to carry out.
package route

import (
	"fmt"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// AttemptID identifies one attempt at a target, which echoes it in its answer.
type AttemptID struct {
	Origin uint64 // random number of the owner's process
	Seq    uint64
}

// String returns the form that is sent to targets.
func (a AttemptID) String() string { return fmt.Sprintf("%016x-%x", a.Origin, a.Seq) }

// ConnID identifies a connection to a target. It is unique within a Shard.
type ConnID uint64

// Result classifies how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	ResultOK                Result = iota + 1 // the target ran it and answered
	ResultFailed                              // the target ran it and reported a failure
	ResultShed                                // the target refused it and did not run it
	ResultVersionGone                         // the target lacks the index version or the partition map and did not run it
	ResultCancelled                           // the target confirmed the cancellation
	ResultNotWritten                          // the connection failed before anything was written
	ResultConnLost                            // the connection failed after the request was written
	ResultAnswerLost                          // a success status arrived, but the body was cut off
	ResultMismatch                            // the answer carried another attempt id
	ResultProtocolViolation                   // the answer did not follow the target protocol
)

// TargetState is the state that a target reports of itself.
type TargetState string

// The reported states: a cold target gets few attempts at first, a draining one
// gets no new ones.
const (
	TargetReady    TargetState = "ready"
	TargetCold     TargetState = "cold"
	TargetDraining TargetState = "draining"
)

// TargetStatus is the answer to a status read of a target.
type TargetStatus struct {
	State         TargetState
	BootID        string  // changes whenever the target restarts
	Load          float64 // used fraction of the target's capacity, from 0 to 1
	IndexVersions []uint64
	PartitionMap  uint64
	Shard         string // empty when the target reports none
}

// Event is an input of a Shard. Submit and AttemptDone are passed by pointer,
// so that the caller can reuse their memory: the Shard keeps no pointer to them.
type Event interface{ event() }

// Submit hands over a sub-request. A Respond action follows, unless it is
// cancelled. A duplicate of a pending sub-request is ignored.
type Submit struct{ Sub scatter.SubRequest }

// Cancel withdraws a sub-request. Its attempts are cancelled, and no reply
// follows.
type Cancel struct{ ID scatter.SubID }

// AttemptDone reports the end of an attempt. It is the only event that frees the
// attempt's slot, except for ConnClosed of its connection.
type AttemptDone struct {
	Attempt      AttemptID
	Result       Result
	Body         []byte
	BootID       string
	IndexVersion uint64
}

// ProbeResult reports the result of a status read of a target.
type ProbeResult struct {
	Target  string
	Status  TargetStatus
	Began   time.Time // when the status read began
	Failed  bool      // the status could not be read; Status is empty
	Refused bool      // failed because the target does not accept connections
}

// ConnOpened reports that a connection requested by OpenConn is open.
type ConnOpened struct {
	Target string
	Conn   ConnID
}

// ConnClosed reports that a connection ended or could not be opened. It is the
// last event of each connection, including those closed by CloseConn.
type ConnClosed struct {
	Target  string
	Conn    ConnID
	Refused bool // the target did not accept a new connection
}

// Assignment replaces the configuration of the shard and this VM's share of its
// targets.
type Assignment struct {
	Service       config.Service
	Shard         config.Shard
	ZonesOut      map[string]bool
	Share         fleet.ShardShare                // zero Slots when this VM does not own the shard
	PoisonedUntil map[fleet.Fingerprint]time.Time // blocked request contents, reported by any owner
	Weights       map[string]int                  // by workspace
}

// Tick reports that the time returned by Next has come.
type Tick struct{}

func (*Submit) event()      {}
func (Cancel) event()       {}
func (*AttemptDone) event() {}
func (ProbeResult) event()  {}
func (ConnOpened) event()   {}
func (ConnClosed) event()   {}
func (Assignment) event()   {}
func (Tick) event()         {}

// Action is an output of a Shard. StartAttempt, CancelAttempt and Respond are
// passed by pointer, and what they point to is valid until the next Step.
type Action interface{ action() }

// StartAttempt sends a sub-request to a target on an idle connection.
type StartAttempt struct {
	Attempt AttemptID
	Target  string
	Conn    ConnID
	Sub     scatter.SubRequest
}

// CancelAttempt asks the target to stop an attempt. The attempt keeps its slot
// until AttemptDone.
type CancelAttempt struct {
	Attempt AttemptID
	Target  string
	Conn    ConnID
}

// OpenConn opens a connection to a target. ConnOpened or ConnClosed follows.
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

// WatchTarget starts the periodic status reads of a target.
type WatchTarget struct{ Target string }

// ProbeNow requests an additional status read that begins after this action.
type ProbeNow struct{ Target string }

// UnwatchTarget ends the periodic status reads of a target that has no attempts and
// no connections left.
type UnwatchTarget struct{ Target string }

// Respond returns a reply to the ingress of a sub-request.
type Respond struct{ Reply scatter.SubReply }

// ReportPoison reports that a request content crashed targets and must be
// blocked until the given time.
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
func (UnwatchTarget) action()  {}
func (*Respond) action()       {}
func (ReportPoison) action()   {}
