package steer

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"auburnlatch/core/inventory"
	"auburnlatch/core/member"
)

// register returns an inventory of three zones. z1 and z2 are near each other and
// have a place each; z3 is far away.
func register(t testing.TB) *inventory.Inventory {
	t.Helper()
	ops := []inventory.Op{
		{Place: &inventory.Place{Name: "suceava", Zone: "z1", Blocks: []netip.Prefix{netip.MustParsePrefix("10.1.0.0/16")}}},
		{Place: &inventory.Place{Name: "yard", Zone: "z2", Blocks: []netip.Prefix{netip.MustParsePrefix("10.1.7.0/24"), netip.MustParsePrefix("2001:db8::/32")}}},
		{Link: &inventory.Link{From: "z1", To: "z2", RoundTrip: 3 * time.Millisecond}},
		{Link: &inventory.Link{From: "z1", To: "z3", RoundTrip: 110 * time.Millisecond}},
	}
	for _, z := range []string{"z1", "z2", "z3"} {
		ops = append(ops, inventory.Op{Zone: &inventory.Zone{Name: z}})
	}
	inv, err := inventory.New(ops...)
	if err != nil {
		t.Fatal(err)
	}
	return inv
}

// newView returns the view of a zone with the given VMs.
func newView(zone string, vms ...string) member.ZoneView {
	v := member.ZoneView{Zone: zone}
	for _, name := range vms {
		v.VMs = append(v.VMs, member.Address{Name: name, Zone: zone, Caller: name + ":80"})
	}
	return v
}

func TestLookup(t *testing.T) {
	views := []member.ZoneView{newView("z1", "a", "b"), newView("z2", "c"), newView("z3", "d")}
	l := NewLookups(nil, register(t), views, "z3")
	for _, tc := range []struct {
		addr, place, zone string
		first             string
	}{
		{"10.1.2.3", "suceava", "z1", "z1"},
		{"10.1.7.3", "yard", "z2", "z2"},
		{"::ffff:10.1.7.3", "yard", "z2", "z2"},
		{"2001:db8::1", "yard", "z2", "z2"},
		{"192.0.2.1", "", "z3", "z3"},
	} {
		got := l.Lookup(netip.MustParseAddr(tc.addr))
		if got.Place != tc.place || got.Zone != tc.zone || len(got.VMs) == 0 || got.VMs[0].Zone != tc.first {
			t.Errorf("Lookup(%s) = %+v, want place %q, zone %s", tc.addr, got, tc.place, tc.zone)
		}
	}
	if got := l.Place("suceava").VMs; len(got) != 4 || got[2].Name != "c" || got[3].Name != "d" {
		t.Errorf("VMs = %v, want the two of z1, then c and d", got)
	}
}

func TestLookupsFollowChanges(t *testing.T) {
	inv := register(t)
	views := []member.ZoneView{newView("z1", "a", "b"), newView("z2", "c")}
	l := NewLookups(nil, inv, views, "z1")
	views = []member.ZoneView{newView("z1", "a", "b"), views[1]}
	views[0].VMs[0].Leaving = true
	l2 := NewLookups(l, inv, views, "z1")
	addr := netip.MustParseAddr("10.1.2.3")
	if got := l2.Lookup(addr).VMs; got[0].Name != "b" || len(got) != 2 {
		t.Errorf("with VM a leaving: VMs = %v, want b and c", got)
	}
	moved, err := inv.ApplyUnchecked(inventory.Change{Ops: []inventory.Op{
		{Place: &inventory.Place{Name: "suceava", Zone: "z2", Blocks: []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")}}},
		{Remove: &inventory.Remove{Kind: inventory.KindPlace, Name: "yard"}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	l3 := NewLookups(l2, moved, views, "z1")
	if got := l3.Lookup(addr); got.Place != "" {
		t.Errorf("Lookup of a removed block gives place %q", got.Place)
	}
	if got := l3.Lookup(netip.MustParseAddr("10.9.1.1")); got.Place != "suceava" || got.Zone != "z2" {
		t.Errorf("Lookup of the changed place = %+v", got)
	}
	if got := l2.Lookup(addr).Place; got != "suceava" {
		t.Errorf("the previous snapshot has changed: place = %q, want suceava", got)
	}
}

// largeInventory returns an inventory of the largest planned size, 130,000
// blocks in 1,400 places and 105 zones, and the views of 44 VMs in each zone.
func largeInventory() (*inventory.Inventory, []member.ZoneView) {
	const blocks, places, zoneCount, perZone = 130_000, 1_400, 105, 44
	var ops []inventory.Op
	var views []member.ZoneView
	for z := range zoneCount {
		name := fmt.Sprint("z", z)
		ops = append(ops, inventory.Op{Zone: &inventory.Zone{Name: name}})
		var vms []string
		for i := range perZone {
			vms = append(vms, fmt.Sprintf("%s-%d", name, i))
		}
		views = append(views, newView(name, vms...))
	}
	for p := range places {
		place := &inventory.Place{Name: fmt.Sprint("p", p), Zone: fmt.Sprint("z", p%zoneCount)}
		for b := p; b < blocks; b += places {
			addr := netip.AddrFrom4([4]byte{byte(10 + b>>16), byte(b >> 8), byte(b), 0})
			place.Blocks = append(place.Blocks, netip.PrefixFrom(addr, 24))
		}
		ops = append(ops, inventory.Op{Place: place})
	}
	inv := &inventory.Inventory{}
	for _, op := range ops { // As New, which also inserts the items one by one.
		next, err := inv.ApplyUnchecked(inventory.Change{Based: inv.Version, Ops: []inventory.Op{op}})
		if err != nil {
			panic(err)
		}
		inv = next
	}
	return inv, views
}

// BenchmarkLookup measures a lookup at the largest planned size.
func BenchmarkLookup(b *testing.B) {
	before := heap()
	inv, views := largeInventory()
	l := NewLookups(nil, inv, views, "z0")
	used := heap() - before
	addrs := make([]netip.Addr, 1<<12)
	for i := range addrs {
		n := i * 31 % 130_000
		addrs[i] = netip.AddrFrom4([4]byte{byte(10 + n>>16), byte(n >> 8), byte(n), 9})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if l.Lookup(addrs[i&(len(addrs)-1)]).Place == "" {
			b.Fatal("no place")
		}
		i++
	}
	b.ReportMetric(float64(used)/1e6, "MB")
	runtime.KeepAlive(inv)
}

// heap returns the size of the heap, in bytes, after a garbage collection.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkNewLookups measures a new snapshot at the largest planned size after
// a change of one place, of one zone's VMs and of nothing, and the change of the
// inventory itself.
func BenchmarkNewLookups(b *testing.B) {
	inv, views := largeInventory()
	l := NewLookups(nil, inv, views, "z0")
	b.Run("Place", func(b *testing.B) {
		place := *inv.Place("p7")
		next, err := inv.ApplyUnchecked(inventory.Change{Based: inv.Version, Ops: []inventory.Op{{Place: &place}}})
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			NewLookups(l, next, views, "z0")
		}
	})
	b.Run("ZoneVMs", func(b *testing.B) {
		changed := append([]member.ZoneView(nil), views...)
		changed[3] = newView("z3", "new-1", "new-2")
		for b.Loop() {
			NewLookups(l, inv, changed, "z0")
		}
	})
	b.Run("Nothing", func(b *testing.B) {
		for b.Loop() {
			NewLookups(l, inv, views, "z0")
		}
	})
	b.Run("Install", func(b *testing.B) {
		op := inventory.Op{Place: inv.Place("p7")}
		for b.Loop() {
			if _, err := inv.ApplyUnchecked(inventory.Change{Based: inv.Version, Ops: []inventory.Op{op}}); err != nil {
				b.Fatal(err)
			}
		}
	})
}
