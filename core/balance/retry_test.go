package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

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

// Guards against more retries than the bound when processes that have spent their budget end and
// others spend anew within the same window.
func TestRetryBudgetOutlivesProcesses(t *testing.T) {
	const vms, perSecond, extra = 9, 94, 58
	for _, tc := range []struct {
		name   string
		events []retryEvent
	}{
		{"killed at once", []retryEvent{{12 * time.Second, killVMs(0.9, 500*time.Millisecond)}}},
		{"killed in series", []retryEvent{
			{11 * time.Second, killVMs(0.9, 500*time.Millisecond)}, {14 * time.Second, killVMs(0.9, 500*time.Millisecond)}, {17 * time.Second, killVMs(0.9, 500*time.Millisecond)},
		}},
		{"stopped in turn", rollVMs(12*time.Second, 500*time.Millisecond, vms)},
		{"callers move", []retryEvent{{12 * time.Second, func(f *retryFleet) {
			for i, v := range f.vms {
				v.weight = float64(i % 2)
			}
		}}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := &retryFleet{rng: rand.New(rand.NewPCG(1, 5)), extra: extra, newBudget: newRetryBudget}
			for i := range vms {
				f.vms = append(f.vms, &retryVM{zone: i % retryZones, weight: float64((i + 1) % 2)})
				f.startProcess(i, 0)
			}
			events := append([]retryEvent{{10 * time.Second, func(f *retryFleet) { f.failing = 0.8 }}}, tc.events...)
			f.play(events, perSecond)
			if got := f.excess(); got > 0 {
				t.Errorf("%.0f retries above the bound in a window", got)
			}
		})
	}
}

// Guards against more retries than the bound under any series of kills, cuts, freezes and moves of
// callers.
func TestRetryBudgetInAllWindows(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(51)
	properties := gopter.NewProperties(parameters)
	properties.Property("no window exceeds the bound", prop.ForAll(func(seed uint64) string {
		f, events, perSecond := retryScenario(seed, newRetryBudget)
		f.play(events, perSecond)
		if got := f.excess(); got > 0 {
			return fmt.Sprintf("seed %d: %.0f retries above the bound", seed, got)
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)

	found := 0
	for seed := range uint64(20) {
		f, events, perSecond := retryScenario(seed, func(f *retryFleet, _ int) retryBudget { return &windowBudget{extra: f.extra} })
		f.play(events, perSecond)
		if f.excess() > 0 {
			found++
		}
	}
	if found == 0 {
		t.Error("the scenarios do not find a budget that each process counts anew")
	}
}

// Guards against parts of a fixed number that add up to more than it while zones are cut off from
// each other, for VMs that have started since.
func TestSharersAcrossCuts(t *testing.T) {
	zones := []string{"a", "b", "c", "d", "e", "f"}
	for _, tc := range []struct {
		name  string
		known []map[string]int // By part of the network.
	}{
		{"no cut", []map[string]int{{"a": 2, "b": 2, "c": 2, "d": 1, "e": 1, "f": 1}}},
		{"each zone alone", []map[string]int{{"a": 2}, {"b": 2}, {"c": 2}, {"d": 9}, {"e": 3}, {"f": 4}}},
		{"each region alone", []map[string]int{{"a": 2, "b": 1}, {"c": 2, "d": 1}, {"e": 12, "f": 1}}},
		{"one zone alone", []map[string]int{{"a": 2, "b": 2, "c": 2, "d": 1, "e": 1}, {"f": 1}}},
	} {
		parts := 0.0
		for _, known := range tc.known {
			vms := 0
			for _, n := range known {
				vms += n
			}
			if vms > 1 { // A VM that knows no other has no part.
				parts += float64(vms) / float64(balance.CountSharers(zones, known))
			}
		}
		if parts > 1 {
			t.Errorf("%s: the parts add up to %.2f", tc.name, parts)
		}
	}
	if got := balance.CountSharers(zones, map[string]int{"a": 1}); got != 1 {
		t.Errorf("a VM that knows no other counts %d sharers, want 1", got)
	}
}

// Guards against more retries than the bound while processes of an earlier build, which count by
// windows, run beside those of this one, which are killed at any time.
func TestRetryBudgetBesideEarlierBuilds(t *testing.T) {
	for seed := range uint64(40) {
		f, events, perSecond := retryScenario(seed, newRetryBudget)
		// Those of the earlier build run on: what its own starts spend is not bound.
		f.newBudget = func(f *retryFleet, vm int) retryBudget {
			if vm%2 == 1 {
				return newRetryBudget(f, vm)
			}
			if b, ok := f.vms[vm].budget.(*windowBudget); ok {
				return b
			}
			return &windowBudget{extra: f.extra}
		}
		f.loyal = true // Nor is what they spend when callers move.
		for i := range f.vms {
			f.startProcess(i, 0)
		}
		f.play(events, perSecond)
		if got := f.excess(); got > 0 {
			t.Errorf("seed %d: %.0f retries above the bound", seed, got)
		}
	}
}

// Guards against budgets that withhold retries after a start: VMs that are stopped in turn while
// nothing was spent retry what fails a few seconds later, as long-lived ones do.
func TestStartedVMsRetry(t *testing.T) {
	served := func(events []retryEvent) float64 {
		f := &retryFleet{rng: rand.New(rand.NewPCG(1, 5)), extra: 58, newBudget: newRetryBudget}
		for i := range 9 {
			f.vms = append(f.vms, &retryVM{zone: i % retryZones, weight: 1})
			f.startProcess(i, 0)
		}
		events = append(events,
			retryEvent{20 * time.Second, func(f *retryFleet) { f.failing = 0.1 }},
			retryEvent{26 * time.Second, func(f *retryFleet) { f.failing = 0 }})
		f.play(events, 94)
		return 1 - float64(f.failed)/float64(len(f.requests))
	}
	if long, started := served(nil), served(rollVMs(14*time.Second, 500*time.Millisecond, 9)); started < long-0.005 {
		t.Errorf("served after the VMs were stopped in turn: %.4f, want %.4f as without", started, long)
	}
}
