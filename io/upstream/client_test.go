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

// A depot books a slot. The upstream books it and dies before it answers, on a
// connection that has carried a request before. net/http takes an empty POST
// with Idempotency-Key for one that it may send again by itself, so the depot
// would have two bays.
func TestBookingIsNotRepeatedByTheTransport(t *testing.T) {
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

// TestNotRunIsTrue proves by the upstream's own count that wherever the client
// says NotRun nothing ran.
func TestNotRunIsTrue(t *testing.T) {
	for _, tc := range []struct {
		name   string
		serve  func(runs *atomic.Int32) (addr string, stop func())
		ctx    func() (context.Context, context.CancelFunc)
		want   verdict.Verdict
		reason verdict.Reason
	}{
		{name: "nobody listens", serve: nobody, want: verdict.NotRun, reason: verdict.ReasonUnreachable},
		{name: "sheds", serve: sheds, want: verdict.NotRun, reason: verdict.ReasonShed},
		{name: "answers late", serve: hangs, ctx: short, want: verdict.MaybeRan, reason: verdict.ReasonDeadline},
		{name: "the caller was gone before", serve: hangs, ctx: gone, want: verdict.NotRun, reason: verdict.ReasonCanceled},
		{name: "cuts after the request", serve: cuts, want: verdict.MaybeRan, reason: verdict.ReasonBroken},
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

func short() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 50*time.Millisecond)
}

func gone() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx, cancel
}

func nobody(*atomic.Int32) (string, func()) {
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

func hangs(runs *atomic.Int32) (string, func()) {
	return serving(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		<-r.Context().Done()
	})
}

func cuts(runs *atomic.Int32) (string, func()) {
	return serving(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		panic(http.ErrAbortHandler)
	})
}

// A mechanic closes the page while the history is being read. The upstream must
// hear of it, or it works on for nobody.
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

// Guards against a refusal that loses the pause which the upstream asked for.
func TestShedSaysForHowLong(t *testing.T) {
	addr, stop := serving(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "2.5")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	defer stop()
	_, err := NewClient().Send(t.Context(), target(addr), []int{503}, request(t, http.MethodGet, ""))
	var shed *ShedError
	if !errors.As(err, &shed) || shed.Pause != 2500*time.Millisecond {
		t.Errorf("err = %v, want a pause of 2.5 s", err)
	}
	if after := verdict.As(err).RetryAfter; after != 2500*time.Millisecond {
		t.Errorf("come back after %v", after)
	}
}
