package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"auburnlatch/io/keepalive"
	"auburnlatch/io/tcp"
	"auburnlatch/standin/pipe"
)

// noStarter has all requests wait for their turn.
type noStarter struct{}

func (noStarter) start(context.Context, *http.Request) *pipelined { return nil }

// idleServer serves one connection of a caller and calls its hooks at fixed points.
type idleServer struct {
	conns keepalive.Conns
	// read is called when a read of the socket has returned bytes, active when the server has
	// parsed a header, and idle when the connection has been marked idle.
	read, active, idle func()
	canceled           int // Requests whose context was canceled while they were served.
}

// ServeHTTP responds once nothing else can proceed, so that whatever cancels the request has
// done so.
func (s *idleServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	c.beginServing(r)
	defer c.endServing()
	_, _ = io.Copy(io.Discard, r.Body)
	synctest.Wait()
	if r.Context().Err() != nil {
		s.canceled++
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

func (s *idleServer) connState(c net.Conn, state http.ConnState) {
	if state == http.StateActive {
		s.active()
	}
	s.conns.ConnState(c, state)
	if state == http.StateIdle {
		s.idle()
	}
}

// dial starts the server and returns the caller's end of its connection.
func (s *idleServer) dial(t *testing.T) *pipelineConn {
	t.Helper()
	l := pipe.NewListener()
	srv := &http.Server{Handler: s, ReadHeaderTimeout: readHeaderTimeout, ConnState: s.connState, ConnContext: connContext}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = srv.Serve(callerListener{l, noStarter{}, &tcp.Closer{}})
	}()
	client := l.Dial(func() { s.read() })
	t.Cleanup(func() {
		client.Close()
		srv.Close()
		<-served
	})
	return &pipelineConn{client, bufio.NewReader(client)}
}

// pipelineConn is a caller's end of a connection.
type pipelineConn struct {
	net.Conn
	r *bufio.Reader
}

// path reads the next response and returns its body.
func (c *pipelineConn) path() (string, error) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

const (
	idleGet  = "GET /get HTTP/1.1\r\nHost: h\r\n\r\n"
	idlePost = "POST /post HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
)

// idleEnds are the ways in which idle connections are ended.
var idleEnds = map[string]func(*keepalive.Conns){
	"all are closed": func(c *keepalive.Conns) { c.CloseAll(time.Now()) },
	// Below zero, as no time may pass in the test.
	"the limit is lowered": func(c *keepalive.Conns) { c.CloseOlder(time.Now(), -1) },
}

// Guards against requests that are cut, as their connection is ended as idle while they arrive.
func TestRequestAsIdleConnectionsEndIsServed(t *testing.T) {
	nothing := func() {}
	for end, closeIdle := range idleEnds {
		for name, request := range map[string]string{"no body": idleGet, "body": idlePost} {
			for when, hook := range map[string]func(*idleServer, func()){
				"the socket's read has returned":        func(s *idleServer, f func()) { s.read = f },
				"the server has the request":            func(s *idleServer, f func()) { s.active = f },
				"the first byte came with the last one": nil,
			} {
				t.Run(end+", "+name+", "+when, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := &idleServer{read: nothing, active: nothing, idle: nothing}
						c := s.dial(t)
						first, second := request, request
						if hook == nil {
							first, second = request+request[:1], request[1:]
							s.idle = func() { closeIdle(&s.conns) }
						}
						testExchange(t, s, c, first)
						if hook != nil {
							synctest.Wait()
							hook(s, func() { closeIdle(&s.conns) })
						}
						testExchange(t, s, c, second)
					})
				})
			}
		}
	}
}

// testExchange sends a request and expects its response.
func testExchange(t *testing.T, s *idleServer, c *pipelineConn, request string) {
	t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatalf("connection ended before the request was written: %v", err)
	}
	if path, err := c.path(); err != nil || path == "" {
		t.Fatalf("no response: %q, %v; %d requests were canceled", path, err, s.canceled)
	}
}

// Guards against a stop that waits for callers to close connections that became idle after it began.
func TestConnectionsThatBecomeIdleLaterEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &idleServer{read: func() {}, idle: func() {}}
		s.active = func() { s.conns.CloseAll(time.Now()) }
		c := s.dial(t)
		testExchange(t, s, c, idleGet)
		if _, err := c.r.ReadByte(); err != io.EOF {
			t.Errorf("read after the response: %v, want EOF", err)
		}
		synctest.Wait()
		if n := s.conns.Count(); n != 0 {
			t.Errorf("%d connections are open", n)
		}
	})
}

// Guards against connections that stay open for ever with the first bytes of a request.
func TestBegunRequestHasTheTimeOfAHeader(t *testing.T) {
	for name, end := range map[string]func(*keepalive.Conns){"in operation": func(*keepalive.Conns) {}, "as all are closed": idleEnds["all are closed"]} {
		for held, rest := range map[string]string{idleGet + "G": "", idleGet: "GE"} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &idleServer{read: func() {}, active: func() {}, idle: func() {}}
					c := s.dial(t)
					testExchange(t, s, c, held)
					synctest.Wait()
					if _, err := io.WriteString(c, rest); err != nil {
						t.Fatal(err)
					}
					synctest.Wait()
					end(&s.conns)
					began := time.Now()
					const limit = defaultIdle + heartbeat // The VM ends idle connections on heartbeats.
					s.conns.CloseOlder(began.Add(limit), defaultIdle)
					_, err := c.r.ReadByte()
					if took := time.Since(began); err != io.EOF || took > limit+readHeaderTimeout {
						t.Errorf("read: %v after %v", err, took)
					}
				})
			})
		}
	}
}

// Guards against connections that are ended too early, or not at all.
func TestIdleConnectionsExpire(t *testing.T) {
	for _, tc := range []struct {
		name string
		idle time.Duration
		ends bool
	}{
		{"old", 31 * time.Second, true},
		{"young", 29 * time.Second, false},
	} {
		for kind, used := range map[string]bool{"kept": true, "new": false} {
			t.Run(tc.name+" "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &idleServer{read: func() {}, active: func() {}, idle: func() {}}
					c := s.dial(t)
					if used {
						testExchange(t, s, c, idleGet)
					}
					synctest.Wait()
					s.conns.CloseOlder(time.Now().Add(tc.idle), 30*time.Second)
					synctest.Wait()
					if ended := s.conns.Count() == 0; ended != tc.ends {
						t.Errorf("ended: %v, want %v", ended, tc.ends)
					}
				})
			})
		}
	}
}
