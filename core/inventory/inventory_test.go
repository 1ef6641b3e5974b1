package inventory

import (
	"math"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// small returns a valid inventory with two zones of one target each.
func small(t *testing.T) *Inventory {
	t.Helper()
	inv, err := New(
		Op{Region: &Region{Name: "r"}},
		Op{Zone: &Zone{Name: "z2", Region: "r"}}, Op{Zone: &Zone{Name: "z1", Region: "r"}},
		Op{Service: &Service{Name: "s", MaxShiftPerMinute: 0.1, Timeout: time.Second}},
		Op{Target: &Target{Name: "t1", Service: "s", Zone: "z1", Addr: "10.0.0.1:80", Slots: 2, MaxConnections: 10}},
		Op{Target: &Target{Name: "t2", Service: "s", Zone: "z2", Addr: "10.0.0.2:80", Slots: 2, MaxConnections: 10}},
		Op{Place: &Place{Name: "p", Zone: "z1", Blocks: []netip.Prefix{netip.MustParsePrefix("10.1.0.0/16")}}},
	)
	if err != nil {
		t.Fatal(err)
	}
	if faults := inv.Check(); len(faults) > 0 {
		t.Fatal(faults)
	}
	return inv
}

func TestApplyMakesTheNextVersionAndKeepsTheOld(t *testing.T) {
	inv := small(t)
	next, err := inv.Apply(Change{ID: "c", Ops: []Op{{Drain: &Drain{Kind: KindTarget, Name: "t1"}}}})
	if err != nil {
		t.Fatal(err)
	}
	if next.Version != 1 || !next.TargetDrained(next.Target("t1")) || next.TargetDrained(next.Target("t2")) {
		t.Errorf("next = %+v", next)
	}
	if inv.Version != 0 || len(inv.Drains) != 0 {
		t.Errorf("the previous version has changed: %+v", inv)
	}
	if _, err := next.Apply(Change{ID: "late"}); !errors.Is(err, ErrVersion) {
		t.Errorf("Apply of a change based on an older version: %v, want ErrVersion", err)
	}
}

func TestApplyRefuses(t *testing.T) {
	for _, tc := range []struct {
		name string
		op   Op
		want string
	}{
		{"empty operation", Op{}, "change has an empty operation"},
		{"unknown item", Op{Remove: &Remove{KindTarget, "t9"}}, `cannot remove Target "t9": not found`},
		{"unknown kind", Op{Remove: &Remove{"Tarket", "t1"}}, `unknown kind of item "Tarket"`},
		{"zone in use", Op{Remove: &Remove{KindZone, "z1"}}, `Target t1: Zone: there is no zone "z1"`},
		{"drain of an unknown zone", Op{Drain: &Drain{KindZone, "z9"}}, `there is no Zone "z9"`},
		{"drain of a service", Op{Drain: &Drain{KindService, "s"}}, `"Service" cannot be drained`},
		{"share above 1", Op{Service: &Service{Name: "s", MaxShiftPerMinute: 20, Timeout: 1}}, "MaxShiftPerMinute: 20 is not a share"},
		{"reserved name", Op{Service: &Service{Name: "auburnlatch", MaxShiftPerMinute: 1, Timeout: 1}}, "reserved for the system's own paths"},
		{"name with a slash", Op{Zone: &Zone{Name: "a/b", Region: "r"}}, "'/' is not allowed"},
		{"no slots", Op{Target: &Target{Name: "t1", Service: "s", Zone: "z1", Addr: "10.0.0.1:80"}}, "Slots: must lie between"},
		{"block of another place", Op{Place: &Place{Name: "q", Zone: "z1", Blocks: []netip.Prefix{netip.MustParsePrefix("10.1.0.0/16")}}}, "already belongs to place p"},
	} {
		_, err := small(t).Apply(Change{ID: "c", Ops: []Op{tc.op}})
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: err = %v, want it to contain %q", tc.name, err, tc.want)
		}
	}
}

func TestApplyingADiffGivesTheOtherInventory(t *testing.T) {
	from := small(t)
	to, err := from.Apply(Change{ID: "c", Ops: []Op{
		{Remove: &Remove{KindTarget, "t1"}},
		{Target: &Target{Name: "t3", Service: "s", Zone: "z1", Addr: "10.0.0.3:80", Slots: 1, MaxConnections: 1}},
		{Drain: &Drain{Kind: KindZone, Name: "z2"}},
		{Link: &Link{From: "z1", To: "z2", RoundTrip: time.Millisecond}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	for _, dir := range []struct{ from, to *Inventory }{{from, to}, {to, from}} {
		got, err := dir.from.Apply(Change{Based: dir.from.Version, Ops: Diff(dir.from, dir.to)})
		if err != nil {
			t.Fatal(err)
		}
		got.Version = dir.to.Version
		if len(Diff(got, dir.to)) != 0 || !reflect.DeepEqual(got.Targets, dir.to.Targets) {
			t.Errorf("applying the diff leaves %v", Diff(got, dir.to))
		}
	}
	if ops := Diff(from, from); len(ops) != 0 {
		t.Errorf("Diff of an inventory with itself = %v", ops)
	}
}

func TestUnserved(t *testing.T) {
	inv := small(t)
	for _, tc := range []struct {
		name   string
		drains []Drain
		want   []string
	}{
		{"none", nil, nil},
		{"one of two zones", []Drain{{KindZone, "z1"}}, nil},
		{"a zone and the other zone's target", []Drain{{KindZone, "z1"}, {KindTarget, "t2"}}, []string{"s"}},
		{"the region", []Drain{{KindRegion, "r"}}, []string{"s"}},
	} {
		c := Change{}
		for _, d := range tc.drains {
			c.Ops = append(c.Ops, Op{Drain: &d})
		}
		next, err := inv.Apply(c)
		if err != nil {
			t.Fatal(err)
		}
		if got := next.Unserved(); !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%s: Unserved = %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against stored figures that cannot be computed with, and copies of all items for one.
func TestBounded(t *testing.T) {
	good := &Target{Name: "b", Slots: 4}
	service := &Service{Name: "s", MaxShiftPerMinute: 0.1, HeadroomFloor: 0.2, RetryBudget: 1}
	inv, err := New(
		Op{Target: &Target{Name: "a", Slots: -4}}, Op{Target: good}, Op{Target: &Target{Name: "c", Slots: math.MaxInt32}},
		Op{Service: service}, Op{Service: &Service{Name: "t", MaxShiftPerMinute: math.NaN(), MaxFailoverPerMinute: math.Inf(1), HeadroomFloor: -1, RetryBudget: 7}},
	)
	if err != nil {
		t.Fatal(err)
	}
	got := inv.Bounded()
	if got.Target("a").Slots != 0 || got.Target("b") != good || got.Target("c").Slots != 100_000 || inv.Target("a").Slots != -4 {
		t.Errorf("targets %+v, %+v, %+v", got.Target("a"), got.Target("b"), got.Target("c"))
	}
	if s := got.Service("t"); got.Service("s") != service || s.MaxShiftPerMinute != 0 || s.MaxFailoverPerMinute != 1 || s.HeadroomFloor != 0 || s.RetryBudget != 1 {
		t.Errorf("services %+v, %+v", got.Service("s"), s)
	}
}
