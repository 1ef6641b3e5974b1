// Package overdue decides when a request whose response is overdue is sent to a second
// upstream, so that the first response wins.
//
// A response that is lost, or whose upstream has run into trouble, is not worth waiting for
// until the route's timeout. It is overdue once it takes longer than nearly all responses of its
// class: of its route and service, with the upstreams that have the object cached and the others
// apart, as those take several times as long.
//
// # Usage
//
//	var e overdue.Estimator
//	e.Observe(now, overdue.Class{...}, took)   // Each response, and each wait in vain.
//	at, ok := e.Due(now, overdue.Request{...}) // As the request is sent.
//	ok = overdue.Allowed(req)                  // Again when it is overdue.
package overdue

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// quantile is the fraction of a route's responses after which one is overdue. While all is
	// well one request in twenty is sent twice, a quarter of a usual retry budget.
	quantile = 0.95
	// usual is the quantile of the time in which the second upstream is expected to respond.
	usual = 0.5
	// minResponses is the number of responses from which on quantiles are used. Below it the
	// highest of them would decide.
	minResponses = 40
	// window is how long responses are collected before a new histogram is begun. The last
	// complete one counts as well.
	window = 10 * time.Second
	// refreshInterval is the interval at which quantiles are computed, as each computation
	// reads both histograms.
	refreshInterval = 250 * time.Millisecond
	// maxUtilization is the number of requests for each slot of a service from which on
	// nothing is sent twice: a second copy would take the slot of another request, which
	// would then be overdue as well.
	maxUtilization = 0.75
)

// Histograms range from 1 ms to a minute, with two significant digits.
const (
	unit    = time.Millisecond
	maxTook = int64(time.Minute / unit)
	digits  = 2
)

// Class has the properties of a request on which the usual time to its response depends. A route
// has several services when it is split or moved to another one.
type Class struct {
	Route, Service string
	// Timeout is the route's timeout. Waits that it cut off say nothing under another one.
	Timeout time.Duration
	// Warm reports whether the upstream is believed to have the object cached.
	Warm bool
}

// Request has the properties of a request on which the decision depends.
type Request struct {
	Class
	// Idempotent requests may run more than once.
	Idempotent bool
	// Suspected requests may be crashing the upstreams that run them.
	Suspected bool
	// Sent is the number of upstreams that the request was sent to, of Attempts.
	Sent, Attempts int
	// Deadline is the end of the time that the request has.
	Deadline time.Time
	// Utilization is the number of requests for each slot of the service.
	Utilization float64
}

// Estimator has the response times of a VM's requests. The zero value is ready to use. It is safe
// for concurrent use.
type Estimator struct {
	mu      sync.Mutex
	classes map[Class]*responses
}

// responses has the response times of one class.
type responses struct {
	began             time.Time // When newest was begun.
	newest, last      *hdrhistogram.Histogram
	computed          time.Time
	overdue, expected time.Duration // 0: too few responses.
}

// Observe records that a response took a time, or that there was none in that time.
func (e *Estimator) Observe(now time.Time, c Class, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.classes[c]
	if r == nil {
		if e.classes == nil {
			e.classes = make(map[Class]*responses)
		}
		r = &responses{began: now, newest: newHistogram(), last: newHistogram()}
		e.classes[c] = r
	}
	r.rotate(now)
	// The error would mean that the value is out of range, which min and max exclude.
	_ = r.newest.RecordValue(min(maxTook, max(1, int64(took/unit))))
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxTook, digits) }

// rotate begins a new histogram when the newest is complete.
func (r *responses) rotate(now time.Time) {
	age := now.Sub(r.began)
	if age < window {
		return
	}
	r.last, r.newest = r.newest, r.last
	r.newest.Reset()
	if age >= 2*window {
		r.last.Reset()
	}
	r.began = now
}

// refresh computes the quantiles again if they are old.
func (r *responses) refresh(now time.Time) {
	if now.Sub(r.computed) < refreshInterval {
		return
	}
	r.rotate(now)
	r.computed, r.overdue, r.expected = now, 0, 0
	if r.newest.TotalCount()+r.last.TotalCount() < minResponses {
		return
	}
	all := newHistogram()
	all.Merge(r.last)
	all.Merge(r.newest)
	r.overdue = time.Duration(all.ValueAtQuantile(100*quantile)) * unit
	r.expected = time.Duration(all.ValueAtQuantile(100*usual)) * unit
}

// Due returns the time from which on the response to a request that is sent now is overdue. It
// returns false if the request will not be sent to a second upstream, as it must not be, as too
// few responses are known, or as a second response could not arrive before the deadline.
func (e *Estimator) Due(now time.Time, req Request) (time.Time, bool) {
	if !Allowed(req) {
		return time.Time{}, false
	}
	after, expected := e.estimate(now, req.Class)
	if after == 0 {
		return time.Time{}, false
	}
	at := now.Add(after)
	return at, at.Add(expected).Before(req.Deadline)
}

// estimate returns after which time a response is overdue, and how long a second upstream is
// expected to take, which may not have the object cached.
func (e *Estimator) estimate(now time.Time, c Class) (after, expected time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.classes[c]; r != nil {
		r.refresh(now)
		after, expected = r.overdue, r.expected
	}
	c.Warm = false
	if r := e.classes[c]; r != nil {
		r.refresh(now)
		expected = max(expected, r.expected)
	}
	return after, expected
}

// Keep forgets the responses of classes for which keep returns false.
func (e *Estimator) Keep(keep func(Class) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.classes, func(c Class, _ *responses) bool { return !keep(c) })
}

// Allowed reports whether a request may be sent to a second upstream while the first has not
// responded.
func Allowed(req Request) bool {
	return req.Idempotent && !req.Suspected && req.Sent < req.Attempts && req.Utilization < maxUtilization
}
