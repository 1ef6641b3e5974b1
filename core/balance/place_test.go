package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/target"
)

// owners requests each of n objects once, all within 0.1 s, and returns the IDs of their
// targets.
func owners(t *testing.T, b *balance.Balancer, now time.Time, n int) []string {
	t.Helper()
	list := make([]string, n)
	for i := range list {
		now := now.Add(time.Duration(i) * time.Second / 10 / time.Duration(n))
		l := choose(t, b, now, balance.Request{Route: "look-up", Key: fmt.Sprint("object", i)})
		answered(b, now, l)
		list[i] = l.Target.ID
	}
	return list
}

// objectsPerTarget counts objects by target.
func objectsPerTarget(owners []string) map[string]int {
	n := make(map[string]int)
	for _, id := range owners {
		n[id]++
	}
	return n
}

// countDiffering counts the objects that two VMs place differently.
func countDiffering(a, b *balance.Balancer) int {
	at := make(map[uint64]string)
	list, _ := a.Placements()
	for _, p := range list {
		at[p.Object] = p.Target
	}
	n := 0
	list, _ = b.Placements()
	for _, p := range list {
		if at[p.Object] != p.Target {
			n++
		}
	}
	return n
}

// countMoved counts the objects whose target differs.
func countMoved(a, b []string) int {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return n
}

// Guards against uneven placement. A service has 72 objects and 12 targets. By hashing alone
// one target has ten or eleven of them, and its callers wait while other targets are idle.
func TestPlacementIsEven(t *testing.T) {
	for seed := range 10 {
		targets := newTargets(5, map[string]int{"north": 12})
		for _, tgt := range targets {
			tgt.ID += fmt.Sprint("-", seed)
		}
		list := owners(t, newVM("north", targets), start, 72)
		for id, n := range objectsPerTarget(list) {
			if n > 8 {
				t.Errorf("seed %d: %s has %d of 72 objects, want at most 8 with a mean of 6", seed, id, n)
			}
		}
	}
}

// A target that joins, or returns after a restart, must get its share of the objects, one by
// one, as each is new to it.
func TestNewTargetGainsObjectsGradually(t *testing.T) {
	targets := newTargets(5, map[string]int{"north": 12})
	b := newVM("north", targets[:11])
	now := start
	before := owners(t, b, now, 72)
	b.SetTargets(targets)
	for range 100 { // 10 s, for one of several VMs.
		now = now.Add(100 * time.Millisecond)
		after := owners(t, b, now, 72)
		if n := countMoved(before, after); n > 1 {
			t.Fatalf("%d objects moved within 0.1 s, want at most 1", n)
		}
		before = after
	}
	if n := objectsPerTarget(before)[targets[11].ID]; n < 3 {
		t.Errorf("new target has %d objects after 10 s, want at least 3 with a mean of 6", n)
	}
}

// When a target leaves, only its objects move, and no other target gets far more than its
// share.
func TestRemovedTargetMovesOnlyItsObjects(t *testing.T) {
	targets := newTargets(5, map[string]int{"north": 12})
	b := newVM("north", targets)
	before := owners(t, b, start, 72)
	b.SetTargets(targets[1:])
	after := owners(t, b, start, 72)
	if got, want := countMoved(before, after), objectsPerTarget(before)[targets[0].ID]; got != want {
		t.Errorf("%d objects moved, want %d, those of the removed target", got, want)
	}
	for id, n := range objectsPerTarget(after) {
		if n > 9 {
			t.Errorf("%s has %d objects, want at most 9 with a mean of 6.5", id, n)
		}
	}
}

// Two VMs of a region place the same objects at the same time, before they receive each other's
// placements. Afterwards they must agree, in whatever order placements arrive, otherwise each
// object stays at two targets and takes up twice the room.
func TestConcurrentPlacementsConverge(t *testing.T) {
	targets := newTargets(5, map[string]int{"north": 12})
	rnd := rand.New(rand.NewPCG(1, 1))
	a, b := newVM("north", targets), balance.New("vm-b", "north", "north-1")
	b.SetTargets(targets)
	b.SetSynced()
	owners(t, a, start, 72)
	for i := range 72 { // In another order, so that they differ.
		answered(b, start, choose(t, b, start, balance.Request{Route: "look-up", Key: fmt.Sprint("object", 71-i)}))
	}
	for round := 0; round < 10; round++ {
		fromA, fromB := a.News(), b.News()
		rnd.Shuffle(len(fromA), func(i, j int) { fromA[i], fromA[j] = fromA[j], fromA[i] })
		a.MergePlacements(start, b.MergePlacements(start, fromA))
		b.MergePlacements(start, a.MergePlacements(start, fromB))
	}
	if n := countDiffering(a, b); n != 0 {
		t.Errorf("%d objects differ after both VMs merged the other's placements", n)
	}
}

// A VM starts among others that have placed all objects, and places some before it receives
// those placements. The others' placements must win, as their targets have handled the objects.
func TestNewVMKeepsExistingPlacements(t *testing.T) {
	targets := newTargets(5, map[string]int{"north": 12})
	old := newVM("north", targets)
	owners(t, old, start, 72)
	old.News()
	before, _ := old.Placements()
	later := start.Add(time.Minute / 2)
	young := balance.New("vm-young", "north", "north-1")
	young.SetTargets(targets)
	young.SetSynced()
	owners(t, young, later, 72)
	young.MergePlacements(later, old.MergePlacements(later, young.News()))
	if newer := old.MergePlacements(later, before); len(newer) != 0 {
		t.Errorf("%d objects moved by a VM that had just started", len(newer))
	}
	if n := countDiffering(old, young); n != 0 {
		t.Errorf("%d objects differ at the VM that had just started", n)
	}
}

// All VMs of a region start at the same time and have no placements. They must agree without
// communication: if each placed objects by itself, an object would be new to as many targets as
// there are VMs.
func TestUnsyncedVMsAgree(t *testing.T) {
	targets := newTargets(5, map[string]int{"north": 12})
	var first []string
	for i := range 4 {
		b := balance.New(fmt.Sprint("vm", i), "north", "north-0")
		b.SetTargets(targets)
		list := owners(t, b, start, 72)
		if first == nil {
			first = list
		}
		if n := countMoved(first, list); n != 0 {
			t.Errorf("VM %d differs from VM 0 in %d objects", i, n)
		}
	}
}

// Targets keep joining in all regions. From one window of two seconds to the next at most 15 %
// of a region's requests may change the region in which they run, other than by a target's
// leaving, in the last windows as in the first.
func TestMovesKeepTheShiftCap(t *testing.T) {
	all := newTargets(5, map[string]int{"north": 6, "south": 6, "west": 6})
	b := newVM("north", all)
	learnRTTs(t, b)
	rnd := rand.New(rand.NewPCG(7, 7))
	now := start
	present := append([]*target.Target(nil), all[:12]...)
	b.SetTargets(present)
	shares := func() map[string]float64 {
		list := make(map[string]float64)
		for i := range 96 {
			now := now.Add(time.Duration(i) * time.Millisecond)
			l := choose(t, b, now, balance.Request{Route: "look-up", Objective: 300 * time.Millisecond, Key: fmt.Sprint("object", i)})
			answered(b, now, l)
			list[l.Target.Region] += 1.0 / 96
		}
		return list
	}
	shares()
	for window := range 60 {
		before := shares()
		if window%5 == 0 && len(present) < len(all) {
			present = append(present, all[len(present)]) // One joins; none leaves.
			b.SetTargets(present)
		}
		for range 20 {
			now = now.Add(100*time.Millisecond + time.Duration(rnd.IntN(1000)))
			shares()
		}
		changed := 0.0
		for region, share := range shares() {
			changed += max(0, share-before[region])
		}
		if changed > 0.15 {
			t.Errorf("window %d: %.2f of the requests changed their region, want at most 0.15", window, changed)
		}
	}
}

// Guards against unbounded memory where a caller uses a new key for each request. Placements
// must be bounded and expire, and requests must still be assigned.
func TestPlacementCountIsBounded(t *testing.T) {
	b := newVM("north", newTargets(50, map[string]int{"north": 4}))
	for i := range 70_000 {
		answered(b, start, choose(t, b, start, balance.Request{Route: fmt.Sprint("route", i%300), Key: fmt.Sprint(i)}))
	}
	if n := b.PlacementCount(); n > 64<<10 {
		t.Errorf("%d placements, want at most 65536", n)
	}
	b.Expire(start.Add(2 * time.Minute))
	if n := b.PlacementCount(); n != 0 {
		t.Errorf("%d placements two minutes later, want 0", n)
	}
}

// BenchmarkChooseOwner measures Choose for an object that has a placement.
func BenchmarkChooseOwner(bench *testing.B) {
	b := newVM("north", newTargets(4, map[string]int{"north": 700, "south": 700}))
	req := balance.Request{Service: "s", Route: "r", Key: "object"}
	bench.ReportAllocs()
	for bench.Loop() {
		l, err := b.Choose(start, req)
		if err != nil {
			bench.Fatal(err)
		}
		b.Done(start, l, balance.Outcome{Answered: true})
	}
}

// A Balancer must work without any one mechanism, so that the effect of each can be measured.
func TestWithout(t *testing.T) {
	targets := newTargets(5, map[string]int{"north": 6, "south": 6})
	for m := balance.Placing; m <= balance.SuspectCap; m++ {
		b := balance.New("vm", "north", "north-0", balance.Without(m))
		b.SetTargets(targets)
		b.SetSynced()
		list := owners(t, b, start, 72)
		if again := owners(t, b, start, 72); countMoved(list, again) > 1 {
			t.Errorf("without mechanism %d: %d of 72 objects moved, want at most 1", m, countMoved(list, again))
		}
		if placed := b.PlacementCount() > 0; placed == (m == balance.Placing) {
			t.Errorf("without mechanism %d: has placements: %v", m, placed)
		}
	}
}
