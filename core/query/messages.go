// Package query decides, on the ingress, how each query fans out to the owners of a
// service's shards and how their replies become one answer or one refusal. The Machine
// is given events (started queries, replies, views of the fleet, timer ticks) and
// returns actions (messages to send, finished queries); it does no input or output
// itself.
package query

import (
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// ID identifies a query on its ingress.
type ID uint64

// Event is an input of Machine.Step.
type Event interface{ event() }

// Start begins an admitted query. Its ID must differ from the IDs of all running
// queries.
type Start struct {
	ID          ID
	Key         config.KeyHash // zero on an open route
	RequestID   fleet.RequestID
	Service     string
	Workspace   string
	Deadline    time.Time
	MinCoverage float64 // the larger one of the caller's and the service's minimum
	Idempotent  bool
	Fingerprint fleet.Fingerprint
	Body        []byte
}

// Replied delivers an owner's reply to a sub-request. It is passed by pointer, so that
// the sender can reuse the memory; the machine keeps only the body and the list of index
// versions.
type Replied struct{ Reply scatter.SubReply }

// SendFailed reports that a sub-request did not reach an owner or that its reply was
// lost.
type SendFailed struct {
	Sub        scatter.SubID
	NotWritten bool // nothing reached the owner
	// NoReturnPath means that the owner did not accept the sub-request, because it cannot
	// reach this VM to send the reply. It implies NotWritten.
	NoReturnPath bool
}

// CallerGone reports that the caller no longer waits for the query.
type CallerGone struct{ ID ID }

// Claimed delivers the answer to a Claim.
type Claimed struct {
	ID      ID
	Refusal *outcome.Refusal // nil when this VM may run the request
	// NoReturnPath means that the holder did not accept the claim, because it cannot reach
	// this VM to send the reply.
	NoReturnPath bool
}

// ViewChanged delivers a new view of the fleet.
type ViewChanged struct{ View *fleet.View }

// Tick reports that the time returned by Next has come.
type Tick struct{}

func (Start) event()       {}
func (*Replied) event()    {}
func (SendFailed) event()  {}
func (CallerGone) event()  {}
func (Claimed) event()     {}
func (ViewChanged) event() {}
func (Tick) event()        {}

// Action is an output of Machine.Step.
type Action interface{ action() }

// SendSub sends a sub-request to a shard owner. Step returns it as a pointer, so that a
// fan-out takes one allocation instead of one per shard.
type SendSub struct {
	Owner fleet.VMID
	Sub   scatter.SubRequest
}

// CancelSub cancels a sub-request at a shard owner.
type CancelSub struct {
	Owner fleet.VMID
	ID    scatter.SubID
}

// Claim asks the holder of the request's id range for the right to run the request.
type Claim struct {
	ID        ID
	Holder    fleet.VMID
	RequestID fleet.RequestID
}

// Settle records the outcome of a claimed request at the holder of its range, which
// applies it only to the claim of the same query.
type Settle struct {
	ID        ID
	Holder    fleet.VMID
	RequestID fleet.RequestID
	Outcome   outcome.Outcome // empty when the request was answered
}

// ReportPoison reports that requests with this content crashed targets and must be
// blocked in the whole fleet.
type ReportPoison struct {
	Fingerprint fleet.Fingerprint
	Until       time.Time
}

// Finish ends a query with either an answer or a refusal.
type Finish struct {
	ID      ID
	Answer  *Answer
	Refusal *outcome.Refusal
	Stats   Stats
}

func (SendSub) action()      {}
func (CancelSub) action()    {}
func (Claim) action()        {}
func (Settle) action()       {}
func (ReportPoison) action() {}
func (Finish) action()       {}

// Answer is the merged result of a query. All parts come from one snapshot: the same
// index version and partition map.
type Answer struct {
	RequestID    fleet.RequestID
	IndexVersion uint64
	PartitionMap uint64
	Shards       int      // number of shards in the partition map of the snapshot
	Missing      []string // names of the shards that did not answer
	Parts        []Part   // in the order of the service's shards
}

// Coverage is the fraction of shards that answered; it is 1 for a service without
// shards.
func (a *Answer) Coverage() float64 {
	if a.Shards == 0 {
		return 1
	}
	return float64(a.Shards-len(a.Missing)) / float64(a.Shards)
}

// Part is the answer of one shard.
type Part struct {
	Shard string
	Body  []byte
}

// Stats counts the work that one query caused.
type Stats struct {
	Shards        int // shards of the last plan
	SubRequests   int // sub-requests sent, including probes for index versions
	Attempts      int // attempts at targets, as reported by replies
	Hedges        int // sub-requests sent to another owner because the first was slow
	Failovers     int // sub-requests sent to another owner because the first was unresponsive or left the view
	Plans         int
	Crashes       int // crashes of targets, as reported by replies
	RepeatCrashes int // crashes outside the first fan-out; included in Crashes
}
