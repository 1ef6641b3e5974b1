package balance

import (
	"github.com/cespare/xxhash/v2"

	"auburnlatch/core/throttle"
)

// limited reports whether the target names a rate limit.
func (s *state) limited() bool {
	if !s.restricted {
		return false
	}
	_, ok := s.signals.limit.PerSecond()
	return ok
}

// senderRank returns this VM's rank among those that may send to a target that names a rate
// limit. VMs of the target's region come first, as they have most of its requests.
func (b *Balancer) senderRank(s *state) throttle.Place {
	if s.senderRank.VMs == 0 && len(b.vms) > 0 {
		own := unit(xxhash.Sum64String(b.self), s.seed)
		rank := 0
		for _, vm := range b.vms {
			near, ownNear := vm.Region == s.Region, b.region == s.Region
			if vm.Name != b.self && (near && !ownNear || near == ownNear && unit(xxhash.Sum64String(vm.Name), s.seed) > own) {
				rank++
			}
		}
		s.senderRank = throttle.Place{Rank: rank, VMs: len(b.vms)}
	}
	return s.senderRank
}
