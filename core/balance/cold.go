package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// coldInterval is the minimum time between two requests of one VM to a cold target. It is
// slightly longer than the second over which a target's bound is counted, so that two requests
// of a VM never arrive within the same second though their delays differ.
const coldInterval = 1100 * time.Millisecond

// coldAllowed reports whether this VM may send a cold target a request now.
//
// A cold target that gets more requests than it sustains crashes, and VMs cannot coordinate
// fast enough to prevent that. So only a few VMs may send one request a second each: as many as
// the requests a second that the target sustains, chosen by rendezvous hashing among all known
// VMs, including unresponsive ones. A VM that knows fewer others may wrongly count itself among
// them. As each sends at most one request a second, each such VM adds at most one a second. If
// all VMs start together, none knows the others and each would rank first, so a VM that has
// just started sends nothing.
func (b *Balancer) coldAllowed(now time.Time, s *state, perSecond float64) bool {
	if now.Sub(s.lastCold) < coldInterval || len(b.vms) == 0 {
		return false
	}
	return b.coldRank(s) < int(perSecond)
}

// coldRank is the number of other VMs that rank before this one for the target.
func (b *Balancer) coldRank(s *state) int {
	own := unit(xxhash.Sum64String(b.self), s.seed)
	rank := 0
	for _, vm := range b.vms {
		if vm.Name != b.self && unit(xxhash.Sum64String(vm.Name), s.seed) > own {
			rank++
		}
	}
	return rank
}
