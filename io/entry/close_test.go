package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"auburnlatch/io/tcp"
	"auburnlatch/standin/window"
)

const (
	// smallWindow is a caller's receive buffer in bytes, far below lastBody, the length of its
	// last response.
	smallWindow = 4 << 10
	lastBody    = 200_000
)

// ServeHTTP ends a connection with its first response. It leaves bodies for /unread as they are.
func (s *closingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	c.beginServing(r)
	defer c.endServing()
	c.respondBy(time.Now(), time.Now().Add(time.Minute))
	if r.URL.Path != "/unread" {
		_, _ = io.Copy(io.Discard, r.Body)
		close(s.serving)
		<-s.sent
	}
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", fmt.Sprint(lastBody))
	_, _ = io.WriteString(w, strings.Repeat("a", lastBody))
}

// bufferingListener accepts connections that take a whole response at once.
type bufferingListener struct{ net.Listener }

func (l bufferingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(2 * lastBody)
	}
	return c, err
}

// closingServer is a server whose connections are closed with their first response.
type closingServer struct {
	addr   string
	closer *tcp.Closer
	// serving is closed when the first request has been read, sent is to be closed when what
	// follows it was sent, and closed receives when the server has closed a connection.
	serving, sent, closed chan struct{}
}

func startClosing(t *testing.T) *closingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &closingServer{l.Addr().String(), &tcp.Closer{}, make(chan struct{}), make(chan struct{}), make(chan struct{}, 1)}
	srv := &http.Server{Handler: s, MaxHeaderBytes: maxHeader, ConnContext: connContext, ConnState: s.connState}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(callerListener{bufferingListener{l}, noStarter{}, s.closer})
	}()
	t.Cleanup(func() {
		srv.Close()
		s.closer.Stop()
		<-done
	})
	return s
}

func (s *closingServer) connState(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed {
		s.closed <- struct{}{}
	}
}

// dialSmallWindow connects as a caller whose host takes few bytes that the caller has not read.
func dialSmallWindow(t *testing.T, addr string) net.Conn {
	t.Helper()
	d := net.Dialer{Control: window.Control(smallWindow)}
	c, err := d.DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// send sends first, and behind once first has been read.
func (s *closingServer) send(c net.Conn, first, behind string) {
	_, _ = io.WriteString(c, first)
	if behind != "" {
		<-s.serving
		_, _ = io.WriteString(c, behind)
	}
	close(s.sent)
}

func closePost(path string, n int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, n, strings.Repeat("b", n))
}

// Guards against a last response that is cut by a reset, as its caller has sent more than the
// VM has read when it closes the connection, or sends more afterwards.
func TestLastResponseArrivesWhole(t *testing.T) {
	const lookup = "GET /behind HTTP/1.1\r\nHost: h\r\n\r\n"
	chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n\r\n"
	for _, tc := range []struct {
		name string
		// first is what the caller sends first, behind once that has been read, and after once the
		// VM has closed the connection.
		first, behind, after string
		status               int
	}{
		{"a look-up behind a body", closePost("/", 4000), lookup, "", 200},
		{"a look-up behind a body in chunks", chunked, lookup, "", 200},
		{"a look-up behind a long body", closePost("/", 360_000), lookup, "", 200},
		{"a body behind a body", closePost("/", 4000), closePost("/", 20_000), "", 200},
		{"over a hundred look-ups behind a look-up", lookup, strings.Repeat(lookup, 600), lookup, 200},
		{"over a hundred look-ups behind a body", closePost("/", 4000), strings.Repeat(lookup, 600), lookup, 200},
		{"a look-up after the close", closePost("/", 4000), "", lookup, 200},
		{"look-ups before and after the close", closePost("/", 4000), lookup, strings.Repeat(lookup, 600), 200},
		{"an unread body", closePost("/unread", 360_000), "", "", 200},
		{"an unread body and more", closePost("/unread", 4000), "", lookup, 200},
		{"no request", "no request\r\n\r\n" + strings.Repeat("b", 300_000), "", lookup, 400},
		{"a header that is too long", "GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("b", 300_000), "", lookup, 431},
		{"an unknown transfer coding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: x\r\n\r\n" + strings.Repeat("b", 300_000), "", lookup, 501},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := startClosing(t)
			c := dialSmallWindow(t, s.addr)
			go s.send(c, tc.first, tc.behind)
			<-s.closed
			if _, err := io.WriteString(c, tc.after); err != nil {
				t.Errorf("write after the close: %v", err)
			}
			r := bufio.NewReader(c)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("no response: %v", err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != tc.status || tc.status == 200 && len(body) != lastBody {
				t.Errorf("status %d, %d bytes, %v", resp.StatusCode, len(body), err)
			}
			if _, err := r.ReadByte(); err != io.EOF {
				t.Errorf("read after the response: %v, want EOF", err)
			}
			c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), minClosing)
			defer cancel()
			s.closer.Wait(ctx)
			if ctx.Err() != nil {
				t.Error("the connection was kept after its caller had closed it")
			}
		})
	}
}
