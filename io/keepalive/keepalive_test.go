package keepalive

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"auburnlatch/standin/pipe"
)

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

// Guards against requests on kept connections that are cut as the server stops.
func TestShutdownServesRequestThatArrives(t *testing.T) {
	for _, when := range []string{"read", "parsed"} {
		t.Run(when, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &stoppingServer{stopped: make(chan error, 1)}
				hooks := map[string]func(){"read": func() {}, "parsed": func() {}}
				s.HTTP = &http.Server{Handler: s, IdleTimeout: time.Minute}
				l := pipe.NewListener()
				go s.Serve(l)
				synctest.Wait()
				state := s.HTTP.ConnState
				s.HTTP.ConnState = func(c net.Conn, st http.ConnState) {
					if st == http.StateActive {
						hooks["parsed"]()
					}
					state(c, st)
				}
				client := l.Dial(func() { hooks["read"]() })
				defer client.Close()
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

// Guards against a stop that waits for connections without a request, or for ever for others.
func TestShutdownEndsIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{HTTP: &http.Server{Handler: http.NotFoundHandler()}}
		l := pipe.NewListener()
		served := make(chan error, 1)
		go func() { served <- s.Serve(l) }()
		client := l.Dial(nil)
		defer client.Close()
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
		l := pipe.NewListener()
		go s.Serve(l)
		client := l.Dial(nil)
		defer client.Close()
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
		{"waiting", func(s *State) []bool { return []bool{s.Waits(), s.EndWhenIdle(), s.EndWhenIdle()} }, []bool{true, true, false}},
		{"closed before it waits", func(s *State) []bool { return []bool{s.EndWhenIdle(), s.Waits(), s.Returned(true)} }, []bool{false, false, true}},
		{"handed a request meanwhile", func(s *State) []bool { return []bool{s.Waits(), s.EndWhenIdle(), s.Returned(true), s.Waits()} }, []bool{true, true, true, true}},
		{"handed a request before", func(s *State) []bool {
			return []bool{s.Waits(), s.Returned(true), s.EndWhenIdle(), s.EndOlder(later, 0)}
		}, []bool{true, false, false, false}},
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
