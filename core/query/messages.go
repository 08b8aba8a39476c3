// Package query decides, on the entry VM, how each query fans out to the homes
// of its groups and how the replies become one answer or one refusal.
package query

import (
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// ID identifies a query on its entry VM.
type ID uint64

// Event is an input of the Machine.
type Event interface{ event() }

// Start begins an admitted query. Its ID differs from those of all running queries.
type Start struct {
	ID          ID
	Key         config.KeyHash // zero on an open route
	Request     fleet.RequestID
	Service     string
	Workspace   string
	Deadline    time.Time
	MinCoverage float64 // the larger of the caller's and the service's
	Idempotent  bool
	Fingerprint fleet.Fingerprint
	Body        []byte
}

// Replied delivers a home's reply to a sub-request. It is passed by pointer, so
// that its sender can reuse the memory; the machine keeps only the body and the
// list of versions.
type Replied struct{ Reply scatter.SubReply }

// SendFailed reports that a sub-request did not reach a home or that its reply was lost.
type SendFailed struct {
	Sub        scatter.SubID
	NotWritten bool // nothing reached the home
	// Unanswerable: the home took nothing, as it cannot reach this VM with its
	// answer. NotWritten holds, too.
	Unanswerable bool
}

// CallerGone reports that the caller no longer waits.
type CallerGone struct{ ID ID }

// Claimed delivers the answer to a Claim.
type Claimed struct {
	ID      ID
	Refusal *outcome.Refusal // nil when this VM may run the request
	// Unanswerable: the holder took nothing, as it cannot reach this VM.
	Unanswerable bool
}

// ViewChanged delivers a new view of the fleet.
type ViewChanged struct{ View *fleet.View }

// Tick reports that the time given by Next has come.
type Tick struct{}

func (Start) event()       {}
func (*Replied) event()    {}
func (SendFailed) event()  {}
func (CallerGone) event()  {}
func (Claimed) event()     {}
func (ViewChanged) event() {}
func (Tick) event()        {}

// Action is an output of the Machine.
type Action interface{ action() }

// SendSub sends a sub-request to a home VM. Step returns it as a pointer, so
// that a fan-out needs one allocation and not one for each group.
type SendSub struct {
	Owner fleet.VMID
	Sub   scatter.SubRequest
}

// CancelSub withdraws a sub-request from a home VM.
type CancelSub struct {
	Owner fleet.VMID
	ID    scatter.SubID
}

// Claim asks the holder of the request's range for the right to run it.
type Claim struct {
	ID      ID
	Holder  fleet.VMID
	Request fleet.RequestID
}

// Settle records the outcome of a claimed request with the holder of its range.
// The holder applies it only to the claim of the same query.
type Settle struct {
	ID      ID
	Holder  fleet.VMID
	Request fleet.RequestID
	Outcome outcome.Outcome // empty when the request was answered
}

// ReportPoison reports that a request content crashed targets and must be blocked.
type ReportPoison struct {
	Fingerprint fleet.Fingerprint
	Until       time.Time
}

// Finish ends a query with an answer or a refusal.
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

// Answer is the merged result of a query. All parts come from one snapshot.
type Answer struct {
	Request      fleet.RequestID
	IndexVersion uint64
	PartitionMap uint64
	Shards       int      // groups of the snapshot's partition map
	Missing      []string // names of the groups that did not answer
	Parts        []Part   // in the order of the service's groups
}

// Coverage is the fraction of groups that answered.
func (a *Answer) Coverage() float64 {
	if a.Shards == 0 {
		return 1
	}
	return float64(a.Shards-len(a.Missing)) / float64(a.Shards)
}

// Part is the answer of one group.
type Part struct {
	Shard string
	Body  []byte
}

// Stats counts the work that one query caused.
type Stats struct {
	Shards        int // groups of the last plan
	Sends         int // sub-requests sent, probes for index versions included
	Attempts      int // attempts at targets that replies reported
	Hedges        int // sub-requests sent to a second home because the first was slow
	Failovers     int // sub-requests sent to a second home because the first was silent
	Plans         int
	Crashes       int // crashes of targets that replies reported
	RepeatCrashes int // of these, outside the first fan-out
}
