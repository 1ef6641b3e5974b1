package upstream

import (
	"cmp"
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
	"auburnlatch/io/lifecycle"
	"auburnlatch/io/tcp"
)

const (
	// readBuffer is the size of a connection's read buffer in bytes. It holds the
	// header and body of a small response.
	readBuffer = 4 << 10
	// tcpUserTimeout is how long sent bytes may stay unacknowledged. A host that
	// lost power or is partitioned sends no reset, so that without this timeout a
	// connection would hang until the request's deadline. An upstream that only reads slowly
	// has until then, see tcp.SlowPeer.
	tcpUserTimeout = 1500 * time.Millisecond
	// withheldRetryAfter is the retry-after time of a request that Admit withheld.
	withheldRetryAfter = 250 * time.Millisecond
	// minWatched is how long a body is, in bytes, that may not fit into what an upstream's host
	// takes before it is read.
	minWatched = 1 << 10
)

// Pool sends requests to upstreams and keeps idle connections for reuse. Unlike
// Client it never repeats a request on its own, keeps connections per upstream
// incarnation, and skips late responses to earlier requests. It is safe for
// concurrent use.
type Pool struct {
	dial     Dial
	opened   atomic.Int64
	failed   atomic.Int64
	reused   atomic.Int64
	checked  atomic.Int64 // Checks of processes.
	answered atomic.Int64 // When the last response arrived, in Unix nanoseconds; 0: never.
	// maxHeader is as set by SetMaxHeader, and tooLong counts the headers beyond it.
	maxHeader atomic.Int64
	tooLong   [headerForms]atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn
	// checking has the checks of processes in progress, by target.
	checking map[string]*processCheck
	// abortDials ends the opening of connections.
	abortDials lifecycle.Broadcast
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Connections counts a Pool's connections.
type Connections struct {
	// Opened were opened, Failed could not be opened, and Reused are the requests that were
	// sent on an open one.
	Opened, Failed, Reused int64
	// Checked counts the checks of the process of an upstream, see Process.
	Checked int64
	// Answered is when the last response of any upstream arrived; zero: never.
	Answered time.Time
}

// Connections returns the counts so far.
func (p *Pool) Connections() Connections {
	c := Connections{Opened: p.opened.Load(), Failed: p.failed.Load(), Reused: p.reused.Load(), Checked: p.checked.Load()}
	if at := p.answered.Load(); at != 0 {
		c.Answered = time.Unix(0, at)
	}
	return c
}

// NewPool returns an empty pool.
func NewPool(opts ...Option) *Pool {
	o := &options{dial: (&net.Dialer{Control: setUserTimeout, KeepAlive: -1}).DialContext}
	for _, opt := range opts {
		opt(o)
	}
	p := &Pool{dial: o.dial, idle: make(map[string][]*conn), checking: make(map[string]*processCheck)}
	p.SetMaxHeader(defaultMaxHeader)
	return p
}

// SetMaxHeader bounds what is read of a response up to the end of its header, with the interim
// and stray responses before it, in bytes; 0: defaultMaxHeader. The body of a stray response has
// a bound of its own.
func (p *Pool) SetMaxHeader(n int) { p.maxHeader.Store(int64(cmp.Or(n, defaultMaxHeader))) }

// HeadersTooLong returns how often a connection was closed as the header of a response was too
// long, by its form.
func (p *Pool) HeadersTooLong() map[string]int64 {
	m := make(map[string]int64)
	for f := range p.tooLong {
		if n := p.tooLong[f].Load(); n > 0 {
			m[HeaderForm(f).String()] = n
		}
	}
	return m
}

// AbortDials ends all attempts of Send to open a connection that are in progress.
func (p *Pool) AbortDials() { p.abortDials.Signal() }

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return tcp.SetUserTimeout(raw, tcpUserTimeout)
}

// Send sends a request once and returns the response, whose body the caller
// closes. The verdict of an error states whether the request may have run.
// dialWithin is the timeout for opening a connection.
func (p *Pool) Send(ctx context.Context, call *Call, dialWithin time.Duration) (*http.Response, error) {
	c, err := p.checkedConn(ctx, call, dialWithin)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		// The caller canceled the request or its deadline has passed, so nothing is written.
		p.pushIdle(call.Target, c)
		return nil, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.ReasonCanceled, 0)
	}
	if call.Admit != nil && !call.Admit(time.Now()) {
		p.pushIdle(call.Target, c)
		return nil, verdict.New(verdict.NotRun, verdict.ReasonWithheld, withheldRetryAfter)
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	e := &exchange{conn: c, call: call, wrote: make(chan struct{})}
	before := c.Written()
	if !call.buffered() || len(call.Body) >= minWatched {
		e.slow = tcp.WatchSlow(c.NetConn(), tcpUserTimeout)
	}
	e.start()
	resp, err := e.readResponse(int(p.maxHeader.Load()))
	if body := e.bodyErr(); err == nil && body != nil {
		err = body // The response is to a request that was not whole.
	}
	if err != nil {
		p.countHeader(err)
		stop()
		e.slow.Stop()
		err = e.slow.Err(err)
		c.Close()
		if ctx.Err() == nil {
			call.lost()
		}
		return nil, e.verdict(ctx, before, err)
	}
	p.answered.Store(time.Now().UnixNano())
	resp.Body = &responseBody{ReadCloser: resp.Body, pool: p, exchange: e, resp: resp, stop: stop}
	return resp, nil
}

// get returns an idle connection to the call's target, or opens a new one.
func (p *Pool) get(ctx context.Context, call *Call, dialWithin time.Duration) (*conn, error) {
	now := time.Now()
	for c := p.popIdle(call.Target); c != nil; c = p.popIdle(call.Target) {
		expired, quiet := c.expired(now), c.quiet()
		if !expired && quiet {
			c.reused = true
			p.reused.Add(1)
			return c, nil
		}
		c.Close()
		if !expired {
			call.lost()
		}
	}
	dctx, cancel := context.WithTimeout(ctx, dialWithin)
	defer cancel()
	defer context.AfterFunc(p.abortDials.Context(), cancel)()
	raw, err := p.dial(dctx, "tcp", call.Addr)
	if err != nil {
		reason := verdict.ReasonUnreachable
		if ctx.Err() != nil {
			reason = verdict.ReasonCanceled
		} else {
			call.lost()
		}
		p.failed.Add(1)
		return nil, verdict.Wrap(err, verdict.NotRun, reason, defaultRetryAfter)
	}
	p.opened.Add(1)
	call.Connect = time.Since(now)
	return newConn(raw), nil
}

// Listening states whether a process accepts connections at an address.
type Listening int

const (
	// Unknown means that the connection was not accepted in time or was closed at once. A
	// proxy in front of a stopped process closes it like that.
	Unknown Listening = iota
	// Listens means that a connection was opened and stayed open.
	Listens
	// Refuses means that the host refused the connection.
	Refuses
)

// listenCheckTime is how long a connection must stay open to show that a process listens.
const listenCheckTime = 50 * time.Millisecond

// Listens checks whether a process accepts connections at an address. It opens one and
// closes it shortly afterwards.
func (p *Pool) Listens(ctx context.Context, addr string, within time.Duration) Listening {
	found := checkListening(ctx, p.dial, addr, within)
	if found == Listens {
		p.opened.Add(1)
	}
	return found
}

func checkListening(ctx context.Context, dial Dial, addr string, within time.Duration) Listening {
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
	if !staysOpen(raw) {
		return Unknown
	}
	return Listens
}

// staysOpen reports whether a new connection stays open for listenCheckTime. A proxy whose
// upstream cannot be reached closes it at once.
func staysOpen(c net.Conn) bool {
	if err := c.SetReadDeadline(time.Now().Add(listenCheckTime)); err != nil {
		return false
	}
	_, err := c.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// popIdle removes and returns the most recently used idle connection to a target, or
// returns nil if there is none.
func (p *Pool) popIdle(target string) *conn {
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

func (p *Pool) pushIdle(target string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[target] = append(p.idle[target], c)
}

// Sweep closes connections that have been idle for longer than their keep-alive
// time, and all idle connections to targets that no longer exist.
func (p *Pool) Sweep(now time.Time, exists func(target string) bool) {
	p.sweep(func(target string, c *conn) bool { return !exists(target) || now.Sub(c.usedAt) > c.keepAlive })
}

// sweep closes the idle connections for which drop returns true.
func (p *Pool) sweep(drop func(target string, c *conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if drop(target, c) {
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

// CloseIdle closes the idle connections that have not been used since a time.
func (p *Pool) CloseIdle(since time.Time) {
	p.sweep(func(_ string, c *conn) bool { return c.usedAt.Before(since) })
}

// responseBody is the body of a response. Close keeps the connection for reuse if
// the body has been read to its end, and closes it otherwise.
type responseBody struct {
	io.ReadCloser
	pool     *Pool
	exchange *exchange
	resp     *http.Response
	stop     func() bool
	complete bool
	closed   bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.complete = true
	case err != nil && !errors.Is(err, net.ErrClosed): // Not by its cancellation.
		b.exchange.call.lost()
	}
	return n, err
}

// SetReadDeadline sets the time at which reads fail. It has to be reset before Close.
func (b *responseBody) SetReadDeadline(t time.Time) error {
	return b.exchange.conn.SetReadDeadline(t)
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	b.exchange.slow.Stop()
	c := b.exchange.conn
	// A cancellation that has already begun may close the connection at any moment.
	if !b.stop() || !b.complete || !b.exchange.reusable(b.resp) || c.r.Buffered() > 0 {
		return c.Close()
	}
	c.usedAt, c.keepAlive = time.Now(), keepAliveFor(b.resp.Header)
	b.pool.pushIdle(b.exchange.call.Target, c)
	return nil
}
