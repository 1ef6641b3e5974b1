package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnlatch/core/target"
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
	// ColdPerSecond is how many requests a second a cold upstream bears.
	ColdPerSecond float64
}

// Lease is one request's place at a target.
type Lease struct {
	Target *target.Target
	state  *state
	// traffic has the figures of the request's route.
	traffic *traffic
	sentAt  time.Time
	// Ahead is how many requests the target was believed to have before this.
	Ahead float64
	// Owner says that the target is the one that the request's object belongs to.
	Owner bool
	// Trip is the usual round trip to the target, 0 where none is known.
	Trip time.Duration
}

// Outcome is what came of a request.
type Outcome struct {
	// Answered says that the target sent an answer, of whatever status.
	Answered bool
	// Failed says that the target is to blame: no connection, no answer, a
	// spoilt one, or a failure of its own.
	Failed bool
	// Refused says that the target refused the request though it had room.
	Refused bool
	// Unanswered says that the request was sent and waited for until its time was
	// over or its caller left.
	Unanswered bool
	// Unreachable says that no connection could be opened.
	Unreachable bool
	// Load is the target's word, where it gave one.
	Load *Load
	// Bytes is the length of the request's and the answer's bodies.
	Bytes int
	// Connect is how long it took to open a connection; 0: one was kept.
	Connect time.Duration
}

// Balancer chooses for one VM. It is safe for concurrent use.
type Balancer struct {
	self, region, zone string

	mu       sync.Mutex
	states   map[string]*state
	services map[string]*pool
	stats    map[string]*serviceStats // By service.
	crowds   map[crowdKey]*crowd
	vms      []string
	trips    map[string]time.Duration // By the target's zone.
	regions  map[string]string        // By zone.
	farTrip  time.Duration            // The mean to other regions.
	routes   map[string]*traffic
	placed   map[placeKey]*placements
	objects  int // Of placed.
	news     []Placement
	// placeChanges counts changes of placed; joined says that others' are known.
	placeChanges uint64
	joined       bool
	tell         func()
	off          [mechanisms]bool
}

// Option varies a Balancer.
type Option func(*Balancer)

// WithNews has f called, under a lock, whenever News has something to return.
func WithNews(f func()) Option { return func(b *Balancer) { b.tell = f } }

// pool is the targets of one service.
type pool struct {
	states   []*state
	off      *[mechanisms]bool
	byRegion []regionSlots
	// factors are the regions' by exponent, see Balancer.factors.
	factors map[float64][]float64
	// What follows is worked out anew every refreshEvery.
	refreshed time.Time
	usual     time.Duration // The median latency.
	distrust  bool          // Too many are suspect for all to be bad.
}

// refreshEvery is how often a service's figures are worked out anew: they move
// over seconds, and working them out for each request would cost more than the
// choice itself.
const refreshEvery = 50 * time.Millisecond

func (p *pool) refresh(now time.Time) {
	if !p.refreshed.IsZero() && now.Sub(p.refreshed) < refreshEvery {
		return
	}
	p.refreshed = now
	p.usual = usualLatency(p.states)
	p.distrust = !p.off[Panic] && p.suspects(now) > panicShare*float64(len(p.states))
}

// New returns a Balancer for a VM without targets.
func New(self, region, zone string, opts ...Option) *Balancer {
	b := &Balancer{
		self: self, region: region, zone: zone,
		states: make(map[string]*state), services: make(map[string]*pool), stats: make(map[string]*serviceStats), crowds: make(map[crowdKey]*crowd),
		trips: make(map[string]time.Duration), regions: make(map[string]string), routes: make(map[string]*traffic),
		placed: make(map[placeKey]*placements),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// SetVMs tells which VMs there are, this one included. Shares of what all VMs
// have in common depend on it, so VMs that may only be silent belong to it, and
// a VM that has just started and cannot know yet names none: it then takes none.
func (b *Balancer) SetVMs(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = slices.Clone(names)
}

// SetTargets replaces the targets. What is known of those that stay is kept; one that
// has started again under its ID is another, of which nothing is known.
func (b *Balancer) SetTargets(targets []*target.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	states := make(map[string]*state, len(targets))
	services := make(map[string]*pool)
	for _, t := range targets {
		s := b.states[t.ID]
		if s == nil || s.Born != t.Born {
			s = &state{seed: xxhash.Sum64String(t.ID), weight: float64(t.Slots), usual: b.statsOf(t.Service), others: b.crowdOf(t), off: &b.off}
			if t.Zone == b.zone && !b.off[ZonePull] {
				s.weight *= zonePull
			}
		}
		s.Target = t
		b.regions[t.Zone] = t.Region
		states[t.ID] = s
		p := services[t.Service]
		if p == nil {
			p = &pool{off: &b.off}
			services[t.Service] = p
		}
		p.states = append(p.states, s)
	}
	for _, p := range services {
		p.index()
	}
	b.farTrip = b.farTripOf()
	replaced(b.states, states)
	b.states, b.services = states, services
}

func (b *Balancer) statsOf(service string) *serviceStats {
	t := b.stats[service]
	if t == nil {
		t = &serviceStats{}
		b.stats[service] = t
	}
	return t
}

// crowdKey names a crowd.
type crowdKey struct{ service, region string }

func (b *Balancer) crowdOf(t *target.Target) *crowd {
	key := crowdKey{t.Service, t.Region}
	c := b.crowds[key]
	if c == nil {
		c = &crowd{}
		b.crowds[key] = c
	}
	return c
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
		return Lease{}, verdict.New(verdict.NotRun, verdict.ReasonNoCapacity, comeBack)
	}
	if s.Cold(now) {
		s.lastCold = now
	}
	if s.inFlight == 0 {
		s.quietSince = now
	}
	lease := Lease{Target: s.Target, state: s, traffic: tr, sentAt: now, Ahead: s.busy(now), Owner: owner, Trip: b.roundTrip(s)}
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
	if !s.Usable || slices.Contains(req.Tried, s.ID) {
		return false
	}
	if req.Allowed != nil && !req.Allowed(s.Region) {
		return false
	}
	return !s.Cold(now) || b.coldTurn(now, s, req.ColdPerSecond)
}

// trial reports whether a suspect target may be tried with this request.
func (s *state) trial(now time.Time, req Request) bool {
	return req.Idempotent && s.inFlight == 0 && !now.Before(s.ejectedUntil) && now.Sub(s.lastTrial) >= trialEvery
}

func (p *pool) suspects(now time.Time) float64 {
	n := 0
	for _, s := range p.states {
		if s.suspect(now, p.usual) {
			n++
		}
	}
	return float64(n)
}

// usualLatency is the median latency of the targets that have one.
func usualLatency(states []*state) time.Duration {
	var list [256]time.Duration
	known := list[:0]
	for _, s := range states {
		if s.answers >= minAnswers && len(known) < len(list) {
			known = append(known, s.latency)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// Done gives a place back and takes in what came of the request.
func (b *Balancer) Done(now time.Time, l Lease, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := l.state
	s.inFlight--
	if o.Answered {
		l.traffic.carried(o.Bytes)
	}
	if o.Connect > 0 {
		b.tripTook(s.Zone, o.Connect)
	}
	if o.Answered {
		s.answered(now, max(0, now.Sub(l.sentAt)-b.roundTrip(s)), l.Ahead)
	}
	if o.Load != nil {
		s.reported, s.reportedAt = *o.Load, now
		s.others.take(now, *o.Load)
	}
	if o.Unanswered && now.Sub(l.sentAt) > s.silentAfter() {
		// Counts twice: it cost its caller all the time there was, where a failure
		// that is told at once leaves time for another upstream.
		o.Failed = true
		s.judge(now, 1, false)
	}
	switch {
	case o.Failed && !b.off[FailureCounts]:
		s.judge(now, 1, o.Unreachable)
	case o.Refused && !b.off[RefusalCounts]:
		s.judge(now, refusalCounts, false)
	case o.Answered:
		s.judge(now, 0, false)
	}
}

// tripWeight is the weight of a longer round trip than the one known; a
// shorter one counts at once, as only queues and lost packets make trips longer.
const tripWeight = 0.05

// tripTook takes in how long a connection to a zone took to open: one round trip.
func (b *Balancer) tripTook(zone string, took time.Duration) {
	old, ok := b.trips[zone]
	if !ok || took < old {
		b.trips[zone] = took
		b.farTrip = b.farTripOf()
		return
	}
	b.trips[zone] = old + time.Duration(tripWeight*float64(took-old))
	b.farTrip = b.farTripOf()
}

// roundTrip returns the usual round trip to a target, 0 where none is known.
func (b *Balancer) roundTrip(s *state) time.Duration { return b.trips[s.Zone] }

// unit maps a key and a target to [0, 1), evenly and independently.
func unit(key, seed uint64) float64 {
	x := key ^ seed
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
