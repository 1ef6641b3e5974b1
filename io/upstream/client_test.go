package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"auburnlatch/core/inventory"
	"auburnlatch/core/verdict"
)

func request(t *testing.T, method, body string) *http.Request {
	t.Helper()
	var r io.Reader = http.NoBody
	if body != "" {
		r = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, "http://upstream.invalid/slots", r)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", "k")
	return req
}

func target(addr string) *inventory.Target { return &inventory.Target{Name: "t", Addr: addr} }

// The upstream runs a POST and crashes before it responds, on a reused
// connection. net/http may repeat an empty POST with an Idempotency-Key on its
// own, so the upstream would run it twice.
func TestTransportDoesNotRepeatRequests(t *testing.T) {
	for _, body := range []string{"", "order"} {
		var runs atomic.Int32
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if r.Method == http.MethodPost {
				runs.Add(1)
				panic(http.ErrAbortHandler)
			}
		}))
		c := NewClient()
		addr := srv.Listener.Addr().String()
		warm, err := c.Send(context.Background(), target(addr), nil, request(t, http.MethodGet, ""))
		if err != nil {
			t.Fatal(err)
		}
		warm.Body.Close()
		_, err = c.Send(context.Background(), target(addr), nil, request(t, http.MethodPost, body))
		if got := verdict.Of(err); got != verdict.MaybeRan {
			t.Errorf("body %q: verdict = %v (%v), want MaybeRan", body, got, err)
		}
		if got := runs.Load(); got != 1 {
			t.Errorf("body %q: ran %d times, want 1", body, got)
		}
		srv.Close()
	}
}

// The upstream counts its runs: if the client returns NotRun, it must have run
// nothing.
func TestNotRunMeansUpstreamDidNotRun(t *testing.T) {
	for _, tc := range []struct {
		name   string
		serve  func(runs *atomic.Int32) (addr string, stop func())
		ctx    func() (context.Context, context.CancelFunc)
		want   verdict.Verdict
		reason verdict.Reason
	}{
		{name: "connection refused", serve: refused, want: verdict.NotRun, reason: verdict.ReasonUnreachable},
		{name: "sheds", serve: sheds, want: verdict.NotRun, reason: verdict.ReasonShed},
		{name: "no response before the deadline", serve: neverResponds, ctx: shortTimeout, want: verdict.MaybeRan, reason: verdict.ReasonDeadline},
		{name: "canceled before it was sent", serve: neverResponds, ctx: canceled, want: verdict.NotRun, reason: verdict.ReasonCanceled},
		{name: "connection closed after the request", serve: closesConnection, want: verdict.MaybeRan, reason: verdict.ReasonBroken},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var runs atomic.Int32
			addr, stop := tc.serve(&runs)
			defer stop()
			ctx, cancel := context.Background(), context.CancelFunc(func() {})
			if tc.ctx != nil {
				ctx, cancel = tc.ctx()
			}
			defer cancel()
			_, err := NewClient().Send(ctx, target(addr), []int{503}, request(t, http.MethodPost, "order"))
			e := verdict.As(err)
			if e.Verdict != tc.want || e.Reason != tc.reason {
				t.Errorf("got %v %v (%v), want %v %v", e.Verdict, e.Reason, err, tc.want, tc.reason)
			}
			if n := runs.Load(); e.Verdict == verdict.NotRun && n != 0 {
				t.Errorf("NotRun, but the upstream ran it %d times", n)
			}
		})
	}
}

func shortTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 50*time.Millisecond)
}

func canceled() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx, cancel
}

func refused(*atomic.Int32) (string, func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	l.Close()
	return l.Addr().String(), func() {}
}

func serving(h http.HandlerFunc) (string, func()) {
	srv := httptest.NewServer(h)
	return srv.Listener.Addr().String(), srv.Close
}

func sheds(*atomic.Int32) (string, func()) {
	return serving(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
}

func neverResponds(runs *atomic.Int32) (string, func()) {
	return serving(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		<-r.Context().Done()
	})
}

func closesConnection(runs *atomic.Int32) (string, func()) {
	return serving(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		panic(http.ErrAbortHandler)
	})
}

// If the caller cancels a request, the upstream must notice, or it goes on
// working on a response that nobody reads.
func TestCancellationReachesTheUpstream(t *testing.T) {
	started, stopped := make(chan struct{}), make(chan struct{})
	addr, stop := serving(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(stopped)
	})
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		_, err := NewClient().Send(ctx, target(addr), nil, request(t, http.MethodGet, ""))
		done <- err
	}()
	<-started
	cancel()
	<-stopped
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("err = %v, want context.Canceled", err)
	}
}

// The Retry-After time of a shed response must be part of the error.
func TestShedErrorHasRetryAfter(t *testing.T) {
	addr, stop := serving(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "2.5")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	defer stop()
	_, err := NewClient().Send(t.Context(), target(addr), []int{503}, request(t, http.MethodGet, ""))
	var shed *ShedError
	if !errors.As(err, &shed) || shed.RetryAfter != 2500*time.Millisecond {
		t.Errorf("err = %v, want ShedError with retry after 2.5 s", err)
	}
	if after := verdict.As(err).RetryAfter; after != 2500*time.Millisecond {
		t.Errorf("RetryAfter = %v, want 2.5 s", after)
	}
}
