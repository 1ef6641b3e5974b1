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

// gate is an upstream that holds each request until it is let go by its path.
type gate struct {
	mu      sync.Mutex
	waiting map[string]chan struct{}
	left    map[string]bool
}

func newGate() *gate { return &gate{waiting: map[string]chan struct{}{}, left: map[string]bool{}} }

func (g *gate) serve(w http.ResponseWriter, r *http.Request) {
	c := make(chan struct{})
	g.mu.Lock()
	g.waiting[r.URL.Path] = c
	g.mu.Unlock()
	select {
	case <-c:
		fmt.Fprint(w, r.URL.Path)
	case <-r.Context().Done():
		g.mu.Lock()
		g.left[r.URL.Path] = true
		g.mu.Unlock()
	}
}

func (g *gate) has(path string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting[path] != nil
}

func (g *gate) wasLeft(path string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.left[path]
}

// open lets a request go once it is there: requests of one connection reach the
// upstream in any order, so that one of them is there says nothing of the others.
func (g *gate) open(t *testing.T, path string) {
	t.Helper()
	eventually(t, path+" reaches an upstream", func() bool { return g.has(path) })
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.waiting[path])
}

// line is a caller's connection on which requests are sent behind one another.
type line struct {
	net.Conn
	r *bufio.Reader
}

func dialLine(t *testing.T, v *runningVM) *line {
	t.Helper()
	c, err := net.Dial("tcp", v.cfg.FrontAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &line{c, bufio.NewReader(c)}
}

// send writes requests in one piece.
func (l *line) send(t *testing.T, requests ...string) {
	t.Helper()
	if _, err := io.WriteString(l, strings.Join(requests, "")); err != nil {
		t.Fatal(err)
	}
}

// answer reads the next answer.
func (l *line) answer(t *testing.T) (status int, body string, closes bool) {
	t.Helper()
	resp, err := http.ReadResponse(l.r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
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

func startGated(t *testing.T, change func(*settings.Entry)) (*runningVM, *gate, *upstreamServer) {
	t.Helper()
	p := newPlatform()
	cfg := config(1)
	for _, r := range cfg.Routes {
		r.Timeout = 30 * time.Second
	}
	p.set(entry.TableRules, "config", cfg)
	g := newGate()
	u := startUpstream(t, g.serve)
	for i := range 4 {
		register(p, fmt.Sprint("i-", i), u.addr())
	}
	v := startVM(t, "a", p, change)
	ready(t, v)
	return v, g, u
}

// A desk asks for four visit histories on one connection. The first takes
// seconds. The others used to wait for it before an upstream heard of them, and
// were late though upstreams idled.
func TestRequestsBehindOneAnotherBeginAtOnce(t *testing.T) {
	for name, send := range map[string]func(*testing.T, *line, []string, *gate){
		"in one piece": func(t *testing.T, l *line, paths []string, _ *gate) {
			var all []string
			for _, p := range paths {
				all = append(all, get(p))
			}
			l.send(t, all...)
		},
		"each once the one before is under way": func(t *testing.T, l *line, paths []string, g *gate) {
			for _, p := range paths {
				l.send(t, get(p))
				eventually(t, p+" reaches an upstream", func() bool { return g.has(p) })
			}
		},
		"cut anywhere": func(t *testing.T, l *line, paths []string, _ *gate) {
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
			l := dialLine(t, v)
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
				status, body, closes := l.answer(t)
				if status != http.StatusOK || closes {
					t.Errorf("got %d %q, close %v", status, body, closes)
				}
				seen[body] = true
			}
			if len(seen) != len(paths) {
				t.Errorf("answers to %v, want one to each of %v", seen, paths)
			}
			for _, p := range paths {
				if n := u.runs(p); n != 1 {
					t.Errorf("%s ran %d times", p, n)
				}
			}
		})
	}
}

// Answers must come in the order of the requests, each its own request's, also
// where the later one is ready long before.
func TestAnswersComeInOrder(t *testing.T) {
	v, g, _ := startGated(t, nil)
	l := dialLine(t, v)
	l.send(t, get("/get/1"), get("/get/2"), "POST /post/3 HTTP/1.1\r\nHost: h\r\nRequest-Id: /post/3\r\nContent-Length: 4\r\n\r\nbody", get("/get/4"), get("/get/5"))
	eventually(t, "the second reaches an upstream", func() bool { return g.has("/get/2") })
	g.open(t, "/get/2")
	if g.has("/post/3") || g.has("/get/4") {
		t.Error("a booking, or what is behind it, was begun before its turn")
	}
	g.open(t, "/get/1")
	for _, p := range []string{"/get/1", "/get/2", "/post/3", "/get/4", "/get/5"} {
		if p != "/get/1" && p != "/get/2" {
			eventually(t, p+" reaches an upstream", func() bool { return g.has(p) })
			g.open(t, p)
		}
		if status, body, _ := l.answer(t); status != http.StatusOK || body != p {
			t.Fatalf("got %d %q, want the answer to %s", status, body, p)
		}
	}
}

// A caller sends four requests behind one another and leaves. All that was begun
// for it must end, or upstreams work on for nobody.
func TestCallerThatLeavesEndsAllItCaused(t *testing.T) {
	v, g, _ := startGated(t, nil)
	l := dialLine(t, v)
	paths := []string{"/get/1", "/get/2", "/get/3", "/get/4"}
	for _, p := range paths {
		l.send(t, get(p))
	}
	for _, p := range paths {
		eventually(t, p+" reaches an upstream", func() bool { return g.has(p) })
	}
	l.Close()
	for _, p := range paths {
		eventually(t, "the upstream hears that the caller of "+p+" left", func() bool { return g.wasLeft(p) })
	}
}

// A VM stops while requests stand behind one another on a connection. Those that
// an upstream has been sent are answered, in order; one that arrives after the
// stop is left unread behind the answer that closes the connection, and never
// reaches an upstream. Passed on after the stop, it would be cut at its end.
func TestStopAnswersWhatWasBegunAndLeavesTheRestUnread(t *testing.T) {
	v, g, u := startGated(t, func(cfg *settings.Entry) { cfg.StopGrace = 5 * time.Second })
	l := dialLine(t, v)
	l.send(t, get("/get/1"), get("/get/2"))
	eventually(t, "both reach an upstream", func() bool { return g.has("/get/1") && g.has("/get/2") })
	v.stop()
	eventually(t, "the VM leaves", func() bool { return !v.Ready() })
	l.send(t, get("/get/3"))
	g.open(t, "/get/1")
	if _, body, closes := l.answer(t); body != "/get/1" || closes {
		t.Errorf("first answer %q, close %v", body, closes)
	}
	g.open(t, "/get/2")
	if _, body, closes := l.answer(t); body != "/get/2" || !closes {
		t.Errorf("second answer %q, close %v, want the last one to close", body, closes)
	}
	if _, err := l.r.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: %v, want the connection to end cleanly", err)
	}
	if n := u.runs("/get/3"); n != 0 {
		t.Errorf("what arrived after the stop ran %d times", n)
	}
	if err := <-v.done; err != nil {
		t.Errorf("Run: %v", err)
	}
}

// A caller says that it closes after a request and sends more all the same. What
// is behind that request is nobody's.
func TestCloseEndsTheLine(t *testing.T) {
	v, g, u := startGated(t, nil)
	l := dialLine(t, v)
	l.send(t, get("/get/1"), get("/get/2", "Connection: close\r\n"), get("/get/3"))
	eventually(t, "the second reaches an upstream", func() bool { return g.has("/get/2") })
	g.open(t, "/get/1")
	g.open(t, "/get/2")
	for _, p := range []string{"/get/1", "/get/2"} {
		if _, body, _ := l.answer(t); body != p {
			t.Errorf("got %q, want the answer to %s", body, p)
		}
	}
	if _, err := l.r.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: %v, want the end", err)
	}
	if u.runs("/get/3") != 0 {
		t.Error("a request behind the end of its line ran")
	}
}

// A caller sends requests without end and reads no answer. It may keep only a few
// under way, and others are served as ever.
func TestLineIsBounded(t *testing.T) {
	v, g, _ := startGated(t, nil)
	l := dialLine(t, v)
	const sent = 40
	for i := range sent {
		l.send(t, get(fmt.Sprint("/get/", i)))
	}
	begun := func() int {
		n := 0
		for i := range sent {
			if g.has(fmt.Sprint("/get/", i)) {
				n++
			}
		}
		return n
	}
	eventually(t, "some are begun", func() bool { return begun() >= 2 })
	other := dialLine(t, v)
	other.send(t, get("/get/other"))
	eventually(t, "another caller's request is begun", func() bool { return g.has("/get/other") })
	if n := begun(); n > 9 {
		t.Errorf("%d requests of one connection are under way at once", n)
	}
	for i := range sent {
		p := fmt.Sprint("/get/", i)
		eventually(t, p+" is begun", func() bool { return g.has(p) })
		g.open(t, p)
		if _, body, _ := l.answer(t); body != p {
			t.Fatalf("got %q, want the answer to %s", body, p)
		}
	}
	g.open(t, "/get/other")
}

// A VM stops. On one connection an answer is ready behind a request that hangs; on
// another a request waits for an upstream that never reads it. Both connections
// used to be cut at the end of the grace time, with an answer in hand or without
// a word. All get a final answer before the process ends.
func TestStopGivesFinalAnswersBeforeItsEnd(t *testing.T) {
	v, g, _ := startGated(t, func(cfg *settings.Entry) { cfg.StopGrace = 2 * time.Second })
	behind, alone := dialLine(t, v), dialLine(t, v)
	behind.send(t, get("/get/hangs"), get("/get/ready"))
	alone.send(t, get("/get/alone"))
	for _, p := range []string{"/get/hangs", "/get/ready", "/get/alone"} {
		eventually(t, p+" reaches an upstream", func() bool { return g.has(p) })
	}
	g.open(t, "/get/ready")
	v.stop()
	if status, _, closes := behind.answer(t); status != http.StatusBadGateway || closes {
		t.Errorf("the request that hangs: %d, close %v, want 502 and the connection open", status, closes)
	}
	if status, body, closes := behind.answer(t); status != http.StatusOK || body != "/get/ready" || !closes {
		t.Errorf("the request behind it: %d %q, close %v", status, body, closes)
	}
	if status, _, closes := alone.answer(t); status != http.StatusBadGateway || !closes {
		t.Errorf("the request alone: %d, close %v, want 502 and the end", status, closes)
	}
	if err := <-v.done; err != nil {
		t.Errorf("Run: %v", err)
	}
}
