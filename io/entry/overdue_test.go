package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"auburnlatch/core/route"
	"auburnlatch/io/entry"
	"auburnlatch/io/settings"
)

// overdueUpstreams are upstreams that answer usual requests at once. Of a request whose path ends in
// "special", the upstream that it was sent to first runs first, and any other second. On a busy
// machine they may receive it in another order.
type overdueUpstreams struct {
	first, second http.HandlerFunc
	received      atomic.Int64
	sentFirst     atomic.Pointer[string] // The address of that upstream.
	// sentTwice is closed when a second upstream has received the special request.
	sentTwice chan struct{}
	list      []*upstreamServer
}

func newOverdueUpstreams() *overdueUpstreams {
	return &overdueUpstreams{sentTwice: make(chan struct{})}
}

func (u *overdueUpstreams) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "special") {
		_, _ = w.Write([]byte("usual"))
		return
	}
	if u.received.Add(1) == 2 {
		close(u.sentTwice)
	}
	if addr := r.Context().Value(http.LocalAddrContextKey).(net.Addr); addr.String() == *u.sentFirst.Load() {
		u.first(w, r)
		return
	}
	u.second(w, r)
}

// dial opens a connection of the VM that records where the special request is sent first.
func (u *overdueUpstreams) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	return &orderedConn{c, u}, err
}

type orderedConn struct {
	net.Conn
	upstreams *overdueUpstreams
}

// Write implements net.Conn.
func (c *orderedConn) Write(p []byte) (int, error) {
	if head, _, _ := bytes.Cut(p, []byte("\r\n")); bytes.Contains(head, []byte("special ")) {
		addr := c.RemoteAddr().String()
		c.upstreams.sentFirst.CompareAndSwap(nil, &addr)
	}
	return c.Conn.Write(p)
}

// onceSentTwice has h handle the request when a second upstream has received it too.
func (u *overdueUpstreams) onceSentTwice(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-u.sentTwice:
			h(w, r)
		case <-r.Context().Done():
		}
	}
}

// runs returns how often the special request ran.
func (u *overdueUpstreams) runs() int {
	n := 0
	for _, s := range u.list {
		n += s.runs("special")
	}
	return n
}

// startOverdue starts a VM that knows the usual response times of the route of a path, which it
// learns with second sends switched off and by fewer requests than are logged in a second.
func startOverdue(t *testing.T, u *overdueUpstreams, path string, change func(*settings.Entry)) *runningVM {
	t.Helper()
	p := newPlatform()
	cfg := config(1)
	cfg.Routes = append(cfg.Routes, &route.Route{
		Name: "once", Host: "h", Prefix: "/once/", Kind: route.Idempotent, Attempts: 1, Parts: []route.Part{{Service: "s", Weight: 1}},
	})
	for _, r := range cfg.Routes {
		r.Timeout = 10 * time.Second
	}
	p.set(entry.TableRules, "config", cfg)
	for i := range 4 {
		s := startUpstream(t, u.ServeHTTP)
		u.list = append(u.list, s)
		register(p, fmt.Sprint("i-", i), s.addr())
	}
	v := startVM(t, "a", p, func(cfg *settings.Entry) { cfg.Load.SecondSends = settings.Off }, entry.WithUpstreamDial(u.dial))
	ready(t, v)
	for i := range 60 {
		if r := v.request(t, http.MethodGet, path+"usual", fmt.Sprint("usual", i), ""); r.status != http.StatusOK {
			t.Fatalf("usual request: %+v", r)
		}
	}
	on := *v.cfg
	on.Load.SecondSends = settings.On
	if change != nil {
		change(&on)
	}
	v.Configure(&on)
	return v
}

// hang works until its caller leaves, and then closes left.
func hang(left chan struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	}
}

func write(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }
}

// writeAfter is write after a time.
func writeAfter(body string, after time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(after):
			_, _ = w.Write([]byte(body))
		case <-r.Context().Done():
		}
	}
}

// cut closes the connection.
func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against callers who wait until the route's timeout for a response that does not come.
func TestOverdueRequestIsSentToASecondUpstream(t *testing.T) {
	left := make(chan struct{})
	u := newOverdueUpstreams()
	u.first, u.second = hang(left), write("second")
	v := startOverdue(t, u, "/get/", nil)
	if r := v.request(t, http.MethodGet, "/get/special", "special", ""); r.status != http.StatusOK || r.body != "second" {
		t.Errorf("got %+v, want the response of the second upstream", r)
	}
	select {
	case <-left:
	case <-time.After(2 * time.Second):
		t.Error("the first upstream still works")
	}
	if f := v.Figures(time.Now()); f.SecondSends < 1 || f.SecondSendsWon < 1 {
		t.Errorf("%d second sends counted, %d won", f.SecondSends, f.SecondSendsWon)
	}
	eventually(t, "both attempts are logged", func() bool {
		won, overdue := false, false
		for _, l := range v.trace(t, "special") {
			won = won || l.Event == "RequestSentTwice" && l.Get("SecondWon") == "true"
			overdue = overdue || l.Event == "UpstreamFailed" && l.Get("Reason") == "Overdue"
		}
		return won && overdue
	})
}

// Guards against two responses to one request: the first upstream responds after the request was
// sent to a second one, and before that one does.
func TestFirstResponseStillWins(t *testing.T) {
	u := newOverdueUpstreams()
	u.first, u.second = u.onceSentTwice(write("first")), hang(make(chan struct{}))
	v := startOverdue(t, u, "/get/", nil)
	if r := v.request(t, http.MethodGet, "/get/special", "special", ""); r.status != http.StatusOK || r.body != "first" {
		t.Errorf("got %+v, want the response of the first upstream", r)
	}
	if n := u.runs(); n != 2 {
		t.Errorf("ran %d times, want 2", n)
	}
}

// Guards against a second run of a request that must not have one.
func TestRequestsThatAreNotSentTwice(t *testing.T) {
	for _, tc := range []struct {
		name, path string
		change     func(*settings.Entry)
	}{
		{"not idempotent", "/post/", nil},
		{"one attempt", "/once/", nil},
		{"off", "/get/", func(cfg *settings.Entry) { cfg.Load.SecondSends = settings.Off }},
		{"upstreams report no pace", "/get/", func(cfg *settings.Entry) { cfg.Load.SecondSends = settings.Auto }},
		{"no retry budget", "/get/", func(cfg *settings.Entry) { cfg.RetryRatio = 0 }},
		{"retry budget used up", "/get/", func(cfg *settings.Entry) { cfg.RetryRatio, cfg.RetryExtra = 0.001, 0 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			u := newOverdueUpstreams()
			u.first, u.second = writeAfter("first", 500*time.Millisecond), write("second")
			v := startOverdue(t, u, tc.path, tc.change)
			if r := v.request(t, http.MethodGet, tc.path+"special", "special", ""); r.status != http.StatusOK || r.body != "first" {
				t.Errorf("got %+v, want the response of the first upstream", r)
			}
			if n := u.runs(); n != 1 {
				t.Errorf("ran %d times, want once", n)
			}
		})
	}
}

// Guards against a failure being told as a refusal, or a third send, where both upstreams break
// off.
func TestBothUpstreamsOfAnOverdueRequestFail(t *testing.T) {
	u := newOverdueUpstreams()
	u.first, u.second = u.onceSentTwice(cut), cut
	v := startOverdue(t, u, "/get/", nil)
	if r := v.request(t, http.MethodGet, "/get/special", "special", ""); r.status != http.StatusBadGateway {
		t.Errorf("got %+v, want 502", r)
	}
	if n := u.runs(); n != 2 {
		t.Errorf("ran %d times, want 2", n)
	}
}

// Guards against giving up the first upstream because the second one refuses or fails.
func TestFirstIsAwaitedIfTheSecondFails(t *testing.T) {
	for name, second := range map[string]http.HandlerFunc{
		"fails": cut,
		"error": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"refuses": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := newOverdueUpstreams()
			u.first, u.second = u.onceSentTwice(write("first")), second
			v := startOverdue(t, u, "/get/", nil)
			if r := v.request(t, http.MethodGet, "/get/special", "special", ""); r.status != http.StatusOK || r.body != "first" {
				t.Errorf("got %+v, want the response of the first upstream", r)
			}
		})
	}
}
