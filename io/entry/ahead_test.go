package entry_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"auburnlatch/io/entry"
)

// brokenAhead breaks off the response to /get/long once the requests behind it have run.
type brokenAhead struct {
	behind sync.WaitGroup
	whole  bool // The response is not broken off.
	bytes  int  // Of it.
}

// ServeHTTP implements http.Handler.
func (u *brokenAhead) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/get/long" {
		_, _ = w.Write([]byte(r.URL.Path))
		u.behind.Done()
		return
	}
	_, _ = w.Write(make([]byte, u.bytes/2))
	_ = http.NewResponseController(w).Flush()
	u.behind.Wait()
	if !u.whole {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(make([]byte, u.bytes-u.bytes/2))
}

// Guards against pipelined requests that upstreams have run and whose callers get no response, as
// a long one ahead of them is broken off.
func TestRequestsBehindBrokenResponseAreAnswered(t *testing.T) {
	for _, tc := range []struct {
		name   string
		whole  bool
		bytes  int
		status int
	}{
		{"broken off", false, 2 * earlyBytes, http.StatusBadGateway},
		{"whole", true, 2 * earlyBytes, http.StatusOK},
		{"whole, beyond all room", true, 20 << 20, http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPlatform()
			cfg := config(1)
			for _, r := range cfg.Routes {
				r.Timeout, r.Attempts = 30*time.Second, 1
			}
			p.set(entry.TableRules, "config", cfg)
			u := &brokenAhead{whole: tc.whole, bytes: tc.bytes}
			u.behind.Add(2)
			addr := startUpstream(t, u.ServeHTTP).addr()
			for _, id := range []string{"i-1", "i-2", "i-3"} {
				register(p, id, addr)
			}
			v := startVM(t, "a", p, nil)
			ready(t, v)
			c := dialPipeline(t, v)
			c.send(t, get("/get/long"), get("/get/1"), get("/get/2"))
			status, body, closes := c.response(t)
			if status != tc.status || closes || status == http.StatusOK && len(body) != tc.bytes {
				t.Errorf("status %d, %d bytes, closes: %v", status, len(body), closes)
			}
			for _, path := range []string{"/get/1", "/get/2"} {
				if status, body, _ := c.response(t); status != http.StatusOK || !strings.HasPrefix(body, path) {
					t.Errorf("%s: status %d, %q", path, status, body)
				}
			}
		})
	}
}
