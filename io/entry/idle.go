package entry

import (
	"time"

	"auburnlatch/io/keepalive"
)

// minPeek is how many bytes of a request the http.Server waits for before it reads the
// header and sets the timeout of that.
const minPeek = 4

// begun reports whether the server, which waits for a request, holds the first bytes of one.
func (c *callerConn) begun() bool { return c.after > 0 && c.after < minPeek }

// boundHeader bounds the time in which the rest of a request's header arrives, as long as the
// server has too little of it to do so.
func (c *callerConn) boundHeader() {
	if c.begun() && !c.serving && c.deadline.IsZero() {
		_ = c.setDeadline(time.Now().Add(readHeaderTimeout))
	}
}

// returned records that the server's read returned, with bytes or with an error.
func (c *callerConn) returned(bytes bool) {
	if c.state.Returned(bytes) {
		_ = c.setDeadline(c.deadline)
	}
}

// Idle implements keepalive.Ender.
func (c *callerConn) Idle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyLeft = 0
	c.state.Idle(now)
}

// EndOlder implements keepalive.Ender.
func (c *callerConn) EndOlder(now time.Time, than time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.EndOlder(now, than) {
		c.end(now)
	}
}

// EndWhenIdle implements keepalive.Ender.
func (c *callerConn) EndWhenIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.EndWhenIdle() {
		c.end(now)
	}
}

// end makes the read time out in which the server waits for a request. If it holds the first
// bytes of one, the others have the time of a request's header to arrive.
func (c *callerConn) end(now time.Time) {
	c.last.Ended, c.last.Held = now, c.after
	at := keepalive.Ended
	if c.begun() {
		at = now.Add(readHeaderTimeout)
	}
	_ = c.setDeadline(at)
}

// connTrace says who ended a request, by what happened last on its connection.
type connTrace struct {
	// Handed is when bytes of a request were passed to the server while it served none, and
	// Ended when the connection was ended as idle; zero: it was not.
	Handed, Ended time.Time
	// Held is how many bytes of a request the server had at Ended.
	Held int
	// Err is the error of the read behind the request; nil: there was none.
	Err error
	// Pending says that a further request of the connection is being processed.
	Pending bool
}

// trace returns what is known of the connection.
func (c *callerConn) trace() connTrace {
	if c == nil {
		return connTrace{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	trace := c.last
	trace.Pending = len(c.pipeline) > 0
	return trace
}
