package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// timeConstant is that of the moving averages: short against a burst of ten seconds, and
	// long enough for a VM with a few requests a second to count some of each rank.
	timeConstant = 3 * time.Second
	// decayInterval is the least time between two updates of the averages.
	decayInterval = 10 * time.Millisecond
	// minKnown is the number of recent requests to a service below which too little is known of
	// its demand.
	minKnown = 8
	// recentTime is how long a request is recent.
	recentTime = 3 * timeConstant
	// minTraffic is the part of a service's recent requests from which on a rank has traffic
	// there.
	minTraffic = 0.02
	// starvedFraction is how often a rank is served, relative to all requests, below which it is
	// starved. Operators demand a quarter; the rest is margin for delays and chance.
	starvedFraction = 0.4
	// minStarved is the number of recent requests below which a rank cannot be starved.
	minStarved = 2
	// returnRatio is the number of returned requests for each other one that go first: a quarter
	// of all.
	returnRatio = 1.0 / 3
	// maxReturnCredit bounds how many returned requests go first in a row.
	maxReturnCredit = 8
	// serviceTimeWeight is the weight of the newest sample in the mean service time.
	serviceTimeWeight = 0.1
)

// service is the recent demand for one service. Counts decay with timeConstant.
type service struct {
	at    time.Time // When the counts were last updated.
	ranks []*rank   // Sorted, the highest first.
}

// rank is the recent demand of one rank for one service.
type rank struct {
	Rank
	asked [numClasses]float64
	sent  float64
	// uses is the number of requests by the use of their team, see useBucket. The first element
	// includes requests whose team's use is unknown.
	uses [useBuckets]float64
	// serviceTime is the mean time for which a request occupies a slot; 0: unknown.
	serviceTime time.Duration
	// objective is the least of the requests by the newest rules; 0: none has one.
	objective time.Duration
	rules     uint64
	askedAt   time.Time // When the last request was recorded.
	// returnCredit is how many returned requests may go first.
	returnCredit float64

	refusedWithin, refusedAbove, refusedReturned int64
}

func (s *service) decay(now time.Time) {
	elapsed := now.Sub(s.at)
	if elapsed < decayInterval {
		return
	}
	s.at = now
	f := math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
	for _, r := range s.ranks {
		for i := range r.asked {
			r.asked[i] *= f
		}
		for i := range r.uses {
			r.uses[i] *= f
		}
		r.sent *= f
	}
}

// rank returns the demand of a rank, or nil if it has not been seen.
func (s *service) rank(k Rank) *rank {
	i, ok := s.find(k)
	if !ok {
		return nil
	}
	return s.ranks[i]
}

func (s *service) ensureRank(k Rank) *rank {
	i, ok := s.find(k)
	if !ok {
		s.ranks = slices.Insert(s.ranks, i, &rank{Rank: k})
	}
	return s.ranks[i]
}

func (s *service) find(k Rank) (int, bool) {
	return slices.BinarySearchFunc(s.ranks, k, func(r *rank, k Rank) int { return r.Compare(k) })
}

// askedCount returns the number of recent requests of all ranks.
func (s *service) askedCount() float64 {
	sum := 0.0
	for _, r := range s.ranks {
		sum += r.askedCount()
	}
	return sum
}

// known reports whether enough is known of the demand.
func (s *service) known() bool { return s.askedCount() >= minKnown && s.serviceTime() > 0 }

// serviceTime returns the mean over all requests that were sent; 0: unknown.
func (s *service) serviceTime() time.Duration {
	sum, n := 0.0, 0.0
	for _, r := range s.ranks {
		if r.serviceTime > 0 {
			sum += r.sent * float64(r.serviceTime)
			n += r.sent
		}
	}
	if n == 0 {
		return 0
	}
	return time.Duration(sum / n)
}

// hasTraffic reports whether a rank has a noticeable part of the requests.
func (s *service) hasTraffic(r *rank) bool {
	return s.recent(r) && r.askedCount() >= minTraffic*s.askedCount()
}

// starved reports whether a rank is served much less often than all requests.
func (s *service) starved(r *rank) bool {
	asked := r.askedCount()
	if asked < minStarved || !s.recent(r) {
		return false
	}
	sent := 0.0
	for _, r := range s.ranks {
		sent += r.sent
	}
	return r.sent/asked < starvedFraction*sent/max(1, s.askedCount())
}

// recent reports whether a rank has had a recent request. A rank that no route or team has any more
// must not count for longer if it had more requests.
func (s *service) recent(r *rank) bool {
	return !r.askedAt.IsZero() && s.at.Sub(r.askedAt) < recentTime
}

func (r *rank) askedCount() float64 {
	sum := 0.0
	for _, n := range r.asked {
		sum += n
	}
	return sum
}

func (r *rank) record(now time.Time, req Request, d Decision, sent bool) {
	r.askedAt = now
	r.asked[classOf(d)]++
	r.uses[useBucket(req.Use)]++
	r.returnCredit = min(maxReturnCredit, r.returnCredit+returnRatio)
	if d.Returned {
		r.returnCredit -= 1 + returnRatio
	}
	r.recordObjective(req)
	switch {
	case sent:
		r.sent++
	case d.AboveShare:
		r.refusedAbove++
	default:
		r.refusedWithin++
	}
	if !sent && req.Returned {
		r.refusedReturned++
	}
}

// recordObjective records the objective of a request. Those of earlier rules do not count.
func (r *rank) recordObjective(req Request) {
	if req.Rules > r.rules {
		r.objective, r.rules = 0, req.Rules
	}
	if req.Rules == r.rules && req.Objective > 0 && (r.objective == 0 || req.Objective < r.objective) {
		r.objective = req.Objective
	}
}

func (r *rank) observe(serviceTime time.Duration) {
	if r.serviceTime == 0 {
		r.serviceTime = serviceTime
	}
	r.serviceTime += time.Duration(serviceTimeWeight * float64(serviceTime-r.serviceTime))
}
