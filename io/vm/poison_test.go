package vm

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// poisonPath is the path of the poison request, which crashes each upstream that
	// runs it.
	poisonPath = "/istoric/poison"
	// crashDelay is how long the request runs until the upstream crashes, and
	// restartDelay how long the upstream then takes to restart.
	crashDelay   = 30 * time.Millisecond
	restartDelay = 400 * time.Millisecond
	// banWithin is the time after the third crash within which all VMs must ban the
	// request, and maxLateRuns how often it may reach upstreams after that.
	banWithin   = 2 * time.Second
	maxLateRuns = 3
)

// crashingUpstreams are upstreams that the poison request crashes. They restart at the
// same addresses.
type crashingUpstreams struct {
	t *testing.T

	mu      sync.Mutex
	began   []time.Time // Of the poison request's runs.
	crashed []time.Time
	stopped bool // No upstream restarts any more.
}

// crashingUpstream is the process of one of them, from its start to its crash.
type crashingUpstream struct {
	all     *crashingUpstreams
	handler http.Handler
	addr    string
	srv     *http.Server
	crashes sync.Once
}

// start starts the process of an upstream at addr and returns its address.
func (m *crashingUpstreams) start(addr string, h http.Handler) string {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		m.t.Errorf("start upstream: %v", err)
		return ""
	}
	u := &crashingUpstream{all: m, handler: h, addr: l.Addr().String()}
	u.srv = &http.Server{Handler: u}
	go u.srv.Serve(l)
	m.t.Cleanup(func() { u.srv.Close() })
	return u.addr
}

// ServeHTTP implements http.Handler.
func (u *crashingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/poison" {
		u.handler.ServeHTTP(w, r)
		return
	}
	u.all.mu.Lock()
	u.all.began = append(u.all.began, time.Now())
	u.all.mu.Unlock()
	<-time.After(crashDelay)
	u.crashes.Do(u.crash)
}

// crash stops the process and restarts the upstream after restartDelay.
func (u *crashingUpstream) crash() {
	m := u.all
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = append(m.crashed, time.Now())
	u.srv.Close()
	time.AfterFunc(restartDelay, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if !m.stopped {
			m.start(u.addr, u.handler)
		}
	})
}

// A request crashes each upstream that runs it, is retried at others, and is repeated by its
// caller through all VMs of two zones. Soon after the third crash all VMs must refuse it,
// while other callers are served.
func TestPoisonRequestIsBannedInAllZones(t *testing.T) {
	f := newFleet(t, "a", "b")
	m := &crashingUpstreams{t: t}
	for _, target := range f.inv.Targets {
		target.Addr = m.start("127.0.0.1:0", f.upstreams[target.Name])
	}
	f.startServing(vmSpec{"a1", "a"}, vmSpec{"a2", "a"}, vmSpec{"b1", "b"})
	var wg sync.WaitGroup
	var mu sync.Mutex
	served := 0
	names := []string{"a1", "a2", "b1"}
	const callers = 100
	for i := range callers {
		wg.Go(func() {
			<-time.After(time.Duration(i) * 50 * time.Millisecond)
			for try := range 40 {
				resp, _ := f.get(f.vms[names[(i+try)%len(names)]], fmt.Sprint("/istoric/x", i))
				if resp != nil && resp.StatusCode == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
					return
				}
				<-time.After(100 * time.Millisecond)
			}
		})
	}
	for i, end := 0, time.Now().Add(6*time.Second); time.Now().Before(end); i++ {
		wg.Go(func() { f.get(f.vms[names[i%len(names)]], poisonPath) })
		<-time.After(60 * time.Millisecond)
	}
	wg.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	if served != callers {
		t.Errorf("%d of %d callers of other requests were not served", callers-served, callers)
	}
	if len(m.crashed) < 3 {
		t.Fatalf("the request crashed %d upstreams, want at least 3 for this test to be meaningful", len(m.crashed))
	}
	late := 0
	for _, at := range m.began {
		if at.After(m.crashed[2].Add(banWithin)) {
			late++
		}
	}
	t.Logf("reached upstreams %d times, %d of them later than %v after the third crash; %d crashes", len(m.began), late, banWithin, len(m.crashed))
	if late > maxLateRuns {
		t.Errorf("reached upstreams %d times later than %v after the third crash, with %d crashes in all", late, banWithin, len(m.crashed))
	}
}
