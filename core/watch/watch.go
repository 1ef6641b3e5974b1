// Package watch decides which VMs read the platform for all others.
//
// Every upstream writes to the platform on each heartbeat, and whoever reads for the
// others reads all of that: with 3,000 upstreams 0.7 MB a second. So VMs beside the
// platform go first: read from another region, the heartbeats of 3,000 upstreams were a
// third of what crossed between regions. Among those rendezvous hashing decides, by which
// all VMs that know the same agree without a word.
//
// A VM finds out how far the platform is when it starts, before it is known to the others,
// and tells it with what it tells of itself. One that does not know counts as far.
//
// # Usage
//
//	first := watch.First(vms, 2)        // The names of those that read.
//	turn := watch.Before(vms, "vm-a")   // How many would read before this one.
package watch

import (
	"time"

	"auburnlatch/core/dispatch"
)

const (
	// duty is what VMs are ranked for.
	duty = "watch"
	// nearTimes and nearSlack say which VMs are beside the platform: their round trip is at
	// most that many times the shortest, and a bit. Zones of one region are a millisecond
	// or two from each other, regions ten and more; a VM that was busy when it
	// started may take itself for far.
	nearTimes = 2
	nearSlack = 3 * time.Millisecond
)

// VM is one that may read.
type VM struct {
	Name string
	// Trip is its round trip to the platform; 0: not known.
	Trip time.Duration
}

// First returns the names of the n VMs that read, fewer where there are not so many.
func First(vms []VM, n int) []string {
	near, far := split(vms)
	first := dispatch.First(duty, near, n)
	return append(first, dispatch.First(duty, far, n-len(first))...)
}

// Before returns how many VMs come before one.
func Before(vms []VM, name string) int {
	near, far := split(vms)
	for _, other := range near {
		if other == name {
			return dispatch.Before(duty, near, name)
		}
	}
	return len(near) + dispatch.Before(duty, far, name)
}

// split returns the names of the VMs beside the platform, and of the others.
func split(vms []VM) (near, far []string) {
	var least time.Duration
	for _, vm := range vms {
		if vm.Trip > 0 && (least == 0 || vm.Trip < least) {
			least = vm.Trip
		}
	}
	for _, vm := range vms {
		if vm.Trip > 0 && vm.Trip <= nearTimes*least+nearSlack {
			near = append(near, vm.Name)
		} else {
			far = append(far, vm.Name)
		}
	}
	return near, far
}
