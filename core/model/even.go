package model

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnlatch/core/balance"
)

// Even is the upper bound of what placing objects can achieve: all VMs share one
// placement table without delay, a new object goes to the target with the fewest
// objects, and an object moves only when its target has left. BalancerPolicy falls
// short of it by the cost of delayed placements and of considering only a few targets
// for each object.
type Even struct {
	baseline
	targetOf map[string]int // By object.
	objects  []int          // Number of objects by target.
}

// NewEven returns an Even without placements.
func NewEven(shape Shape) *Even {
	return &Even{baseline: baseline{shape: shape}, targetOf: make(map[string]int), objects: make([]int, shape.Targets)}
}

// evenMaxPerSlot is the number of a target's requests per slot, running and queued, at
// which Even refuses further ones.
const evenMaxPerSlot = 3

// Choose implements Policy.
func (p *Even) Choose(_ time.Time, vm int, key string, s State) (int, balance.Lease) {
	i, placed := p.targetOf[key]
	if !placed || i < p.firstUp {
		if placed {
			p.objects[i]--
		}
		i = p.fewestObjects(vm, key, s)
		p.targetOf[key] = i
		p.objects[i]++
	}
	if s.Busy(i) >= evenMaxPerSlot*p.shape.Slots {
		return -1, balance.Lease{}
	}
	return i, balance.Lease{}
}

// fewestObjects returns the target with the fewest objects, preferring one in the VM's
// region among equals.
func (p *Even) fewestObjects(vm int, key string, s State) int {
	n := p.shape.Targets - p.firstUp
	from := int(xxhash.Sum64String(key) % uint64(n))
	cost := func(i int) int {
		if s.Far(vm, i) {
			return 2*p.objects[i] + 1
		}
		return 2 * p.objects[i]
	}
	best := p.firstUp + from
	for i := range n {
		if at := p.firstUp + (from+i)%n; cost(at) < cost(best) {
			best = at
		}
	}
	return best
}
