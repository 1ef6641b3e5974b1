package balance_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/internal/eventqueue"
	"auburnlatch/core/target"
	"auburnlatch/core/throttle"
	"auburnlatch/core/verdict"
)

// limitSim simulates VMs and the upstreams of one service in three regions.
type limitSim struct {
	rng      *rand.Rand
	now      time.Duration
	queue    eventqueue.Queue
	vms      []*limitVM
	targets  []*target.Target
	limits   map[string]*float64
	arrivals map[string][]arrival
	refused  int
	requests int
}

// limitVM is one VM. Each restart starts a new process.
type limitVM struct {
	name, region string
	*balance.Balancer
	process     int
	frozenUntil time.Duration            // It does not run before.
	exemptUntil time.Duration            // Not bound by limits before, due to a restart or a freeze.
	limitSeen   map[string]time.Duration // When this process first received each target's limit.
}

type arrival struct {
	at time.Duration
	// bound means that the VM received the limit at least 500 ms earlier and is not exempt.
	bound bool
}

var threeRegions = []string{"north", "mid", "south"}

func newLimitSim(seed uint64, vms, targets int) *limitSim {
	f := &limitSim{rng: rand.New(rand.NewPCG(seed, 1)), limits: make(map[string]*float64), arrivals: make(map[string][]arrival)}
	for i := range targets {
		region := threeRegions[i%3]
		f.targets = append(f.targets, &target.Target{ID: fmt.Sprint("t", i), Service: "s", Region: region, Zone: region, Slots: 4, Usable: true})
	}
	for i := range vms {
		v := &limitVM{name: fmt.Sprint("vm", i), region: threeRegions[i%3]}
		f.vms = append(f.vms, v)
		f.boot(v)
		v.SetSynced()
	}
	for _, v := range f.vms {
		v.SetVMs(f.members())
	}
	return f
}

// boot starts a new process of a VM, which knows nothing.
func (f *limitSim) boot(v *limitVM) {
	v.Balancer = balance.New(v.name, v.region, v.region)
	v.SetTargets(f.targets)
	v.process++
	v.limitSeen = make(map[string]time.Duration)
}

func (f *limitSim) members() (list []balance.VM) {
	for _, v := range f.vms {
		list = append(list, balance.VM{Name: v.name, Region: v.region})
	}
	return list
}

// after runs do after a delay.
func (f *limitSim) after(wait time.Duration, do func()) {
	f.queue.Add(f.clock().Add(wait), func(now time.Time) {
		f.now = now.Sub(start)
		do()
	})
}

// every runs do periodically, first within one interval.
func (f *limitSim) every(interval time.Duration, do func()) {
	var again func()
	again = func() { do(); f.after(interval, again) }
	f.after(time.Duration(f.rng.Int64N(int64(interval))), again)
}

func (f *limitSim) run(until time.Duration) {
	f.queue.Run(start.Add(until))
	f.now = until
}

func (f *limitSim) clock() time.Time { return start.Add(f.now) }

// delay is how long a message takes one way.
func (f *limitSim) delay(from, to string) time.Duration {
	oneWay := time.Millisecond
	if from != to {
		oneWay = 55 * time.Millisecond
	}
	return oneWay + time.Duration(f.rng.Int64N(int64(oneWay)/4))
}

// load sends requests from random VMs at a constant rate.
func (f *limitSim) load(perSecond float64) {
	f.every(time.Duration(float64(time.Second)/perSecond), func() { f.request(f.vms[f.rng.IntN(len(f.vms))]) })
}

// request has a VM send a request.
func (f *limitSim) request(v *limitVM) {
	if v.frozenUntil > f.now {
		return
	}
	f.requests++
	key := fmt.Sprint("o", f.rng.IntN(72))
	l, err := v.Choose(f.clock(), balance.Request{Service: "s", Route: "r", Key: key, Objective: 300 * time.Millisecond, Idempotent: true, Urgent: true})
	if err != nil {
		f.refused++
		return
	}
	process, dial := v.process, time.Duration(0)
	if f.rng.IntN(5) == 0 {
		dial = 2 * f.delay(v.region, l.Target.Region)
	}
	f.after(dial, func() {
		if v.process != process {
			return
		}
		if !v.Admit(f.clock(), l) {
			v.Done(f.clock(), l, balance.Outcome{NotSent: true})
			return
		}
		f.after(f.delay(v.region, l.Target.Region), func() { f.arrive(v, process, l) })
	})
}

// arrive handles a request at its upstream and sends the response.
func (f *limitSim) arrive(v *limitVM, process int, l balance.Lease) {
	id := l.Target.ID
	seen, ok := v.limitSeen[id]
	f.arrivals[id] = append(f.arrivals[id], arrival{f.now, v.process == process && ok && f.now-seen >= 500*time.Millisecond && f.now >= v.exemptUntil})
	var n balance.Notice
	if limit := f.limits[id]; limit != nil {
		n.Limit = throttle.Notice{Kind: throttle.Named, PerSecond: *limit}
	}
	f.after(60*time.Millisecond+f.delay(v.region, l.Target.Region), func() {
		if v.process != process {
			return
		}
		if _, ok := v.limitSeen[id]; !ok && n.Limit.Kind == throttle.Named {
			v.limitSeen[id] = f.now
		}
		v.Heard(f.clock(), l, n)
		v.Done(f.clock(), l, balance.Outcome{Answered: true, Load: &balance.Load{Running: 1, Slots: 4}})
	})
}

// gossip has VMs exchange reports of upstreams. Some of the messages are lost.
func (f *limitSim) gossip() {
	for _, v := range f.vms {
		f.every(500*time.Millisecond, func() {
			if v.frozenUntil > f.now {
				return
			}
			list := v.Reports(f.clock())
			for range 2 {
				to := f.vms[f.rng.IntN(len(f.vms))]
				if to == v || len(list) == 0 || f.rng.IntN(20) == 0 {
					continue
				}
				f.after(f.delay(v.region, to.region), func() { to.MergeReports(f.clock(), list) })
			}
		})
	}
}

// churn restarts and freezes VMs, in sequence and overlapping.
func (f *limitSim) churn() {
	const contact = 4 * time.Second
	f.every(700*time.Millisecond, func() {
		v := f.vms[f.rng.IntN(len(f.vms))]
		if f.rng.IntN(3) == 0 {
			v.frozenUntil = f.now + time.Duration(f.rng.Int64N(int64(3*time.Second)))
			v.exemptUntil = max(v.exemptUntil, v.frozenUntil+contact)
			return
		}
		f.boot(v)
		v.exemptUntil = max(v.exemptUntil, f.now+contact)
		process := v.process
		f.after(3*time.Second, func() {
			if v.process != process {
				return
			}
			// Some of the others are not known yet.
			known := slices.DeleteFunc(f.members(), func(vm balance.VM) bool { return vm.Name != v.name && f.rng.IntN(10) == 0 })
			v.SetVMs(known)
			v.SetSynced()
			f.after(2*time.Second, func() {
				if v.process == process {
					v.SetVMs(f.members())
				}
			})
		})
	})
}

// maxBound returns the maximum number of requests from bound VMs at an upstream in any window
// whose last request is not before after.
func (f *limitSim) maxBound(id string, window, after time.Duration) int {
	var bound []time.Duration
	for _, a := range f.arrivals[id] {
		if a.bound {
			bound = append(bound, a.at)
		}
	}
	most, from := 0, 0
	for i, at := range bound {
		for at-bound[from] > window {
			from++
		}
		if at >= after {
			most = max(most, i-from+1)
		}
	}
	return most
}

// rate is the number of requests a second at an upstream.
func (f *limitSim) rate(id string, from, to time.Duration) float64 {
	n := 0
	for _, a := range f.arrivals[id] {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// limitSeeds is the number of seeds that TestLimitsOverAllVMs runs with; use more for manual
// runs.
var limitSeeds = flag.Int("limit-seeds", 1, "number of seeds to run the simulations with limited upstreams with")

// limitRun is one simulation in which some upstreams name a rate limit.
type limitRun struct {
	vms, targets int
	perSecond    float64
	limit        float64
	limited      int
	churn        bool
	seed         uint64
}

const (
	limitWindow  = 4 * time.Second
	limitNamedAt = 3 * time.Second
	limitEnd     = 20 * time.Second
)

func (p limitRun) run(t *testing.T) {
	f := newLimitSim(p.seed, p.vms, p.targets)
	f.load(p.perSecond)
	f.gossip()
	if p.churn {
		f.churn()
	}
	f.run(limitNamedAt)
	limited := f.targets[:p.limited]
	for _, to := range limited {
		f.limits[to.ID] = &p.limit
	}
	f.run(limitEnd)
	allowed := int(1.5*p.limit*limitWindow.Seconds() + 5)
	sum := 0.0
	for _, to := range limited {
		if n := f.maxBound(to.ID, limitWindow, limitNamedAt+limitWindow); n > allowed {
			t.Errorf("%+v: %s got %d requests in %v, want at most %d", p, to.ID, n, limitWindow, allowed)
		}
		sum += f.rate(to.ID, limitNamedAt+limitWindow, limitEnd)
	}
	t.Logf("%+v: %.2f requests a second at limited upstreams, %d of %d refused", p, sum/float64(p.limited), f.refused, f.requests)
}

// Guards against VMs that together send an upstream more requests than the rate limit that it
// names.
func TestLimitsOverAllVMs(t *testing.T) {
	for _, size := range []limitRun{
		{vms: 1, targets: 4, perSecond: 60},
		{vms: 10, targets: 16, perSecond: 300},
		{vms: 40, targets: 24, perSecond: 400},
		{vms: 195, targets: 30, perSecond: 400},
	} {
		for _, limit := range []float64{0, 0.5, 2, 7.8} {
			for _, limited := range []int{1, size.targets} {
				for seed := range *limitSeeds {
					p := size
					p.limit, p.limited, p.seed = limit, limited, uint64(seed)
					p.churn = (seed+limited)%2 == 0
					p.run(t)
				}
			}
		}
	}
}

// Guards against VMs that send nothing after a limit has ended, as VMs that send no requests
// get no responses from which they could learn that.
func TestUpstreamRegainsShareAfterLimit(t *testing.T) {
	for _, size := range []limitRun{{vms: 10, targets: 16, perSecond: 300}, {vms: 195, targets: 30, perSecond: 1000}} {
		f := newLimitSim(1, size.vms, size.targets)
		f.load(size.perSecond)
		f.gossip()
		f.run(limitNamedAt)
		limit := 2.0
		f.limits["t0"] = &limit
		f.run(13 * time.Second)
		f.limits["t0"] = nil
		f.run(28 * time.Second)
		before, after := f.rate("t0", time.Second, limitNamedAt), f.rate("t0", 20*time.Second, 28*time.Second)
		if after < before/2 {
			t.Errorf("%d VMs: %.1f requests a second before the limit, %.1f after it", size.vms, before, after)
		}
	}
}

// Guards against a limit that is lost when the upstream's registration lapses.
func TestLimitSurvivesLapse(t *testing.T) {
	b := balance.New("vm", "north", "north-0")
	b.SetVMs(namedVMs("vm"))
	only := []*target.Target{{ID: "only", Service: "s", Region: "north", Zone: "north-0", Slots: 4, Usable: true}}
	b.SetTargets(only)
	req := balance.Request{Service: "s", Urgent: true}
	l, err := b.Choose(start, req)
	if err != nil {
		t.Fatal(err)
	}
	b.Heard(start.Add(time.Millisecond), l, balance.Notice{Limit: throttle.Notice{Kind: throttle.Named, PerSecond: 1}})
	b.SetTargets(nil)
	b.Expire(start.Add(time.Second))
	b.SetTargets(only)
	if _, err := b.Choose(start.Add(2*time.Millisecond), req); err == nil {
		t.Error("the limit was lost with the registration")
	}
	if _, err := b.Choose(start.Add(2*time.Second), req); err != nil {
		t.Errorf("request refused two seconds later: %v", err)
	}
	if l, err := b.Choose(start.Add(2*time.Second), req); err == nil || verdict.As(err).RetryAfter < time.Second/2 {
		t.Errorf("second request at the same time: got %v, %v, want a RetryAfter of about 1 s", l, err)
	}
}

// Guards against requests beyond a limit that is named while their connections are being
// opened.
func TestAdmitHonorsLimitNamedAfterChoose(t *testing.T) {
	b := balance.New("vm", "north", "north-0")
	b.SetVMs(namedVMs("vm"))
	b.SetTargets([]*target.Target{{ID: "only", Service: "s", Region: "north", Zone: "north-0", Slots: 4, Usable: true}})
	var leases []balance.Lease
	for range 3 {
		l, err := b.Choose(start, balance.Request{Service: "s", Urgent: true})
		if err != nil {
			t.Fatal(err)
		}
		leases = append(leases, l)
	}
	b.Heard(start.Add(time.Millisecond), leases[0], balance.Notice{Limit: throttle.Notice{Kind: throttle.Named, PerSecond: 1}})
	later := start.Add(1500 * time.Millisecond)
	if !b.Admit(later, leases[1]) {
		t.Error("first request after 1.5 s not admitted")
	}
	if b.Admit(later, leases[2]) {
		t.Error("second request at the same time admitted")
	}
}
