package balance

import (
	"cmp"
	"slices"
	"time"
)

// TargetState is what a VM believes of one target.
type TargetState struct {
	ID, Service, Addr, Zone string
	Usable, Cold, Suspect   bool
	InFlight                int
	Busy                    float64
	Failing                 float64
	Latency                 time.Duration
	// Limit is how many requests a second the target takes of all VMs; nil: it names none.
	Limit *float64
	// Leaving says that the target said so in an answer.
	Leaving bool
	// PausedMillis is for how much longer the target wants nothing of this VM.
	PausedMillis int64
}

// Dump returns what is believed of all targets, in order of service and ID.
func (b *Balancer) Dump(now time.Time) []TargetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []TargetState
	for _, p := range b.services {
		for _, s := range p.states {
			t := TargetState{
				ID: s.ID, Service: s.Service, Addr: s.Addr, Zone: s.Zone, Usable: s.Usable, Cold: s.Cold(now),
				Suspect: s.suspect(now, p.usual), InFlight: s.inFlight, Busy: s.busy(now), Failing: s.failing, Latency: s.latency,
				Leaving: s.signals.leaving, PausedMillis: max(0, s.signals.pausedUntil.Sub(now)).Milliseconds(),
			}
			if perSecond, ok := s.signals.limit.PerSecond(); ok {
				t.Limit = &perSecond
			}
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b TargetState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// Census counts a service's targets by what keeps requests from them.
type Census struct {
	// Usable targets are registered, not leaving and in no evacuated zone; the
	// others count these only.
	Usable, Cold, Suspect, Full int
	// Limited targets name a limit, Paused ones want nothing of this VM for a while.
	Limited, Paused int
}

// Census counts a service's targets, for a log line that tells why a request found
// no room.
func (b *Balancer) Census(now time.Time, service string) (c Census) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.services[service]
	if p == nil {
		return c
	}
	for _, s := range p.states {
		if !s.usable() {
			continue
		}
		c.Usable++
		if s.Cold(now) {
			c.Cold++
		}
		if s.suspect(now, p.usual) {
			c.Suspect++
		}
		if s.busy(now) >= otherDepth*float64(s.Slots) {
			c.Full++
		}
		if s.limited() {
			c.Limited++
		}
		if now.Before(s.signals.pausedUntil) {
			c.Paused++
		}
	}
	return c
}
