// Package serve decides how one VM serves requests: what it admits, which
// target runs a request or each part of a fan-out, on which connection, when an
// attempt is repeated or hedged, and what the caller is told.
package serve

import (
	"time"

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

// RelayID identifies the part of a query that this VM had another one run.
type RelayID uint64

// Request is a request of a caller.
type Request struct {
	ID          RequestID
	CallerRef   string // the caller's name for it; logs use it
	Host        string
	Path        string
	Key         string
	Timeout     time.Duration // how long the caller waits; zero when it does not say
	Fingerprint uint64        // equal for requests with equal content
	Payload     any           // encoded form for targets; passed on unread
}

// Response is a target's answer.
type Response struct {
	Status    int
	Success   bool
	Signature string // the target's signature of the answer
	Body      []byte
	Header    any // encoded form for the caller; passed on unread
}

// Merged is the answer of a fan-out: the greatest records of its parts.
type Merged struct {
	Body          []byte
	Signatures    []string // one for each part that is in
	MissingShards int      // shards that are left out
}

// Answer ends a request. One of Refusal, Response and Merged is set.
type Answer struct {
	Refusal  *outcome.Refusal
	Response *Response
	Merged   *Merged
	Trace    Trace
}

// Trace tells how an answer came about.
type Trace struct {
	Route         string
	Workspace     string
	ConfigVersion uint64
	CopyAge       time.Duration // age of the copy of the store at the admission
	Priority      int
	Duration      time.Duration
	Attempts      int
	Hedges        int
	Retries       int
	CrossZone     int // attempts at targets of other zones
	Shards        int
	Relayed       int        // shards that another VM was asked to run
	RelayedTo     fleet.VMID // that VM
	MissingShards []string
	EndedEarly    bool // answered before all shards had, because the objective was near
}

// ResultKind classifies the end of an attempt.
type ResultKind uint8

// The ends of an attempt.
const (
	Answered     ResultKind = iota + 1 // the target ran the request and answered
	Shed                               // the target states that it did not run the request
	WrongProcess                       // another target has the address; not run
	NotWritten                         // the connection failed before anything was written
	ConnLost                           // the connection failed after the write
	Unreadable                         // the answer is cut short, not an answer, or another request's
)

var resultNames = [...]string{"", "answered", "shed", "wrong_process", "not_written", "connection_lost", "unreadable"}

// String returns the name used in logs and metrics.
func (k ResultKind) String() string { return resultNames[k] }

// notRun reports whether the target certainly did not run the request.
func (k ResultKind) notRun() bool { return k == Shed || k == WrongProcess || k == NotWritten }

// Load is what a target says of its load.
type Load struct {
	Running, Queued, Slots int
}

// RelayedWork is the part of a fan-out that a VM runs for another one, which has
// no targets of these shards in its zone. Each shard gets a single attempt: the
// VM that asks makes the second one itself.
type RelayedWork struct {
	Route     string
	Shards    []string
	TopK      int
	Request   *Request // only CallerRef, Fingerprint and Payload cross VMs
	Workspace string   // empty on public routes
	Priority  int
	TimeLeft  time.Duration // until the deadline
	ReplyIn   time.Duration // until a reply is due with the shards that have ended
}

// RelayReply tells which shards of a RelayedWork have ended since the reply
// before.
type RelayReply struct {
	Parts  []RelayedPart
	Body   []byte // greatest records of Parts
	Failed []RelayedFailure
	More   bool // other shards have not ended
}

// RelayedPart is the answer of a shard.
type RelayedPart struct {
	Shard     int // index in RelayedWork.Shards
	Signature string
	Attempts  int // that reached targets
}

// RelayedFailure is a shard without an answer.
type RelayedFailure struct {
	Shard      int
	Attempts   int // that reached targets
	MayHaveRun int // attempts that may have run
}

// Event is an input of an Engine.
type Event interface{ event() }

// Submit hands in a request.
type Submit struct{ Request *Request }

// Cancel reports that the caller of a request has left.
type Cancel struct{ ID RequestID }

// AttemptDone reports the end of an attempt.
type AttemptDone struct {
	Attempt  AttemptID
	Conn     ConnID
	Kind     ResultKind
	Response *Response
	Load     *Load
	Cause    string        // of a failure
	Reusable bool          // the connection can carry another request
	IdleFor  time.Duration // how long the target keeps the idle connection; zero when it does not say
}

// ConnOpened reports that a connection is ready.
type ConnOpened struct{ Conn ConnID }

// ConnClosed reports that a connection could not be opened or has ended while
// no attempt was on it.
type ConnClosed struct {
	Conn    ConnID
	Refused bool // the target's process does not accept connections
	Cause   string
}

// RelayReplied hands over a reply of the VM that runs a part of a query.
type RelayReplied struct {
	Relay RelayID
	Reply *RelayReply
}

// RelayFailed reports that the VM that was to run a part of a query, or the
// rest of it, gives no reply.
type RelayFailed struct {
	Relay  RelayID
	NotRun bool // it did not take the work
	Cause  string
}

// RelayRequested hands in work of another VM. The id of its request is unique
// among all requests of this VM.
type RelayRequested struct{ Work *RelayedWork }

// RelayCancelled reports that the other VM does not need the work any more.
type RelayCancelled struct{ ID RequestID }

// CatalogChanged hands over what the platform publishes.
type CatalogChanged struct {
	Config   *catalog.Config
	Targets  map[string]*catalog.Target
	ZonesOut map[string]bool
}

// FleetChanged hands over what is known of the fleet.
type FleetChanged struct{ View *mesh.View }

// Tick reports that the time given by Next has come.
type Tick struct{}

func (RelayReplied) event()   {}
func (RelayFailed) event()    {}
func (RelayRequested) event() {}
func (RelayCancelled) event() {}
func (Submit) event()         {}
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
}

// CloseConn closes a connection; no event follows.
type CloseConn struct{ Conn ConnID }

// StartAttempt sends a request on an idle connection.
type StartAttempt struct {
	Attempt   AttemptID
	Conn      ConnID
	Request   *Request
	Target    string // id of the process that is meant
	Verified  bool   // that process has answered on the connection before
	Workspace string // empty on public routes
	TimeLeft  time.Duration
}

// StartRelay has another VM run a part of a query. Its replies come back as
// RelayReplied, the last one with More unset, or as RelayFailed.
type StartRelay struct {
	Relay RelayID
	Peer  string // address of the VM
	Work  *RelayedWork
}

// CancelRelay ends a relay whose replies aren't needed any more.
type CancelRelay struct{ Relay RelayID }

// SendRelayReply sends a reply for work of another VM.
type SendRelayReply struct {
	ID    RequestID // of the work's request
	Reply *RelayReply
}

// Respond answers a request.
type Respond struct {
	ID     RequestID
	Answer *Answer
}

// Report hands over the demand of this VM's callers and the requests that
// crashed targets.
type Report struct {
	Demand  []mesh.WorkspaceDemand
	Crashes []mesh.Crash
}

// LogEvent is a decision between the admission and the answer of a request, or a
// change of what is believed of a target.
type LogEvent struct {
	Event    LogEventName
	Request  *Request // nil when no request is concerned
	Service  string
	Target   string
	Cause    string
	Duration time.Duration // of the attempt, or the length of a pause
	Count    int
}

// LogEventName names a kind of decision.
type LogEventName string

// The decisions that are noted.
const (
	LogAttemptFailed  LogEventName = "attempt_failed"
	LogRetry          LogEventName = "attempt_repeated"
	LogNoRetry        LogEventName = "attempt_not_repeated"
	LogHedge          LogEventName = "attempt_hedged"
	LogCallerLeft     LogEventName = "caller_left"
	LogRelayFailed    LogEventName = "relay_failed"
	LogRelayedRun     LogEventName = "relayed_run"
	LogTargetEjected  LogEventName = "target_ejected"
	LogTargetRestored LogEventName = "target_restored"
	LogTargetAdded    LogEventName = "target_added"
	LogTargetRemoved  LogEventName = "target_removed"
	LogTargetLapsed   LogEventName = "target_lapsed"
	LogTargetDraining LogEventName = "target_draining"
	LogTargetCrashed  LogEventName = "target_crashed"
	LogConfigApplied  LogEventName = "config_in_force"
)

func (OpenConn) action()       {}
func (CloseConn) action()      {}
func (StartAttempt) action()   {}
func (StartRelay) action()     {}
func (CancelRelay) action()    {}
func (SendRelayReply) action() {}
func (Respond) action()        {}
func (Report) action()         {}
func (LogEvent) action()       {}
