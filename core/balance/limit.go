package balance

import (
	"github.com/cespare/xxhash/v2"

	"auburnlatch/core/throttle"
)

// limited reports whether the target names a limit.
func (s *state) limited() bool {
	if !s.signalled {
		return false
	}
	_, ok := s.signals.limit.PerSecond()
	return ok
}

// placeAt returns this VM's place in the order of those that may send to a target that names
// a limit: those of its region first, as they have most of its requests.
func (b *Balancer) placeAt(s *state) throttle.Place {
	if s.place.VMs == 0 && len(b.vms) > 0 {
		own := unit(xxhash.Sum64String(b.self), s.seed)
		rank := 0
		for _, vm := range b.vms {
			near, ownNear := vm.Region == s.Region, b.region == s.Region
			if vm.Name != b.self && (near && !ownNear || near == ownNear && unit(xxhash.Sum64String(vm.Name), s.seed) > own) {
				rank++
			}
		}
		s.place = throttle.Place{Rank: rank, VMs: len(b.vms)}
	}
	return s.place
}
