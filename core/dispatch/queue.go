package dispatch

import (
	"slices"
	"time"

	"auburnlatch/core/inventory"
	"auburnlatch/core/verdict"
)

const (
	// DefaultRequestDuration is the assumed duration of a request until one has
	// been measured.
	DefaultRequestDuration = 20 * time.Millisecond
	// maxWaitShare is the longest expected wait at which a request is queued,
	// as a share of the time it can wait. With the whole time, half of the
	// queued requests would be refused at full load, and only after all of
	// their time had passed.
	maxWaitShare = 0.75
	// minRetryAfter is the shortest time after which a refused caller is told
	// to retry.
	minRetryAfter = time.Second
)

// Ticket is a request that waits for a slot.
type Ticket struct {
	// Granted receives the target once. It is closed if this VM no longer
	// dispatches the service.
	Granted chan *inventory.Target
	// Until is when the wait ends. The caller of Queue must watch it.
	Until time.Time

	service string
}

// Queue queues a request for a slot until the given time. It returns an error
// at once if the expected wait is too long, so that a request that will not
// get a slot is refused immediately and not when its time is over.
func (p *Pool) Queue(now time.Time, serviceName string, until time.Time) (*Ticket, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[serviceName]
	if s == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoService, 0)
	}
	wait, ok := p.expectedWait(now, s)
	if !ok || wait > time.Duration(maxWaitShare*float64(until.Sub(now))) {
		return nil, errFull(max(minRetryAfter, wait))
	}
	t := &Ticket{Granted: make(chan *inventory.Target, 1), Until: until, service: serviceName}
	s.queue = append(s.queue, t)
	p.grantQueued(now, s)
	return t, nil
}

// expectedWait returns the expected time until a request that is queued now
// gets a slot. It reports false if no slots are usable.
func (p *Pool) expectedWait(now time.Time, s *service) (time.Duration, bool) {
	slots, took := 0, time.Duration(0)
	trusted := s.healthTrusted()
	for _, a := range s.allocations {
		if a.usable(now, trusted) {
			slots += a.limit(now)
			took = max(took, a.latency)
		}
	}
	if slots == 0 || p.fenced(now) {
		return 0, false
	}
	if took == 0 {
		took = DefaultRequestDuration
	}
	return took * time.Duration(len(s.queue)+1) / time.Duration(slots), true
}

// Cancel removes a ticket for which the caller of Queue no longer waits. A slot
// that it was granted in the meantime is returned.
func (p *Pool) Cancel(now time.Time, t *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[t.service]
	if s != nil {
		if i := slices.Index(s.queue, t); i >= 0 {
			s.queue = slices.Delete(s.queue, i, i+1)
			return
		}
	}
	select {
	case target := <-t.Granted:
		p.release(now, target)
	default:
	}
}

// release returns a slot on which no request was sent.
func (p *Pool) release(now time.Time, target *inventory.Target) {
	if target == nil {
		return
	}
	a := p.allocations[target.Name]
	if a == nil {
		return
	}
	a.inUse--
	if s := p.services[target.Service]; s != nil {
		p.grantQueued(now, s)
	}
}

// Release returns a slot on which no request was sent.
func (p *Pool) Release(now time.Time, target *inventory.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(now, target)
}

// grantQueued grants free slots to queued requests in the order of arrival. It
// drops expired tickets, for which nobody waits any more.
func (p *Pool) grantQueued(now time.Time, s *service) {
	for len(s.queue) > 0 {
		t := s.queue[0]
		if !now.Before(t.Until) {
			s.queue = s.queue[1:]
			continue
		}
		a := p.pick(now, s)
		if a == nil {
			return
		}
		s.queue = s.queue[1:]
		a.inUse++
		t.Granted <- a.target
	}
}

// closeQueue ends the wait of all queued requests without a slot.
func (s *service) closeQueue() {
	for _, t := range s.queue {
		close(t.Granted)
	}
	s.queue = nil
}
