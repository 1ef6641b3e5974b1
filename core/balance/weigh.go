package balance

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Tuning of where objects have their owners.
const (
	// tripAversion is how strongly a round trip to another region counts: a
	// target there owns exp(-tripAversion * trip / objective) as many of a
	// region's objects as one of the same size next door. At 110 ms of 300 that
	// is a third, at 24 ms of 250 three quarters.
	tripAversion = 3.0
	// tripStep is the step in which that exponent changes. VMs measure round
	// trips a little differently, and each has to find the same owner.
	tripStep = 0.25
	// tripHold is how far the exponent must have moved to be taken over: more than
	// half a step, or figures near the middle of two would go to and fro.
	tripHold = 0.2
	// unknownTrip is the exponent while no round trip is known.
	unknownTrip = 0.75
	// zonePull is how many more objects a target of the VM's own availability
	// zone owns than one of another zone of its region.
	zonePull = 1.15
	// bytesAversion is how strongly what a request carries counts, for 100 KB: links
	// between regions are limited and paid for by the byte, an upload costs as much
	// there as forty look-ups.
	bytesAversion = 8.0
	bytesUnit     = 100_000.0
	// bytesWeight is the weight of the newest request in the average of bytes:
	// about the last thousand count, so that VMs agree.
	bytesWeight = 0.001
	// fitRounds is how often the regions' weights are corrected. Ten rounds bring
	// three regions of 32, 8 and 24 slots to within 0.0001 of their parts.
	fitRounds = 20
	// fitShare is how much of that correction is used. Callers are seldom spread
	// evenly over regions, and with little to do a near target is the better one:
	// at 0.6 the mean worth of days at two deployments of three regions rose from
	// 0.621 and 0.675 to 0.627 and 0.677.
	fitShare = 0.6
)

// regionSlots is what a region can carry of a service.
type regionSlots struct {
	region string
	slots  float64
	weight float64
}

// traffic is what is known of one route's requests, whichever service they go to.
// Distance counts by the route and not by the service: were it the service's own
// figure, look-ups that operators move to a service which takes uploads would
// change regions at once, as uploads are kept near.
type traffic struct {
	// bytes is the moving average of what a request and its answer carry.
	bytes   float64
	answers int
	// exponent is how much less targets of other regions count.
	exponent float64
	measured bool
}

// carried takes in what a request and its answer carried.
func (t *traffic) carried(bytes int) {
	t.answers++
	t.bytes += max(bytesWeight, 1/float64(t.answers)) * (float64(bytes) - t.bytes)
}

// traffic returns the figures of a request's route, its exponent renewed.
func (b *Balancer) traffic(req Request) *traffic {
	t := b.routes[req.Route]
	if t == nil {
		t = &traffic{}
		b.routes[req.Route] = t
	}
	exponent := unknownTrip
	if b.farTrip > 0 && req.Objective > 0 {
		exponent = tripAversion * float64(b.farTrip) / float64(req.Objective)
	}
	if b.off[Distance] {
		exponent = 0
	}
	if !b.off[Bytes] {
		exponent += bytesAversion * t.bytes / bytesUnit
	}
	if !t.measured || math.Abs(exponent-t.exponent) >= tripHold {
		t.exponent, t.measured = math.Round(exponent/tripStep)*tripStep, true
	}
	return t
}

// cost is the target's place in an object's order, the least first: weighted
// rendezvous hashing, in which each target owns a part of the objects that is
// in proportion to its weight, however many others there are. factors are those
// of the regions.
func (s *state) cost(key uint64, factors []float64) float64 {
	return -math.Log(1-unit(key, s.seed)) / (s.weight * factors[s.region])
}

// factors returns what the targets of each region count for an exponent. Nearer
// targets own more of a region's objects, but a region with few targets and as
// many callers as the others must not be full while others idle: each region's
// weight is corrected towards what all regions together would give it if it got
// what it can carry, with callers spread evenly over regions. Callers' load
// itself is left out on purpose: weights that follow it move objects to upstreams
// that do not know them, which costs more than it evens out.
func (b *Balancer) factors(p *pool, exponent float64) []float64 {
	if known := p.factors[exponent]; known != nil {
		return known
	}
	far := math.Exp(-exponent)
	list := p.slots()
	if !b.off[RegionFit] {
		fit(list, far)
	}
	factors := make([]float64, len(list))
	for i, r := range list {
		factors[i] = r.weight
		if r.region != b.region {
			factors[i] *= far
		}
	}
	p.factors[exponent] = factors
	return factors
}

// farTripOf returns the mean round trip to other regions, 0 if none is known.
func (b *Balancer) farTripOf() time.Duration {
	var sum time.Duration
	n := 0
	for zone, trip := range b.trips {
		if region := b.regions[zone]; region != "" && region != b.region {
			sum += trip
			n++
		}
	}
	return sum / time.Duration(max(1, n))
}

// regionCount is a pool's targets of one region, and the slots of those that are usable.
type regionCount struct {
	region         string
	targets, slots int
}

func (r regionCount) compare(region string) int { return strings.Compare(r.region, region) }

// count enters a target into its region.
func (p *pool) count(s *state) {
	i, ok := slices.BinarySearchFunc(p.regions, s.Region, regionCount.compare)
	if !ok {
		p.regions = slices.Insert(p.regions, i, regionCount{region: s.Region})
		p.reindex = true
	}
	s.region, s.counted = i, 0
	if s.usable() {
		s.counted = s.Slots
	}
	p.regions[i].targets++
	p.regions[i].slots += s.counted
}

// uncount takes a target out of its region.
func (p *pool) uncount(s *state) {
	i, _ := slices.BinarySearchFunc(p.regions, s.Region, regionCount.compare)
	r := &p.regions[i]
	r.slots -= s.counted
	if r.targets--; r.targets == 0 {
		p.regions = slices.Delete(p.regions, i, i+1)
		p.reindex = true
	}
}

// leastSlots keeps a region without usable targets from a weight of zero, by which
// nothing could be divided.
const leastSlots = 1e-6

// slots returns the regions' slots, in the order of regions.
func (p *pool) slots() []regionSlots {
	list := make([]regionSlots, len(p.regions))
	for i, r := range p.regions {
		list[i] = regionSlots{region: r.region, slots: leastSlots + float64(r.slots), weight: 1}
	}
	return list
}

// renew has what depends on the targets worked out anew.
func (p *pool) renew() {
	p.refreshed = time.Time{}
	p.factors = make(map[float64][]float64)
	if !p.reindex {
		return
	}
	p.reindex = false
	for _, s := range p.states {
		s.region, _ = slices.BinarySearchFunc(p.regions, s.Region, regionCount.compare)
	}
}

// fit corrects the regions' weights until each region gets the share of all
// requests that its slots are of all slots. far is what a target of another
// region counts.
func fit(list []regionSlots, far float64) {
	total := 0.0
	for _, r := range list {
		total += r.slots
	}
	for range fitRounds {
		got := make([]float64, len(list))
		for from := range list {
			sum := 0.0
			for to := range list {
				sum += pull(list, from, to, far)
			}
			for to := range list {
				got[to] += pull(list, from, to, far) / sum / float64(len(list))
			}
		}
		for i := range list {
			list[i].weight *= list[i].slots / total / got[i]
		}
	}
	for i := range list {
		list[i].weight = math.Pow(list[i].weight, fitShare)
	}
}

// pull is how much of one region's requests another attracts.
func pull(list []regionSlots, from, to int, far float64) float64 {
	w := list[to].slots * list[to].weight
	if from != to {
		w *= far
	}
	return w
}
