package balance

import (
	"cmp"
	"slices"
	"time"
)

// TargetState is what a VM knows of one target.
type TargetState struct {
	ID, Service, Addr, Zone string
	Usable, Cold, Suspect   bool
	InFlight                int
	// Busy is the estimated number of requests at the target, from all VMs.
	Busy float64
	// Failing is the moving average of failures, 0 to 1, and Latency that of the time to a
	// response.
	Failing float64
	Latency time.Duration
	// Limit is how many requests a second the target takes from all VMs; nil: it names no
	// limit.
	Limit *float64
	// Pace is how long work takes there, relative to the usual time, as reported LoadAgeMillis ago;
	// 0: not reported.
	Pace          float64
	LoadAgeMillis int64
	// Leaving means that the target reported in a response that it is leaving.
	Leaving bool
	// PausedMillis is the remaining time for which the target takes no requests of this VM.
	PausedMillis int64
}

// Dump returns the state of all targets, sorted by service and ID.
func (b *Balancer) Dump(now time.Time) []TargetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []TargetState
	for _, p := range b.services {
		for _, s := range p.states {
			t := TargetState{
				ID: s.ID, Service: s.Service, Addr: s.Addr, Zone: s.Zone, Usable: s.Usable, Cold: s.Cold(now),
				Suspect: s.suspect(now, p.medianLatency), InFlight: s.inFlight, Busy: s.outstanding(now), Failing: s.failureRate, Latency: s.latency,
				Leaving: s.signals.leaving, PausedMillis: max(0, s.signals.pausedUntil.Sub(now)).Milliseconds(),
			}
			if !s.reportedAt.IsZero() {
				t.Pace, t.LoadAgeMillis = s.reported.Pace, now.Sub(s.reportedAt).Milliseconds()
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

// Utilization returns the number of requests for each slot of a service, running and waiting, as
// its targets reported it; 0: unknown.
func (b *Balancer) Utilization(now time.Time, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.services[service]
	if p == nil {
		return 0
	}
	requests, slots := 0.0, 0.0
	for _, r := range p.regions {
		if load := b.regionLoads[regionLoadKey{service, r.region}]; load != nil {
			requests += load.utilization(now) * float64(r.slots)
			slots += float64(r.slots)
		}
	}
	return requests / max(1, slots)
}

// Census counts a service's targets by what keeps requests from them.
type Census struct {
	// Usable targets are registered, not leaving and not in an evacuated zone. The other counts
	// are of usable targets only.
	Usable, Cold, Suspect, Full int
	// Limited targets name a rate limit. Paused targets take no requests of this VM until the
	// pause that they asked for is over.
	Limited, Paused int
}

// Census counts a service's targets, for the log line of a request that found no room.
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
		if s.suspect(now, p.medianLatency) {
			c.Suspect++
		}
		if s.outstanding(now) >= normalDepth*float64(s.Slots) {
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
