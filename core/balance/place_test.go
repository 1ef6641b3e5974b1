package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/target"
)

// owners asks once for each of n objects, all in a tenth of a second, and returns the
// IDs of their targets.
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

// parts counts objects by target.
func parts(owners []string) map[string]int {
	n := make(map[string]int)
	for _, id := range owners {
		n[id]++
	}
	return n
}

// differing counts the objects of which two VMs believe that they are elsewhere.
func differing(a, b *balance.Balancer) int {
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

// moved counts the objects whose target differs.
func moved(a, b []string) int {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return n
}

// A service has 72 objects and 12 targets. By a hash alone one target has ten or
// eleven of them, and its callers wait while others idle.
func TestPartsAreEven(t *testing.T) {
	for seed := range 10 {
		targets := fleet(5, map[string]int{"north": 12})
		for _, tgt := range targets {
			tgt.ID += fmt.Sprint("-", seed)
		}
		list := owners(t, vmOf("north", targets), start, 72)
		for id, n := range parts(list) {
			if n > 8 {
				t.Errorf("draw %d: %s has %d of 72 objects, the mean is 6", seed, id, n)
			}
		}
	}
}

// A target joins, or comes back empty. It must get its part, and the others' objects
// must reach it one by one: each is new to it.
func TestTargetThatJoinsGetsItsPart(t *testing.T) {
	targets := fleet(5, map[string]int{"north": 12})
	b := vmOf("north", targets[:11])
	now := start
	before := owners(t, b, now, 72)
	b.SetTargets(targets)
	for range 100 { // Ten seconds, for one VM of some.
		now = now.Add(100 * time.Millisecond)
		after := owners(t, b, now, 72)
		if n := moved(before, after); n > 1 {
			t.Fatalf("%d objects moved within 0.1 s", n)
		}
		before = after
	}
	if n := parts(before)[targets[11].ID]; n < 3 {
		t.Errorf("the target that joined has %d objects after ten seconds, the mean is 6", n)
	}
}

// A target leaves. Its objects, and only they, find others, and none of these gets
// far more than its part.
func TestTargetThatLeavesTakesOnlyItsObjects(t *testing.T) {
	targets := fleet(5, map[string]int{"north": 12})
	b := vmOf("north", targets)
	before := owners(t, b, start, 72)
	b.SetTargets(targets[1:])
	after := owners(t, b, start, 72)
	if got, want := moved(before, after), parts(before)[targets[0].ID]; got != want {
		t.Errorf("%d objects moved, %d were at the target that left", got, want)
	}
	for id, n := range parts(after) {
		if n > 9 {
			t.Errorf("%s has %d objects, the mean is 6.5", id, n)
		}
	}
}

// Two VMs of a region place the same objects at the same moment, before they hear
// each other. Afterwards they must agree, whatever arrives first, or each object
// stays at two targets and takes twice the room.
func TestVMsThatPlacedAtOnceAgree(t *testing.T) {
	targets := fleet(5, map[string]int{"north": 12})
	rnd := rand.New(rand.NewPCG(1, 1))
	a, b := vmOf("north", targets), balance.New("vm-b", "north", "north-1")
	b.SetTargets(targets)
	b.Join()
	owners(t, a, start, 72)
	for i := range 72 { // In another order, so that they differ.
		answered(b, start, choose(t, b, start, balance.Request{Route: "look-up", Key: fmt.Sprint("object", 71-i)}))
	}
	for round := 0; round < 10; round++ {
		fromA, fromB := a.News(), b.News()
		rnd.Shuffle(len(fromA), func(i, j int) { fromA[i], fromA[j] = fromA[j], fromA[i] })
		a.Told(start, b.Told(start, fromA))
		b.Told(start, a.Told(start, fromB))
	}
	if n := differing(a, b); n != 0 {
		t.Errorf("%d objects differ between two VMs that have heard each other", n)
	}
}

// A VM starts among others that have placed all objects, and places some before it
// hears of that. The others' objects must stay: they are known where they are.
func TestVMThatStartsMovesNothing(t *testing.T) {
	targets := fleet(5, map[string]int{"north": 12})
	old := vmOf("north", targets)
	owners(t, old, start, 72)
	old.News()
	before, _ := old.Placements()
	later := start.Add(time.Minute / 2)
	young := balance.New("vm-young", "north", "north-1")
	young.SetTargets(targets)
	young.Join()
	owners(t, young, later, 72)
	young.Told(later, old.Told(later, young.News()))
	if newer := old.Told(later, before); len(newer) != 0 {
		t.Errorf("%d objects moved for a VM that knew nothing", len(newer))
	}
	if n := differing(old, young); n != 0 {
		t.Errorf("%d objects are elsewhere for the VM that started", n)
	}
}

// All VMs of a region start at once and know nothing. They must agree without a
// word: each placing by itself, an object would be new to as many targets as VMs.
func TestVMsThatStartTogetherAgree(t *testing.T) {
	targets := fleet(5, map[string]int{"north": 12})
	var first []string
	for i := range 4 {
		b := balance.New(fmt.Sprint("vm", i), "north", "north-0")
		b.SetTargets(targets)
		list := owners(t, b, start, 72)
		if first == nil {
			first = list
		}
		if n := moved(first, list); n != 0 {
			t.Errorf("VM %d differs from the first about %d objects", i, n)
		}
	}
}

// Targets join and leave in all regions, without end. Between any two windows of
// two seconds no more of a region's requests than 15 in 100 may change the region in
// which they run but by a target's leaving, in the last windows as in the first.
func TestMovesKeepTheShiftCap(t *testing.T) {
	all := fleet(5, map[string]int{"north": 6, "south": 6, "west": 6})
	b := vmOf("north", all)
	learnTrips(t, b)
	rnd := rand.New(rand.NewPCG(7, 7))
	now := start
	there := append([]*target.Target(nil), all[:12]...)
	b.SetTargets(there)
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
		if window%5 == 0 && len(there) < len(all) {
			there = append(there, all[len(there)]) // One joins; none leaves.
			b.SetTargets(there)
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
			t.Errorf("window %d: %.2f of the requests changed their region", window, changed)
		}
	}
}

// A caller makes up a new key for each request. What is remembered of places must stay
// bounded, be forgotten, and leave the choice working.
func TestMadeUpKeysAreBounded(t *testing.T) {
	b := vmOf("north", fleet(50, map[string]int{"north": 4}))
	for i := range 70_000 {
		answered(b, start, choose(t, b, start, balance.Request{Route: fmt.Sprint("route", i%300), Key: fmt.Sprint(i)}))
	}
	if n := b.Placed(); n > 64<<10 {
		t.Errorf("%d objects have a place", n)
	}
	b.Forget(start.Add(2 * time.Minute))
	if n := b.Placed(); n != 0 {
		t.Errorf("%d objects have a place two minutes later", n)
	}
}

// BenchmarkChooseOwner is a choice of an object that has its place.
func BenchmarkChooseOwner(bench *testing.B) {
	b := vmOf("north", fleet(4, map[string]int{"north": 700, "south": 700}))
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

// A Balancer without one of its mechanisms must still choose, so that what the
// mechanism is worth can be measured.
func TestWithout(t *testing.T) {
	targets := fleet(5, map[string]int{"north": 6, "south": 6})
	for m := balance.Placing; m <= balance.Panic; m++ {
		b := balance.New("vm", "north", "north-0", balance.Without(m))
		b.SetTargets(targets)
		b.Join()
		list := owners(t, b, start, 72)
		if again := owners(t, b, start, 72); moved(list, again) > 1 {
			t.Errorf("without mechanism %d: %d of 72 objects do not stay", m, moved(list, again))
		}
		if placed := b.Placed() > 0; placed == (m == balance.Placing) {
			t.Errorf("without mechanism %d: objects have places: %v", m, placed)
		}
	}
}
