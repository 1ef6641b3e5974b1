package http1

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// aborted is a write deadline in the past. It makes a blocked write time out.
var aborted = time.Unix(1, 0)

// Conn is the client's side of a connection. Read fails at the first line of a head that is outside the
// grammar, with a *HeadError, and returns io.EOF only after the peer's FIN. An error other than a timeout
// is returned by all further reads. A Conn has one reader and one writer at a time.
type Conn struct {
	net.Conn
	written atomic.Int64

	writing sync.Mutex // Held while bytes are written.
	// writeErr is the socket's pending error, if a write returned it.
	writeErr error

	mu      sync.Mutex
	head    head
	readErr error
}

// NewConn returns a Conn over an open connection.
func NewConn(raw net.Conn) *Conn { return &Conn{Conn: raw} }

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Written returns how many bytes may have been sent.
func (c *Conn) Written() int64 { return c.written.Load() }

// Begin starts the check of the head of a response. ahead are bytes of it that have been read already.
func (c *Conn) Begin(ahead []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = head{}
	if _, err := c.head.scan(ahead); err != nil {
		c.readErr = err
	}
	return c.readErr
}

// Write implements net.Conn. It counts before it writes, since a failed write may have sent part
// of the data.
func (c *Conn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil && isPending(err) {
		c.writeErr = err
	}
	return n, err
}

// isPending reports whether the error of a write is the socket's pending error. Linux returns EPIPE for a
// reset that follows the peer's FIN, and for an error that has been reported to another call.
func isPending(err error) bool {
	return !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.EPIPE)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.failed(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.end()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if passed, herr := c.head.scan(p[:n]); herr != nil {
		n, err = passed, herr
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
	return n, err
}

// failed returns the error with which reading ended.
func (c *Conn) failed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readErr
}

// end returns io.EOF if the peer has closed its side, or else the pending error that a write returned. A
// write in progress may be about to return it, or may block as the peer reads no more, so it is interrupted.
func (c *Conn) end() error {
	if !c.writing.TryLock() {
		_ = c.Conn.SetWriteDeadline(aborted)
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return errors.Wrap(c.writeErr, "response cut short")
	}
	return io.EOF
}
