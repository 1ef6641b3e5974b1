package dispatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SlotsPerDispatcher is how many slots of a service in a zone call for one
// more dispatcher beyond the least number.
const SlotsPerDispatcher = 48

// MinDispatchers of a (zone, service), where the zone has that many VMs.
const MinDispatchers = 2

// Rank returns the VMs ordered by rendezvous hashing for a subject: adding or
// removing one VM moves no other past another.
func Rank(subject string, vms []string) []string {
	list := make([]scored, len(vms))
	for i, vm := range vms {
		list[i] = scored{vm, hash(subject, vm)}
	}
	slices.SortFunc(list, scored.compare)
	ranked := make([]string, len(list))
	for i, s := range list {
		ranked[i] = s.vm
	}
	return ranked
}

// First returns the first n of Rank's order, at the cost of a hash for each VM: a VM asks
// some twenty times a second who does what, and putting 300 in order takes ten times as
// long.
func First(subject string, vms []string, n int) []string {
	first := make([]scored, 0, n+1)
	for _, vm := range vms {
		s := scored{vm, hash(subject, vm)}
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

// Before returns how many VMs come before one in Rank's order.
func Before(subject string, vms []string, vm string) int {
	own, n := scored{vm, hash(subject, vm)}, 0
	for _, other := range vms {
		if (scored{other, hash(subject, other)}).compare(own) < 0 {
			n++
		}
	}
	return n
}

// scored is a VM with its score for a subject.
type scored struct {
	vm    string
	score uint64
}

// compare orders VMs by score, the highest first. The names are looked at only where
// scores are the same, which is hardly ever.
func (s scored) compare(other scored) int {
	if s.score != other.score {
		return cmp.Compare(other.score, s.score)
	}
	return cmp.Compare(s.vm, other.vm)
}

// Dispatchers returns the VMs among a zone's live ones that dispatch a
// service whose upstreams in the zone have so many slots.
func Dispatchers(service string, slots int, vms []string) []string {
	n := max(MinDispatchers, (slots+SlotsPerDispatcher-1)/SlotsPerDispatcher)
	ranked := Rank("dispatch/"+service, vms)
	return ranked[:min(n, len(ranked))]
}

// Share returns how many of an upstream's slots belong to one of n
// dispatchers, by its index. The shares of all n add up to slots. What does
// not divide evenly goes round from an offset that depends on the upstream, so
// that over many upstreams no dispatcher has more than another.
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
