// Package control decides for one VM which configuration it uses, which VMs are
// live, which of them is coordinator and which shares of the limits it holds. A
// Machine is given events (answers of the configuration service and the platform,
// heartbeats, the clock) and returns actions: messages to send, and the View that
// the other tasks of the VM work with.
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

// ConfigRead ends a ReadConfig with a configuration document.
type ConfigRead struct{ Document []byte }

// ConfigUnchanged ends a ReadConfig for which the service had no newer document.
type ConfigUnchanged struct{}

// ConfigReadFailed ends a ReadConfig that failed or got an invalid answer.
type ConfigReadFailed struct{}

// VMListRead ends a ReadVMList with the platform's list of VMs.
type VMListRead struct{ VMs []fleet.VM }

// VMListFailed ends a ReadVMList that failed or got an invalid answer.
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

// DocumentFetched ends a FetchDocument with the document of the other VM.
type DocumentFetched struct {
	From     fleet.VMID
	Document []byte
}

// FetchFailed ends a FetchDocument that got no document.
type FetchFailed struct{ From fleet.VMID }

// Demand reports how many requests per second each workspace sends to this VM.
type Demand struct{ RatePerSecond map[string]float64 }

// SharesApplied reports that every task that uses shares works with those of a
// generation, and that no request still runs on what they no longer contain.
type SharesApplied struct{ Generation uint64 }

// PoisonReported reports the content of a poison request: one that crashed
// targets of this VM.
type PoisonReported struct {
	Fingerprint fleet.Fingerprint
	Until       time.Time
}

// Leave begins the planned stop of this VM.
type Leave struct{}

// Tick reports that the time returned by Next has come.
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

// Status is the part of a heartbeat or a reply that describes its sender.
type Status struct {
	From           fleet.VM
	Revision       uint64
	Digest         config.Digest
	Serving        bool             // its start gate is open, it is live and it is not fenced
	PoisonChecksum uint64           // of the fingerprints that it blocks
	Blocked        []PoisonBlock    // the fingerprints that it blocks; sent when the receiver's checksum differs
	Claim          CoordinatorClaim // the coordinator that it knows of
}

// PoisonBlock is the fingerprint of a blocked request content and how long the
// block still lasts.
type PoisonBlock struct {
	Fingerprint fleet.Fingerprint
	Remaining   time.Duration
}

// CoordinatorClaim says that a VM is coordinator with a fraction of the limits.
// The zero value says that no coordinator is known.
type CoordinatorClaim struct {
	VM       fleet.VM
	Fraction lease.Fraction
	Age      time.Duration // time since the coordinator itself reported it
}

// Heartbeat reports the state of its sender to another VM.
type Heartbeat struct {
	Status
	Seq           uint64        // increases with every heartbeat of one incarnation
	Ballot        lease.Ballot  // its stamp also proves that the sender received the receiver's last reply
	ToHub         bool          // the sender takes the receiver for the hub
	TableChecksum uint64        // of the sender's table of live VMs
	HasNoHistory  bool          // this incarnation never held a share and never counted a vote
	Report        *grant.Report // the sender's shares; nil unless ToHub
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	Status
	Stamp       lease.Stamp
	ColdStart   bool               // the whole fleet starts, so that no promise or share of an earlier incarnation is in use
	TableChange *fleet.TableChange // nil when the receiver's table is current
	// Grants answers the Report; nil when the sender of the reply is not coordinator.
	Grants *grant.Grants
}

// Action is an output of the Machine.
type Action interface{ action() }

// Publish hands a new View to the other tasks.
type Publish struct{ View *fleet.View }

// ReadConfig asks the configuration service for a document newer than After,
// and lets the service wait up to Wait for one. ConfigRead, ConfigUnchanged or
// ConfigReadFailed follows.
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

// FetchDocument asks a peer for its document; DocumentFetched or FetchFailed follows.
type FetchDocument struct {
	From     fleet.VM
	Revision uint64
}

// ReportRejected reports a document that was not accepted. Source is the id of the
// VM that it came from, or "service" for the configuration service.
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
