package entry_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// pausingUpstream refuses all requests with a Retry-After until serve is called.
type pausingUpstream struct {
	*upstreamServer
	mu      sync.Mutex
	after   string
	pause   time.Duration
	until   map[string]time.Time // By VM, the end of the pause.
	since   map[string]time.Time // By VM, half a second after the pause began.
	early   map[string]int       // By VM, the requests within its pauses.
	arrived int
}

func startPausing(t *testing.T, after string, pause time.Duration) *pausingUpstream {
	u := &pausingUpstream{after: after, pause: pause, until: map[string]time.Time{}, since: map[string]time.Time{}, early: map[string]int{}}
	u.upstreamServer = startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		vm, _, _ := strings.Cut(r.Header.Get("Request-Id"), "/")
		now := time.Now()
		u.mu.Lock()
		defer u.mu.Unlock()
		u.arrived++
		if now.After(u.since[vm]) && now.Before(u.until[vm]) {
			u.early[vm]++
		}
		if u.after == "" {
			return
		}
		if now.After(u.until[vm]) {
			u.since[vm] = now.Add(500 * time.Millisecond)
		}
		u.until[vm] = now.Add(u.pause)
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Retry-After", u.after)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	return u
}

func (u *pausingUpstream) serve() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.after = ""
}

func (u *pausingUpstream) seen() (early, arrived int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, n := range u.early {
		early = max(early, n)
	}
	return early, u.arrived
}

// Guards against requests to an upstream that has asked for a pause with Retry-After.
func TestNoRequestsDuringRetryAfter(t *testing.T) {
	p := newPlatform()
	p.set("Rules", "config", config(1))
	u := startPausing(t, "2", 2*time.Second)
	register(p, "pauses", u.addr())
	other := startUpstream(t, func(http.ResponseWriter, *http.Request) {})
	register(p, "serves", other.addr())
	_, stop := callTwoVMs(t, p)
	defer stop()
	<-time.After(5 * time.Second)
	if early, arrived := u.seen(); early > 2 || arrived == 0 {
		t.Errorf("a VM sent %d requests within pauses, 2 are allowed in each; %d arrived in all", early, arrived)
	}
	u.serve()
	eventually(t, "it gets its part of the requests again", func() bool {
		_, before := u.seen()
		<-time.After(time.Second)
		_, after := u.seen()
		return after-before > 20
	})
}

// Guards against a Retry-After that ends before every upstream's pause does.
func TestRetryAfterOfAllUpstreamsPausing(t *testing.T) {
	p := newPlatform()
	p.set("Rules", "config", config(1))
	for _, u := range []struct {
		name, after string
	}{{"long", "5"}, {"short", "2"}} {
		register(p, u.name, startPausing(t, u.after, time.Second).addr())
	}
	v := startVM(t, "a", p, nil)
	ready(t, v)
	v.request(t, http.MethodGet, "/get/", "a/1", "") // Is refused by both.
	began := time.Now()
	r := v.request(t, http.MethodGet, "/get/", "a/2", "")
	if r.status != http.StatusServiceUnavailable || r.header.Get("Auburnlatch-Verdict") != "NotRun" {
		t.Errorf("%d %v", r.status, r.header)
	}
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
	if after := r.header.Get("Retry-After"); after < "1." || after > "3." {
		t.Errorf("Retry-After %s, want about 2", after)
	}
}
