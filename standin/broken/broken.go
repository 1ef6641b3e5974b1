// Package broken has the responses of a server in trouble, and connections that learn of a reset when
// they write.
//
// # Usage
//
//	for name, response := range broken.Heads("Id: 1\r\n", "bytes") { ... }
//
//	d := broken.NewDialer(int64(len(response)))
//	p := upstream.NewPool(upstream.WithDial(d.DialContext))
//	// The server:
//	io.WriteString(conn, response)
//	<-d.Read
//	tcp.Reset(conn)
package broken

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

// Heads returns responses whose heads are outside the grammar of RFC 9112, by what is wrong with them. Each
// has the given field lines and otherwise a whole body of five bytes.
func Heads(fields, body string) map[string]string {
	chunks := "5\r\n" + body + "\r\n0\r\n\r\n"
	body = "Content-Length: 5\r\n\r\n" + body
	whole := "HTTP/1.1 200 OK\r\n" + fields + body
	named := func(line string) string { return "HTTP/1.1 200 OK\r\n" + fields + line + "\r\n" + body }
	status := func(line string) string { return line + "\r\n" + fields + body }
	return map[string]string{
		"status 000":                         status("HTTP/1.1 000 OK"),
		"status 000 before a response":       "HTTP/1.1 000 OK\r\n\r\n" + whole,
		"status 099":                         status("HTTP/1.1 099 OK"),
		"status +20":                         status("HTTP/1.1 +20 OK"),
		"status of two digits":               status("HTTP/1.1 20 OK"),
		"status of four digits":              status("HTTP/1.1 2000 OK"),
		"no status":                          status("HTTP/1.1"),
		"status 101":                         status("HTTP/1.1 101 Switching Protocols"),
		"version 2.0":                        status("HTTP/2.0 200 OK"),
		"transfer encoding in HTTP/1.0":      "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
		"blank in a name":                    named("X A: v"),
		"blank behind a name":                named("X-A : v"),
		"blank in a name of an interim":      "HTTP/1.1 103 Early Hints\r\nX A: v\r\n\r\n" + whole,
		"blank behind the length":            "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 5\r\n\r\n" + chunks,
		"blank behind the transfer encoding": "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\n\r\n" + chunks,
		"blank before the first field":       "HTTP/1.1 200 OK\r\n X: v\r\n" + fields + body,
		"tab in a name":                      named("X\tA: v"),
		"NUL in a name":                      named("X\x00A: v"),
		"escape in a name":                   named("X\x1bA: v"),
		"carriage return in a name":          named("X\rA: v"),
		"DEL in a name":                      named("X\x7fA: v"),
		"byte beyond ASCII in a name":        named("X\xe9A: v"),
		"empty name":                         named(": v"),
		"no colon":                           named("X-A"),
		"NUL in a value":                     named("X-A: \x00"),
		"carriage return in a value":         named("X-A: a\rb"),
		"noise":                              "\x00\x01\x02\r\n\r\n",
	}
}

// Stops returns heads that stop before their end, by where they do.
func Stops(fields string) map[string]string {
	const status = "HTTP/1.1 200 OK\r\n"
	return map[string]string{
		"in the status line":       "HTTP/1.1 20",
		"behind the status":        "HTTP/1.1 200",
		"behind the status line":   status,
		"in a name":                status + fields + "Content-Len",
		"in a value":               status + fields + "Content-Length: 5",
		"behind a field":           status + fields + "Content-Length: 0\r\n",
		"before the last new line": status + fields + "Content-Length: 0\r\n\r",
	}
}

// Handler responds to each request with bytes and closes the connection.
func Handler(response string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, response)
	})
}

// Dialer opens connections on which a write is the first to learn of a reset that comes once a number of
// bytes have been read.
type Dialer struct {
	// Read is closed when the bytes have been read on a connection.
	Read  chan struct{}
	bytes int64
	once  sync.Once
}

// NewDialer returns a Dialer for a number of bytes.
func NewDialer(bytes int64) *Dialer { return &Dialer{Read: make(chan struct{}), bytes: bytes} }

// DialContext opens a connection, as net.Dialer.DialContext does.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &conn{TCPConn: raw.(*net.TCPConn), dialer: d, left: d.bytes, told: make(chan struct{}), ended: make(chan struct{})}, nil
}

// conn is a connection of a Dialer.
type conn struct {
	*net.TCPConn
	dialer *Dialer
	left   int64         // Bytes until reads wait for a write.
	told   chan struct{} // Closed when a write has failed.
	ended  chan struct{} // Closed when a read after that has returned, or the connection was closed.
	failed sync.Once
	over   sync.Once
}

// Write implements net.Conn. One that fails returns after the next read.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.failed.Do(func() { close(c.told) })
		<-c.ended
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom by Write.
func (c *conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.left > 0 {
		n, err := c.TCPConn.Read(p)
		c.left -= int64(n)
		return n, err
	}
	c.dialer.once.Do(func() { close(c.dialer.Read) })
	<-c.told
	defer c.end()
	return c.TCPConn.Read(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.end()
	c.failed.Do(func() { close(c.told) })
	return c.TCPConn.Close()
}

func (c *conn) end() { c.over.Do(func() { close(c.ended) }) }
