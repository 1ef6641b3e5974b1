package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"auburnlatch/io/entry"
	"auburnlatch/io/settings"
)

// gatedUpstream is an upstream that holds each request until the path is released.
type gatedUpstream struct {
	mu       sync.Mutex
	waiting  map[string]chan struct{}
	canceled map[string]bool
}

func newGatedUpstream() *gatedUpstream {
	return &gatedUpstream{waiting: map[string]chan struct{}{}, canceled: map[string]bool{}}
}

func (g *gatedUpstream) serve(w http.ResponseWriter, r *http.Request) {
	c := make(chan struct{})
	g.mu.Lock()
	g.waiting[r.URL.Path] = c
	g.mu.Unlock()
	select {
	case <-c:
		fmt.Fprint(w, r.URL.Path)
	case <-r.Context().Done():
		g.mu.Lock()
		g.canceled[r.URL.Path] = true
		g.mu.Unlock()
	}
}

func (g *gatedUpstream) has(path string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting[path] != nil
}

func (g *gatedUpstream) wasCanceled(path string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.canceled[path]
}

// open releases a request once it has arrived. Requests of one connection reach the
// upstream in any order, so the arrival of one says nothing about the others.
func (g *gatedUpstream) open(t *testing.T, path string) {
	t.Helper()
	eventually(t, path+" reaches an upstream", func() bool { return g.has(path) })
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.waiting[path])
}

// pipelineConn is a caller's connection on which requests are pipelined.
type pipelineConn struct {
	net.Conn
	r *bufio.Reader
}

func dialPipeline(t *testing.T, v *runningVM) *pipelineConn {
	t.Helper()
	c, err := net.Dial("tcp", v.cfg.FrontAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &pipelineConn{c, bufio.NewReader(c)}
}

// send writes requests with one call.
func (c *pipelineConn) send(t *testing.T, requests ...string) {
	t.Helper()
	if _, err := io.WriteString(c, strings.Join(requests, "")); err != nil {
		t.Fatal(err)
	}
}

// response reads the next response.
func (c *pipelineConn) response(t *testing.T) (status int, body string, closes bool) {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data), resp.Close
}

func get(path string, fields ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + path + "\r\nObject: " + path + "\r\n" + strings.Join(fields, "") + "\r\n"
}

func startGated(t *testing.T, change func(*settings.Entry)) (*runningVM, *gatedUpstream, *upstreamServer) {
	t.Helper()
	p := newPlatform()
	cfg := config(1)
	for _, r := range cfg.Routes {
		r.Timeout = 30 * time.Second
	}
	p.set(entry.TableRules, "config", cfg)
	g := newGatedUpstream()
	u := startUpstream(t, g.serve)
	for i := range 4 {
		register(p, fmt.Sprint("i-", i), u.addr())
	}
	v := startVM(t, "a", p, change)
	ready(t, v)
	return v, g, u
}

// Pipelined requests must be processed at once. If each waited for the ones before it,
// requests behind one that takes seconds would be late although upstreams are idle.
func TestPipelinedRequestsStartAtOnce(t *testing.T) {
	for name, send := range map[string]func(*testing.T, *pipelineConn, []string, *gatedUpstream){
		"in one piece": func(t *testing.T, l *pipelineConn, paths []string, _ *gatedUpstream) {
			var all []string
			for _, p := range paths {
				all = append(all, get(p))
			}
			l.send(t, all...)
		},
		"each once the one before is in flight": func(t *testing.T, l *pipelineConn, paths []string, g *gatedUpstream) {
			for _, p := range paths {
				l.send(t, get(p))
				eventually(t, p+" reaches an upstream", func() bool { return g.has(p) })
			}
		},
		"byte by byte": func(t *testing.T, l *pipelineConn, paths []string, _ *gatedUpstream) {
			var all strings.Builder
			for _, p := range paths {
				all.WriteString(get(p))
			}
			for _, b := range []byte(all.String()) {
				if _, err := l.Write([]byte{b}); err != nil {
					t.Fatal(err)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			v, g, u := startGated(t, nil)
			l := dialPipeline(t, v)
			paths := []string{"/get/1", "/get/2", "/get/3", "/get/4"}
			send(t, l, paths, g)
			for _, p := range paths {
				eventually(t, p+" reaches an upstream", func() bool { return g.has(p) })
			}
			for i := range paths {
				g.open(t, paths[len(paths)-1-i]) // The last one is ready first.
			}
			seen := map[string]bool{}
			for range paths {
				status, body, closes := l.response(t)
				if status != http.StatusOK || closes {
					t.Errorf("got %d %q, close %v", status, body, closes)
				}
				seen[body] = true
			}
			if len(seen) != len(paths) {
				t.Errorf("responses to %v, want one to each of %v", seen, paths)
			}
			for _, p := range paths {
				if n := u.runs(p); n != 1 {
					t.Errorf("%s ran %d times", p, n)
				}
			}
		})
	}
}

// Responses must come in the order of the requests, each to its own request, even if a
// later one is ready long before.
func TestPipelinedResponsesAreInOrder(t *testing.T) {
	v, g, _ := startGated(t, nil)
	l := dialPipeline(t, v)
	l.send(t, get("/get/1"), get("/get/2"), "POST /post/3 HTTP/1.1\r\nHost: h\r\nRequest-Id: /post/3\r\nContent-Length: 4\r\n\r\nbody", get("/get/4"), get("/get/5"))
	eventually(t, "the second reaches an upstream", func() bool { return g.has("/get/2") })
	g.open(t, "/get/2")
	if g.has("/post/3") || g.has("/get/4") {
		t.Error("a POST, or a request behind it, was started before its turn")
	}
	g.open(t, "/get/1")
	for _, p := range []string{"/get/1", "/get/2", "/post/3", "/get/4", "/get/5"} {
		if p != "/get/1" && p != "/get/2" {
			eventually(t, p+" reaches an upstream", func() bool { return g.has(p) })
			g.open(t, p)
		}
		if status, body, _ := l.response(t); status != http.StatusOK || body != p {
			t.Fatalf("got %d %q, want the response to %s", status, body, p)
		}
	}
}

// A caller pipelines four requests and closes the connection. All requests must be
// canceled, or upstreams work for nobody.
func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	v, g, _ := startGated(t, nil)
	l := dialPipeline(t, v)
	paths := []string{"/get/1", "/get/2", "/get/3", "/get/4"}
	for _, p := range paths {
		l.send(t, get(p))
	}
	for _, p := range paths {
		eventually(t, p+" reaches an upstream", func() bool { return g.has(p) })
	}
	l.Close()
	for _, p := range paths {
		eventually(t, "the upstream's request for "+p+" is canceled", func() bool { return g.wasCanceled(p) })
	}
}

// A VM stops while requests are pipelined on a connection. Those that were sent to an
// upstream are answered in order. One that arrives after the stop is left unread behind
// the response that closes the connection and never reaches an upstream: if it were
// forwarded after the stop, it would be cut at the end of the grace time.
func TestStopAnswersStartedRequestsOnly(t *testing.T) {
	v, g, u := startGated(t, func(cfg *settings.Entry) { cfg.StopGrace = 5 * time.Second })
	l := dialPipeline(t, v)
	l.send(t, get("/get/1"), get("/get/2"))
	eventually(t, "both reach an upstream", func() bool { return g.has("/get/1") && g.has("/get/2") })
	v.stop()
	eventually(t, "the VM is leaving", func() bool { return !v.Ready() })
	l.send(t, get("/get/3"))
	g.open(t, "/get/1")
	if _, body, closes := l.response(t); body != "/get/1" || closes {
		t.Errorf("first response %q, close %v", body, closes)
	}
	g.open(t, "/get/2")
	if _, body, closes := l.response(t); body != "/get/2" || !closes {
		t.Errorf("second response %q, close %v, want the last one to close", body, closes)
	}
	if _, err := l.r.ReadByte(); err != io.EOF {
		t.Errorf("after the last response: %v, want the connection to end cleanly", err)
	}
	if n := u.runs("/get/3"); n != 0 {
		t.Errorf("the request that arrived after the stop ran %d times", n)
	}
	if err := <-v.done; err != nil {
		t.Errorf("Run: %v", err)
	}
}

// A caller sends "Connection: close" with a request, and more requests behind it. The
// later requests must not run.
func TestNothingRunsAfterConnectionClose(t *testing.T) {
	v, g, u := startGated(t, nil)
	l := dialPipeline(t, v)
	l.send(t, get("/get/1"), get("/get/2", "Connection: close\r\n"), get("/get/3"))
	eventually(t, "the second reaches an upstream", func() bool { return g.has("/get/2") })
	g.open(t, "/get/1")
	g.open(t, "/get/2")
	for _, p := range []string{"/get/1", "/get/2"} {
		if _, body, _ := l.response(t); body != p {
			t.Errorf("got %q, want the response to %s", body, p)
		}
	}
	if _, err := l.r.ReadByte(); err != io.EOF {
		t.Errorf("after the last response: %v, want io.EOF", err)
	}
	if u.runs("/get/3") != 0 {
		t.Error("a request behind one with Connection: close ran")
	}
}

// A caller pipelines requests without end and reads no response. Only a few of them may be
// in flight, and other callers must still be served.
func TestPipeliningIsBounded(t *testing.T) {
	v, g, _ := startGated(t, nil)
	l := dialPipeline(t, v)
	const sent = 40
	for i := range sent {
		l.send(t, get(fmt.Sprint("/get/", i)))
	}
	started := func() int {
		n := 0
		for i := range sent {
			if g.has(fmt.Sprint("/get/", i)) {
				n++
			}
		}
		return n
	}
	eventually(t, "some are started", func() bool { return started() >= 2 })
	other := dialPipeline(t, v)
	other.send(t, get("/get/other"))
	eventually(t, "another caller's request is started", func() bool { return g.has("/get/other") })
	if n := started(); n > 9 {
		t.Errorf("%d requests of one connection are in flight at once", n)
	}
	for i := range sent {
		p := fmt.Sprint("/get/", i)
		eventually(t, p+" is started", func() bool { return g.has(p) })
		g.open(t, p)
		if _, body, _ := l.response(t); body != p {
			t.Fatalf("got %q, want the response to %s", body, p)
		}
	}
	g.open(t, "/get/other")
}

// A VM stops. On one connection a response is ready behind a request that hangs; on
// another a request waits for an upstream that never responds. Both must get final
// responses before the process ends, rather than a cut connection at the end of the
// grace time.
func TestStopGivesFinalResponses(t *testing.T) {
	v, g, _ := startGated(t, func(cfg *settings.Entry) { cfg.StopGrace = 2 * time.Second })
	behind, alone := dialPipeline(t, v), dialPipeline(t, v)
	behind.send(t, get("/get/hangs"), get("/get/ready"))
	alone.send(t, get("/get/alone"))
	for _, p := range []string{"/get/hangs", "/get/ready", "/get/alone"} {
		eventually(t, p+" reaches an upstream", func() bool { return g.has(p) })
	}
	g.open(t, "/get/ready")
	v.stop()
	if status, _, closes := behind.response(t); status != http.StatusBadGateway || closes {
		t.Errorf("the request that hangs: %d, close %v, want 502 and the connection open", status, closes)
	}
	if status, body, closes := behind.response(t); status != http.StatusOK || body != "/get/ready" || !closes {
		t.Errorf("the request behind it: %d %q, close %v", status, body, closes)
	}
	if status, _, closes := alone.response(t); status != http.StatusBadGateway || !closes {
		t.Errorf("the request alone: %d, close %v, want 502 and the end", status, closes)
	}
	if err := <-v.done; err != nil {
		t.Errorf("Run: %v", err)
	}
}
