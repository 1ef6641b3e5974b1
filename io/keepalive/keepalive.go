// Package keepalive ends idle connections of an HTTP/1 server without losing a request.
//
// If a connection is ended while the server is being handed a request, the request runs
// and its caller gets no response. The http.Server cannot prevent that: it closes a
// connection that it counts as idle, although a read on it has just returned a request.
// So a connection is ended here only while the server waits in a read for the first byte
// of a request. Both the read that hands over a request and the one who ends the
// connection decide under the lock of the connection, by its State. A connection that is
// not waiting ends when it waits next, and a request that was handed over is served.
//
// A connection is ended by a timeout of its blocked read; the server then closes it.
//
// # Usage
//
// The server's connections have a State under their own lock and implement Ender:
//
//	var conns keepalive.Conns
//	srv := &http.Server{Handler: h, ConnState: conns.ConnState}
//	conns.CloseOlder(now, limit) // From time to time.
//	conns.CloseAll(now)          // To stop, after the listener was closed.
//	for conns.Count() > 0 { ... }
package keepalive

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Ended is a read deadline in the past. It makes a blocked read time out.
var Ended = time.Unix(1, 0)

// State says whether a connection may be ended. The lock of its connection guards it. The
// zero value is that of a connection whose server has a request.
type State struct {
	since   time.Time // When the connection became idle; zero: the server has a request.
	waiting bool      // The server's read for the first byte of a request blocks.
	closing bool      // The connection is to be ended as soon as it waits.
	ended   bool      // The blocked read was made to time out.
}

// Idle records that the server has no request.
func (s *State) Idle(now time.Time) { s.since = now }

// Waits records that a read of the server blocks. It returns false if the connection is
// to be ended instead.
func (s *State) Waits() bool {
	s.waiting = !s.since.IsZero()
	s.ended = s.ended || s.waiting && s.closing
	return !s.waiting || !s.closing
}

// Returned records that a read of the server returned, with bytes or with an error. With
// bytes the server has a request, even if the connection was ended meanwhile: Returned then
// returns true, and the read deadline has to be restored.
func (s *State) Returned(bytes bool) (restore bool) {
	s.waiting = false
	if !bytes {
		return false
	}
	restore = s.ended
	s.since, s.ended = time.Time{}, false
	return restore
}

// EndOlder reports whether the connection has been waiting for a request for longer than
// a duration. If so, its blocked read has to be made to time out.
func (s *State) EndOlder(now time.Time, than time.Duration) bool {
	if !s.waiting || s.ended || now.Sub(s.since) <= than {
		return false
	}
	s.ended = true
	return true
}

// Close has the connection ended as soon as it waits for a request. It reports whether it
// does already and was not ended before. If so, its blocked read has to be made to time out.
func (s *State) Close() bool {
	s.closing = true
	if !s.waiting || s.ended {
		return false
	}
	s.ended = true
	return true
}

// Ender is a connection that can be ended while it is idle.
type Ender interface {
	// Idle records that the server has no request.
	Idle(now time.Time)
	// EndOlder ends the connection if it has been idle for longer than a duration.
	EndOlder(now time.Time, than time.Duration)
	// EndWhenIdle ends the connection if it is idle, or else when it is.
	EndWhenIdle(now time.Time)
}

// Conns are the open connections of a server. Connections that are no Enders are ignored.
// The zero value is ready to use. It is safe for concurrent use.
type Conns struct {
	mu      sync.Mutex
	open    map[Ender]struct{}
	closing bool
}

// ConnState implements the ConnState hook of http.Server.
func (c *Conns) ConnState(conn net.Conn, state http.ConnState) {
	e, ok := conn.(Ender)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		e.Idle(time.Now())
		if c.add(e) {
			e.EndWhenIdle(time.Now())
		}
	case http.StateIdle:
		e.Idle(time.Now())
	case http.StateClosed, http.StateHijacked:
		c.remove(e)
	}
}

// add adds an open connection. It reports whether all are to be closed.
func (c *Conns) add(e Ender) (closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[Ender]struct{})
	}
	c.open[e] = struct{}{}
	return c.closing
}

func (c *Conns) remove(e Ender) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, e)
}

// CloseOlder ends the connections that have been idle for longer than a duration.
func (c *Conns) CloseOlder(now time.Time, than time.Duration) {
	for _, e := range c.list(false) {
		e.EndOlder(now, than)
	}
}

// CloseAll ends all idle connections, and the others, also later ones, when they are idle.
func (c *Conns) CloseAll(now time.Time) {
	for _, e := range c.list(true) {
		e.EndWhenIdle(now)
	}
}

// list returns the open connections. closing says that all are to be closed from now on.
func (c *Conns) list(closing bool) []Ender {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || closing
	list := make([]Ender, 0, len(c.open))
	for e := range c.open {
		list = append(list, e)
	}
	return list
}

// Count returns the number of open connections.
func (c *Conns) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}
