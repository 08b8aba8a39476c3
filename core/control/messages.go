// Package control composes configuration order, membership, the election and
// the shares of divisible limits into one machine that produces the View of
// its VM.
package control

import (
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/grant"
	"github.com/anvilfork/anvilfork/core/lease"
)

// Event is an input of the Machine.
type Event interface{ event() }

// ConfigRead ends a ReadConfig with a text.
type ConfigRead struct{ Document []byte }

// ConfigUnchanged ends a ReadConfig without a text.
type ConfigUnchanged struct{}

// ConfigReadFailed ends a ReadConfig that got no usable answer.
type ConfigReadFailed struct{}

// VMListRead ends a ReadVMList with the platform's list of VMs.
type VMListRead struct{ VMs []fleet.VM }

// VMListFailed ends a ReadVMList that got no usable answer.
type VMListFailed struct{}

// PeerHeartbeat delivers a heartbeat of another VM; the Machine answers with AnswerHeartbeat.
type PeerHeartbeat struct {
	Call      uint64 // chosen by the caller of Step, returned in the answer
	Heartbeat Heartbeat
}

// HeartbeatAnswered delivers the answer to a SendHeartbeat.
type HeartbeatAnswered struct {
	Call  uint64
	Reply HeartbeatReply
}

// HeartbeatFailed reports that a SendHeartbeat got no answer.
type HeartbeatFailed struct{ Call uint64 }

// DocumentFetched delivers a text fetched from another VM.
type DocumentFetched struct {
	From     fleet.VMID
	Document []byte
}

// FetchFailed reports that a FetchDocument got no text.
type FetchFailed struct{ From fleet.VMID }

// Demand reports how many requests a second each workspace sends to this VM.
type Demand struct{ RatePerSecond map[string]float64 }

// SharesApplied reports that every task that uses shares has taken those of a
// generation, and that nothing runs on what they no longer contain.
type SharesApplied struct{ Generation uint64 }

// PoisonReported reports a request content that crashed targets here.
type PoisonReported struct {
	Fingerprint fleet.Fingerprint
	Until       time.Time
}

// Leave begins the planned stop of this VM.
type Leave struct{}

// Tick reports that the time given by Next has come.
type Tick struct{}

func (ConfigRead) event()        {}
func (ConfigUnchanged) event()   {}
func (ConfigReadFailed) event()  {}
func (VMListRead) event()        {}
func (VMListFailed) event()      {}
func (PeerHeartbeat) event()     {}
func (HeartbeatAnswered) event() {}
func (HeartbeatFailed) event()   {}
func (DocumentFetched) event()   {}
func (FetchFailed) event()       {}
func (Demand) event()            {}
func (SharesApplied) event()     {}
func (PoisonReported) event()    {}
func (Leave) event()             {}
func (Tick) event()              {}

// Status is what heartbeats and replies say of their sender.
type Status struct {
	From           fleet.VM
	Revision       uint64
	Digest         config.Digest
	Serving        bool             // it has compared revisions and is not fenced
	PoisonChecksum uint64           // sum of the blocked request contents that it knows
	Blocked        []PoisonBlock    // sent when the other side's sum differs
	Claim          CoordinatorClaim // the coordinator that it knows
}

// PoisonBlock is a blocked request content and how long the block lasts.
type PoisonBlock struct {
	Fingerprint fleet.Fingerprint
	Remaining   time.Duration
}

// CoordinatorClaim says that a VM is coordinator with a fraction of the limits. The zero
// value says that none is known.
type CoordinatorClaim struct {
	VM       fleet.VM
	Fraction lease.Fraction
	Age      time.Duration // since the coordinator itself said so
}

// Heartbeat tells another VM about this one.
type Heartbeat struct {
	Status
	Seq           uint64       // rises with every heartbeat of one incarnation
	Ballot        lease.Ballot // its stamp also proves that the receiver's last reply arrived
	ToHub         bool         // the sender takes the receiver for the collecting VM
	TableChecksum uint64       // sum of the sender's table of VMs
	Fresh         bool         // this incarnation never held a share and never counted a vote
	Report        *grant.Report
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	Status
	Stamp       lease.Stamp
	ColdStart   bool               // all VMs that can be alive are, and none ever held a share or counted a vote
	TableChange *fleet.TableChange // nil when the sender's table is current
	// Grants answers the Report; nil when the sender of the reply is not coordinator.
	Grants *grant.Grants
}

// Action is an output of the Machine.
type Action interface{ action() }

// Publish hands a new View to the other tasks.
type Publish struct{ View *fleet.View }

// ReadConfig asks the configuration service for a text newer than After,
// waiting for one. ConfigRead, ConfigUnchanged or ConfigReadFailed follows.
type ReadConfig struct {
	After uint64
	Wait  time.Duration
}

// ReadVMList asks the platform for its list of VMs. VMListRead or VMListFailed follows.
type ReadVMList struct{}

// SendHeartbeat sends a heartbeat; HeartbeatAnswered or HeartbeatFailed follows.
type SendHeartbeat struct {
	Call      uint64
	To        fleet.VM
	Heartbeat Heartbeat
}

// AnswerHeartbeat answers a PeerHeartbeat.
type AnswerHeartbeat struct {
	Call  uint64
	Reply HeartbeatReply
}

// FetchDocument asks a peer for its text; DocumentFetched or FetchFailed follows.
type FetchDocument struct {
	From     fleet.VM
	Revision uint64
}

// ReportRejected reports a text that was not accepted.
type ReportRejected struct {
	Source string
	Err    error
}

func (Publish) action()         {}
func (ReadConfig) action()      {}
func (ReadVMList) action()      {}
func (SendHeartbeat) action()   {}
func (AnswerHeartbeat) action() {}
func (FetchDocument) action()   {}
func (ReportRejected) action()  {}
