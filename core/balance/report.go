package balance

import (
	"time"

	"auburnlatch/core/throttle"
)

// Report is what one VM relays to others of an upstream's signals.
type Report struct {
	// Target and Born identify the incarnation.
	Target string
	Born   int64
	// Limit is what is known of its rate limit; nil: nothing.
	Limit   *throttle.Report
	Leaving bool
}

// Reports returns the upstream signals that other VMs need to know.
func (b *Balancer) Reports(now time.Time) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Report
	for _, s := range b.states {
		r := Report{Target: s.ID, Born: s.Born, Leaving: s.signals.leaving}
		if limit, ok := s.signals.limit.Report(now); ok {
			r.Limit = &limit
		}
		if r.Limit != nil || r.Leaving {
			list = append(list, r)
		}
	}
	return list
}

// MergeReports merges reports received from another VM. Reports of incarnations that are not
// registered here are dropped.
func (b *Balancer) MergeReports(now time.Time, list []Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range list {
		s := b.states[r.Target]
		if s == nil || s.Born != r.Born {
			continue
		}
		sig := s.mutableSignals()
		if r.Limit != nil {
			sig.limit.Merge(now, *r.Limit)
		}
		sig.leaving = sig.leaving || r.Leaving
		s.updateRestricted()
	}
}
