package steer

import (
	"sync"
	"time"
)

const (
	// unreachableAfter is how long all requests to a zone must have failed
	// before it counts as unreachable.
	unreachableAfter = 2 * time.Second
	// unreachableFor is how long the last failure counts. After that time, an
	// unreachable zone is also lost by the age of its summary.
	unreachableFor = LostAfter
	// pausedAfter is the time without any call after which the VM was paused: Unreachable is
	// called for each zone every second.
	pausedAfter = 4 * time.Second
)

// Reachability records whether requests reach the VMs of each zone. This takes
// precedence over the zone's last summary, which shows only after LostAfter
// that a zone is unreachable; until then requests sent there would be refused.
// It is safe for concurrent use; the zero value is ready to use.
type Reachability struct {
	mu    sync.Mutex
	zones map[string]failureRun // Zones whose last request failed.
	// calledAt is the time of the last call.
	calledAt time.Time
}

// failureRun is a run of failed requests. It is empty if first is zero.
type failureRun struct {
	first, last time.Time
}

// Record adds the outcome of a request: ok reports whether it reached a VM of
// the zone. A request that the VM refused has reached it.
func (r *Reachability) Record(now time.Time, zone string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetAfterPause(now)
	if ok {
		delete(r.zones, zone)
		return
	}
	if r.zones == nil {
		r.zones = map[string]failureRun{}
	}
	z := r.zones[zone]
	if z.first.IsZero() || now.Sub(z.last) > unreachableFor {
		z.first = now
	}
	z.last = now
	r.zones[zone] = z
}

// Unreachable reports whether all requests to the zone have failed for
// unreachableAfter, the last one within unreachableFor.
func (r *Reachability) Unreachable(now time.Time, zone string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetAfterPause(now)
	z, ok := r.zones[zone]
	return ok && now.Sub(z.last) <= unreachableFor && z.last.Sub(z.first) >= unreachableAfter
}

// forgetAfterPause forgets all failures if the VM was paused since the last call.
func (r *Reachability) forgetAfterPause(now time.Time) {
	if now.Sub(r.calledAt) > pausedAfter {
		clear(r.zones)
	}
	r.calledAt = now
}
