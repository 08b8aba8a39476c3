// Package serve decides how one VM serves requests: which requests it admits,
// which target runs a request or each shard of a fan-out, on which connection,
// when an attempt is retried or hedged, and what the caller is answered. An
// Engine is given events and the time, and returns actions; it does no input or
// output and starts no timers itself.
package serve

import (
	"time"

	"github.com/anvilfork/anvilfork/core/callers"
	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/outcome"
)

// RequestID identifies a request on this VM.
type RequestID uint64

// AttemptID identifies one attempt of this VM at a target.
type AttemptID uint64

// ConnID identifies one connection of this VM to a target.
type ConnID uint64

// RelayID identifies a relay: the sub-requests of a query that this VM has
// another VM run.
type RelayID uint64

// Request is a request of a caller.
type Request struct {
	ID              RequestID
	CallerRequestID string // request id that the caller has sent; it is echoed to the caller and logged
	Host            string
	Path            string
	Key             string
	Caller          string        // IP address that the request came from, without port; empty if unknown
	Timeout         time.Duration // how long the caller waits; zero if it sends no timeout
	Fingerprint     uint64        // hash of the content, equal for requests with equal content
	Received        time.Time     // when the VM began to read it; zero if unknown
	Payload         any           // encoded form for targets; the engine does not read it
}

// Response is a target's answer.
type Response struct {
	Status    int
	Success   bool
	Signature string // the target's signature of the answer
	Body      []byte
	Header    any // encoded form for the caller; the engine does not read it
}

// Merged is the answer of a fan-out: the greatest records of the shards that
// answered.
type Merged struct {
	Body          []byte
	Signatures    []string // one for each shard that answered
	MissingShards int      // shards without an answer
}

// Answer is the end of a request. Exactly one of Refusal, Response and Merged
// is set.
type Answer struct {
	Refusal  *outcome.Refusal
	Response *Response
	Merged   *Merged
	Trace    Trace
}

// Trace describes how an answer came about, for logs and metrics.
type Trace struct {
	Route             string
	Workspace         string
	ConfigVersion     uint64
	CopyAge           time.Duration // age of the copy of the store at the admission
	Priority          int
	AdmissionLag      time.Duration // from Request.Received to the admission
	AnsweredAt        time.Time     // when the engine returned the answer
	Duration          time.Duration
	QueueWait         time.Duration // longest time that a sub-request was queued on this VM
	Attempts          int
	Hedges            int
	Retries           int
	CrossZoneAttempts int  // attempts at targets of other zones
	FromPool          bool // admitted by the pool of its workspace
	Shards            int
	Relayed           int          // shards that were relayed to other VMs
	RelayedTo         []fleet.VMID // VMs that the shards were relayed to
	MissingShards     []string
	MissingCauses     []MissingCause // of MissingShards, in their order; nil for a refusal
	EndedEarly        bool           // answered without the late shards, as the objective was near
	Caller            callers.Verdict
}

// ResultKind classifies the end of an attempt.
type ResultKind uint8

// The ends of an attempt.
const (
	Answered     ResultKind = iota + 1 // the target ran the request and answered
	Shed                               // the target refused the request and did not run it
	WrongProcess                       // another process answers at the target's address; it did not run the request
	NotWritten                         // the connection failed before the request was written
	ConnLost                           // the connection failed after the request was written
	Unreadable                         // the answer is truncated, malformed or belongs to another request
)

var resultNames = [...]string{"", "answered", "shed", "wrong_process", "not_written", "connection_lost", "unreadable"}

// String returns the name used in logs and metrics.
func (k ResultKind) String() string { return resultNames[k] }

// notRun reports whether it is certain that the target did not run the request.
func (k ResultKind) notRun() bool { return k == Shed || k == WrongProcess || k == NotWritten }

// Load is the load that a target reports with an answer, in requests.
type Load struct {
	Running, Queued, Slots int
	Pace                   float64 // how long work takes there now, 1 being as usual; zero if it is not stated
}

// RelayedWork is the part of a fan-out that a VM runs for another one, which has
// no targets of these shards in its zone or no connections to them. Each shard gets a single attempt; the
// VM that relayed the work makes the second one itself.
type RelayedWork struct {
	Route        string
	Shards       []string
	TopK         int
	Request      *Request // only CallerRequestID, Fingerprint and Payload are sent between VMs
	Workspace    string   // empty on public routes
	Priority     int
	TimeLeft     time.Duration // until the deadline
	ReplyTimeout time.Duration // until a reply with the shards that have ended is due
}

// RelayReply reports the shards of a RelayedWork that have ended since the
// previous reply.
type RelayReply struct {
	Answers []RelayedAnswer
	Body    []byte // greatest records of Answers together
	Failed  []RelayedFailure
	Leaving []string // ids of targets that said, since the previous reply, that they are about to end
	More    bool     // other shards are still running
}

// RelayedAnswer is a shard that answered.
type RelayedAnswer struct {
	Shard     int // index in RelayedWork.Shards
	Signature string
	Attempts  int // attempts that reached targets
}

// RelayedFailure is a shard that ended without an answer.
type RelayedFailure struct {
	Shard        int
	Attempts     int // attempts that reached targets
	PossibleRuns int // attempts that may have run
}

// Event is an input of an Engine.
type Event interface{ event() }

// Submit hands over a request of a caller.
type Submit struct{ Request *Request }

// Cancel reports that the caller of a request has gone away.
type Cancel struct{ ID RequestID }

// AttemptDone reports the end of an attempt.
type AttemptDone struct {
	Attempt     AttemptID
	Conn        ConnID
	Kind        ResultKind
	Response    *Response
	Load        *Load         // nil if the target stated none
	InvalidLoad string        // why the stated load, or a part of it, is not used; empty if it is valid
	Cause       string        // error of a failed attempt; empty if there is none
	Reusable    bool          // the connection can carry another request
	IdleTimeout time.Duration // idle timeout that the target states; zero if it states none
	Leaving     bool          // the target says that its process is about to end
	Backoff     time.Duration // how long the target wants no requests of this VM; zero if it does not say
}

// ConnOpened reports that a connection is open.
type ConnOpened struct{ Conn ConnID }

// ConnClosed reports that a connection could not be opened or was closed while
// no attempt used it.
type ConnClosed struct {
	Conn    ConnID
	Refused bool // the connection was refused: no process listens at the address
	Cause   string
}

// RelayReplied hands over a reply to a relay.
type RelayReplied struct {
	Relay RelayID
	Reply *RelayReply
}

// RelayFailed reports that a relay has failed and no further reply comes.
type RelayFailed struct {
	Relay   RelayID
	Refused bool // the other VM did not accept the work
	Cause   string
}

// RelayRequested hands over work that another VM relayed. The id of its request
// is unique among all requests of this VM.
type RelayRequested struct{ Work *RelayedWork }

// RelayCancelled reports that the other VM no longer needs the work.
type RelayCancelled struct{ ID RequestID }

// CatalogChanged hands over the configuration, the targets by id, and the zones
// that are out of service. Config is nil while there is none. Lapsed holds targets that
// Targets lacks since this event and that may be back, and until when.
type CatalogChanged struct {
	Config   *catalog.Config
	Targets  map[string]*catalog.Target
	Lapsed   map[string]time.Time
	ZonesOut map[string]bool
}

// FleetChanged hands over a new view of the fleet.
type FleetChanged struct{ View *mesh.View }

// Delivered reports that the answer of a fan-out was handed to the connection of its
// caller.
type Delivered struct {
	Lag time.Duration // Trace.AdmissionLag, and the time since the engine returned the answer
}

// Tick reports that the time given by Next has come.
type Tick struct{}

func (RelayReplied) event()   {}
func (RelayFailed) event()    {}
func (RelayRequested) event() {}
func (RelayCancelled) event() {}
func (Submit) event()         {}
func (Delivered) event()      {}
func (Cancel) event()         {}
func (AttemptDone) event()    {}
func (ConnOpened) event()     {}
func (ConnClosed) event()     {}
func (CatalogChanged) event() {}
func (FleetChanged) event()   {}
func (Tick) event()           {}

// Action is an output of an Engine.
type Action interface{ action() }

// OpenConn opens a connection to a target.
type OpenConn struct {
	Conn    ConnID
	Address string
	Cause   ConnCause
}

// CloseConn closes a connection. No event follows.
type CloseConn struct{ Conn ConnID }

// StartAttempt sends a request on an idle connection.
type StartAttempt struct {
	Attempt   AttemptID
	Conn      ConnID
	Request   *Request
	Target    string // id of the target that is meant
	Verified  bool   // the target has answered on this connection before
	Workspace string // empty on public routes
	TimeLeft  time.Duration
}

// StartRelay has another VM run shards of a query. Its replies come back as
// RelayReplied, the last one with More unset, or it ends with RelayFailed.
type StartRelay struct {
	Relay RelayID
	Peer  string // address of the VM
	Work  *RelayedWork
}

// CancelRelay ends a relay whose replies are no longer needed. Replies that are
// under way are ignored.
type CancelRelay struct{ Relay RelayID }

// SendRelayReply sends a reply to the VM that relayed the work.
type SendRelayReply struct {
	ID    RequestID // of the work's request
	Reply *RelayReply
}

// Respond sends the answer of a request to its caller.
type Respond struct {
	ID     RequestID
	Answer *Answer
}

// Report hands over the demand and the timeouts of this VM's callers and the request
// contents that crashed targets, for the other VMs.
type Report struct {
	Demand   []mesh.WorkspaceDemand
	Crashes  []mesh.Crash
	Timeouts []mesh.RouteTimeout // longer ones than the fleet is known to have
	Pressing []callers.Pressing
}

func (OpenConn) action()       {}
func (CloseConn) action()      {}
func (StartAttempt) action()   {}
func (StartRelay) action()     {}
func (CancelRelay) action()    {}
func (SendRelayReply) action() {}
func (Respond) action()        {}
func (Report) action()         {}
