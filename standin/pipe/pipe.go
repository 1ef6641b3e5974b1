// Package pipe has in-memory connections for tests that decide what happens between the read of
// a socket and the reader.
//
// # Usage
//
//	l := pipe.NewListener()
//	go srv.Serve(l)
//	client := l.Dial(func() { ... }) // Called when a read has returned bytes to the server's side.
package pipe

import (
	"net"
	"sync"
)

// Listener accepts the connections that are dialed to it.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// NewListener returns a listener.
func NewListener() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial returns the client's end of a new connection once its other end was accepted. read is
// called whenever a read at the other end has returned bytes, before its reader has them; nil:
// nothing is called.
func (l *Listener) Dial(read func()) net.Conn {
	client, server := net.Pipe()
	if read == nil {
		read = func() {}
	}
	l.conns <- &hookedConn{server, read}
	return client
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }

// hookedConn calls read whenever a read has returned bytes.
type hookedConn struct {
	net.Conn
	read func()
}

// Read implements net.Conn.
func (c *hookedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.read()
	}
	return n, err
}
