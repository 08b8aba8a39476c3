// Package outcome defines the typed refusals that the query tier returns to
// callers. A Refusal states what is known about the execution of the request,
// so that a caller can decide whether sending it again is safe.
package outcome

import (
	"fmt"
	"time"
)

// Outcome states what is known about the execution of a refused request.
type Outcome string

// The outcomes of a refused request.
const (
	NotRun        Outcome = "not_run"         // no target executed any part of the request
	Unknown       Outcome = "outcome_unknown" // a target may have executed the request
	RanAnswerLost Outcome = "ran_answer_lost" // a target executed the request, but its answer was lost
)

// Valid reports whether o is one of the defined outcomes.
func (o Outcome) Valid() bool { return o == NotRun || o == Unknown || o == RanAnswerLost }

// Code is the reason of a refusal in machine-readable form.
type Code string

// All codes of refusals.
const (
	CodeBadRequest            Code = "bad_request"
	CodeTooLarge              Code = "too_large"
	CodeUnauthorized          Code = "unauthorized"
	CodeUnknownService        Code = "unknown_service"
	CodeUnknownRoute          Code = "unknown_route"
	CodeRateExceeded          Code = "rate_exceeded"
	CodeOverloaded            Code = "overloaded"
	CodeDeadlineExceeded      Code = "deadline_exceeded"
	CodeNoHome                Code = "no_home"
	CodeNoReplica             Code = "no_replica"
	CodeNoSnapshot            Code = "no_snapshot"
	CodeInsufficientCoverage  Code = "insufficient_coverage"
	CodeFenced                Code = "fenced"
	CodeNotReady              Code = "not_ready"
	CodeStopping              Code = "stopping"
	CodePoisonRequest         Code = "poison_request"
	CodeDuplicateRequest      Code = "duplicate_request"
	CodeRequestTooOld         Code = "request_too_old"
	CodeDependencyUnavailable Code = "dependency_unavailable"
	CodeConnectionLost        Code = "connection_lost"
	CodeTargetFailed          Code = "target_failed"
	CodeTargetCrashed         Code = "target_crashed"
	CodeCallerGone            Code = "caller_gone"
)

// Refusal is the error that ends a request without an answer.
type Refusal struct {
	Code       Code
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration // how long the caller should wait before it retries; zero if unknown
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Reason)
}

// New returns a Refusal with a formatted reason.
func New(code Code, o Outcome, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: o, Reason: fmt.Sprintf(format, args...)}
}

// Worse returns the outcome of a request of which two parts ended with a and b:
// the one that claims less. The whole was not run only if no part was.
func Worse(a, b Outcome) Outcome {
	if rank(a) >= rank(b) {
		return a
	}
	return b
}

func rank(o Outcome) int {
	switch o {
	case NotRun:
		return 0
	case RanAnswerLost:
		return 1
	default:
		return 2
	}
}
