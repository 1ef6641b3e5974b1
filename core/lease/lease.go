// Package lease bounds how long a VM may rely on replicated state without verifying it.
//
// What the platform stores may change at any moment, and a VM that cannot reach the platform
// does not learn of it. A key that was revoked must not be admitted later than a bound after
// the platform has acknowledged the revocation. So a VM admits keys only while the moment as of
// which its rules are verified to be the newest is less than that bound ago:
//
// Let AsOf be when the VM sent a query whose reply proved its rules to be the newest. If it
// still accepts a key that has been revoked, the revocation was after AsOf. A request that was
// read at r was sent at s <= r. If r < AsOf + bound, then s is less than the bound after the
// acknowledgement, whatever clocks, pauses and delays did in between. Nothing is assumed about
// how long messages take, only that the reply is as of a moment after the query was sent, and
// that r is read once the request has arrived.
//
// A VM may query another VM in place of the platform, which replies with the age of its own
// AsOf: the new AsOf is when the query was sent less that age. Ages add up along the way, and
// no two clocks are compared.
//
// # Usage
//
//	asked := clock.SinceBoot()             // Before the query is sent.
//	... the reply: the newest version, verified as of age before the reply ...
//	l.Renew(lease.AsOf(asked, age))
//	if l.Age(clock.SinceBoot()) > bound { ... } // No key is admitted or refused.
package lease

import (
	"math"
	"time"
)

// Never is the age of what was never verified.
const Never = 24 * time.Hour

// Moment is a time on a clock that keeps running while the machine is suspended. Its origin is
// the machine's own, so that moments of different machines cannot be compared. The zero Moment
// is before all others.
type Moment time.Duration

// AsOf returns the moment as of which a reply is verified, to a query that was sent at asked;
// age is the age that the replying VM gave.
func AsOf(asked Moment, age time.Duration) Moment {
	if age >= Never {
		return 0
	}
	return max(0, asked-Moment(max(0, age)))
}

// Age returns how long ago a moment is, Never for the zero Moment.
func (m Moment) Age(now Moment) time.Duration {
	if m <= 0 {
		return Never
	}
	return time.Duration(max(0, now-m))
}

// Lease is the latest moment as of which some state is verified. The zero value has none. It is
// not safe for concurrent use.
type Lease struct{ asOf Moment }

// Renew extends the lease to asOf. An earlier moment than the latest has no effect.
func (l *Lease) Renew(asOf Moment) { l.asOf = max(l.asOf, asOf) }

// AsOf returns the latest moment, or 0 if there is none.
func (l *Lease) AsOf() Moment { return l.asOf }

// Age returns how long ago the latest moment is, or Never if there is none.
func (l *Lease) Age(now Moment) time.Duration { return l.asOf.Age(now) }

// Millis returns an age in whole milliseconds for a message. It rounds up, as an age that is
// too low would extend the receiver's lease.
func Millis(age time.Duration) int64 {
	return int64(math.Ceil(float64(age) / float64(time.Millisecond)))
}
