// Package lease says how long a VM may go by what it knows.
//
// What the platform keeps may change at any moment, and a VM that cannot reach the
// platform does not hear of it. A key that was taken away must not be admitted later than
// a bound after the platform has acknowledged that. So a VM admits keys only while the
// moment as of which it is sure to have had the newest rules is less than that bound ago:
//
// Let AsOf be when the VM asked a question whose answer proved its rules the newest. A key
// that it still holds, and that has been taken away, was taken away after AsOf. A request
// that was read at r was sent at s <= r. If r < AsOf + bound, then s is less than the bound
// after the acknowledgement, whatever clocks, pauses and delays did in between. Nothing is
// assumed about how long messages take, only that the answer is as of a moment after the
// question, and that r is read once the request is there.
//
// A VM may ask another in place of the platform, which answers how long ago its own AsOf
// is: the asker's is its question's moment less that. Ages add up along the way, and no
// two clocks are compared.
//
// # Usage
//
//	asked := clock.Boot()                  // Before the question leaves.
//	... the answer: the newest version, as of age before it was given ...
//	l.Renew(lease.AsOf(asked, age))
//	if l.Age(clock.Boot()) > bound { ... }  // Keys are not judged.
package lease

import (
	"math"
	"time"
)

// Never is the age of what was never known.
const Never = 24 * time.Hour

// Moment is a time by a clock that goes on while the machine is suspended, since a start
// that no other machine shares. The zero Moment is before all others.
type Moment time.Duration

// AsOf returns the moment as of which an answer holds that was given to a question asked
// at a moment, by one that knew it age before it answered.
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

// Lease is the latest moment as of which something is known. The zero value knows nothing.
// It is not safe for concurrent use.
type Lease struct{ asOf Moment }

// Renew takes a moment in; one before the latest changes nothing.
func (l *Lease) Renew(asOf Moment) { l.asOf = max(l.asOf, asOf) }

// AsOf returns the latest moment, 0 where there was none.
func (l *Lease) AsOf() Moment { return l.asOf }

// Age returns how long ago the latest moment is, Never where there was none.
func (l *Lease) Age(now Moment) time.Duration { return l.asOf.Age(now) }

// Millis returns an age in whole milliseconds as it travels: rounded up, as an age that is
// told too low would lengthen the lease of whoever hears it.
func Millis(age time.Duration) int64 {
	return int64(math.Ceil(float64(age) / float64(time.Millisecond)))
}
