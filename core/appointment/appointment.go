// Package appointment decides when callers that were refused come back. It has no network
// and no clock.
//
// A Book promises part of the room that is expected: to each caller the next free moment, so
// that those who are refused together do not come back together. A Recognizer tells requests
// that have come back from new ones, without any token: they have less time left than the
// requests of their route begin with.
//
// Nothing is told to other VMs. A caller may come back to any of them, and all VMs put those who
// come back before others, so the promises of all are kept by all. A VM that starts has empty
// books, and promises the earliest moments.
//
// # Usage
//
//	var b appointment.Book
//	wait, ok := b.Next(now, appointment.Room{PerSecond: 40}, time.Second)
//	if !ok {
//		wait = b.Last(now, 0, time.Second) // No room is left that could be promised.
//	}
package appointment

import (
	"math"
	"time"
)

const (
	// Part is the part of the expected room that is promised. The rest is for new requests,
	// which can still be served on time.
	Part = 0.25
	// MinWait is the shortest wait: a few times the usual response time, after which slots
	// have been freed.
	MinWait = 250 * time.Millisecond
	// maxInterval bounds the interval between two promises where there is hardly any room.
	maxInterval = time.Hour
	// spread is by how much of the interval a sequence of moments advances. Multiples of the
	// golden ratio, modulo 1, are spread evenly whatever their number.
	spread = 0.6180339887498949
)

// Room is the room that is expected.
type Room struct {
	// From is when there is room at the earliest; zero: now.
	From time.Time
	// PerSecond is how many requests there is room for from then on.
	PerSecond float64
}

// Book holds the appointments for one kind of room. The zero value is an empty book. It is
// not safe for concurrent use.
type Book struct {
	// last is the last moment that was promised.
	last time.Time
	// phase is the position in the sequence of moments, from 0 to 1; 0: not begun.
	phase float64
}

// Next promises the next free moment, if it is not later than latest from now.
func (b *Book) Next(now time.Time, room Room, latest time.Duration) (wait time.Duration, ok bool) {
	earliest := later(room.From, now.Add(MinWait))
	slack := latest - earliest.Sub(now)
	if room.PerSecond <= 0 || slack < 0 {
		return 0, false
	}
	interval := time.Duration(min(float64(time.Second)/(Part*room.PerSecond), float64(maxInterval)))
	at := b.last.Add(interval)
	if at.Before(earliest) {
		// All VMs may expect room from the same moment on.
		at = earliest.Add(b.step(now, min(interval, slack)))
	}
	if at.Sub(now) > latest {
		return 0, false
	}
	b.last = at
	return at.Sub(now), true
}

// Last returns a late moment for a caller to whom nothing can be promised: by then the
// shortage may be over. Moments are spread over the second half of the time up to latest,
// but not before earliest.
func (b *Book) Last(now time.Time, earliest, latest time.Duration) time.Duration {
	return latest - b.step(now, latest-min(latest, max(latest/2, earliest)))
}

// step returns the next of a sequence of durations that is spread evenly over [0, d). The
// sequence begins by the fraction of a millisecond, so that the books of VMs differ.
func (b *Book) step(now time.Time, d time.Duration) time.Duration {
	if b.phase == 0 {
		b.phase = float64(now.Nanosecond()%int(time.Millisecond)) / float64(time.Millisecond)
	}
	_, b.phase = math.Modf(b.phase + spread)
	return time.Duration(b.phase * float64(d))
}

// Latest returns the longest wait after which a caller still comes back and can be served:
// callers wait for up to a third of the time that they have left.
func Latest(left, usual time.Duration) time.Duration {
	return max(0, min(left/3, left-usual))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
