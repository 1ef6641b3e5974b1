// Package leave decides whether a VM that is stopping still sends a request on, or refuses it at
// once as not run.
//
// A stopping VM takes requests for a while, as callers may know it from cached look-ups. Whatever
// has not ended when its grace time does is cut. For a request that must not be repeated that is
// the end: an upstream has run it, and its caller may not ask again. A refusal costs a round trip
// and a new connection to another VM. So a request is sent only if nearly all of its class would
// end in time, rather than most of them:
//
//   - One that must not be repeated is sent if 99 in 100 would. Of a class in which all just fit, one
//     in 100 is lost. If instead one in 100 of a class does not fit, the other 99 are refused and
//     served by another VM, later by that round trip.
//   - One that may be repeated is sent if 95 in 100 would. If it is cut, its caller has lost
//     the time that it waited, and asks another VM.
//
// Where too few responses are known to tell, the request's deadline bounds its duration. One whose
// body was arriving as the stop began would have to send it again, and is sent on if half of the
// time is left.
//
// # Usage
//
//	var e leave.Estimator
//	e.Observe(now, leave.Class{...}, took)          // Each response.
//	by := e.SendBy(now, leave.Request{...}, stop)   // During the stop, before each send.
//	if !now.Before(by) { ... }                      // It has to be refused.
package leave

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// Of the requests that must not be repeated, one in cutOnce may take longer than expected, and of
	// others one in cutRepeatable.
	cutOnce       = 100
	cutRepeatable = 20
	// maxResponses is how many response times of a class are kept, the newest: twice as many as
	// cutOnce needs.
	maxResponses = 2 * cutOnce
	// maxAge is the age from which on a response says nothing about the next one.
	maxAge = time.Minute
)

// Class has the properties of a request on which the time to its response depends. Which of them
// a VM knows is up to the VM.
type Class struct {
	Route, Service string
	// Timeout bounds the responses of the class, and Once says that they are those of requests
	// that must not be repeated.
	Timeout time.Duration
	Once    bool
}

// Request has the properties of a request on which the decision depends.
type Request struct {
	Class
	// Deadline is when it ends in any case.
	Deadline time.Time
	// BodySince is when its body began to arrive; zero: it has none. BodyUntil is when all of it was
	// there; zero: it is not.
	BodySince, BodyUntil time.Time
}

// bodyArriving reports whether its body was arriving at a time.
func (r Request) bodyArriving(at time.Time) bool {
	return !r.BodySince.IsZero() && r.BodySince.Before(at) && (r.BodyUntil.IsZero() || r.BodyUntil.After(at))
}

// Stop is the time of a stop.
type Stop struct {
	// Began is when it began, and End when the work of the VM ends.
	Began, End time.Time
}

// Estimator has the response times of a VM's requests. The zero value is ready to use. It is safe
// for concurrent use.
type Estimator struct {
	mu      sync.Mutex
	classes map[Class]*responses
	// forgotten is when classes were last forgotten.
	forgotten time.Time
}

// responses is a ring of the newest response times of a class.
type responses struct {
	list   []response
	oldest int // Index in list, once that is full.
}

type response struct {
	at   time.Time
	took time.Duration
}

// Observe records that a request took a time from when it could be sent to its whole response, or
// that there was none in that time.
func (e *Estimator) Observe(now time.Time, c Class, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.classes[c]
	if r == nil {
		r = &responses{}
		e.add(now, c, r)
	}
	if len(r.list) < maxResponses {
		r.list = append(r.list, response{now, took})
		return
	}
	r.list[r.oldest] = response{now, took}
	r.oldest = (r.oldest + 1) % maxResponses
}

// add adds a class, and forgets those whose responses are too old: their routes may be gone.
func (e *Estimator) add(now time.Time, c Class, r *responses) {
	if e.classes == nil {
		e.classes = make(map[Class]*responses)
	}
	if now.Sub(e.forgotten) >= maxAge {
		e.forgotten = now
		maps.DeleteFunc(e.classes, func(_ Class, r *responses) bool { return len(r.recent(now)) == 0 })
	}
	e.classes[c] = r
}

// recent returns the response times that are not too old.
func (r *responses) recent(now time.Time) []time.Duration {
	var took []time.Duration
	for _, x := range r.list {
		if now.Sub(x.at) < maxAge {
			took = append(took, x.took)
		}
	}
	return took
}

// SendBy returns the time from which on a request cannot be expected to end before the VM's work
// does. It is to be sent before or not at all. SendBy returns the zero time if it is not known to end
// by then, whenever it is sent.
func (e *Estimator) SendBy(now time.Time, req Request, stop Stop) time.Time {
	if !req.Deadline.After(stop.End) {
		return stop.End
	}
	bound, ok := e.bound(now, req.Class)
	switch {
	case ok:
		return stop.End.Add(-bound)
	case req.bodyArriving(stop.Began):
		return stop.Began.Add(stop.End.Sub(stop.Began) / 2)
	default:
		return time.Time{}
	}
}

// bound returns the time in which nearly all requests of a class end, or false if too few responses
// are known.
func (e *Estimator) bound(now time.Time, c Class) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.classes[c]
	if r == nil {
		return 0, false
	}
	oneIn := cutRepeatable
	if c.Once {
		oneIn = cutOnce
	}
	took := r.recent(now)
	// Of n responses, the next one exceeds the longest k with a probability of k in n+1.
	k := (len(took) + 1) / oneIn
	if k == 0 {
		return 0, false
	}
	slices.Sort(took)
	return took[len(took)-k], true
}
