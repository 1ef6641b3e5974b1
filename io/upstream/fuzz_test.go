package upstream_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"auburnlatch/io/upstream"
)

// scriptedConn is a connection to an upstream that sends begin, and then repeat again and again up to
// limit bytes.
type scriptedConn struct {
	net.Conn // nil: other methods are not called.
	begin    string
	repeat   string
	limit    int
	read     int
}

// Read implements net.Conn.
func (c *scriptedConn) Read(p []byte) (int, error) {
	if c.read >= c.limit {
		return 0, io.EOF
	}
	n := copy(p, c.begin)
	if c.begin = c.begin[n:]; n == 0 {
		for n < len(p) && len(c.repeat) > 0 {
			n += copy(p[n:], c.repeat)
		}
	}
	c.read += n
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// Write implements net.Conn.
func (c *scriptedConn) Write(p []byte) (int, error) { return len(p), nil }

// Close implements net.Conn.
func (c *scriptedConn) Close() error { return nil }

// Guards against responses of any form of which more is read than their bound, or that pass as
// another request's.
func FuzzSend(f *testing.F) {
	for _, form := range headerForms {
		f.Add(form.begin, form.repeat)
	}
	for _, body := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 99999999\r\n\r\n", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n0\r\nT: ",
	} {
		f.Add(body, "5;ext=1\r\nbytes\r\n")
		f.Add(body, "")
	}
	const (
		sent = 8 << 20
		// Four stray bodies of 1 MiB may be read, and what the buffer takes at a time.
		bound = maxHeader + 4<<20 + 8<<10
	)
	f.Fuzz(func(t *testing.T, begin, repeat string) {
		c := &scriptedConn{begin: begin, repeat: repeat, limit: sent}
		p := upstream.NewPool(upstream.WithDial(func(context.Context, string, string) (net.Conn, error) { return c, nil }))
		p.SetMaxHeader(maxHeader)
		resp, err := p.Send(t.Context(), call("upstream", "1"), time.Second)
		if c.read > bound {
			t.Errorf("%d bytes were read, %d allowed; %v", c.read, bound, err)
		}
		if err != nil {
			return
		}
		defer resp.Body.Close()
		if id := resp.Header.Get("Id"); id != "1" {
			t.Errorf("a response to %q was passed on", id)
		}
		if n := len(strings.Join(resp.Header["Field"], "")); n > maxHeader {
			t.Errorf("a field has %d bytes", n)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	})
}
