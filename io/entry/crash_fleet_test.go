package entry_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"auburnlatch/core/target"
	"auburnlatch/io/entry"
	"auburnlatch/io/settings"
)

const (
	// poisonPath is the path of the request that crashes each upstream that runs it.
	poisonPath = "/get/poison"
	// poisonRuns is how long it runs before the upstream crashes, and restartAfter how long
	// it takes until another incarnation is up.
	poisonRuns   = 30 * time.Millisecond
	restartAfter = 300 * time.Millisecond
	// knownWithin is the time after the third crash within which all VMs must know the
	// poison request.
	knownWithin = time.Second
	// maxSentAfterwards is how often the poison request may still be sent after knownWithin.
	maxSentAfterwards = 3
	// otherDuration is how long other requests take.
	otherDuration = 60 * time.Millisecond
)

// crashFleet is the upstreams of a service, which a poison request may crash.
type crashFleet struct {
	t *testing.T
	p *fakePlatform
	// silent upstreams crash as if their host lost power: no connection is closed, and
	// another incarnation is up later at the same address.
	silent bool
	// answerEvery makes each answerEvery-th run respond just before its upstream
	// crashes; 0 means none.
	answerEvery int

	mu       sync.Mutex
	started  int         // Upstreams started so far.
	arrivals []time.Time // When the poison request reached an upstream.
	crashed  []time.Time // When an upstream crashed under it.
}

func startCrashFleet(t *testing.T, p *fakePlatform, n int) *crashFleet {
	f := &crashFleet{t: t, p: p}
	for range n {
		f.start()
	}
	return f
}

// start starts one incarnation.
func (f *crashFleet) start() {
	f.mu.Lock()
	f.started++
	id := fmt.Sprint("i-", f.started)
	f.mu.Unlock()
	u := &crashingUpstream{fleet: f, id: id}
	a := &address{}
	a.current.Store(u)
	u.server = httptest.NewServer(a)
	f.t.Cleanup(func() { u.server.CloseClientConnections(); u.server.Close() })
	f.p.set(entry.TableTargets, id, target.Registration{Service: "s", Addr: strings.TrimPrefix(u.server.URL, "http://"), Zone: "z", Slots: 4})
}

// reached returns when the poison request reached upstreams, how many crashed, and when
// the third did.
func (f *crashFleet) reached() (sent []time.Time, crashed int, third time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashed) > 2 {
		third = f.crashed[2]
	}
	return f.arrivals, len(f.crashed), third
}

// address is a listener used by several incarnations, one after the other.
type address struct {
	current atomic.Pointer[crashingUpstream]
}

// ServeHTTP implements http.Handler.
func (a *address) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.current.Load().ServeHTTP(w, r) }

// crashingUpstream is one incarnation.
type crashingUpstream struct {
	fleet  *crashFleet
	id     string
	server *httptest.Server
	once   sync.Once
}

// ServeHTTP implements http.Handler.
func (u *crashingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if r.URL.Path != poisonPath {
		<-time.After(otherDuration)
		fmt.Fprint(w, u.id)
		return
	}
	u.fleet.mu.Lock()
	u.fleet.arrivals = append(u.fleet.arrivals, time.Now())
	n := len(u.fleet.arrivals)
	u.fleet.mu.Unlock()
	<-time.After(poisonRuns)
	if u.fleet.answerEvery > 0 && n%u.fleet.answerEvery == 0 {
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	if u.fleet.silent {
		u.once.Do(u.fallSilent)
		<-r.Context().Done()
		return
	}
	u.once.Do(u.crash)
}

// fallSilent stops the incarnation's responses, and lets another take its address.
func (u *crashingUpstream) fallSilent() {
	f := u.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed = append(f.crashed, time.Now())
	f.started++
	next := &crashingUpstream{fleet: f, id: fmt.Sprint("i-", f.started), server: u.server}
	time.AfterFunc(restartAfter, func() {
		u.server.Config.Handler.(*address).current.Store(next)
		f.p.set(entry.TableTargets, next.id, target.Registration{Service: "s", Addr: strings.TrimPrefix(u.server.URL, "http://"), Zone: "z", Slots: 4})
		f.p.remove(entry.TableTargets, u.id)
	})
}

// crash ends the incarnation like a process: its listener is closed, all connections are
// reset, and its registration lapses later. Another one replaces it.
func (u *crashingUpstream) crash() {
	u.fleet.mu.Lock()
	u.fleet.crashed = append(u.fleet.crashed, time.Now())
	u.fleet.mu.Unlock()
	u.server.Listener.Close()
	u.server.CloseClientConnections()
	time.AfterFunc(restartAfter, u.fleet.start)
	time.AfterFunc(2*restartAfter, func() { u.fleet.p.remove(entry.TableTargets, u.id) })
}

// ask sends a request of one caller with an ID, and returns the result.
func (v *runningVM) ask(path, id string) reply {
	req, err := http.NewRequest(http.MethodGet, "http://"+v.cfg.FrontAddr+path, nil)
	if err != nil {
		return reply{err: err}
	}
	req.Host = "h"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Object", "o")
	req.Header.Set("Caller", "c")
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return reply{err: err}
	}
	resp.Body.Close()
	return reply{status: resp.StatusCode, header: resp.Header}
}

// floodPoison sends the poison request to the VMs in turn, with new IDs, for a duration.
func floodPoison(vms []*runningVM, from int, d time.Duration) {
	var wg sync.WaitGroup
	for i, end := from, time.Now().Add(d); time.Now().Before(end); i++ {
		wg.Go(func() { vms[i%len(vms)].ask(poisonPath, fmt.Sprint("poison", i)) })
		<-time.After(40 * time.Millisecond)
	}
	wg.Wait()
}

// served reports whether a request is served within 20 tries, each after the last one's
// Retry-After but at most 0.3 s later.
func (v *runningVM) served(path, id string) bool {
	for try := range 20 {
		r := v.ask(path, fmt.Sprint(id, "-", try))
		if r.status == http.StatusOK {
			return true
		}
		wait := 50 * time.Millisecond
		if s, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64); err == nil {
			wait = time.Duration(min(s, 0.3) * float64(time.Second))
		}
		<-time.After(wait)
	}
	return false
}

// requireStopped fails if the poison request was sent on for too long.
func (f *crashFleet) requireStopped(what string) {
	f.t.Helper()
	sent, crashed, third := f.reached()
	if crashed < 3 {
		return
	}
	late := 0
	for _, at := range sent {
		if at.After(third.Add(knownWithin)) {
			late++
		}
	}
	f.t.Logf("%s: reached upstreams %d times, %d later than %v after the third crash; %d crashed", what, len(sent), late, knownWithin, crashed)
	if late > maxSentAfterwards {
		f.t.Errorf("%s: sent to upstreams %d times later than %v after the third crash, %d crashed in all", what, late, knownWithin, crashed)
	}
}

// requireCrashes aborts a test that is inconclusive, as too few upstreams crashed.
func (f *crashFleet) requireCrashes() {
	f.t.Helper()
	if _, crashed, _ := f.reached(); crashed < 3 {
		f.t.Fatalf("%d upstreams crashed under the request, so this test is inconclusive", crashed)
	}
}

// poisonFleet starts VMs in three availability zones of two regions.
func poisonFleet(t *testing.T, p entry.Platform, n int) []*runningVM {
	t.Helper()
	var vms []*runningVM
	zones, regions := []string{"z", "y", "x"}, []string{"r", "r", "q"}
	for i := range n {
		vms = append(vms, startVM(t, fmt.Sprint("vm", i), p, func(cfg *settings.Entry) {
			cfg.Zone, cfg.Region = zones[i%len(zones)], regions[i%len(zones)]
			if i > 0 {
				cfg.Seeds = []string{vms[0].cfg.PeerAddr}
			}
		}))
	}
	for _, v := range vms {
		ready(t, v)
		eventually(t, "the VMs know each other", func() bool { return v.Figures(time.Now()).LiveVMs == n })
	}
	return vms
}

func poisonPlatform() *fakePlatform {
	p := newPlatform()
	p.set(entry.TableRules, "config", config(1))
	return p
}
