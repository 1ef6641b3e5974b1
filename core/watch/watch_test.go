package watch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"auburnlatch/core/watch"
)

// fleet returns VMs, every third of them near the platform.
func fleet(n int, near, far time.Duration) []watch.VM {
	vms := make([]watch.VM, n)
	for i := range vms {
		rtt := far
		if i%3 == 0 {
			rtt = near + time.Duration(i)*time.Microsecond
		}
		vms[i] = watch.VM{Name: fmt.Sprint("vm", i), RTT: rtt}
	}
	return vms
}

// Guards against readers far from the platform while VMs are near it: rendezvous hashing alone
// chose two readers in other regions, and the heartbeats of 3,000 upstreams crossed regions
// with a round trip of a third of a second.
func TestVMsNearPlatformReadFirst(t *testing.T) {
	for _, tc := range []struct {
		name      string
		near, far time.Duration
		only      bool // Only VMs that are near read.
	}{
		{"regions far apart", time.Millisecond, 112 * time.Millisecond, true},
		{"regions near each other", 2 * time.Millisecond, 25 * time.Millisecond, true},
		{"one region", time.Millisecond, 2 * time.Millisecond, false},
		{"all round trips unknown", 0, 0, false},
		{"only far VMs know their round trip", 0, 90 * time.Millisecond, false},
	} {
		vms := fleet(300, tc.near, tc.far)
		if tc.near == 0 {
			for i := range vms {
				if i%3 == 0 {
					vms[i].RTT = 0
				}
			}
		}
		first := watch.First(vms, 2)
		if len(first) != 2 || first[0] == first[1] {
			t.Fatalf("%s: readers are %v, want two", tc.name, first)
		}
		for _, vm := range vms {
			if i := slices.Index(first, vm.Name); i >= 0 && tc.only && vm.RTT == tc.far {
				t.Errorf("%s: %s is a reader and is far away", tc.name, vm.Name)
			}
		}
	}
}

// If the platform rejects the two readers, the VMs that rank next take over one after the
// other. Each VM must have a rank of its own.
func TestVMsHaveDistinctRanks(t *testing.T) {
	vms := fleet(40, time.Millisecond, 100*time.Millisecond)
	byRank := make(map[int]string)
	for _, vm := range vms {
		rank := watch.Before(vms, vm.Name)
		if other := byRank[rank]; other != "" {
			t.Errorf("%s and %s both have rank %d", other, vm.Name, rank)
		}
		byRank[rank] = vm.Name
		if near := rank < 14; near != (vm.RTT < 50*time.Millisecond) {
			t.Errorf("%s with a round trip of %v has rank %d", vm.Name, vm.RTT, rank)
		}
	}
	if first := watch.First(vms, 2); first[0] != byRank[0] || first[1] != byRank[1] {
		t.Errorf("readers are %v, want %s and %s", first, byRank[0], byRank[1])
	}
}

// Guards against errors with fewer VMs than readers.
func TestFewVMs(t *testing.T) {
	if first := watch.First(nil, 2); len(first) != 0 {
		t.Errorf("readers of no VMs are %v", first)
	}
	if first := watch.First([]watch.VM{{Name: "a"}}, 2); !slices.Equal(first, []string{"a"}) {
		t.Errorf("readers of one VM are %v", first)
	}
}

// Guards against weak readers: two VMs of 0.16 cores read for 300 while twelve near the
// platform had five times as much. They responded late, and the others read the platform
// themselves.
func TestStrongVMsReadFirst(t *testing.T) {
	vms := fleet(60, time.Millisecond, 100*time.Millisecond)
	for i := range vms {
		vms[i].Cores = 0.16
		if i%6 < 2 {
			vms[i].Cores = 0.8 // Every second one of those near the platform, and others.
		}
	}
	for _, vm := range vms {
		near, strong := vm.RTT < 50*time.Millisecond, vm.Cores > 0.5
		rank := watch.Before(vms, vm.Name)
		if want := near && strong; (rank < 10) != want {
			t.Errorf("%s (near %v, strong %v) has rank %d", vm.Name, near, strong, rank)
		}
		if !near && rank < 20 {
			t.Errorf("%s is far and has rank %d", vm.Name, rank)
		}
	}
}
