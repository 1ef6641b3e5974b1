package keepalive

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// pipeListener accepts the connections that are sent to it.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// stoppingServer is stopped as it is handed a request.
type stoppingServer struct {
	Server
	stopped  chan error
	canceled bool
}

// ServeHTTP responds once nothing else can proceed, so that whatever cancels the request has
// done so.
func (s *stoppingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	synctest.Wait()
	s.canceled = r.Context().Err() != nil
	_, _ = io.WriteString(w, "ok")
}

// shutdown stops the server and returns once it waits for its connections.
func (s *stoppingServer) shutdown() {
	go s.runShutdown()
	synctest.Wait()
}

func (s *stoppingServer) runShutdown() { s.stopped <- s.Shutdown(context.Background()) }

// raceConn calls read when a read has returned bytes, before the server has them.
type raceConn struct {
	net.Conn
	read func()
}

func (c *raceConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.read()
	}
	return n, err
}

// A server stops while it is handed a request on a kept connection. The request must be
// answered: it may have run, and its caller cannot tell. http.Server.Shutdown loses it.
func TestShutdownServesRequestThatArrives(t *testing.T) {
	for _, when := range []string{"read", "parsed"} {
		t.Run(when, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &stoppingServer{stopped: make(chan error, 1)}
				hooks := map[string]func(){"read": func() {}, "parsed": func() {}}
				s.HTTP = &http.Server{Handler: s, IdleTimeout: time.Minute}
				l := newPipeListener()
				go s.Serve(l)
				synctest.Wait()
				state := s.HTTP.ConnState
				s.HTTP.ConnState = func(c net.Conn, st http.ConnState) {
					if st == http.StateActive {
						hooks["parsed"]()
					}
					state(c, st)
				}
				client, server := net.Pipe()
				defer client.Close()
				l.conns <- &raceConn{server, func() { hooks["read"]() }}
				r := bufio.NewReader(client)
				exchange := func() {
					t.Helper()
					if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
						t.Fatal(err)
					}
					resp, err := http.ReadResponse(r, nil)
					if err != nil {
						t.Fatalf("no response: %v", err)
					}
					if body, err := io.ReadAll(resp.Body); string(body) != "ok" || s.canceled {
						t.Fatalf("got %q, %v; canceled: %v", body, err, s.canceled)
					}
				}
				exchange()
				synctest.Wait()
				once := s.shutdown
				hooks[when] = func() {
					if once != nil {
						stop := once
						once = nil
						stop()
					}
				}
				exchange()
				if _, err := r.ReadByte(); err != io.EOF {
					t.Errorf("read after the response: %v, want EOF", err)
				}
				if err := <-s.stopped; err != nil {
					t.Errorf("Shutdown: %v", err)
				}
			})
		})
	}
}

// A server stops. Connections without a request must end, those that were never used too, and
// one that never ends must not keep Shutdown from returning.
func TestShutdownEndsIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{HTTP: &http.Server{Handler: http.NotFoundHandler()}}
		l := newPipeListener()
		served := make(chan error, 1)
		go func() { served <- s.Serve(l) }()
		client, server := net.Pipe()
		defer client.Close()
		l.conns <- server
		synctest.Wait()
		began := time.Now()
		if err := s.Shutdown(context.Background()); err != nil || time.Since(began) > shutdownTick {
			t.Errorf("Shutdown: %v after %v", err, time.Since(began))
		}
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("Serve: %v", err)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		s := &Server{HTTP: &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })}}
		l := newPipeListener()
		go s.Serve(l)
		client, server := net.Pipe()
		defer client.Close()
		l.conns <- server
		if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := s.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Shutdown: %v", err)
		}
	})
}

// The steps of a connection's state, and whether its read is made to time out and its deadline
// restored.
func TestState(t *testing.T) {
	now := time.Unix(1000, 0)
	later := now.Add(time.Minute)
	for _, tc := range []struct {
		name  string
		steps func(s *State) []bool
		want  []bool
	}{
		{"waiting", func(s *State) []bool { return []bool{s.Waits(), s.Close(), s.Close()} }, []bool{true, true, false}},
		{"closed before it waits", func(s *State) []bool { return []bool{s.Close(), s.Waits(), s.Returned(true)} }, []bool{false, false, true}},
		{"handed a request meanwhile", func(s *State) []bool { return []bool{s.Waits(), s.Close(), s.Returned(true), s.Waits()} }, []bool{true, true, true, true}},
		{"handed a request before", func(s *State) []bool { return []bool{s.Waits(), s.Returned(true), s.Close(), s.EndOlder(later, 0)} }, []bool{true, false, false, false}},
		{"old", func(s *State) []bool {
			return []bool{s.Waits(), s.EndOlder(later, time.Minute-1), s.EndOlder(later, 0)}
		}, []bool{true, true, false}},
		{"young", func(s *State) []bool { return []bool{s.Waits(), s.EndOlder(later, time.Minute)} }, []bool{true, false}},
		{"not waiting yet", func(s *State) []bool { return []bool{s.EndOlder(later, 0)} }, []bool{false}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var s State
			s.Idle(now)
			got := tc.steps(&s)
			for i := range tc.want {
				if got[i] != tc.want[i] {
					t.Errorf("step %d: %v, want %v", i, got[i], tc.want[i])
				}
			}
		})
	}
}
