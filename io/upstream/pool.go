package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/verdict"
)

const (
	// readBuffer of a connection, in bytes: an answer's header and a small body.
	readBuffer = 4 << 10
	// tcpUserTimeout is how long sent bytes may stay unacknowledged. A host
	// without power or behind a cut sends no reset; without it a connection would
	// hang until the request's deadline.
	tcpUserTimeout = 1500 * time.Millisecond
	// retryWithheld is when to come back after a request was kept from its upstream.
	retryWithheld = 250 * time.Millisecond
	// optTCPUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
	optTCPUserTimeout = 18
)

// Pool sends requests to upstreams on kept connections. Unlike Client it never
// repeats anything by itself, keeps connections by incarnation, and tells late
// answers to earlier requests from the one it waits for. It is safe for
// concurrent use.
type Pool struct {
	dial   Dial
	opened atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns a pool without connections.
func NewPool(opts ...Option) *Pool {
	o := &options{dial: (&net.Dialer{Control: setUserTimeout, KeepAlive: -1}).DialContext}
	for _, opt := range opts {
		opt(o)
	}
	return &Pool{dial: o.dial, idle: make(map[string][]*conn)}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if cerr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, int(tcpUserTimeout/time.Millisecond))
	}); cerr != nil {
		return cerr
	}
	return err
}

// Opened returns how many connections were opened so far.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Send sends a request once and returns its answer, whose body the caller
// closes. The error says whether the request may have run. dialWithin bounds
// the opening of a connection.
func (p *Pool) Send(ctx context.Context, call *Call, dialWithin time.Duration) (*http.Response, error) {
	c, err := p.get(ctx, call, dialWithin)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		// The caller has left, or its time is over: nothing is written for it.
		p.put(call.Target, c)
		return nil, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.ReasonCanceled, 0)
	}
	if call.Admit != nil && !call.Admit(time.Now()) {
		p.put(call.Target, c)
		return nil, verdict.New(verdict.NotRun, verdict.ReasonWithheld, retryWithheld)
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	e := &exchange{conn: c, call: call, wrote: make(chan struct{})}
	before := c.written.Load()
	e.start()
	resp, err := e.answer()
	if err != nil {
		stop()
		c.Close()
		return nil, e.verdict(ctx, before, err)
	}
	resp.Body = &answerBody{ReadCloser: resp.Body, pool: p, exchange: e, resp: resp, stop: stop}
	return resp, nil
}

// get returns a kept connection, or a new one.
func (p *Pool) get(ctx context.Context, call *Call, dialWithin time.Duration) (*conn, error) {
	now := time.Now()
	for c := p.take(call.Target); c != nil; c = p.take(call.Target) {
		if c.fresh(now) {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	dctx, cancel := context.WithTimeout(ctx, dialWithin)
	defer cancel()
	raw, err := p.dial(dctx, "tcp", call.Addr)
	if err != nil {
		reason := verdict.ReasonUnreachable
		if ctx.Err() != nil {
			reason = verdict.ReasonCanceled
		}
		return nil, verdict.Wrap(err, verdict.NotRun, reason, retryShed)
	}
	p.opened.Add(1)
	call.Connect = time.Since(now)
	return &conn{Conn: raw, r: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// Listening is whether somebody takes connections at an address.
type Listening int

const (
	// Unknown: nobody answered in time, or ended the connection at once, as something
	// does that stands before whoever should take it.
	Unknown Listening = iota
	// Listens: a connection was opened, and stayed so.
	Listens
	// Refuses: the host says that nobody does.
	Refuses
)

// staysOpen is how long a connection has to stay open to show that somebody listens.
const staysOpen = 50 * time.Millisecond

// Listens finds out whether somebody takes connections at an address, by one that is
// closed again soon.
func (p *Pool) Listens(ctx context.Context, addr string, within time.Duration) Listening {
	found := listens(ctx, p.dial, addr, within)
	if found == Listens {
		p.opened.Add(1)
	}
	return found
}

func listens(ctx context.Context, dial Dial, addr string, within time.Duration) Listening {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	raw, err := dial(ctx, "tcp", addr)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Refuses
	}
	if err != nil {
		return Unknown
	}
	defer raw.Close()
	if err := raw.SetReadDeadline(time.Now().Add(staysOpen)); err != nil {
		return Unknown
	}
	if _, err := raw.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		return Unknown
	}
	return Listens
}

// take removes the connection used last from those kept for a target.
func (p *Pool) take(target string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[target] = list[:len(list)-1]
	return c
}

func (p *Pool) put(target string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[target] = append(p.idle[target], c)
}

// Sweep closes connections that have been idle too long, and all that are kept
// for targets that are not there any more.
func (p *Pool) Sweep(now time.Time, there func(target string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if !there(target) || now.Sub(c.usedAt) > c.keep {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		p.idle[target] = kept
		if len(kept) == 0 {
			delete(p.idle, target)
		}
	}
}

// answerBody is the body of an answer. When it has been read whole the
// connection is kept; when it is closed before, so is the connection.
type answerBody struct {
	io.ReadCloser
	pool     *Pool
	exchange *exchange
	resp     *http.Response
	stop     func() bool
	whole    bool
	closed   bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	c := b.exchange.conn
	// A cancellation that has begun closes the connection at any moment.
	if !b.stop() || !b.whole || !b.exchange.reusable(b.resp) || c.r.Buffered() > 0 {
		return c.Close()
	}
	c.usedAt, c.keep = time.Now(), keepFor(b.resp.Header)
	b.pool.put(b.exchange.call.Target, c)
	return nil
}
