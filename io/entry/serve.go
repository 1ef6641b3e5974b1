package entry

import (
	"bytes"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/admission"
	"auburnlatch/core/poison"
	"auburnlatch/core/route"
	"auburnlatch/core/team"
	"auburnlatch/core/verdict"
	"auburnlatch/io/clock"
	"auburnlatch/io/forward"
)

const (
	// bodyBuffer is how much of a request's body is buffered before it is sent on, in
	// bytes: all of a usual upload. So the request can be sent to another upstream after a
	// refusal, and a caller that disconnects while it sends the body takes no upstream's slot.
	bodyBuffer = 1 << 20
	// responseBuffer is how much of a response is buffered before it is passed on, in bytes:
	// if a response is truncated within it, the request can be retried at another upstream,
	// or the caller gets an error status rather than a cut connection.
	responseBuffer = 256 << 10
	// notReadyRetryAfter is when to retry at a VM that has no rules yet: about the
	// duration of a start.
	notReadyRetryAfter = 500 * time.Millisecond
	// maxStartWait is how long after its start a VM holds requests until its first copies of
	// the rules and of the upstreams are there. It covers three reads across regions, as 900
	// upstreams are two pages, and decoding them: 0.31 s with one page and half a second with
	// two. When requests were refused instead, 250 callers retried half a second
	// later, on new connections. A VM that gets no copies in that time refuses.
	maxStartWait = 700 * time.Millisecond
	// defaultDeadline applies if neither the caller nor the route sets one.
	defaultDeadline = 30 * time.Second
)

// request is a caller's request in progress.
type request struct {
	route   *route.Route
	service string
	id      string
	key     string
	started time.Time
	// readAt is when all of it was read that is read before it is sent on.
	readAt   time.Time
	deadline time.Time
	// callerDeadline is the caller's own deadline, zero if it named none. It may be later than
	// deadline, which is bounded by the route's timeout.
	callerDeadline time.Time
	// returned says that the caller was refused before and has come back.
	returned bool
	// decision is how it is admitted to the upstream that is chosen next.
	decision admission.Decision
	// appointing says that refused callers are told when there will be room, and told what
	// this one was told.
	appointing bool
	told       told
	http       *http.Request
	body       []byte
	rest       io.Reader // What exceeds the buffer.
	length     int64
	// identity is how the request is recognized when it is retried.
	identity *poison.Request
	// team is the team of the request's key, or nil if it needs none.
	team *team.Team
	// keyPrint is the fingerprint of the key.
	keyPrint string
	// rules is the version of the rules in force.
	rules uint64
	// relayed says what is known of a request that another VM relays; empty if it comes from a
	// caller of this one.
	relayed forward.RelayKind
	// through says that it is to be relayed to another VM, as this one reaches no upstream.
	through bool
	// charged says that it was counted against its team's limit.
	charged bool
	// rulesAge is how long ago the rules were verified to be the newest, as of reading the request.
	rulesAge time.Duration
}

// idempotent reports whether the request may run more than once.
func (r *request) idempotent() bool { return r.route.Kind == route.Idempotent }

// within returns what is left of the route's objective, at least a millisecond; 0: it has none.
func (r *request) within(now time.Time) time.Duration {
	if r.route.Objective <= 0 {
		return 0
	}
	return max(time.Millisecond, r.route.Objective-now.Sub(r.started))
}

// attempts returns how many upstreams the request may be sent to.
func (r *request) attempts() int {
	if r.relayed == forward.Retry {
		return 1
	}
	return max(1, r.route.Attempts)
}

// awaitedUntil returns until when the caller waits for the response.
func (r *request) awaitedUntil() time.Time {
	if !r.callerDeadline.IsZero() {
		return r.callerDeadline
	}
	return r.started.Add(defaultDeadline)
}

// ServeHTTP serves one request of a caller.
func (v *VM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.inFlight.Add(1)
	defer v.inFlight.Add(-1)
	conn := connOf(r)
	early := conn.beginServing(r)
	defer conn.endServing()
	w, r, body := forward.OwnBody(w, r, 0)
	defer body.End()
	var res result
	if early != nil {
		defer early.release()
		res = early.wait()
	} else {
		res = v.serve(r.Context(), r)
		defer res.stop()
	}
	defer v.ahead.hold(r.Context(), v.workCtx, conn, &res)()
	conn.respondBy(res.request.started, res.request.awaitedUntil())
	if res.request.relayed == "" {
		v.traffic.Add(res.bytes())
	} else {
		v.relaying.traffic.Add(res.bytes())
		w.Header().Set(forward.HeaderRules, strconv.FormatUint(res.request.rules, 10))
	}
	if (v.leaving.Load() || res.err != nil && res.err.Reason == verdict.ReasonNotSure) && conn.mayClose() {
		w.Header().Set("Connection", "close")
	}
	if res.err != nil {
		v.stop.observe(time.Now(), res)
		v.refuse(w, r, res.request, res.err)
		return
	}
	v.counts.served(time.Since(res.request.started))
	v.requests.answered(v, res)
	whole := conn.responding(r)
	res.response.relay(w)
	whole()
	v.stop.observe(time.Now(), res)
}

// serve processes a request and returns its outcome.
func (v *VM) serve(ctx context.Context, r *http.Request) result {
	req, e := v.admit(r)
	res := result{request: req, err: e, stop: func() {}}
	if e == nil {
		ctx, res.stop = context.WithDeadline(ctx, req.deadline)
		release := context.AfterFunc(v.workCtx, res.stop)
		res.response, res.err = v.proxy(ctx, req)
		release()
		if e = res.err; e != nil && e.Reason == verdict.ReasonCanceled && v.workCtx.Err() != nil {
			res.err = verdict.Wrap(e, e.Verdict, verdict.ReasonLeaving, shedRetryAfter)
		}
	}
	res.readyAt = time.Now()
	res.streamed = res.response != nil && res.response.rest != nil
	v.splitLog.done(res)
	if req.appointing {
		v.appointed(res)
	}
	if e == nil && res.err != nil && res.err.Verdict == verdict.NotRun {
		v.returnLimit(res.readyAt, req)
	}
	return res
}

// admit finds a request's route and reads its body.
func (v *VM) admit(r *http.Request) (*request, *verdict.Error) {
	req := &request{started: time.Now(), http: r, id: r.Header.Get(v.protocol.RequestID)}
	req.callerDeadline = v.callerDeadline(req)
	v.awaitCopies(r.Context(), req.started)
	if req.relayed = parseRelay(r.Header); req.relayed != "" {
		if e := v.admitRelayed(r.Context(), req); e != nil {
			return req, e
		}
	}
	req.rulesAge = v.rulesAge(clock.SinceBoot())
	table := v.table.Load()
	if table == nil || !v.targets.known() {
		return req, verdict.New(verdict.NotRun, verdict.ReasonNotReady, notReadyRetryAfter)
	}
	rt := table.Find(r.Host, r.URL.EscapedPath())
	if rt == nil {
		return req, v.unknownError(req, table, verdict.ReasonNoService)
	}
	req.route, req.rules = rt, table.Config.Version
	if e := v.authenticate(req, table); e != nil {
		return req, e
	}
	limits := table.Config.Limits
	if limits.MaxBodyBytes > 0 && r.ContentLength > limits.MaxBodyBytes {
		return req, verdict.New(verdict.NotRun, verdict.ReasonTooLarge, 0)
	}
	req.key = v.protocol.Key(r)
	req.deadline = v.deadline(req)
	req.appointing = req.relayed == "" && v.admitsByRank(table)
	if req.appointing {
		req.returned = v.appointments.recognize(req)
	}
	service := rt.Pick(rand.Float64())
	if e := v.refuseLate(time.Now(), req, service); e != nil {
		return req, e
	}
	if e := v.readBody(req, service, limits.MaxBodyBytes); e != nil {
		return req, e
	}
	req.identity = v.identity(req)
	if req.relayed == "" && v.cutOff() {
		req.through = true
		return req, nil
	}
	if e := v.limit(req); e != nil {
		return req, e
	}
	req.service = service
	v.splitLog.picked(req)
	return req, nil
}

// awaitCopies waits, right after the start, for the first copies of the tables and for the
// bans: without the bans, a banned poison request would be let through.
func (v *VM) awaitCopies(ctx context.Context, now time.Time) {
	left := maxStartWait - now.Sub(v.started)
	if left <= 0 || v.table.Load() != nil && v.targets.known() && v.guard.Ledger().Synced() {
		return
	}
	timeout := time.After(left)
	for _, known := range []<-chan struct{}{v.loaded, v.guard.Ledger().SyncDone()} {
		select {
		case <-known:
		case <-ctx.Done():
			return
		case <-timeout:
			return
		}
	}
}

// callerDeadline returns the caller's own deadline, or zero if it names none.
func (v *VM) callerDeadline(req *request) time.Time {
	ms, err := strconv.ParseFloat(req.http.Header.Get(v.protocol.DeadlineMillis), 64)
	if err != nil || ms <= 0 || ms >= math.MaxInt32 {
		return time.Time{}
	}
	return req.started.Add(time.Duration(ms * float64(time.Millisecond)))
}

// deadline returns the earlier of the caller's deadline and the route's.
func (v *VM) deadline(req *request) time.Time {
	left := defaultDeadline
	if !req.callerDeadline.IsZero() {
		left = req.callerDeadline.Sub(req.started)
	}
	if t := req.route.Timeout; t > 0 {
		left = min(left, t)
	}
	return req.started.Add(left)
}

// readBody reads the body until the deadline. What comes later can't be sent on any more.
func (v *VM) readBody(req *request, service string, limit int64) *verdict.Error {
	r, conn := req.http, connOf(req.http)
	read := req.read
	if conn != nil && r.ContentLength != 0 {
		read = (&bodyReader{vm: v, conn: conn, req: req, service: service, set: make(chan struct{})}).read
	}
	err := read(limit)
	req.readAt = time.Now()
	if err == nil {
		return nil
	}
	reason := bodyReason(r.Context(), err)
	if reason == verdict.ReasonDeadline && req.readAt.Before(req.deadline) {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonLeaving, shedRetryAfter)
	}
	return verdict.Wrap(err, verdict.NotRun, reason, 0)
}

// read reads the body, up to the size of the buffer.
func (r *request) read(limit int64) error {
	r.length = r.http.ContentLength
	if r.http.Body == nil || r.http.Body == http.NoBody || r.length == 0 {
		r.length = 0
		return nil
	}
	body := io.Reader(r.http.Body)
	if limit > 0 {
		body = http.MaxBytesReader(nil, r.http.Body, limit)
	}
	var buf bytes.Buffer
	if r.length > 0 {
		buf.Grow(int(min(r.length, bodyBuffer)) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(body, bodyBuffer))
	if err != nil {
		return err
	}
	r.body = buf.Bytes()
	if n == bodyBuffer && r.length != n {
		r.rest = body
		return nil
	}
	r.length = n
	return nil
}

// bodyReason returns the reason for which a request is refused whose body could not be read.
func bodyReason(ctx context.Context, err error) verdict.Reason {
	var tooLarge *http.MaxBytesError
	var broken net.Error
	switch {
	case errors.As(err, &tooLarge):
		return verdict.ReasonTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.ReasonDeadline
	case ctx.Err() != nil, errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &broken):
		return verdict.ReasonCanceled
	default:
		return verdict.ReasonBadRequest
	}
}

// status returns the status code for an error. 503 guarantees that the request has not
// run; 502 and 504 guarantee nothing.
func status(e *verdict.Error) int {
	switch {
	case e.Reason == verdict.ReasonNoService:
		return http.StatusNotFound
	case e.Reason == verdict.ReasonUnknownKey:
		return http.StatusUnauthorized
	case e.Reason == verdict.ReasonOverLimit:
		return http.StatusTooManyRequests
	case e.Reason == verdict.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case e.Reason == verdict.ReasonBadRequest:
		return http.StatusBadRequest
	case e.Verdict == verdict.NotRun:
		return http.StatusServiceUnavailable
	case e.Reason == verdict.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// refuse responds to a caller that its request failed.
func (v *VM) refuse(w http.ResponseWriter, r *http.Request, req *request, e *verdict.Error) {
	code := status(e)
	v.counts.failed(e)
	v.requests.refused(v, req, e, code, connOf(r).trace())
	// A read that times out also cancels the context.
	if r.Context().Err() != nil && e.Reason != verdict.ReasonDeadline && !errors.Is(e, os.ErrDeadlineExceeded) {
		panic(http.ErrAbortHandler) // The caller has disconnected.
	}
	h := w.Header()
	h.Set(forward.HeaderVerdict, e.Verdict.String())
	h.Set(forward.HeaderReason, string(e.Reason))
	if code == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if e.Verdict == verdict.NotRun && e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(code)
}
