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

// zone1 is the scope of a global exchange between two VMs of zone z1.
var zone1 = Scope{Zone: "z1", Global: true}

// hold is the JoinHold of the tests.
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
	for _, m := range tab.Peers(now) {
		if m.VM.Name == name {
			return m.State
		}
	}
	t.Fatalf("%s is not in the table", name)
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
		{"duplicate", 5, 10, 0},
		{"late and older", 5, 9, 0},
		{"newer", 5, 11, 1},
		{"older incarnation, higher seq", 4, 99, 0},
		{"newer incarnation, lower seq", 6, 1, 1},
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
		t.Errorf("Merge accepted a VM of another zone")
	}
	if n := tab.Merge(start, []Entry{vmEntry("a", 9, 9, VM{})}); n != 0 {
		t.Errorf("Merge accepted the table's own entry from a peer")
	}
}

// A peer becomes silent: killed, paused or partitioned. If its slots were taken
// over while it still used them, an upstream would get more requests than it has
// slots. Silence alone must not make the peer Gone. Only its absence from a
// platform list read since does, and only if it was listed before.
func TestSilentVMIsGoneOnlyByPlatformList(t *testing.T) {
	for _, tc := range []struct {
		name  string
		lists []listRead
		want  State
	}{
		{"no list", nil, Silent},
		{"still listed", []listRead{{0, true}, {20, true}}, Silent},
		{"never listed", []listRead{{0, false}, {20, false}}, Silent},
		{"delisted, by a list read before it was silent", []listRead{{0, true}, {2, false}}, Silent},
		{"delisted, by a list read since", []listRead{{0, true}, {20, false}}, Gone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tab := NewTable("a", "z1", 1, start)
			tab.Merge(at(0), []Entry{vmEntry("b", 1, 1, VM{Held: map[string]int{"t": 2}})})
			for _, l := range tc.lists {
				l.apply(tab)
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

// A VM starts and dies before it is ever on the platform's list. If it never became
// Gone, its peers would wait for its acknowledgement forever and the zone could not
// move a slot again.
func TestNeverListedVMIsGoneAfterMaxListLag(t *testing.T) {
	tab := NewTable("a", "z1", 1, start)
	tab.Merge(at(0), []Entry{vmEntry("b", 1, 1, VM{})})
	for s := 0.5; s <= 400; s += 0.5 {
		tab.Tick(at(s))
	}
	tab.SetPlatformList(at(200), []ListedVM{{Name: "a", Zone: "z1"}})
	if got := stateOf(t, tab, at(400), "b"); got != Silent {
		t.Errorf("list read at 200 s: state = %v, want Silent", got)
	}
	tab.SetPlatformList(at(400), []ListedVM{{Name: "a", Zone: "z1"}})
	if got := stateOf(t, tab, at(400), "b"); got != Gone {
		t.Errorf("list read at 400 s: state = %v, want Gone", got)
	}
}

// A zone was partitioned ten minutes ago. A VM that starts now receives its summary
// from a peer. If it took the summary for recent, it would send callers there.
func TestEntriesCarryTheirAge(t *testing.T) {
	a, b := NewTable("a", "z1", 1, start), NewTable("b", "z1", 1, at(600))
	a.Merge(at(0), []Entry{
		{Stamp: Stamp{Key: KeyOf("load/z2/x"), Incarnation: 1, Seq: 1, Beat: 1}, Load: &Load{Zone: "z2"}},
		vmEntry("dead", 1, 1, VM{}),
	})
	b.MergeDelta(at(600), a.Answer(at(600), zone1, nil))
	views := b.Zones(at(601))
	if len(views) != 1 || views[0].LoadAge != 601*time.Second {
		t.Errorf("zones = %+v, want z2 with a load 601 s old", views)
	}
	if got := b.Peers(at(601)); len(got) != 0 {
		t.Errorf("peers = %v, want none: dead was last seen more than MaxListLag ago", got)
	}
}

// A VM dies and is replaced. The replacement receives the entry of the dead one from
// a peer, but started too late to have seen it on the platform's list. It must rely
// on the peer's Gone, or the zone is short of slots until MaxListLag has passed.
func TestGonePropagates(t *testing.T) {
	a, b := NewTable("a", "z1", 1, start), NewTable("b", "z1", 2, at(10))
	a.Merge(at(0), []Entry{vmEntry("dead", 7, 1, VM{Held: map[string]int{"t": 2}})})
	a.SetPlatformList(at(0), []ListedVM{{Name: "a", Zone: "z1"}, {Name: "dead", Zone: "z1"}})
	b.MergeDelta(at(10), a.Answer(at(10), zone1, nil))
	b.SetPlatformList(at(10), []ListedVM{{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z1"}})
	if got := stateOf(t, b, at(11), "dead"); got != Silent {
		t.Errorf("before a has read the list: state = %v, want Silent", got)
	}
	a.SetPlatformList(at(12), []ListedVM{{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z1"}})
	a.Publish(at(12), VM{Name: "a", Zone: "z1"})
	b.MergeDelta(at(12), a.Answer(at(12), zone1, nil))
	if got := stateOf(t, b, at(12), "dead"); got != Gone {
		t.Errorf("after a has published: state = %v, want Gone", got)
	}
}

// A VM sends heartbeats while its entry does not change. All peers must keep it Live
// by the beats alone, including those that receive them indirectly, without its
// entry being sent again.
func TestBeatsKeepAVMLive(t *testing.T) {
	a, b, c := NewTable("a", "z1", 1, start), NewTable("b", "z1", 1, start), NewTable("c", "z1", 1, start)
	sent := 0
	for s := 0.5; s <= 20; s += 0.5 {
		a.Publish(at(s), VM{Name: "a", Zone: "z1"})
		for _, pair := range [][2]*Table{{a, b}, {b, c}} {
			pair[0].Tick(at(s))
			pair[1].Tick(at(s))
			d := pair[0].Answer(at(s), zone1, pair[1].Digest(at(s), zone1))
			pair[1].MergeDelta(at(s), d)
			sent += len(d.Entries)
		}
	}
	if got := stateOf(t, c, at(20), "a"); got != Live || sent != 2 {
		t.Errorf("a is %v in c's table after %d entries were sent, want Live after 2", got, sent)
	}
	for s := 20.5; s <= 30; s += 0.5 {
		c.Tick(at(s))
		c.MergeDelta(at(s), b.Answer(at(s), zone1, c.Digest(at(s), zone1)))
	}
	if got := stateOf(t, c, at(30), "a"); got != Silent {
		t.Errorf("a is %v ten seconds after its last beat, want Silent", got)
	}
}

// listRead is a read of the platform's list at a second, with or without b.
type listRead struct {
	second float64
	hasB   bool
}

func (l listRead) apply(tab *Table) {
	list := []ListedVM{{Name: "a", Zone: "z1"}}
	if l.hasB {
		list = append(list, ListedVM{Name: "b", Zone: "z1"})
	}
	tab.SetPlatformList(at(l.second), list)
}

// A VM is paused for a minute and resumes. By its clock every peer has been silent for
// a minute, although none was. It must not take itself for the only live VM.
func TestPeersStayLiveAfterOwnPause(t *testing.T) {
	tab := NewTable("a", "z1", 1, start)
	tab.Merge(at(0), []Entry{vmEntry("b", 1, 1, VM{})})
	tab.Tick(at(0.5))
	tab.Tick(at(60.5))
	if got := stateOf(t, tab, at(60.5), "b"); got != Live {
		t.Errorf("after a's pause b is %v, want Live", got)
	}
	if tab.Synced(at(64), hold) {
		t.Errorf("Synced before a heartbeat of b: a's slots may be b's by now")
	}
	tab.Merge(at(61), []Entry{vmEntry("b", 1, 2, VM{})})
	if !tab.Synced(at(70), hold) {
		t.Errorf("not Synced after a heartbeat of b since the pause")
	}
}

// Two VMs of a zone start together, before either is on the platform's list. Each
// has no peers and, two seconds later, took every slot of the zone, so the upstreams
// got twice what they can run. (In the demo one VM had all eight slots.) An unlisted
// VM must wait longer, and must wait for peers that only a roster names.
func TestJoiningVMsTakeNoSlotsTooEarly(t *testing.T) {
	tab := NewTable("a", "z1", 1, start)
	if tab.Synced(at(3), hold) {
		t.Errorf("Synced after 3 s, unlisted and alone")
	}
	tab.Merge(at(4), []Entry{{
		Stamp:  Stamp{Key: KeyOf("roster/z1/b"), Incarnation: 1, Seq: 1, Beat: 1},
		Roster: &Roster{Zone: "z1", VMs: []Address{{Name: "b", Zone: "z1", Peer: "b:1"}}},
	}})
	if tab.Synced(at(9), hold) {
		t.Errorf("Synced without an entry of b, which a roster names")
	}
	if got := tab.UnseenPeers(); len(got) != 1 || got[0].Peer != "b:1" {
		t.Errorf("UnseenPeers = %v, want b", got)
	}
	tab.Merge(at(10), []Entry{vmEntry("b", 1, 1, VM{})})
	if !tab.Synced(at(10), hold) {
		t.Errorf("not Synced after 10 s with an entry of b")
	}
}

func TestListedVMJoinsSooner(t *testing.T) {
	tab := NewTable("a", "z1", 1, start)
	tab.SetPlatformList(at(0), []ListedVM{{Name: "a", Zone: "z1"}, {Name: "c", Zone: "z2"}})
	if tab.Synced(at(1), hold) || !tab.Synced(at(3), hold) {
		t.Errorf("a listed VM alone in its zone is not Synced exactly from %v on", hold.Listed)
	}
}

// The VM that published the roster of its zone dies. Its last roster keeps being
// gossiped and names peers that were replaced long ago. A VM that starts later would
// wait for them forever, and its zone would lack its slots.
func TestStaleRosterDoesNotDelayListedVM(t *testing.T) {
	tab := NewTable("a", "z1", 1, start)
	tab.Merge(at(0), []Entry{{
		Stamp:  Stamp{Key: KeyOf("roster/z1/dead"), Incarnation: 1, Seq: 1, Beat: 1},
		Roster: &Roster{Zone: "z1", VMs: []Address{{Name: "long-gone", Zone: "z1"}}},
	}})
	tab.SetPlatformList(at(1), []ListedVM{{Name: "a", Zone: "z1"}})
	if !tab.Synced(at(4), hold) {
		t.Errorf("not Synced although this VM is listed and the VM of the stale roster is not")
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

func TestExchangeConverges(t *testing.T) {
	a, b := NewTable("a", "z1", 1, start), NewTable("b", "z1", 1, start)
	a.Publish(start, VM{Name: "a", Zone: "z1"})
	b.Publish(start, VM{Name: "b", Zone: "z1"})
	a.Merge(start, []Entry{vmEntry("c", 1, 7, VM{})})
	d := b.Answer(start, zone1, a.Digest(start, zone1))
	a.MergeDelta(start, d)
	b.Merge(start, a.Get(start, zone1, d.Want))
	for _, tab := range []*Table{a, b} {
		if got := len(tab.Live(start)); got != 3 {
			t.Errorf("%s has %d live VMs, want 3", tab.self, got)
		}
	}
	if d := b.Answer(start, zone1, a.Digest(start, zone1)); len(d.Entries)+len(d.Beats)+len(d.Want) != 0 {
		t.Errorf("a second exchange sends %+v, want nothing", d)
	}
}

// Guards the index of VMs against changes of the entries. Without the index, each call of
// Peers sorted all VMs, and with half of a fleet silent scanned all of them for each.
func TestPeersAreSorted(t *testing.T) {
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
		for _, m := range tab.Peers(at) {
			if m.VM.Name <= last {
				t.Errorf("%s comes after %s", m.VM.Name, last)
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
		t.Errorf("states with b reported gone: %v", got)
	}
	tab.Merge(silent, []Entry{entry("a", 4, nil)})
	if got := state(silent); got["b"] != Silent {
		t.Errorf("states with b no longer reported gone: %v", got)
	}
	if got, want := tab.Live(silent), []string{"a", "m"}; !slices.Equal(got, want) {
		t.Errorf("live %v, want %v", got, want)
	}
}

// BenchmarkPeers lists a fleet of 300 VMs, half of which are silent. A VM does so about
// fifty times a second.
func BenchmarkPeers(b *testing.B) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	tab := NewTable("vm0", "z", 1, now, WithReports())
	for i := range 300 {
		name := fmt.Sprint("vm", i)
		age := time.Duration(i%2) * 2 * FailAfter
		tab.Merge(now, []Entry{{Stamp: Stamp{Key: KeyOf("vm/" + name), Incarnation: 1, Seq: 1, Age: age}, VM: &VM{Name: name, Zone: "z"}}})
	}
	b.ReportAllocs()
	for b.Loop() {
		tab.Peers(now)
	}
}
