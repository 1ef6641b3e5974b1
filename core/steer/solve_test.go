package steer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// testPaths returns the paths between three zones: a and b are near each other
// and c is far away.
func testPaths() []Path {
	paths := []Path{
		{Origin: "a", Zone: "a"}, {Origin: "b", Zone: "b"}, {Origin: "c", Zone: "c"},
		{Origin: "a", Zone: "b", RoundTrip: 3 * time.Millisecond}, {Origin: "b", Zone: "a", RoundTrip: 3 * time.Millisecond},
		{Origin: "a", Zone: "c", RoundTrip: 110 * time.Millisecond}, {Origin: "c", Zone: "a", RoundTrip: 110 * time.Millisecond},
		{Origin: "b", Zone: "c", RoundTrip: 110 * time.Millisecond}, {Origin: "c", Zone: "b", RoundTrip: 110 * time.Millisecond},
	}
	SortPaths(paths)
	return paths
}

func supply(zone string, slots float64) ZoneSupply { return ZoneSupply{Zone: zone, Slots: slots} }

func TestSolve(t *testing.T) {
	ten := []ZoneSupply{supply("a", 10), supply("b", 10), supply("c", 10)}
	drained := []ZoneSupply{{Zone: "a", Slots: 10, Drained: true}, supply("b", 10), supply("c", 10)}
	for _, tc := range []struct {
		name     string
		supplies []ZoneSupply
		demand   Demand
		floor    float64
		link     float64 // MaxConcurrent from a to b.
		want     Weights
	}{
		{name: "nearest first", supplies: ten, demand: Demand{"a", 8}, want: Weights{"a": 1}},
		{name: "no demand", supplies: ten, demand: Demand{"a", 0}, want: Weights{"a": 1}},
		{name: "then the next nearest", supplies: ten, demand: Demand{"a", 16}, want: Weights{"a": 10.0 / 16, "b": 6.0 / 16}},
		{name: "headroom of other zones stays free", supplies: ten, demand: Demand{"a", 20}, floor: 0.5, want: Weights{"a": 0.5, "b": 0.25, "c": 0.25}},
		{name: "own headroom after near zones", supplies: ten, demand: Demand{"a", 9}, floor: 0.5, want: Weights{"a": 5.0 / 9, "b": 4.0 / 9}},
		{name: "limit of the link", supplies: ten, demand: Demand{"a", 16}, link: 2, want: Weights{"a": 10.0 / 16, "b": 2.0 / 16, "c": 4.0 / 16}},
		{name: "nothing to a drained zone", supplies: drained, demand: Demand{"a", 5}, want: Weights{"b": 1}},
		{name: "more demand than slots", supplies: ten, demand: Demand{"a", 60}, want: Weights{"a": 1.0 / 3, "b": 1.0 / 3, "c": 1.0 / 3}},
		{name: "no supply", supplies: nil, demand: Demand{"a", 5}, want: nil},
	} {
		paths := testPaths()
		paths[3].MaxConcurrent = tc.link
		got := Solve(Problem{Supplies: tc.supplies, Demands: []Demand{tc.demand}, Paths: paths, HeadroomFloor: tc.floor})["a"]
		if d := Distance(got, tc.want); d > slack {
			t.Errorf("%s: weights = %v, want %v", tc.name, got, tc.want)
		}
	}
}

// For any demand and any age of the reports, the traffic that is placed in a
// zone must not exceed the zone's usable slots.
func TestSolveNeverOverfillsAZone(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(propSeed)
	params.MinSuccessfulTests = propRuns
	properties := gopter.NewProperties(params)
	properties.Property("placed <= usable", prop.ForAllNoShrink(
		func(n uint32) bool {
			r := rand.New(rand.NewPCG(uint64(n), 1))
			p := Problem{Paths: testPaths(), HeadroomFloor: r.Float64() / 2}
			for _, z := range zones {
				slots := float64(r.IntN(20))
				p.Supplies = append(p.Supplies, ZoneSupply{
					Zone: z, Slots: slots, InUse: slots * r.Float64(), Age: time.Duration(r.IntN(40)) * time.Second, Drained: r.IntN(5) == 0,
				})
				p.Demands = append(p.Demands, Demand{z, float64(r.IntN(30))})
			}
			s := newSolver(p)
			s.fillAll()
			for _, z := range p.Supplies {
				var placed float64
				for _, w := range s.placed {
					placed += w[z.Zone]
				}
				if placed > z.usable()+slack || z.usable() > z.Slots {
					return false
				}
			}
			return true
		},
		gen.UInt32(),
	))
	properties.TestingRun(t)
}

// loop simulates three zones as a feedback loop: the load that the weights cause
// is reported with a delay, and the next weights are computed from the reports.
// It steps by one second and uses the real Solve and Row, or a baseline.
type loop struct {
	delay      int // Seconds until a report is received.
	lastReport int // Second of the last report received; 0: no limit.
	demand     func(second int) map[string]float64
	reports    []map[string]float64 // Slots in use by zone, one report per second.
	rows       map[string]*Row      // By origin.
}

// outcome is the cost of one run of a loop.
type outcome struct {
	overload    float64 // Largest load of a zone beyond its slots, in slots.
	oscillation float64 // Sum of all moves beyond the direct distance, in shares.
	far         float64 // Mean load sent to zones far away, in slots.
}

const (
	loopSeconds = 600
	loopSlots   = 10.0
)

// rushHour returns the demand of each zone. After a minute, that of zone a
// exceeds its slots.
func rushHour(second int) map[string]float64 {
	if second < 60 {
		return map[string]float64{"a": 6, "b": 4, "c": 4}
	}
	return map[string]float64{"a": 14, "b": 4, "c": 4}
}

// newestReport returns the newest report received by a second, and its age.
func (l *loop) newestReport(second int) (map[string]float64, time.Duration) {
	at := second - l.delay
	if l.lastReport > 0 {
		at = min(at, l.lastReport)
	}
	if at < 0 || len(l.reports) == 0 {
		return map[string]float64{}, time.Duration(second) * time.Second
	}
	at = min(at, len(l.reports)-1)
	return l.reports[at], time.Duration(second-at) * time.Second
}

// policy returns the weights of each origin for a second.
type policy func(l *loop, second int) map[string]Weights

// steerByRows is the policy of this package: the VMs of each zone know the present
// state of their own zone, know the others by their reports, and use the row of
// their origin.
func steerByRows(l *loop, second int) map[string]Weights {
	out := map[string]Weights{}
	for _, origin := range zones {
		wanted := Solve(l.problemAt(origin, second))
		if l.rows[origin] == nil {
			l.rows[origin] = &Row{}
			l.rows[origin].Move(start, Weights{origin: 1}, Limit{Cap: 1})
		}
		l.rows[origin].Move(at(float64(second)), wanted[origin], Limit{Cap: testCap})
		out[origin] = l.rows[origin].Weights()
	}
	return out
}

// problemAt returns the problem as the zone home sees it.
func (l *loop) problemAt(home string, second int) Problem {
	p := Problem{Paths: testPaths(), HeadroomFloor: 0.2}
	used, age := l.newestReport(second)
	for _, z := range zones {
		supply := ZoneSupply{Zone: z, Slots: loopSlots, InUse: used[z], Age: age}
		demand := l.demand(max(0, second-int(age/time.Second)))[z]
		switch {
		case z == home && len(l.reports) > 0:
			supply.InUse, supply.Age = l.reports[len(l.reports)-1][z], 0
			demand = l.demand(second)[z]
		case age >= LostAfter:
			supply.Slots, supply.InUse, demand = 0, 0, 0
		}
		p.Supplies = append(p.Supplies, supply)
		p.Demands = append(p.Demands, Demand{z, demand})
	}
	return p
}

// nearestOnly is a baseline that never moves traffic.
func nearestOnly(*loop, int) map[string]Weights {
	return map[string]Weights{"a": {"a": 1}, "b": {"b": 1}, "c": {"c": 1}}
}

// noMemory is a baseline that uses the newest report only: each origin's traffic
// goes to the zones in proportion to the spare slots they reported.
func noMemory(l *loop, second int) map[string]Weights {
	used, _ := l.newestReport(second)
	out := map[string]Weights{}
	for _, origin := range zones {
		w := Weights{}
		var sum float64
		for _, z := range zones {
			w[z] = max(0.01, loopSlots-used[z])
			sum += w[z]
		}
		for z := range w {
			w[z] /= sum
		}
		out[origin] = w
	}
	return out
}

func (l *loop) run(weightsAt policy) outcome {
	l.rows = map[string]*Row{}
	var o outcome
	var before, first map[string]Weights
	for second := range loopSeconds {
		weights := weightsAt(l, second)
		demand := l.demand(second)
		used := map[string]float64{}
		for _, origin := range zones {
			for z, share := range weights[origin] {
				used[z] += share * demand[origin]
				if (origin == "c") != (z == "c") {
					o.far += share * demand[origin]
				}
			}
			if before != nil {
				o.oscillation += Distance(before[origin], weights[origin])
			}
		}
		if second > 180 {
			for _, z := range zones {
				o.overload = max(o.overload, used[z]-loopSlots)
			}
		}
		l.reports = append(l.reports, used)
		if first == nil {
			first = weights
		}
		before = weights
	}
	for _, origin := range zones {
		o.oscillation -= Distance(first[origin], before[origin])
	}
	o.far /= loopSeconds
	return o
}

var delays = []int{0, 2, 10, 60}

// The demand of one zone exceeds its slots while reports are delayed or lost.
// The traffic must not oscillate between the zones. Once the cap has allowed the
// necessary moves, no zone may get more load than it has slots.
func TestLateReportsCauseNoOscillationOrOverload(t *testing.T) {
	for _, delay := range delays {
		l := &loop{delay: delay, demand: rushHour}
		got := l.run(steerByRows)
		if got.oscillation > 0.05 {
			t.Errorf("reports %d s late: %.2f of the traffic moved back and forth, want at most 0.05", delay, got.oscillation)
		}
		if delay <= 10 && got.overload > 0.5 {
			t.Errorf("reports %d s late: a zone got %.1f slots more than it has, want at most 0.5", delay, got.overload)
		}
	}
	l := &loop{lastReport: 30, demand: rushHour}
	if got := l.run(steerByRows); got.oscillation > 0.05 {
		t.Errorf("reports missing after 30 s: %.2f of the traffic moved back and forth, want at most 0.05", got.oscillation)
	}
}

// BenchmarkLateReports measures the effect of late reports on the policy of this
// package and on two baselines.
func BenchmarkLateReports(b *testing.B) {
	for _, c := range []struct {
		name   string
		policy policy
	}{{"InUse", steerByRows}, {"NearestOnly", nearestOnly}, {"NoMemory", noMemory}} {
		for _, delay := range delays {
			b.Run(fmt.Sprintf("%s/Delay=%ds", c.name, delay), func(b *testing.B) {
				var got outcome
				for b.Loop() {
					got = (&loop{delay: delay, demand: rushHour}).run(c.policy)
				}
				b.ReportMetric(math.Max(0, got.overload), "slots-over")
				b.ReportMetric(math.Max(0, got.oscillation), "swings")
				b.ReportMetric(got.far, "slots-far")
			})
		}
	}
}

// BenchmarkSolve measures one service at the largest planned size, 105 zones.
func BenchmarkSolve(b *testing.B) {
	const n = 105
	p := Problem{HeadroomFloor: 0.2}
	for i := range n {
		p.Supplies = append(p.Supplies, supply(fmt.Sprint("z", i), 50))
		p.Demands = append(p.Demands, Demand{fmt.Sprint("z", i), float64(20 + i%50)})
		for j := range n {
			p.Paths = append(p.Paths, Path{Origin: fmt.Sprint("z", i), Zone: fmt.Sprint("z", j), RoundTrip: time.Duration((i-j)*(i-j)) * time.Millisecond})
		}
	}
	SortPaths(p.Paths)
	b.ReportAllocs()
	for b.Loop() {
		Solve(p)
	}
}
