package model

import (
	"time"

	"auburnlatch/core/balance"
)

// Perfect is the upper bound of what the pace of targets can be used for: it places objects like
// Even, and knows the requests, the pace and the cached objects of each target at each moment. A
// request leaves its owner if that would respond late and another target in time; if none would, it
// is refused rather than added to a queue.
type Perfect struct{ Even }

// NewPerfect returns a Perfect without placements.
func NewPerfect(shape Shape) *Perfect { return &Perfect{*NewEven(shape)} }

// Choose implements Policy.
func (p *Perfect) Choose(now time.Time, vm int, key string, s State) (int, balance.Lease) {
	owner, lease := p.Even.Choose(now, vm, key, s)
	if owner >= 0 && p.expected(owner, key, s) <= p.shape.Objective {
		return owner, lease
	}
	best, bestTime := owner, p.shape.Objective
	if owner >= 0 && s.Busy(owner) >= 2*p.shape.Slots {
		best = -1
	}
	for i := p.firstUp; i < p.shape.Targets; i++ {
		if took := p.expected(i, key, s); took <= bestTime {
			best, bestTime = i, took
		}
	}
	return best, lease
}

// expected returns the time to a response at a target if its pace stays.
func (p *Perfect) expected(i int, key string, s State) time.Duration {
	work := p.shape.WorkMiss
	if s.Cached(i, key) {
		work = p.shape.WorkHit
	}
	queued := float64(max(0, s.Busy(i)+1-p.shape.Slots)) / float64(p.shape.Slots)
	return time.Duration(s.Pace(i) * (float64(work) + queued*float64(p.shape.WorkHit)))
}
