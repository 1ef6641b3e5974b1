package route

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// splitTolerance is how far a part's counted share may exceed its weight
	// before a request goes to the part that is furthest below its weight. It is a
	// third of 0.1, the largest deviation that operators accept.
	splitTolerance = 0.03
	// splitWindow is the number of requests that the counts cover, as the constant
	// of an exponential decay: about ten seconds of one VM's traffic on a busy
	// route.
	splitWindow = 400
)

// SplitCounts counts to which services a VM has sent the requests of split
// routes. The zero value is ready to use. It is safe for concurrent use.
type SplitCounts struct {
	mu     sync.Mutex
	routes map[string]*splitCount
}

// Share returns the counted share of a service among the requests of a route.
func (s *SplitCounts) Share(name, service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count(name).share(service)
}

// splitCount has the decayed counts of one route's parts.
type splitCount struct {
	total float64
	parts map[string]float64
}

// Pick returns the service for one request. Requests with the same key, an
// object's, go to the same part while shares allow it, since an upstream that has
// served the object responds faster. The counts keep the shares close to the
// weights for any distribution of keys: with few objects, hashing alone would
// deviate by a multiple of the tolerance.
func (r *Route) Pick(key string, counts *SplitCounts) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	counts.mu.Lock()
	defer counts.mu.Unlock()
	c := counts.count(r.Name)
	part := r.partByHash(key)
	if c.share(part.Service) > r.weight(part)+splitTolerance {
		part = r.furthestBehind(c)
	}
	c.add(part.Service)
	return part.Service
}

func (s *SplitCounts) count(name string) *splitCount {
	if s.routes == nil {
		s.routes = make(map[string]*splitCount)
	}
	c := s.routes[name]
	if c == nil {
		c = &splitCount{parts: make(map[string]float64)}
		s.routes[name] = c
	}
	return c
}

func (c *splitCount) share(service string) float64 { return c.parts[service] / max(1, c.total) }

func (c *splitCount) add(service string) {
	const decay = 1 - 1.0/splitWindow
	for name := range c.parts {
		c.parts[name] *= decay
	}
	c.total = c.total*decay + 1
	c.parts[service]++
}

// weight returns a part's weight as a fraction of the sum of weights.
func (r *Route) weight(part Part) float64 {
	sum := 0.0
	for _, p := range r.Parts {
		sum += p.Weight
	}
	if sum <= 0 {
		return 0
	}
	return part.Weight / sum
}

// partByHash returns the part whose range of the hash space contains the key's
// hash. The ranges are proportional to the weights.
func (r *Route) partByHash(key string) Part {
	const space = 1 << 32
	at := float64(xxhash.Sum64String(key)>>32) / space
	for _, p := range r.Parts {
		at -= r.weight(p)
		if at < 0 {
			return p
		}
	}
	return r.Parts[len(r.Parts)-1]
}

// furthestBehind returns the part whose share is furthest below its weight.
func (r *Route) furthestBehind(c *splitCount) Part {
	best, least := r.Parts[0], 0.0
	for i, p := range r.Parts {
		ahead := c.share(p.Service) - r.weight(p)
		if i == 0 || ahead < least {
			best, least = p, ahead
		}
	}
	return best
}
