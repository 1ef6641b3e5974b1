// Package claim decides how a request that must not run twice is claimed,
// dispatched and settled. It is a pure state machine: it returns the writes to
// the platform's table as actions and receives their results as events.
// Package platform carries the writes out; spec/claim.pml models the same
// protocol for the model checker.
//
// # The protocol
//
// A row in the table, under (service, caller, key), represents the operation.
// Every write to it is a compare-and-set on the row last seen. An attempt
// writes a row with its own unique ID in state Claimed; only the attempt whose
// ID is in the row may dispatch, and only once. A row in state Done holds the
// response. A Tombstone says that the attempts before it can no longer claim
// the row, so a later one may replace it.
//
// # A lost response
//
// If the table's response to the claiming write is lost, the write may have
// taken effect, may still do so later, or may never. A read does not settle
// it, as the write can arrive after the read. So the attempt writes a
// tombstone on the same condition as the claim: at most one of the two can
// ever be applied. If the tombstone is applied, the claim never will be; if
// the attempt finds its own claim instead, it goes on.
//
// # Usage
//
//	a := claim.New(key, id, digest, holder, deadline)
//	act := a.Start(now)
//	for act.Kind == claim.Write {
//		act = a.Written(time.Now(), table.CompareAndSet(act))
//	}
//
// After Dispatch the caller of this package reports the outcome by Finish, and
// carries out the writes that follow in the background.
package claim

import (
	"time"

	"auburnlatch/core/verdict"
)

// Retention and delays. A row must outlive every write that could still arrive
// for it: if it were deleted sooner, a late claim on the condition "no row"
// would be applied after the operation had already run.
const (
	// MaxWriteDelay is the longest time that a table write is assumed to be in
	// flight.
	MaxWriteDelay = 10 * time.Minute
	// Retention is how long a row is kept after its last write.
	Retention = 7 * 24 * time.Hour
	// DispatchMargin is the time before the deadline at which a holder stops
	// dispatching. It covers clock skew and the network delay to the upstream.
	DispatchMargin = 50 * time.Millisecond
)

// DefaultRetryAfter is the time after which a caller should retry an operation
// whose outcome is not known yet, or that cannot be claimed at present.
const DefaultRetryAfter = time.Second

// Key identifies an operation.
type Key struct {
	Service string
	// Caller is the caller's identity; two callers may use the same key.
	Caller string
	// Idempotency is the caller's Idempotency-Key.
	Idempotency string
}

// State is the state of a row.
type State int

// The states of a row. The zero value stands for "no row".
const (
	Absent State = iota
	Claimed
	Done
	Tombstone
)

// String returns the state's name as stored.
func (s State) String() string {
	switch s {
	case Claimed:
		return "Claimed"
	case Done:
		return "Done"
	case Tombstone:
		return "Tombstone"
	default:
		return "Absent"
	}
}

// Holder is the VM that made an attempt, with its incarnation at that time.
type Holder struct {
	VM          string
	Incarnation uint64
}

// Header is one field of a stored response.
type Header struct {
	Name   string
	Values []string
}

// Answer is a complete response, stored for replay.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
	// Object names the body in the object store, if Body is not used.
	Object string
	// TooLarge is set if the response was not stored.
	TooLarge bool
}

// Row is the value of a row.
type Row struct {
	Attempt  string
	State    State
	Digest   string
	Holder   Holder
	Deadline time.Time
	Answer   *Answer
	Written  time.Time
}

// Version identifies one state of a row; the table never uses one twice.
// 0 stands for "no row".
type Version uint64

// Outcome is the outcome of a write.
type Outcome int

// The outcomes of a write.
const (
	// Unknown: the table's response was lost. The write may be applied, now or
	// later.
	Unknown Outcome = iota
	// Applied: the write took effect.
	Applied
	// Conflict: the row did not have the version required by the write.
	Conflict
	// NotSent: the write was not sent, and never will be.
	NotSent
	// Doubtful: the claim took effect in a table that has just been restored from an older
	// copy, and may have lost an earlier claim of the operation.
	Doubtful
)

// Result is the result of a write.
type Result struct {
	Outcome Outcome
	// Version is the version after the write if Applied, that of Row if Conflict.
	Version Version
	// Row is the row found if Conflict; its State may be Absent.
	Row Row
}

// Kind is the kind of an action.
type Kind int

// The kinds of actions.
const (
	// Write Row on condition that the row's version is If.
	Write Kind = iota
	// Dispatch the request now, once.
	Dispatch
	// Replay the stored response to the caller.
	Replay
	// Refuse the request with Err.
	Refuse
	// Stop: there is nothing left to do.
	Stop
)

// Action is the next step that an attempt requires.
type Action struct {
	Kind Kind
	// If and Row belong to Write.
	If  Version
	Row Row
	// Answer belongs to Replay.
	Answer *Answer
	// Err belongs to Refuse. A Write that has it concerns the row only: the
	// caller gets Err at once, and the write goes on in the background.
	Err *verdict.Error
}
