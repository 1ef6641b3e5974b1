package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PaceUse says for which services the expected time to a response decides where requests go.
type PaceUse int

const (
	// PaceIfReported uses it for services of which any target reports its pace.
	PaceIfReported PaceUse = iota
	// PaceAlways uses it for all services, with the usual pace where none is reported.
	PaceAlways
	// PaceNever uses it for none.
	PaceNever
)

// WithPaceUse sets the use of the pace. The default is PaceIfReported.
func WithPaceUse(u PaceUse) Option { return func(b *Balancer) { b.paceUse = u } }

// SetPaceUse sets the use of the pace.
func (b *Balancer) SetPaceUse(u PaceUse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.paceUse = u
}

// Parameters of the expected time to a response.
const (
	// paceTTL is how long a reported pace counts, with linearly decreasing weight. Spells in which
	// work is slow last about as long.
	paceTTL = 600 * time.Millisecond
	// workWeight is the weight of the newest sample in a route's mean times: about the last
	// hundred count.
	workWeight = 0.01
	// reportAgeWeight is the weight of the newest sample in the mean age of loads.
	reportAgeWeight = 0.01
	// maxWarm is the most targets that an object is believed to be warm at.
	maxWarm = 2
)

// workTimes are the mean times that a route's requests take at one service, at the usual pace without
// the wait for a slot. They are kept apart for objects that are warm at the target and for others: a
// mean over both says nothing of either.
type workTimes struct{ warm, fresh, all workTime }

type workTime struct {
	mean    time.Duration
	answers int
}

func (w *workTime) observe(took time.Duration) {
	w.answers++
	w.mean += time.Duration(max(workWeight, 1/float64(w.answers)) * float64(took-w.mean))
}

// of returns the mean time of a request, 0 if it is unknown.
func (w *workTimes) of(warm bool) time.Duration {
	t := &w.fresh
	if warm {
		t = &w.warm
	}
	if t.answers < minAnswers {
		return 0
	}
	return t.mean
}

// observe records the time that a request took at the usual pace, without the wait for a slot.
func (w *workTimes) observe(took time.Duration, warm bool) {
	w.all.observe(took)
	if warm {
		w.warm.observe(took)
	} else {
		w.fresh.observe(took)
	}
}

// recordServed records how long a request took and where its object is warm now.
func (b *Balancer) recordServed(now time.Time, l Lease, o Outcome) {
	s := l.state
	took := float64(max(0, now.Sub(l.sentAt)-b.rtt(s))) * float64(s.Slots) / max(float64(s.Slots), l.Ahead+1)
	if o.Load != nil && o.Load.Pace > 0 {
		took /= o.Load.Pace
	}
	if l.Warm || l.first {
		l.route.workAt(s.Service).observe(time.Duration(took), l.Warm)
	}
	if l.placement != nil {
		l.placement.markWarm(now, s)
	}
}

// pace is the expected pace at a time, relative to the usual.
func (h *history) pace(at time.Time) float64 {
	if h.reported.Pace == 0 {
		return 1
	}
	freshness := max(0, 1-float64(at.Sub(h.reportedAt))/float64(paceTTL))
	return 1 + freshness*(h.reported.Pace-1)
}

// expected estimates the time to a response if the request is sent now, 0 if too little is known.
// The pace may change meanwhile: that of half of the time counts.
func (b *Balancer) expected(now time.Time, s *state, route *routeStats, warm bool) time.Duration {
	times := route.workAt(s.Service)
	work := float64(times.of(warm))
	if work == 0 {
		return 0
	}
	queued := max(0, s.outstanding(now)+1-float64(s.Slots)) / float64(s.Slots)
	usual := work + queued*float64(times.all.mean)
	return b.rtt(s) + time.Duration(usual*s.pace(now.Add(time.Duration(usual/2))))
}

// LoadStats says how the loads that targets report were used.
type LoadStats struct {
	// Age is the moving average of the age of the chosen targets' loads.
	Age time.Duration
	// OwnersLate counts the requests whose owner had a queue and was expected to respond after the
	// objective, so that they went to an idle target or were refused.
	OwnersLate int64
}

// LoadStats returns the statistics.
func (b *Balancer) LoadStats() LoadStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loadStats
}

// observeAge records the age of a chosen target's load.
func (l *LoadStats) observeAge(age time.Duration) {
	l.Age += time.Duration(reportAgeWeight * float64(age-l.Age))
}

// ReportsPace reports whether any target of a service has reported its pace.
func (b *Balancer) ReportsPace(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.services[service]
	return p != nil && p.reportsPace
}

// usesPace reports whether the expected time to a response decides for a service.
func (b *Balancer) usesPace(p *pool) bool {
	return b.paceUse == PaceAlways || b.paceUse == PaceIfReported && p.reportsPace
}

// placementOf returns the placement of a request's object, or nil if it has none here.
func (b *Balancer) placementOf(req Request) *placement {
	if req.Single {
		return nil
	}
	if placed := b.routePlacements[placementsKey{req.Service, req.Route}]; placed != nil {
		return placed.objects[xxhash.Sum64String(req.Key)]
	}
	return nil
}

// warmth is a target that has had requests for an object.
type warmth struct {
	state *state
	// at is when it last answered one, zero if it has answered none yet.
	at time.Time
}

// warmAt reports whether the object is believed to be warm at a target: it has answered for the
// object lately, or another VM has placed the object there.
func (pl *placement) warmAt(now time.Time, s *state) bool {
	if pl == nil {
		return false
	}
	for _, w := range pl.warm {
		if w.state == s {
			return now.Sub(w.at) < placementTTL
		}
	}
	return false
}

// markSent records a request for the object, and reports whether it is the first that the target
// has, as far as this VM knows. Those sent while the first runs are neither warm nor new.
func (pl *placement) markSent(s *state) (first bool) {
	if pl == nil || slices.ContainsFunc(pl.warm, func(w warmth) bool { return w.state == s }) {
		return false
	}
	pl.markWarm(time.Time{}, s)
	return true
}

// markWarm records that the object is warm at a target, in place of the one that has not been used
// for longest if there are maxWarm.
func (pl *placement) markWarm(now time.Time, s *state) {
	oldest := 0
	for i := range pl.warm {
		if pl.warm[i].state == s {
			pl.warm[i].at = now
			return
		}
		if pl.warm[i].at.Before(pl.warm[oldest].at) {
			oldest = i
		}
	}
	if len(pl.warm) < maxWarm {
		pl.warm = append(pl.warm, warmth{s, now})
		return
	}
	pl.warm[oldest] = warmth{s, now}
}
