package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"auburnlatch/core/route"
	"auburnlatch/io/settings"
)

// limitedUpstream is an upstream that sets a limit and records its requests.
type limitedUpstream struct {
	*upstreamServer
	limit atomic.Pointer[string]

	mu       sync.Mutex
	notified map[string]time.Time // By VM, the time of its first response with the limit.
	arrivals []arrival
}

type arrival struct {
	at time.Time
	vm string
}

// startLimited starts one. Request IDs must begin with the name of their VM and a slash.
func startLimited(t *testing.T) *limitedUpstream {
	u := &limitedUpstream{notified: make(map[string]time.Time)}
	u.upstreamServer = startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		vm, _, _ := strings.Cut(r.Header.Get("Request-Id"), "/")
		now := time.Now()
		u.mu.Lock()
		defer u.mu.Unlock()
		u.arrivals = append(u.arrivals, arrival{now, vm})
		limit := u.limit.Load()
		if limit == nil {
			clear(u.notified)
			return
		}
		if u.notified[vm].IsZero() {
			u.notified[vm] = now
		}
		w.Header().Set("Limit", *limit)
	})
	return u
}

// worst returns the most requests in any window, among those that VMs sent half a second or
// more after their first response with the limit, and the number of all requests after since.
func (u *limitedUpstream) worst(window time.Duration, since time.Time) (worst, all int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var bound []time.Time
	for _, a := range u.arrivals {
		if a.at.Before(since) {
			continue
		}
		all++
		if first := u.notified[a.vm]; !first.IsZero() && a.at.Sub(first) >= 500*time.Millisecond {
			bound = append(bound, a.at)
		}
	}
	for i, from := range bound {
		n := 0
		for _, at := range bound[i:] {
			if at.Sub(from) <= window {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst, all
}

// callVMs sends requests to each VM at a rate until ctx ends.
func callVMs(ctx context.Context, t *testing.T, vms []*runningVM, every time.Duration) *sync.WaitGroup {
	var callers sync.WaitGroup
	for i, v := range vms {
		callers.Go(func() {
			tick := time.NewTicker(every)
			defer tick.Stop()
			for n := 0; ; n++ {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				callers.Go(func() { v.object(t, fmt.Sprintf("%s/%d", v.cfg.Name, n), strconv.Itoa((n+i)%24)) })
			}
		})
	}
	return &callers
}

// callTwoVMs starts two VMs, "a" and "b", and sends requests to both until stop is called.
func callTwoVMs(t *testing.T, p *fakePlatform) (vms []*runningVM, stop func()) {
	t.Helper()
	a := startVM(t, "a", p, nil)
	b := startVM(t, "b", p, func(cfg *settings.Entry) { cfg.Seeds = []string{a.cfg.PeerAddr} })
	ready(t, a)
	ready(t, b)
	vms = []*runningVM{a, b}
	ctx, cancel := context.WithCancel(t.Context())
	callers := callVMs(ctx, t, vms, 25*time.Millisecond)
	return vms, func() { cancel(); callers.Wait() }
}

// object requests an object and returns the status, or 0 if there was no response.
func (v *runningVM) object(t *testing.T, id, object string) int {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+v.cfg.FrontAddr+"/get/", nil)
	if err != nil {
		return 0
	}
	req.Host = "h"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Object", object)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// startThrottled starts VMs, an upstream that can set a limit and three that set none.
func startThrottled(t *testing.T, n int) (*limitedUpstream, []*runningVM) {
	p := newPlatform()
	cfg := config(1)
	for _, r := range cfg.Routes {
		r.Kind, r.Sticky = route.Idempotent, true
	}
	p.set("Rules", "config", cfg)
	limited := startLimited(t)
	register(p, "limited", limited.addr())
	for i := range 3 {
		u := startUpstream(t, func(http.ResponseWriter, *http.Request) {})
		register(p, fmt.Sprint("other", i), u.addr())
	}
	var vms []*runningVM
	var seeds []string
	for i := range n {
		v := startVM(t, fmt.Sprint("vm", i), p, func(cfg *settings.Entry) { cfg.Seeds = seeds })
		ready(t, v)
		seeds = append(seeds, v.cfg.PeerAddr)
		vms = append(vms, v)
	}
	eventually(t, "all VMs know each other", func() bool {
		for _, v := range vms {
			if v.Figures(time.Now()).LiveVMs != n {
				return false
			}
		}
		return true
	})
	return limited, vms
}

// Guards against VMs that together exceed an upstream's limit several times.
func TestUpstreamLimitHoldsOverAllVMs(t *testing.T) {
	const limit, window = 5.0, 4 * time.Second
	u, vms := startThrottled(t, 6)
	ctx, stop := context.WithCancel(t.Context())
	callers := callVMs(ctx, t, vms, 50*time.Millisecond)
	defer callers.Wait()
	defer stop()
	<-time.After(4 * time.Second) // VMs that have just started take no share of common budgets.
	text := fmt.Sprint(limit)
	u.limit.Store(&text)
	since := time.Now()
	<-time.After(2 * window)
	worst, all := u.worst(window, since)
	if allowed := int(1.5*limit*window.Seconds() + 5); worst > allowed {
		t.Errorf("%d requests in %v, %d allowed", worst, window, allowed)
	}
	if least := int(limit * (2 * window).Seconds() / 2); all < least {
		t.Errorf("%d requests in %v, less than half of the limit", all, 2*window)
	}

	u.limit.Store(nil)
	<-time.After(window)
	since = time.Now()
	<-time.After(window)
	if _, all := u.worst(window, since); all < int(3*limit*window.Seconds()) {
		t.Errorf("%d requests in %v after the limit was removed", all, window)
	}
}
