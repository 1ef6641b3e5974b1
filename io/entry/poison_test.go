package entry_test

import (
	"context"
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

// Most upstreams of a service end one after the other, and most of its callers are
// refused. One caller's look-up ends each upstream that begins to run it; it breaks off,
// so it is sent to the next, and it comes again under new IDs at all VMs, to each of
// which it is a look-up like any other. Callers whose requests were under way at an
// upstream that ended have to be served all the same.
func TestPoisonRequestIsStopped(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
	vms := poisonFleet(t, p, 4)
	var wg sync.WaitGroup
	var mu sync.Mutex
	asked, served := 0, 0
	for i := range 120 {
		wg.Go(func() {
			<-time.After(time.Duration(i) * 25 * time.Millisecond)
			ok := vms[i%len(vms)].served(fmt.Sprint("/get/", i), fmt.Sprint("innocent", i))
			mu.Lock()
			defer mu.Unlock()
			asked++
			if ok {
				served++
			}
		})
	}
	storm(vms, 0, 4*time.Second)
	wg.Wait()
	if served != asked {
		t.Errorf("%d of %d callers of other requests were never served", asked-served, asked)
	}
	h.mustStop("at the VMs that saw it")
	if _, ended, _ := h.reached(); ended < 3 {
		t.Fatalf("%d upstreams ended under the request, so this test says nothing", ended)
	}
	late := startVM(t, "late", p, func(cfg *settings.Entry) { cfg.Seeds = []string{vms[0].cfg.PeerAddr} })
	ready(t, late)
	storm([]*runningVM{late}, 1000, time.Second)
	h.mustStop("at a VM that has started since")
}

// A look-up has ended three upstreams; then all VMs lose power at once. To those that
// start in their place it is a request like any other, and it ends three more.
func TestPoisonRequestIsKnownAfterTheLossOfAllVMs(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
	vms := poisonFleet(t, p, 3)
	storm(vms, 0, 2*time.Second)
	for _, v := range vms {
		v.stop()
		<-v.done
	}
	vms = poisonFleet(t, p, 3)
	storm(vms, 1000, 2*time.Second)
	h.mustStop("after all VMs had started anew")
}

// isolated is a platform that names no VM the others, as where availability zones are
// cut off from each other.
type isolated struct{ *fakePlatform }

func (isolated) Announce(context.Context, string, string) error { return nil }
func (isolated) VMs(context.Context) ([]string, error)          { return nil, nil }

// Availability zones are cut off from each other; each reaches the platform and all
// upstreams. What the VMs of one know of a request reaches the others by the platform
// alone.
func TestPoisonRequestIsKnownAcrossACut(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
	a := startVM(t, "a", isolated{p}, nil)
	b := startVM(t, "b", isolated{p}, func(cfg *settings.Entry) { cfg.Zone = "y" })
	ready(t, a)
	ready(t, b)
	<-time.After(time.Second) // Neither hears the other.
	storm([]*runningVM{a}, 0, 2*time.Second)
	storm([]*runningVM{b}, 1000, 2*time.Second)
	h.mustStop("at a VM that only reaches the platform")
}

// The platform is away while a look-up ends upstreams. The VMs tell each other; one that
// starts meanwhile hears of it from them, and the platform is told when it is back, or
// the loss of all VMs would be the loss of what they knew.
func TestPoisonRequestIsKnownWhileThePlatformIsAway(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
	vms := poisonFleet(t, p, 3)
	p.setAway(true)
	storm(vms, 0, 2*time.Second)
	late := startVM(t, "late", p, func(cfg *settings.Entry) { cfg.Seeds = []string{vms[0].cfg.PeerAddr} })
	ready(t, late)
	storm([]*runningVM{late}, 1000, time.Second)
	h.mustStop("while the platform is away")
	p.setAway(false)
	<-time.After(2 * time.Second)
	for _, v := range append(vms, late) {
		v.stop()
		<-v.done
	}
	storm(poisonFleet(t, p, 2), 2000, 2*time.Second)
	h.mustStop("after the platform was back and all VMs had started anew")
}

// The look-up comes in a burst, so that all upstreams have ended under it before any VM
// can know. It comes again when they are back.
func TestPoisonRequestThatComesInABurstIsStopped(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
	vms := poisonFleet(t, p, 3)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() { vms[i%len(vms)].ask(poisonPath, fmt.Sprint("burst", i)) })
		<-time.After(2 * time.Millisecond)
	}
	wg.Wait()
	<-time.After(time.Second) // All are back.
	storm(vms, 1000, 3*time.Second)
	h.mustStop("after a burst")
	if _, ended, _ := h.reached(); ended < 3 {
		t.Fatalf("%d upstreams ended under the request, so this test says nothing", ended)
	}
}

// A burst ends all upstreams at once. While nobody sends the request again a VM starts, and
// knows the bans, of which there are none yet: what the others only suspect was news to it,
// and it tried the request as if it came for the first time.
func TestPoisonRequestIsSuspectedByVMsThatStartLater(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
	vms := poisonFleet(t, p, 2)
	for i := range 40 {
		go vms[i%len(vms)].ask(poisonPath, fmt.Sprint("burst", i))
	}
	<-time.After(time.Second)
	before, ended, _ := h.reached()
	if ended < 3 {
		t.Fatalf("%d upstreams ended under the request, so this test says nothing", ended)
	}
	late := startVM(t, "late", p, func(cfg *settings.Entry) { cfg.Seeds = []string{vms[0].cfg.PeerAddr} })
	ready(t, late)
	eventually(t, "it knows the others", func() bool { return late.Figures(time.Now()).LiveVMs == 3 })
	<-time.After(time.Second)
	for i := range 20 {
		go late.ask(poisonPath, fmt.Sprint("again", i)) // At the same moment: suspected, it is tried once.
	}
	<-time.After(200 * time.Millisecond)
	if after, _, _ := h.reached(); len(after)-len(before) > 1 {
		t.Errorf("a VM that started later sent the request on %d times at once, want one trial", len(after)-len(before))
	}
}

// Guards against a request that is cleared by the answers which its upstreams give as they
// end.
func TestPoisonRequestThatIsAnsweredIsStopped(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
	h.answerEvery = 2
	vms := poisonFleet(t, p, 3)
	storm(vms, 0, 5*time.Second)
	h.mustStop("answered every second time")
	if _, ended, _ := h.reached(); ended < 3 {
		t.Fatalf("%d upstreams ended under the request, so this test says nothing", ended)
	}
}

// Guards against a request that each upstream answers before it ends, so that all but the
// cause is suspected.
func TestPoisonRequestThatIsAlwaysAnsweredIsStopped(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
	h.answerEvery = 1
	vms := poisonFleet(t, p, 3)
	var wg sync.WaitGroup
	for i := range 600 {
		wg.Go(func() {
			<-time.After(time.Duration(i) * 8 * time.Millisecond)
			vms[i%len(vms)].served(fmt.Sprint("/get/", i), fmt.Sprint("innocent", i))
		})
	}
	storm(vms, 0, 5*time.Second)
	wg.Wait()
	h.mustStop("answered each time")
	if _, ended, _ := h.reached(); ended < 3 {
		t.Fatalf("%d upstreams ended under the request, so this test says nothing", ended)
	}
}

// Sixteen callers ask for one look-up all the time, so it is under way at every upstream
// that ends, and a burst of another ends them all at once: both look like the cause of
// all ends. The one that all ask for was banned, and the other went on.
func TestPopularRequestIsNotBannedForAnother(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
	vms := poisonFleet(t, p, 3)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				vms[n%len(vms)].ask("/get/popular", fmt.Sprint("popular", i, "-", n))
			}
		})
	}
	for range 3 {
		storm(vms, 0, 300*time.Millisecond)
		<-time.After(time.Second) // All are back.
	}
	storm(vms, 2000, 2*time.Second)
	stop()
	wg.Wait()
	if _, ended, _ := h.reached(); ended < 3 {
		t.Fatalf("%d upstreams ended under the request, so this test says nothing", ended)
	}
	for _, v := range vms {
		if n := v.Figures(time.Now()).Poison.Bans; n != 1 {
			t.Errorf("%s bans %d requests, want the one that ends upstreams alone", v.cfg.Name, n)
		}
		if !v.served("/get/popular", "after"+v.cfg.Name) {
			t.Errorf("%s does not serve the look-up that all ask for", v.cfg.Name)
		}
	}
	h.mustStop("in bursts beside a popular one")
}

// A look-up has its upstreams fall silent, as a host does that loses power: no connection
// tells of it, callers wait until their time is over, and another incarnation has the
// address by then.
func TestPoisonRequestIsStoppedWhereUpstreamsFallSilent(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
	h.silent = true
	vms := poisonFleet(t, p, 3)
	storm(vms, 0, 5*time.Second)
	began, ended, _ := h.reached()
	if ended < 3 {
		t.Fatalf("%d upstreams fell silent, so this test says nothing", ended)
	}
	late := 0
	for _, at := range began {
		if at.After(h.ended[2].Add(2*time.Second + tellWithin)) { // The route's time limit, twice.
			late++
		}
	}
	t.Logf("reached upstreams %d times, %d late, %d fell silent", len(began), late, ended)
	if late > sentAfterwards {
		t.Errorf("sent to upstreams %d times after all VMs had to know, %d fell silent in all", late, ended)
	}
}

// Connections break off while the upstream lives, as where answers are lost: nothing may
// be held against the requests that were under way.
func TestPoisonIsNotSuspectedWhereOnlyConnectionsEnd(t *testing.T) {
	p := poisonPlatform()
	var mu sync.Mutex
	cuts := 0
	for i := range 4 {
		register(p, fmt.Sprint("i-", i), startUpstream(t, func(_ http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if cuts < 12 {
				cuts++
				panic(http.ErrAbortHandler)
			}
		}).addr())
	}
	v := startVM(t, "a", p, nil)
	ready(t, v)
	if !v.served("/get/1", "cut") {
		t.Error("a request whose connections broke off twelve times was not served by upstreams that live")
	}
	if n := cuts; n < 12 {
		t.Errorf("its connection broke off %d times, so this test says nothing", n)
	}
}

// A look-up ends an upstream, whose address takes connections on. Half a second later
// another incarnation has the address and answers 421 to what is meant for the one before.
// That was taken for an answer of the upstream that had ended: it had outlived the look-up,
// so nothing was held against it, and it went on. Found by the soak, behind paths that
// take connections for upstreams that have ended: no end was ever held against the cause.
func TestAnswerOfAnotherIncarnationClearsNobody(t *testing.T) {
	p := poisonPlatform()
	var reused atomic.Bool
	u := startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if reused.Load() {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		panic(http.ErrAbortHandler) // The connection ends without an answer.
	})
	register(p, "i-1", u.addr())
	v := startVM(t, "a", p, nil)
	ready(t, v)
	v.ask(poisonPath, "poison")
	<-time.After(700 * time.Millisecond)
	reused.Store(true)
	v.ask("/get/other", "other")
	eventually(t, "the end is held against the request under which it came", func() bool {
		return v.Figures(time.Now()).Poison.Suspects == 1
	})
}
