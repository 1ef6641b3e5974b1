package entry

import (
	"fmt"
	"testing"
)

func regionOf(zones, perZone, use int) *nameable {
	n := &nameable{}
	for z := range zones {
		for i := range perZone {
			name := fmt.Sprint("vm-", z, "-", i)
			n.add(namedVM{name, fmt.Sprint("zone", z), name, use})
		}
	}
	return n
}

// A region has 24 VMs, each of which would use its connections to 206 upstreams so
// seldom that half of them lapse between two requests. A third of the VMs is named,
// of each zone, as long as these carry all that there is; small regions name all.
func TestLookupNamesAsManyVMsAsCarryTheLoad(t *testing.T) {
	for _, tc := range []struct{ zones, perZone, use, want int }{
		{2, 12, 0, 8},
		{2, 12, 20, 8},
		{2, 12, 60, 16},
		{2, 12, 100, 24},
		{2, 12, 500, 24},
		{2, 2, 0, 4},
		{3, 3, 0, 9},
		{1, 1, 0, 1},
	} {
		list := regionOf(tc.zones, tc.perZone, tc.use).addrs()
		if len(list) != tc.want {
			t.Errorf("%d zones of %d VMs at %d units: %d named, want %d", tc.zones, tc.perZone, tc.use, len(list), tc.want)
		}
	}
}

// VMs that differ about one VM that has just left must name the same others, or
// callers go to and fro between them.
func TestLookupsOfVMsAgree(t *testing.T) {
	all, fewer := regionOf(2, 12, 0), &nameable{}
	named := all.addrs()
	for zone, names := range all.byZone {
		for _, name := range names {
			if name != named[0] {
				fewer.add(namedVM{name, zone, name, 0})
			}
		}
	}
	old := make(map[string]bool)
	for _, addr := range named {
		old[addr] = true
	}
	changed := 0
	for _, addr := range fewer.addrs() {
		if !old[addr] {
			changed++
		}
	}
	if changed > 1 {
		t.Errorf("%d of %d named VMs changed as one left", changed, len(named))
	}
}

func TestUseIsToldInSteps(t *testing.T) {
	var u use
	told := 0
	last := 0
	for range 100 {
		for range 35 {
			u.carried(0)
		}
		u.beat()
		if n := u.published(); n != last {
			told, last = told+1, n
		}
	}
	if last < 50 || last > 90 {
		t.Errorf("70 units a second are told as %d", last)
	}
	if told > 5 {
		t.Errorf("a steady load was told %d times", told)
	}
}
