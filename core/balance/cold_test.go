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
	"auburnlatch/core/target"
)

// Guards against more requests to a cold target than it bears, from VMs of which some know no others.
func TestColdAllowanceOverAllVMs(t *testing.T) {
	const perSecond, bound = 14, 14*1.5 + 5
	params := gopter.DefaultTestParametersWithSeed(1)
	params.MinSuccessfulTests = 30 // Each simulates 4 s of up to 80 VMs.
	properties := gopter.NewProperties(params)
	properties.Property("no second exceeds the bound", prop.ForAll(func(vms, isolated int, offset uint8) bool {
		cold := &target.Target{ID: "cold", Service: "s", Region: "north", Zone: "north-0", Slots: 4, Usable: true, ColdUntil: start.Add(time.Hour)}
		var names []string
		for i := range vms {
			names = append(names, fmt.Sprint("vm", i))
		}
		var all []*balance.Balancer
		for i, name := range names {
			b := balance.New(name, "north", "north-0")
			b.SetTargets([]*target.Target{cold})
			if i >= min(isolated, vms) {
				b.SetVMs(namedVMs(names...))
			} else {
				b.SetVMs(namedVMs(name))
			}
			all = append(all, b)
		}
		var sent []time.Duration
		for at := time.Duration(offset) * time.Millisecond; at < 4*time.Second; at += 10 * time.Millisecond {
			for _, b := range all {
				l, err := b.Choose(start.Add(at), balance.Request{Service: "s", Urgent: true, ColdPerSecond: perSecond})
				if err == nil {
					b.Done(start.Add(at), l, balance.Outcome{Answered: true})
					sent = append(sent, at)
				}
			}
		}
		return maxInWindow(sent, time.Second) <= bound
	}, gen.IntRange(1, 80), gen.IntRange(0, 8), gen.UInt8()))
	properties.TestingRun(t)
}

// Guards against a burst of requests to a cold target when all VMs start together.
func TestNewVMSendsNothingToColdTargets(t *testing.T) {
	cold := &target.Target{ID: "cold", Service: "s", Region: "north", Zone: "north-0", Slots: 4, Usable: true, ColdUntil: start.Add(time.Hour)}
	b := balance.New("vm", "north", "north-0")
	b.SetTargets([]*target.Target{cold})
	req := balance.Request{Service: "s", Urgent: true, ColdPerSecond: 4}
	if _, err := b.Choose(start, req); err == nil {
		t.Error("VM that does not know the others sends to a cold target")
	}
	b.SetVMs(namedVMs("vm"))
	if _, err := b.Choose(start, req); err != nil {
		t.Errorf("request of a VM without other VMs refused: %v", err)
	}
}

// Guards against cold targets that get a request of each process that starts, beside those of the
// processes that ended within the same second.
func TestColdAllowanceOutlivesKilledVMs(t *testing.T) {
	const vms, perSecond, bound = 40, 14, 14*1.5 + 5
	names := make([]string, vms)
	for i := range names {
		names[i] = fmt.Sprint("vm", i)
	}
	// most returns the most requests in a second if processes take no share for hold after their start.
	most := func(seed uint64, hold time.Duration) int {
		rng := rand.New(rand.NewPCG(seed, 3))
		cold := &target.Target{ID: "cold", Service: "s", Region: "north", Zone: "north-0", Slots: 4, Usable: true, ColdUntil: start.Add(time.Hour)}
		all, joins := make([]*balance.Balancer, vms), make([]time.Duration, vms)
		startProcess := func(i int, at time.Duration) {
			all[i], joins[i] = balance.New(names[i], "north", "north-0"), at+hold
			all[i].SetTargets([]*target.Target{cold})
		}
		for i := range vms {
			startProcess(i, -hold)
		}
		var sent []time.Duration
		kill := time.Second
		for at := time.Duration(0); at < 15*time.Second; at += 10 * time.Millisecond {
			if at >= kill {
				for i := range vms {
					if rng.Float64() < 0.8 {
						startProcess(i, at+100*time.Millisecond)
					}
				}
				kill = at + time.Duration(200+rng.IntN(2000))*time.Millisecond
			}
			for i, b := range all {
				if at >= joins[i] {
					b.SetVMs(namedVMs(names...))
				}
				if at < joins[i]-hold {
					continue
				}
				l, err := b.Choose(start.Add(at), balance.Request{Service: "s", Urgent: true, ColdPerSecond: perSecond})
				if err == nil {
					b.Done(start.Add(at), l, balance.Outcome{Answered: true})
					sent = append(sent, at)
				}
			}
		}
		return maxInWindow(sent, time.Second)
	}
	found := false
	for seed := range uint64(10) {
		if got := most(seed, 3*time.Second); got > bound {
			t.Errorf("seed %d: %d requests in a second, want at most %v", seed, got, bound)
		}
		found = found || most(seed, 0) > bound
	}
	if !found {
		t.Error("the kills do not find processes that take a share at once")
	}
}

func maxInWindow(at []time.Duration, window time.Duration) int {
	most, from := 0, 0
	for i := range at {
		for at[i]-at[from] >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}
