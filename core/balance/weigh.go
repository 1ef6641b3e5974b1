package balance

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Parameters of the preference order.
const (
	// rttPenalty is how strongly the round trip time to another region counts: a target there
	// owns exp(-rttPenalty * rtt / objective) as many of a region's objects as a target of the
	// same size in the region itself. At 110 ms of an objective of 300 ms that is a third, at
	// 24 ms of 250 ms three quarters.
	rttPenalty = 3.0
	// exponentStep is the step to which that exponent is rounded. VMs measure slightly
	// different round trip times, and all must compute the same owner.
	exponentStep = 0.25
	// exponentHysteresis is the change of the exponent from which on it is updated. It is more
	// than half a step, as values near the middle between two steps would alternate between
	// them.
	exponentHysteresis = 0.2
	// defaultExponent is the exponent while no round trip time is known.
	defaultExponent = 0.75
	// sameZoneFactor is how many times as many objects a target of the VM's own availability
	// zone owns as one of another zone of its region.
	sameZoneFactor = 1.15
	// bytesPenalty is how strongly the bytes of a request and its response count, for each
	// bytesPenaltyUnit bytes. Links between regions are limited and paid for by the byte, and
	// an upload costs as much there as forty look-ups.
	bytesPenalty     = 8.0
	bytesPenaltyUnit = 100_000.0
	// meanBytesWeight is the weight of the newest request in the moving average of bytes: about
	// the last thousand requests count, so that VMs agree.
	meanBytesWeight = 0.001
	// correctionRounds is how often the regions' weights are corrected. Ten rounds bring three
	// regions of 32, 8 and 24 slots to within 0.0001 of their shares.
	correctionRounds = 20
	// correctionExponent damps that correction, where 1 applies it in full. Callers are seldom
	// spread evenly over regions, as the correction assumes, and at low load a near target is
	// the better one.
	correctionExponent = 0.6
)

// regionSlots is a region's capacity for a service, in slots, and its corrected weight.
type regionSlots struct {
	region string
	slots  float64
	weight float64
}

// routeStats has the statistics of one route's requests. Distance is weighted by route and not by
// service: otherwise look-ups that operators move to a service that takes uploads would change
// regions at once, as large requests are kept near.
type routeStats struct {
	// meanBytes is the moving average of the bytes of a request and its response.
	meanBytes float64
	answers   int
	// exponent determines the factor of targets of other regions, exp(-exponent).
	exponent    float64
	exponentSet bool
	// work is by service: a route has several when it is split or moved to another one.
	work map[string]*workTimes
}

// workAt returns the times of the route's requests at a service.
func (r *routeStats) workAt(service string) *workTimes {
	w := r.work[service]
	if w == nil {
		if r.work == nil {
			r.work = make(map[string]*workTimes)
		}
		w = &workTimes{}
		r.work[service] = w
	}
	return w
}

// observe records the bytes of a request and its response.
func (r *routeStats) observe(bytes int) {
	r.answers++
	r.meanBytes += max(meanBytesWeight, 1/float64(r.answers)) * (float64(bytes) - r.meanBytes)
}

// KeepRoutes forgets the statistics of routes for which keep returns false. Placements expire by
// themselves: upstreams still have the objects when a route comes back soon.
func (b *Balancer) KeepRoutes(keep func(route string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.routes, func(name string, _ *routeStats) bool { return !keep(name) })
}

// routeStatsOf returns the statistics of a request's route with the exponent updated.
func (b *Balancer) routeStatsOf(req Request) *routeStats {
	r := b.routes[req.Route]
	if r == nil {
		r = &routeStats{}
		b.routes[req.Route] = r
	}
	exponent := defaultExponent
	if b.remoteRTT > 0 && req.Objective > 0 {
		exponent = rttPenalty * float64(b.remoteRTT) / float64(req.Objective)
	}
	if b.disabled[Distance] {
		exponent = 0
	}
	if !b.disabled[Bytes] {
		exponent += bytesPenalty * r.meanBytes / bytesPenaltyUnit
	}
	if !r.exponentSet || math.Abs(exponent-r.exponent) >= exponentHysteresis {
		r.exponent, r.exponentSet = math.Round(exponent/exponentStep)*exponentStep, true
	}
	return r
}

// cost ranks the target in an object's preference order, the lowest first, by weighted
// rendezvous hashing: each target owns a share of the objects in proportion to its weight,
// however many other targets there are. factors are indexed by region.
func (s *state) cost(key uint64, factors []float64) float64 {
	return -math.Log(1-unit(key, s.seed)) / (s.weight * factors[s.region])
}

// factors returns the factor of each region's targets for an exponent. Nearer targets own more
// of a region's objects, but a region with few targets and as many callers as the others must
// not be saturated while others are idle. So each region's weight is corrected towards the
// share of all regions' requests that matches its slots, assuming that callers are spread
// evenly over regions. The actual load is not an input: weights that follow it move objects to
// upstreams to which they are new, which costs more than the better balance saves.
func (b *Balancer) factors(p *pool, exponent float64) []float64 {
	if cached := p.factors[exponent]; cached != nil {
		return cached
	}
	remoteFactor := math.Exp(-exponent)
	list := p.slots()
	if !b.disabled[RegionCorrection] {
		correctWeights(list, remoteFactor)
	}
	factors := make([]float64, len(list))
	for i, r := range list {
		factors[i] = r.weight
		if r.region != b.region {
			factors[i] *= remoteFactor
		}
	}
	p.factors[exponent] = factors
	return factors
}

// meanRemoteRTT returns the mean round trip time to other regions, 0 if none is known.
func (b *Balancer) meanRemoteRTT() time.Duration {
	var sum time.Duration
	n := 0
	for zone, rtt := range b.rtts {
		if region := b.regions[zone]; region != "" && region != b.region {
			sum += rtt
			n++
		}
	}
	return sum / time.Duration(max(1, n))
}

// regionCount is the number of a pool's targets in one region, and the slots of the usable
// ones.
type regionCount struct {
	region         string
	targets, slots int
}

func (r regionCount) compare(region string) int { return strings.Compare(r.region, region) }

// addToRegion adds a target to the count of its region.
func (p *pool) addToRegion(s *state) {
	i, ok := slices.BinarySearchFunc(p.regions, s.Region, regionCount.compare)
	if !ok {
		p.regions = slices.Insert(p.regions, i, regionCount{region: s.Region})
		p.reindex = true
	}
	s.region, s.countedSlots = i, 0
	if s.usable() {
		s.countedSlots = s.Slots
	}
	p.regions[i].targets++
	p.regions[i].slots += s.countedSlots
}

// removeFromRegion removes a target from the count of its region.
func (p *pool) removeFromRegion(s *state) {
	i, _ := slices.BinarySearchFunc(p.regions, s.Region, regionCount.compare)
	r := &p.regions[i]
	r.slots -= s.countedSlots
	if r.targets--; r.targets == 0 {
		p.regions = slices.Delete(p.regions, i, i+1)
		p.reindex = true
	}
}

// minRegionSlots is added to the slots of each region, which avoids a division by zero for a
// region without usable targets.
const minRegionSlots = 1e-6

// slots returns the slots of each region, in the order of regions.
func (p *pool) slots() []regionSlots {
	list := make([]regionSlots, len(p.regions))
	for i, r := range p.regions {
		list[i] = regionSlots{region: r.region, slots: minRegionSlots + float64(r.slots), weight: 1}
	}
	return list
}

// invalidate discards what was computed from the targets, after they have changed.
func (p *pool) invalidate() {
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

// correctWeights corrects the regions' weights until each region gets the share of all requests
// that its slots are of all slots. remoteFactor is the factor of targets of other regions.
func correctWeights(list []regionSlots, remoteFactor float64) {
	total := 0.0
	for _, r := range list {
		total += r.slots
	}
	for range correctionRounds {
		shares := make([]float64, len(list))
		for from := range list {
			sum := 0.0
			for to := range list {
				sum += attraction(list, from, to, remoteFactor)
			}
			for to := range list {
				shares[to] += attraction(list, from, to, remoteFactor) / sum / float64(len(list))
			}
		}
		for i := range list {
			list[i].weight *= list[i].slots / total / shares[i]
		}
	}
	for i := range list {
		list[i].weight = math.Pow(list[i].weight, correctionExponent)
	}
}

// attraction is the weight of region to for requests of region from.
func attraction(list []regionSlots, from, to int, remoteFactor float64) float64 {
	w := list[to].slots * list[to].weight
	if from != to {
		w *= remoteFactor
	}
	return w
}
