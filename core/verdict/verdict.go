// Package verdict says what a refusal or a failure proves about a request:
// that it did not run, that it ran, or that nobody can tell.
//
// # Usage
//
// Code that gives up on a request returns an *Error. The code that receives it
// decides by the verdict alone whether the request may be sent again:
//
//	err := upstream.Send(req)
//	if verdict.Of(err) == verdict.NotRun {
//		// Safe to try elsewhere, whatever the method.
//	}
//
// An error that carries no verdict counts as MaybeRan: a missing proof is never
// taken for a proof.
package verdict

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict is what is known about a request that brought no whole answer.
type Verdict int

const (
	// MaybeRan: the request may have run, wholly, in part or not at all.
	// It is the zero value, since it promises nothing.
	MaybeRan Verdict = iota
	// NotRun: the request did not run and never will.
	NotRun
	// Ran: the request ran, though its answer may be lost.
	Ran
)

// String returns the verdict's name as it stands in headers and logs.
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

// Parse returns the verdict named by s, and MaybeRan where s names none.
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

// Reason is a stable, documented word for why a request was refused.
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
)

// Error is a request given up on.
type Error struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is when the caller may come back; 0 says not to.
	RetryAfter time.Duration
	// Err is the cause, for the log. It may be nil.
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

// Of returns the verdict that err carries. An error without one is MaybeRan.
func Of(err error) Verdict { return As(err).Verdict }

// GaveUp returns why a request failed under a context: its time was over, its caller
// left, or, where the context goes on (nil), something else.
func GaveUp(ctxErr error, other Reason) Reason {
	switch {
	case errors.Is(ctxErr, context.DeadlineExceeded):
		return ReasonDeadline
	case ctxErr != nil:
		return ReasonCanceled
	default:
		return other
	}
}

// As returns err's *Error, or a MaybeRan one around err where it has none.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MaybeRan, Reason: ReasonBroken, Err: err}
}
