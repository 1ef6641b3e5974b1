package balance

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnlatch/core/target"
	"auburnlatch/core/throttle"
)

// signalRetention is how long signals are retained after the registration of their upstream
// lapsed. Registrations lapse while the platform is unreachable or when an upstream is slow to
// renew them, and come back.
const signalRetention = time.Hour

// signals are what an incarnation of an upstream reported about itself in responses.
type signals struct {
	limit   throttle.Limit
	leaving bool
	// pausedUntil is the end of the pause in which it takes no requests of this VM, and
	// pausedFor the length of the last pause.
	pausedUntil time.Time
	pausedFor   time.Duration
	// probing means that no response has shown yet that the pause is over, and probedAt is the
	// time of the last request to the incarnation.
	probing  bool
	probedAt time.Time
}

const (
	// probeInterval is the minimum time between two requests that find out whether an upstream
	// takes requests again after a pause.
	probeInterval = 250 * time.Millisecond
	// Each VM extends a pause by its own jitter, at most pauseJitterShare of the pause and
	// maxPauseJitter, as VMs that are refused at the same time would otherwise all return at
	// the same time.
	pauseJitterShare = 0.25
	maxPauseJitter   = time.Second
)

// pause stops requests to the incarnation for a time. It never shortens a pause.
func (s *signals) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(s.pausedUntil) {
		s.pausedUntil, s.pausedFor, s.probing = until, d, true
	}
}

// recordNoAnswer records a request without a response. If the request was a probe, its response
// may have asked for another pause and not been read, so the last pause is repeated.
func (s *signals) recordNoAnswer(now, sentAt time.Time) {
	if s.probing && !sentAt.Before(s.pausedUntil) {
		s.pause(now, s.pausedFor)
	}
}

// ready reports whether a request may be sent, by the pause and the probe interval.
func (s *signals) ready(now time.Time) bool {
	return !now.Before(s.pausedUntil) && (!s.probing || now.Sub(s.probedAt) >= probeInterval)
}

// recordAnswer records a response that asks for no pause. If its request was sent before the
// end of the last pause, it does not show that the pause is over.
func (s *signals) recordAnswer(sentAt time.Time) {
	if !sentAt.Before(s.pausedUntil) {
		s.probing = false
	}
}

// restrictive reports whether any signal may keep requests from the incarnation. Such signals
// are retained when its registration lapses.
func (s *signals) restrictive() bool {
	_, limited := s.limit.PerSecond()
	return limited || s.leaving || s.probing
}

// retainedSignals are the signals of an incarnation that is not registered.
type retainedSignals struct {
	*signals
	since time.Time // Zero until expireSignals first sees them.
}

// retain retains the signals of an incarnation that is no longer registered.
func (b *Balancer) retain(s *state) {
	if s.signals.restrictive() {
		b.retained[s.Incarnation()] = retainedSignals{signals: s.signals}
	}
}

// restore returns the signals of an incarnation that is registered again.
func (b *Balancer) restore(t *target.Target) *signals {
	name := t.Incarnation()
	if r, ok := b.retained[name]; ok {
		delete(b.retained, name)
		return r.signals
	}
	return &emptySignals
}

// emptySignals is shared by the targets without signals. It must not be changed.
var emptySignals signals

// mutableSignals returns the target's own signals, which may be changed.
func (s *state) mutableSignals() *signals {
	if s.signals == &emptySignals {
		s.signals = &signals{}
	}
	return s.signals
}

// expireSignals drops signals that have been retained for longer than signalRetention, and what is
// over of what health checks said.
func (b *Balancer) expireSignals(now time.Time) {
	maps.DeleteFunc(b.foundCold, func(_ string, until time.Time) bool { return !now.Before(until) })
	for name, r := range b.retained {
		switch {
		case r.since.IsZero():
			r.since = now
			b.retained[name] = r
		case now.Sub(r.since) > signalRetention:
			delete(b.retained, name)
		}
	}
}

// Notice is what an upstream reports about itself in the header of a response.
type Notice struct {
	Limit throttle.Notice
	// Leaving means that the upstream is shutting down and takes no new requests.
	Leaving bool
	// RetryAfter is how long the upstream takes no requests of this VM; 0: not given.
	RetryAfter time.Duration
}

// Heard records the notice in the response to a lease's request, and reports whether it changed
// anything.
func (b *Balancer) Heard(now time.Time, l Lease, n Notice) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.current(l.state)
	if n == (Notice{}) && !s.restricted {
		return false
	}
	sig := s.mutableSignals()
	changed = sig.limit.Answered(now, l.sentAt, n.Limit)
	if n.Leaving && !sig.leaving {
		sig.leaving, changed = true, true
	}
	if n.RetryAfter > 0 {
		changed = changed || !now.Before(sig.pausedUntil)
		sig.pause(now, n.RetryAfter+b.pauseJitter(s, n.RetryAfter))
	} else {
		sig.recordAnswer(l.sentAt)
	}
	s.updateRestricted()
	if s.gone {
		b.retain(s)
	}
	return changed
}

// MarkCold records that a lease's target is cold until a time, by its response to a health check.
func (b *Balancer) MarkCold(l Lease, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.current(l.state); until.After(s.coldUntil) {
		s.coldUntil = until
		b.foundCold[s.Incarnation()] = until // Also if its registration lapses and comes back.
	}
}

// IsCold reports whether a lease's target is known to be cold.
func (b *Balancer) IsCold(now time.Time, l Lease) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current(l.state).Cold(now)
}

// current returns the registered state of a state's incarnation, or s if there is none. The
// registration may have lapsed and come back while a request was in flight.
func (b *Balancer) current(s *state) *state {
	if registered := b.states[s.ID]; registered != nil && registered.Born == s.Born {
		return registered
	}
	return s
}

// pauseJitter is how much longer than requested this VM pauses requests to a target.
func (b *Balancer) pauseJitter(s *state, pause time.Duration) time.Duration {
	maxJitter := min(maxPauseJitter, time.Duration(pauseJitterShare*float64(pause)))
	return time.Duration(unit(xxhash.Sum64String(b.self), s.seed) * float64(maxJitter))
}

// updateRestricted caches whether the signals may keep requests from the target. Most targets
// have no signals, and the choice checks many targets.
func (s *state) updateRestricted() { s.restricted = s.signals.restrictive() }

// usable reports whether the target may be sent requests, by its registration and its signals.
// Leaving is final: a registration that says otherwise is older.
func (s *state) usable() bool { return s.Usable && !(s.restricted && s.signals.leaving) }

// signalsAllow reports whether the target's signals allow a request now.
func (b *Balancer) signalsAllow(now time.Time, s *state) bool {
	if !s.restricted {
		return true
	}
	return !s.signals.leaving && s.signals.ready(now) && s.signals.limit.Ready(now, b.senderRank(s))
}

// Wait returns how long the signals of all targets that could serve a request keep this VM from
// sending it, 0 if those of any target allow it now.
func (b *Balancer) Wait(now time.Time, req Request) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.services[req.Service]; p != nil {
		return b.wait(now, p, req)
	}
	return 0
}

func (b *Balancer) wait(now time.Time, p *pool, req Request) time.Duration {
	var shortest time.Duration
	for _, s := range p.states {
		if !s.usable() || req.Allowed != nil && !req.Allowed(s.Region) {
			continue
		}
		remaining := max(0, s.signals.pausedUntil.Sub(now))
		if s.limited() {
			next, ok := s.signals.limit.Delay(now, b.senderRank(s))
			if !ok {
				continue // Only other VMs may send to it.
			}
			remaining = max(remaining, next)
		}
		if remaining == 0 {
			return 0
		}
		if shortest == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return shortest
}

// Admit reports whether a lease's request may be sent now. Between the choice and the moment at
// which a connection is open, the target may have reported that it is leaving or cold, asked for a
// pause, or named a rate limit.
func (b *Balancer) Admit(now time.Time, l Lease) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.current(l.state)
	if s.signals.leaving || now.Before(s.signals.pausedUntil) || s.Cold(now) && !l.Cold {
		return false
	}
	return l.limited || s.signals.limit.Take(now, b.senderRank(s))
}
