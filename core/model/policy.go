package model

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnlatch/core/balance"
)

// State is the exact state of the simulation, for policies with perfect knowledge.
type State interface {
	// Busy returns the number of a target's running and queued requests.
	Busy(target int) int
	// Pace returns how long work takes at a target, relative to the usual time.
	Pace(target int) float64
	// Cached reports whether a target has an object cached.
	Cached(target int, key string) bool
	// Far reports whether a VM and a target are in different regions.
	Far(vm, target int) bool
}

// Policy chooses the upstream of each request.
type Policy interface {
	// Targets sets the fraction of the targets that are down from now on.
	Targets(down float64)
	// Choose returns a target, or -1 to refuse.
	Choose(now time.Time, vm int, key string, s State) (target int, lease balance.Lease)
	// Done reports a response to a VM.
	Done(now time.Time, vm int, lease balance.Lease, r Response)
}

// Response is what a target reports in a response.
type Response struct {
	// Refused means that the request was not run.
	Refused bool
	// Busy is the number of the target's remaining requests.
	Busy int
	// Pace is how long work takes there, relative to the usual time.
	Pace float64
}

// ClassPolicy is a Policy that treats classes of requests differently.
type ClassPolicy interface {
	Policy
	// ChooseClass is Choose for a request of a class.
	ChooseClass(now time.Time, vm, class int, key string, s State) (target int, lease balance.Lease)
	// Answered reports how long the response to a request took.
	Answered(now time.Time, vm, class int, lease balance.Lease, took time.Duration)
}

// Busy implements State.
func (sim *simulation) Busy(target int) int { return sim.upstreams[target].busy() }

// Pace implements State.
func (sim *simulation) Pace(target int) float64 { return sim.upstreams[target].noise.at(sim.now) }

// Cached implements State.
func (sim *simulation) Cached(target int, key string) bool {
	return sim.upstreams[target].cached[key] != nil
}

// Far implements State.
func (sim *simulation) Far(vm, target int) bool { return sim.rtt(vm, target) > 0 }

// BalancerPolicy is the Policy of the production Balancer, one for each VM.
type BalancerPolicy struct {
	shape Shape
	// reportsPace means that targets report their pace.
	reportsPace bool
	vms         []*balance.Balancer
	// updates has the placements published in each region, in order, and applied the
	// number of them that each VM has applied.
	updates [][]placementUpdate
	applied []int
}

// placementUpdate is placements that the other VMs of the region receive at a time.
type placementUpdate struct {
	at   time.Time
	list []balance.Placement
}

// propagationDelay is the time that a placement takes to reach the other VMs.
const propagationDelay = 25 * time.Millisecond

// NewBalancerPolicy returns a policy whose Balancers have the targets and no other state. Targets
// report their pace if they are slow at times.
func NewBalancerPolicy(shape Shape, opts ...balance.Option) *BalancerPolicy {
	p := &BalancerPolicy{shape: shape, reportsPace: shape.SlowShare > 0, updates: make([][]placementUpdate, shape.Regions), applied: make([]int, shape.VMs)}
	for i := range shape.VMs {
		b := balance.New(fmt.Sprint("vm", i), shape.region(i), shape.region(i), opts...)
		b.SetSynced()
		p.vms = append(p.vms, b)
	}
	p.Targets(0)
	return p
}

// Targets implements Policy.
func (p *BalancerPolicy) Targets(down float64) {
	for _, b := range p.vms {
		b.SetTargets(p.shape.targetList(down))
	}
}

// Choose implements Policy.
func (p *BalancerPolicy) Choose(now time.Time, vm int, key string, _ State) (int, balance.Lease) {
	return p.choose(now, vm, balance.Request{Service: service, Key: key, Urgent: true, Objective: p.shape.Objective, Within: p.shape.Objective})
}

func (p *BalancerPolicy) choose(now time.Time, vm int, req balance.Request) (int, balance.Lease) {
	p.applyUpdates(now, vm)
	l, err := p.vms[vm].Choose(now, req)
	if err != nil {
		return -1, l
	}
	if news := p.vms[vm].News(); len(news) > 0 {
		region := vm % p.shape.Regions
		p.updates[region] = append(p.updates[region], placementUpdate{now.Add(propagationDelay), news})
	}
	i, err := strconv.Atoi(l.Target.ID)
	if err != nil {
		return -1, l // Cannot happen: targetList uses numbers for IDs.
	}
	return i, l
}

// applyUpdates merges into a VM's Balancer the placements that have reached the VM.
func (p *BalancerPolicy) applyUpdates(now time.Time, vm int) {
	for list := p.updates[vm%p.shape.Regions]; p.applied[vm] < len(list) && !now.Before(list[p.applied[vm]].at); p.applied[vm]++ {
		p.vms[vm].MergePlacements(now, list[p.applied[vm]].list)
	}
}

// Done implements Policy.
func (p *BalancerPolicy) Done(now time.Time, vm int, l balance.Lease, r Response) {
	slots := p.shape.Slots
	load := &balance.Load{Running: min(r.Busy, slots), Waiting: max(0, r.Busy-slots), Slots: slots}
	if p.reportsPace {
		load.Pace = r.Pace
	}
	p.vms[vm].Done(now, l, balance.Outcome{Answered: true, Served: !r.Refused, Load: load})
}

// baseline is the common part of the policies with perfect knowledge.
type baseline struct {
	shape   Shape
	firstUp int // Targets before it are down.
}

// Targets implements Policy.
func (b *baseline) Targets(down float64) { b.firstUp = int(down * float64(b.shape.Targets)) }

// Done implements Policy.
func (*baseline) Done(time.Time, int, balance.Lease, Response) {}

// LeastUsed sends each request to the target with the fewest requests, with perfect
// knowledge.
type LeastUsed struct{ baseline }

// NewLeastUsed returns a LeastUsed.
func NewLeastUsed(shape Shape) *LeastUsed { return &LeastUsed{baseline{shape: shape}} }

// Choose implements Policy.
func (p *LeastUsed) Choose(_ time.Time, _ int, key string, s State) (int, balance.Lease) {
	n := p.shape.Targets - p.firstUp
	// The search starts at a different target for each object, to spread ties.
	from := int(xxhash.Sum64String(key) % uint64(n))
	best := p.firstUp + from
	for i := range n {
		if at := p.firstUp + (from+i)%n; s.Busy(at) < s.Busy(best) {
			best = at
		}
	}
	return best, balance.Lease{}
}

// Nearest sends each request to the target of the VM's region with the fewest
// requests, with perfect knowledge.
type Nearest struct{ baseline }

// NewNearest returns a Nearest.
func NewNearest(shape Shape) *Nearest { return &Nearest{baseline{shape: shape}} }

// Choose implements Policy.
func (p *Nearest) Choose(_ time.Time, vm int, _ string, s State) (int, balance.Lease) {
	best := -1
	for i := p.firstUp; i < p.shape.Targets; i++ {
		if !s.Far(vm, i) && (best < 0 || s.Busy(i) < s.Busy(best)) {
			best = i
		}
	}
	return best, balance.Lease{}
}

// Owner sends each request to the one target that its object hashes to, regardless
// of load.
type Owner struct{ baseline }

// NewOwner returns an Owner.
func NewOwner(shape Shape) *Owner { return &Owner{baseline{shape: shape}} }

// Choose implements Policy.
func (p *Owner) Choose(_ time.Time, _ int, key string, _ State) (int, balance.Lease) {
	n := uint64(p.shape.Targets - p.firstUp)
	return p.firstUp + int(xxhash.Sum64String(key)%n), balance.Lease{}
}
