package model

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnlatch/core/balance"
)

// Even is the bound on what can be had by placing objects: one table that all VMs
// share at once, in which a new object goes to the target with the fewest, and an
// object moves only when its target has left. What ours lacks to it is what not
// hearing at once, and weighing few targets for each object, cost.
type Even struct {
	baseline
	at    map[string]int
	count []int
}

// NewEven returns an Even that knows no object.
func NewEven(shape Shape) *Even {
	return &Even{baseline: baseline{shape: shape}, at: make(map[string]int), count: make([]int, shape.Targets)}
}

// evenDepth is how many requests for each slot a target is sent.
const evenDepth = 3

// Choose implements Policy.
func (p *Even) Choose(_ time.Time, vm int, key string, s State) (int, balance.Lease) {
	i, placed := p.at[key]
	if !placed || i < p.first {
		if placed {
			p.count[i]--
		}
		i = p.emptiest(vm, key, s)
		p.at[key] = i
		p.count[i]++
	}
	if s.Busy(i) >= evenDepth*p.shape.Slots {
		return -1, balance.Lease{}
	}
	return i, balance.Lease{}
}

// emptiest returns the target with the fewest objects, among equals one that is near.
func (p *Even) emptiest(vm int, key string, s State) int {
	n := p.shape.Targets - p.first
	from := int(xxhash.Sum64String(key) % uint64(n))
	cost := func(i int) int {
		if s.Far(vm, i) {
			return 2*p.count[i] + 1
		}
		return 2 * p.count[i]
	}
	best := p.first + from
	for i := range n {
		if at := p.first + (from+i)%n; cost(at) < cost(best) {
			best = at
		}
	}
	return best
}
