package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/verdict"
	"auburnlatch/io/forward"
	"auburnlatch/io/quarantine"
	"auburnlatch/io/upstream"
)

const (
	// maxTries bounds the loop over upstreams, including those to which no connection
	// could be opened. The route limits how many are sent the request.
	maxTries = 4
	// minRetryTime is the time that must be left until the deadline for a retry.
	minRetryTime = 40 * time.Millisecond
	// dialTimeout bounds the opening of a connection: two round trips between the
	// regions that are furthest apart, and the retransmission of one packet.
	dialTimeout = 450 * time.Millisecond
)

// response is an upstream's response, of which the beginning is buffered.
type response struct {
	resp *http.Response
	body []byte
	rest io.ReadCloser // What exceeds the buffer; nil if nothing does.
	// lease is the lease on the target that responded, and tries is the number of targets
	// tried, including that one. If through is set, they are those of that VM.
	lease   balance.Lease
	tries   int
	through string
	// pace is what the target reported in the response, 0 if it did not.
	pace float64
	// sentTwice says that it was overdue, so that the request was sent to two upstreams at once.
	sentTwice bool
}

// proxy sends a request to an upstream and returns its response. It retries only
// requests that have not run or may run twice, within the route's attempts, the
// retry budget and the deadline.
func (v *VM) proxy(ctx context.Context, req *request) (*response, *verdict.Error) {
	if req.through {
		return v.relay(ctx, req, forward.First)
	}
	if req.relayed != forward.Retry {
		v.retries.Request(time.Now(), req.service)
	}
	r, err := v.tryUpstreams(ctx, req)
	if req.relayed == forward.First && err != nil && err.Verdict == verdict.NotRun {
		// The VM that relays it may send it through another one, which counts it.
		v.retries.Withdraw(time.Now(), req.service)
	}
	return r, err
}

// tryUpstreams sends a request to upstreams in turn until one responds.
func (v *VM) tryUpstreams(ctx context.Context, req *request) (*response, *verdict.Error) {
	var tried []string
	var last *response
	var lastErr *verdict.Error
	sent := 0
	for range maxTries {
		if v.cutOff() {
			return v.relayStarted(ctx, req, sent, last, lastErr)
		}
		if late := v.refuseLate(time.Now(), req, req.service); late != nil {
			if !mayHaveRun(last, lastErr) {
				lastErr = late
			}
			break
		}
		trial, refused := v.guard.Admit(time.Now(), req.identity)
		if refused != nil {
			if !mayHaveRun(last, lastErr) {
				lastErr = refused
			}
			break
		}
		req.decision = v.decide(req, time.Now())
		lease, err := v.acquire(req, tried, trial)
		if len(tried) == 0 {
			v.recordDecision(req, err == nil)
		}
		if err != nil {
			trial.Done()
			if last == nil && lastErr == nil {
				lastErr = verdict.As(err)
			}
			break
		}
		tried = append(tried, lease.Target.ID)
		o := v.sendOverdue(ctx, req, lease, tried, sent)
		trial.Done()
		r, e := o.response, o.err
		if o.second != "" {
			tried = append(tried, o.second)
		}
		if r != nil {
			r.lease, r.tries, r.sentTwice = o.lease, len(tried), o.second != ""
		}
		if e == nil && !(req.idempotent() && r.resp.StatusCode >= http.StatusInternalServerError) {
			last.discard()
			return r, nil
		}
		if mayHaveRun(r, e) || !mayHaveRun(last, lastErr) {
			last.discard()
			last, lastErr = r, e
		}
		sent += o.sent
		if !v.mayRetry(ctx, req, e, sent) {
			break
		}
		if e == nil || e.Verdict != verdict.NotRun {
			v.limits.Charge(time.Now(), req.team) // The request may run once more.
		}
	}
	if last != nil {
		return last, nil
	}
	if lastErr.Reason == verdict.ReasonShed {
		now := time.Now()
		// If all usable upstreams asked for a pause, a retry before its end would be refused too.
		lastErr.RetryAfter = max(lastErr.RetryAfter, v.balancer.Wait(now, v.balanceRequest(req, now)))
	}
	return nil, lastErr
}

// relayStarted relays a request that this VM has begun to serve. sent is the number of upstreams
// that it was sent to, and last and lastErr are their outcome.
func (v *VM) relayStarted(ctx context.Context, req *request, sent int, last *response, lastErr *verdict.Error) (*response, *verdict.Error) {
	kind := forward.First
	if sent > 0 {
		kind = forward.Retry
	}
	e := verdict.New(verdict.NotRun, verdict.ReasonUnreachable, cutOffRetryAfter)
	var r *response
	if req.relayed == "" {
		// The other VM counts what is sent there.
		now := time.Now()
		if kind == forward.First {
			v.retries.Withdraw(now, req.service)
			v.returnLimit(now, req)
		} else {
			v.limits.Return(now, req.team)
		}
		r, e = v.relay(ctx, req, kind)
	}
	if mayHaveRun(r, e) || !mayHaveRun(last, lastErr) {
		last.discard()
		return r, e
	}
	if last != nil {
		return last, nil
	}
	return nil, lastErr
}

// mayHaveRun reports whether an attempt with the given outcome may have run.
func mayHaveRun(r *response, e *verdict.Error) bool {
	return r != nil || e != nil && e.Verdict != verdict.NotRun
}

// discard closes a response that is not passed on.
func (r *response) discard() {
	if r != nil && r.rest != nil {
		r.rest.Close()
	}
}

// mayRetry reports whether a request may be sent once more. e is nil after a response
// that reports the upstream's own failure.
func (v *VM) mayRetry(ctx context.Context, req *request, e *verdict.Error, sent int) bool {
	now := time.Now()
	if ctx.Err() != nil || req.rest != nil || req.deadline.Sub(now) < minRetryTime || v.refuseLate(now, req, req.service) != nil {
		return false
	}
	if e != nil && e.Verdict != verdict.NotRun && !req.idempotent() {
		return false
	}
	if !reached(e) {
		return true
	}
	return sent < req.attempts() && v.retries.Retry(now, req.service)
}

// reached reports whether the request was sent to an upstream. If it was not, sending
// it is not a retry.
func reached(e *verdict.Error) bool {
	return e == nil || e.Reason != verdict.ReasonUnreachable && e.Reason != verdict.ReasonWithheld
}

func (v *VM) choose(req *request, tried, avoid []string) (balance.Lease, error) {
	now := time.Now()
	want := v.balanceRequest(req, now)
	want.Tried, want.Avoid = tried, avoid
	return v.balancer.Choose(now, want)
}

// balanceRequest returns what the choice of an upstream depends on.
func (v *VM) balanceRequest(req *request, now time.Time) balance.Request {
	table := v.table.Load()
	want := balance.Request{
		Service: req.service, Route: req.route.Name, Key: req.key, Idempotent: req.idempotent(),
		Urgent: req.team.EffectivePriority(req.route.Priority) <= table.TopPriority(req.service), Depth: req.decision.Depth,
		Objective: req.route.Objective, Within: req.within(now),
	}
	if want.Key == "" || !req.route.Sticky {
		want.Key, want.Single = req.id, true
	}
	if len(req.route.Homes) > 0 || req.team != nil && len(req.team.Homes) > 0 {
		want.Allowed = func(region string) bool { return req.route.IsHome(region) && req.team.IsHome(region) }
	}
	if s := table.Service(req.service); s != nil {
		want.ColdPerSecond = s.ColdPerSecond
	}
	return want
}

// try sends a request to one upstream.
func (v *VM) try(ctx context.Context, req *request, lease balance.Lease) (*response, *verdict.Error) {
	call, began := v.upstreamCall(req, lease), time.Now()
	resp, err := v.send(ctx, req, call)
	if err != nil {
		e, overtaken := attemptError(ctx, err)
		outcome := balance.Outcome{
			Failed: e.Reason == verdict.ReasonUnreachable || e.Reason == verdict.ReasonBroken || e.Reason == verdict.ReasonOverdue, Unreachable: e.Reason == verdict.ReasonUnreachable,
			// An attempt that another one overtook did not take its caller's time, and a body that
			// cannot be read is its caller's fault.
			Unanswered: e.Verdict == verdict.MaybeRan && !overtaken && e.Reason != verdict.ReasonTooLarge && e.Reason != verdict.ReasonBadRequest,
			NotSent:    e.Reason == verdict.ReasonWithheld || overtaken && e.Verdict == verdict.NotRun,
		}
		if v.links.Disturbed(began) {
			outcome = balance.Outcome{NotSent: e.Verdict == verdict.NotRun}
		}
		v.balancer.Done(time.Now(), lease, outcome)
		v.seconds.unanswered(time.Now(), began, req, lease, e)
		v.unanswered(req, lease, began, e)
		v.requests.attemptFailed(v, req, lease, 0, e)
		return nil, e
	}
	var n balance.Notice
	if resp.StatusCode != http.StatusMisdirectedRequest {
		if n = v.parseNotice(resp.StatusCode, resp.Header); v.balancer.Heard(time.Now(), lease, n) {
			v.requests.notice(lease, n)
		}
		// A 421 comes from another incarnation that now has the address. It says nothing
		// about this upstream and must not clear the requests under which it crashed.
		v.guard.Answered(time.Now(), began, lease.Target.Incarnation())
	}
	var r *response
	e := v.refusal(resp)
	if e != nil {
		r = discardRefusal(resp)
	} else {
		r, err = readResponse(resp)
	}
	outcome := balance.Outcome{Answered: true, Load: v.reportedLoad(lease, resp.Header), Connect: call.Connect}
	if err != nil {
		outcome.Failed = ctx.Err() == nil && !v.links.Disturbed(began)
		v.balancer.Done(time.Now(), lease, outcome)
		e := truncatedError(ctx, err)
		v.unanswered(req, lease, began, e)
		v.requests.attemptFailed(v, req, lease, resp.StatusCode, e)
		return nil, e
	}
	outcome.Bytes = len(req.body) + len(r.body)
	if outcome.Load != nil {
		r.pace = outcome.Load.Pace
	}
	switch {
	case e != nil && e.Reason == verdict.ReasonMisdirected:
		outcome.Failed, outcome.Unreachable = true, true
	case e != nil:
		outcome.Refused = n.RetryAfter == 0 && (outcome.Load == nil || outcome.Load.Running < outcome.Load.Slots)
	default:
		outcome.Failed = resp.StatusCode >= http.StatusInternalServerError && resp.StatusCode != http.StatusGatewayTimeout
		v.recordServiceTime(req, lease, time.Since(began))
		outcome.Served = resp.StatusCode < http.StatusBadRequest
		if resp.StatusCode < http.StatusInternalServerError {
			v.seconds.observe(time.Now(), began, req, lease)
		}
	}
	v.balancer.Done(time.Now(), lease, outcome)
	if e != nil {
		v.unanswered(req, lease, began, e)
		v.requests.attemptFailed(v, req, lease, resp.StatusCode, e)
		return nil, e
	}
	if r.rest == nil {
		v.guard.Served(v.workCtx, time.Now(), req.identity, quarantine.Attempt{Upstream: upstreamOf(lease.Target), Began: began})
	} else {
		r.rest = &streamedResponse{ReadCloser: r.rest, vm: v, req: req, lease: lease, began: began}
	}
	return r, nil
}

// send sends a request to its upstream. An idempotent one is given up if the VM loses its links to
// the upstreams, so that it can be relayed.
func (v *VM) send(ctx context.Context, req *request, call *upstream.Call) (*http.Response, error) {
	began := time.Now()
	v.links.Begin(began)
	resp, err := v.links.Do(ctx, req.idempotent(), func(ctx context.Context) (*http.Response, error) {
		return v.upstreams.Send(ctx, call, dialTimeout)
	})
	v.links.End(began, time.Now(), call.Addr, call.Connect > 0, err)
	return resp, err
}

// refusal returns the error of a response that says that the request did not
// run, or nil.
func (v *VM) refusal(resp *http.Response) *verdict.Error {
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return verdict.New(verdict.NotRun, verdict.ReasonMisdirected, shedRetryAfter)
	case resp.Header.Get(v.protocol.NotRun) != "":
		return verdict.New(verdict.NotRun, verdict.ReasonShed, shedRetryAfter)
	default:
		return nil
	}
}

// shedRetryAfter is when a caller should retry after all upstreams that were tried
// refused its request.
const shedRetryAfter = 30 * time.Millisecond

// truncatedError returns the error of a response that ended before it was complete.
func truncatedError(ctx context.Context, err error) *verdict.Error {
	return verdict.Wrap(err, verdict.Ran, verdict.ContextReason(ctx.Err(), verdict.ReasonBroken), 0)
}

// upstreamCall returns the request as it is sent to a target.
func (v *VM) upstreamCall(req *request, lease balance.Lease) *upstream.Call {
	h := v.outgoingHeader(req)
	setTeam(h, v.protocol.Team, v.table.Load(), req.team)
	h.Set(v.protocol.ExpectTarget, lease.Target.ID)
	return &upstream.Call{
		Target: lease.Target.Incarnation(), Addr: lease.Target.Addr,
		Method: req.http.Method, URI: req.http.RequestURI, Host: req.http.Host, Header: h,
		Body: req.body, Rest: req.rest, Length: req.length,
		Admit:      func(now time.Time) bool { return v.balancer.Admit(now, lease) },
		Process:    v.processOf(lease),
		EchoHeader: v.protocol.RequestID, EchoID: req.id,
	}
}

// outgoingHeader returns the header fields of a request that are passed on, with the time that is
// left for it.
func (v *VM) outgoingHeader(req *request) http.Header {
	h := req.http.Header.Clone()
	forward.StripHopByHop(h)
	forward.StripReserved(h)
	h.Del("Expect")
	h.Del("Content-Length")
	h.Set(v.protocol.DeadlineMillis, strconv.FormatInt(max(1, time.Until(req.deadline).Milliseconds()), 10))
	return h
}

const (
	// maxRefusalBody is how many bytes of a refusal's body are read, and maxRefusalTime for how
	// long, so that its connection can be reused.
	maxRefusalBody = 64 << 10
	maxRefusalTime = 100 * time.Millisecond
)

// discardRefusal reads a refusal, which is not passed on, and returns it without its body. It says
// that the request did not run, whatever becomes of the body.
func discardRefusal(resp *http.Response) *response {
	if body, ok := resp.Body.(interface{ SetReadDeadline(time.Time) error }); ok {
		_ = body.SetReadDeadline(time.Now().Add(maxRefusalTime))
		_, _ = io.CopyN(io.Discard, resp.Body, maxRefusalBody)
		_ = body.SetReadDeadline(time.Time{})
	}
	resp.Body.Close()
	return &response{resp: resp}
}

// readResponse reads a response up to the size of the buffer.
func readResponse(resp *http.Response) (*response, error) {
	var buf bytes.Buffer
	if resp.ContentLength > 0 {
		buf.Grow(int(min(resp.ContentLength, responseBuffer)) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, responseBuffer))
	r := &response{resp: resp, body: buf.Bytes()}
	if err != nil {
		resp.Body.Close()
		return nil, err
	}
	if n < responseBuffer {
		resp.Body.Close()
		return r, nil
	}
	r.rest = resp.Body
	return r, nil
}

// relay passes a response on as the upstream sent it. If the response is truncated, it
// cuts the connection, so that the caller cannot take it for complete.
func (r *response) relay(w http.ResponseWriter) {
	h := w.Header()
	leaving := h.Get("Connection")
	rules := h.Get(forward.HeaderRules)
	for name, values := range r.resp.Header {
		h[name] = values
	}
	forward.StripHopByHop(h)
	forward.StripReserved(h)
	if rules != "" {
		h.Set(forward.HeaderRules, rules)
	}
	if leaving != "" {
		h.Set("Connection", leaving)
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // Keeps net/http from guessing one.
	}
	if r.rest == nil && r.resp.Request.Method != http.MethodHead && bodyAllowed(r.resp.StatusCode) {
		h.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	w.WriteHeader(r.resp.StatusCode)
	if _, err := w.Write(r.body); err != nil {
		r.discard()
		if bodyAllowed(r.resp.StatusCode) && r.resp.Request.Method != http.MethodHead {
			panic(http.ErrAbortHandler)
		}
		return
	}
	if r.rest == nil {
		return
	}
	defer r.rest.Close()
	if _, err := io.Copy(w, r.rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
