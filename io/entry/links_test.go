package entry_test

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// linkState is the state of the links between a VM and all upstreams.
type linkState int

const (
	linksUp linkState = iota
	// linksSilent drop everything, on open connections and on new ones.
	linksSilent
	// linksReset reset the open connections and refuse new ones.
	linksReset
	// linksRefused refuse new connections. Open ones go on.
	linksRefused
	// linksUnanswered accept new connections, as a proxy does, and drop everything on all.
	linksUnanswered
)

// userTimeout is how long written bytes may stay unacknowledged, as TCP_USER_TIMEOUT says.
const userTimeout = 1500 * time.Millisecond

// links opens a VM's connections to upstreams. The zero value is ready to use.
type links struct {
	mu    sync.Mutex
	cond  *sync.Cond
	state linkState
	conns map[*linkConn]bool
}

// set changes the state of all links.
func (l *links) set(state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	for c := range l.conns {
		switch state {
		case linksUp:
			c.flush()
		case linksReset:
			c.fail(syscall.ECONNRESET)
		case linksSilent, linksRefused, linksUnanswered:
		}
	}
	if l.cond != nil {
		l.cond.Broadcast()
	}
}

// drops reports whether data is dropped.
func (l *links) drops() bool { return l.state == linksSilent || l.state == linksUnanswered }

// dial opens a connection, as net.Dialer.DialContext does.
func (l *links) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	l.mu.Lock()
	state := l.state
	l.mu.Unlock()
	switch state {
	case linksSilent:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	case linksReset, linksRefused:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case linksUp, linksUnanswered:
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cond == nil {
		l.cond, l.conns = sync.NewCond(&l.mu), make(map[*linkConn]bool)
	}
	c := &linkConn{Conn: raw, links: l}
	l.conns[c] = true
	return c, nil
}

// linkConn is a connection to an upstream.
type linkConn struct {
	net.Conn
	links   *links
	pending []byte // Written while the links were silent.
	err     error
}

// Read implements net.Conn.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	for c.links.drops() && c.err == nil {
		c.links.cond.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	return n, err
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (int, error) {
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	switch {
	case c.err != nil:
		return 0, c.err
	case c.links.drops():
		if len(c.pending) == 0 {
			time.AfterFunc(userTimeout, c.expire)
		}
		c.pending = append(c.pending, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	c.fail(net.ErrClosed)
	delete(c.links.conns, c)
	return nil
}

// expire ends the connection if what was written has not left since.
func (c *linkConn) expire() {
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	if len(c.pending) > 0 {
		c.fail(syscall.ETIMEDOUT)
	}
}

// flush sends what was written while the links were silent.
func (c *linkConn) flush() {
	if len(c.pending) > 0 && c.err == nil {
		_, _ = c.Conn.Write(c.pending) // The reader sees an error too.
	}
	c.pending = nil
}

// fail ends the connection with an error.
func (c *linkConn) fail(err error) {
	if c.err == nil {
		c.err = err
		c.pending = nil
		c.Conn.Close()
		c.links.cond.Broadcast()
	}
}
