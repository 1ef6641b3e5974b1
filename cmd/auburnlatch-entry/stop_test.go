package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"auburnlatch/platform/standin"
	"auburnlatch/standin/freeport"
)

// daemonEnv is the environment variable that makes the test binary run the daemon.
const daemonEnv = "AUBURNLATCH_ENTRY_TEST_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(daemonEnv) == "" {
		os.Exit(m.Run())
	}
	main()
}

const (
	// stopGrace is the time between SIGTERM and SIGKILL, and stopWork how long each request takes.
	stopGrace = 3 * time.Second
	stopWork  = 2250 * time.Millisecond
	// stopCallers send their next request at once.
	stopCallers = 60
	stopRules   = `{"Version":"00000001","Routes":{"post":{"Hostname":"h","Prefix":"/post/","Kind":"non_idempotent","Timeout":"10s","Slo":"5s","Service":"s","Attempts":2}},` +
		`"Services":{"s":{"ColdPerS":10}},"Limits":{"IdleTimeout":"15s"}}`
)

// stopUpstream records which requests it has run.
type stopUpstream struct {
	mu  sync.Mutex
	ran map[string]bool
}

// ServeHTTP implements http.Handler.
func (u *stopUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if id == "" {
		return // A health check.
	}
	u.mu.Lock()
	u.ran[id] = true
	u.mu.Unlock()
	select {
	case <-time.After(stopWork):
	case <-r.Context().Done():
	}
}

func (u *stopUpstream) hasRun(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}

// sentRequest is a request as its caller saw it.
type sentRequest struct {
	id     string
	sent   time.Time
	status int
	err    error
}

// stopCaller sends requests that must not be repeated one after the other, until one is not served. If
// its connection is closed it opens another one to the same VM, as callers with an old look-up do.
type stopCaller struct {
	url  string
	name int
	list []sentRequest
}

func (c *stopCaller) run() {
	client := http.Client{Transport: &http.Transport{}}
	for n := 0; ; n++ {
		s := sentRequest{id: fmt.Sprintf("%d-%d", c.name, n), sent: time.Now()}
		req, err := http.NewRequest(http.MethodPost, c.url, http.NoBody)
		if err != nil {
			panic(err)
		}
		req.Host = "h"
		req.Header.Set("X-Attempt-Id", s.id)
		req.Header.Set("X-Deadline-Ms", "10000")
		resp, err := client.Do(req)
		s.err = err
		if err == nil {
			_, s.err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			s.status = resp.StatusCode
		}
		c.list = append(c.list, s)
		if s.err != nil || s.status != http.StatusOK {
			return
		}
	}
}

// startDaemon starts the daemon and returns it with the address for callers.
func startDaemon(t *testing.T, upstream string) (*exec.Cmd, string) {
	t.Helper()
	store := standin.NewStore()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	store.Put("op", "config", []byte(stopRules))
	store.Put("servers", "i-1", fmt.Appendf(nil,
		`{"Addr":%q,"Info":{"Service":"s","Version":"v1","Zone":"z","Slots":100},"Status":{"State":"ready","Seq":1,"ColdLeft":"0ms"}}`, upstream))
	var addrs [4]string
	for i := range addrs {
		addr, err := freeport.Addr()
		if err != nil {
			t.Fatal(err)
		}
		addrs[i] = addr
	}
	path := filepath.Join(t.TempDir(), "entry.jsonc")
	text := fmt.Sprintf(`{"Name":"a","Zone":"z","Region":"r","Regions":{"z":"r"},"FrontAddr":%q,"ReadyAddr":%q,"DirectoryAddr":%q,"PeerAddr":%q,
"Platform":{"Addr":%q},"Bounds":{"StopGrace":%q,"RetryRatio":0.2,"RetryWindow":"10s","RetryExtra":5,"Heartbeat":"500ms","LeaveWithin":"2.5s"}}`,
		addrs[0], addrs[1], addrs[2], addrs[3], strings.TrimPrefix(srv.URL, "http://"), stopGrace)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), os.Args[0], "--settings", path)
	// A daemon that is built with the race detector would sleep for a second before it exits.
	cmd.Env = append(os.Environ(), daemonEnv+"=1", "GORACE=atexit_sleep_ms=0")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	for lines := bufio.NewScanner(out); lines.Scan(); {
		if strings.Contains(lines.Text(), "VMStarted") {
			go func() { _, _ = io.Copy(io.Discard, out) }()
			return cmd, addrs[0]
		}
	}
	t.Fatal("the daemon did not start")
	return nil, ""
}

// Guards against requests that a stopping daemon takes and cuts at the end of its grace time: their
// callers lose them, as an upstream has run them and they must not be repeated.
func TestStopOfDaemonLosesNoRequest(t *testing.T) {
	upstream := &stopUpstream{ran: map[string]bool{}}
	srv := httptest.NewServer(upstream)
	defer srv.Close()
	cmd, addr := startDaemon(t, strings.TrimPrefix(srv.URL, "http://"))
	var callers [stopCallers]stopCaller
	var wg sync.WaitGroup
	for i := range callers {
		callers[i] = stopCaller{url: "http://" + addr + "/post/1", name: i}
		wg.Go(callers[i].run)
		<-time.After(stopWork / stopCallers)
	}
	<-time.After(stopWork)
	stopped := time.Now()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	var served, refused, lost, overtaken int
	for i := range callers {
		for _, s := range callers[i].list {
			after := s.sent.Sub(stopped)
			switch {
			case s.status == http.StatusOK && s.err == nil:
				served++
			case s.status == http.StatusServiceUnavailable && !upstream.hasRun(s.id):
				refused++
			case !upstream.hasRun(s.id) && s.err != nil:
				// It crossed the close of its connection, and has not run.
			case after <= 0:
				overtaken++ // It was in flight, and a busy machine was too slow for it.
			default:
				lost++
				t.Logf("sent %v after SIGTERM: status %d, %v", after, s.status, s.err)
			}
		}
	}
	t.Logf("%d requests served, %d refused, %d lost, %d from before the stop cut", served, refused, lost, overtaken)
	if lost > 0 || served < stopCallers || refused == 0 {
		t.Errorf("%d requests served, %d refused, %d lost; want none lost, and others refused", served, refused, lost)
	}
	var exit *exec.ExitError
	if err := cmd.Wait(); errors.As(err, &exit) {
		t.Errorf("the daemon exited with %v", exit)
	}
	if took := time.Since(stopped); took > stopGrace {
		t.Errorf("the daemon took %v to stop, of %v", took, stopGrace)
	}
}
