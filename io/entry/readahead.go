package entry

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
)

// Bounds on a caller's connection with pipelined requests.
const (
	// maxUnread is how many bytes are read ahead of the server: some tens of look-ups
	// of 300 bytes. Further bytes are not read from the socket.
	maxUnread = 16 << 10
	// readChunk is the size of a read in bytes.
	readChunk = 4 << 10
)

// starter starts to process pipelined requests before their turn.
type starter interface {
	// start starts to process a request, or returns nil if the request has to wait
	// for its turn.
	start(ctx context.Context, r *http.Request) *pipelined
}

// watch starts readLoop once bytes arrive behind a request that is being served.
func (c *callerConn) watch() {
	behind := c.after > 0 || len(c.buf) > c.consumed
	if !c.serving || !c.inSync || c.reading || !behind || c.closed {
		return
	}
	if c.after == 1 {
		// The server has already read the first byte, but it has to be parsed too.
		c.buf = append([]byte{c.first}, c.buf[c.consumed:]...)
		c.consumed = 1
	} else {
		c.buf, c.consumed = bytes.Clone(c.buf[c.consumed:]), 0
	}
	c.parsed, c.reading = 0, true
	c.parse()
	go c.readLoop()
}

// readLoop reads the connection until it ends.
func (c *callerConn) readLoop() {
	chunk := make([]byte, readChunk)
	for {
		seq, ok := c.awaitRoom()
		if !ok {
			return
		}
		n, err := c.Conn.Read(chunk)
		if !c.received(chunk[:n], err, seq) {
			return
		}
	}
}

// awaitRoom waits until the buffer has room and the last read's timeout was reset.
func (c *callerConn) awaitRoom() (seq int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.closed && (len(c.buf)-c.consumed >= maxUnread || c.err != nil) {
		c.cond.Wait()
	}
	return c.deadlineSeq, !c.closed
}

// received stores what was read, and reports whether to go on reading.
func (c *callerConn) received(p []byte, err error, seq int) bool {
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
		// The caller has closed the connection: cancel all its requests.
		c.err, c.readErr = err, err
		c.cancel()
		return false
	case seq == c.deadlineSeq:
		c.err = err
	}
	return true
}

// parse starts to process the complete requests in the buffer.
func (c *callerConn) parse() {
	for c.inSync && !c.sealed {
		i := bytes.Index(c.buf[c.parsed:], headerEnd)
		if i < 0 {
			break
		}
		r := parseHeader(c.buf[c.parsed : c.parsed+i+len(headerEnd)])
		if r == nil || !bodyless(r) {
			c.inSync = false // Until the server has read it.
			break
		}
		c.parsed += i + len(headerEnd)
		c.pipeline = append(c.pipeline, c.start(r))
		c.sealed = r.Close
	}
	// Discard bytes that are no longer needed.
	done := c.consumed - 1
	if c.inSync && !c.sealed {
		done = min(done, c.parsed)
	}
	if done > 0 {
		c.buf = append(c.buf[:0], c.buf[done:]...)
		c.consumed, c.parsed = c.consumed-done, max(0, c.parsed-done)
	}
}

// start starts to process a request, unless too many of the connection are in flight.
func (c *callerConn) start(r *http.Request) *pipelined {
	n := 0
	for _, p := range c.pipeline {
		if p != nil {
			n++
		}
	}
	if n >= maxPipelinedPerConn {
		return nil
	}
	return c.starter.start(c.ctx, r)
}
