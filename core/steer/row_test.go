package steer

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

const (
	propSeed = 20261202
	propRuns = 300
	testCap  = 0.2
	slack    = 1e-6
)

var zones = []string{"a", "b", "c"}

// wantedFrom returns a random distribution over the zones, with seed n.
func wantedFrom(n uint32) Weights {
	r := rand.New(rand.NewPCG(uint64(n), 0))
	w := Weights{}
	var sum float64
	for _, z := range zones {
		w[z] = r.Float64() * r.Float64()
		sum += w[z]
	}
	for z := range w {
		w[z] /= sum
	}
	return w
}

// The wanted weights change at any time, and the VM is paused for up to two
// minutes in between. Within any minute no more of the traffic may move than the
// cap allows: the region that it moves to has cold caches.
func TestCapHoldsInEveryWindow(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(propSeed)
	params.MinSuccessfulTests = propRuns
	properties := gopter.NewProperties(params)
	moved := 0
	properties.Property("cap", prop.ForAllNoShrink(
		func(steps []uint32) bool {
			var row Row
			row.Move(start, Weights{"a": 1}, Limit{Cap: testCap})
			type past struct {
				at time.Time
				w  Weights
			}
			history := []past{{start, row.Weights()}}
			now := start
			for _, n := range steps {
				gap := time.Duration(n>>8%4000) * time.Millisecond
				if n%64 == 0 {
					gap = time.Duration(n>>8%120) * time.Second
				}
				now = now.Add(gap)
				row.Move(now, wantedFrom(n>>4), Limit{Cap: testCap})
				history = append(history, past{now, row.Weights()})
				for _, h := range history {
					if now.Sub(h.at) <= Window && Distance(h.w, row.Weights()) > testCap+slack {
						return false
					}
				}
				moved++
			}
			return true
		},
		gen.SliceOfN(200, gen.UInt32()),
	))
	properties.TestingRun(t)
	if moved == 0 {
		t.Error("the row was never moved, so the property was not tested")
	}
}

// The shares of counted requests, not only the weights, must move by no more
// than the cap within a minute, except for about one request per zone from
// rounding to whole requests.
func TestCountedRequestsKeepTheCap(t *testing.T) {
	const perSecond = 50
	var row Row
	row.Move(start, Weights{"a": 1}, Limit{Cap: testCap})
	counts := make([]map[string]int, 0, 240)
	for s := range 240 {
		second := map[string]int{}
		for range perSecond {
			second[row.Pick()]++
		}
		counts = append(counts, second)
		row.Move(at(float64(s)), Weights{"b": 0.7, "c": 0.3}, Limit{Cap: testCap})
	}
	share := func(s int) Weights {
		w := Weights{}
		for z, n := range counts[s] {
			w[z] = float64(n) / perSecond
		}
		return w
	}
	worst := 0.0
	for s := range counts {
		for before := max(0, s-60); before < s; before++ {
			worst = max(worst, Distance(share(before), share(s)))
		}
	}
	if limit := testCap + 2.0/perSecond; worst > limit {
		t.Errorf("the shares of counted requests moved by %.3f within a minute, want at most %.3f", worst, limit)
	}
	if got := row.Weights()["a"]; got > 0.25 {
		t.Errorf("after four minutes zone a has a weight of %.2f, want at most 0.25", got)
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	var row Row
	w := Weights{"a": 0.5, "b": 0.3, "c": 0.2}
	row.Move(start, w, Limit{Cap: 1})
	counts := map[string]float64{}
	for i := 1; i <= 1000; i++ {
		counts[row.Pick()]++
		for z, share := range w {
			if off := math.Abs(counts[z] - share*float64(i)); off > 1+slack {
				t.Fatalf("after %d picks the count of zone %s is off by %.2f requests, want at most 1", i, z, off)
			}
		}
	}
}

// A zone is lost. Without a failover cap the ordinary cap still applies, and the
// requests that it keeps in the zone are refused. With a failover cap the
// traffic moves faster, but only if the move is away from the lost zone.
func TestFailoverCapIsForLostZonesOnly(t *testing.T) {
	for _, tc := range []struct {
		name  string
		limit Limit
		want  float64
	}{
		{"no failover cap", Limit{Cap: 0.2, Lost: map[string]bool{"a": true}}, 0.2},
		{"the zone is lost", Limit{Cap: 0.2, FailoverCap: 0.6, Lost: map[string]bool{"a": true}}, 0.6},
		{"another zone is lost", Limit{Cap: 0.2, FailoverCap: 0.6, Lost: map[string]bool{"c": true}}, 0.2},
	} {
		var row Row
		row.Move(start, Weights{"a": 1}, tc.limit)
		row.Move(at(1), Weights{"b": 1}, tc.limit)
		if got := row.Weights()["b"]; math.Abs(got-tc.want) > slack {
			t.Errorf("%s: %.2f moved, want %.2f", tc.name, got, tc.want)
		}
	}
}

// A VM crashes while traffic is being moved, and another one replaces it. If the
// new VM started with the wanted weights, its callers' traffic would move at
// once. If it did not restore the moves of the last minute, it would repeat them.
func TestRestoredRowCountsEarlierMoves(t *testing.T) {
	var old, restored Row
	limit := Limit{Cap: testCap}
	old.Move(start, Weights{"a": 1}, limit)
	old.Move(at(1), Weights{"b": 1}, limit)
	restored.Restore(old.Weights(), old.Moves(at(10)))
	restored.Move(at(10), Weights{"b": 1}, limit)
	if d := Distance(old.Weights(), restored.Weights()); d > slack {
		t.Errorf("the restored row moved by %.2f more within the same minute", d)
	}
	restored.Move(at(62), Weights{"b": 1}, limit)
	if got := restored.Weights()["b"]; math.Abs(got-2*testCap) > slack {
		t.Errorf("after the window zone b has a weight of %.2f, want %.2f", got, 2*testCap)
	}
}

// An operator drains a zone when traffic has already moved within the last
// minute. The estimated time until the zone is empty must match the moves that
// follow.
func TestEstimateMatchesMoves(t *testing.T) {
	for _, tc := range []struct {
		name string
		cap  float64
	}{{"cap of a tenth", 0.1}, {"cap of a third", 1.0 / 3}, {"no cap", 1}} {
		var row Row
		limit, wanted := Limit{Cap: tc.cap}, Weights{"b": 0.6, "c": 0.4}
		row.Move(start, Weights{"a": 0.9, "b": 0.1}, limit)
		row.Move(at(20), Weights{"a": 0.85, "b": 0.15}, limit)
		want, ok := row.Estimate(at(30), wanted, limit, time.Second, time.Hour)
		if !ok {
			t.Fatalf("%s: no estimate", tc.name)
		}
		now := at(30)
		for row.Move(now, wanted, limit) > minMove {
			now = now.Add(700 * time.Millisecond)
		}
		if took := now.Sub(at(30)); math.Abs(float64(took-want)) > float64(want)/5+float64(time.Second) {
			t.Errorf("%s: estimated %v, took %v", tc.name, want, took)
		}
	}
	var row Row
	row.Move(start, Weights{"a": 1}, Limit{Cap: 1})
	if _, ok := row.Estimate(start, Weights{"b": 1}, Limit{}, time.Second, time.Hour); ok {
		t.Error("got an estimate with a cap of 0")
	}
}

func BenchmarkPick(b *testing.B) {
	var row Row
	row.Move(start, wantedFrom(1), Limit{Cap: 1})
	b.ReportAllocs()
	for b.Loop() {
		row.Pick()
	}
}
