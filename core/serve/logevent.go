package serve

import "time"

// LogEvent is a decision to be logged: one between the admission and the answer
// of a request, or a change in the state of a target or the configuration.
type LogEvent struct {
	Event    LogEventName
	Request  *Request // nil if it concerns no single request
	Service  string
	Target   string
	Cause    string
	Failure  ResultKind    // of LogAttemptFailed
	Duration time.Duration // of the attempt, the backoff or the wait that the event is about
	Count    int
}

func (LogEvent) action() {}

// LogEventName is the name of a log event.
type LogEventName string

// The log events of an Engine.
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
	LogTargetLeaving  LogEventName = "target_leaving"
	LogTargetBackoff  LogEventName = "target_backoff"
	LogTargetCrashed  LogEventName = "target_crashed"
	LogInvalidLoad    LogEventName = "target_load_invalid"
	LogConfigApplied  LogEventName = "config_in_force"
)
