package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnlatch/core/target"
	"auburnlatch/core/throttle"
)

// keepSignals is how long what an upstream said is kept once it is off the register. Rows lapse
// while the platform is away or an upstream is slow to renew them, and come back.
const keepSignals = time.Hour

// signals are what an incarnation of an upstream said of itself in answers.
type signals struct {
	limit   throttle.Limit
	leaving bool
	// pausedUntil is until when it wants nothing of this VM, and pausedFor how long the last
	// pause was.
	pausedUntil time.Time
	pausedFor   time.Duration
	// probing says that nothing has shown since that it takes requests again, and probedAt
	// when it was last sent one to find out.
	probing  bool
	probedAt time.Time
}

const (
	// probeEvery is the least time between two requests that find out whether an upstream
	// takes requests again after a pause.
	probeEvery = 250 * time.Millisecond
	// pauseSpread is the part of a pause, and maxSpread the time, by which VMs wait longer at
	// most, each by another time: those refused at once would all return at once.
	pauseSpread = 0.25
	maxSpread   = time.Second
)

// pause has nothing sent for a time.
func (s *signals) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(s.pausedUntil) {
		s.pausedUntil, s.pausedFor, s.probing = until, d, true
	}
}

// unanswered notes a request that brought no answer. Where it was to find out whether a pause is
// over, its answer may have asked for another one, which nobody was there to read.
func (s *signals) unanswered(now, sentAt time.Time) {
	if s.probing && !sentAt.Before(s.pausedUntil) {
		s.pause(now, s.pausedFor)
	}
}

// ready reports whether the incarnation may be sent a request as far as pauses go.
func (s *signals) ready(now time.Time) bool {
	return !now.Before(s.pausedUntil) && (!s.probing || now.Sub(s.probedAt) >= probeEvery)
}

// answered notes an answer that asks for no pause. One to a request from before the end of the
// last pause does not show that it is over.
func (s *signals) answered(sentAt time.Time) {
	if !sentAt.Before(s.pausedUntil) {
		s.probing = false
	}
}

// matters reports whether the incarnation said anything that has to outlive its row.
func (s *signals) matters() bool {
	_, limited := s.limit.PerSecond()
	return limited || s.leaving || s.probing
}

// keptSignals is what an incarnation said that is not registered.
type keptSignals struct {
	*signals
	since time.Time // Zero until it is first looked at.
}

// keep keeps what an incarnation said that is off the register.
func (b *Balancer) keep(s *state) {
	if s.signals.matters() {
		b.kept[s.Incarnation()] = keptSignals{signals: s.signals}
	}
}

// recall returns what an incarnation said that is registered anew.
func (b *Balancer) recall(t *target.Target) *signals {
	name := t.Incarnation()
	if k, ok := b.kept[name]; ok {
		delete(b.kept, name)
		return k.signals
	}
	return &noSignals
}

// noSignals are those of targets that said nothing of themselves. They are only read.
var noSignals signals

// ownSignals returns the target's signals, to be changed.
func (s *state) ownSignals() *signals {
	if s.signals == &noSignals {
		s.signals = &signals{}
	}
	return s.signals
}

// forgetSignals drops what was kept for long.
func (b *Balancer) forgetSignals(now time.Time) {
	for name, k := range b.kept {
		switch {
		case k.since.IsZero():
			k.since = now
			b.kept[name] = k
		case now.Sub(k.since) > keepSignals:
			delete(b.kept, name)
		}
	}
}

// Notice is what an upstream says of itself in the header of an answer.
type Notice struct {
	Limit throttle.Notice
	// Leaving says that the upstream is going away and wants nothing new.
	Leaving bool
	// RetryAfter is for how long the upstream wants nothing of this VM; 0: it does not say.
	RetryAfter time.Duration
}

// Heard takes in what a target says in the header of an answer to a lease's request, and
// returns whether that is new.
func (b *Balancer) Heard(now time.Time, l Lease, n Notice) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.current(l.state)
	if n == (Notice{}) && !s.signalled {
		return false
	}
	sig := s.ownSignals()
	changed = sig.limit.Answered(now, l.sentAt, n.Limit)
	if n.Leaving && !sig.leaving {
		sig.leaving, changed = true, true
	}
	if n.RetryAfter > 0 {
		changed = changed || !now.Before(sig.pausedUntil)
		sig.pause(now, n.RetryAfter+b.spread(s, n.RetryAfter))
	} else {
		sig.answered(l.sentAt)
	}
	s.weighSignals()
	if s.gone {
		b.keep(s)
	}
	return changed
}

// current returns the state by which an incarnation is registered now. Its row may have lapsed
// and come back while a request was under way.
func (b *Balancer) current(s *state) *state {
	if now := b.states[s.ID]; now != nil && now.Born == s.Born {
		return now
	}
	return s
}

// spread is how much longer than asked for this VM leaves a target alone.
func (b *Balancer) spread(s *state, pause time.Duration) time.Duration {
	most := min(maxSpread, time.Duration(pauseSpread*float64(pause)))
	return time.Duration(unit(xxhash.Sum64String(b.self), s.seed) * float64(most))
}

// weighSignals notes whether anything that the target said may keep requests from it. Most
// targets have said nothing, and the choice looks at many.
func (s *state) weighSignals() { s.signalled = s.signals.matters() }

// usable reports whether the target may be sent requests, by the register and its own notices.
// That it leaves is final: a row that says otherwise is older.
func (s *state) usable() bool { return s.Usable && !(s.signalled && s.signals.leaving) }

// mayTake reports whether the target's notices let a request be sent now.
func (b *Balancer) mayTake(now time.Time, s *state) bool {
	if !s.signalled {
		return true
	}
	return !s.signals.leaving && s.signals.ready(now) && s.signals.limit.Ready(now, b.placeAt(s))
}

// Wait returns for how long the notices of all targets that could serve a request keep this VM
// from sending, 0 where those of one do not.
func (b *Balancer) Wait(now time.Time, req Request) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.services[req.Service]; p != nil {
		return b.wait(now, p, req)
	}
	return 0
}

func (b *Balancer) wait(now time.Time, p *pool, req Request) time.Duration {
	var least time.Duration
	for _, s := range p.states {
		if !s.usable() || req.Allowed != nil && !req.Allowed(s.Region) {
			continue
		}
		left := max(0, s.signals.pausedUntil.Sub(now))
		if s.limited() {
			next, ok := s.signals.limit.Delay(now, b.placeAt(s))
			if !ok {
				continue // Other VMs send to it.
			}
			left = max(left, next)
		}
		if left == 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// Admit reports whether the request of a lease may be sent now. Between the choice and the
// moment at which a connection is there, the target may have said that it leaves, asked for a
// pause, or named a limit.
func (b *Balancer) Admit(now time.Time, l Lease) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.current(l.state)
	if s.signals.leaving || now.Before(s.signals.pausedUntil) {
		return false
	}
	return l.limited || s.signals.limit.Take(now, b.placeAt(s))
}
