package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"auburnlatch/core/verdict"
	"auburnlatch/io/upstream"
)

// server runs a scripted handler for each connection.
type server struct {
	t *testing.T
	l net.Listener
	// serve handles the n-th connection, counted from 0.
	serve func(n int, c net.Conn, r *bufio.Reader)
}

func startServer(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &server{t: t, l: l, serve: serve}
	go s.run()
	return l.Addr().String()
}

// run accepts connections until the listener is closed.
func (s *server) run() {
	for n := 0; ; n++ {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		go (&script{server: s, n: n, conn: c}).run()
	}
}

type script struct {
	server *server
	n      int
	conn   net.Conn
}

// run handles one connection.
func (s *script) run() {
	defer s.conn.Close()
	s.server.serve(s.n, s.conn, bufio.NewReader(s.conn))
}

// readRequest reads one request with its body.
func readRequest(r *bufio.Reader) (*http.Request, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req, err == nil
}

func answer(c net.Conn, id, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

func call(addr, id string) *upstream.Call {
	return &upstream.Call{
		Target: "t", Addr: addr, Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Id": {id}},
		Body: []byte("body"), Length: 4, EchoHeader: "Id", EchoID: id,
	}
}

func send(t *testing.T, p *upstream.Pool, c *upstream.Call) (string, error) {
	t.Helper()
	return sendWithin(t, p, c, 5*time.Second)
}

func sendWithin(t *testing.T, p *upstream.Pool, c *upstream.Call, d time.Duration) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	resp, err := p.Send(ctx, c, time.Second)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestConnectionIsReused(t *testing.T) {
	addr := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, ok := readRequest(r)
			if !ok {
				return
			}
			answer(c, req.Header.Get("Id"), "ok")
		}
	})
	p := upstream.NewPool()
	for _, id := range []string{"1", "2", "3"} {
		if got, err := send(t, p, call(addr, id)); got != "ok" || err != nil {
			t.Fatalf("request %s: %q, %v", id, got, err)
		}
	}
	if n := p.Opened(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
}

// An upstream sends a response twice, and the second copy arrives where the
// response to the next request is expected. Its ID shows that it belongs to an
// earlier request; otherwise a caller would get another caller's response.
func TestStrayResponseIsSkipped(t *testing.T) {
	addr := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, ok := readRequest(r); !ok {
			return
		}
		answer(c, "1", "one")
		if _, ok := readRequest(r); !ok {
			return
		}
		answer(c, "1", "one")
		answer(c, "2", "two")
		_, _ = readRequest(r)
	})
	p := upstream.NewPool()
	for _, tc := range [][2]string{{"1", "one"}, {"2", "two"}} {
		if got, err := send(t, p, call(addr, tc[0])); got != tc[1] || err != nil {
			t.Errorf("request %s: %q, %v, want %q", tc[0], got, err, tc[1])
		}
	}
}

// An extra response has already arrived when the connection becomes idle. The
// connection must not be reused, since it is unknown what follows on it.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	sent := make(chan struct{}, 2)
	addr := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, ok := readRequest(r)
		if !ok {
			return
		}
		answer(c, req.Header.Get("Id"), "ok")
		answer(c, req.Header.Get("Id"), "ok")
		sent <- struct{}{}
		_, _ = readRequest(r)
	})
	p := upstream.NewPool()
	for _, id := range []string{"1", "2"} {
		if got, err := send(t, p, call(addr, id)); got != "ok" || err != nil {
			t.Fatalf("request %s: %q, %v", id, got, err)
		}
		<-sent
	}
	if n := p.Opened(); n != 2 {
		t.Errorf("%d connections were opened, want 2", n)
	}
}

// An upstream responds to a long upload before it has read the body, and keeps
// reading. It would read the next request as the rest of that body, so that the
// request would be lost, or a part of the body would run as a request.
func TestEarlyResponseClosesConnection(t *testing.T) {
	addr := startServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer(c, req.Header.Get("Id"), "early")
		if n == 0 {
			_, _ = io.Copy(io.Discard, io.LimitReader(r, 1)) // Leaves the rest unread.
			<-t.Context().Done()
		}
		_, _ = io.Copy(io.Discard, req.Body)
	})
	p := upstream.NewPool()
	long := call(addr, "1")
	long.Body = make([]byte, 32<<20)
	long.Length = int64(len(long.Body))
	if got, err := send(t, p, long); got != "early" || err != nil {
		t.Fatalf("upload: %q, %v", got, err)
	}
	if got, err := send(t, p, call(addr, "2")); got != "early" || err != nil {
		t.Fatalf("next request: %q, %v", got, err)
	}
	if n := p.Opened(); n != 2 {
		t.Errorf("%d connections were opened, want 2", n)
	}
}

// The verdict of an error decides whether a request may be retried.
func TestVerdicts(t *testing.T) {
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing.Close()
	closes := func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = readRequest(r) }
	garbles := func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, "no answer at all\r\n\r\n")
	}
	misplaced := func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		answer(c, "another", "x")
	}
	for _, tc := range []struct {
		name   string
		addr   string
		want   verdict.Verdict
		reason verdict.Reason
	}{
		{"connection refused", refusing.Addr().String(), verdict.NotRun, verdict.ReasonUnreachable},
		{"closed after the request", startServer(t, closes), verdict.MaybeRan, verdict.ReasonBroken},
		{"malformed response", startServer(t, garbles), verdict.MaybeRan, verdict.ReasonBroken},
		{"only a response to another request", startServer(t, misplaced), verdict.MaybeRan, verdict.ReasonBroken},
	} {
		_, err := send(t, upstream.NewPool(), call(tc.addr, "1"))
		if e := verdict.As(err); err == nil || e.Verdict != tc.want || e.Reason != tc.reason {
			t.Errorf("%s: %v, want %v %v", tc.name, err, tc.want, tc.reason)
		}
	}
}

// An upstream closes an idle connection. A request written to it would be lost,
// and it would be unknown whether it ran. The pool must notice the close before
// it writes the request, and open a new connection.
func TestClosedIdleConnectionIsNoticed(t *testing.T) {
	closed := make(chan struct{})
	addr := startServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		req, ok := readRequest(r)
		if !ok {
			return
		}
		answer(c, req.Header.Get("Id"), "ok")
		if n == 0 {
			c.Close()
			close(closed)
			return
		}
		_, _ = readRequest(r)
	})
	p := upstream.NewPool()
	if _, err := send(t, p, call(addr, "1")); err != nil {
		t.Fatal(err)
	}
	<-closed
	if got, err := send(t, p, call(addr, "2")); got != "ok" || err != nil {
		t.Errorf("second request: %q, %v", got, err)
	}
}

// A response without a length ends when its connection is closed. One whose
// connection is reset must not appear complete.
func TestResponseWithoutLength(t *testing.T) {
	for name, tc := range map[string]struct {
		reset bool
		want  bool
	}{"closed": {false, true}, "reset": {true, false}} {
		addr := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			_, _ = readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
			if tc.reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		_, err := send(t, upstream.NewPool(), call(addr, "1"))
		if got := err == nil; got != tc.want {
			t.Errorf("%s: complete = %v (%v), want %v", name, got, err, tc.want)
		}
	}
}

// An upstream stops and another one gets its address. Connections to the old
// one that are still open must not be used for the new one.
func TestSweepClosesConnectionsToRemovedTargets(t *testing.T) {
	ended := make(chan struct{})
	addr := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, ok := readRequest(r)
		if !ok {
			return
		}
		answer(c, req.Header.Get("Id"), "ok")
		if _, ok := readRequest(r); !ok {
			close(ended)
		}
	})
	p := upstream.NewPool()
	if _, err := send(t, p, call(addr, "1")); err != nil {
		t.Fatal(err)
	}
	p.Sweep(time.Now(), func(string) bool { return false })
	<-ended
}

// If the caller leaves while its request runs, the connection is closed, so that
// the upstream can stop its work.
func TestCancelClosesConnection(t *testing.T) {
	got, ended := make(chan struct{}), make(chan struct{})
	addr := startServer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		close(got)
		_, _ = readRequest(r)
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-got; cancel() }()
	_, err := upstream.NewPool().Send(ctx, call(addr, "1"), time.Second)
	if e := verdict.As(err); e.Verdict != verdict.MaybeRan || e.Reason != verdict.ReasonCanceled {
		t.Errorf("got %v, want MaybeRan, Canceled", err)
	}
	<-ended
}
