package model

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnlatch/core/balance"
)

// State is what a policy may look at that knows everything.
type State interface {
	// Busy is how many requests a target has, running and waiting.
	Busy(target int) int
	// Far reports whether a VM and a target are in different regions.
	Far(vm, target int) bool
}

// Policy chooses the upstream of each request.
type Policy interface {
	// Targets says which part of the targets takes nothing from now on.
	Targets(down float64)
	// Choose returns a target, or -1 to refuse.
	Choose(now time.Time, vm int, key string, s State) (target int, lease balance.Lease)
	// Done tells of an answer, and how many requests the target had left.
	Done(now time.Time, vm int, lease balance.Lease, busy int)
}

// Busy implements State.
func (g *game) Busy(target int) int { return g.upstreams[target].busy() }

// Far implements State.
func (g *game) Far(vm, target int) bool { return g.trip(vm, target) > 0 }

// Ours is the product's Balancer, one for each VM.
type Ours struct {
	shape Shape
	vms   []*balance.Balancer
	// told is what VMs of a region have told each other, in order, and heard how
	// much of it each VM has taken in.
	told  [][]told
	heard []int
}

// told are placements that reach the region's other VMs at a moment.
type told struct {
	at   time.Time
	list []balance.Placement
}

// tellAfter is what it takes for a placement to reach the other VMs.
const tellAfter = 25 * time.Millisecond

// NewOurs returns Balancers that know the targets and nothing else.
func NewOurs(shape Shape) *Ours {
	o := &Ours{shape: shape, told: make([][]told, shape.Regions), heard: make([]int, shape.VMs)}
	for i := range shape.VMs {
		b := balance.New(fmt.Sprint("vm", i), shape.region(i), shape.region(i))
		b.Join()
		o.vms = append(o.vms, b)
	}
	o.Targets(0)
	return o
}

// Targets implements Policy.
func (o *Ours) Targets(down float64) {
	for _, b := range o.vms {
		b.SetTargets(o.shape.targetList(down))
	}
}

// Choose implements Policy.
func (o *Ours) Choose(now time.Time, vm int, key string, _ State) (int, balance.Lease) {
	o.hear(now, vm)
	l, err := o.vms[vm].Choose(now, balance.Request{Service: service, Key: key, Urgent: true, Objective: o.shape.Aim, Within: o.shape.Aim})
	if err != nil {
		return -1, l
	}
	if news := o.vms[vm].News(); len(news) > 0 {
		region := vm % o.shape.Regions
		o.told[region] = append(o.told[region], told{now.Add(tellAfter), news})
	}
	i, err := strconv.Atoi(l.Target.ID)
	if err != nil {
		return -1, l // IDs are numbers; targetList made them.
	}
	return i, l
}

// hear has a VM take in what has reached it.
func (o *Ours) hear(now time.Time, vm int) {
	for list := o.told[vm%o.shape.Regions]; o.heard[vm] < len(list) && !now.Before(list[o.heard[vm]].at); o.heard[vm]++ {
		o.vms[vm].Told(now, list[o.heard[vm]].list)
	}
}

// Done implements Policy.
func (o *Ours) Done(now time.Time, vm int, l balance.Lease, busy int) {
	slots := o.shape.Slots
	o.vms[vm].Done(now, l, balance.Outcome{
		Answered: true, Load: &balance.Load{Running: min(busy, slots), Waiting: max(0, busy-slots), Slots: slots},
	})
}

// baseline is what those have in common that know everything and learn nothing.
type baseline struct {
	shape Shape
	first int // Targets before it are down.
}

// Targets implements Policy.
func (b *baseline) Targets(down float64) { b.first = int(down * float64(b.shape.Targets)) }

// Done implements Policy.
func (*baseline) Done(time.Time, int, balance.Lease, int) {}

// LeastUsed sends each request to the target with the least to do, by perfect
// knowledge.
type LeastUsed struct{ baseline }

// NewLeastUsed returns a LeastUsed.
func NewLeastUsed(shape Shape) *LeastUsed { return &LeastUsed{baseline{shape: shape}} }

// Choose implements Policy.
func (p *LeastUsed) Choose(_ time.Time, _ int, key string, s State) (int, balance.Lease) {
	n := p.shape.Targets - p.first
	// Among equals the search begins somewhere else for each object.
	from := int(xxhash.Sum64String(key) % uint64(n))
	best := p.first + from
	for i := range n {
		if at := p.first + (from+i)%n; s.Busy(at) < s.Busy(best) {
			best = at
		}
	}
	return best, balance.Lease{}
}

// Nearest sends each request to the target of the VM's region with the least to
// do, by perfect knowledge.
type Nearest struct{ baseline }

// NewNearest returns a Nearest.
func NewNearest(shape Shape) *Nearest { return &Nearest{baseline{shape: shape}} }

// Choose implements Policy.
func (p *Nearest) Choose(_ time.Time, vm int, _ string, s State) (int, balance.Lease) {
	best := -1
	for i := p.first; i < p.shape.Targets; i++ {
		if !s.Far(vm, i) && (best < 0 || s.Busy(i) < s.Busy(best)) {
			best = i
		}
	}
	return best, balance.Lease{}
}

// Owner sends each request to the one target its object hashes to, however much
// that has to do.
type Owner struct{ baseline }

// NewOwner returns an Owner.
func NewOwner(shape Shape) *Owner { return &Owner{baseline{shape: shape}} }

// Choose implements Policy.
func (p *Owner) Choose(_ time.Time, _ int, key string, _ State) (int, balance.Lease) {
	n := uint64(p.shape.Targets - p.first)
	return p.first + int(xxhash.Sum64String(key)%n), balance.Lease{}
}
