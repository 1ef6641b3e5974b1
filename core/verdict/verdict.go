// Package verdict defines what a refusal or a failure proves about a request:
// that it did not run, that it ran, or that neither is known.
//
// # Usage
//
// Code that fails a request returns an *Error. The code that receives it decides by
// the verdict alone whether the request may be sent again:
//
//	err := upstream.Send(req)
//	if verdict.Of(err) == verdict.NotRun {
//		// Safe to retry elsewhere, for any method.
//	}
//
// An error without a verdict counts as MaybeRan, since it proves nothing.
package verdict

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict is what is known about a request without a complete response.
type Verdict int

const (
	// MaybeRan: the request may have run completely, in part or not at all.
	// It is the zero value, since it claims nothing.
	MaybeRan Verdict = iota
	// NotRun: the request did not run and never will.
	NotRun
	// Ran: the request ran, but its response may be lost.
	Ran
)

// String returns the verdict's name as used in headers and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "NotRun"
	case Ran:
		return "Ran"
	default:
		return "MaybeRan"
	}
}

// Parse returns the verdict with the name s, or MaybeRan if there is none.
func Parse(s string) Verdict {
	switch s {
	case "NotRun":
		return NotRun
	case "Ran":
		return Ran
	default:
		return MaybeRan
	}
}

// Reason is a stable, documented code for why a request failed.
type Reason string

// The reasons. docs/operators/refusals.md explains each one.
const (
	ReasonBadRequest    Reason = "BadRequest"
	ReasonNoService     Reason = "NoSuchService"
	ReasonNotReady      Reason = "NotReady"
	ReasonLeaving       Reason = "Leaving"
	ReasonBusy          Reason = "Busy"
	ReasonQueueFull     Reason = "QueueFull"
	ReasonNoCapacity    Reason = "NoCapacity"
	ReasonShed          Reason = "Shed"
	ReasonUnreachable   Reason = "Unreachable"
	ReasonBroken        Reason = "Broken"
	ReasonDeadline      Reason = "Deadline"
	ReasonCanceled      Reason = "Canceled"
	ReasonPlatform      Reason = "PlatformDown"
	ReasonInProgress    Reason = "InProgress"
	ReasonKeyReused     Reason = "KeyReused"
	ReasonKeyMissing    Reason = "KeyMissing"
	ReasonAnswerNotKept Reason = "AnswerNotKept"
	ReasonMisdirected   Reason = "Misdirected"
	ReasonTooLarge      Reason = "TooLarge"
	ReasonQuarantined   Reason = "Quarantined"
	ReasonUnknownKey    Reason = "UnknownKey"
	ReasonOverLimit     Reason = "OverLimit"
	ReasonNotSure       Reason = "NotSure"
	ReasonWithheld      Reason = "Withheld"
	ReasonOverdue       Reason = "Overdue"
)

// Error is the failure of a request.
type Error struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is the time after which the caller may retry; 0: it should not retry.
	RetryAfter time.Duration
	// Err is the cause, for logs. It may be nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Verdict, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %v", e.Verdict, e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns an *Error without a cause.
func New(v Verdict, reason Reason, retryAfter time.Duration) *Error {
	return &Error{Verdict: v, Reason: reason, RetryAfter: retryAfter}
}

// Wrap returns an *Error with a cause.
func Wrap(err error, v Verdict, reason Reason, retryAfter time.Duration) *Error {
	return &Error{Verdict: v, Reason: reason, RetryAfter: retryAfter, Err: err}
}

// Of returns the verdict of err. An error without one is MaybeRan.
func Of(err error) Verdict { return As(err).Verdict }

// ContextReason returns the reason for the failure of a request, given its context's error:
// the deadline passed, the caller canceled, or, if ctxErr is nil, other.
func ContextReason(ctxErr error, other Reason) Reason {
	switch {
	case errors.Is(ctxErr, context.DeadlineExceeded):
		return ReasonDeadline
	case ctxErr != nil:
		return ReasonCanceled
	default:
		return other
	}
}

// As returns the *Error in err's chain, or one with verdict MaybeRan that wraps err if there
// is none.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MaybeRan, Reason: ReasonBroken, Err: err}
}
