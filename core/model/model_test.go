package model_test

import (
	"testing"

	"auburnlatch/core/model"
)

// The steady load occupies 58 % of all slots when objects are cached, and 194 % when
// they are not. It bursts to 1.8 times that for five seconds. If objects spread to more
// upstreams under load, the caches thrash, every request is a miss, and the overload
// lasts long after the burst, until the load is reduced. BalancerPolicy must recover
// within ten seconds, and in the burst itself serve at least what the slots can.
func TestOverloadEndsWithBurst(t *testing.T) {
	s := model.SmallShape
	phases := model.Burst.PhasesFor(s)
	for seed := range uint64(3) {
		got := model.Simulate(s, model.NewBalancerPolicy(s), seed, phases)
		before, burst, after := got.InTime(15, 30), got.InTime(30, 35), got.InTime(45, 60)
		if before < 0.9 || after < before-0.03 {
			t.Errorf("seed %d: fraction in time %.2f before the burst, %.2f in it, %.2f ten seconds after", seed, before, burst, after)
		}
		if burst < 0.5 {
			t.Errorf("seed %d: fraction in time %.2f in the burst, want at least 0.5", seed, burst)
		}
		t.Logf("seed %d: fraction in time %.2f before, %.2f in, %.2f after the burst", seed, before, burst, after)
		base := model.Simulate(s, model.NewLeastUsed(s), seed, phases).InTime(45, 60)
		t.Logf("seed %d: LeastUsed: fraction in time %.2f ten seconds after the burst", seed, base)
		if base > after/2 {
			t.Errorf("seed %d: the pattern causes no lasting overload: LeastUsed serves %.2f in time", seed, base)
		}
	}
}

// All upstreams start with empty caches under the same load. Until the caches are warm,
// the work is 1.9 times the capacity. The overload must end.
func TestColdStartEnds(t *testing.T) {
	s := model.SmallShape
	got := model.Simulate(s, model.NewBalancerPolicy(s), 1, model.ColdStart.PhasesFor(s))
	if early, late := got.InTime(0, 2), got.InTime(8, 29); late < 0.9 {
		t.Errorf("fraction in time %.2f in the first two seconds, %.2f from the eighth on, want at least 0.9", early, late)
	}
}

// 78 VMs share 126 upstreams, so each VM has few samples of each upstream, and work on
// an object that is not cached takes longer than half a second. If a VM takes an
// upstream for dead that has not responded within that time, and one that it has no
// sample of for idle, objects are sent to any upstream and the caches stay cold: three
// of five responses were late for over twenty seconds. At 85 % of the capacity with warm
// caches, half of the requests must be answered in time from the fourth second on.
func TestManyVMsWarmUp(t *testing.T) {
	s := model.GrownShape
	for _, tc := range []struct {
		pattern  model.Pattern
		from, to int
		inTime   float64
	}{
		{model.HeavyColdStart, 4, 8, 0.5},
		{model.HeavyColdStart, 8, 20, 0.7},
		{model.Shrunk, 32, 49, 0.83},
	} {
		got := model.Simulate(s, model.NewBalancerPolicy(s), 1, tc.pattern.PhasesFor(s))
		if share := got.InTime(tc.from, tc.to); share < tc.inTime {
			t.Errorf("%s, seconds %d to %d: fraction in time %.2f, want at least %.2f; cache hits %.2f, refused %.2f",
				tc.pattern.Name, tc.from, tc.to, share, tc.inTime, got.HitRate(tc.from, tc.to), got.Refused(tc.from, tc.to))
		}
	}
}

// There are 72 objects and 12 targets, at two thirds of the capacity with warm caches,
// and then two targets leave. With placement by hash alone, one target has twice the mean
// load and its callers wait: the fractions in time were 0.49, 0.91, 0.64 and 0.79 in the
// four spans below. If objects are placed evenly, and placements are propagated to the
// region's other VMs, the result must come near the bound of one shared table.
func TestFewObjectsPerTargetAreSpreadEvenly(t *testing.T) {
	s := model.SlowShape
	phases := model.SixthLost.PhasesFor(s)
	for _, span := range []struct {
		from, to int
		inTime   float64
	}{{0, 4, 0.58}, {4, 16, 0.96}, {16, 20, 0.76}, {20, 30, 0.88}} {
		const seeds = 4
		got, bound := 0.0, 0.0
		for seed := range uint64(seeds) {
			got += model.Simulate(s, model.NewBalancerPolicy(s), seed, phases).InTime(span.from, span.to) / seeds
			bound += model.Simulate(s, model.NewEven(s), seed, phases).InTime(span.from, span.to) / seeds
		}
		t.Logf("seconds %d to %d: fraction in time %.2f, bound %.2f", span.from, span.to, got, bound)
		if got < span.inTime {
			t.Errorf("seconds %d to %d: fraction in time %.2f, want at least %.2f; the bound is %.2f", span.from, span.to, got, span.inTime, bound)
		}
		if bound < got-0.03 {
			t.Errorf("seconds %d to %d: the bound %.2f is below the Balancer's fraction %.2f", span.from, span.to, bound, got)
		}
	}
}
