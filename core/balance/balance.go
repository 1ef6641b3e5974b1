package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnlatch/core/target"
	"auburnlatch/core/throttle"
)

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
	// limited says that the request was taken out of a limit that the target names.
	limited bool
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
	// NotSent says that nothing was sent to the target.
	NotSent bool
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
	vms      []VM
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
	// kept is what incarnations said that are not registered, by their names.
	kept map[string]keptSignals
	off  [mechanisms]bool
}

// Option varies a Balancer.
type Option func(*Balancer)

// WithNews has f called, under a lock, whenever News has something to return.
func WithNews(f func()) Option { return func(b *Balancer) { b.tell = f } }

// pool is the targets of one service.
type pool struct {
	states  []*state
	off     *[mechanisms]bool
	regions []regionCount // By name.
	reindex bool          // Regions have other indexes than states have noted.
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
		placed: make(map[placeKey]*placements), kept: make(map[string]keptSignals),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// VM is one that sends to upstreams.
type VM struct{ Name, Region string }

// SetVMs tells which VMs there are, this one included. Shares of what all VMs
// have in common depend on it, so VMs that may only be silent belong to it, and
// a VM that has just started and cannot know yet names none: it then takes none.
func (b *Balancer) SetVMs(vms []VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Equal(vms, b.vms) {
		return
	}
	b.vms = slices.Clone(vms)
	for _, s := range b.states {
		s.place = throttle.Place{}
	}
}

// SetTargets replaces the targets. What is known of those that stay is kept; one that
// has started again under its ID is another, of which nothing is known.
func (b *Balancer) SetTargets(targets []*target.Target) {
	there := make(map[string]bool, len(targets))
	for _, t := range targets {
		there[t.ID] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var gone []*target.Target
	for id, s := range b.states {
		if !there[id] {
			gone = append(gone, s.Target)
		}
	}
	b.changeTargets(targets, gone)
}

// ChangeTargets takes in targets that are new or have changed, and that others are gone.
func (b *Balancer) ChangeTargets(set, gone []*target.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.changeTargets(set, gone)
}

func (b *Balancer) changeTargets(set, gone []*target.Target) {
	changed := make(map[string]bool) // Services.
	for _, t := range gone {
		if s := b.states[t.ID]; s != nil && s.Born == t.Born {
			b.removeTarget(s)
			changed[s.Service] = true
		}
	}
	for _, t := range set {
		changed[t.Service] = true
		s := b.states[t.ID]
		if s != nil && (s.Born != t.Born || s.Service != t.Service) {
			b.removeTarget(s)
			changed[s.Service] = true
			s = nil
		}
		if s == nil {
			s = b.newState(t)
			b.states[t.ID] = s
			b.services[t.Service].add(s)
		} else {
			b.services[t.Service].uncount(s)
		}
		b.regions[t.Zone] = t.Region
		s.Target = t
		b.services[t.Service].count(s)
	}
	for service := range changed {
		if p := b.services[service]; len(p.states) > 0 {
			p.renew()
		} else {
			delete(b.services, service)
		}
	}
	b.farTrip = b.farTripOf()
}

// newState returns the state of a target of which nothing is known, and sees to it that its
// service has a pool.
func (b *Balancer) newState(t *target.Target) *state {
	if b.services[t.Service] == nil {
		b.services[t.Service] = &pool{off: &b.off}
	}
	s := &state{
		Target: t, seed: xxhash.Sum64String(t.ID), weight: float64(t.Slots), usual: b.statsOf(t.Service), others: b.crowdOf(t), off: &b.off,
		signals: b.recall(t), history: &noHistory,
	}
	s.weighSignals()
	if t.Zone == b.zone && !b.off[ZonePull] {
		s.weight *= zonePull
	}
	return s
}

// removeTarget takes a target out that is not registered any more.
func (b *Balancer) removeTarget(s *state) {
	s.gone = true
	delete(b.states, s.ID)
	b.services[s.Service].remove(s)
	b.keep(s)
}

// add and remove keep each target's place in the list with it.
func (p *pool) add(s *state) {
	s.index = len(p.states)
	p.states = append(p.states, s)
}

func (p *pool) remove(s *state) {
	last := p.states[len(p.states)-1]
	p.states[s.index], last.index = last, s.index
	p.states[len(p.states)-1] = nil
	p.states = p.states[:len(p.states)-1]
	p.uncount(s)
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
	switch {
	case o.Unreachable || o.NotSent:
		if l.limited {
			s.signals.limit.Return()
		}
	case !o.Answered:
		s.signals.unanswered(now, l.sentAt)
	}
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
