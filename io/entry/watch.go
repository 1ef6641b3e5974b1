package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"auburnlatch/core/dispatch"
)

const (
	// watchers read the tables from the platform for all.
	watchers = 2
	// farTrip is the time that an answer of the platform takes at least where it is in
	// another region, or the way there is narrow.
	farTrip = 20 * time.Millisecond
	// tripsKnown is how many answers it takes to tell: one alone may have been held up.
	tripsKnown = 4
	// manyTargets is how many upstreams there are at least for the watchers to change by
	// how far they are. With fewer, what they take in costs less than the reads of those
	// that turn out to be far.
	manyTargets = 600
)

// trips is how fast the platform has answered this VM. The zero value is ready.
//
// Whoever reads the platform for all takes in each heartbeat of each upstream: with 3,000 of
// them 1.7 MB/s, as many bytes between regions as all else together where it is far from the
// platform. So a watcher that finds itself far says so, and the next in order takes over
// until two are near. Where all are far the order is as if none were.
type trips struct {
	mu    sync.Mutex
	n     int
	least time.Duration
}

// note takes in how long an answer took that was not held back.
func (t *trips) note(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n == 0 || took < t.least {
		t.least = took
	}
	t.n++
}

// far reports whether all answers were long in coming.
func (t *trips) far() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.n >= tripsKnown && t.least >= farTrip
}

// far reports whether others had better read the platform for all.
func (v *VM) far() bool {
	there := v.targets.Load()
	return there != nil && len(*there) >= manyTargets && v.trips.far()
}

// watchOrder returns the names of the live VMs, those first that read the platform for all.
func (v *VM) watchOrder(now time.Time) []string {
	far := make(map[string]int)
	for _, m := range v.members.Mates(now) {
		if m.VM.Far {
			far[m.VM.Name] = 1
		}
	}
	if v.far() {
		far[v.cfg.Load().Name] = 1
	}
	ranked := dispatch.Rank("watch", v.members.Live(now))
	slices.SortStableFunc(ranked, func(a, b string) int { return cmp.Compare(far[a], far[b]) })
	return ranked
}

// watchers returns the addresses of the VMs that read the platform for all, none
// where this VM is one of them.
func (v *VM) watchers(now time.Time) []string {
	ranked := v.watchOrder(now)
	ranked = ranked[:min(watchers, len(ranked))]
	if slices.Contains(ranked, v.cfg.Load().Name) {
		return nil
	}
	var addrs []string
	for _, name := range ranked {
		if m, ok := v.members.Mate(now, name); ok {
			addrs = append(addrs, m.VM.Address.Peer)
		}
	}
	return addrs
}
