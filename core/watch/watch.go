// Package watch decides which VMs are readers: those that read the platform for all others.
//
// Every upstream writes to the platform on each heartbeat, and a reader reads all of that:
// 0.7 MB a second with 3,000 upstreams. So VMs near the platform come first: with readers in
// another region, the heartbeats of 3,000 upstreams were a third of the traffic between
// regions. Of the VMs near the platform those with more processor time come first: all other
// VMs query the readers, a VM of 0.16 cores is late with its responses to 300, and VMs that
// wait for it read the platform themselves. Among equals rendezvous hashing decides, so that
// all VMs that know the same members agree without coordination.
//
// A VM measures its round trip to the platform when it starts, before it announces itself to
// the others, and publishes it with the rest of its own state. A VM that does not know its
// round trip counts as far away.
//
// # Usage
//
//	first := watch.First(vms, 2)        // The names of the readers.
//	rank := watch.Before(vms, "vm-a")   // How many VMs rank before this one.
package watch

import (
	"slices"
	"time"

	"auburnlatch/core/dispatch"
)

const (
	// hashKey is the key that VMs are ranked for by rendezvous hashing.
	hashKey = "watch"
	// nearFactor and nearSlack define which VMs are near the platform: their round trip is at
	// most nearFactor times the shortest, plus nearSlack. Zones of one region are a
	// millisecond or two apart, regions ten or more; a VM that was busy when it started may
	// measure a long round trip and count as far away.
	nearFactor = 2
	nearSlack  = 3 * time.Millisecond
	// strongFraction is the least processor time of a strong VM, as a fraction of the most
	// that a VM near the platform has.
	strongFraction = 0.5
)

// VM is a candidate for reader.
type VM struct {
	Name string
	// RTT is the round trip to the platform, 0 if unknown.
	RTT time.Duration
	// Cores is the processor time per second, in seconds of a usual core, 0 if unknown.
	Cores float64
}

// First returns the names of the n readers, or of all VMs if there are fewer.
func First(vms []VM, n int) []string {
	var first []string
	for _, names := range tiers(vms) {
		first = append(first, dispatch.First(hashKey, names, n-len(first))...)
	}
	return first
}

// Before returns how many VMs rank before the named one.
func Before(vms []VM, name string) int {
	n := 0
	for _, names := range tiers(vms) {
		if slices.Contains(names, name) {
			return n + dispatch.Before(hashKey, names, name)
		}
		n += len(names)
	}
	return n
}

// tiers returns the names of the strong VMs near the platform, of the others near it, and of
// all that are farther away.
func tiers(vms []VM) [3][]string {
	var nearest time.Duration
	for _, vm := range vms {
		if vm.RTT > 0 && (nearest == 0 || vm.RTT < nearest) {
			nearest = vm.RTT
		}
	}
	near := func(vm VM) bool { return vm.RTT > 0 && vm.RTT <= nearFactor*nearest+nearSlack }
	maxCores := 0.0
	for _, vm := range vms {
		if near(vm) {
			maxCores = max(maxCores, vm.Cores)
		}
	}
	var names [3][]string
	for _, vm := range vms {
		tier := 2
		switch {
		case near(vm) && vm.Cores >= strongFraction*maxCores:
			tier = 0
		case near(vm):
			tier = 1
		}
		names[tier] = append(names[tier], vm.Name)
	}
	return names
}
