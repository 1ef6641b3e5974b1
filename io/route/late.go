package route

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/leave"
	"auburnlatch/core/verdict"
)

// stopEnd is when the work of a VM that is stopped ends, and what is known of the requests that
// would have to end by then. The zero value is that of a VM that is not stopped.
type stopEnd struct {
	at        atomic.Pointer[leave.Stop]
	begun     context.Context // Canceled when at is set.
	begin     context.CancelFunc
	once      sync.Once
	estimator leave.Estimator
}

// stopping returns a context that is canceled when the VM is stopped.
func (s *stopEnd) stopping() context.Context {
	s.once.Do(func() { s.begun, s.begin = context.WithCancel(context.Background()) })
	return s.begun
}

// Stop says that the VM is stopped. From then on requests that cannot be expected to end before its
// work does are refused as not run.
func (r *Router) Stop(stop leave.Stop) {
	r.stop.stopping()
	r.stop.at.Store(&stop)
	r.stop.begin()
}

// Late returns the refusal of a request that could not end before a VM that is stopped does, or
// nil. Its caller is to ask another VM.
func (r *Router) Late(now time.Time, req *Request) error {
	if by, ok := r.sendBy(now, req); !ok || now.Before(by) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonLeaving, retryAfter)
}

// sendBy returns the time from which on a request must not be sent on, as it could not end before
// the VM does. ok is false if the VM is not stopped.
func (r *Router) sendBy(now time.Time, req *Request) (by time.Time, ok bool) {
	stop := r.stop.at.Load()
	if stop == nil {
		return time.Time{}, false
	}
	return r.stop.estimator.SendBy(now, leave.Request{Class: leaveClass(req), Deadline: req.Deadline, BodySince: req.BodySince, BodyUntil: req.BodyUntil}, *stop), true
}

// classMethods are the methods that are told apart. All others are taken for one, as callers could
// make up any number of them.
var classMethods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

// leaveClass returns the class of a request. That of another VM is taken for one that must not be
// repeated, as nothing else is known.
func leaveClass(req *Request) leave.Class {
	c := leave.Class{Service: req.Service, Once: !req.Idempotent}
	if slices.Contains(classMethods, req.HTTP.Method) {
		c.Route = req.HTTP.Method
	}
	return c
}

// singleUse is a body that the HTTP transport cannot send again. Without one it repeats requests
// on its own that may be repeated.
type singleUse struct{ io.ReadCloser }

// limitRepeats has a request sent once at most, if the VM is stopped.
func (s *stopEnd) limitRepeats(req *http.Request) {
	if s.at.Load() != nil {
		req.Body = singleUse{req.Body}
	}
}

// observe observes how long a request takes that began at a time. A failure says nothing about other
// requests, unless there was no response until the deadline.
func (s *stopEnd) observe(req *Request, began time.Time, resp *http.Response, err error) {
	b := &timedBody{stop: s, class: leaveClass(req), began: began}
	switch {
	case err != nil:
		if e := verdict.As(err); e.Verdict != verdict.NotRun && e.Reason == verdict.ReasonDeadline {
			b.ended()
		}
	case resp.StatusCode < http.StatusInternalServerError || resp.StatusCode == http.StatusGatewayTimeout:
		b.ReadCloser, resp.Body = resp.Body, b
	}
}

// timedBody is the body of a response. It records when it was read to its end.
type timedBody struct {
	io.ReadCloser
	stop  *stopEnd
	class leave.Class
	began time.Time
	once  sync.Once
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.once.Do(b.ended)
	}
	return n, err
}

func (b *timedBody) ended() {
	now := time.Now()
	b.stop.estimator.Observe(now, b.class, now.Sub(b.began))
}
