package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/verdict"
	"auburnlatch/io/forward"
	"auburnlatch/io/quarantine"
	"auburnlatch/io/upstream"
)

const (
	// maxTries bounds the loop over upstreams, connections that could not be
	// opened included; how many are sent the request is the route's to say.
	maxTries = 4
	// minLeft is the time a request must have left to be sent again.
	minLeft = 40 * time.Millisecond
	// dialWithin bounds the opening of a connection: two round trips between the
	// regions that are furthest apart, and one packet sent again.
	dialWithin = 450 * time.Millisecond
)

// answer is an upstream's answer, its beginning taken in.
type answer struct {
	resp *http.Response
	body []byte
	rest io.ReadCloser // What the buffer did not take; nil: nothing.
	// lease is the place at the target that gave it, at the tries-th try.
	lease balance.Lease
	tries int
}

// carry sends a request to an upstream and returns its answer. It is sent
// again only where it has not run or may run twice, within the route's
// attempts, the retry budget and the deadline.
func (v *VM) carry(ctx context.Context, req *request) (*answer, *verdict.Error) {
	v.retries.Request(time.Now(), req.service)
	var tried []string
	var last *answer
	var lastErr *verdict.Error
	sent := 0
	for range maxTries {
		trial, refused := v.guard.Admit(time.Now(), req.identity)
		if refused != nil {
			if last == nil && (lastErr == nil || lastErr.Verdict == verdict.NotRun) {
				lastErr = refused
			}
			break
		}
		lease, err := v.place(req, tried, trial)
		if err != nil {
			trial.Done()
			if last == nil && lastErr == nil {
				lastErr = verdict.As(err)
			}
			break
		}
		tried = append(tried, lease.Target.ID)
		a, e := v.try(ctx, req, lease)
		trial.Done()
		if a != nil {
			a.lease, a.tries = lease, len(tried)
		}
		if e == nil && !(req.idempotent() && a.resp.StatusCode >= http.StatusInternalServerError) {
			last.drop()
			return a, nil
		}
		last.drop()
		last, lastErr = a, e
		if reached(e) {
			sent++
		}
		if !v.mayRetry(ctx, req, e, sent) {
			break
		}
		if e == nil || e.Verdict != verdict.NotRun {
			v.limits.Charge(time.Now(), req.team) // It runs once more.
		}
	}
	if last != nil {
		return last, nil
	}
	if lastErr.Reason == verdict.ReasonShed {
		now := time.Now()
		// Where all that could serve have asked for a pause, the caller would be refused before.
		lastErr.RetryAfter = max(lastErr.RetryAfter, v.balancer.Wait(now, v.wanted(req, now)))
	}
	return nil, lastErr
}

// drop gives up an answer that is not passed on.
func (a *answer) drop() {
	if a != nil && a.rest != nil {
		a.rest.Close()
	}
}

// mayRetry reports whether a request may be sent once more; e is nil after an
// answer that tells of the upstream's own failure.
func (v *VM) mayRetry(ctx context.Context, req *request, e *verdict.Error, sent int) bool {
	now := time.Now()
	if ctx.Err() != nil || req.rest != nil || req.deadline.Sub(now) < minLeft {
		return false
	}
	if e != nil && e.Verdict != verdict.NotRun && !req.idempotent() {
		return false
	}
	if !reached(e) {
		return true
	}
	return sent < max(1, req.route.Attempts) && v.retries.Retry(now, req.service)
}

// reached reports whether an upstream was sent the request. A request that reached nobody
// may be sent without being a repeat.
func reached(e *verdict.Error) bool {
	return e == nil || e.Reason != verdict.ReasonUnreachable && e.Reason != verdict.ReasonWithheld
}

func (v *VM) choose(req *request, tried, avoid []string) (balance.Lease, error) {
	now := time.Now()
	want := v.wanted(req, now)
	want.Tried, want.Avoid = tried, avoid
	return v.balancer.Choose(now, want)
}

// wanted returns what the choice of an upstream depends on.
func (v *VM) wanted(req *request, now time.Time) balance.Request {
	table := v.table.Load()
	want := balance.Request{
		Service: req.service, Route: req.route.Name, Key: req.key, Idempotent: req.idempotent(),
		Urgent: req.team.EffectivePriority(req.route.Priority) <= table.TopPriority(req.service),
	}
	if within := req.route.Objective; within > 0 {
		want.Objective = within
		want.Within = max(time.Millisecond, within-now.Sub(req.started))
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
func (v *VM) try(ctx context.Context, req *request, lease balance.Lease) (*answer, *verdict.Error) {
	call, began := v.call(req, lease), time.Now()
	resp, err := v.upstreams.Send(ctx, call, dialWithin)
	if err != nil {
		e := verdict.As(err)
		v.balancer.Done(time.Now(), lease, balance.Outcome{
			Failed: e.Reason == verdict.ReasonUnreachable || e.Reason == verdict.ReasonBroken, Unreachable: e.Reason == verdict.ReasonUnreachable,
			Unanswered: e.Verdict == verdict.MaybeRan, NotSent: e.Reason == verdict.ReasonWithheld,
		})
		v.unanswered(req, lease, began, e)
		v.requests.tried(v, req, lease, 0, e)
		return nil, e
	}
	var n balance.Notice
	if resp.StatusCode != http.StatusMisdirectedRequest {
		if n = v.notice(resp.StatusCode, resp.Header); v.balancer.Heard(time.Now(), lease, n) {
			v.requests.heard(lease, n)
		}
		// What another says that has the address now is no word of this upstream's: it
		// would clear the requests under which that one ended.
		v.guard.Answered(time.Now(), began, lease.Target.Incarnation())
	}
	a, err := take(resp)
	outcome := balance.Outcome{Answered: true, Load: load(resp.Header.Get(v.protocol.Load)), Connect: call.Connect}
	if err != nil {
		outcome.Failed = ctx.Err() == nil
		v.balancer.Done(time.Now(), lease, outcome)
		e := broken(ctx, err)
		v.unanswered(req, lease, began, e)
		v.requests.tried(v, req, lease, resp.StatusCode, e)
		return nil, e
	}
	outcome.Bytes = len(req.body) + len(a.body)
	e := v.refusal(resp)
	switch {
	case e != nil && e.Reason == verdict.ReasonMisdirected:
		outcome.Failed, outcome.Unreachable = true, true
	case e != nil:
		outcome.Refused = n.RetryAfter == 0 && (outcome.Load == nil || outcome.Load.Running < outcome.Load.Slots)
	default:
		outcome.Failed = resp.StatusCode >= http.StatusInternalServerError && resp.StatusCode != http.StatusGatewayTimeout
	}
	v.balancer.Done(time.Now(), lease, outcome)
	if e != nil {
		v.unanswered(req, lease, began, e)
		v.requests.tried(v, req, lease, resp.StatusCode, e)
		a.drop()
		return nil, e
	}
	if a.rest == nil {
		v.guard.Served(v.work, time.Now(), req.identity, quarantine.Attempt{Upstream: incarnation(lease.Target), Began: began})
	} else {
		a.rest = &longAnswer{ReadCloser: a.rest, vm: v, req: req, lease: lease, began: began}
	}
	return a, nil
}

// refusal returns the error of an answer that says that the request did not
// run, else nil.
func (v *VM) refusal(resp *http.Response) *verdict.Error {
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return verdict.New(verdict.NotRun, verdict.ReasonMisdirected, comeBack)
	case resp.Header.Get(v.protocol.NotRun) != "":
		return verdict.New(verdict.NotRun, verdict.ReasonShed, comeBack)
	default:
		return nil
	}
}

// comeBack is when a caller should come back after the upstreams it was offered
// to refused it.
const comeBack = 30 * time.Millisecond

// broken judges an answer that ended before it was whole.
func broken(ctx context.Context, err error) *verdict.Error {
	return verdict.Wrap(err, verdict.Ran, verdict.ContextReason(ctx.Err(), verdict.ReasonBroken), 0)
}

// call is the request as it goes to a target.
func (v *VM) call(req *request, lease balance.Lease) *upstream.Call {
	h := req.http.Header.Clone()
	forward.StripHopByHop(h)
	forward.StripReserved(h)
	setTeam(h, v.protocol.Team, v.table.Load(), req.team)
	h.Del("Expect")
	h.Del("Content-Length")
	h.Set(v.protocol.ExpectTarget, lease.Target.ID)
	h.Set(v.protocol.DeadlineMillis, strconv.FormatInt(max(1, time.Until(req.deadline).Milliseconds()), 10))
	return &upstream.Call{
		Target: lease.Target.Incarnation(), Addr: lease.Target.Addr,
		Method: req.http.Method, URI: req.http.RequestURI, Host: req.http.Host, Header: h,
		Body: req.body, Rest: req.rest, Length: req.length,
		Admit:      func(now time.Time) bool { return v.balancer.Admit(now, lease) },
		EchoHeader: v.protocol.RequestID, EchoID: req.id,
	}
}

// take reads an answer up to the buffer.
func take(resp *http.Response) (*answer, error) {
	var buf bytes.Buffer
	if resp.ContentLength > 0 {
		buf.Grow(int(min(resp.ContentLength, answerBuffer)) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, answerBuffer))
	a := &answer{resp: resp, body: buf.Bytes()}
	if err != nil {
		resp.Body.Close()
		return nil, err
	}
	if n < answerBuffer {
		resp.Body.Close()
		return a, nil
	}
	a.rest = resp.Body
	return a, nil
}

// relay passes an answer on as the upstream gave it. One that breaks off midway
// cuts the connection, so that it cannot be taken for whole.
func (a *answer) relay(w http.ResponseWriter) {
	h := w.Header()
	leaving := h.Get("Connection")
	for name, values := range a.resp.Header {
		h[name] = values
	}
	forward.StripHopByHop(h)
	if leaving != "" {
		h.Set("Connection", leaving)
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // Keeps the library from guessing one.
	}
	if a.rest == nil && a.resp.Request.Method != http.MethodHead && bodyAllowed(a.resp.StatusCode) {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.resp.StatusCode)
	if _, err := w.Write(a.body); err != nil {
		a.drop()
		if bodyAllowed(a.resp.StatusCode) && a.resp.Request.Method != http.MethodHead {
			panic(http.ErrAbortHandler)
		}
		return
	}
	if a.rest == nil {
		return
	}
	defer a.rest.Close()
	if _, err := io.Copy(w, a.rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// load parses what an upstream says of its load: running, waiting, slots.
func load(text string) *balance.Load {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return nil
	}
	var n [3]int
	for i, part := range parts {
		var err error
		if n[i], err = strconv.Atoi(strings.TrimSpace(part)); err != nil {
			return nil
		}
	}
	return &balance.Load{Running: n[0], Waiting: n[1], Slots: n[2]}
}
