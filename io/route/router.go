package route

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/claim"
	"auburnlatch/core/dispatch"
	"auburnlatch/core/inventory"
	"auburnlatch/core/member"
	"auburnlatch/core/poison"
	"auburnlatch/core/steer"
	"auburnlatch/core/verdict"
	"auburnlatch/io/forward"
	"auburnlatch/io/upstream"
)

const (
	// maxAttempts bounds the attempts of one request, the first included.
	maxAttempts = 3
	// maxRemoteVMs is how many VMs of another zone are tried for one attempt.
	maxRemoteVMs = 2
	// retryAfter is the Retry-After of refusals.
	retryAfter = time.Second
	// minRetryTime is the time that must be left until the deadline for a retry.
	minRetryTime = 20 * time.Millisecond
)

// Upstreams sends a request to an upstream, without retries.
type Upstreams interface {
	Send(ctx context.Context, t *inventory.Target, shed []int, req *http.Request) (*http.Response, error)
}

// VMs sends a request to another VM, without retries.
type VMs interface {
	Send(ctx context.Context, addr string, meta forward.Meta, req *http.Request) (*http.Response, error)
}

// Directory gives the addresses of other VMs.
type Directory interface {
	// FindPeer returns the address of a VM of the own zone. It returns false if the
	// VM is unknown or cannot take requests.
	FindPeer(name string) (member.Address, bool)
	// ZoneVMs returns the VMs of another zone that take requests, the service's
	// dispatchers first.
	ZoneVMs(zone, service string) []member.Address
}

// Guard holds back poison requests, which crash the upstreams that run them.
type Guard interface {
	// Admit decides whether a request may be sent to an upstream now.
	Admit(now time.Time, req *poison.Request) (*poison.Trial, *verdict.Error)
	// Begin records that the request is sent to a target. done records the outcome;
	// a nil error means that the response was read to its end.
	Begin(now time.Time, req *poison.Request, t *inventory.Target) (done func(now time.Time, e *verdict.Error))
}

// Request is a caller's request.
type Request struct {
	Service string
	// Origin is the caller's zone.
	Origin string
	// Idempotent requests may be retried when it is unknown whether they ran.
	Idempotent bool
	Deadline   time.Time
	Body       *Body
	// BodySince is when the body began to arrive; zero: there is none. BodyUntil is when all of it
	// was there; zero: it is not.
	BodySince, BodyUntil time.Time
	// HTTP has the method, the path within the service, and the header fields.
	HTTP *http.Request
	// Identity is the fingerprint by which a repeated request is recognized; nil
	// if it is not known.
	Identity *poison.Request
}

// outgoing returns the HTTP request of one attempt.
func (r *Request) outgoing(ctx context.Context) *http.Request {
	req := r.HTTP.Clone(ctx)
	req.Body = r.Body.Reader()
	return req
}

// Router routes requests. Its exported fields are set before its first use.
type Router struct {
	Self, Zone string
	Pool       *dispatch.Pool
	Rows       *steer.Rows
	Meter      *steer.Meter
	Budget     *dispatch.Budget
	Reach      *steer.Reachability
	Upstreams  Upstreams
	VMs        VMs
	Directory  Directory
	Guard      Guard
	Links      *upstream.Links // nil: not watched.

	nextRemote atomic.Uint64 // Rotates the VM of another zone that is tried first.
	stop       stopEnd
}

// Route sends a caller's request to an upstream of a zone, picked by the weights
// of the request's origin. It retries only on NotRun, or on MaybeRan if the
// request is idempotent, and only within the retry budget.
func (r *Router) Route(ctx context.Context, req *Request) (*http.Response, error) {
	began := time.Now()
	resp, err := r.sendRetrying(ctx, req)
	r.stop.observe(req, began, resp, err)
	return resp, err
}

// sendRetrying sends a request to a zone, and again as far as it may be.
func (r *Router) sendRetrying(ctx context.Context, req *Request) (*http.Response, error) {
	rules := r.Pool.Rules(req.Service)
	if rules == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoService, 0)
	}
	zone := r.Rows.Row(steer.RowKey{Service: req.Service, Origin: req.Origin}).Pick()
	if zone == "" {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNotReady, retryAfter)
	}
	r.Budget.Request(time.Now(), rules.RetryBudget)
	var last error
	for attempt := 1; ; attempt++ {
		if late := r.Late(time.Now(), req); late != nil {
			if last != nil && verdict.Of(last) != verdict.NotRun {
				return nil, last
			}
			return nil, late
		}
		resp, err := r.sendAdmitted(ctx, zone, req)
		if err == nil {
			return resp, nil
		}
		if last != nil && verdict.As(err).Reason == verdict.ReasonQuarantined && verdict.Of(last) != verdict.NotRun {
			return nil, last // An earlier attempt may have run.
		}
		if last == nil || verdict.Of(last) == verdict.NotRun || verdict.Of(err) != verdict.NotRun {
			last = err
		}
		if attempt == maxAttempts || !mayRetry(verdict.As(err), req) || !r.Budget.Retry(time.Now(), rules.RetryBudget) {
			return nil, err
		}
	}
}

// sendAdmitted sends a request to a zone unless the guard refuses it.
func (r *Router) sendAdmitted(ctx context.Context, zone string, req *Request) (*http.Response, error) {
	if req.Identity == nil {
		return r.sendToZone(ctx, zone, req)
	}
	trial, refused := r.Guard.Admit(time.Now(), req.Identity)
	if refused != nil {
		return nil, refused
	}
	defer trial.Done()
	return r.sendToZone(ctx, zone, req)
}

// mayRetry reports whether a request may be retried after an error. A full
// queue is final: an immediate retry would only add to the load.
func mayRetry(e *verdict.Error, req *Request) bool {
	if time.Until(req.Deadline) < minRetryTime || !req.Body.Rewindable() {
		return false
	}
	switch e.Reason {
	case verdict.ReasonShed, verdict.ReasonUnreachable, verdict.ReasonBroken, verdict.ReasonLeaving:
	default:
		return false
	}
	return e.Verdict == verdict.NotRun || (e.Verdict == verdict.MaybeRan && req.Idempotent)
}

func (r *Router) sendToZone(ctx context.Context, zone string, req *Request) (*http.Response, error) {
	if zone == r.Zone {
		return r.sendLocal(ctx, req)
	}
	return r.sendRemote(ctx, zone, req)
}

// sendRemote sends a request to a VM of another zone. If a VM is unreachable,
// nothing of the request was sent, so it goes to the next VM.
func (r *Router) sendRemote(ctx context.Context, zone string, req *Request) (*http.Response, error) {
	vms := r.Directory.ZoneVMs(zone, req.Service)
	if len(vms) == 0 {
		r.Reach.Record(time.Now(), zone, false)
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoCapacity, retryAfter)
	}
	first := int(r.nextRemote.Add(1) % uint64(min(maxRemoteVMs, len(vms))))
	var err error
	for i := range min(maxRemoteVMs, len(vms)) {
		if i > 0 && r.Late(time.Now(), req) != nil {
			break
		}
		vm := vms[(first+i)%min(maxRemoteVMs, len(vms))]
		var resp *http.Response
		resp, err = r.VMs.Send(ctx, vm.Forward, req.meta(forward.Zone), req.outgoing(ctx))
		if err == nil || verdict.As(err).Reason != verdict.ReasonUnreachable {
			r.Reach.Record(time.Now(), zone, true)
			return resp, err
		}
		if !req.Body.Rewindable() {
			break
		}
	}
	r.Reach.Record(time.Now(), zone, false)
	return nil, err
}

func (r *Request) meta(mode forward.Mode) forward.Meta {
	m := forward.Meta{Service: r.Service, Origin: r.Origin, Mode: mode, Deadline: r.Deadline}
	if r.Identity != nil {
		m.Print = r.Identity.String()
	}
	return m
}

// Serve handles a request that another VM sent, according to its mode.
func (r *Router) Serve(ctx context.Context, meta forward.Meta, hr *http.Request) (*http.Response, error) {
	req := &Request{
		Service: meta.Service, Origin: meta.Origin, Deadline: meta.Deadline, HTTP: hr, Body: streamBody(hr),
	}
	if identity, ok := poison.ParseRequest(meta.Print); ok {
		req.Identity = identity
	}
	began := time.Now()
	if hr.ContentLength != 0 {
		req.BodySince = began
	}
	resp, err := r.serve(ctx, meta.Mode, req)
	r.stop.observe(req, began, resp, err)
	return resp, err
}

func (r *Router) serve(ctx context.Context, mode forward.Mode, req *Request) (*http.Response, error) {
	if err := r.Late(time.Now(), req); err != nil {
		return nil, err
	}
	switch mode {
	case forward.Zone:
		return r.sendLocal(ctx, req)
	case forward.Offer:
		if t, ok := r.Pool.Offer(time.Now(), req.Service); ok {
			return r.send(ctx, t, req)
		}
		return nil, verdict.New(verdict.NotRun, verdict.ReasonQueueFull, retryAfter)
	default:
		return r.sendQueued(ctx, req)
	}
}

// sendLocal runs a request in this zone. It takes a free slot of any dispatcher,
// this VM's own slots first. If none is free it queues the request at this VM if
// this VM is a dispatcher, else at the first dispatcher that refused for lack of
// a slot.
func (r *Router) sendLocal(ctx context.Context, req *Request) (*http.Response, error) {
	dispatchers := r.Pool.Dispatchers(req.Service)
	if len(dispatchers) == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoCapacity, retryAfter)
	}
	if t, ok := r.Pool.Offer(time.Now(), req.Service); ok {
		return r.send(ctx, t, req)
	}
	queueAt := ""
	for _, name := range dispatchers {
		if name == r.Self {
			queueAt = name
			continue
		}
		resp, err := r.sendToPeer(ctx, name, forward.Offer, req)
		if err == nil || !mayTryNextPeer(err) || !req.Body.Rewindable() {
			return resp, err
		}
		if queueAt == "" && verdict.As(err).Reason == verdict.ReasonQueueFull {
			queueAt = name
		}
	}
	switch queueAt {
	case "":
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoCapacity, retryAfter)
	case r.Self:
		return r.sendQueued(ctx, req)
	default:
		return r.sendToPeer(ctx, queueAt, forward.Queue, req)
	}
}

// mayTryNextPeer reports whether a request may be offered to the next peer after
// an offer failed with err: it did not run, and the reason concerns only that
// peer.
func mayTryNextPeer(err error) bool {
	e := verdict.As(err)
	if e.Verdict != verdict.NotRun {
		return false
	}
	switch e.Reason {
	case verdict.ReasonQueueFull, verdict.ReasonUnreachable, verdict.ReasonLeaving, verdict.ReasonBusy, verdict.ReasonNoService:
		return true
	default:
		return false
	}
}

func (r *Router) sendToPeer(ctx context.Context, name string, mode forward.Mode, req *Request) (*http.Response, error) {
	peer, ok := r.Directory.FindPeer(name)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUnreachable, retryAfter)
	}
	return r.VMs.Send(ctx, peer.Forward, req.meta(mode), req.outgoing(ctx))
}

// sendQueued waits for one of this VM's own slots and sends the request on it.
func (r *Router) sendQueued(ctx context.Context, req *Request) (*http.Response, error) {
	now := time.Now()
	rules := r.Pool.Rules(req.Service)
	if rules == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoService, 0)
	}
	until := now.Add(rules.MaxQueueWait)
	if req.Deadline.Before(until) {
		until = req.Deadline
	}
	ticket, err := r.Pool.Queue(now, req.Service, until)
	if err != nil {
		r.Meter.Refused(now, req.Service, req.Origin, dispatch.DefaultRequestDuration)
		return nil, err
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	stopping := r.stop.stopping().Done()
	for waiting := true; waiting; {
		select {
		case target := <-ticket.Granted:
			if target == nil {
				return nil, verdict.New(verdict.NotRun, verdict.ReasonLeaving, retryAfter)
			}
			return r.send(ctx, target, req)
		case <-stopping:
			stopping = nil
			if by, ok := r.sendBy(time.Now(), req); ok && by.Before(until) {
				timer.Reset(time.Until(by))
			}
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	r.Pool.Cancel(time.Now(), ticket)
	if err := r.Late(time.Now(), req); err != nil {
		return nil, err
	}
	r.Meter.Refused(time.Now(), req.Service, req.Origin, dispatch.DefaultRequestDuration)
	return nil, verdict.New(verdict.NotRun, verdict.ReasonQueueFull, retryAfter)
}

// newSample returns the outcome of a request that ended with err after took.
func newSample(err error, took time.Duration) dispatch.Sample {
	s := dispatch.Sample{Err: err, Took: took, Shed: err != nil && verdict.As(err).Reason == verdict.ReasonShed}
	if shed := (*upstream.ShedError)(nil); errors.As(err, &shed) {
		s.Pause = shed.RetryAfter
	}
	return s
}

// send sends a request to t, of which it holds a slot. It releases the slot when
// the response has been read or closed, or on an error.
func (r *Router) send(ctx context.Context, t *inventory.Target, req *Request) (*http.Response, error) {
	started := time.Now()
	if err := r.Late(started, req); err != nil {
		r.Pool.Release(started, t)
		return nil, err
	}
	if !claim.MayDispatch(started, req.Deadline) {
		r.Pool.Release(started, t)
		return nil, verdict.New(verdict.NotRun, verdict.ReasonDeadline, 0)
	}
	r.Meter.Acquired(started, req.Service, req.Origin)
	ended := func(time.Time, *verdict.Error) {}
	if req.Identity != nil {
		ended = r.Guard.Begin(started, req.Identity, t)
	}
	done := func(err error) {
		now := time.Now()
		if err == nil {
			ended(now, nil)
		} else {
			ended(now, verdict.As(err))
		}
		r.Meter.Released(now, req.Service, req.Origin)
		r.Pool.Done(now, t.Name, newSample(err, now.Sub(started)))
	}
	hr := req.outgoing(ctx)
	forward.StripReserved(hr.Header)
	hr.Header.Set(forward.HeaderTimeout, remainingMillis(started, req.Deadline))
	r.stop.limitRepeats(hr)
	var shed []int
	if rules := r.Pool.Rules(req.Service); rules != nil {
		shed = rules.ShedStatuses
	}
	resp, err := r.Links.Do(ctx, req.Idempotent, func(ctx context.Context) (*http.Response, error) {
		return r.Upstreams.Send(ctx, t, shed, hr)
	})
	if err != nil {
		done(err)
		return nil, err
	}
	forward.StripReserved(resp.Header)
	resp.Body = &slotBody{ReadCloser: resp.Body, done: done}
	return resp, nil
}
