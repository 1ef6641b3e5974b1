package watch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"auburnlatch/core/watch"
)

// fleet returns VMs, every third of them beside the platform.
func fleet(n int, near, far time.Duration) []watch.VM {
	vms := make([]watch.VM, n)
	for i := range vms {
		trip := far
		if i%3 == 0 {
			trip = near + time.Duration(i)*time.Microsecond
		}
		vms[i] = watch.VM{Name: fmt.Sprint("vm", i), Trip: trip}
	}
	return vms
}

// All VMs of two regions read the heartbeats of 3,000 upstreams across a third of a
// second's trip, as the two that hashing named happened to be there.
func TestVMsBesideThePlatformReadFirst(t *testing.T) {
	for _, tc := range []struct {
		name      string
		near, far time.Duration
		only      bool // Only those that are near read.
	}{
		{"regions far apart", time.Millisecond, 112 * time.Millisecond, true},
		{"regions near each other", 2 * time.Millisecond, 25 * time.Millisecond, true},
		{"one region", time.Millisecond, 2 * time.Millisecond, false},
		{"nobody knows", 0, 0, false},
		{"one knows, and is far", 0, 90 * time.Millisecond, false},
	} {
		vms := fleet(300, tc.near, tc.far)
		if tc.near == 0 {
			for i := range vms {
				if i%3 == 0 {
					vms[i].Trip = 0
				}
			}
		}
		first := watch.First(vms, 2)
		if len(first) != 2 || first[0] == first[1] {
			t.Fatalf("%s: %v read, want two", tc.name, first)
		}
		for _, vm := range vms {
			if i := slices.Index(first, vm.Name); i >= 0 && tc.only && vm.Trip == tc.far {
				t.Errorf("%s: %s reads and is far away", tc.name, vm.Name)
			}
		}
	}
}

// The VMs that come after the two that read take their place one after the other where
// the platform turns those away. Each must know its own turn.
func TestEachHasItsTurn(t *testing.T) {
	vms := fleet(40, time.Millisecond, 100*time.Millisecond)
	turns := make(map[int]string)
	for _, vm := range vms {
		turn := watch.Before(vms, vm.Name)
		if other := turns[turn]; other != "" {
			t.Errorf("%s and %s both have turn %d", other, vm.Name, turn)
		}
		turns[turn] = vm.Name
		if near := turn < 14; near != (vm.Trip < 50*time.Millisecond) {
			t.Errorf("%s with a trip of %v has turn %d", vm.Name, vm.Trip, turn)
		}
	}
	if first := watch.First(vms, 2); first[0] != turns[0] || first[1] != turns[1] {
		t.Errorf("%v read, want %s and %s", first, turns[0], turns[1])
	}
}

// A fleet with one VM, and one that is not there.
func TestFewVMs(t *testing.T) {
	if first := watch.First(nil, 2); len(first) != 0 {
		t.Errorf("%v read of none", first)
	}
	if first := watch.First([]watch.VM{{Name: "a"}}, 2); !slices.Equal(first, []string{"a"}) {
		t.Errorf("%v read of one", first)
	}
}

// Two VMs of 0.16 cores read for 300 while twelve beside the platform had five times as
// much: they answered late, and the others read for themselves.
func TestStrongVMsReadFirst(t *testing.T) {
	vms := fleet(60, time.Millisecond, 100*time.Millisecond)
	for i := range vms {
		vms[i].Cores = 0.16
		if i%6 < 2 {
			vms[i].Cores = 0.8 // Every second one of those beside the platform, and others.
		}
	}
	for _, vm := range vms {
		near, strong := vm.Trip < 50*time.Millisecond, vm.Cores > 0.5
		turn := watch.Before(vms, vm.Name)
		if want := near && strong; (turn < 10) != want {
			t.Errorf("%s (near %v, strong %v) has turn %d", vm.Name, near, strong, turn)
		}
		if !near && turn < 20 {
			t.Errorf("%s is far and has turn %d", vm.Name, turn)
		}
	}
}
