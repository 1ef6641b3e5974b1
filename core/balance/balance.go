package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnlatch/core/target"
	"auburnlatch/core/throttle"
)

// Lease assigns one request to a target until Done.
type Lease struct {
	Target *target.Target
	state  *state
	// route has the statistics of the request's route.
	route *routeStats
	// placement is of the request's object, nil if it has none.
	placement *placement
	// first reports whether it is the first request for its object at the target.
	first  bool
	sentAt time.Time
	// Ahead is the estimated number of requests at the target before this one.
	Ahead float64
	// Owner reports whether the target is the owner of the request's object.
	Owner bool
	// Warm reports whether the target is believed to have handled the object recently.
	Warm bool
	// Cold reports whether the target was known to be cold when it was chosen, so that the request
	// is one of the few that it gets meanwhile.
	Cold bool
	// Expected is the expected time to a response when the target was chosen, 0 if unknown, and
	// Pace the pace that it was computed from.
	Expected time.Duration
	Pace     float64
	// RTT is the usual round trip time to the target, 0 if unknown.
	RTT time.Duration
	// limited reports whether the request took a token of the target's rate limit.
	limited bool
}

// Outcome is the result of a request.
type Outcome struct {
	// Answered means that the target sent a response, of whatever status.
	Answered bool
	// Served means that it ran the request and responded with a success.
	Served bool
	// Failed means that the target is at fault: no connection, no response, a malformed
	// response, or an error of its own.
	Failed bool
	// Refused means that the target refused the request although it had room.
	Refused bool
	// Unanswered means that the request was sent and had no response when its time was over or
	// its caller left.
	Unanswered bool
	// Unreachable means that no connection could be opened.
	Unreachable bool
	// NotSent means that nothing was sent to the target.
	NotSent bool
	// Load is the load that the target reported; nil: none.
	Load *Load
	// Bytes is the length of the request and response bodies.
	Bytes int
	// Connect is the time it took to open a connection; 0: an open one was reused.
	Connect time.Duration
}

// Balancer chooses targets for the requests of one VM. It is safe for concurrent use.
type Balancer struct {
	self, region, zone string

	mu              sync.Mutex
	states          map[string]*state
	services        map[string]*pool
	stats           map[string]*serviceStats // By service.
	regionLoads     map[regionLoadKey]*regionLoad
	vms             []VM
	reach           float64                  // See SetReach.
	rtts            map[string]time.Duration // By the target's zone.
	regions         map[string]string        // By zone.
	remoteRTT       time.Duration            // Mean over the zones of other regions.
	routes          map[string]*routeStats
	routePlacements map[placementsKey]*placements
	placementCount  int // Over all routePlacements.
	pending         []Placement
	// placementChanges counts changes of routePlacements. synced is set once the placements of
	// the other VMs have been merged.
	placementChanges uint64
	synced           bool
	notify           func()
	// foundCold has until when incarnations are cold by their responses to health checks.
	foundCold map[string]time.Time
	// retained has the signals of incarnations that are no longer registered, by incarnation.
	retained  map[string]retainedSignals
	disabled  [numMechanisms]bool
	paceUse   PaceUse
	loadStats LoadStats
}

// Option configures a Balancer.
type Option func(*Balancer)

// WithNews has f called, with the Balancer locked, whenever News has something to return.
func WithNews(f func()) Option { return func(b *Balancer) { b.notify = f } }

// pool holds the targets of one service.
type pool struct {
	states   []*state
	disabled *[numMechanisms]bool
	regions  []regionCount // Sorted by region.
	// reportsPace means that a target of the service has reported its pace.
	reportsPace bool
	reindex     bool // The states' region indexes are outdated.
	// factors caches the regions' factors by exponent, see Balancer.factors.
	factors map[float64][]float64
	// The fields below are recomputed every refreshInterval.
	refreshed      time.Time
	medianLatency  time.Duration // Over targets, see medianLatencyOf.
	ignoreSuspects bool          // More than maxSuspectShare of the targets are suspect.
}

// refreshInterval is the interval at which a service's statistics are recomputed. They change
// over seconds, and recomputing them for each request would cost more than the choice itself.
const refreshInterval = 50 * time.Millisecond

func (p *pool) refresh(now time.Time) {
	if !p.refreshed.IsZero() && now.Sub(p.refreshed) < refreshInterval {
		return
	}
	p.refreshed = now
	p.medianLatency = medianLatencyOf(p.states)
	p.ignoreSuspects = !p.disabled[SuspectCap] && p.suspects(now) > maxSuspectShare*float64(len(p.states))
}

// New returns a Balancer without targets for the VM self.
func New(self, region, zone string, opts ...Option) *Balancer {
	b := &Balancer{
		self: self, region: region, zone: zone, reach: 1,
		states: make(map[string]*state), services: make(map[string]*pool), stats: make(map[string]*serviceStats), regionLoads: make(map[regionLoadKey]*regionLoad),
		rtts: make(map[string]time.Duration), regions: make(map[string]string), routes: make(map[string]*routeStats),
		routePlacements: make(map[placementsKey]*placements), retained: make(map[string]retainedSignals), foundCold: make(map[string]time.Time),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// VM is a VM that sends requests to upstreams.
type VM struct{ Name, Region string }

// SetVMs sets the VMs that send to upstreams, this one included. This VM's share of limits that
// hold for all VMs together is computed from them, so they must include unresponsive VMs that may
// be running. A VM that has just started and does not know the others yet sets none, and takes no
// share.
func (b *Balancer) SetVMs(vms []VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Equal(vms, b.vms) {
		return
	}
	b.vms = slices.Clone(vms)
	for _, s := range b.states {
		s.senderRank = throttle.Place{}
	}
}

// SetTargets replaces the targets and keeps what is known of those that remain. A target that
// has restarted under the same ID is a new incarnation, of which nothing is known.
func (b *Balancer) SetTargets(targets []*target.Target) {
	registered := make(map[string]bool, len(targets))
	for _, t := range targets {
		registered[t.ID] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var gone []*target.Target
	for id, s := range b.states {
		if !registered[id] {
			gone = append(gone, s.Target)
		}
	}
	b.changeTargets(targets, gone)
}

// ChangeTargets adds or updates the targets in set and removes those in gone.
func (b *Balancer) ChangeTargets(set, gone []*target.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.changeTargets(set, gone)
}

func (b *Balancer) changeTargets(set, gone []*target.Target) {
	changed := make(map[string]bool) // By service.
	for _, t := range gone {
		if s := b.states[t.ID]; s != nil && s.Born == t.Born {
			b.removeTarget(s)
			changed[s.Service] = true
		}
	}
	for _, t := range set {
		changed[t.Service] = true
		s := b.states[t.ID]
		var lastCold time.Time // Of the process before, which may have been this one already.
		if s != nil && (s.Born != t.Born || s.Service != t.Service) {
			b.removeTarget(s)
			changed[s.Service] = true
			lastCold = s.lastCold
			s = nil
		}
		if s == nil {
			s = b.newState(t)
			if !lastCold.IsZero() {
				s.ensureHistory()
				s.lastCold = lastCold
			}
			b.states[t.ID] = s
			b.services[t.Service].add(s)
		} else {
			b.services[t.Service].removeFromRegion(s)
		}
		b.regions[t.Zone] = t.Region
		s.Target, s.weight = t, b.weightOf(t)
		b.services[t.Service].addToRegion(s)
	}
	for service := range changed {
		if p := b.services[service]; len(p.states) > 0 {
			p.invalidate()
		} else {
			delete(b.services, service)
		}
	}
	b.remoteRTT = b.meanRemoteRTT()
}

// newState returns the state of a target of which nothing is known, and creates the pool of its
// service if there is none.
func (b *Balancer) newState(t *target.Target) *state {
	if b.services[t.Service] == nil {
		b.services[t.Service] = &pool{disabled: &b.disabled}
	}
	s := &state{
		Target: t, seed: xxhash.Sum64String(t.ID), serviceStats: b.serviceStatsOf(t.Service), regionLoad: b.regionLoadOf(t), disabled: &b.disabled,
		signals: b.restore(t), coldUntil: b.foundCold[t.Incarnation()], history: &emptyHistory,
	}
	s.updateRestricted()
	return s
}

// weightOf returns the weight of a target by its registration, which may change.
func (b *Balancer) weightOf(t *target.Target) float64 {
	weight := float64(t.Slots)
	if t.Zone == b.zone && !b.disabled[SameZone] {
		weight *= sameZoneFactor
	}
	return weight
}

// removeTarget removes a target that is no longer registered.
func (b *Balancer) removeTarget(s *state) {
	s.gone = true
	delete(b.states, s.ID)
	b.services[s.Service].remove(s)
	b.retain(s)
}

// add and remove keep each state's index in states up to date.
func (p *pool) add(s *state) {
	s.index = len(p.states)
	p.states = append(p.states, s)
}

func (p *pool) remove(s *state) {
	last := p.states[len(p.states)-1]
	p.states[s.index], last.index = last, s.index
	p.states[len(p.states)-1] = nil
	p.states = p.states[:len(p.states)-1]
	p.removeFromRegion(s)
}

func (b *Balancer) serviceStatsOf(service string) *serviceStats {
	s := b.stats[service]
	if s == nil {
		s = &serviceStats{}
		b.stats[service] = s
	}
	return s
}

type regionLoadKey struct{ service, region string }

func (b *Balancer) regionLoadOf(t *target.Target) *regionLoad {
	key := regionLoadKey{t.Service, t.Region}
	r := b.regionLoads[key]
	if r == nil {
		r = &regionLoad{}
		b.regionLoads[key] = r
	}
	return r
}

func (p *pool) suspects(now time.Time) float64 {
	n := 0
	for _, s := range p.states {
		if s.suspect(now, p.medianLatency) {
			n++
		}
	}
	return float64(n)
}

// medianLatencyOf returns the median latency of the targets with at least minAnswers responses,
// of the first 256 of these if there are more, and 0 if there are none.
func medianLatencyOf(states []*state) time.Duration {
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

// Done releases a lease and records the outcome of its request.
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
		s.signals.recordNoAnswer(now, l.sentAt)
	}
	if o.Answered {
		l.route.observe(o.Bytes)
	}
	if o.Connect > 0 {
		b.observeRTT(s.Zone, o.Connect)
	}
	if o.Answered {
		s.recordAnswer(now, max(0, now.Sub(l.sentAt)-b.rtt(s)), l.Ahead)
	}
	if o.Load != nil {
		s.reported, s.reportedAt = *o.Load, now
		s.regionLoad.observe(now, *o.Load)
		if p := b.services[s.Service]; p != nil && o.Load.Pace > 0 {
			p.reportsPace = true
		}
	}
	if o.Served {
		b.recordServed(now, l, o)
	}
	if o.Unanswered && now.Sub(l.sentAt) > s.silenceTimeout() {
		// Counts twice: it took all of its caller's time, whereas a failure that is reported at
		// once leaves time for another upstream.
		o.Failed = true
		s.recordResult(now, 1, false)
	}
	switch {
	case o.Failed && !b.disabled[FailureEjection]:
		s.recordResult(now, 1, o.Unreachable)
	case o.Refused && !b.disabled[RefusalEjection]:
		s.recordResult(now, refusalWeight, false)
	case o.Answered:
		s.recordResult(now, 0, false)
	}
}

// ForgetFailures forgets what failed requests have shown of the targets. It is called when the
// VM's own links were at fault.
func (b *Balancer) ForgetFailures(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.states {
		if s.history != &emptyHistory {
			s.failureRate, s.ejections, s.ejectedUntil, s.silentSince = 0, 0, time.Time{}, now
		}
	}
	for _, p := range b.services {
		p.refreshed = time.Time{}
	}
}

// Usable returns the targets that may be sent requests by their registration and signals.
func (b *Balancer) Usable() []*target.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]*target.Target, 0, len(b.states))
	for _, s := range b.states {
		if s.usable() {
			list = append(list, s.Target)
		}
	}
	return list
}

// rttWeight is the weight of a round trip time above the known one. A shorter one replaces the
// known one at once, as only queues and lost packets make round trips longer.
const rttWeight = 0.05

// observeRTT records how long it took to open a connection to a zone, which is one round trip.
func (b *Balancer) observeRTT(zone string, took time.Duration) {
	old, ok := b.rtts[zone]
	if !ok || took < old {
		b.rtts[zone] = took
		b.remoteRTT = b.meanRemoteRTT()
		return
	}
	b.rtts[zone] = old + time.Duration(rttWeight*float64(took-old))
	b.remoteRTT = b.meanRemoteRTT()
}

// rtt returns the usual round trip time to a target, 0 if unknown.
func (b *Balancer) rtt(s *state) time.Duration { return b.rtts[s.Zone] }

// unit maps a key and a target's seed to [0, 1), uniformly and independently.
func unit(key, seed uint64) float64 {
	x := key ^ seed
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
