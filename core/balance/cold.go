package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// coldInterval is the minimum time between two requests of one VM to a cold target. It is
// slightly longer than the second over which a target's bound is counted, so that two requests
// of a VM never arrive within the same second though their delays differ.
const coldInterval = 1100 * time.Millisecond

// SetReach sets the fraction of the VMs that share the capacity of cold targets with which this one
// is in touch, itself included. At 0 this VM takes no share. A new Balancer has 1.
func (b *Balancer) SetReach(fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reach = min(1, max(0, fraction))
}

// coldAllowed reports whether this VM may send a cold target a request now.
//
// A cold target that gets more requests than it sustains crashes, and VMs cannot coordinate
// fast enough to prevent that. So only a few VMs may send one request a second each: as many as
// the requests a second that the target sustains, chosen by rendezvous hashing among all known
// VMs, including unresponsive ones. VMs that are cut off from each other choose different ones.
// So those of each part choose only as many as its fraction of the VMs allows, and where that is
// less than one, it sends less often. A VM that has just started knows none of the others and
// would rank first, so it sends nothing.
func (b *Balancer) coldAllowed(now time.Time, s *state, perSecond float64) bool {
	share := perSecond * b.reach
	if share <= 0 || now.Sub(s.lastCold) < coldInterval || len(b.vms) == 0 {
		return false
	}
	return b.coldRank(s) < max(1, int(share)) && (share >= 1 || b.coldTurn(now, s, share))
}

// coldTurn reports whether it is the turn of a VM whose share is less than one request a second: for
// coldInterval in each period of coldInterval/share. Each VM has its turn at a time of its own, so that
// VMs that know nothing of each other do not all send when a target turns cold.
func (b *Balancer) coldTurn(now time.Time, s *state, share float64) bool {
	period := float64(coldInterval) / share
	phase := unit(xxhash.Sum64String(b.self), ^s.seed) * period
	elapsed := int64(phase) + now.UnixNano()
	return elapsed%int64(period) < int64(coldInterval)
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
