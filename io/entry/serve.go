package entry

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"auburnlatch/core/poison"
	"auburnlatch/core/route"
	"auburnlatch/core/team"
	"auburnlatch/core/verdict"
	"auburnlatch/io/clock"
	"auburnlatch/io/forward"
)

const (
	// bodyBuffer is how much of a request's body is taken in before it is sent
	// on, in bytes: all of a usual upload, so that it can be offered to another
	// upstream after a refusal, and so that a caller that breaks off in its midst
	// costs no upstream a slot.
	bodyBuffer = 1 << 20
	// answerBuffer is how much of an answer is taken in before it is passed on,
	// in bytes: an answer that breaks off within it can be had from another
	// upstream, or told as a failure rather than as a cut connection.
	answerBuffer = 256 << 10
	// notReadyWait is when to come back to a VM that knows no rules yet: about
	// what a start takes.
	notReadyWait = 500 * time.Millisecond
	// holdAtStart is how long after its start a VM lets requests wait for its first
	// copies of the rules and of the upstreams: three reads across regions, as 900
	// upstreams are two pages, and what they take to be decoded: 0.31 s with one page,
	// half a second with two, worked out. Refused instead, 250 callers came back half a
	// second later, on new connections. A VM that gets no copies in that time refuses.
	holdAtStart = 700 * time.Millisecond
	// defaultDeadline holds where neither the caller nor the route says one.
	defaultDeadline = 30 * time.Second
)

// request is a caller's request on its way.
type request struct {
	route    *route.Route
	service  string
	id       string
	key      string
	started  time.Time
	deadline time.Time
	http     *http.Request
	body     []byte
	rest     io.Reader // What the buffer did not take.
	length   int64
	// identity is what the request is recognized by when it comes again.
	identity *poison.Request
	// team is whose key the request came with; nil: it needs none.
	team *team.Team
	// keyPrint tells the key from others.
	keyPrint string
	// rulesAge is how long ago the rules certainly were the newest when the request was read.
	rulesAge time.Duration
}

// idempotent reports whether the request may run more than once.
func (r *request) idempotent() bool { return r.route.Kind == route.Idempotent }

// ServeHTTP takes in one request of a caller.
func (v *VM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.inFlight.Add(1)
	defer v.inFlight.Add(-1)
	conn := callerOf(r)
	begun := conn.begin(r)
	defer conn.end()
	var res result
	if begun != nil {
		defer begun.release()
		res = begun.wait()
	} else {
		res = v.serve(r.Context(), r)
		defer res.stop()
	}
	v.traffic.Add(res.bytes())
	if (v.leaving.Load() || res.err != nil && res.err.Reason == verdict.ReasonNotSure) && conn.mayClose() {
		w.Header().Set("Connection", "close")
	}
	if res.err != nil {
		v.refuse(w, r, res.request, res.err)
		return
	}
	v.counts.served(time.Since(res.request.started))
	v.requests.done(v, res)
	res.answer.relay(w)
}

// serve carries a request and returns what became of it.
func (v *VM) serve(ctx context.Context, r *http.Request) result {
	req, e := v.admit(r)
	res := result{request: req, err: e, stop: func() {}}
	if e == nil {
		ctx, res.stop = context.WithDeadline(ctx, req.deadline)
		release := context.AfterFunc(v.work, res.stop)
		res.answer, res.err = v.carry(ctx, req)
		release()
		if e = res.err; e != nil && e.Reason == verdict.ReasonCanceled && v.work.Err() != nil {
			res.err = verdict.Wrap(e, e.Verdict, verdict.ReasonLeaving, comeBack)
		}
	}
	res.readyAt = time.Now()
	if e == nil && res.err != nil && res.err.Verdict == verdict.NotRun {
		v.limits.Return(res.readyAt, req.team)
	}
	return res
}

// admit finds a request's route and takes its body in.
func (v *VM) admit(r *http.Request) (*request, *verdict.Error) {
	req := &request{started: time.Now(), http: r, id: r.Header.Get(v.protocol.RequestID)}
	v.awaitCopies(r.Context(), req.started)
	req.rulesAge = v.rulesAge(clock.SinceBoot())
	table := v.table.Load()
	if table == nil || !v.targets.known() {
		return req, verdict.New(verdict.NotRun, verdict.ReasonNotReady, notReadyWait)
	}
	rt := table.Find(r.Host, r.URL.EscapedPath())
	if rt == nil {
		return req, v.unknown(req, table, verdict.ReasonNoService)
	}
	req.route = rt
	if e := v.identify(req, table); e != nil {
		return req, e
	}
	limits := table.Config.Limits
	if limits.MaxBodyBytes > 0 && r.ContentLength > limits.MaxBodyBytes {
		return req, verdict.New(verdict.NotRun, verdict.ReasonTooLarge, 0)
	}
	req.key = v.protocol.Key(r)
	req.deadline = v.deadline(req)
	if err := req.read(limits.MaxBodyBytes); err != nil {
		return req, verdict.Wrap(err, verdict.NotRun, verdict.ReasonCanceled, 0)
	}
	if e := v.limit(req); e != nil {
		return req, e
	}
	req.service = rt.Pick(req.key, &v.picks)
	req.identity = v.identity(req)
	return req, nil
}

// awaitCopies waits, right after the start, for the copies that requests are carried by
// and for the bans, which a request that ends upstreams would else get past.
func (v *VM) awaitCopies(ctx context.Context, now time.Time) {
	left := holdAtStart - now.Sub(v.started)
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

// deadline is the earlier of the caller's and the route's.
func (v *VM) deadline(req *request) time.Time {
	left := defaultDeadline
	if ms, err := strconv.ParseFloat(req.http.Header.Get(v.protocol.DeadlineMillis), 64); err == nil && ms > 0 && ms < math.MaxInt32 {
		left = time.Duration(ms * float64(time.Millisecond))
	}
	if t := req.route.Timeout; t > 0 {
		left = min(left, t)
	}
	return req.started.Add(left)
}

// read takes the body in, up to the buffer.
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

// status returns the status code by which a failure is told. 503 promises that
// the request has not run; 502 and 504 promise nothing.
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
	case e.Verdict == verdict.NotRun:
		return http.StatusServiceUnavailable
	case e.Reason == verdict.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// refuse tells a caller at once that its request was given up on.
func (v *VM) refuse(w http.ResponseWriter, r *http.Request, req *request, e *verdict.Error) {
	code := status(e)
	v.counts.failed(e)
	v.requests.refused(v, req, e, code)
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler) // The caller has left.
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
