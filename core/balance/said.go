package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnlatch/core/target"
	"auburnlatch/core/throttle"
)

// keepSaid is how long what an upstream said is kept once it is off the register. Rows lapse
// while the platform is away or an upstream is slow to renew them, and come back.
const keepSaid = time.Hour

// said is what an incarnation of an upstream said of itself in answers.
type said struct {
	limit   throttle.Limit
	leaving bool
	// pausedUntil is until when it wants nothing of this VM.
	pausedUntil time.Time
}

// matters reports whether the incarnation said anything that has to outlive its row.
func (s *said) matters() bool {
	_, limited := s.limit.PerSecond()
	return limited || s.leaving
}

// keptSaid is what an incarnation said that is not registered.
type keptSaid struct {
	*said
	since time.Time // Zero until it is first looked at.
}

// keep keeps what an incarnation said that is off the register.
func (b *Balancer) keep(s *state) {
	if s.said.matters() {
		b.kept[s.Incarnation()] = keptSaid{said: s.said}
	}
}

// recall returns what an incarnation said that is registered anew.
func (b *Balancer) recall(t *target.Target) *said {
	name := t.Incarnation()
	if k, ok := b.kept[name]; ok {
		delete(b.kept, name)
		return k.said
	}
	return &said{}
}

// forgetSaid drops what was kept for long.
func (b *Balancer) forgetSaid(now time.Time) {
	for name, k := range b.kept {
		switch {
		case k.since.IsZero():
			k.since = now
			b.kept[name] = k
		case now.Sub(k.since) > keepSaid:
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
	said := l.state.said
	changed = said.limit.Answered(now, l.sentAt, n.Limit)
	if n.Leaving && !said.leaving {
		said.leaving, changed = true, true
	}
	if until := now.Add(n.RetryAfter); n.RetryAfter > 0 && until.After(said.pausedUntil) {
		changed = changed || !now.Before(said.pausedUntil)
		said.pausedUntil = until
	}
	return changed
}

// usable reports whether the target may be sent requests, by the register and by its own word.
// That it leaves is final: a row which says otherwise is older, and it sends no such answer
// that is not.
func (s *state) usable() bool { return s.Usable && !s.said.leaving }

// limited reports whether the target names a limit.
func (s *state) limited() bool {
	_, ok := s.said.limit.PerSecond()
	return ok
}

// placeAt returns this VM's place in the order of those that may send to a target that names
// a limit: those of its region first, as they have most of its requests.
func (b *Balancer) placeAt(s *state) throttle.Place {
	if s.place.VMs == 0 && len(b.vms) > 0 {
		own := unit(xxhash.Sum64String(b.self), s.seed)
		rank := 0
		for _, vm := range b.vms {
			near, far := vm.Region == s.Region, b.region != s.Region
			if vm.Name != b.self && (near && far || near != far && unit(xxhash.Sum64String(vm.Name), s.seed) > own) {
				rank++
			}
		}
		s.place = throttle.Place{Rank: rank, VMs: len(b.vms)}
	}
	return s.place
}

// comeBack returns when a caller should come back that found no target: when this VM may send
// to one of those that name a limit, where these are all that could serve.
func (b *Balancer) comeBack(now time.Time, p *pool, req Request) time.Duration {
	var wait time.Duration
	for _, s := range p.states {
		if !s.usable() || req.Allowed != nil && !req.Allowed(s.Region) {
			continue
		}
		if !s.limited() {
			return comeBack
		}
		if next, ok := s.said.limit.Next(now, b.placeAt(s)); ok && (wait == 0 || next < wait) {
			wait = next
		}
	}
	return max(comeBack, wait)
}

// Admit reports whether the request of a lease may be sent now. Between the choice and the
// moment at which a connection is there, the target may have said that it leaves, or named a
// limit.
func (b *Balancer) Admit(now time.Time, l Lease) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.state.said.leaving {
		return false
	}
	return l.limited || l.state.said.limit.Take(now, b.placeAt(l.state))
}

// Report is what one VM tells others of what an upstream said.
type Report struct {
	// Target and Born name the incarnation.
	Target string
	Born   int64
	// Limit is what is known of its limit; nil: nothing.
	Limit   *throttle.Report
	Leaving bool
}

// Reports returns what other VMs should know of what upstreams said.
func (b *Balancer) Reports(now time.Time) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Report
	for _, s := range b.states {
		r := Report{Target: s.ID, Born: s.Born, Leaving: s.said.leaving}
		if limit, ok := s.said.limit.Report(now); ok {
			r.Limit = &limit
		}
		if r.Limit != nil || r.Leaving {
			list = append(list, r)
		}
	}
	return list
}

// ToldReports takes in what another VM tells of what upstreams said. Of upstreams that are not
// known here nothing is kept.
func (b *Balancer) ToldReports(now time.Time, list []Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range list {
		s := b.states[r.Target]
		if s == nil || s.Born != r.Born {
			continue
		}
		if r.Limit != nil {
			s.said.limit.Told(now, *r.Limit)
		}
		s.said.leaving = s.said.leaving || r.Leaving
	}
}
