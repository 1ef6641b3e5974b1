package model_test

import (
	"math"
	"testing"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/model"
)

// Guards against queues behind slow work at upstreams of which each VM knows little.
func TestQueuesAtNoisyUpstreams(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		vms, targets int
		gain         float64
	}{{10, 18, -0.01}, {60, 108, 0.02}, {125, 226, 0.03}} {
		s := model.NoisyShape
		s.VMs, s.Targets, s.Objects = c.vms, c.targets, 20*c.targets
		phases := model.Steep.PhasesFor(s)
		var got, base, bound float64
		const seeds = 2
		for seed := range uint64(seeds) {
			got += model.Simulate(s, model.NewBalancerPolicy(s), seed, phases).InTime(4, 16) / seeds
			base += model.Simulate(s, model.NewBalancerPolicy(s, balance.WithPaceUse(balance.PaceNever)), seed, phases).InTime(4, 16) / seeds
			bound += model.Simulate(s, model.NewPerfect(s), seed, phases).InTime(4, 16) / seeds
		}
		t.Logf("%d VMs: fraction in time %.3f, without pace %.3f, with perfect knowledge %.3f", c.vms, got, base, bound)
		if got < base+c.gain {
			t.Errorf("%d VMs: fraction in time %.3f, without pace %.3f, want a gain of %.2f", c.vms, got, base, c.gain)
		}
	}
}

// Guards against a pace that is believed for longer than it holds.
func TestWeightOfPaceFallsAsItChanges(t *testing.T) {
	t.Parallel()
	s := model.NoisyShape
	b := balance.New("vm", "r", "r")
	b.SetTargets(s.TargetList())
	l, err := b.Choose(model.Start, balance.Request{Service: model.Service, Key: "a"})
	if err != nil {
		t.Fatal(err)
	}
	b.Done(model.Start, l, balance.Outcome{Answered: true, Load: &balance.Load{Slots: s.Slots, Pace: s.SlowFactor}})
	for age := time.Duration(0); age <= 1200*time.Millisecond; age += 100 * time.Millisecond {
		l, err := b.Choose(model.Start.Add(age), balance.Request{Service: model.Service, Key: "a"})
		if err != nil {
			t.Fatal(err)
		}
		weight, says := (l.Pace-1)/(s.SlowFactor-1), (model.StillSlow(s, age)-s.SlowShare)/(1-s.SlowShare)
		t.Logf("%v: weight %.2f, says %.2f", age, weight, says)
		if math.Abs(weight-says) > 0.15 {
			t.Errorf("a pace of %v ago has weight %.2f, but says %.2f", age, weight, says)
		}
	}
}
