package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnlatch/core/verdict"
)

// Parameters of the choice.
const (
	// uncheckedDepth is how many requests for each of its slots an upstream may have before the
	// expected latency is checked.
	uncheckedDepth = 2.0
	// urgentDepth and normalDepth are the most requests for each of its slots that it may have,
	// for urgent and for other requests. The latter are refused earlier, so that urgent ones
	// still find room under load.
	urgentDepth = 3.0
	normalDepth = 2.5
	// idleThreshold is the utilization of slots below which an upstream that does not own the
	// object may take requests for which the owner has no room. At 0.75 objects spread so far
	// that upstreams evicted them faster than they loaded them.
	idleThreshold = 0.25
	// maxSuspectShare is the share of suspect targets in a service above which suspicion is
	// ignored: when most look bad at once, the fault is more likely in the network or in the
	// load.
	maxSuspectShare = 0.5
	// minRetryAfter is the minimum Retry-After of a request that is refused for lack of
	// capacity: a few times the usual response time, after which slots have been freed.
	minRetryAfter = 250 * time.Millisecond
)

// Request has the properties of a request on which the choice depends.
type Request struct {
	Service string
	// Route is the route's name. Requests of one route are assumed to be alike.
	Route string
	// Key identifies the object.
	Key string
	// Single means that Key identifies only this request, so that there is no object to place.
	Single bool
	// Allowed reports whether a region may serve the request; nil: all may.
	Allowed func(region string) bool
	// Urgent requests have the highest priority on the service.
	Urgent bool
	// Depth is the most requests for each of its slots that the target may have; 0: the default
	// for urgent or other requests.
	Depth float64
	// Idempotent requests may be trial requests to a suspect upstream.
	Idempotent bool
	// Objective is the response time objective, and Within what is left of it; 0: unknown.
	Objective, Within time.Duration
	// Tried are the IDs of targets to which the request was sent already.
	Tried []string
	// Avoid are the IDs of further targets that must not be chosen, though they are healthy.
	Avoid []string
	// ColdPerSecond is how many requests a second a cold upstream sustains.
	ColdPerSecond float64
}

// Choose assigns the request to a target. The error is a NotRun verdict with a Retry-After.
func (b *Balancer) Choose(now time.Time, req Request) (Lease, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.services[req.Service]
	if p == nil {
		return Lease{}, verdict.New(verdict.NotRun, verdict.ReasonNoCapacity, minRetryAfter)
	}
	p.refresh(now)
	route := b.routeStatsOf(req)
	s, owner := b.pick(now, p, req, route)
	if s == nil && !p.ignoreSuspects {
		// Targets may have become suspect since the last refresh.
		p.refreshed = time.Time{}
		p.refresh(now)
		s, owner = b.pick(now, p, req, route)
	}
	if s == nil {
		return Lease{}, verdict.New(verdict.NotRun, verdict.ReasonNoCapacity, max(minRetryAfter, b.wait(now, p, req)))
	}
	s.ensureHistory()
	cold := s.Cold(now)
	if cold {
		s.lastCold = now
	}
	if s.restricted {
		s.signals.probedAt = now
	}
	if s.inFlight == 0 {
		s.silentSince = now
	}
	lease := Lease{Target: s.Target, state: s, route: route, placement: b.placementOf(req), sentAt: now, Ahead: s.outstanding(now), Owner: owner, Cold: cold, RTT: b.rtt(s)}
	lease.Warm, lease.first = lease.placement.warmAt(now, s), req.Single || lease.placement.markSent(s)
	lease.Expected, lease.Pace = b.expected(now, s, route, lease.Warm), s.pace(now)
	if !s.reportedAt.IsZero() {
		b.loadStats.observeAge(now.Sub(s.reportedAt))
	}
	lease.limited = s.limited() && s.signals.limit.Take(now, b.senderRank(s))
	s.inFlight++
	return lease, nil
}

// pick returns the target of a request: the owner of its object, else the first idle target in
// the preference order, or nil if none has room. owns reports whether it is the owner.
func (b *Balancer) pick(now time.Time, p *pool, req Request, route *routeStats) (s *state, owns bool) {
	factors := b.factors(p, route.exponent)
	if !req.Single && b.synced && !b.disabled[Placing] {
		if owner := b.ownerOf(now, p, req, factors); owner != nil && b.candidate(now, p, owner, req) {
			if b.hasRoom(now, p, owner, req, route) {
				return b.markTrial(now, p, owner), true
			}
			_, idle := b.search(now, p, req, factors)
			return b.markTrial(now, p, idle), false
		}
	}
	first, idle := b.search(now, p, req, factors)
	if first != nil && b.hasRoom(now, p, first, req, route) {
		return b.markTrial(now, p, first), true
	}
	return b.markTrial(now, p, idle), false
}

// search returns the first candidate in an object's preference order, and the first idle one.
func (b *Balancer) search(now time.Time, p *pool, req Request, factors []float64) (first, idle *state) {
	hash := xxhash.Sum64String(req.Key)
	var firstCost, idleCost float64
	for _, s := range p.states {
		if !b.candidate(now, p, s, req) {
			continue
		}
		cost := s.cost(hash, factors)
		if first == nil || cost < firstCost {
			first, firstCost = s, cost
		}
		if (idle == nil || cost < idleCost) && !b.disabled[IdleFallback] && s.outstanding(now) < idleThreshold*float64(s.Slots) {
			idle, idleCost = s, cost
		}
	}
	return first, idle
}

// markTrial records the time of a trial request if the target is suspect. It returns s.
func (b *Balancer) markTrial(now time.Time, p *pool, s *state) *state {
	if s != nil && s.suspect(now, p.medianLatency) {
		s.ensureHistory()
		s.lastTrial = now
	}
	return s
}

// candidate reports whether a target may be sent the request, apart from its room.
func (b *Balancer) candidate(now time.Time, p *pool, s *state, req Request) bool {
	return b.eligible(now, s, req) && (p.ignoreSuspects || !s.suspect(now, p.medianLatency) || s.trialDue(now, req))
}

// hasRoom reports whether a target has room for one more request: its queue must not be full,
// and beyond uncheckedDepth the response must be expected within the objective. A long queue of
// slow work helps nobody, as all requests behind it are late as well.
func (b *Balancer) hasRoom(now time.Time, p *pool, s *state, req Request, route *routeStats) bool {
	if b.disabled[Depth] {
		return true
	}
	outstanding := s.outstanding(now)
	if outstanding >= req.depth()*float64(s.Slots) {
		return false
	}
	if req.Within == 0 || outstanding < uncheckedDepth*float64(s.Slots) {
		return true
	}
	if b.usesPace(p) && !b.disabled[ExpectedRoom] {
		pl := b.placementOf(req)
		if expected := b.expected(now, s, route, pl.warmAt(now, s)); expected > 0 {
			if expected >= req.Within {
				b.loadStats.OwnersLate++
			}
			return expected < req.Within
		}
	}
	return s.expectedLatency(now, b.rtt(s)) < req.Within
}

// depth returns the most requests for each of its slots that a target may have.
func (r *Request) depth() float64 {
	switch {
	case r.Depth > 0:
		return r.Depth
	case r.Urgent:
		return urgentDepth
	default:
		return normalDepth
	}
}

// eligible reports whether a target may be sent the request, apart from its room and from
// suspicion.
func (b *Balancer) eligible(now time.Time, s *state, req Request) bool {
	if !s.usable() || slices.Contains(req.Tried, s.ID) || slices.Contains(req.Avoid, s.ID) {
		return false
	}
	if req.Allowed != nil && !req.Allowed(s.Region) {
		return false
	}
	if !b.signalsAllow(now, s) {
		return false
	}
	return !s.Cold(now) || b.coldAllowed(now, s, req.ColdPerSecond)
}

// trialDue reports whether a suspect target may be sent this request as a trial.
func (s *state) trialDue(now time.Time, req Request) bool {
	return req.Idempotent && s.inFlight == 0 && !now.Before(s.ejectedUntil) && now.Sub(s.lastTrial) >= trialInterval
}
