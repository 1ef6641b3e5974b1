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
// A connection is ended by a timeout of its blocked read; the server then closes it. A Server's
// connections are closed by a tcp.Closer, so that a client which still sends is not reset while
// it receives the last response.
//
// # Usage
//
// A server that only needs to stop without losing a request:
//
//	srv := &keepalive.Server{HTTP: &http.Server{Handler: h}}
//	go srv.Serve(l)
//	err := srv.Shutdown(ctx)
//
// A server with connections of its own, which have a State under their own lock and
// implement Ender:
//
//	var conns keepalive.Conns
//	srv := &http.Server{Handler: h, ConnState: conns.ConnState}
//	conns.CloseOlder(now, limit) // From time to time.
//	conns.CloseAll(now)          // To stop, after the listener was closed.
//	for conns.Count() > 0 { ... }
package keepalive

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/io/lifecycle"
	"auburnlatch/io/tcp"
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

// IsIdle reports whether the server has no request.
func (s *State) IsIdle() bool { return !s.since.IsZero() }

// Waits records that a read of the server blocks. It returns false if the connection is
// to be ended instead.
func (s *State) Waits() bool {
	s.waiting = s.IsIdle()
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

// EndWhenIdle has the connection ended as soon as it waits for a request. It reports whether it
// does already and was not ended before. If so, its blocked read has to be made to time out.
func (s *State) EndWhenIdle() bool {
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
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
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
	for _, e := range c.list() {
		e.EndOlder(now, than)
	}
}

// CloseAll ends all idle connections, and the others, also later ones, when they are idle.
func (c *Conns) CloseAll(now time.Time) {
	c.close()
	for _, e := range c.list() {
		e.EndWhenIdle(now)
	}
}

// close has connections that are added from now on ended when they are idle.
func (c *Conns) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// list returns the open connections.
func (c *Conns) list() []Ender {
	c.mu.Lock()
	defer c.mu.Unlock()
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

const (
	// shutdownTick is how often Shutdown counts the open connections.
	shutdownTick = 20 * time.Millisecond
	// closeTimeout is how long a client may take to receive the last response on a connection.
	closeTimeout = 10 * time.Second
	// idleCloseTimeout is how long a client may take to close a connection that was ended
	// while it was idle.
	idleCloseTimeout = time.Second
)

// Server is an HTTP server whose Shutdown loses no request that a handler was given. That of
// http.Server closes a connection which has just become active. HTTP is set before Serve and
// not used otherwise; its hooks ConnState and ConnContext are replaced.
type Server struct {
	HTTP *http.Server

	conns    Conns
	closer   tcp.Closer
	mu       sync.Mutex
	listener net.Listener
	stopping bool
}

// Serve accepts connections until Shutdown or Close, and returns http.ErrServerClosed then.
func (s *Server) Serve(l net.Listener) error { return s.serve(l, s.HTTP.Serve) }

// ServeTLS is Serve with the TLSConfig of HTTP.
func (s *Server) ServeTLS(l net.Listener) error {
	return s.serve(l, func(l net.Listener) error { return s.HTTP.ServeTLS(l, "", "") })
}

func (s *Server) serve(l net.Listener, accept func(net.Listener) error) error {
	if !s.begin(l) {
		return http.ErrServerClosed
	}
	s.HTTP.ConnState, s.HTTP.ConnContext = s.conns.ConnState, connContext
	err := accept(&listener{l, &s.closer})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return http.ErrServerClosed
	}
	return err
}

// begin records the listener, unless the server was stopped before.
func (s *Server) begin(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		l.Close()
		return false
	}
	s.listener = l
	return true
}

// connKey is the context key of a request's *conn.
type connKey struct{}

// connContext implements the ConnContext hook of http.Server.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	return context.WithValue(ctx, connKey{}, c)
}

// ResetOnClose has the connection of a request to a Server reset when it is closed, which shows a client
// of HTTP/1.0 that its response is not whole. ctx is the request's; that of another server has no effect.
func ResetOnClose(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.resetOnClose()
	}
}

// Shutdown accepts no further connections and waits until those that are open have served
// their requests, and their clients have the responses, or until ctx ends. It closes what is left
// then.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop()
	s.conns.CloseAll(time.Now())
	for s.conns.Count()+s.closer.Count() > 0 && lifecycle.Sleep(ctx, shutdownTick) {
	}
	s.closer.Stop()
	return errors.CombineErrors(ctx.Err(), s.HTTP.Close())
}

// Close closes the server at once, with all its connections.
func (s *Server) Close() error {
	s.stop()
	s.closer.Stop()
	return s.HTTP.Close()
}

func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	if s.listener != nil {
		s.listener.Close()
	}
}

// listener accepts connections that implement Ender.
type listener struct {
	net.Listener
	closer *tcp.Closer
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, closer: l.closer}, nil
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	closer   *tcp.Closer
	mu       sync.Mutex
	state    State
	deadline time.Time // Of reads, set by the server.
	readErr  error     // Of the last read.
	reset    bool      // It is to be reset when it is closed.
	closed   bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.Waits() {
		return 0, os.ErrDeadlineExceeded
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.readErr = err
	if c.state.Returned(n > 0) && !c.closed {
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	if c.reset {
		return tcp.Reset(c.Conn)
	}
	now := time.Now()
	within := closeTimeout
	if q, ok := tcp.QueuesOf(c.Conn); ok && q == (tcp.Queues{}) && c.state.IsIdle() {
		within = idleCloseTimeout // The client's host has the last response.
	}
	return c.closer.Close(c.Conn, c.readErr, now, now.Add(within))
}

func (c *conn) resetOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset = true
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.closed {
		return net.ErrClosed
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// Idle implements Ender.
func (c *conn) Idle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Idle(now)
}

// EndOlder implements Ender.
func (c *conn) EndOlder(now time.Time, than time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.EndOlder(now, than) && !c.closed {
		_ = c.Conn.SetReadDeadline(Ended)
	}
}

// EndWhenIdle implements Ender.
func (c *conn) EndWhenIdle(time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.EndWhenIdle() && !c.closed {
		_ = c.Conn.SetReadDeadline(Ended)
	}
}
