package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnlatch/core/verdict"
)

// Tuning of the choice.
const (
	// usualDepth is how many requests for each of its slots an upstream may have
	// without a look at how long the answer will take.
	usualDepth = 2.0
	// urgentDepth and otherDepth are how many it may have at all; those of a
	// lower priority stop earlier, so that the urgent find room under pressure.
	urgentDepth = 3.0
	otherDepth  = 2.5
	// idleBelow is the use of slots below which an upstream that does not own
	// the object may take what has no room at the owner. At 0.75 objects spread
	// so far that upstreams forgot them faster than they learned.
	idleBelow = 0.25
	// panicShare is the share of suspects in a service above which the evidence
	// is distrusted: when most look bad at once, the fault is likelier on the way
	// or in the load.
	panicShare = 0.5
	// comeBack is when a caller refused for want of room should come back: a
	// few times an answer's usual time, when slots have been freed.
	comeBack = 250 * time.Millisecond
)

// Request is what the choice depends on.
type Request struct {
	Service string
	// Route is the route's name: requests of one route are alike.
	Route string
	// Key names the object.
	Key string
	// Single says that Key names this one request: there is no object to be kept at
	// one target.
	Single bool
	// Allowed reports whether a region may serve the request; nil: all may.
	Allowed func(region string) bool
	// Urgent requests have the highest priority on the service.
	Urgent bool
	// Idempotent requests may be used to try out a suspect upstream.
	Idempotent bool
	// Objective is the time in which an answer is worth most, and Within what is
	// left of it; 0: unknown.
	Objective, Within time.Duration
	// Tried are the IDs of targets that the request was sent to already.
	Tried []string
	// Avoid are the IDs of targets that should not be sent it though they are well.
	Avoid []string
	// ColdPerSecond is how many requests a second a cold upstream bears.
	ColdPerSecond float64
}

// Choose takes a place at a target. The error is a NotRun verdict with the
// time to come back.
func (b *Balancer) Choose(now time.Time, req Request) (Lease, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.services[req.Service]
	if p == nil {
		return Lease{}, verdict.New(verdict.NotRun, verdict.ReasonNoCapacity, comeBack)
	}
	p.refresh(now)
	tr := b.traffic(req)
	s, owner := b.pick(now, p, req, tr)
	if s == nil && !p.distrust {
		// Suspicion may have come over all of them since the last look.
		p.refreshed = time.Time{}
		p.refresh(now)
		s, owner = b.pick(now, p, req, tr)
	}
	if s == nil {
		return Lease{}, verdict.New(verdict.NotRun, verdict.ReasonNoCapacity, max(comeBack, b.wait(now, p, req)))
	}
	s.ownHistory()
	if s.Cold(now) {
		s.lastCold = now
	}
	if s.signalled {
		s.signals.probedAt = now
	}
	if s.inFlight == 0 {
		s.quietSince = now
	}
	lease := Lease{Target: s.Target, state: s, traffic: tr, sentAt: now, Ahead: s.busy(now), Owner: owner, Trip: b.roundTrip(s)}
	lease.limited = s.limited() && s.signals.limit.Take(now, b.placeAt(s))
	s.inFlight++
	return lease, nil
}

// pick returns the target of a request, or nil where none has room: the owner
// of its object, else the first in the object's order that is clearly idle. owns says
// that it is the owner.
func (b *Balancer) pick(now time.Time, p *pool, req Request, tr *traffic) (s *state, owns bool) {
	factors := b.factors(p, tr.exponent)
	if !req.Single && b.joined && !b.off[Placing] {
		if owner := b.ownerOf(now, p, req, factors); owner != nil && b.mayUse(now, p, owner, req) {
			if b.room(now, owner, req) {
				return b.taken(now, p, owner), true
			}
			_, spare := b.search(now, p, req, factors)
			return b.taken(now, p, spare), false
		}
	}
	first, spare := b.search(now, p, req, factors)
	if first != nil && b.room(now, first, req) {
		return b.taken(now, p, first), true
	}
	return b.taken(now, p, spare), false
}

// search returns the first target in an object's order that may be used, and the
// first that is clearly idle.
func (b *Balancer) search(now time.Time, p *pool, req Request, factors []float64) (first, spare *state) {
	hash := xxhash.Sum64String(req.Key)
	var firstCost, spareCost float64
	for _, s := range p.states {
		if !b.mayUse(now, p, s, req) {
			continue
		}
		cost := s.cost(hash, factors)
		if first == nil || cost < firstCost {
			first, firstCost = s, cost
		}
		if (spare == nil || cost < spareCost) && !b.off[Spare] && s.busy(now) < idleBelow*float64(s.Slots) {
			spare, spareCost = s, cost
		}
	}
	return first, spare
}

// taken notes that a suspect target is being tried.
func (b *Balancer) taken(now time.Time, p *pool, s *state) *state {
	if s != nil && s.suspect(now, p.usual) {
		s.ownHistory()
		s.lastTrial = now
	}
	return s
}

// mayUse reports whether a target may be sent the request, room aside.
func (b *Balancer) mayUse(now time.Time, p *pool, s *state, req Request) bool {
	return b.eligible(now, s, req) && (p.distrust || !s.suspect(now, p.usual) || s.trial(now, req))
}

// room reports whether a target has room for one more request: in its queue,
// and beyond the usual depth only where the answer still comes within the time
// that is worth most. A long queue of slow work helps nobody: all behind it are
// late as well.
func (b *Balancer) room(now time.Time, s *state, req Request) bool {
	if b.off[Depth] {
		return true
	}
	depth := otherDepth
	if req.Urgent {
		depth = urgentDepth
	}
	busy := s.busy(now)
	if busy >= depth*float64(s.Slots) {
		return false
	}
	return req.Within == 0 || busy < usualDepth*float64(s.Slots) || s.expected(now, b.roundTrip(s)) < req.Within
}

func (b *Balancer) eligible(now time.Time, s *state, req Request) bool {
	if !s.usable() || slices.Contains(req.Tried, s.ID) || slices.Contains(req.Avoid, s.ID) {
		return false
	}
	if req.Allowed != nil && !req.Allowed(s.Region) {
		return false
	}
	if !b.mayTake(now, s) {
		return false
	}
	return !s.Cold(now) || b.coldTurn(now, s, req.ColdPerSecond)
}

// trial reports whether a suspect target may be tried with this request.
func (s *state) trial(now time.Time, req Request) bool {
	return req.Idempotent && s.inFlight == 0 && !now.Before(s.ejectedUntil) && now.Sub(s.lastTrial) >= trialEvery
}
