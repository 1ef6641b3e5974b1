package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"auburnlatch/core/target"
	"auburnlatch/io/entry"
	"auburnlatch/io/settings"
)

// A VM that has just started has no rules. It must not respond with 404: callers take
// that as final and do not retry.
func TestNoNotFoundBeforeRulesAreKnown(t *testing.T) {
	p := newPlatform()
	v := startVM(t, "a", p, nil)
	eventually(t, "the VM responds", func() bool { return v.request(t, http.MethodGet, "/get/1", "1", "").err == nil })
	r := v.request(t, http.MethodGet, "/get/1", "1", "")
	if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" {
		t.Errorf("without rules: %d, Retry-After %q", r.status, r.header.Get("Retry-After"))
	}
	if v.Ready() {
		t.Error("a VM without rules is ready")
	}
	p.set(entry.TableRules, "config", config(1))
	register(p, "i-1", startUpstream(t, func(http.ResponseWriter, *http.Request) {}).addr())
	ready(t, v)
	if r := v.request(t, http.MethodGet, "/nothing/", "1", ""); r.status != http.StatusNotFound {
		t.Errorf("no such route: %d, want 404", r.status)
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	p := newPlatform()
	p.set(entry.TableRules, "config", config(1))
	got := make(chan string, 1)
	u := startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		body := make([]byte, 10)
		n, _ := r.Body.Read(body)
		got <- fmt.Sprint(r.Method, r.RequestURI, r.Host, string(body[:n]), r.Header.Get("X-Other"), r.Header.Get("Expect-Target"))
		w.Header().Set("Stamp", "s1")
		w.WriteHeader(http.StatusTeapot)
		_, _ = w.Write([]byte("answer"))
	})
	register(p, "i-1", u.addr())
	v := startVM(t, "a", p, nil)
	ready(t, v)
	r := v.request(t, http.MethodPost, "/post/a%2Fb?x=1&y=%20", "1", "body")
	if want := "POST/post/a%2Fb?x=1&y=%20hbodyi-1"; <-got != want {
		t.Errorf("the upstream received a request other than %q", want)
	}
	if r.status != http.StatusTeapot || r.body != "answer" || r.header.Get("Stamp") != "s1" {
		t.Errorf("the caller got %d %q %q", r.status, r.body, r.header.Get("Stamp"))
	}
}

// Guards against requests that run twice though their route does not allow it, and against
// failures where a retry is allowed. Cases are by what the first upstream does.
func TestAtMostOnce(t *testing.T) {
	ok := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }
	shed := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	cut := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	short := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = w.Write([]byte("half"))
		panic(http.ErrAbortHandler)
	}
	fails := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	misdirected := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	for _, tc := range []struct {
		name   string
		first  func(http.ResponseWriter, *http.Request)
		path   string
		status int
	}{
		{"refused, then served", shed, "/post/1", http.StatusOK},
		{"another incarnation, then served", misdirected, "/post/1", http.StatusOK},
		{"POST cut off", cut, "/post/1", http.StatusBadGateway},
		{"POST with truncated response", short, "/post/1", http.StatusBadGateway},
		{"POST failed", fails, "/post/1", http.StatusInternalServerError},
		{"GET cut off", cut, "/get/1", http.StatusOK},
		{"GET with truncated response", short, "/get/1", http.StatusOK},
		{"GET failed", fails, "/get/1", http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPlatform()
			p.set(entry.TableRules, "config", config(1))
			// The first upstream that is tried does it, the other one serves.
			turn := make(chan struct{}, 1)
			turn <- struct{}{}
			h := func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-turn:
					tc.first(w, r)
				default:
					ok(w, r)
				}
			}
			a, b := startUpstream(t, h), startUpstream(t, h)
			register(p, "i-1", a.addr())
			register(p, "i-2", b.addr())
			v := startVM(t, "a", p, nil)
			ready(t, v)
			eventually(t, "both upstreams are known", func() bool { return len(v.Figures(time.Now()).GivenUpByReason) == 0 })
			// A VM that does not know the others has no share of the common retry budget, so
			// it has to earn retries first.
			for i := range 5 {
				withoutFault(turn, func() { v.request(t, http.MethodGet, "/get/1", fmt.Sprint("warm", i), "") })
			}
			r := v.request(t, http.MethodPost, tc.path, "once", "body")
			if r.status != tc.status {
				t.Errorf("the caller got %d (%v), want %d", r.status, r.err, tc.status)
			}
			if strings.HasPrefix(tc.path, "/post/") && a.runs("once")+b.runs("once") > 2 {
				t.Errorf("a POST reached upstreams %d times", a.runs("once")+b.runs("once"))
			}
		})
	}
}

// withoutFault runs f with the fault switched off.
func withoutFault(turn chan struct{}, f func()) {
	<-turn
	f()
	turn <- struct{}{}
}

// A request that no upstream may serve must be refused at once with a Retry-After, rather
// than held until its deadline.
func TestRefusedAtOnce(t *testing.T) {
	p := newPlatform()
	p.set(entry.TableRules, "config", config(1))
	register(p, "i-1", startUpstream(t, func(http.ResponseWriter, *http.Request) {}).addr())
	v := startVM(t, "a", p, nil)
	ready(t, v)
	r := v.request(t, http.MethodGet, "/home/1", "1", "") // Its home region has no upstream.
	if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" || r.header.Get("Auburnlatch-Verdict") != "NotRun" {
		t.Errorf("got %d %v", r.status, r.header)
	}
}

// An upstream hangs. At the route's timeout the caller must get a 504, which does not say
// whether the request ran, and the upstream's connection must be closed.
func TestTimeout(t *testing.T) {
	p := newPlatform()
	p.set(entry.TableRules, "config", config(1))
	left := make(chan struct{})
	register(p, "i-1", startUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	}).addr())
	v := startVM(t, "a", p, nil)
	ready(t, v)
	if r := v.request(t, http.MethodGet, "/post/1", "1", ""); r.status != http.StatusGatewayTimeout {
		t.Errorf("got %d, want 504", r.status)
	}
	<-left
}

// When an upstream registers that it drains, or its registration is removed, or its zone is
// evacuated, requests to it must stop within two seconds.
func TestNoRequestsToLeavingUpstream(t *testing.T) {
	for name, leave := range map[string]func(*fakePlatform, string){
		"draining": func(p *fakePlatform, addr string) {
			p.set(entry.TableTargets, "i-1", target.Registration{Service: "s", Addr: addr, Zone: "z", Slots: 4, Draining: true})
		},
		"gone":      func(p *fakePlatform, _ string) { p.remove(entry.TableTargets, "i-1") },
		"evacuated": func(p *fakePlatform, _ string) { p.set(entry.TableRules, "z", struct{}{}) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlatform()
			p.set(entry.TableRules, "config", config(1))
			u := startUpstream(t, func(http.ResponseWriter, *http.Request) {})
			register(p, "i-1", u.addr())
			v := startVM(t, "a", p, nil)
			ready(t, v)
			if r := v.request(t, http.MethodGet, "/get/1", "before", ""); r.status != http.StatusOK {
				t.Fatalf("before: %d", r.status)
			}
			leave(p, u.addr())
			eventually(t, "requests are refused", func() bool {
				return v.request(t, http.MethodGet, "/get/1", "after", "").status == http.StatusServiceUnavailable
			})
		})
	}
}

// The platform refuses one VM and serves its neighbor. Changes by operators must reach the
// first VM through the second, or it goes on with old rules and sends to a zone that is
// being evacuated.
func TestRefusedVMLearnsFromNeighbor(t *testing.T) {
	shared := newPlatform()
	shared.set(entry.TableRules, "config", config(1))
	u := startUpstream(t, func(http.ResponseWriter, *http.Request) {})
	register(shared, "i-1", u.addr())
	a := startVM(t, "a", shared, nil)
	refusing := newPlatform()
	refusing.setUnavailable(true)
	b := startVM(t, "b", refusing, func(cfg *settings.Entry) { cfg.Seeds = []string{a.cfg.PeerAddr} })
	ready(t, b)
	if r := b.request(t, http.MethodGet, "/get/1", "1", ""); r.status != http.StatusOK {
		t.Fatalf("with the neighbor's copies: %d", r.status)
	}
	shared.set(entry.TableRules, "z", struct{}{})
	eventually(t, "the evacuation is known", func() bool {
		return b.request(t, http.MethodGet, "/get/1", "2", "").status == http.StatusServiceUnavailable
	})
	cfg := config(2)
	cfg.Routes = cfg.Routes[1:]
	shared.set(entry.TableRules, "config", cfg)
	eventually(t, "the new version is known", func() bool {
		return b.request(t, http.MethodGet, "/get/1", "3", "").status == http.StatusNotFound
	})
}

// A VM stops while callers' connections are open. A request that arrives while idle
// connections are being closed must still be answered: the caller of a request that is not
// idempotent could not tell whether it ran.
func TestStopAnswersRequestsOnIdleConnections(t *testing.T) {
	p := newPlatform()
	p.set(entry.TableRules, "config", config(1))
	register(p, "i-1", startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		<-time.After(100 * time.Millisecond)
	}).addr())
	v := startVM(t, "a", p, func(cfg *settings.Entry) { cfg.StopGrace = 3 * time.Second })
	ready(t, v)
	conns := make([]net.Conn, 20)
	for i := range conns {
		c, err := net.Dial("tcp", v.cfg.FrontAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns[i] = c
	}
	v.stop()
	answered, unread := 0, 0
	closesAt := time.Now().Add(time.Duration(0.48 * float64(v.cfg.StopGrace)))
	for i, c := range conns {
		// Around the time when idle connections are closed.
		<-time.After(time.Until(closesAt.Add(time.Duration(i-10) * time.Millisecond)))
		if _, err := fmt.Fprintf(c, "GET /get/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\n", i); err != nil {
			unread++
			continue
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			unread++
			continue
		}
		if resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("connection %d: %d, close %v", i, resp.StatusCode, resp.Close)
		}
		resp.Body.Close()
		answered++
	}
	if answered == 0 {
		t.Error("nothing was answered after the stop")
	}
	if err := <-v.done; err != nil {
		t.Errorf("Run: %v", err)
	}
	if ran := int(v.Figures(time.Now()).Requests); ran != answered {
		t.Errorf("%d requests were received and %d answered, %d connections closed unread", ran, answered, unread)
	}
}

func TestLookup(t *testing.T) {
	p := newPlatform()
	p.set(entry.TableRules, "config", config(1))
	register(p, "i-1", "127.0.0.1:1")
	a := startVM(t, "a", p, nil)
	b := startVM(t, "b", p, func(cfg *settings.Entry) { cfg.Zone = "y" })
	far := startVM(t, "c", p, func(cfg *settings.Entry) { cfg.Zone, cfg.Region = "x", "q" })
	names := func(v *runningVM, region string) []string { return v.Lookup(time.Now(), region, "z").Addrs }
	near := []string{a.cfg.FrontAddr, b.cfg.FrontAddr}
	slices.Sort(near)
	eventually(t, "only the region's VMs are returned", func() bool { return slices.Equal(names(a, "r"), near) })
	eventually(t, "another region's VM is returned to its callers", func() bool { return slices.Equal(names(a, "q"), []string{far.cfg.FrontAddr}) })
	b.stop()
	eventually(t, "a leaving VM is not returned", func() bool { return slices.Equal(names(a, "r"), []string{a.cfg.FrontAddr}) })
	if slices.Contains(names(b, "r"), b.cfg.FrontAddr) {
		t.Error("a leaving VM returns itself")
	}
}

// Guards against telling a caller that its request did not run when it may have run at an upstream
// and another one refused it afterwards.
func TestRefusalAfterAnAttemptThatRanIsNotToldAsNotRun(t *testing.T) {
	for name, tc := range map[string]struct {
		first  func(http.ResponseWriter)
		status int
	}{
		"no response":      {func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, http.StatusBadGateway},
		"failure response": {func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }, http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlatform()
			p.set(entry.TableRules, "config", config(1))
			var warm atomic.Bool
			var attempts atomic.Int32
			warm.Store(true)
			h := func(w http.ResponseWriter, _ *http.Request) {
				switch {
				case warm.Load():
				case attempts.Add(1) == 1:
					tc.first(w)
				default:
					w.Header().Set("Not-Run", "1")
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			}
			register(p, "i-1", startUpstream(t, h).addr())
			register(p, "i-2", startUpstream(t, h).addr())
			v := startVM(t, "a", p, nil)
			ready(t, v)
			for i := range 5 { // To earn a retry.
				v.request(t, http.MethodGet, "/get/1", fmt.Sprint("warm", i), "")
			}
			warm.Store(false)
			if r := v.request(t, http.MethodGet, "/get/1", "once", ""); r.status != tc.status || attempts.Load() < 2 {
				t.Errorf("got %d after %d attempts, want %d after 2", r.status, attempts.Load(), tc.status)
			}
		})
	}
}
