package callers_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"auburnlatch/core/callers"
	"auburnlatch/core/member"
)

// The two capacities of VMs: a few have a wide link, and many a tenth of it.
var (
	wide   = member.Capacity{LinkMbps: 200, Cores: 0.8}
	narrow = member.Capacity{LinkMbps: 20, Cores: 0.16}
)

// vms returns n VMs with the same capacity, spread over three zones.
func vms(n int, size string, c member.Capacity) []*member.VM {
	var list []*member.VM
	for i := range n {
		list = append(list, &member.VM{Name: fmt.Sprint(size, i), Zone: fmt.Sprint("z", i%3), Capacity: c})
	}
	return list
}

// withTraffic returns the list after giving all of a traffic to its first VM.
func withTraffic(list []*member.VM, requests float64) []*member.VM {
	if len(list) > 0 {
		list[0].Traffic = member.Traffic{Requests: requests, Bytes: requests * 12_000}
	}
	return list
}

func names(list []*member.VM) []string {
	var out []string
	for _, vm := range list {
		out = append(out, vm.Name)
	}
	return out
}

func TestNamed(t *testing.T) {
	for _, tc := range []struct {
		name     string
		vms      []*member.VM
		requests float64
		want     int
	}{
		{"no VM", nil, 100, 0},
		{"one VM", vms(1, "n", narrow), 1000, 1},
		{"few of equal capacity", vms(3, "n", narrow), 100, 3},
		{"little traffic: the preferred minimum", vms(30, "n", narrow), 50, 4},
		{"eight times 200 requests per second over links of 20 Mbit/s", vms(30, "n", narrow), 200, 8},
		{"more traffic than all can carry eight times over", vms(30, "n", narrow), 5000, 30},
		{"unknown traffic", vms(30, "n", narrow), 0, 30},
		{"wide VMs suffice", slices.Concat(vms(56, "n", narrow), vms(9, "w", wide)), 600, 4},
		{"unknown traffic: the wide VMs can carry more than all together", slices.Concat(vms(56, "n", narrow), vms(9, "w", wide)), 0, 9},
		{"three wide VMs can carry more than with a narrow fourth", slices.Concat(vms(24, "n", narrow), vms(3, "w", wide)), 700, 3},
		{"a VM that suffices is not named alone", slices.Concat(vms(24, "n", narrow), vms(1, "w", member.Capacity{LinkMbps: 2000, Cores: 4})), 100, 4},
		{"a VM that suffices is not named with narrow ones that could not carry their part", slices.Concat(vms(24, "n", narrow), vms(1, "w", member.Capacity{LinkMbps: 2000, Cores: 4})), 700, 25},
		{"unknown traffic: a wide VM is not named alone", slices.Concat(vms(1, "n", narrow), vms(1, "w", wide)), 0, 2},
		{"one wide VM can carry less than all together", slices.Concat(vms(24, "n", narrow), vms(1, "w", wide)), 700, 25},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := names(callers.Named(withTraffic(tc.vms, tc.requests)))
			if len(got) != tc.want {
				t.Errorf("got %d VMs, want %d: %v", len(got), tc.want, got)
			}
		})
	}
}

// Three zones have four VMs each, and four of the twelve are named. If a zone had more than
// two of these, its failure would disconnect more than half of the region's callers, where
// about a third is possible.
func TestNamedVMsAreSpreadOverZones(t *testing.T) {
	perZone := make(map[string]int)
	for _, vm := range callers.Named(withTraffic(vms(12, "w", wide), 400)) {
		perZone[vm.Zone]++
	}
	for zone, n := range perZone {
		if n > 2 {
			t.Errorf("zone %s has %d of the named VMs, want at most 2", zone, n)
		}
	}
	if len(perZone) != 3 {
		t.Errorf("the named VMs are in %d zones, want 3", len(perZone))
	}
}

// Any VM answers look-ups, each from its own list in its own order. All must name the
// same VMs, and as traffic grows the VMs named before must stay, or callers close
// connections for no reason.
func TestNamedProperties(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("the order of the list has no effect; VMs stay named as traffic grows; some VM is named", prop.ForAll(
		func(nWide, nNarrow int, requests, growth float64, seed int64) string {
			list := withTraffic(slices.Concat(vms(nWide, "w", wide), vms(nNarrow, "n", narrow)), requests)
			before := names(callers.Named(list))
			shuffled := slices.Clone(list)
			rand.New(rand.NewPCG(uint64(seed), 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
			if !slices.Equal(before, names(callers.Named(shuffled))) {
				return "another order of the list gives other VMs"
			}
			if len(list) > 0 && len(before) == 0 {
				return "no VM is named"
			}
			after := names(callers.Named(withTraffic(list, requests*growth)))
			if len(after) >= len(before) && !slices.Equal(after[:len(before)], before) {
				return "growing traffic has replaced a VM"
			}
			return ""
		},
		gen.IntRange(0, 9), gen.IntRange(0, 60), gen.Float64Range(25, 3000), gen.Float64Range(1, 5), gen.Int64(),
	))
	properties.TestingRun(t)
}

// The callers of a region make 560 requests per second to 65 VMs, which send them to 900
// upstreams and close a connection after ten seconds without a request. Spread over all
// VMs, four of five requests open a connection, which occupies a slot of the upstream for a
// moment and costs the caller a round trip. With the named VMs, less than two of five may.
func TestNamedVMsReuseConnections(t *testing.T) {
	list := withTraffic(slices.Concat(vms(56, "n", narrow), vms(9, "w", wide)), 560)
	all, named := openFraction(len(list)), openFraction(len(callers.Named(list)))
	if all < 0.75 || named > 0.4 {
		t.Errorf("fraction of requests that open a connection: %.2f with all %d VMs, want at least 0.75; %.2f with the named, want at most 0.4", all, len(list), named)
	}
}

// openFraction returns the fraction of requests that open a connection when each goes
// to a random one of n VMs.
func openFraction(n int) float64 {
	const (
		perSecond, seconds, upstreams = 560, 40, 900
		warmUp                        = 10 * perSecond // First requests, which are not counted.
		idleTimeout                   = 9 * perSecond  // Of a connection, in requests of the region.
	)
	r := rand.New(rand.NewPCG(1, 2))
	used := make(map[[2]int]int)
	opened := 0
	for i := range perSecond * seconds {
		pair := [2]int{r.IntN(n), r.IntN(upstreams)}
		last, ok := used[pair]
		if i >= warmUp && (!ok || i-last > idleTimeout) {
			opened++
		}
		used[pair] = i
	}
	return float64(opened) / float64(perSecond*seconds-warmUp)
}

// A VM's traffic rises and falls. The published traffic has to follow within seconds,
// but not with every request: each change is sent to all VMs.
func TestMeter(t *testing.T) {
	var m callers.Meter
	now := time.Unix(1000, 0)
	changes := 0
	published := m.Traffic(now)
	beat := func(n, requests int) {
		for range n {
			for range requests {
				m.Add(1000)
			}
			now = now.Add(500 * time.Millisecond)
			if got := m.Traffic(now); got != published {
				published, changes = got, changes+1
			}
		}
	}
	beat(20, 0)
	if changes != 0 {
		t.Errorf("%d changes published without requests, want none", changes)
	}
	beat(20, 1)
	if published != (member.Traffic{}) {
		t.Errorf("published at two requests per second: %+v, want none", published)
	}
	beat(12, 50)
	if published.Requests < 70 || published.Requests > 101 || published.Bytes < 70_000 {
		t.Errorf("published at 100 requests per second: %+v", published)
	}
	changes = 0
	for i := range 20 {
		beat(1, 47+i%7)
	}
	if changes > 1 {
		t.Errorf("%d changes published at steady traffic, want at most 1", changes)
	}
	beat(30, 0)
	if published != (member.Traffic{}) {
		t.Errorf("published after the end of traffic: %+v, want none", published)
	}
}

func BenchmarkNamed(b *testing.B) {
	list := withTraffic(slices.Concat(vms(56, "n", narrow), vms(9, "w", wide)), 560)
	for b.Loop() {
		callers.Named(list)
	}
}
