package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"auburnlatch/core/inventory"
	"auburnlatch/core/verdict"
)

// Bounds of the client.
const (
	dialTimeout     = 2 * time.Second
	continueTimeout = time.Second
	idleTimeout     = 90 * time.Second
	idlePerUpstream = 64
	retryShed       = time.Second
	// maxRefusalBody is how much of a refusal is read to keep its connection.
	maxRefusalBody = 4 << 10
)

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	dial      Dial
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Option varies a Client.
type Option func(*options)

type options struct{ dial Dial }

// WithDial has the client open its connections by dial.
func WithDial(dial Dial) Option { return func(o *options) { o.dial = dial } }

// NewClient returns a client with connections of its own.
func NewClient(opts ...Option) *Client {
	o := &options{dial: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	for _, opt := range opts {
		opt(o)
	}
	return &Client{dial: o.dial, transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := o.dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: idlePerUpstream, IdleConnTimeout: idleTimeout,
		ExpectContinueTimeout: continueTimeout, DisableCompression: true,
	}}
}

// Listens finds out whether somebody takes connections at an address, by one that is
// closed again soon.
func (c *Client) Listens(ctx context.Context, addr string, within time.Duration) Listening {
	return listens(ctx, c.dial, addr, within)
}

// CloseIdle closes connections that are not in use.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// Send sends one request to the target and returns its answer, whose body the
// caller closes. A status in shed is the target's word that it ran nothing.
func (c *Client) Send(ctx context.Context, t *inventory.Target, shed []int, req *http.Request) (*http.Response, error) {
	resp, err := c.RoundTrip(ctx, t.Addr, req)
	if err != nil {
		return nil, err
	}
	if slices.Contains(shed, resp.StatusCode) {
		_, _ = io.CopyN(io.Discard, resp.Body, maxRefusalBody)
		resp.Body.Close()
		pause := RetryAfter(resp.Header)
		return nil, verdict.Wrap(&ShedError{pause}, verdict.NotRun, verdict.ReasonShed, max(retryShed, pause))
	}
	return resp, nil
}

// ShedError is the cause of a refusal by an upstream.
type ShedError struct {
	// Pause is for how long the upstream wants nothing; 0: it does not say.
	Pause time.Duration
}

// Error implements error.
func (e *ShedError) Error() string { return "shed, pause " + e.Pause.String() }

// RoundTrip sends one request to an address, once, and returns its answer.
func (c *Client) RoundTrip(ctx context.Context, addr string, req *http.Request) (*http.Response, error) {
	var sent sentWatch
	out := req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sent.gotConn}))
	to := *req.URL
	to.Scheme, to.Host = "http", addr
	out.URL = &to
	out.RequestURI = ""
	out.Body, out.GetBody = req.Body, nil
	if !harmless(req) {
		out.Body = once(req.Body)
	}
	resp, err := c.transport.RoundTrip(out)
	if err != nil {
		return nil, sent.verdict(ctx, err)
	}
	return resp, nil
}

// harmless reports whether the transport may repeat a request by itself.
func harmless(req *http.Request) bool {
	bodyless := req.Body == nil || req.Body == http.NoBody
	return bodyless && (req.Method == http.MethodGet || req.Method == http.MethodHead)
}

// once returns a body that the transport cannot take for one it may send
// again. net/http repeats a request on a fresh connection if a reused one
// breaks, also after the request was written, when the method is idempotent
// or an Idempotency-Key is there and the body is absent or can be made anew. A
// caller would see one booking and the depot two. A body that is present and
// cannot be made anew rules it out.
func once(body io.ReadCloser) io.ReadCloser {
	if body == nil {
		body = http.NoBody
	}
	return singleUse{body}
}

type singleUse struct{ io.ReadCloser }

// countingConn notes whether anything was written to a connection.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write implements net.Conn. It counts before it writes, since a write that
// fails may have sent a part.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// sentWatch tells whether a request may have left: whether its connection was
// written to since the request got it.
type sentWatch struct {
	mu    sync.Mutex
	conns []watched
}

type watched struct {
	conn   *countingConn
	before int64
}

func (s *sentWatch) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, watched{conn, conn.writes.Load()})
}

func (s *sentWatch) mayHaveLeft() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.conns {
		if w.conn.writes.Load() != w.before {
			return true
		}
	}
	return false
}

// verdict judges a request that brought no answer.
func (s *sentWatch) verdict(ctx context.Context, err error) *verdict.Error {
	reason := verdict.ContextReason(ctx.Err(), verdict.ReasonUnreachable)
	if !s.mayHaveLeft() {
		return verdict.Wrap(err, verdict.NotRun, reason, retryShed)
	}
	if reason == verdict.ReasonUnreachable {
		reason = verdict.ReasonBroken
	}
	return verdict.Wrap(err, verdict.MaybeRan, reason, retryShed)
}
