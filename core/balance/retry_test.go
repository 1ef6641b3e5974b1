package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"auburnlatch/core/balance"
)

// Guards against retries of all VMs that exceed the bound in some window while every upstream refuses.
func TestRetryBudgetOverAllVMs(t *testing.T) {
	const ratio, extra, window = 0.2, 60, 10 * time.Second
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(2))
	properties.Property("no window exceeds the bound", prop.ForAll(func(vms, perSecond int, burst float64) bool {
		budgets := make([]*balance.RetryBudget, vms)
		for i := range budgets {
			budgets[i] = &balance.RetryBudget{}
			budgets[i].SetBounds(ratio, window, extra)
			budgets[i].SetVMs(vms)
		}
		var requests, retries []time.Duration
		step := time.Second / time.Duration(perSecond)
		for at, i := time.Duration(0), 0; at < 40*time.Second; at, i = at+step, i+1 {
			if at > 20*time.Second {
				step = time.Duration(float64(time.Second/time.Duration(perSecond)) * burst)
			}
			b := budgets[i%vms]
			now := start.Add(at)
			b.Request(now, "s")
			requests = append(requests, at)
			if b.Retry(now, "s") {
				retries = append(retries, at)
			}
		}
		for from := time.Duration(0); from <= 30*time.Second; from += 500 * time.Millisecond {
			base := 0
			for _, back := range []time.Duration{0, window / 2, window} {
				base = max(base, countBetween(requests, from-back, from-back+window))
			}
			if float64(countBetween(retries, from, from+window)) > ratio*float64(base)+extra {
				return false
			}
		}
		return true
	}, gen.IntRange(1, 80), gen.IntRange(20, 600), gen.Float64Range(0.3, 5)))
	properties.TestingRun(t)
}

func countBetween(at []time.Duration, from, to time.Duration) (n int) {
	for _, a := range at {
		if a >= from && a < to {
			n++
		}
	}
	return n
}

// Guards against second sends of overdue requests that leave no budget to requests that failed.
func TestSpareLeavesRetries(t *testing.T) {
	var b balance.RetryBudget
	b.SetBounds(0.2, 10*time.Second, 0)
	now := start
	for range 1000 {
		b.Request(now, "s")
	}
	spare, retries := 0, 0
	for b.Spare(now, "s") {
		spare++
	}
	for b.Retry(now, "s") {
		retries++
	}
	if spare == 0 || retries < spare || spare+retries > 200 {
		t.Errorf("%d second sends and %d retries of 1,000 requests, want at most 200 and half of them retries", spare, retries)
	}
	if b.Spare(now, "s") {
		t.Error("a second send beyond the budget")
	}
}

// Guards against VMs that take a part of the fixed number of retries while they know no others, or
// again at each start.
func TestRetryBudgetExtraNeedsKnownVMs(t *testing.T) {
	b := &balance.RetryBudget{}
	b.SetBounds(0.2, 10*time.Second, 60)
	if b.Retry(start, "s") {
		t.Error("VM that knows no others was granted a retry without requests")
	}
	later := start.Add(10 * time.Second)
	if b.Retry(later, "s") {
		t.Error("VM that has known no others for a window was granted a retry without requests")
	}
	b.SetVMs(10)
	if b.Retry(later, "s") {
		t.Error("VM was granted its part of the additional number before it earned it")
	}
	if !b.Retry(later.Add(10*time.Second), "s") {
		t.Error("VM was not granted a retry of its part of the additional number")
	}
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
