package entry

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Bounds of a caller's connection on which requests stand behind one another.
const (
	// maxUnread is how many bytes are read ahead of the server: some tens of
	// look-ups of 300 bytes. What is beyond stays with the caller.
	maxUnread = 16 << 10
	// readChunk is how many of them are read at once.
	readChunk = 4 << 10
	// lingerFor is how long a connection that ends goes on taking in what its
	// caller has already sent. Closed at once with bytes unread, it would be reset
	// and the caller lose the last answer.
	lingerFor = 500 * time.Millisecond
)

// headerEnd ends a request's header.
var headerEnd = []byte("\r\n\r\n")

// starter begins work on requests that stand behind another.
type starter interface {
	// start begins work on a request, or returns nil where it has to wait for its
	// turn.
	start(ctx context.Context, r *http.Request) *ahead
}

// callerListener wraps callers' connections.
type callerListener struct {
	net.Listener
	starter starter
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCallerConn(raw, l.starter), nil
}

// callerConn is one caller's connection, between the socket and the library's
// server. It guards against two failures.
//
// Closing an idle connection while a request arrives loses the request: the
// process has read it, the caller gets no answer and cannot tell whether it
// ran. So an idle connection is never closed from outside. Its blocked read is
// made to time out, on which the server closes it; a read that has just
// returned a request takes the timeout back and is served as usual.
//
// The library's server reads a request when the one before has been answered.
// Callers that send several behind one another would have each wait for all
// before it: late by the time they took, and passed on in the midst of a stop that
// began after they had been read. So the connection is read by a loop of its own
// once a caller does that, and work on each request begins as it is read. The
// server still reads the same bytes, in order, and finds the work under way when
// it comes to them; all framing of requests and answers is the library's.
type callerConn struct {
	net.Conn
	starter starter
	ctx     context.Context
	cancel  context.CancelFunc

	mu       sync.Mutex
	cond     sync.Cond // Signals each change of what follows.
	expiring bool
	deadline time.Time // Set by the server.

	// buf has bytes that were read from the socket. The first given of it have
	// gone to the server, and the first parsed have been looked at for requests.
	buf           []byte
	given, parsed int
	// tail is the last bytes given to the server, while they may begin headerEnd;
	// after counts those since the last headerEnd and first is the first of them.
	tail  []byte
	after int
	first byte

	looping bool // loop reads the socket.
	inStep  bool // parsed is where a request begins.
	serving bool // The server's handler is at work.
	over    bool // Nothing more is begun before its turn.
	closed  bool
	err     error // Of loop's last read.
	turn    int   // Counts deadlines, so that an old one's timeout is known.
	// line is the requests that were read and have not been served, in order; nil
	// for one that waits for its turn.
	line []*ahead
}

func newCallerConn(raw net.Conn, s starter) *callerConn {
	c := &callerConn{Conn: raw, starter: s}
	c.cond.L = &c.mu
	return c
}

// connKey is the key of a request's *callerConn in its context.
type connKey struct{}

// connContext implements the ConnContext hook of http.Server. The context ends
// with the connection.
func connContext(ctx context.Context, raw net.Conn) context.Context {
	c, ok := raw.(*callerConn)
	if !ok {
		return ctx
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return context.WithValue(c.ctx, connKey{}, c)
}

// callerOf returns the connection of a request that the server has read, or nil.
func callerOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(connKey{}).(*callerConn)
	return c
}

// Read implements net.Conn. It returns at most one request's header at a time, so
// that what is behind it is not hidden in the server's buffer.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.looping && c.given == len(c.buf) && c.err == nil {
		c.cond.Wait()
	}
	if c.given < len(c.buf) {
		c.arrived()
		return c.give(p), nil
	}
	if c.looping {
		return 0, c.err
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if n == 0 {
		return 0, err
	}
	c.arrived()
	if end := c.headerIn(p[:n]); end < n {
		c.buf = append(c.buf[:0], p[end:n]...)
		c.given = 0
		n = end
	}
	c.gave(p[:n])
	c.watch()
	return n, nil
}

// arrived takes back the timeout of an idle connection on which a request arrives.
func (c *callerConn) arrived() {
	if !c.expiring {
		return
	}
	c.expiring = false
	c.setDeadline(c.deadline)
}

// give hands buffered bytes to the server.
func (c *callerConn) give(p []byte) int {
	n := copy(p, c.buf[c.given:])
	n = c.headerIn(p[:n])
	c.given += n
	c.gave(p[:n])
	if c.given == len(c.buf) && !c.looping {
		c.buf, c.given = c.buf[:0], 0
	}
	c.cond.Broadcast()
	return n
}

// headerIn returns the length of p up to the end of the first header that ends in
// it, all of p where none does.
func (c *callerConn) headerIn(p []byte) int {
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

// gave notes what the server has been given.
func (c *callerConn) gave(p []byte) {
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

// begin is called by the handler of a request that the server has read. It returns
// the work that has been begun on it, or nil.
func (c *callerConn) begin(r *http.Request) *ahead {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = true
	if len(c.line) > 0 {
		a := c.line[0]
		c.line = c.line[1:]
		if a != nil && !a.is(r) {
			// The server and this connection disagree about where requests begin.
			c.over = true
			a.abandon()
			return nil
		}
		return a
	}
	c.inStep = !r.Close && bodyless(r) && c.after <= 1
	c.over = c.over || r.Close
	if c.inStep && c.looping {
		c.parsed = c.given - c.after
		c.parse()
	}
	c.watch()
	return nil
}

// end is called when the handler has written its answer.
func (c *callerConn) end() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
}

// mayClose reports whether the answer to be written may be the connection's last:
// no work has been begun on a request behind it. None is begun from then on.
func (c *callerConn) mayClose() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.line {
		if a != nil {
			return false
		}
	}
	c.over = true
	return true
}

// watch starts loop once bytes arrive behind a request that is being served.
func (c *callerConn) watch() {
	behind := c.after > 0 || len(c.buf) > c.given
	if !c.serving || !c.inStep || c.looping || !behind || c.closed {
		return
	}
	if c.after == 1 {
		// The server has the first byte already; look at it all the same.
		c.buf = append([]byte{c.first}, c.buf[c.given:]...)
		c.given = 1
	} else {
		c.buf, c.given = bytes.Clone(c.buf[c.given:]), 0
	}
	c.parsed, c.looping = 0, true
	c.parse()
	go c.loop()
}

// loop reads the connection until it ends.
func (c *callerConn) loop() {
	chunk := make([]byte, readChunk)
	for {
		turn, ok := c.await()
		if !ok {
			return
		}
		n, err := c.Conn.Read(chunk)
		if !c.take(chunk[:n], err, turn) {
			return
		}
	}
}

// await waits until there is room and no timeout to be told.
func (c *callerConn) await() (turn int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.closed && (len(c.buf)-c.given >= maxUnread || c.err != nil) {
		c.cond.Wait()
	}
	return c.turn, !c.closed
}

// take takes in what was read, and reports whether to go on.
func (c *callerConn) take(p []byte, err error, turn int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.cond.Broadcast()
	if c.closed {
		return false
	}
	if len(p) > 0 {
		c.buf = append(c.buf, p...)
		c.parse()
	}
	switch {
	case err == nil:
	case !errors.Is(err, os.ErrDeadlineExceeded):
		// The caller has left: all that it caused ends.
		c.err = err
		c.cancel()
		return false
	case turn == c.turn:
		c.err = err
	}
	return true
}

// parse begins work on the requests that are whole.
func (c *callerConn) parse() {
	for c.inStep && !c.over {
		i := bytes.Index(c.buf[c.parsed:], headerEnd)
		if i < 0 {
			break
		}
		r := parseHeader(c.buf[c.parsed : c.parsed+i+len(headerEnd)])
		if r == nil || !bodyless(r) {
			c.inStep = false // Until the server has read it.
			break
		}
		c.parsed += i + len(headerEnd)
		c.line = append(c.line, c.start(r))
		c.over = r.Close
	}
	// Bytes that nobody needs any more make room.
	done := c.given - 1
	if c.inStep && !c.over {
		done = min(done, c.parsed)
	}
	if done > 0 {
		c.buf = append(c.buf[:0], c.buf[done:]...)
		c.given, c.parsed = c.given-done, max(0, c.parsed-done)
	}
}

// start begins work on a request while few of the connection are under way.
func (c *callerConn) start(r *http.Request) *ahead {
	n := 0
	for _, a := range c.line {
		if a != nil {
			n++
		}
	}
	if n >= aheadPerConn {
		return nil
	}
	return c.starter.start(c.ctx, r)
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.expiring {
		return nil
	}
	return c.setDeadline(t)
}

func (c *callerConn) setDeadline(t time.Time) error {
	c.turn++
	if errors.Is(c.err, os.ErrDeadlineExceeded) {
		c.err = nil
	}
	c.cond.Broadcast()
	return c.Conn.SetReadDeadline(t)
}

// expire ends a blocked read.
func (c *callerConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiring = true
	_ = c.setDeadline(time.Unix(1, 0))
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
	for _, a := range c.line {
		a.abandon()
	}
	c.line = nil
	c.cond.Broadcast()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !c.looping || !ok || c.err != nil || half.CloseWrite() != nil {
		return c.Conn.Close()
	}
	l := &linger{conn: c.Conn}
	return l.start()
}

// linger takes in what a caller has sent behind its last answer.
type linger struct{ conn net.Conn }

func (l *linger) start() error {
	if err := l.conn.SetReadDeadline(time.Now().Add(lingerFor)); err != nil {
		return l.conn.Close()
	}
	go l.run()
	return nil
}

// run reads until the caller has closed too.
func (l *linger) run() {
	defer l.conn.Close()
	chunk := make([]byte, readChunk)
	for {
		if _, err := l.conn.Read(chunk); err != nil {
			return
		}
	}
}
