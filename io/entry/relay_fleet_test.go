package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"auburnlatch/core/member"
	"auburnlatch/core/route"
	"auburnlatch/core/target"
	"auburnlatch/io/entry"
	"auburnlatch/io/settings"
)

// Guards against requests that go from VM to VM, and against ones that wait where nobody can serve
// them.
func TestRequestNobodyCanServeIsRefusedAtOnce(t *testing.T) {
	f := newCutFleet(t)
	f.start(3)
	f.cut(0, 1, 2)
	<-time.After(time.Second) // All VMs know of all.
	for i := range f.vms {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			began := time.Now()
			id := fmt.Sprint("all", i, method)
			f.requireRefused("all VMs are cut off", id, f.ask(i, method, "/get/1", id, nil, nil), time.Since(began))
		}
		relayed := f.vms[i].Figures(time.Now()).Relayed
		began := time.Now()
		r := f.ask(i, http.MethodGet, "/get/1", "again", nil, map[string]string{"Auburnlatch-Relay": "First", "Auburnlatch-Rules": "1"})
		f.requireRefused("a request that was relayed before", "again", r, time.Since(began))
		if n := f.vms[i].Figures(time.Now()).Relayed - relayed; n > 0 {
			t.Errorf("%d requests were relayed again", n)
		}
	}
	f.links[1].set(linksUp)
	eventually(t, "requests are served again", func() bool { return f.ask(0, http.MethodGet, "/get/1", "back", nil, nil).status == http.StatusOK })
}

// Guards against bodies that leave the regions in which they may be.
func TestBodiesAreRelayedWithinTheirHomes(t *testing.T) {
	f := newCutFleet(t)
	f.start(1)
	other := func(cfg *settings.Entry) { cfg.Zone, cfg.Region = "w", "p" }
	f.change = other
	f.startVM(linksUp) // Neither in the home nor in the caller's region.
	f.awaitMembers(2)
	f.cut(0)
	if r := f.ask(0, http.MethodGet, "/home/1", "read", nil, nil); r.status != http.StatusOK || f.runsIn("x", "read") != 1 {
		t.Errorf("a request without a body: %d, ran %d times in its home", r.status, f.runsIn("x", "read"))
	}
	began := time.Now()
	f.requireRefused("no VM may have the body", "body", f.ask(0, http.MethodPut, "/home/1", "body", strings.NewReader("body"), nil), time.Since(began))
	f.change = func(cfg *settings.Entry) { cfg.Zone, cfg.Region = "x", "q" }
	f.startVM(linksUp)
	f.awaitMembers(3)
	eventually(t, "a VM in the home region serves it", func() bool {
		return f.ask(0, http.MethodPut, "/home/1", "home", strings.NewReader("body"), nil).status == http.StatusOK
	})
}

// Guards against VMs that are sent more than they can carry when others are cut off.
func TestRelayedRequestsStayWithinWhatVMsCarry(t *testing.T) {
	f := newCutFleet(t)
	const carries, sent = 40, 120 // Requests per second.
	f.start(1)
	f.change = func(cfg *settings.Entry) { cfg.Capacity = member.Capacity{LinkMbps: 1000, Cores: carries * 250e-6} }
	f.startVM(linksUp)
	f.awaitMembers(2)
	f.cut(0)
	var wg sync.WaitGroup
	const warmUp, span = 3 * time.Second, 3 * time.Second
	began := time.Now()
	for i := 0; time.Since(began) < warmUp+span; i++ {
		id := fmt.Sprint("warm", i)
		if time.Since(began) > warmUp {
			id = fmt.Sprint("load", i)
		}
		wg.Go(func() { f.ask(0, http.MethodGet, "/get/1", id, nil, nil) })
		<-time.After(time.Second / sent)
	}
	wg.Wait()
	if runs, _ := f.total("load"); float64(runs) > 1.5*carries*span.Seconds() || runs == 0 {
		t.Errorf("%d requests in %v were relayed to a VM that carries %d a second", runs, span, carries)
	}
}

// Guards against dead upstreams that pass for lost links.
func TestDeadUpstreamsAreNoCut(t *testing.T) {
	for name, dead := range map[string]func(i int) bool{
		"two of three zones":                func(i int) bool { return i%3 > 0 },
		"all of a service, but for another": func(i int) bool { return i < 9 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newCutFleet(t)
			u := startUpstream(t, func(http.ResponseWriter, *http.Request) {})
			f.platform.set(entry.TableTargets, "other", target.Registration{Service: "t", Addr: u.addr(), Zone: "x", Slots: 16})
			f.start(3)
			for i, u := range f.upstreams {
				if dead(i) {
					u.Listener.Close()
					u.CloseClientConnections()
				}
			}
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
				for i, v := range f.vms {
					f.ask(i, http.MethodGet, "/get/1", "dead", nil, nil)
					if v.Figures(time.Now()).CutOff {
						t.Fatalf("%s takes itself for cut off", v.cfg.Name)
					}
				}
			}
		})
	}
}

// Guards against callers that are sent to a VM that reaches no upstream while others do, and
// against a region without any VM.
func TestLookupOmitsVMThatReachesNoUpstream(t *testing.T) {
	f := newCutFleet(t)
	f.start(3)
	named := func(vm int) []string { return f.vms[vm].Lookup(time.Now(), "r", "z").Addrs }
	f.cut(0)
	eventually(t, "all VMs name the one that reaches upstreams", func() bool {
		for i := range f.vms {
			if addrs := named(i); len(addrs) != 1 || addrs[0] != f.vms[1].cfg.FrontAddr {
				return false
			}
		}
		return true
	})
	f.cut(1)
	eventually(t, "both are named when neither does", func() bool { return len(named(2)) == 2 })
	f.links[0].set(linksUp)
	f.links[1].set(linksUp)
	eventually(t, "both are named", func() bool { return len(named(0)) == 2 && len(named(2)) == 2 })
}

// Guards against a relayed request that is handled by older rules than its VM has had in force.
func TestRelayedRequestWaitsForNewRules(t *testing.T) {
	f := newCutFleet(t)
	f.start(2)
	h := func(version string) map[string]string {
		return map[string]string{"Auburnlatch-Relay": "First", "Auburnlatch-Rules": version}
	}
	if r := f.ask(1, http.MethodGet, "/get/1", "present", nil, h("1")); r.status != http.StatusOK || r.header.Get("Auburnlatch-Rules") != "1" {
		t.Errorf("by the present rules: %d, version %q", r.status, r.header.Get("Auburnlatch-Rules"))
	}
	began := time.Now()
	f.requireRefused("by rules that it lacks", "future", f.ask(1, http.MethodGet, "/get/1", "future", nil, h("2")), time.Since(began))
	time.AfterFunc(100*time.Millisecond, func() { f.platform.set(entry.TableRules, "config", cutConfig(2)) })
	if r := f.ask(1, http.MethodGet, "/get/1", "soon", nil, h("2")); r.status != http.StatusOK && r.status != http.StatusServiceUnavailable {
		t.Errorf("by rules that arrive: %d", r.status)
	}
	eventually(t, "the new rules are in force", func() bool {
		r := f.ask(1, http.MethodGet, "/get/1", "new", nil, h("2"))
		return r.status == http.StatusOK && r.header.Get("Auburnlatch-Rules") == "2"
	})
}

// Guards against a stop that cuts off relayed requests, and pipelined ones that lose their order.
func TestStoppingCutOffVMAnswersItsRequests(t *testing.T) {
	f := newCutFleet(t)
	release := make(chan struct{})
	f.handle = func(w http.ResponseWriter, r *http.Request) bool {
		if strings.HasPrefix(r.URL.Path, "/get/held") {
			<-release
			fmt.Fprint(w, r.URL.Path)
			return true
		}
		return false
	}
	f.change = func(cfg *settings.Entry) { cfg.StopGrace = 3 * time.Second }
	f.start(2)
	f.cut(0)
	c := dialPipeline(t, f.vms[0])
	for i := range 3 {
		fmt.Fprintf(c, "GET /get/held%d HTTP/1.1\r\nHost: h\r\nRequest-Id: held%d\r\n\r\n", i, i)
	}
	eventually(t, "all are at upstreams", func() bool { n, _ := f.total("held"); return n == 3 })
	f.vms[0].stop()
	<-time.After(200 * time.Millisecond)
	close(release)
	for i := range 3 {
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		body, err := io.ReadAll(resp.Body)
		if want := fmt.Sprint("/get/held", i); err != nil || resp.StatusCode != http.StatusOK || string(body) != want {
			t.Errorf("response %d: %d %q (%v), want %q", i, resp.StatusCode, body, err, want)
		}
	}
}

// Guards against a cold upstream that gets more requests because some are relayed.
func TestRelayedRequestsLeaveColdUpstreamsTheirAllowance(t *testing.T) {
	const perSecond = 2
	f := newCutFleet(t)
	cfg := cutConfig(1)
	cfg.Services = []*route.Service{{Name: "s", ColdPerSecond: perSecond}}
	f.platform.set(entry.TableRules, "config", cfg)
	var mu sync.Mutex
	var arrived []time.Time
	f.onRequest = func(r *http.Request) {
		if strings.HasPrefix(r.Header.Get("Request-Id"), "cold") {
			mu.Lock()
			defer mu.Unlock()
			arrived = append(arrived, time.Now())
		}
	}
	f.start(3)
	f.cut(0)
	for i := range f.upstreams {
		reg := target.Registration{Service: "s", Addr: f.upstreams[i].addr(), Zone: zones[i%len(zones)].zone, Slots: 16, Draining: i > 0}
		if i == 0 {
			reg.ColdLeft = time.Minute
		}
		f.platform.set(entry.TableTargets, fmt.Sprint("i-", i), reg)
	}
	<-time.After(3 * time.Second)
	for i, end := 0, time.Now().Add(4*time.Second); time.Now().Before(end); i++ {
		f.ask(i%len(f.vms), http.MethodGet, "/get/1", fmt.Sprint("cold", i), nil, nil)
	}
	mu.Lock()
	defer mu.Unlock()
	for i, at := range arrived {
		n := 0
		for _, other := range arrived[i:] {
			if other.Sub(at) < time.Second {
				n++
			}
		}
		if n > perSecond {
			t.Fatalf("%d requests in a second at a cold upstream, want at most %d", n, perSecond)
		}
	}
	if len(arrived) == 0 {
		t.Error("the cold upstream got no request")
	}
}
