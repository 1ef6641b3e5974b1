package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"auburnlatch/io/upstream"
	"auburnlatch/standin/window"
)

const (
	// uploadBytes does not fit into what the host of an upstream with a small window takes.
	uploadBytes = 360_000
	// notRead is how long an upstream leaves an upload unread: longer than a host may be silent.
	// The kernel's own clock runs meanwhile, so that it cannot be simulated.
	notRead = 2600 * time.Millisecond
)

// startSmallWindow is startServer of an upstream whose host takes few bytes that are not read.
func startSmallWindow(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	small := net.ListenConfig{Control: window.Control(16 << 10)}
	l, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go (&server{t: t, l: l, serve: serve}).run()
	return l.Addr().String()
}

// Guards against uploads that are broken off as their upstream, whose host acknowledges, reads them
// late, and against later requests on the connection of one.
func TestUpstreamThatReadsSlowlyIsNotGone(t *testing.T) {
	t.Parallel()
	addr := startSmallWindow(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if req.ContentLength == uploadBytes {
				<-time.After(notRead)
			}
			if n, err := io.Copy(io.Discard, req.Body); n != req.ContentLength || err != nil {
				return
			}
			answer(c, req.Header.Get("Id"), "ok")
		}
	})
	p := upstream.NewPool()
	for _, id := range []string{"1", "2"} {
		upload := call(addr, id)
		upload.Body, upload.Length = make([]byte, uploadBytes), uploadBytes
		if got, err := sendWithin(t, p, upload, time.Minute); got != "ok" || err != nil {
			t.Errorf("upload %s: %q, %v", id, got, err)
		}
	}
	if got, err := send(t, p, call(addr, "3")); got != "ok" || err != nil {
		t.Errorf("next request: %q, %v", got, err)
	}
}

// Guards against a request behind a body that lies unread in the socket: it would be read late, or as
// a part of that body.
func TestConnectionWithUnsentBodyIsNotReused(t *testing.T) {
	t.Parallel()
	done := make(chan struct{})
	addr := startSmallWindow(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			answer(c, req.Header.Get("Id"), "early")
			if req.ContentLength > 4 {
				<-done
			}
		}
	})
	p := upstream.NewPool()
	upload := call(addr, "1")
	upload.Body, upload.Length = make([]byte, uploadBytes), uploadBytes
	if got, err := send(t, p, upload); got != "early" || err != nil {
		t.Fatalf("upload: %q, %v", got, err)
	}
	got, err := send(t, p, call(addr, "2"))
	close(done)
	if got != "early" || err != nil || p.Opened() != 2 {
		t.Errorf("next request: %q, %v, %d connections were opened", got, err, p.Opened())
	}
}
