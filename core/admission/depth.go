package admission

import "time"

// depth returns the depth for a request of class k of rank r, of whose objective within is left.
func (s *service) depth(r *rank, k class, utilization float64, within time.Duration) float64 {
	if d, ok := s.starvedDepth(r, k); ok {
		return d
	}
	base := s.baseDepth(r, within)
	return max(MinDepth, base-s.loadBefore(r, k, utilization))
}

// starvedDepth returns the depth while r or a lower rank is starved. A starved rank must find
// what the ranks above it find, and not more. Those of its teams that are above their shares have
// no part in that.
func (s *service) starvedDepth(r *rank, k class) (float64, bool) {
	for _, low := range s.ranks {
		if low.number < r.number || !s.starved(low) {
			continue
		}
		if low != r || k <= newWithin {
			return SharedDepth, true
		}
	}
	return 0, false
}

// baseDepth returns the depth up to which a request that follows a rank's request waits no longer
// than higher ranks, or the request itself if there are none, can bear.
func (s *service) baseDepth(r *rank, within time.Duration) float64 {
	base, highest := SharedDepth, true
	serviceTime := float64(s.serviceTime())
	for _, high := range s.ranks {
		if high.number >= r.number {
			break
		}
		if !s.hasTraffic(high) {
			continue
		}
		highest = false
		if high.objective > 0 {
			base = min(base, float64(high.objective)/serviceTime)
		}
	}
	if !highest {
		return base
	}
	if within == 0 {
		return MaxDepth
	}
	return min(MaxDepth, max(SharedDepth, float64(within)/serviceTime))
}

// loadBefore returns how many requests for each slot arrive, within one service time, that go
// before class k of rank r. It is the load of those requests relative to that which the
// upstreams carry.
func (s *service) loadBefore(r *rank, k class, utilization float64) float64 {
	mean, before, carried := s.serviceTime(), 0.0, 0.0
	for _, other := range s.ranks {
		serviceTime := other.serviceTime
		if serviceTime == 0 {
			serviceTime = mean
		}
		carried += other.sent * float64(serviceTime)
		switch {
		case other.number < r.number:
			before += other.askedCount() * float64(serviceTime)
		case other == r:
			for _, n := range r.asked[:k] {
				before += n * float64(serviceTime)
			}
		}
	}
	if carried == 0 {
		return 0
	}
	return before / carried * min(1, utilization)
}
