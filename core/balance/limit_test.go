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

// limitFleet is VMs and the upstreams of one service in three regions, in simulated time.
type limitFleet struct {
	rng     *rand.Rand
	now     time.Duration
	queue   eventqueue.Queue
	vms     []*limitVM
	targets []*target.Target
	limits  map[string]*float64
	got     map[string][]arrived
	refused int
	asked   int
}

// limitVM is one VM. Its process is another one after each restart.
type limitVM struct {
	name, region string
	*balance.Balancer
	process int
	frozen  time.Duration // Until when.
	excused time.Duration // Until when a restart or a freeze excuses it.
	told    map[string]time.Duration
}

type arrived struct {
	at time.Duration
	// bound says that the VM had been told half a second before, and nothing excused it.
	bound bool
}

var threeRegions = []string{"north", "mid", "south"}

func newLimitFleet(seed uint64, vms, targets int) *limitFleet {
	f := &limitFleet{rng: rand.New(rand.NewPCG(seed, 1)), limits: make(map[string]*float64), got: make(map[string][]arrived)}
	for i := range targets {
		region := threeRegions[i%3]
		f.targets = append(f.targets, &target.Target{ID: fmt.Sprint("t", i), Service: "s", Region: region, Zone: region, Slots: 4, Usable: true})
	}
	for i := range vms {
		v := &limitVM{name: fmt.Sprint("vm", i), region: threeRegions[i%3]}
		f.vms = append(f.vms, v)
		f.boot(v)
		v.Join()
	}
	for _, v := range f.vms {
		v.SetVMs(f.members())
	}
	return f
}

// boot starts a VM's process, which knows nothing.
func (f *limitFleet) boot(v *limitVM) {
	v.Balancer = balance.New(v.name, v.region, v.region)
	v.SetTargets(f.targets)
	v.process++
	v.told = make(map[string]time.Duration)
}

func (f *limitFleet) members() (list []balance.VM) {
	for _, v := range f.vms {
		list = append(list, balance.VM{Name: v.name, Region: v.region})
	}
	return list
}

// after has something happen later.
func (f *limitFleet) after(wait time.Duration, do func()) {
	f.queue.Add(f.clock().Add(wait), func(now time.Time) {
		f.now = now.Sub(start)
		do()
	})
}

// every has something happen again and again, first within one interval.
func (f *limitFleet) every(interval time.Duration, do func()) {
	var again func()
	again = func() { do(); f.after(interval, again) }
	f.after(time.Duration(f.rng.Int64N(int64(interval))), again)
}

func (f *limitFleet) run(until time.Duration) {
	f.queue.Run(start.Add(until))
	f.now = until
}

func (f *limitFleet) clock() time.Time { return start.Add(f.now) }

// trip is how long a message takes one way.
func (f *limitFleet) trip(from, to string) time.Duration {
	trip := time.Millisecond
	if from != to {
		trip = 55 * time.Millisecond
	}
	return trip + time.Duration(f.rng.Int64N(int64(trip)/4))
}

// load has callers ask for objects.
func (f *limitFleet) load(perSecond float64) {
	f.every(time.Duration(float64(time.Second)/perSecond), func() { f.ask(f.vms[f.rng.IntN(len(f.vms))]) })
}

// ask has a VM send a request.
func (f *limitFleet) ask(v *limitVM) {
	if v.frozen > f.now {
		return
	}
	f.asked++
	key := fmt.Sprint("o", f.rng.IntN(72))
	l, err := v.Choose(f.clock(), balance.Request{Service: "s", Route: "r", Key: key, Objective: 300 * time.Millisecond, Idempotent: true, Urgent: true})
	if err != nil {
		f.refused++
		return
	}
	process, dial := v.process, time.Duration(0)
	if f.rng.IntN(5) == 0 {
		dial = 2 * f.trip(v.region, l.Target.Region)
	}
	f.after(dial, func() {
		if v.process != process {
			return
		}
		if !v.Admit(f.clock(), l) {
			v.Done(f.clock(), l, balance.Outcome{NotSent: true})
			return
		}
		f.after(f.trip(v.region, l.Target.Region), func() { f.arrive(v, process, l) })
	})
}

// arrive has an upstream take a request and answer it.
func (f *limitFleet) arrive(v *limitVM, process int, l balance.Lease) {
	id := l.Target.ID
	told, ok := v.told[id]
	f.got[id] = append(f.got[id], arrived{f.now, v.process == process && ok && f.now-told >= 500*time.Millisecond && f.now >= v.excused})
	var n balance.Notice
	if limit := f.limits[id]; limit != nil {
		n.Limit = throttle.Notice{Kind: throttle.Named, PerSecond: *limit}
	}
	f.after(60*time.Millisecond+f.trip(v.region, l.Target.Region), func() {
		if v.process != process {
			return
		}
		if _, ok := v.told[id]; !ok && n.Limit.Kind == throttle.Named {
			v.told[id] = f.now
		}
		v.Heard(f.clock(), l, n)
		v.Done(f.clock(), l, balance.Outcome{Answered: true, Load: &balance.Load{Running: 1, Slots: 4}})
	})
}

// gossip has VMs pass on what upstreams say. Some of it is lost.
func (f *limitFleet) gossip() {
	for _, v := range f.vms {
		f.every(500*time.Millisecond, func() {
			if v.frozen > f.now {
				return
			}
			list := v.Reports(f.clock())
			for range 2 {
				to := f.vms[f.rng.IntN(len(f.vms))]
				if to == v || len(list) == 0 || f.rng.IntN(20) == 0 {
					continue
				}
				f.after(f.trip(v.region, to.region), func() { to.ToldReports(f.clock(), list) })
			}
		})
	}
}

// churn restarts and freezes VMs, in series and overlapping.
func (f *limitFleet) churn() {
	const contact = 4 * time.Second
	f.every(700*time.Millisecond, func() {
		v := f.vms[f.rng.IntN(len(f.vms))]
		if f.rng.IntN(3) == 0 {
			v.frozen = f.now + time.Duration(f.rng.Int64N(int64(3*time.Second)))
			v.excused = max(v.excused, v.frozen+contact)
			return
		}
		f.boot(v)
		v.excused = max(v.excused, f.now+contact)
		process := v.process
		f.after(3*time.Second, func() {
			if v.process != process {
				return
			}
			// Some of the others are not known yet.
			known := slices.DeleteFunc(f.members(), func(vm balance.VM) bool { return vm.Name != v.name && f.rng.IntN(10) == 0 })
			v.SetVMs(known)
			v.Join()
			f.after(2*time.Second, func() {
				if v.process == process {
					v.SetVMs(f.members())
				}
			})
		})
	})
}

// worst is the most requests that an upstream got within a window that ends after a moment, of
// VMs that are bound by its limit.
func (f *limitFleet) worst(id string, window, after time.Duration) int {
	var bound []time.Duration
	for _, a := range f.got[id] {
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

// rate is how many requests a second an upstream got.
func (f *limitFleet) rate(id string, from, to time.Duration) float64 {
	n := 0
	for _, a := range f.got[id] {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// limitSeeds is how many seeds TestLimitsOverAllVMs plays; more are for runs by hand.
var limitSeeds = flag.Int("limit-seeds", 1, "seeds to play fleets with limited upstreams with")

// limitPlay is one play of a fleet in which some upstreams name a limit.
type limitPlay struct {
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

func (p limitPlay) run(t *testing.T) {
	f := newLimitFleet(p.seed, p.vms, p.targets)
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
		if n := f.worst(to.ID, limitWindow, limitNamedAt+limitWindow); n > allowed {
			t.Errorf("%+v: %s got %d in %v, %d allowed", p, to.ID, n, limitWindow, allowed)
		}
		sum += f.rate(to.ID, limitNamedAt+limitWindow, limitEnd)
	}
	t.Logf("%+v: %.2f a second, %d of %d refused", p, sum/float64(p.limited), f.refused, f.asked)
}

// Guards against VMs that together send an upstream more than the limit that it names.
func TestLimitsOverAllVMs(t *testing.T) {
	for _, size := range []limitPlay{
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

// Guards against VMs that send nothing after a limit has ended, as they get no answers.
func TestUpstreamGetsItsPartBackAfterALimit(t *testing.T) {
	for _, size := range []limitPlay{{vms: 10, targets: 16, perSecond: 300}, {vms: 195, targets: 30, perSecond: 1000}} {
		f := newLimitFleet(1, size.vms, size.targets)
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

// Guards against a limit that is forgotten when the upstream's row lapses.
func TestLimitOutlivesTheRow(t *testing.T) {
	b := balance.New("vm", "north", "north-0")
	b.SetVMs(vmsNamed("vm"))
	only := []*target.Target{{ID: "only", Service: "s", Region: "north", Zone: "north-0", Slots: 4, Usable: true}}
	b.SetTargets(only)
	req := balance.Request{Service: "s", Urgent: true}
	l, err := b.Choose(start, req)
	if err != nil {
		t.Fatal(err)
	}
	b.Heard(start.Add(time.Millisecond), l, balance.Notice{Limit: throttle.Notice{Kind: throttle.Named, PerSecond: 1}})
	b.SetTargets(nil)
	b.Forget(start.Add(time.Second))
	b.SetTargets(only)
	if _, err := b.Choose(start.Add(2*time.Millisecond), req); err == nil {
		t.Error("the limit is forgotten with the row")
	}
	if _, err := b.Choose(start.Add(2*time.Second), req); err != nil {
		t.Errorf("two seconds later: %v", err)
	}
	if l, err := b.Choose(start.Add(2*time.Second), req); err == nil || verdict.As(err).RetryAfter < time.Second/2 {
		t.Errorf("a second request at once: %v %v, want to come back in about a second", l, err)
	}
}

// Guards against requests past a limit that is named while their connections are opened.
func TestLimitNamedBeforeTheRequestIsSent(t *testing.T) {
	b := balance.New("vm", "north", "north-0")
	b.SetVMs(vmsNamed("vm"))
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
		t.Error("one request after a second and a half is not admitted")
	}
	if b.Admit(later, leases[2]) {
		t.Error("two requests at once are admitted")
	}
}
