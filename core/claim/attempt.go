package claim

import (
	"time"

	"auburnlatch/core/verdict"
)

// maxReplacements bounds how many tombstones one attempt tries to replace, so
// that attempts which keep losing to each other come to an end.
const maxReplacements = 4

type phase int

const (
	idle phase = iota
	claiming
	settling
	holding
	finishing
	ended
)

// Attempt is one try to run an operation. It is not safe for concurrent use.
type Attempt struct {
	Key      Key
	ID       string
	Digest   string
	Holder   Holder
	Deadline time.Time

	phase        phase
	expected     Version // The version the last write was conditioned on.
	ownVersion   Version // The version of the attempt's own claim, once it is known.
	lastWrite    Row     // The row of the last write.
	replacements int
	refusal      *verdict.Error // What the caller was told, while a row is being settled.
}

// New returns an attempt that has not started. The id must never have been
// used before.
func New(key Key, id, digest string, holder Holder, deadline time.Time) *Attempt {
	return &Attempt{Key: key, ID: id, Digest: digest, Holder: holder, Deadline: deadline}
}

// Start returns the claiming write, or a refusal if no time is left.
func (a *Attempt) Start(now time.Time) Action {
	return a.claim(now, 0)
}

// Written takes the result of the last write and returns the next action.
func (a *Attempt) Written(now time.Time, r Result) Action {
	switch a.phase {
	case claiming:
		return a.claimWritten(now, r)
	case settling:
		return a.tombstoneWritten(now, r)
	case finishing:
		return a.finishWritten(now, r)
	default:
		return Action{Kind: Stop}
	}
}

// Cancel ends an attempt that has not dispatched, because its caller left or
// its deadline passed; err is what the caller is told. The attempt dispatches
// nothing from then on; the writes that follow settle its row.
func (a *Attempt) Cancel(now time.Time, err *verdict.Error) Action {
	if a.refusal == nil {
		a.refusal = err
	}
	switch a.phase {
	case claiming:
		return a.settle(now)
	case holding:
		return a.release(now)
	default:
		return Action{Kind: Stop}
	}
}

// Finish takes the outcome of the dispatch: the response if there is one,
// else an error whose verdict says what is known. The writes that follow are
// for the row only; the caller need not wait for them.
func (a *Attempt) Finish(now time.Time, answer *Answer, err error) Action {
	if a.phase != holding {
		return Action{Kind: Stop}
	}
	switch {
	case answer != nil:
		a.phase = finishing
		return a.write(a.ownVersion, a.row(now, Done, answer))
	case verdict.Of(err) == verdict.NotRun:
		return a.release(now)
	default:
		// The row stays Claimed: only the upstream or an operator knows whether
		// the operation ran.
		a.phase = ended
		return Action{Kind: Stop}
	}
}

// MayDispatch reports whether the holder still has the time to dispatch. It is
// called right before the request is written to the upstream: a holder that
// was paused since its claim must not send a request that an operator has
// resolved as not run in the meantime. A pause between this check and the
// write itself is not covered; it is bounded by the rule that operators may
// resolve a claim only MaxWriteDelay after its deadline.
func MayDispatch(now, deadline time.Time) bool {
	return now.Before(deadline.Add(-DispatchMargin))
}

// MayResolve reports whether an operator may resolve a claim by hand.
func MayResolve(now time.Time, row Row) bool {
	return row.State == Claimed && now.After(row.Deadline.Add(MaxWriteDelay))
}

// MayDelete reports whether a row may be deleted: it is settled, and no write
// to it can still be in flight. A claim that nobody settled is kept forever;
// only the upstream or an operator knows whether its operation ran.
func MayDelete(now time.Time, row Row) bool {
	return (row.State == Done || row.State == Tombstone) && now.After(row.Written.Add(Retention))
}

func (a *Attempt) claim(now time.Time, on Version) Action {
	if !MayDispatch(now, a.Deadline) {
		a.phase = ended
		return refuse(verdict.NotRun, verdict.ReasonDeadline, 0)
	}
	a.phase = claiming
	return a.write(on, a.row(now, Claimed, nil))
}

func (a *Attempt) claimWritten(now time.Time, r Result) Action {
	switch r.Outcome {
	case Applied:
		return a.acquired(now, r.Version)
	case Conflict:
		return a.resolveConflict(now, r)
	case NotSent:
		a.phase = ended
		return refuse(verdict.NotRun, verdict.ReasonPlatform, DefaultRetryAfter)
	case Doubtful:
		a.ownVersion = r.Version
		a.refusal = verdict.New(verdict.NotRun, verdict.ReasonPlatform, DefaultRetryAfter)
		return a.release(now)
	default:
		return a.settle(now)
	}
}

// resolveConflict decides on the row that was found in place of the one that
// the claim or the tombstone was conditioned on.
func (a *Attempt) resolveConflict(now time.Time, r Result) Action {
	if r.Row.Attempt == a.ID && r.Row.State == Claimed {
		return a.acquired(now, r.Version)
	}
	if r.Row.State == Absent || r.Row.State == Tombstone {
		return a.replace(now, r)
	}
	a.phase = ended
	if r.Row.Digest != a.Digest {
		return refuse(verdict.NotRun, verdict.ReasonKeyReused, 0)
	}
	if r.Row.State == Claimed {
		return refuse(verdict.MaybeRan, verdict.ReasonInProgress, DefaultRetryAfter)
	}
	if r.Row.Answer == nil || r.Row.Answer.TooLarge {
		return refuse(verdict.Ran, verdict.ReasonAnswerNotKept, 0)
	}
	return Action{Kind: Replay, Answer: r.Row.Answer}
}

// replace claims a row that is absent or a tombstone. The attempt's own
// tombstone ends it: the claim before it may still be in flight but can no
// longer be applied, and an attempt that has written a tombstone has told its
// caller that the request did not run.
func (a *Attempt) replace(now time.Time, r Result) Action {
	if r.Row.Attempt == a.ID || a.refusal != nil {
		return a.endUnclaimed()
	}
	a.replacements++
	if a.replacements > maxReplacements {
		a.phase = ended
		return refuse(verdict.NotRun, verdict.ReasonBusy, DefaultRetryAfter)
	}
	return a.claim(now, r.Version)
}

// acquired continues an attempt whose claim was applied as version v.
func (a *Attempt) acquired(now time.Time, v Version) Action {
	a.ownVersion = v
	a.phase = holding
	if a.refusal != nil || !MayDispatch(now, a.Deadline) {
		return a.release(now)
	}
	return Action{Kind: Dispatch}
}

// settle writes a tombstone on the same condition as the claim whose outcome
// is unknown: at most one of the two is ever applied.
func (a *Attempt) settle(now time.Time) Action {
	a.phase = settling
	return a.write(a.expected, a.row(now, Tombstone, nil))
}

func (a *Attempt) tombstoneWritten(now time.Time, r Result) Action {
	switch r.Outcome {
	case Applied:
		return a.endUnclaimed()
	case Conflict:
		return a.resolveConflict(now, r)
	default:
		// The table does not respond. The caller gets its refusal now, after
		// which the attempt must not dispatch; the row is settled when the table
		// is available again. The write may be repeated any number of times,
		// since its condition is the same.
		if a.refusal == nil {
			a.refusal = verdict.New(verdict.NotRun, verdict.ReasonPlatform, DefaultRetryAfter)
		}
		return a.write(a.expected, a.row(now, Tombstone, nil))
	}
}

// endUnclaimed ends an attempt whose claim can never be applied.
func (a *Attempt) endUnclaimed() Action {
	a.phase = ended
	if a.refusal != nil {
		return Action{Kind: Stop}
	}
	return refuse(verdict.NotRun, verdict.ReasonPlatform, DefaultRetryAfter)
}

// release replaces the attempt's claim by a tombstone: nothing was dispatched,
// and a later attempt with the same key may run.
func (a *Attempt) release(now time.Time) Action {
	a.phase = finishing
	if a.refusal == nil && !MayDispatch(now, a.Deadline) {
		a.refusal = verdict.New(verdict.NotRun, verdict.ReasonDeadline, 0)
	}
	return a.write(a.ownVersion, a.row(now, Tombstone, nil))
}

// finishWritten repeats the last write until its outcome is known. A conflict
// means that it was applied before, or that an operator resolved the claim.
func (a *Attempt) finishWritten(_ time.Time, r Result) Action {
	if r.Outcome == Unknown || r.Outcome == NotSent {
		return a.write(a.ownVersion, a.lastWrite)
	}
	a.phase = ended
	return Action{Kind: Stop}
}

func (a *Attempt) write(on Version, row Row) Action {
	a.expected, a.lastWrite = on, row
	return Action{Kind: Write, If: on, Row: row, Err: a.refusal}
}

func (a *Attempt) row(now time.Time, s State, answer *Answer) Row {
	return Row{
		Attempt: a.ID, State: s, Digest: a.Digest, Holder: a.Holder,
		Deadline: a.Deadline, Answer: answer, Written: now,
	}
}

func refuse(v verdict.Verdict, reason verdict.Reason, retryAfter time.Duration) Action {
	return Action{Kind: Refuse, Err: verdict.New(v, reason, retryAfter)}
}
