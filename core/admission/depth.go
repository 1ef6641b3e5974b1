package admission

// fullShortage is the utilization from which on all room that is needed is reserved.
const fullShortage = 1.25

// depth returns the depth for a request of class k of rank r.
func (s *service) depth(r *rank, k class, utilization float64, req Request) float64 {
	if s.equalized(r, k) {
		return SharedDepth
	}
	most := s.mostDepth(r, k, req)
	// Where room is reserved, only the highest rank may exceed SharedDepth.
	reserved := most
	if s.hasRecentAbove(r) {
		reserved = SharedDepth
	}
	reserved = max(MinDepth, min(s.tolerableDepth(r), reserved-s.loadBefore(r, k)))
	return most - shortage(utilization)*(most-reserved)
}

// shortage returns how far room is reserved, from 0 to 1. While upstreams have less than one
// request for each slot on average, room is not short, and a full one is chance.
func shortage(utilization float64) float64 {
	return min(1, max(0, (utilization-1)/(fullShortage-1)))
}

// equalized reports whether r or a lower rank is starved, and class k of r may have no more depth
// than the starved rank. That finds what the ranks above it find, except for the part of its
// teams' demand above their shares.
func (s *service) equalized(r *rank, k class) bool {
	for _, low := range s.ranks {
		if low.Compare(r.Rank) >= 0 && s.starved(low) && (low != r || k <= newWithin) {
			return true
		}
	}
	return false
}

// mostDepth returns the depth while no room is reserved. Only requests of teams within their
// shares, and for which no higher rank has a shorter objective, may exceed SharedDepth, as long
// as they have time to wait.
func (s *service) mostDepth(r *rank, k class, req Request) float64 {
	if k > newWithin {
		return SharedDepth
	}
	for _, high := range s.ranks {
		if high.Compare(r.Rank) >= 0 {
			break
		}
		if s.recent(high) && high.objective > 0 && (req.Objective == 0 || high.objective < req.Objective) {
			return SharedDepth
		}
	}
	if req.Within == 0 {
		return MaxDepth
	}
	return min(MaxDepth, max(SharedDepth, float64(req.Within)/float64(s.serviceTime())))
}

// hasRecentAbove reports whether a higher rank than r has had any recent request.
func (s *service) hasRecentAbove(r *rank) bool {
	for _, high := range s.ranks {
		if high.Compare(r.Rank) >= 0 {
			return false
		}
		if s.recent(high) {
			return true
		}
	}
	return false
}

// tolerableDepth returns the depth at which requests of higher ranks are still expected to be in
// time.
func (s *service) tolerableDepth(r *rank) float64 {
	depth := MaxDepth
	for _, high := range s.ranks {
		if high.Compare(r.Rank) >= 0 {
			break
		}
		if s.hasTraffic(high) && high.objective > 0 {
			depth = min(depth, float64(high.objective)/float64(s.serviceTime()))
		}
	}
	return depth
}

// loadBefore returns how many requests for each slot arrive, within one service time, that go
// before class k of rank r: their load relative to that which the upstreams carry.
func (s *service) loadBefore(r *rank, k class) float64 {
	mean, before, carried := s.serviceTime(), 0.0, 0.0
	for _, other := range s.ranks {
		serviceTime := float64(other.serviceTime)
		if serviceTime == 0 {
			serviceTime = float64(mean)
		}
		carried += other.sent * serviceTime
		switch {
		case other == r:
			for _, n := range r.asked[:k] {
				before += n * serviceTime
			}
		case other.Compare(r.Rank) < 0 && s.recent(other):
			before += other.askedCount() * serviceTime
		}
	}
	if carried == 0 {
		return 0
	}
	return before / carried
}
