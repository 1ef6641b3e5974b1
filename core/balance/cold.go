package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// coldEvery is the least time between two requests of one VM to a cold target.
// A bit above the second over which a target's bound is counted, so that a VM
// has no two of them in one such second though they travel unequally long.
const coldEvery = 1100 * time.Millisecond

// coldTurn reports whether this VM may send a cold target one request now.
//
// A cold target that is sent more than it bears crashes, and the VMs that send
// do not hear of each other in time. So each of a few VMs, chosen by rendezvous
// hashing among all that are known, silent ones included, may send one request
// a second, and there are no more such VMs than requests a second that the
// target bears. A VM that knows of fewer others may take itself for chosen
// wrongly; as it sends one a second at most, that adds one for each such VM.
// Where all VMs start together none knows of the others, which would make all of
// them the first; so one that has just started sends none.
func (b *Balancer) coldTurn(now time.Time, s *state, perSecond float64) bool {
	if now.Sub(s.lastCold) < coldEvery || len(b.vms) == 0 {
		return false
	}
	return b.coldRank(s) < int(perSecond)
}

// coldRank is how many other VMs come before this one for the target.
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
