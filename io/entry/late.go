package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"auburnlatch/core/leave"
	"auburnlatch/core/verdict"
)

// stopEnd is when the work of a VM that is stopped ends, and what is known of the requests that
// would have to end by then.
type stopEnd struct {
	at        atomic.Pointer[leave.Stop] // nil: the VM is not stopped.
	begun     context.Context            // Canceled when at is set.
	cancel    context.CancelFunc
	estimator leave.Estimator
}

// begin begins the stop.
func (s *stopEnd) begin(stop leave.Stop) {
	s.at.Store(&stop)
	s.cancel()
}

// sendBy returns the time from which on a request must not be sent on, as it could not end before
// the VM does. ok is false if the VM is not stopped.
func (s *stopEnd) sendBy(now time.Time, req *request, service string) (by time.Time, ok bool) {
	stop := s.at.Load()
	if stop == nil {
		return time.Time{}, false
	}
	r := leave.Request{Class: leaveClass(req, service), Deadline: req.deadline}
	if req.http.ContentLength != 0 {
		r.BodySince = req.started
		if req.rest == nil {
			r.BodyUntil = req.readAt
		}
	}
	return s.estimator.SendBy(now, r, *stop), true
}

// leaveClass returns the class of a request that is sent to a service; empty: it is relayed.
func leaveClass(req *request, service string) leave.Class {
	return leave.Class{Route: req.route.Name, Service: service, Timeout: req.route.Timeout, Once: !req.idempotent()}
}

// refuseLate returns the refusal of a request that could not end before a VM that is stopped
// does, or nil. Its caller is to ask another VM.
func (v *VM) refuseLate(now time.Time, req *request, service string) *verdict.Error {
	if by, ok := v.stop.sendBy(now, req, service); !ok || now.Before(by) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonLeaving, shedRetryAfter)
}

// observe records how long a request took from when it had been read. A failure says nothing
// about other requests, unless there was no response until the deadline.
func (s *stopEnd) observe(now time.Time, res result) {
	switch {
	case res.err != nil:
		if res.err.Verdict == verdict.NotRun || res.err.Reason != verdict.ReasonDeadline {
			return
		}
	case res.response.resp.StatusCode >= http.StatusInternalServerError && res.response.resp.StatusCode != http.StatusGatewayTimeout:
		return
	}
	ended := res.readyAt
	if res.streamed {
		ended = now
	}
	s.estimator.Observe(now, leaveClass(res.request, res.request.service), ended.Sub(res.request.readAt))
}

// bodyReader reads the body of a request from its connection, until the deadline or as long as the
// request could end before a VM that is stopped does.
type bodyReader struct {
	vm      *VM
	conn    *callerConn
	req     *request
	service string
	set     chan struct{} // Closed when limit has ended.
}

// read reads the body.
func (b *bodyReader) read(limit int64) error {
	_ = b.conn.SetReadDeadline(b.req.deadline)
	release := context.AfterFunc(b.vm.stop.begun, b.limit)
	defer func() {
		if !release() {
			<-b.set
		}
		_ = b.conn.SetReadDeadline(time.Time{})
	}()
	return b.req.read(limit)
}

// limit bounds the time of the read when the VM is stopped.
func (b *bodyReader) limit() {
	defer close(b.set)
	by, _ := b.vm.stop.sendBy(time.Now(), b.req, b.service)
	if by.Before(b.req.deadline) {
		// The zero time would be no deadline.
		_ = b.conn.SetReadDeadline(later(by, time.Unix(1, 0)))
	}
}
