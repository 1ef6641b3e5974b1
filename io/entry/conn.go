package entry

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"auburnlatch/io/keepalive"
	"auburnlatch/io/tcp"
)

// minClosing is the least time that a connection has to be closed, as its caller may not know
// yet that it is: several round trips between the regions that are furthest apart, and the
// retransmission of a packet.
const minClosing = time.Second

// headerEnd terminates a request's header.
var headerEnd = []byte("\r\n\r\n")

// callerListener wraps the accepted connections of callers.
type callerListener struct {
	net.Listener
	starter starter
	closer  *tcp.Closer
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCallerConn(raw, l.starter, l.closer), nil
}

// callerConn is a caller's connection, between the socket and the http.Server.
// It guards against three failures.
//
// If an idle connection is closed while a request arrives on it, the request is
// lost: the process has read it, and the caller gets no response and cannot tell
// whether it ran. So a connection is ended only while the server waits for a request,
// as package keepalive describes.
//
// The http.Server reads a request only when the one before has been answered. Each
// pipelined request would wait for all requests before it: it would be late by their
// duration, and could be forwarded while the VM stops although it was read before the
// stop. So once a caller pipelines requests, a goroutine reads the connection and
// each request is processed as it is read. The server still reads the same bytes in
// the same order, and finds the request in flight when it reaches it. The framing of
// requests and responses is left to net/http.
//
// If a connection is closed while bytes of its caller lie unread or are still arriving, it is
// reset, and the caller loses what it has not received of the last response. So Close
// leaves it to a tcp.Closer.
type callerConn struct {
	net.Conn
	starter starter
	closer  *tcp.Closer
	ctx     context.Context
	cancel  context.CancelFunc

	mu       sync.Mutex
	cond     sync.Cond // Signals each change of the fields below.
	state    keepalive.State
	deadline time.Time // Set by the server.

	// buf has the bytes that were read from the socket. The first consumed of them have
	// been passed to the server, and the first parsed have been searched for requests.
	buf              []byte
	consumed, parsed int
	// tail is the last bytes passed to the server, as they may begin headerEnd.
	// after counts the bytes since the end of the last request, and first is the first of
	// them. bodyLeft counts the bytes that are missing of a body of known length.
	tail     []byte
	after    int
	first    byte
	bodyLeft int64

	reading     bool // readLoop reads the socket.
	inSync      bool // parsed is the offset of the beginning of a request.
	serving     bool // The server's handler runs.
	sealed      bool // No further request is started before its turn.
	closed      bool
	err         error // Of readLoop's last read.
	deadlineSeq int   // Counts changes of the deadline, to ignore the timeout of an old one.
	last        connTrace
	// readErr is the error with which reading the socket ended; nil or a timeout: it did not.
	readErr error
	// cut says that the last response is not whole, and that only a reset shows that.
	cut bool
	// answerBy is the latest time until which a caller of a request that was served waits for
	// its response.
	answerBy time.Time
	// pipeline is the requests that were read and not yet served, in order; nil for a
	// request that waits for its turn.
	pipeline []*pipelined
}

func newCallerConn(raw net.Conn, s starter, closer *tcp.Closer) *callerConn {
	c := &callerConn{Conn: raw, starter: s, closer: closer}
	c.cond.L = &c.mu
	return c
}

// connKey is the context key of a request's *callerConn.
type connKey struct{}

// connContext implements the ConnContext hook of http.Server. The context is canceled
// when the connection is closed.
func connContext(ctx context.Context, raw net.Conn) context.Context {
	c, ok := raw.(*callerConn)
	if !ok {
		return ctx
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return context.WithValue(c.ctx, connKey{}, c)
}

// connOf returns the connection of a request that the server has read, or nil.
func connOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(connKey{}).(*callerConn)
	return c
}

// Read implements net.Conn. It returns at most one request's header at a time, so
// that no pipelined request is hidden in the server's buffer.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.consumed == len(c.buf) && !c.state.Waits() {
		if !c.begun() {
			return 0, os.ErrDeadlineExceeded
		}
		c.end(time.Now())
	}
	for c.reading && c.consumed == len(c.buf) && c.err == nil && !c.closed {
		c.cond.Wait()
	}
	if c.consumed < len(c.buf) {
		c.returned(true)
		return c.consume(p), nil
	}
	if c.reading {
		c.returned(false)
		c.last.Err = cmp.Or(c.err, net.ErrClosed)
		return 0, c.last.Err
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.returned(n > 0)
	if n == 0 {
		c.last.Err, c.readErr = err, err
		return 0, err
	}
	if end := c.headerLen(p[:n]); end < n {
		c.buf = append(c.buf[:0], p[end:n]...)
		c.consumed = 0
		n = end
	}
	c.recordConsumed(p[:n])
	c.boundHeader()
	c.watch()
	return n, nil
}

// consume copies buffered bytes to the server's read buffer.
func (c *callerConn) consume(p []byte) int {
	n := copy(p, c.buf[c.consumed:])
	n = c.headerLen(p[:n])
	c.consumed += n
	c.recordConsumed(p[:n])
	c.boundHeader()
	if c.consumed == len(c.buf) && !c.reading {
		c.buf, c.consumed = c.buf[:0], 0
	}
	c.cond.Broadcast()
	return n
}

// headerLen returns the length of p up to the end of the first header that ends in
// it, or len(p) if none does. In a body of known length it ends with the body.
func (c *callerConn) headerLen(p []byte) int {
	if c.bodyLeft > 0 {
		return int(min(c.bodyLeft, int64(len(p))))
	}
	if len(c.tail) > 0 {
		both := append(append(make([]byte, 0, 2*len(headerEnd)), c.tail...), p[:min(len(p), len(headerEnd))]...)
		if i := bytes.Index(both, headerEnd); i >= 0 {
			return i + len(headerEnd) - len(c.tail)
		}
	}
	if i := bytes.Index(p, headerEnd); i >= 0 {
		return i + len(headerEnd)
	}
	return len(p)
}

// recordConsumed records that p was passed to the server.
func (c *callerConn) recordConsumed(p []byte) {
	if !c.serving {
		c.last.Handed, c.last.Err = time.Now(), nil
	}
	if c.bodyLeft > 0 {
		c.bodyLeft -= int64(len(p))
		return
	}
	c.tail = append(c.tail, p[max(0, len(p)-len(headerEnd)):]...)
	c.tail = c.tail[max(0, len(c.tail)-len(headerEnd)):]
	if bytes.Equal(c.tail, headerEnd) {
		c.tail, c.after = c.tail[:0], 0
		return
	}
	if c.after == 0 && len(p) > 0 {
		c.first = p[0]
	}
	c.after += len(p)
}

// beginServing is called by the handler of a request that the server has read. It
// returns the request's pipelined processing, or nil if there is none.
func (c *callerConn) beginServing(r *http.Request) *pipelined {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = true
	if len(c.pipeline) > 0 {
		p := c.pipeline[0]
		c.pipeline = c.pipeline[1:]
		if p != nil && !p.matches(r) {
			// The server and this connection disagree about where requests begin.
			c.sealed = true
			p.abandon()
			return nil
		}
		return p
	}
	if c.after == 0 {
		c.bodyLeft = max(0, r.ContentLength)
	}
	c.inSync = !r.Close && bodyless(r) && c.after <= 1
	c.sealed = c.sealed || r.Close
	if c.inSync && c.reading {
		c.parsed = c.consumed - c.after
		c.parse()
	}
	c.watch()
	return nil
}

// endServing is called when the handler has written its response.
func (c *callerConn) endServing() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
}

// holdBack has requests that are read from now on wait for their turn, until the next one is
// served. It reports whether later requests are in flight.
func (c *callerConn) holdBack() (behind bool) {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inSync = false
	return c.anyStarted()
}

// anyStarted reports whether a request is processed before its turn.
func (c *callerConn) anyStarted() bool {
	return slices.ContainsFunc(c.pipeline, func(p *pipelined) bool { return p != nil })
}

// mayClose reports whether the response to be written may be the connection's last,
// as no later request is in flight. If so, none is started from then on.
func (c *callerConn) mayClose() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.anyStarted() {
		return false
	}
	c.sealed = true
	return true
}

// respondBy is called before the response to a request that began at a time, and whose caller waits
// until then. It bounds the writing of the response, for a caller that does not read it, and the
// closing of the connection behind it.
func (c *callerConn) respondBy(began, until time.Time) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answerBy = later(c.answerBy, until)
	// The server takes it back after the response.
	_ = c.Conn.SetWriteDeadline(later(c.answerBy, began.Add(defaultDeadline)))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// responding is called before the response to r is written, and the function that it returns
// once the response is whole. For HTTP/1.0 the end of the connection may be the end of a response, so
// that one which is not whole has to be cut by a reset.
func (c *callerConn) responding(r *http.Request) (whole func()) {
	if c == nil || r.ProtoAtLeast(1, 1) {
		return func() {}
	}
	c.setCut(true)
	return func() { c.setCut(false) }
}

func (c *callerConn) setCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// closeBy returns until when the caller may be receiving its last response.
func (c *callerConn) closeBy(now time.Time) time.Time {
	by := c.answerBy
	if q, ok := tcp.QueuesOf(c.Conn); ok && q == (tcp.Queues{}) && c.state.IsIdle() {
		by = time.Time{} // The caller's host has the last response.
	}
	if c.after > 0 && by.Before(now) {
		// The response may be to a header that was not understood.
		by = c.last.Handed.Add(readHeaderTimeout)
	}
	by = later(by, now.Add(minClosing))
	if most := now.Add(defaultDeadline); by.After(most) {
		return most
	}
	return by
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.setDeadline(t)
}

func (c *callerConn) setDeadline(t time.Time) error {
	if c.closed {
		return net.ErrClosed
	}
	c.deadlineSeq++
	if errors.Is(c.err, os.ErrDeadlineExceeded) {
		c.err = nil
	}
	c.cond.Broadcast()
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn. Work for requests that are not answered ends.
func (c *callerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	if c.cancel != nil {
		c.cancel()
	}
	for _, p := range c.pipeline {
		p.abandon()
	}
	c.pipeline = nil
	c.cond.Broadcast()
	if c.cut {
		return tcp.Reset(c.Conn)
	}
	now := time.Now()
	return c.closer.Close(c.Conn, c.readErr, now, c.closeBy(now))
}
