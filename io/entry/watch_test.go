package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"auburnlatch/core/member"
)

// Two VMs read the platform for all, and take in each heartbeat of 3,000 upstreams. Where
// the platform is in another region these were as many bytes between regions as all else
// together. VMs that say that they are far come last; where all are, the order is as if none.
func TestWatchersAreNearThePlatform(t *testing.T) {
	far := func(zone string) func(*member.VM) {
		return func(vm *member.VM) { vm.Far = strings.HasPrefix(zone, "all") || vm.Zone != zone }
	}
	v, now := vmAmong(4, far("z3"))
	order := v.watchOrder(now)
	for _, name := range order[:watchers] {
		if m, ok := v.members.Mate(now, name); ok && m.VM.Far {
			t.Errorf("%s reads for all, and is far", name)
		}
	}
	none, now := vmAmong(4, nil)
	all, _ := vmAmong(4, far("all"))
	if a, b := none.watchOrder(now), all.watchOrder(now); !slices.Equal(slices.DeleteFunc(a, isSelf), slices.DeleteFunc(b, isSelf)) {
		t.Errorf("where all are far the order is %v, want %v", b, a)
	}
}

func isSelf(name string) bool { return name == "self" }

func TestTripsTellWhoIsFar(t *testing.T) {
	const near, distant = 5 * time.Millisecond, 115 * time.Millisecond
	for _, tc := range []struct {
		trips []time.Duration
		far   bool
	}{
		{nil, false},
		{[]time.Duration{distant}, false},
		{[]time.Duration{distant, distant, distant, distant}, true},
		{[]time.Duration{distant, distant, near, distant, distant}, false}, // It was slow for a while.
	} {
		var tr trips
		for _, d := range tc.trips {
			tr.note(d)
		}
		if got := tr.far(); got != tc.far {
			t.Errorf("%v: far %v", tc.trips, got)
		}
	}
	v, _ := vmAmong(1, nil)
	for range tripsKnown {
		v.trips.note(distant)
	}
	there := make(map[string]bool)
	v.targets.Store(&there)
	if v.far() {
		t.Error("far with no upstreams, whose heartbeats nobody takes in")
	}
	for i := range manyTargets {
		there[fmt.Sprint(i)] = true
	}
	if !v.far() {
		t.Error("not far with many upstreams")
	}
}
