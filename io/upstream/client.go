package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"auburnlatch/core/inventory"
	"auburnlatch/core/verdict"
	"auburnlatch/io/http1"
	"auburnlatch/io/lifecycle"
)

// Limits of the client.
const (
	dialTimeout       = 2 * time.Second
	continueTimeout   = time.Second
	idleTimeout       = 90 * time.Second
	idlePerUpstream   = 64
	defaultRetryAfter = time.Second
	// maxShedBody is how many bytes of a shed response's body are read, and maxShedTime
	// for how long, so that its connection can be reused.
	maxShedBody = 4 << 10
	maxShedTime = 100 * time.Millisecond
)

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	transport *http1.Transport
	dial      Dial
	links     *Links // nil: not watched.
	// abortDials ends the opening of connections.
	abortDials lifecycle.Broadcast
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Option configures a Client or a Pool.
type Option func(*options)

type options struct {
	dial  Dial
	links *Links
}

// WithLinks has a Client record in l what its requests to upstreams show of the VM's links.
func WithLinks(l *Links) Option { return func(o *options) { o.links = l } }

// WithDial sets the function that opens connections.
func WithDial(dial Dial) Option { return func(o *options) { o.dial = dial } }

// NewClient returns a client with its own connection pool.
func NewClient(opts ...Option) *Client {
	o := &options{dial: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	for _, opt := range opts {
		opt(o)
	}
	c := &Client{dial: o.dial, links: o.links}
	c.transport = http1.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			defer context.AfterFunc(c.abortDials.Context(), cancel)()
			return o.dial(ctx, network, addr)
		},
		MaxIdleConnsPerHost: idlePerUpstream, IdleConnTimeout: idleTimeout,
		ExpectContinueTimeout: continueTimeout, DisableCompression: true, MaxResponseHeaderBytes: defaultMaxHeader,
	})
	return c
}

// AbortDials ends all attempts to open a connection that are in progress.
func (c *Client) AbortDials() { c.abortDials.Signal() }

// Listens checks whether a process accepts connections at an address. It opens one and
// closes it shortly afterwards.
func (c *Client) Listens(ctx context.Context, addr string, within time.Duration) Listening {
	return checkListening(ctx, c.dial, addr, within)
}

// CloseIdle closes idle connections.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// Send sends one request to the target and returns its response, whose body the
// caller closes. With a status in shed the target states that it did not run
// the request.
func (c *Client) Send(ctx context.Context, t *inventory.Target, shed []int, req *http.Request) (*http.Response, error) {
	resp, err := c.roundTripWatched(ctx, t.Addr, req, c.links)
	if err != nil {
		return nil, err
	}
	if slices.Contains(shed, resp.StatusCode) {
		late := time.AfterFunc(maxShedTime, func() { resp.Body.Close() })
		_, _ = io.CopyN(io.Discard, resp.Body, maxShedBody)
		late.Stop()
		resp.Body.Close()
		pause := RetryAfter(resp.Header)
		return nil, verdict.Wrap(&ShedError{pause}, verdict.NotRun, verdict.ReasonShed, max(defaultRetryAfter, pause))
	}
	return resp, nil
}

// ShedError reports that an upstream shed a request.
type ShedError struct {
	// RetryAfter is how long the upstream asks not to be sent requests; 0 if
	// it names no time.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ShedError) Error() string {
	return "upstream shed the request, retry after " + e.RetryAfter.String()
}

// roundTripWatched is RoundTrip to an upstream. It records in links what that shows of them; nil:
// nothing is recorded.
func (c *Client) roundTripWatched(ctx context.Context, addr string, req *http.Request, links *Links) (*http.Response, error) {
	var sent writeTracker
	if links == nil {
		return c.roundTrip(ctx, addr, req, &sent)
	}
	began := time.Now()
	links.Begin(began)
	resp, err := c.roundTrip(ctx, addr, req, &sent)
	links.End(began, time.Now(), addr, sent.opened(), err)
	return resp, err
}

// RoundTrip sends one request to an address, exactly once, and returns the response.
func (c *Client) RoundTrip(ctx context.Context, addr string, req *http.Request) (*http.Response, error) {
	return c.roundTrip(ctx, addr, req, &writeTracker{})
}

func (c *Client) roundTrip(ctx context.Context, addr string, req *http.Request, sent *writeTracker) (*http.Response, error) {
	out := *req
	to := *req.URL
	to.Scheme, to.Host = "http", addr
	out.URL = &to
	out.RequestURI = ""
	out.Body, out.GetBody = req.Body, nil
	if !mayRepeat(req) {
		out.Body = singleUseBody(req.Body)
	}
	resp, err := c.transport.Send(ctx, &out, sent.gotConn)
	if err != nil {
		return nil, sent.verdict(ctx, err)
	}
	return resp, nil
}

// mayRepeat reports whether the transport may repeat a request on its own.
func mayRepeat(req *http.Request) bool {
	bodyless := req.Body == nil || req.Body == http.NoBody
	return bodyless && (req.Method == http.MethodGet || req.Method == http.MethodHead)
}

// singleUseBody wraps a body so that the transport does not send the request
// again. net/http repeats a request on a new connection if a reused one breaks,
// even after the request was written, if the method is idempotent or the
// request has an Idempotency-Key, and the body is absent or can be recreated.
// The upstream could then run a request twice for one response. A body that is
// present and cannot be recreated prevents that.
func singleUseBody(body io.ReadCloser) io.ReadCloser {
	if body == nil {
		body = http.NoBody
	}
	return singleUse{body}
}

type singleUse struct{ io.ReadCloser }

// writeTracker tracks whether any byte of a request may have been sent, that is,
// whether its connection was written to after the request got it.
type writeTracker struct {
	mu    sync.Mutex
	conns []trackedConn
}

type trackedConn struct {
	conn   *http1.Conn
	before int64
	reused bool
}

func (s *writeTracker) gotConn(conn *http1.Conn, reused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, trackedConn{conn, conn.Written(), reused})
}

// opened reports whether the last connection was opened for the request.
func (s *writeTracker) opened() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) > 0 && !s.conns[len(s.conns)-1].reused
}

func (s *writeTracker) wroteAny() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.conns {
		if w.conn.Written() != w.before {
			return true
		}
	}
	return false
}

// verdict returns the error of a request that got no response.
func (s *writeTracker) verdict(ctx context.Context, err error) *verdict.Error {
	reason := verdict.ContextReason(ctx.Err(), verdict.ReasonUnreachable)
	if !s.wroteAny() {
		return verdict.Wrap(err, verdict.NotRun, reason, defaultRetryAfter)
	}
	if reason == verdict.ReasonUnreachable {
		reason = verdict.ReasonBroken
	}
	return verdict.Wrap(err, verdict.MaybeRan, reason, defaultRetryAfter)
}
