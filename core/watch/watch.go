// Package watch decides which VMs read the platform for all others.
//
// Every upstream writes to the platform on each heartbeat, and whoever reads for the
// others reads all of that: with 3,000 upstreams 0.7 MB a second. So VMs beside the
// platform go first: read from another region, the heartbeats of 3,000 upstreams were a
// third of what crossed between regions. Of the VMs beside it the strong ones go first:
// all others ask them, a VM of 0.16 cores is late with its answers to 300, and those who
// wait for them read for themselves. Among equals rendezvous hashing decides, by which all
// VMs that know the same agree without a word.
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
	"slices"
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
	// strongPart is what part of the most processor time a VM must have to be a strong one.
	strongPart = 0.5
)

// VM is one that may read.
type VM struct {
	Name string
	// Trip is its round trip to the platform; 0: not known.
	Trip time.Duration
	// Cores is its processor time in each second, in seconds of a usual core; 0: not known.
	Cores float64
}

// First returns the names of the n VMs that read, fewer where there are not so many.
func First(vms []VM, n int) []string {
	var first []string
	for _, names := range tiers(vms) {
		first = append(first, dispatch.First(duty, names, n-len(first))...)
	}
	return first
}

// Before returns how many VMs come before one.
func Before(vms []VM, name string) int {
	n := 0
	for _, names := range tiers(vms) {
		if slices.Contains(names, name) {
			return n + dispatch.Before(duty, names, name)
		}
		n += len(names)
	}
	return n
}

// tiers returns the names of the strong VMs beside the platform, of the others beside it,
// and of all that are farther away.
func tiers(vms []VM) [3][]string {
	var nearest time.Duration
	for _, vm := range vms {
		if vm.Trip > 0 && (nearest == 0 || vm.Trip < nearest) {
			nearest = vm.Trip
		}
	}
	near := func(vm VM) bool { return vm.Trip > 0 && vm.Trip <= nearTimes*nearest+nearSlack }
	most := 0.0
	for _, vm := range vms {
		if near(vm) {
			most = max(most, vm.Cores)
		}
	}
	var names [3][]string
	for _, vm := range vms {
		tier := 2
		switch {
		case near(vm) && vm.Cores >= strongPart*most:
			tier = 0
		case near(vm):
			tier = 1
		}
		names[tier] = append(names[tier], vm.Name)
	}
	return names
}
