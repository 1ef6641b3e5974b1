package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"auburnlatch/core/balance"
)

const (
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
	// retryAttempts is how many upstreams a request may be sent to.
	retryAttempts = 3
	retryTick     = 20 * time.Millisecond
	retryZones    = 6
)

// retryBudget is the retry budget of one process.
type retryBudget interface {
	Request(now time.Time, service string)
	Withdraw(now time.Time, service string)
	Retry(now time.Time, service string) bool
	Spare(now time.Time, service string) bool
	SetVMs(n int)
}

// retryFleet simulates VMs whose upstreams fail at times. VMs are killed, frozen, and cut off from
// other zones, and callers move between them. It records what the upstreams of one service receive.
type retryFleet struct {
	rng   *rand.Rand
	now   time.Duration
	extra int
	vms   []*retryVM
	// group is the part of the network that each zone is in: VMs hear others of their part.
	group [retryZones]int
	// failing is the fraction of requests that fail.
	failing float64
	// relayed is the fraction of requests that pass through a second VM.
	relayed float64
	// overdue is the fraction of requests whose response is overdue, so that they are sent to a
	// second upstream before they have failed.
	overdue           float64
	requests, retries []time.Duration
	// failed are the requests that no attempt served.
	failed int
	// loyal means that callers stay with their VM, and that their requests fail while it is down.
	loyal bool
	// newBudget returns the budget of a process that starts.
	newBudget func(f *retryFleet, vm int) retryBudget
}

type retryVM struct {
	zone    int
	budget  retryBudget
	upAt    time.Duration // The process is down until then.
	awakeAt time.Duration // It is frozen until then.
	weight  float64       // Its part of the callers.
	heard   map[int]bool
}

func (f *retryFleet) time() time.Time { return start.Add(f.now) }

// startProcess starts a VM's process after a pause.
func (f *retryFleet) startProcess(vm int, pause time.Duration) {
	v := f.vms[vm]
	v.budget, v.upAt, v.awakeAt, v.heard = f.newBudget(f, vm), f.now+pause, 0, map[int]bool{vm: true}
}

// moveCallers gives each VM a new part of the callers. Half of them have few or none.
func (f *retryFleet) moveCallers() {
	if f.loyal {
		return
	}
	for _, v := range f.vms {
		v.weight = f.rng.ExpFloat64()
		if f.rng.IntN(2) == 0 {
			v.weight /= 100
		}
	}
}

// hear exchanges heartbeats.
func (f *retryFleet) hear() {
	for _, v := range f.vms {
		if f.now < v.upAt || f.now < v.awakeAt {
			continue
		}
		for j, o := range f.vms {
			if f.now >= o.upAt && f.now >= o.awakeAt && f.group[o.zone] == f.group[v.zone] {
				v.heard[j] = true
			}
		}
		if f.now >= v.upAt+3*time.Second {
			f.share(v)
		}
	}
}

// share tells a VM how many VMs share the fixed part of the budget.
func (f *retryFleet) share(v *retryVM) {
	known := make(map[string]int)
	for i := range v.heard {
		known[zoneName(f.vms[i].zone)]++
	}
	var zones []string
	for z := range retryZones {
		zones = append(zones, zoneName(z))
	}
	v.budget.SetVMs(balance.CountSharers(zones, known))
}

func zoneName(zone int) string { return fmt.Sprint("zone-", zone) }

// pick returns a VM that takes a request, or nil if none is up.
func (f *retryFleet) pick() *retryVM {
	sum := 0.0
	for _, v := range f.vms {
		if f.loyal || f.now >= v.upAt && f.now >= v.awakeAt {
			sum += v.weight
		}
	}
	at := f.rng.Float64() * sum
	for _, v := range f.vms {
		if !f.loyal && (f.now < v.upAt || f.now < v.awakeAt) {
			continue
		}
		if at -= v.weight; at <= 0 && f.now >= v.upAt && f.now >= v.awakeAt {
			return v
		}
		if at <= 0 {
			return nil
		}
	}
	return nil
}

// request sends a request of a caller, and retries it as long as it fails and the budget allows.
func (f *retryFleet) request() {
	f.requests = append(f.requests, f.now)
	v := f.pick()
	if v == nil {
		f.failed++
		return
	}
	v.budget.Request(f.time(), "s")
	if f.rng.Float64() < f.relayed {
		v.budget.Withdraw(f.time(), "s")
		if v = f.pick(); v == nil {
			f.failed++
			return
		}
		v.budget.Request(f.time(), "s")
	}
	if f.rng.Float64() < f.overdue && v.budget.Spare(f.time(), "s") {
		f.retries = append(f.retries, f.now)
	}
	for attempt := 1; f.rng.Float64() < f.failing; attempt++ {
		if attempt == retryAttempts || !v.budget.Retry(f.time(), "s") {
			f.failed++
			return
		}
		f.retries = append(f.retries, f.now)
	}
}

// run simulates until end, at a rate of requests per second.
func (f *retryFleet) run(end time.Duration, perSecond float64, at func()) {
	for ; f.now < end; f.now += retryTick {
		at()
		if f.now%(500*time.Millisecond) == 0 {
			f.hear()
		}
		for p := f.rng.ExpFloat64(); p < perSecond*retryTick.Seconds(); p += f.rng.ExpFloat64() {
			f.request()
		}
	}
}

// excess returns by how much the retries in some window exceed the bound, or 0.
func (f *retryFleet) excess() float64 {
	most := 0.0
	check := func(from time.Duration) {
		base := 0
		for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
			base = max(base, countSorted(f.requests, from-back, from-back+retryWindow))
		}
		most = max(most, float64(countSorted(f.retries, from, from+retryWindow))-retryRatio*float64(base)-float64(f.extra))
	}
	for i, at := range f.retries {
		check(at - retryWindow + 1)
		if i == 0 || f.retries[i-1] != at {
			check(at)
		}
	}
	return most
}

func countSorted(at []time.Duration, from, to time.Duration) int {
	lo, _ := slices.BinarySearch(at, from)
	hi, _ := slices.BinarySearch(at, to)
	return hi - lo
}

// retryEvent is something that happens to the fleet at a time.
type retryEvent struct {
	at time.Duration
	do func(*retryFleet)
}

// killVMs kills a fraction of the VMs at once. They start again after a pause.
func killVMs(fraction float64, pause time.Duration) func(*retryFleet) {
	return func(f *retryFleet) {
		for i := range f.vms {
			if f.rng.Float64() < fraction {
				f.startProcess(i, pause)
			}
		}
	}
}

// rollVMs stops and starts all VMs in turn.
func rollVMs(at, gap time.Duration, vms int) []retryEvent {
	var list []retryEvent
	for i := range vms {
		list = append(list, retryEvent{at + time.Duration(i)*gap, func(f *retryFleet) { f.startProcess(i, 500*time.Millisecond) }})
	}
	return list
}

// retryScenario returns a fleet and what happens to it, drawn by a seed.
func retryScenario(seed uint64, newBudget func(*retryFleet, int) retryBudget) (f *retryFleet, events []retryEvent, perSecond float64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	f = &retryFleet{rng: rng, extra: 10 + rng.IntN(90), newBudget: newBudget}
	for i := range 2 + rng.IntN(30) {
		f.vms = append(f.vms, &retryVM{zone: i % retryZones})
		f.startProcess(i, 0)
	}
	f.moveCallers()
	if rng.IntN(3) == 0 {
		f.relayed = rng.Float64() / 2
	}
	if rng.IntN(2) == 0 {
		f.overdue = rng.Float64() / 2
	}
	seconds := func(from, to float64) time.Duration {
		return time.Duration((from+(to-from)*rng.Float64())*1000) * time.Millisecond
	}
	add := func(at time.Duration, do func(*retryFleet)) { events = append(events, retryEvent{at, do}) }
	for range 1 + rng.IntN(2) {
		at, failing := seconds(8, 35), 0.3+0.7*rng.Float64()
		add(at, func(f *retryFleet) { f.failing = failing })
		add(at+seconds(0.5, 20), func(f *retryFleet) { f.failing = 0 })
		for range rng.IntN(5) {
			add(at+seconds(-3, 12), killVMs(0.3+rng.Float64(), seconds(0.5, 2)))
		}
		if rng.IntN(3) == 0 {
			events = append(events, rollVMs(at+seconds(-5, 5), seconds(0.1, 1), len(f.vms))...)
		}
		if rng.IntN(2) == 0 {
			for range 1 + rng.IntN(3) {
				add(at+seconds(-5, 15), (*retryFleet).moveCallers)
			}
		}
		if rng.IntN(3) == 0 {
			for i := range f.vms {
				if rng.IntN(2) == 0 {
					add(at+seconds(0, 3), func(f *retryFleet) { f.vms[i].awakeAt = f.now + 4*time.Second })
				}
			}
		}
	}
	if rng.IntN(2) == 0 { // A cut, from before some of the processes start.
		parts := 2 + rng.IntN(retryZones-1)
		add(seconds(0, 20), func(f *retryFleet) {
			for z := range f.group {
				f.group[z] = z % parts
			}
		})
	}
	slices.SortStableFunc(events, func(a, b retryEvent) int { return int(a.at - b.at) })
	return f, events, 20 + 500*rng.Float64()
}

// play runs a scenario for 50 s.
func (f *retryFleet) play(events []retryEvent, perSecond float64) {
	f.run(50*time.Second, perSecond, func() {
		for len(events) > 0 && f.now >= events[0].at {
			events[0].do(f)
			events = events[1:]
		}
	})
}

// newRetryBudget returns the budget of a process that starts.
func newRetryBudget(f *retryFleet, _ int) retryBudget {
	b := &balance.RetryBudget{}
	b.SetBounds(retryRatio, retryWindow, f.extra)
	return b
}
