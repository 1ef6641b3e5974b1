package dispatch

import (
	"slices"
	"strings"
	"sync"
	"time"

	"auburnlatch/core/inventory"
	"auburnlatch/core/verdict"
)

// FenceAfter is the time since the last Tick after which a VM assumes that it
// was paused. It then grants no slot until the next Tick.
const FenceAfter = 2 * time.Second

// Pool is one VM's share of the slots of its zone. It is safe for concurrent
// use.
type Pool struct {
	self string

	mu          sync.Mutex
	lastTick    time.Time
	allocations map[string]*allocation // By target.
	services    map[string]*service
}

// service groups the upstreams of one service in the zone.
type service struct {
	rules       *inventory.Service
	allocations []*allocation // Sorted by target.
	queue       []*Ticket
	dispatchers []string // VM names, best first.
}

// NewPool returns the pool of the VM named self, without any slots.
func NewPool(self string) *Pool {
	return &Pool{self: self, allocations: map[string]*allocation{}, services: map[string]*service{}}
}

// Tick applies a new view of the zone and updates the slots in force. It
// returns the slots that this VM holds, by target, to be published with
// sequence number View.Seq.
func (p *Pool) Tick(now time.Time, v View) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.lastTick.IsZero() && p.fenced(now) {
		p.doubtAll(now)
	}
	p.lastTick = now
	p.applyView(now, v)
	held := make(map[string]int)
	for _, s := range p.services {
		index := slices.Index(s.dispatchers, p.self)
		for _, a := range s.allocations {
			want := 0
			if v.Synced && !a.drained {
				want = Share(a.target.Name, a.target.Slots, len(s.dispatchers), index)
			}
			a.resize(want, v.Peers, v.Seq)
		}
	}
	for name, a := range p.allocations {
		if n := a.held(); n > 0 {
			held[name] = n
		}
	}
	for _, s := range p.services {
		if !slices.Contains(s.dispatchers, p.self) {
			// This VM will get no slots for the queued requests, but another
			// dispatcher may have some.
			s.closeQueue()
		}
		p.grantQueued(now, s)
	}
	return held
}

// applyView updates targets and services to match the view.
func (p *Pool) applyView(now time.Time, v View) {
	slots := make(map[string]int)
	seen := make(map[string]bool, len(v.Targets))
	services := make(map[string]*service, len(v.Services))
	for _, rules := range v.Services {
		s := p.services[rules.Name]
		if s == nil {
			s = &service{}
		}
		s.rules, s.allocations = rules, s.allocations[:0]
		services[rules.Name] = s
	}
	for _, t := range v.Targets {
		s := services[t.Service]
		if s == nil {
			continue
		}
		a := p.allocations[t.Name]
		if a == nil {
			a = &allocation{stateAt: now}
			p.allocations[t.Name] = a
		}
		if a.target != nil && (a.target.Addr != t.Addr || a.target.Service != t.Service) {
			a.forgetHealth(now)
		}
		a.target, a.drained = t, v.Drained[t.Name]
		s.allocations = append(s.allocations, a)
		slots[t.Service] += t.Slots
		seen[t.Name] = true
	}
	for name, s := range services {
		slices.SortFunc(s.allocations, func(a, b *allocation) int { return strings.Compare(a.target.Name, b.target.Name) })
		s.dispatchers = Dispatchers(name, slots[name], v.Live)
	}
	p.dropMissing(seen)
	for name, s := range p.services {
		if services[name] == nil {
			s.closeQueue()
		}
	}
	p.services = services
}

// dropMissing removes targets that are no longer in the inventory. A target
// with requests in flight stays until they are done, but gets no new ones.
func (p *Pool) dropMissing(seen map[string]bool) {
	for name, a := range p.allocations {
		if seen[name] {
			continue
		}
		a.inForce, a.intent, a.drained = 0, 0, true
		if a.inUse == 0 {
			delete(p.allocations, name)
		}
	}
}

// fenced reports whether the VM must not grant slots because it was paused.
// Other VMs may have taken over its slots in the meantime, and two VMs would
// use the same slots. Each grant checks this with its own time, so the check
// also covers the first request after a pause.
func (p *Pool) fenced(now time.Time) bool { return now.Sub(p.lastTick) > FenceAfter }

// doubtAll makes all upstreams unknown, after a time in which the VM did not see them.
func (p *Pool) doubtAll(now time.Time) {
	for _, a := range p.allocations {
		a.doubt(now)
	}
}

// Offer takes a free slot for the service and returns its target. It reports
// false if this VM has no free slot.
func (p *Pool) Offer(now time.Time, serviceName string) (*inventory.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[serviceName]
	if s == nil || len(s.queue) > 0 {
		return nil, false
	}
	a := p.pick(now, s)
	if a == nil {
		return nil, false
	}
	a.inUse++
	return a.target, true
}

// pick returns the usable upstream with the smallest fraction of its slots in
// use, or nil. Of two equally used upstreams it returns the faster one.
func (p *Pool) pick(now time.Time, s *service) *allocation {
	if p.fenced(now) {
		return nil
	}
	trusted := s.healthTrusted()
	var best *allocation
	for _, a := range s.allocations {
		if a.free(now) <= 0 || !a.usable(now, trusted) {
			continue
		}
		if best == nil || lessBusy(now, a, best) {
			best = a
		}
	}
	return best
}

func lessBusy(now time.Time, a, b *allocation) bool {
	left, right := a.inUse*b.limit(now), b.inUse*a.limit(now)
	if left != right {
		return left < right
	}
	return a.latency < b.latency
}

// healthTrusted reports whether enough upstreams are not Down for the Down
// state of the others to count.
func (s *service) healthTrusted() bool {
	alive := 0
	for _, a := range s.allocations {
		if a.state != Down {
			alive++
		}
	}
	return float64(alive) >= minUpShare*float64(len(s.allocations))
}

// Done returns the slot of a request and records the request's outcome.
func (p *Pool) Done(now time.Time, target string, sample Sample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.allocations[target]
	if a == nil {
		return
	}
	a.inUse--
	a.observe(now, sample)
	if s := p.services[a.target.Service]; s != nil {
		p.grantQueued(now, s)
	}
}

// ReportHealth records the health of an upstream, as of a time, as reported by a probe, by the
// upstream itself or by a peer.
func (p *Pool) ReportHealth(now, asOf time.Time, target string, state Health) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.allocations[target]; a != nil {
		a.reportHealth(now, asOf, state)
	}
}

// ProbeFailed records a failed probe that does not make the upstream Down.
func (p *Pool) ProbeFailed(now time.Time, target string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.allocations[target]; a != nil && lostConnection(err) {
		a.doubt(now)
	}
}

// Unconfirmed returns the upstreams of which this VM may use slots and does not know the state, and
// those that are leaving, which may be back as other processes.
func (p *Pool) Unconfirmed() []*inventory.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*inventory.Target
	for _, a := range p.allocations {
		if (a.state == Unknown || a.state == Leaving) && a.intent > 0 {
			list = append(list, a.target)
		}
	}
	return list
}

// ForgetFailures forgets what failed requests and probes have shown of the upstreams. It is called
// when the VM's own links were at fault. What it knew before is old: until they are probed, the
// upstreams may have started again meanwhile.
func (p *Pool) ForgetFailures(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.allocations {
		a.failures = 0
		if a.state == Down {
			a.state = Unknown // Not by setState: the upstream need not be cold.
		}
	}
	p.doubtAll(now)
}

// Dispatchers returns the names of the VMs that dispatch the service in this
// zone, best first.
func (p *Pool) Dispatchers(serviceName string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.services[serviceName]; s != nil {
		return s.dispatchers
	}
	return nil
}

// Rules returns the rules of the service, or nil if there is no such service.
func (p *Pool) Rules(serviceName string) *inventory.Service {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.services[serviceName]; s != nil {
		return s.rules
	}
	return nil
}

// TargetState is the state of one upstream as seen by this VM.
type TargetState struct {
	Target  string
	Service string
	Slots   int
	InForce int
	Intent  int
	InUse   int
	Health  Health
	Drained bool
	Latency time.Duration
}

// ServiceState is the state of one service as seen by this VM.
type ServiceState struct {
	Service string
	// Slots in force on usable upstreams.
	Slots  int
	InUse  int
	Queued int
}

// Targets returns the state of every upstream, sorted by name.
func (p *Pool) Targets() []TargetState {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]TargetState, 0, len(p.allocations))
	for name, a := range p.allocations {
		list = append(list, TargetState{
			Target: name, Service: a.target.Service, Slots: a.target.Slots,
			InForce: a.inForce, Intent: a.intent, InUse: a.inUse,
			Health: a.state, Drained: a.drained, Latency: a.latency,
		})
	}
	slices.SortFunc(list, func(a, b TargetState) int { return strings.Compare(a.Target, b.Target) })
	return list
}

// Services returns the state of every service, sorted by name.
func (p *Pool) Services(now time.Time) []ServiceState {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]ServiceState, 0, len(p.services))
	for name, s := range p.services {
		st := ServiceState{Service: name, Queued: len(s.queue)}
		trusted := s.healthTrusted()
		for _, a := range s.allocations {
			st.InUse += a.inUse
			if a.usable(now, trusted) {
				st.Slots += a.limit(now)
			}
		}
		list = append(list, st)
	}
	slices.SortFunc(list, func(a, b ServiceState) int { return strings.Compare(a.Service, b.Service) })
	return list
}

// InFlight returns the number of requests that hold a slot of this VM.
func (p *Pool) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, a := range p.allocations {
		n += a.inUse
	}
	return n
}

// Pending reports whether the VM is waiting for its peers to acknowledge slots
// that it intends to hold.
func (p *Pool) Pending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.allocations {
		if a.intent > a.inForce {
			return true
		}
	}
	return false
}

// errFull returns the error for a request that cannot get a slot in time.
func errFull(retryAfter time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonQueueFull, retryAfter)
}
