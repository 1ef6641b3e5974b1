package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"auburnlatch/core/reach"
	"auburnlatch/core/verdict"
	"auburnlatch/io/upstream"
	"auburnlatch/standin/endless"
)

// maxHeader is the bound on headers in these tests, and endlessBytes what a stand-in sends before it
// holds the connection.
const (
	maxHeader    = 16 << 10
	endlessBytes = 8 << 20
)

// countingPool returns a Pool and the number of bytes that it has read.
func countingPool() (*upstream.Pool, *atomic.Int64) {
	read := &atomic.Int64{}
	return upstream.NewPool(upstream.WithDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return &readCounter{raw, read}, err
	})), read
}

// headerForms are the beginning and the repeated part of headers without an end.
var headerForms = []struct{ form, begin, repeat string }{
	{"Line", "HTTP/1.1 200 OK", " and so on"},
	{"Line", "", "\x00\x01\x02 no response "},
	{"Fields", "HTTP/1.1 200 OK\r\n", "Field: value\r\n"},
	{"Fields", "HTTP/1.1 200 OK\r\nField: ", "value "},
	{"Interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"Interim", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n", "Field: value\r\n"},
	{"Stray", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nok", "HTTP"},
}

// readCounter counts the bytes that were read from a connection.
type readCounter struct {
	net.Conn
	n *atomic.Int64
}

func (c *readCounter) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// Guards against headers without an end that are read on beyond the bound.
func TestHeaderWithoutEnd(t *testing.T) {
	for _, tc := range headerForms {
		t.Run(tc.form+" "+tc.begin+tc.repeat, func(t *testing.T) {
			closed := make(chan struct{})
			addr := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				defer close(closed)
				if _, ok := readRequest(r); ok {
					endless.Send(c, tc.begin, tc.repeat, endlessBytes)
				}
			})
			p, read := countingPool()
			p.SetMaxHeader(maxHeader)
			_, err := send(t, p, call(addr, "1"))
			var tooLong *upstream.HeaderTooLongError
			if !errors.As(err, &tooLong) || tooLong.Form.String() != tc.form || verdict.Of(err) != verdict.MaybeRan {
				t.Errorf("got %.200v, want a header that is too long, %s, and MaybeRan", err, tc.form)
			}
			<-closed
			if n := read.Load(); n > maxHeader+int64(len(tc.begin)) {
				t.Errorf("%d bytes were read, want %d", n, maxHeader)
			}
			if n := p.HeadersTooLong()[tc.form]; n != 1 {
				t.Errorf("counted %v", p.HeadersTooLong())
			}
		})
	}
}

// Guards against checks of upstreams that read a header without an end.
func TestHeaderWithoutEndOfCheck(t *testing.T) {
	for _, tc := range headerForms {
		if tc.form == "Interim" || tc.form == "Stray" {
			continue // A check takes any response for one.
		}
		addr := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, ok := readRequest(r); ok {
				endless.Send(c, tc.begin, tc.repeat, endlessBytes)
			}
		})
		p := upstream.NewPool()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		if got := p.Contact(ctx, "t", addr, upstream.Check{Path: "/"}, reach.Heard); got != reach.None || ctx.Err() != nil {
			t.Errorf("%s: contact %v, %v", tc.form, got, ctx.Err())
		}
		cancel()
		if n := p.HeadersTooLong()[tc.form]; n != 1 {
			t.Errorf("%s: counted %v", tc.form, p.HeadersTooLong())
		}
	}
}

// Guards against headers without an end that a Client reads on.
func TestHeaderWithoutEndOfClient(t *testing.T) {
	for _, tc := range headerForms {
		closed := make(chan struct{})
		addr := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			defer close(closed)
			if _, ok := readRequest(r); ok {
				endless.Send(c, tc.begin, tc.repeat, endlessBytes)
			}
		})
		if tc.form == "Stray" {
			continue // Responses have no ID there.
		}
		c := upstream.NewClient()
		req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		if _, err := c.RoundTrip(ctx, addr, req); verdict.Of(err) != verdict.MaybeRan || ctx.Err() != nil {
			t.Errorf("%s: %v", tc.form, err)
		}
		cancel()
		<-closed
	}
}

// Guards against legal responses that are taken for endless ones.
func TestLongResponsesWithinBounds(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1048576\r\nField: "
	const rest = "\r\n\r\n"
	body := strings.Repeat("b", 1<<20)
	for name, response := range map[string]string{
		"header of the bound": begin + strings.Repeat("v", maxHeader-len(begin)-len(rest)) + rest + body,
		"long body":           begin + rest + body,
		"interim responses":   strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20) + begin + rest + body,
	} {
		t.Run(name, func(t *testing.T) {
			addr := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, ok := readRequest(r); ok {
					_, _ = io.WriteString(c, response)
					_, _ = readRequest(r)
				}
			})
			p := upstream.NewPool()
			p.SetMaxHeader(maxHeader)
			if got, err := send(t, p, call(addr, "1")); got != body || err != nil {
				t.Errorf("%d bytes, %v", len(got), err)
			}
		})
	}
}

// Guards against bodies of late responses that are read without a bound.
func TestStrayBodyWithoutEnd(t *testing.T) {
	for name, begin := range map[string]string{
		"length":          "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 99999999999\r\n\r\n",
		"until the close": "HTTP/1.1 200 OK\r\nId: other\r\n\r\n",
	} {
		closed := make(chan struct{})
		addr := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			defer close(closed)
			if _, ok := readRequest(r); ok {
				endless.Send(c, begin, "bytes", endlessBytes)
			}
		})
		p, read := countingPool()
		if _, err := send(t, p, call(addr, "1")); verdict.Of(err) != verdict.MaybeRan {
			t.Errorf("%s: %v, want MaybeRan", name, err)
		}
		<-closed
		if n := read.Load(); n > 2<<20 {
			t.Errorf("%s: %d bytes were read", name, n)
		}
	}
}

func BenchmarkPoolSend(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "ok")
	})}
	defer srv.Close()
	go srv.Serve(l)
	p := upstream.NewPool()
	b.ReportAllocs()
	for b.Loop() {
		resp, err := p.Send(b.Context(), call(l.Addr().String(), "1"), time.Second)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}
