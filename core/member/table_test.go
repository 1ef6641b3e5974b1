package member

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// zone1 is an exchange about everything between two VMs of zone z1.
var zone1 = Scope{Zone: "z1", Global: true}

// hold is what the tests ask of a VM that joins.
var hold = JoinHold{Listed: 2 * time.Second, Unlisted: 8 * time.Second}

func vmEntry(name string, incarnation, seq uint64, vm VM) Entry {
	vm.Name = name
	if vm.Zone == "" {
		vm.Zone = "z1"
	}
	return Entry{Stamp: Stamp{Key: vmKey(name), Incarnation: incarnation, Seq: seq, Beat: seq}, VM: &vm}
}

func stateOf(t *testing.T, tab *Table, now time.Time, name string) State {
	t.Helper()
	for _, m := range tab.Mates(now) {
		if m.VM.Name == name {
			return m.State
		}
	}
	t.Fatalf("%s is not known", name)
	return 0
}

func TestMergeKeepsTheHighestNumber(t *testing.T) {
	tab := NewTable("a", "z1", 1, start)
	for _, tc := range []struct {
		name             string
		incarnation, seq uint64
		want             int
	}{
		{"first", 5, 10, 1},
		{"same again", 5, 10, 0},
		{"late older one", 5, 9, 0},
		{"newer", 5, 11, 1},
		{"older life, higher seq", 4, 99, 0},
		{"newer life, lower seq", 6, 1, 1},
	} {
		got := tab.Merge(start, []Entry{vmEntry("b", tc.incarnation, tc.seq, VM{})})
		if got != tc.want {
			t.Errorf("%s: Merge = %d, want %d", tc.name, got, tc.want)
		}
	}
}

func TestEntriesOfAVMStayInItsZone(t *testing.T) {
	tab := NewTable("a", "z1", 1, start)
	tab.Publish(start, VM{Name: "a", Zone: "z1"})
	if got := tab.Digest(start, Scope{Zone: "z2", Global: true}); len(got) != 0 {
		t.Errorf("Digest for another zone = %v, want none", got)
	}
	if n := tab.Merge(start, []Entry{vmEntry("x", 1, 1, VM{Zone: "z2"})}); n != 0 {
		t.Errorf("Merge took a VM of another zone")
	}
	if n := tab.Merge(start, []Entry{vmEntry("a", 9, 9, VM{})}); n != 0 {
		t.Errorf("Merge took another's word on the own entry")
	}
}

// A mate falls silent: killed, paused or cut off. Callers would see one
// upstream with more requests than slots if its slots were taken over while it
// still used them. Silence alone must not make it Gone; only the platform's
// word on a list read since does, and only if the list knew it once.
func TestSilenceAloneProvesNothing(t *testing.T) {
	for _, tc := range []struct {
		name  string
		lists []listRead
		want  State
	}{
		{"no list", nil, Silent},
		{"still on the list", []listRead{{0, true}, {20, true}}, Silent},
		{"never on a list", []listRead{{0, false}, {20, false}}, Silent},
		{"taken off, by a list read before the silence counted", []listRead{{0, true}, {2, false}}, Silent},
		{"taken off since", []listRead{{0, true}, {20, false}}, Gone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tab := NewTable("a", "z1", 1, start)
			tab.Merge(at(0), []Entry{vmEntry("b", 1, 1, VM{Held: map[string]int{"t": 2}})})
			for _, l := range tc.lists {
				l.give(tab)
			}
			for s := 0.5; s <= 30; s += 0.5 {
				tab.Tick(at(s))
			}
			if got := stateOf(t, tab, at(30), "b"); got != tc.want {
				t.Errorf("state = %v, want %v", got, tc.want)
			}
		})
	}
}

// A VM starts and dies before the platform's list ever has it. Its mates would
// wait for its word for ever, and the zone could never move a slot again.
func TestVMThatWasNeverListedIsGoneInTheEnd(t *testing.T) {
	tab := NewTable("a", "z1", 1, start)
	tab.Merge(at(0), []Entry{vmEntry("b", 1, 1, VM{})})
	for s := 0.5; s <= 400; s += 0.5 {
		tab.Tick(at(s))
	}
	tab.SetListed(at(200), []Listed{{Name: "a", Zone: "z1"}})
	if got := stateOf(t, tab, at(400), "b"); got != Silent {
		t.Errorf("with a list of 200 s: state = %v, want Silent", got)
	}
	tab.SetListed(at(400), []Listed{{Name: "a", Zone: "z1"}})
	if got := stateOf(t, tab, at(400), "b"); got != Gone {
		t.Errorf("with a list of 400 s: state = %v, want Gone", got)
	}
}

// A zone was cut off ten minutes ago. A VM that starts now hears of it from its
// mate. Were the summary fresh to it, it would send callers there.
func TestAgeGoesWithAnEntry(t *testing.T) {
	a, b := NewTable("a", "z1", 1, start), NewTable("b", "z1", 1, at(600))
	a.Merge(at(0), []Entry{
		{Stamp: Stamp{Key: KeyOf("load/z2/x"), Incarnation: 1, Seq: 1, Beat: 1}, Load: &Load{Zone: "z2"}},
		vmEntry("dead", 1, 1, VM{}),
	})
	b.Take(at(600), a.Answer(at(600), zone1, nil))
	views := b.Zones(at(601))
	if len(views) != 1 || views[0].LoadAge != 601*time.Second {
		t.Errorf("zones = %+v, want z2 with a load of 601 s", views)
	}
	if got := b.Mates(at(601)); len(got) != 0 {
		t.Errorf("mates = %v, want none: it was dead for longer than the list lags", got)
	}
}

// A VM dies and is replaced. The replacement hears of the dead one from a mate,
// and started too late to have seen it on the platform's list. It must take the
// mate's word, or the zone is short of slots until the lag's bound is over.
func TestGoneIsPassedOn(t *testing.T) {
	a, b := NewTable("a", "z1", 1, start), NewTable("b", "z1", 2, at(10))
	a.Merge(at(0), []Entry{vmEntry("dead", 7, 1, VM{Held: map[string]int{"t": 2}})})
	a.SetListed(at(0), []Listed{{Name: "a", Zone: "z1"}, {Name: "dead", Zone: "z1"}})
	b.Take(at(10), a.Answer(at(10), zone1, nil))
	b.SetListed(at(10), []Listed{{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z1"}})
	if got := stateOf(t, b, at(11), "dead"); got != Silent {
		t.Errorf("before a has read the list: %v, want Silent", got)
	}
	a.SetListed(at(12), []Listed{{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z1"}})
	a.Publish(at(12), VM{Name: "a", Zone: "z1"})
	b.Take(at(12), a.Answer(at(12), zone1, nil))
	if got := stateOf(t, b, at(12), "dead"); got != Gone {
		t.Errorf("after a has told: %v, want Gone", got)
	}
}

// A VM beats on with nothing to tell. Its mates must keep it Live by the beats
// alone, also those that hear of it from others, without its entry going round
// each time.
func TestBeatsKeepAVMLive(t *testing.T) {
	a, b, c := NewTable("a", "z1", 1, start), NewTable("b", "z1", 1, start), NewTable("c", "z1", 1, start)
	moved := 0
	for s := 0.5; s <= 20; s += 0.5 {
		a.Publish(at(s), VM{Name: "a", Zone: "z1"})
		for _, pair := range [][2]*Table{{a, b}, {b, c}} {
			pair[0].Tick(at(s))
			pair[1].Tick(at(s))
			d := pair[0].Answer(at(s), zone1, pair[1].Digest(at(s), zone1))
			pair[1].Take(at(s), d)
			moved += len(d.Entries)
		}
	}
	if got := stateOf(t, c, at(20), "a"); got != Live || moved != 2 {
		t.Errorf("a is %v with c after %d entries moved, want Live after 2", got, moved)
	}
	for s := 20.5; s <= 30; s += 0.5 {
		c.Tick(at(s))
		c.Take(at(s), b.Answer(at(s), zone1, c.Digest(at(s), zone1)))
	}
	if got := stateOf(t, c, at(30), "a"); got != Silent {
		t.Errorf("a is %v ten seconds after its last beat, want Silent", got)
	}
}

// listRead is a read of the platform's list at a time, with or without b.
type listRead struct {
	second float64
	hasB   bool
}

func (l listRead) give(tab *Table) {
	list := []Listed{{Name: "a", Zone: "z1"}}
	if l.hasB {
		list = append(list, Listed{Name: "b", Zone: "z1"})
	}
	tab.SetListed(at(l.second), list)
}

// A VM is paused for a minute and wakes. By its clock every mate has been
// silent for a minute, though none was. Judging by that, it would take itself
// for the only one left.
func TestOwnPauseIsNotTheMatesSilence(t *testing.T) {
	tab := NewTable("a", "z1", 1, start)
	tab.Merge(at(0), []Entry{vmEntry("b", 1, 1, VM{})})
	tab.Tick(at(0.5))
	tab.Tick(at(60.5))
	if got := stateOf(t, tab, at(60.5), "b"); got != Live {
		t.Errorf("after the own pause b is %v, want Live", got)
	}
	if tab.Fresh(at(64), hold) {
		t.Errorf("Fresh before b was heard again: a's slots may be b's by now")
	}
	tab.Merge(at(61), []Entry{vmEntry("b", 1, 2, VM{})})
	if !tab.Fresh(at(70), hold) {
		t.Errorf("not Fresh though b was heard since the pause")
	}
}

// Two VMs of a zone start together, before the platform's list has either.
// Each knows nobody and, two seconds later, took every slot of the zone: the
// upstreams were sent twice what they can run. (Seen in the demo's status: one
// VM with all eight slots.) A VM that the list does not know yet must wait
// longer, and must not pass over mates that a roster names.
func TestJoiningVMsTakeNoSlotsTooEarly(t *testing.T) {
	tab := NewTable("a", "z1", 1, start)
	if tab.Fresh(at(3), hold) {
		t.Errorf("Fresh after 3 s, unlisted and alone")
	}
	tab.Merge(at(4), []Entry{{
		Stamp:  Stamp{Key: KeyOf("roster/z1/b"), Incarnation: 1, Seq: 1, Beat: 1},
		Roster: &Roster{Zone: "z1", VMs: []Address{{Name: "b", Zone: "z1", Peer: "b:1"}}},
	}})
	if tab.Fresh(at(9), hold) {
		t.Errorf("Fresh though a roster names b, which was not heard")
	}
	if got := tab.Strangers(); len(got) != 1 || got[0].Peer != "b:1" {
		t.Errorf("Strangers = %v, want b", got)
	}
	tab.Merge(at(10), []Entry{vmEntry("b", 1, 1, VM{})})
	if !tab.Fresh(at(10), hold) {
		t.Errorf("not Fresh after 10 s with b heard")
	}
}

func TestListedVMJoinsSooner(t *testing.T) {
	tab := NewTable("a", "z1", 1, start)
	tab.SetListed(at(0), []Listed{{Name: "a", Zone: "z1"}, {Name: "c", Zone: "z2"}})
	if tab.Fresh(at(1), hold) || !tab.Fresh(at(3), hold) {
		t.Errorf("a listed VM alone in its zone joins after %v, not before", hold.Listed)
	}
}

// A VM dies that spoke for its zone. Its last roster goes round for good, and
// names mates that were replaced long ago. A VM that starts then would wait for
// them for ever, and its zone would miss its slots.
func TestOldRosterDoesNotKeepAListedVMOut(t *testing.T) {
	tab := NewTable("a", "z1", 1, start)
	tab.Merge(at(0), []Entry{{
		Stamp:  Stamp{Key: KeyOf("roster/z1/dead"), Incarnation: 1, Seq: 1, Beat: 1},
		Roster: &Roster{Zone: "z1", VMs: []Address{{Name: "long-gone", Zone: "z1"}}},
	}})
	tab.SetListed(at(1), []Listed{{Name: "a", Zone: "z1"}})
	if !tab.Fresh(at(4), hold) {
		t.Errorf("not Fresh though the platform's list has this VM and not the one the old roster names")
	}
}

func TestLeavingIsGoneOnceNothingIsHeld(t *testing.T) {
	tab := NewTable("a", "z1", 1, start)
	tab.Merge(at(0), []Entry{vmEntry("b", 1, 1, VM{Leaving: true, Held: map[string]int{"t": 1}})})
	if got := stateOf(t, tab, at(1), "b"); got != Leaving {
		t.Errorf("state = %v, want Leaving", got)
	}
	tab.Merge(at(1), []Entry{vmEntry("b", 1, 2, VM{Leaving: true})})
	if got := stateOf(t, tab, at(1), "b"); got != Gone {
		t.Errorf("state = %v, want Gone", got)
	}
}

func TestExchangeBringsTwoTablesLevel(t *testing.T) {
	a, b := NewTable("a", "z1", 1, start), NewTable("b", "z1", 1, start)
	a.Publish(start, VM{Name: "a", Zone: "z1"})
	b.Publish(start, VM{Name: "b", Zone: "z1"})
	a.Merge(start, []Entry{vmEntry("c", 1, 7, VM{})})
	d := b.Answer(start, zone1, a.Digest(start, zone1))
	a.Take(start, d)
	b.Merge(start, a.Get(start, zone1, d.Want))
	for _, tab := range []*Table{a, b} {
		if got := len(tab.Live(start)); got != 3 {
			t.Errorf("%s knows %d live VMs, want 3", tab.self, got)
		}
	}
	if d := b.Answer(start, zone1, a.Digest(start, zone1)); len(d.Entries)+len(d.Beats)+len(d.Want) != 0 {
		t.Errorf("a second exchange still moves %+v", d)
	}
}

// VMs come and go under load, and each look at who is there used to sort all of them, and
// with half of a fleet silent to look through all for each. What is kept in order must be
// what a look through all entries gives.
func TestMatesAreInOrder(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	tab := NewTable("m", "z", 1, now, WithReports())
	entry := func(name string, seq uint64, gone map[string]uint64) Entry {
		return Entry{
			Stamp: Stamp{Key: KeyOf("vm/" + name), Incarnation: 1, Seq: seq, Beat: seq},
			VM:    &VM{Name: name, Zone: "z", Gone: gone},
		}
	}
	state := func(at time.Time) map[string]State {
		states := make(map[string]State)
		last := ""
		for _, m := range tab.Mates(at) {
			if m.VM.Name <= last {
				t.Errorf("%s stands behind %s", m.VM.Name, last)
			}
			last = m.VM.Name
			states[m.VM.Name] = m.State
		}
		return states
	}
	tab.Publish(now, VM{Name: "m", Zone: "z"})
	for _, name := range []string{"x", "b", "n", "a"} {
		tab.Merge(now, []Entry{entry(name, 1, nil), entry(name, 2, nil)})
	}
	if got, want := tab.Live(now), []string{"a", "b", "m", "n", "x"}; !slices.Equal(got, want) {
		t.Errorf("live %v, want %v", got, want)
	}
	silent := now.Add(FailAfter + time.Second)
	tab.Merge(silent, []Entry{entry("a", 3, map[string]uint64{"b": 1})})
	if got := state(silent); got["a"] != Live || got["b"] != Gone || got["n"] != Silent {
		t.Errorf("with b told to be gone: %v", got)
	}
	tab.Merge(silent, []Entry{entry("a", 4, nil)})
	if got := state(silent); got["b"] != Silent {
		t.Errorf("with nobody telling that b is gone: %v", got)
	}
	if got, want := tab.Live(silent), []string{"a", "m"}; !slices.Equal(got, want) {
		t.Errorf("live %v, want %v", got, want)
	}
}

// BenchmarkMates is one look at a fleet of 300 VMs, half of which are silent. A VM has some
// fifty a second.
func BenchmarkMates(b *testing.B) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	tab := NewTable("vm0", "z", 1, now, WithReports())
	for i := range 300 {
		name := fmt.Sprint("vm", i)
		age := time.Duration(i%2) * 2 * FailAfter
		tab.Merge(now, []Entry{{Stamp: Stamp{Key: KeyOf("vm/" + name), Incarnation: 1, Seq: 1, Age: age}, VM: &VM{Name: name, Zone: "z"}}})
	}
	b.ReportAllocs()
	for b.Loop() {
		tab.Mates(now)
	}
}
