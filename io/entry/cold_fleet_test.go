package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"auburnlatch/core/route"
	"auburnlatch/core/target"
	"auburnlatch/io/entry"
	"auburnlatch/io/settings"
)

const (
	// coldPerSecond is how many requests a second a cold upstream sustains, and coldBound how
	// many may arrive within any second.
	coldPerSecond = 10
	coldBound     = 1.5*coldPerSecond + 5
	// coldTime is how long an upstream is cold after its start.
	coldTime = 3 * time.Second
	// coldLoad is the number of requests that each VM is sent a second. It is several times what
	// all cold upstreams together sustain.
	coldLoad = 60
)

// coldUpstream is an upstream that can start again under its ID and at its address.
type coldUpstream struct {
	id, addr string
	platform *fakePlatform

	mu        sync.Mutex
	srv       *http.Server
	born      int64
	coldUntil time.Time
	// arrivals are the requests that it received while it was cold, and checks counts the health
	// checks.
	arrivals []time.Time
	checks   int
	ran      int
}

// start starts a process that is cold for a time. It is not registered yet.
func (u *coldUpstream) start(t *testing.T, cold time.Duration) {
	t.Helper()
	l, err := net.Listen("tcp", u.addr)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	u.mu.Lock()
	u.addr = l.Addr().String()
	u.srv, u.born, u.coldUntil = &http.Server{Handler: u}, now.UnixMilli(), now.Add(cold)
	srv := u.srv
	u.mu.Unlock()
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
}

// restart ends the process and starts a cold one after a time.
func (u *coldUpstream) restart(t *testing.T, after time.Duration) {
	t.Helper()
	u.stop()
	<-time.After(after)
	u.start(t, coldTime)
}

// stop ends the process.
func (u *coldUpstream) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.srv.Close()
}

// register writes the upstream's row as of now.
func (u *coldUpstream) register() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.platform.set(entry.TableTargets, u.id, target.Registration{
		Service: "s", Addr: u.addr, Zone: "z", Slots: 64, Born: u.born, ColdLeft: max(0, time.Until(u.coldUntil)),
	})
}

// ServeHTTP implements http.Handler.
func (u *coldUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	now := time.Now()
	cold := u.coldUntil.Sub(now)
	check := r.URL.Path == "/health"
	switch {
	case check:
		u.checks++
	case cold > 0:
		u.arrivals = append(u.arrivals, now)
		u.ran++
	default:
		u.ran++
	}
	u.mu.Unlock()
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if check {
		w.Header().Set("Instance-Id", u.id)
		if cold > 0 {
			w.Header().Set("Cold-Ms", strconv.FormatInt(cold.Milliseconds()+1, 10))
		}
	}
}

// mostPerSecond returns the most requests that arrived within a second while it was cold.
func (u *coldUpstream) mostPerSecond() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	most, from := 0, 0
	for i := range u.arrivals {
		for u.arrivals[i].Sub(u.arrivals[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// coldFleet is a fleet of VMs with callers, and upstreams that turn cold.
type coldFleet struct {
	t         *testing.T
	platform  *fakePlatform
	upstreams []*coldUpstream
	vms       []*runningVM
	callers   sync.WaitGroup

	mu sync.Mutex
	// asked counts the requests to which a VM responded, and served those that an upstream ran.
	asked, served int
}

func newColdFleet(t *testing.T, vms, upstreams int) *coldFleet {
	f := &coldFleet{t: t, platform: newPlatform()}
	cfg := config(1)
	cfg.Services = []*route.Service{{Name: "s", HealthPath: "/health", ColdFor: coldTime, ColdPerSecond: coldPerSecond}}
	f.platform.set(entry.TableRules, "config", cfg)
	for i := range upstreams {
		u := &coldUpstream{id: fmt.Sprint("i-", i), addr: "127.0.0.1:0", platform: f.platform}
		u.start(t, 0)
		u.register()
		f.upstreams = append(f.upstreams, u)
	}
	for range vms {
		f.startVM(len(f.vms))
	}
	f.awaitMembers()
	return f
}

// startVM starts the VM of an index, at an address of its own.
func (f *coldFleet) startVM(i int) {
	f.t.Helper()
	v := startVM(f.t, fmt.Sprint("vm", i), f.platform, func(cfg *settings.Entry) {
		if i > 0 {
			cfg.Seeds = []string{f.vms[0].cfg.PeerAddr}
		}
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	if i < len(f.vms) {
		f.vms[i] = v
		return
	}
	f.vms = append(f.vms, v)
}

// restartVMs ends all VMs and starts them anew.
func (f *coldFleet) restartVMs() {
	f.t.Helper()
	for _, v := range f.vms {
		v.stop()
	}
	for i, v := range f.vms {
		<-v.done
		f.startVM(i)
	}
	for _, v := range f.vms {
		ready(f.t, v)
	}
}

func (f *coldFleet) awaitMembers() {
	f.t.Helper()
	for _, v := range f.vms {
		ready(f.t, v)
		eventually(f.t, "the VMs know each other", func() bool { return v.Figures(time.Now()).LiveVMs == len(f.vms) })
	}
}

// call sends coldLoad requests a second to each VM, until the returned function is called.
func (f *coldFleet) call() (stop func()) {
	done := make(chan struct{})
	for i := range f.vms {
		for c := range 4 {
			f.callers.Go(func() {
				tick := time.NewTicker(4 * time.Second / coldLoad)
				defer tick.Stop()
				for n := 0; ; n++ {
					select {
					case <-done:
						return
					case <-tick.C:
					}
					id := fmt.Sprint("r", i, c, n, time.Now().UnixNano())
					f.mu.Lock()
					v := f.vms[i]
					f.mu.Unlock()
					r := v.request(f.t, http.MethodGet, "/get/1", id, "")
					f.mu.Lock()
					if r.err == nil {
						f.asked++
					}
					if r.status == http.StatusOK {
						f.served++
					}
					f.mu.Unlock()
				}
			})
		}
	}
	return func() { close(done); f.callers.Wait() }
}

// Guards against VMs that take an upstream for warm by what they knew before it started.
func TestColdUpstreamIsNotFlooded(t *testing.T) {
	t.Parallel()
	const vms, upstreams, restarted = 5, 6, 2
	for _, tc := range []struct {
		name string
		play func(f *coldFleet, cold []*coldUpstream)
	}{
		{"the platform is away", func(f *coldFleet, cold []*coldUpstream) {
			f.platform.setUnavailable(true)
			<-time.After(3 * time.Second)
			restartAll(f.t, cold, 50*time.Millisecond)
		}},
		{"the platform has just gone away", func(f *coldFleet, cold []*coldUpstream) {
			f.platform.setUnavailable(true)
			<-time.After(100 * time.Millisecond)
			restartAll(f.t, cold, 300*time.Millisecond)
		}},
		{"the registration comes later", func(f *coldFleet, cold []*coldUpstream) {
			restartAll(f.t, cold, 50*time.Millisecond)
			<-time.After(900 * time.Millisecond)
			registerAll(cold)
		}},
		{"the platform is back and has old registrations", func(f *coldFleet, cold []*coldUpstream) {
			f.platform.setUnavailable(true)
			<-time.After(3 * time.Second)
			restartAll(f.t, cold, 50*time.Millisecond)
			f.platform.setUnavailable(false)
			<-time.After(900 * time.Millisecond)
			registerAll(cold)
		}},
		{"all VMs start by old registrations", func(f *coldFleet, cold []*coldUpstream) {
			for _, u := range cold {
				u.stop()
			}
			f.restartVMs()
			for _, u := range cold {
				u.start(f.t, coldTime)
			}
			<-time.After(900 * time.Millisecond)
			registerAll(cold)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newColdFleet(t, vms, upstreams)
			stop := f.call()
			<-time.After(5 * time.Second) // All take their part of the allowance.
			cold := f.upstreams[:restarted]
			tc.play(f, cold)
			<-time.After(coldTime)
			stop()
			f.requireBound(cold)
		})
	}
}

func restartAll(t *testing.T, list []*coldUpstream, after time.Duration) {
	t.Helper()
	var wg sync.WaitGroup
	for _, u := range list {
		wg.Go(func() { u.restart(t, after) })
	}
	wg.Wait()
}

func registerAll(list []*coldUpstream) {
	for _, u := range list {
		u.register()
	}
}

// requireBound fails if a cold upstream got more requests in a second than it bears, or if the
// fleet did not serve with the others.
func (f *coldFleet) requireBound(cold []*coldUpstream) {
	f.t.Helper()
	for _, u := range f.upstreams {
		n, checks := u.mostPerSecond(), u.checkCount()
		f.t.Logf("%s: at most %d requests in a second while cold, %d checks", u.id, n, checks)
		if slices.Contains(cold, u) && float64(n) > coldBound {
			f.t.Errorf("%s, which was cold, got %d requests in a second, at most %v allowed", u.id, n, coldBound)
		}
	}
	f.t.Logf("%d of %d requests served", f.served, f.asked)
	if f.served < f.asked*4/5 {
		f.t.Errorf("%d of %d requests served, though most upstreams are warm", f.served, f.asked)
	}
}

func (u *coldUpstream) checkCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.checks
}
