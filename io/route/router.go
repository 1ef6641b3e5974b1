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

// How often one request may go to another VM or upstream.
const (
	maxTries   = 3
	remoteVMs  = 2
	retryAfter = time.Second
	// minLeft is the time a request must have left to be sent again.
	minLeft = 20 * time.Millisecond
)

// Upstreams sends a request to an upstream, once.
type Upstreams interface {
	Send(ctx context.Context, t *inventory.Target, shed []int, req *http.Request) (*http.Response, error)
}

// VMs sends a request to another VM, once.
type VMs interface {
	Send(ctx context.Context, addr string, meta forward.Meta, req *http.Request) (*http.Response, error)
}

// Directory tells where other VMs are.
type Directory interface {
	// Mate returns the address of a VM of the own zone.
	Mate(name string) (member.Address, bool)
	// ZoneVMs returns the VMs of another zone that take requests, those that
	// dispatch the service first.
	ZoneVMs(zone, service string) []member.Address
}

// Guard keeps requests that end upstreams from being sent on.
type Guard interface {
	// Admit decides whether a request may be sent on now.
	Admit(now time.Time, req *poison.Request) (*poison.Trial, *verdict.Error)
	// Begin notes that it is sent to a target. done takes in what came of it, nil: an
	// answer that was read to its end.
	Begin(now time.Time, req *poison.Request, t *inventory.Target) (done func(now time.Time, e *verdict.Error))
}

// Request is a caller's request.
type Request struct {
	Service string
	// Origin is the caller's zone.
	Origin string
	// Idempotent requests may be sent again when it is unknown whether they
	// ran.
	Idempotent bool
	Deadline   time.Time
	Body       *Body
	// HTTP has the method, the path within the service, and the headers.
	HTTP *http.Request
	// Identity is what the request is recognized by when it comes again; nil: it is not
	// known.
	Identity *poison.Request
}

// http returns the request for one more try.
func (r *Request) http(ctx context.Context) *http.Request {
	req := r.HTTP.Clone(ctx)
	req.Body = r.Body.Reader()
	return req
}

// Router carries requests. Its fields are set before its first use.
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

	turn atomic.Uint64
}

// Enter carries a caller's request to an upstream of the zone its origin's
// weights say. It is sent again only on NotRun, or on MaybeRan where it is
// idempotent, and within the retry budget.
func (r *Router) Enter(ctx context.Context, req *Request) (*http.Response, error) {
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
	for try := 1; ; try++ {
		resp, err := r.admitted(ctx, zone, req)
		if err == nil {
			return resp, nil
		}
		if last != nil && verdict.As(err).Reason == verdict.ReasonQuarantined && verdict.Of(last) != verdict.NotRun {
			return nil, last // It may have run before it was held back.
		}
		last = err
		if try == maxTries || !mayRetry(verdict.As(err), req) || !r.Budget.Retry(time.Now()) {
			return nil, err
		}
	}
}

// admitted sends a request to a zone unless it is held back.
func (r *Router) admitted(ctx context.Context, zone string, req *Request) (*http.Response, error) {
	if req.Identity == nil {
		return r.toZone(ctx, zone, req)
	}
	trial, refused := r.Guard.Admit(time.Now(), req.Identity)
	if refused != nil {
		return nil, refused
	}
	defer trial.Done()
	return r.toZone(ctx, zone, req)
}

// mayRetry reports whether a request may be sent again after an error. A full
// queue is final: asking again at once only adds to it.
func mayRetry(e *verdict.Error, req *Request) bool {
	if time.Until(req.Deadline) < minLeft || !req.Body.Rewindable() {
		return false
	}
	switch e.Reason {
	case verdict.ReasonShed, verdict.ReasonUnreachable, verdict.ReasonBroken, verdict.ReasonLeaving:
	default:
		return false
	}
	return e.Verdict == verdict.NotRun || (e.Verdict == verdict.MaybeRan && req.Idempotent)
}

func (r *Router) toZone(ctx context.Context, zone string, req *Request) (*http.Response, error) {
	if zone == r.Zone {
		return r.local(ctx, req)
	}
	return r.remote(ctx, zone, req)
}

// remote sends a request to a VM of another zone. One that cannot be reached
// is passed over for the next; the request left for none of them.
func (r *Router) remote(ctx context.Context, zone string, req *Request) (*http.Response, error) {
	vms := r.Directory.ZoneVMs(zone, req.Service)
	if len(vms) == 0 {
		r.Reach.Record(time.Now(), zone, false)
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoCapacity, retryAfter)
	}
	first := int(r.turn.Add(1) % uint64(min(remoteVMs, len(vms))))
	var err error
	for i := range min(remoteVMs, len(vms)) {
		vm := vms[(first+i)%min(remoteVMs, len(vms))]
		var resp *http.Response
		resp, err = r.VMs.Send(ctx, vm.Forward, req.meta(forward.Zone), req.http(ctx))
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

// Serve carries a request that another VM sent.
func (r *Router) Serve(ctx context.Context, meta forward.Meta, hr *http.Request) (*http.Response, error) {
	req := &Request{
		Service: meta.Service, Origin: meta.Origin, Deadline: meta.Deadline, HTTP: hr, Body: streamed(hr),
	}
	if identity, ok := poison.ParseRequest(meta.Print); ok {
		req.Identity = identity
	}
	switch meta.Mode {
	case forward.Zone:
		return r.local(ctx, req)
	case forward.Offer:
		if t, ok := r.Pool.Offer(time.Now(), req.Service); ok {
			return r.send(ctx, t, req)
		}
		return nil, verdict.New(verdict.NotRun, verdict.ReasonQueueFull, retryAfter)
	default:
		return r.queue(ctx, req)
	}
}

// local runs a request in this zone: with a free slot of a dispatcher, this VM
// first, else in the queue of the first dispatcher.
func (r *Router) local(ctx context.Context, req *Request) (*http.Response, error) {
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
		resp, err := r.toMate(ctx, name, forward.Offer, req)
		if err == nil || !fullOrAway(err) || !req.Body.Rewindable() {
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
		return r.queue(ctx, req)
	default:
		return r.toMate(ctx, queueAt, forward.Queue, req)
	}
}

// fullOrAway reports whether a mate refused an offer so that another may be
// asked.
func fullOrAway(err error) bool {
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

func (r *Router) toMate(ctx context.Context, name string, mode forward.Mode, req *Request) (*http.Response, error) {
	mate, ok := r.Directory.Mate(name)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUnreachable, retryAfter)
	}
	return r.VMs.Send(ctx, mate.Forward, req.meta(mode), req.http(ctx))
}

// queue waits for a slot of this VM's own.
func (r *Router) queue(ctx context.Context, req *Request) (*http.Response, error) {
	now := time.Now()
	rules := r.Pool.Rules(req.Service)
	if rules == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoService, 0)
	}
	until := now.Add(rules.MaxQueueWait)
	if req.Deadline.Before(until) {
		until = req.Deadline
	}
	t, err := r.Pool.Queue(now, req.Service, until)
	if err != nil {
		r.Meter.Refused(now, req.Service, req.Origin, dispatch.DefaultRequestDuration)
		return nil, err
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case target := <-t.Granted:
		if target == nil {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonLeaving, retryAfter)
		}
		return r.send(ctx, target, req)
	case <-timer.C:
	case <-ctx.Done():
	}
	r.Pool.Cancel(time.Now(), t)
	r.Meter.Refused(time.Now(), req.Service, req.Origin, dispatch.DefaultRequestDuration)
	return nil, verdict.New(verdict.NotRun, verdict.ReasonQueueFull, retryAfter)
}

// sampleOf returns the outcome of a request that took a time.
func sampleOf(err error, took time.Duration) dispatch.Sample {
	s := dispatch.Sample{Err: err, Took: took, Shed: err != nil && verdict.As(err).Reason == verdict.ReasonShed}
	if shed := (*upstream.ShedError)(nil); errors.As(err, &shed) {
		s.Pause = shed.Pause
	}
	return s
}

// send sends a request on a slot that is held, and gives the slot back when
// the answer has been read.
func (r *Router) send(ctx context.Context, t *inventory.Target, req *Request) (*http.Response, error) {
	started := time.Now()
	if !claim.MayDispatch(started, req.Deadline) {
		r.Pool.Release(started, t)
		return nil, verdict.New(verdict.NotRun, verdict.ReasonDeadline, 0)
	}
	r.Meter.Acquired(started, req.Service, req.Origin)
	run := func(time.Time, *verdict.Error) {}
	if req.Identity != nil {
		run = r.Guard.Begin(started, req.Identity, t)
	}
	done := func(err error) {
		now := time.Now()
		if err == nil {
			run(now, nil)
		} else {
			run(now, verdict.As(err))
		}
		r.Meter.Released(now, req.Service, req.Origin)
		r.Pool.Done(now, t.Name, sampleOf(err, now.Sub(started)))
	}
	hr := req.http(ctx)
	forward.StripOwn(hr.Header)
	hr.Header.Set(forward.HeaderTimeout, millisLeft(started, req.Deadline))
	var shed []int
	if rules := r.Pool.Rules(req.Service); rules != nil {
		shed = rules.ShedStatuses
	}
	resp, err := r.Upstreams.Send(ctx, t, shed, hr)
	if err != nil {
		done(err)
		return nil, err
	}
	forward.StripOwn(resp.Header)
	resp.Body = &slotBody{ReadCloser: resp.Body, done: done}
	return resp, nil
}
