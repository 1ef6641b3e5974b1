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
	// poisonPath is the path of the request that ends each upstream that begins to run it.
	poisonPath = "/get/poison"
	// poisonRuns is how long it runs before the upstream ends, and backAfter how long
	// it takes until another incarnation is there.
	poisonRuns = 30 * time.Millisecond
	backAfter  = 300 * time.Millisecond
	// tellWithin is the time after the third end in which all VMs must know.
	tellWithin = time.Second
	// sentAfterwards is how often the request may still be sent once they must.
	sentAfterwards = 3
	// innocentWork is how long other requests take.
	innocentWork = 60 * time.Millisecond
)

// herd is the upstreams of a service, which a request may end.
type herd struct {
	t *testing.T
	p *fakePlatform
	// silent upstreams end as a host does that loses power: no connection ends, and
	// another incarnation is there later at the same address.
	silent bool
	// answerEvery says that each so-manyth run is answered in the moment in which its
	// upstream ends; 0: none.
	answerEvery int

	mu     sync.Mutex
	served int         // Upstreams started so far.
	began  []time.Time // When the poison request reached an upstream.
	ended  []time.Time // When one ended under it.
}

func startHerd(t *testing.T, p *fakePlatform, n int) *herd {
	h := &herd{t: t, p: p}
	for range n {
		h.start()
	}
	return h
}

// start starts one incarnation.
func (h *herd) start() {
	h.mu.Lock()
	h.served++
	id := fmt.Sprint("i-", h.served)
	h.mu.Unlock()
	m := &herdMember{herd: h, id: id}
	a := &address{}
	a.now.Store(m)
	m.server = httptest.NewServer(a)
	h.t.Cleanup(func() { m.server.CloseClientConnections(); m.server.Close() })
	h.p.set(entry.TableTargets, id, target.Registration{Service: "s", Addr: strings.TrimPrefix(m.server.URL, "http://"), Zone: "z", Slots: 4})
}

// reached returns how often the poison request reached an upstream, how many ended, and
// when the third did.
func (h *herd) reached() (began []time.Time, ended int, third time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.ended) > 2 {
		third = h.ended[2]
	}
	return h.began, len(h.ended), third
}

// address is where incarnations listen, one after the other.
type address struct{ now atomic.Pointer[herdMember] }

// ServeHTTP implements http.Handler.
func (a *address) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.now.Load().ServeHTTP(w, r) }

// herdMember is one incarnation.
type herdMember struct {
	herd   *herd
	id     string
	server *httptest.Server
	once   sync.Once
}

// ServeHTTP implements http.Handler.
func (m *herdMember) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if r.URL.Path != poisonPath {
		<-time.After(innocentWork)
		fmt.Fprint(w, m.id)
		return
	}
	m.herd.mu.Lock()
	m.herd.began = append(m.herd.began, time.Now())
	n := len(m.herd.began)
	m.herd.mu.Unlock()
	<-time.After(poisonRuns)
	if m.herd.answerEvery > 0 && n%m.herd.answerEvery == 0 {
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	if m.herd.silent {
		m.once.Do(m.fallSilent)
		<-r.Context().Done()
		return
	}
	m.once.Do(m.end)
}

// fallSilent has the incarnation answer nothing more, and another take its address.
func (m *herdMember) fallSilent() {
	h := m.herd
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = append(h.ended, time.Now())
	h.served++
	next := &herdMember{herd: h, id: fmt.Sprint("i-", h.served), server: m.server}
	time.AfterFunc(backAfter, func() {
		m.server.Config.Handler.(*address).now.Store(next)
		h.p.set(entry.TableTargets, next.id, target.Registration{Service: "s", Addr: strings.TrimPrefix(m.server.URL, "http://"), Zone: "z", Slots: 4})
		h.p.remove(entry.TableTargets, m.id)
	})
}

// end ends the incarnation as a process ends: nobody listens, all connections are
// reset, and its registration lapses later. Another comes in its place.
func (m *herdMember) end() {
	m.herd.mu.Lock()
	m.herd.ended = append(m.herd.ended, time.Now())
	m.herd.mu.Unlock()
	m.server.Listener.Close()
	m.server.CloseClientConnections()
	time.AfterFunc(backAfter, m.herd.start)
	time.AfterFunc(2*backAfter, func() { m.herd.p.remove(entry.TableTargets, m.id) })
}

// ask sends a request of one caller under an ID, and returns what came of it.
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

// storm sends the poison request to the VMs in turn, under new IDs, for a while.
func storm(vms []*runningVM, from int, d time.Duration) {
	var wg sync.WaitGroup
	for i, end := from, time.Now().Add(d); time.Now().Before(end); i++ {
		wg.Go(func() { vms[i%len(vms)].ask(poisonPath, fmt.Sprint("poison", i)) })
		<-time.After(40 * time.Millisecond)
	}
	wg.Wait()
}

// served reports whether a caller is served that comes again as it is told.
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

// mustStop fails where the poison request was sent on for too long.
func (h *herd) mustStop(what string) {
	h.t.Helper()
	began, ended, third := h.reached()
	if ended < 3 {
		return
	}
	late := 0
	for _, at := range began {
		if at.After(third.Add(tellWithin)) {
			late++
		}
	}
	h.t.Logf("%s: reached upstreams %d times, %d later than %v after the third end; %d ended", what, len(began), late, tellWithin, ended)
	if late > sentAfterwards {
		h.t.Errorf("%s: sent to upstreams %d times later than %v after the third had ended, %d ended in all", what, late, tellWithin, ended)
	}
}

// mustHaveEnded ends a test that says nothing, as too few upstreams ended under the request.
func (h *herd) mustHaveEnded() {
	h.t.Helper()
	if _, ended, _ := h.reached(); ended < 3 {
		h.t.Fatalf("%d upstreams ended under the request, so this test says nothing", ended)
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
