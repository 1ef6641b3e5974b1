package dispatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SlotsPerDispatcher is the number of a service's slots in a zone for which
// there is one dispatcher, if that gives more than MinDispatchers.
const SlotsPerDispatcher = 48

// MinDispatchers is the least number of dispatchers of a service in a zone, as
// far as the zone has that many VMs.
const MinDispatchers = 2

// Rank returns the VMs ordered by rendezvous hashing for a subject: adding or
// removing a VM does not change the order of the others.
func Rank(subject string, vms []string) []string {
	list := make([]hashedVM, len(vms))
	for i, vm := range vms {
		list[i] = hashedVM{vm, hash(subject, vm)}
	}
	slices.SortFunc(list, hashedVM.compare)
	ranked := make([]string, len(list))
	for i, s := range list {
		ranked[i] = s.vm
	}
	return ranked
}

// First returns the first n VMs in the order of Rank without sorting them all.
// A VM calls it about twenty times a second, and sorting 300 VMs takes ten
// times as long.
func First(subject string, vms []string, n int) []string {
	first := make([]hashedVM, 0, n+1)
	for _, vm := range vms {
		s := hashedVM{vm, hash(subject, vm)}
		i := len(first)
		for i > 0 && s.compare(first[i-1]) < 0 {
			i--
		}
		if i < n {
			first = slices.Insert(first, i, s)
			first = first[:min(n, len(first))]
		}
	}
	names := make([]string, len(first))
	for i, s := range first {
		names[i] = s.vm
	}
	return names
}

// Before returns how many VMs come before vm in the order of Rank.
func Before(subject string, vms []string, vm string) int {
	own, n := hashedVM{vm, hash(subject, vm)}, 0
	for _, other := range vms {
		if (hashedVM{other, hash(subject, other)}).compare(own) < 0 {
			n++
		}
	}
	return n
}

// hashedVM is a VM with its rendezvous hash for a subject.
type hashedVM struct {
	vm   string
	hash uint64
}

// compare orders VMs by hash, highest first, and by name where hashes are equal,
// which is rare.
func (v hashedVM) compare(other hashedVM) int {
	if v.hash != other.hash {
		return cmp.Compare(other.hash, v.hash)
	}
	return cmp.Compare(v.vm, other.vm)
}

// Dispatchers returns which of a zone's live VMs dispatch a service. slots is
// the number of slots of the service's upstreams in the zone.
func Dispatchers(service string, slots int, vms []string) []string {
	n := max(MinDispatchers, (slots+SlotsPerDispatcher-1)/SlotsPerDispatcher)
	ranked := Rank("dispatch/"+service, vms)
	return ranked[:min(n, len(ranked))]
}

// Share returns how many of an upstream's slots belong to the dispatcher at
// index out of n. The shares of all n add up to slots. The remainder of the
// division is handed out round robin, starting from an offset that depends on
// the upstream, so that the dispatchers' totals over many upstreams are even.
func Share(target string, slots, n, index int) int {
	if n <= 0 || index < 0 || index >= n {
		return 0
	}
	share := slots / n
	offset := int(xxhash.Sum64String(target) % uint64(n))
	if (index+offset)%n < slots%n {
		share++
	}
	return share
}

func hash(subject, vm string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(subject)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(vm)
	return d.Sum64()
}
