package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns are the callers' connections without a request. The limit on their idle time
// is part of the rules and changes with them, which the http.Server's own timeout cannot.
// The zero value is ready to use.
type idleConns struct {
	mu            sync.Mutex
	since         map[*callerConn]time.Time
	open          int
	closeWhenIdle bool // All connections are closed as soon as they are idle.
}

// connState implements the ConnState hook of http.Server.
func (c *idleConns) connState(conn net.Conn, state http.ConnState) {
	cc, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since == nil {
		c.since = make(map[*callerConn]time.Time)
	}
	switch state {
	case http.StateNew:
		c.open++
		c.since[cc] = time.Now()
	case http.StateIdle:
		c.since[cc] = time.Now()
		if c.closeWhenIdle {
			cc.expire()
		}
	case http.StateActive:
		delete(c.since, cc)
	default:
		delete(c.since, cc)
		c.open--
	}
}

// closeOlder closes connections that have been idle for longer than a duration.
func (c *idleConns) closeOlder(now time.Time, than time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.since {
		if now.Sub(since) > than {
			conn.expire()
		}
	}
}

// closeAll closes all idle connections, and the others when they become idle.
func (c *idleConns) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeWhenIdle = true
	for conn := range c.since {
		conn.expire()
	}
}

// count returns the number of open connections.
func (c *idleConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}
