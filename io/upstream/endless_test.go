package upstream_test

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"testing"
	"time"

	"auburnlatch/core/dispatch"
	"auburnlatch/core/inventory"
	"auburnlatch/core/reach"
	"auburnlatch/core/verdict"
	"auburnlatch/io/upstream"
	"auburnlatch/standin/endless"
)

// endlessBodies returns bodies without an end. The connection of one without a repeated part stays
// open.
func endlessBodies() map[string]endless.Body {
	bodies := endless.Bodies()
	bodies["a few bytes"] = endless.Body{Begin: "Content-Length: 1000\r\n\r\nbytes"}
	bodies["a broken chunk"] = endless.Body{Begin: "Transfer-Encoding: chunked\r\n\r\nbytes\r\n"}
	return bodies
}

// endlessServer responds with a status line and a body without an end. closed is closed when its
// first connection is.
func endlessServer(t *testing.T, status string, part endless.Body) (addr string, closed chan struct{}) {
	t.Helper()
	return startClosing(t, func(c net.Conn, r *bufio.Reader) {
		if part.Repeat != "" {
			endless.Send(c, "HTTP/1.1 "+status+"\r\n"+part.Begin, part.Repeat, math.MaxInt64)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\n"+part.Begin)
		_, _ = io.Copy(io.Discard, r)
	})
}

// startClosing is startServer of an upstream that responds to the first request of each connection. closed is
// closed when its first connection is.
func startClosing(t *testing.T, respond func(c net.Conn, r *bufio.Reader)) (addr string, closed chan struct{}) {
	t.Helper()
	closed = make(chan struct{})
	return startServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n == 0 {
			defer close(closed)
		}
		if _, ok := readRequest(r); ok {
			respond(c, r)
		}
	}), closed
}

// requireClosed fails the test if the connection stays open.
func requireClosed(t *testing.T, closed chan struct{}) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection is still open after 5 s")
	}
}

// Guards against requests that were shed and wait for the end of a response that has none.
func TestShedBodyWithoutEnd(t *testing.T) {
	for name, part := range endlessBodies() {
		t.Run(name, func(t *testing.T) {
			addr, closed := endlessServer(t, "503 Service Unavailable", part)
			req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/", nil)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err = upstream.NewClient().Send(ctx, &inventory.Target{Addr: addr}, []int{http.StatusServiceUnavailable}, req)
			if verdict.As(err).Reason != verdict.ReasonShed || verdict.Of(err) != verdict.NotRun || ctx.Err() != nil {
				t.Errorf("Send: %v, context: %v", err, ctx.Err())
			}
			requireClosed(t, closed)
		})
	}
}

// Guards against health checks that read a response without an end.
func TestProbeBodyWithoutEnd(t *testing.T) {
	for name, part := range endlessBodies() {
		t.Run(name, func(t *testing.T) {
			addr, closed := endlessServer(t, "200 OK", part)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if health, err := upstream.NewClient().Probe(ctx, &inventory.Target{Addr: addr}); err == nil || health != dispatch.Down || ctx.Err() != nil {
				t.Errorf("Probe: %v, %v, context: %v", health, err, ctx.Err())
			}
			requireClosed(t, closed)
		})
	}
}

// Guards against checks that read a response without an end, or keep its connection for requests.
func TestCheckBodyWithoutEnd(t *testing.T) {
	for name, part := range endlessBodies() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, closed := endlessServer(t, "200 OK", part)
			p := upstream.NewPool()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			if got := p.Contact(ctx, "t", addr, upstream.Check{Path: "/"}, reach.Heard); got != reach.Heard && got != reach.Open {
				t.Errorf("contact %v", got)
			}
			requireClosed(t, closed)
		})
	}
}

// Guards against responses without an end that a Client reads on after its caller has left.
func TestClientBodyWithoutEndAfterItsCallerHasLeft(t *testing.T) {
	for name, part := range endlessBodies() {
		t.Run(name, func(t *testing.T) {
			addr, closed := endlessServer(t, "200 OK", part)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := upstream.NewClient().RoundTrip(ctx, addr, req)
			if err != nil {
				t.Fatal(err)
			}
			time.AfterFunc(100*time.Millisecond, cancel)
			if n, err := io.Copy(io.Discard, resp.Body); err == nil {
				t.Errorf("a complete body of %d bytes", n)
			}
			resp.Body.Close()
			requireClosed(t, closed)
		})
	}
}
