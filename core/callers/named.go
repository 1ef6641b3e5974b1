package callers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"auburnlatch/core/member"
)

const (
	// headroomFactor is how many times the region's current traffic the named VMs
	// can carry together. Refused callers retry and make three times the requests,
	// and a burst doubles them. The figures are some seconds old, and look-ups are
	// cached for some more.
	headroomFactor = 8
	// preferredMin is the minimum number of VMs named, unless the next VM would
	// reduce the capacity too much: one that dies then takes at most a fourth of
	// the region's requests in flight with it.
	preferredMin = 4
	// absoluteMin is the minimum number of VMs named whatever their capacity.
	// Callers of a single VM have no alternative when it dies: the region is not
	// served at all for some seconds, until look-ups omit the VM and cached
	// look-ups have expired.
	absoluteMin = 2
	// requestCPUSeconds is the processor time of one request on a typical core:
	// about three times the 80 us of a request through a VM on loopback.
	requestCPUSeconds = 250e-6
	// minKnownRate is the traffic in requests per second below which the region's
	// traffic counts as unknown: all VMs may just have started.
	minKnownRate = 20
	// reachingFactor is how many times the region's traffic the VMs that reach upstreams must be
	// able to carry for the others not to be named: callers that leave these come at once.
	reachingFactor = 2
	// defaultLinkMbps and defaultCores are assumed for a VM that publishes none.
	defaultLinkMbps, defaultCores = 1000.0, 1.0
)

// Named returns the VMs of a region that its callers are to use. The result depends
// only on what the VMs publish about themselves, so all look-ups name the same VMs.
//
// The order depends on the VMs, and the number of VMs named on the traffic: when that
// grows, the VMs named before stay.
func Named(vms []*member.VM) []*member.VM {
	var sum member.Traffic
	for _, vm := range vms {
		sum.Requests += vm.Traffic.Requests
		sum.Bytes += vm.Traffic.Bytes
	}
	vms = reaching(vms, sum)
	if sum.Requests < minKnownRate {
		return maxCapacity(vms, member.Traffic{Requests: minKnownRate, Bytes: defaultRequestBytes * minKnownRate})
	}
	list, count := rank(vms, sum), 0
	for i, c := range list {
		if i+1 >= absoluteMin && float64(i+1)*c.multiple >= headroomFactor {
			count = i + 1
		}
		// Fewer than preferredMin are named if the next VM's capacity is too low.
		if i+1 >= preferredMin && count > 0 {
			break
		}
	}
	if count == 0 {
		return maxCapacity(vms, sum)
	}
	return vmsOf(list[:count])
}

// reaching returns the VMs that reach upstreams, or all if those could not carry the traffic: the
// others relay their callers' requests.
func reaching(vms []*member.VM, sum member.Traffic) []*member.VM {
	var list []*member.VM
	multiple := 0.0
	for _, vm := range vms {
		if !vm.CutOff {
			list = append(list, vm)
			multiple += capacityMultiple(vm.Capacity, sum)
		}
	}
	if len(list) == 0 || sum.Requests >= minKnownRate && multiple < reachingFactor {
		return vms
	}
	return list
}

// Spare returns how many more requests per second a VM can carry than its callers send,
// if a request and its response have bytes on average; 0: unknown.
func Spare(vm *member.VM, bytes float64) float64 {
	if bytes <= 0 {
		bytes = defaultRequestBytes
	}
	return max(0, Carries(vm.Capacity, bytes)-vm.Traffic.Requests)
}

// Carries returns how many requests per second a VM can carry if a request and its response have
// bytes on average.
func Carries(c member.Capacity, bytes float64) float64 {
	return capacityMultiple(c, member.Traffic{Requests: 1, Bytes: bytes})
}

// defaultRequestBytes is the assumed size of the bodies of a request and its response
// where the traffic is unknown.
const defaultRequestBytes = 10_000

// maxCapacity returns the VMs that together can carry the most traffic spread evenly
// over them: the VM with the lowest capacity among them limits the share of all.
func maxCapacity(vms []*member.VM, sum member.Traffic) []*member.VM {
	list := rank(vms, sum)
	best, most := 0, 0.0
	for i, c := range list {
		if total := float64(i+1) * c.multiple; total >= most || i+1 <= absoluteMin {
			best, most = i+1, total
		}
	}
	return vmsOf(list[:best])
}

// candidate is a VM and its capacity as a multiple of the region's traffic.
type candidate struct {
	vm       *member.VM
	multiple float64
	hash     uint64
}

// rank returns the VMs sorted by capacity, highest first. VMs of equal capacity
// alternate between zones, so that the loss of a zone affects as few as possible.
func rank(vms []*member.VM, sum member.Traffic) []candidate {
	list := make([]candidate, 0, len(vms))
	for _, vm := range vms {
		list = append(list, candidate{vm, capacityMultiple(vm.Capacity, sum), xxhash.Sum64String(vm.Name)})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.multiple, a.multiple), cmp.Compare(a.hash, b.hash), cmp.Compare(a.vm.Name, b.vm.Name))
	})
	for from := 0; from < len(list); {
		to := from + 1
		for to < len(list) && list[to].multiple == list[from].multiple {
			to++
		}
		interleaveZones(list[from:to])
		from = to
	}
	return list
}

// interleaveZones orders candidates so that each zone's first comes before any zone's
// second.
func interleaveZones(list []candidate) {
	counts := make(map[string]int)
	indexInZone := make(map[string]int, len(list))
	for _, c := range list {
		indexInZone[c.vm.Name] = counts[c.vm.Zone]
		counts[c.vm.Zone]++
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(indexInZone[a.vm.Name], indexInZone[b.vm.Name]) })
}

// capacityMultiple returns how many times a VM could carry non-zero traffic, limited by
// its link, which carries each byte in and out, or by its processor.
func capacityMultiple(c member.Capacity, sum member.Traffic) float64 {
	link, cores := c.LinkMbps, c.Cores
	if link <= 0 {
		link = defaultLinkMbps
	}
	if cores <= 0 {
		cores = defaultCores
	}
	const bytesPerMbit = 1e6 / 8
	return min(link*bytesPerMbit/max(1, sum.Bytes), cores/(requestCPUSeconds*sum.Requests))
}

func vmsOf(list []candidate) []*member.VM {
	out := make([]*member.VM, 0, len(list))
	for _, c := range list {
		out = append(out, c.vm)
	}
	return out
}
