package ratelimit

import (
	"math"
	"sync"
	"time"

	"auburnlatch/core/team"
)

const (
	// freshFor is how long totals are gone by: three tellings, so that one that is lost
	// does not count.
	freshFor = 1500 * time.Millisecond
	// holdFor is how long a VM that hears no totals keeps its share.
	holdFor = 2500 * time.Millisecond
	// demandSpan is the time over which demand is averaged.
	demandSpan = 1500 * time.Millisecond
	// leastWait is the shortest time after which a caller is told to come back.
	leastWait = 50 * time.Millisecond
	// leastDemand is the demand in requests a second below which none is told of.
	leastDemand = 0.05
)

// Limiter is one VM's part of the teams' limits. It is safe for concurrent use. Its zero
// value has no bounds, and refuses whatever a limited team asks beyond its rate.
type Limiter struct {
	mu      sync.Mutex
	bounds  Bounds
	buckets map[string]*bucket
	byID    map[ID]*bucket
	vms     int       // The VMs that callers use.
	heardAt time.Time // When totals were heard; zero: never.
	silent  float64   // The part of all limits that VMs may use that are not heard.
	heard   int       // Of how many VMs the totals were.
	// base is the time of the first request: windows' slices count from it.
	base time.Time
	// first says that no VM had sent anything before this one started.
	first bool
}

// bucket is a VM's part of one team's limit.
type bucket struct {
	id      ID
	tokens  float64
	at      time.Time // When tokens were counted; zero: the bucket was never used.
	window  window
	asked   meter
	telling Demand // What was told last.
	// told is the own part of total, what is asked of all VMs as it was heard at heardAt.
	told, total Demand
	heardAt     time.Time
	share       share // As of the last totals that were fresh.
	// promised is when the last of those refused was told to come back.
	promised time.Time
}

// share is a VM's part of a team's limit.
type share struct {
	part float64
	// free parts are bound by their windows only.
	free  bool
	known bool
}

// SetBounds sets what all limits have in common.
func (l *Limiter) SetBounds(b Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds = b
}

// NothingBefore says that no VM has sent anything before this one started.
func (l *Limiter) NothingBefore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first = true
}

// SetVMs sets how many VMs callers use, this one included.
func (l *Limiter) SetVMs(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = n
}

// Take takes one request of a team out of this VM's part. Where that is used up it
// returns when the part carries the request.
func (l *Limiter) Take(now time.Time, t *team.Team) (wait time.Duration, ok bool) {
	if !t.Limited() {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(t.Name)
	b.asked.add(now)
	s := l.share(now, b, t)
	rate, depth := l.bounds.whole(t)
	rate, depth = rate*s.part, depth*s.part
	b.fill(now, rate, depth)
	if (s.free || b.tokens >= 1) && l.fits(now, b, t, s) {
		b.tokens = max(0, b.tokens-1)
		b.window.add(l.slice(now), 1)
		return 0, true
	}
	return b.comeBack(now, rate, l.bounds.Window), false
}

// fits reports whether one more request stays within the window's bounds: that of this VM
// and, as far as is known, that of all.
func (l *Limiter) fits(now time.Time, b *bucket, t *team.Team, s share) bool {
	allowed := l.bounds.allowed(t)
	own := int(b.window.sum(l.slice(now)))
	if float64(own+1) > l.room(now, s, allowed) {
		return false
	}
	if now.Sub(b.heardAt) > freshFor {
		return true
	}
	others := max(0, b.total.Sent-b.told.Sent)
	return float64(own+others+1) <= max(1, brakeAt*(1-l.silent)*allowed)
}

// room is how many requests this VM may send in a window of which all together may have
// allowed.
func (l *Limiter) room(now time.Time, s share, allowed float64) float64 {
	most := max(1, windowUsed*s.part*allowed)
	young := !l.first && now.Sub(l.base) < l.bounds.Window
	switch {
	case young && s.free:
		return max(youngUsed*most, freeSends)
	case young:
		return youngUsed * most
	case s.free:
		return max(most+freeSpread*math.Sqrt(most), freeSends)
	}
	return most
}

// Charge counts a request that was sent on once more.
func (l *Limiter) Charge(now time.Time, t *team.Team) { l.give(now, t, -1) }

// Return gives a request back that was taken out and has not run.
func (l *Limiter) Return(now time.Time, t *team.Team) { l.give(now, t, 1) }

func (l *Limiter) give(now time.Time, t *team.Team, n int) {
	if !t.Limited() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(t.Name)
	b.tokens += float64(n)
	b.window.add(l.slice(now), -n)
}

// slice numbers the part of a window that a moment lies in.
func (l *Limiter) slice(now time.Time) int64 {
	if l.base.IsZero() {
		l.base = now
	}
	return int64(now.Sub(l.base) / max(1, l.bounds.Window/windowSlices))
}

func (l *Limiter) bucket(name string) *bucket {
	b := l.buckets[name]
	if b == nil {
		b = l.named(IDOf(name))
		if l.buckets == nil {
			l.buckets = make(map[string]*bucket)
		}
		l.buckets[name] = b
	}
	return b
}

// named returns the bucket of an ID, whose team may not have been asked for yet.
func (l *Limiter) named(id ID) *bucket {
	b := l.byID[id]
	if b == nil {
		b = &bucket{id: id}
		if l.byID == nil {
			l.byID = make(map[ID]*bucket)
		}
		l.byID[id] = b
	}
	return b
}

// share returns this VM's part of a team's limit.
func (l *Limiter) share(now time.Time, b *bucket, t *team.Team) share {
	equal := 1 / float64(max(1, l.vms))
	switch age := now.Sub(l.heardAt); {
	case l.heardAt.IsZero() || age > holdFor:
		return share{part: equal}
	case age > freshFor && b.share.known:
		return b.share
	case age > freshFor:
		return share{part: boundEqual * equal}
	}
	told, total := b.told.PerSecond, b.total.PerSecond
	if now.Sub(b.heardAt) > freshFor {
		told, total = 0, 0 // Totals that leave a team out say that little is asked.
	}
	load := l.bounds.load(t, total)
	s := share{free: load <= freeBelow*(1-l.silent), known: true}
	even := boundEqual
	if s.free {
		even = max(freeEqual, 1-2*load)
	}
	if total <= 0 {
		told, total, even = 0, 1, 1
	}
	// The equal part is that of one among all VMs that callers use; what follows demand is
	// dealt out among those that are heard.
	s.part = even*equal + (1-l.silent)*(1-even)*told/total
	b.share = s
	return s
}

// Hot reports whether VMs of which a team asks nothing yet should know of a demand.
func (l *Limiter) Hot(t *team.Team, perSecond float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return t.Limited() && l.bounds.load(t, perSecond) > freeEqual
}

// fill refills the bucket up to now. It begins full: a team that asked for nothing has
// used nothing.
func (b *bucket) fill(now time.Time, rate, depth float64) {
	if b.at.IsZero() {
		b.tokens, b.at = max(1, depth), now
		return
	}
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens += rate * passed.Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, max(1, depth))
}

// comeBack returns when the bucket carries one more request, after all that were refused
// before: told the same moment, they would all be refused again but one.
func (b *bucket) comeBack(now time.Time, rate float64, most time.Duration) time.Duration {
	if rate <= 0 {
		return most
	}
	first := now.Add(seconds((1 - b.tokens) / rate))
	b.promised = latest(first, b.promised.Add(min(most, seconds(1/rate))))
	if b.promised.Sub(now) > most {
		b.promised = now.Add(most)
	}
	return max(leastWait, b.promised.Sub(now))
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Demand returns what is asked of this VM, to be told to the collector.
func (l *Limiter) Demand(now time.Time) []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Demand
	for _, b := range l.byID {
		b.telling = Demand{b.id, b.asked.rate(now), int(b.window.sum(l.slice(now)))}
		if b.telling.PerSecond < leastDemand && b.telling.Sent == 0 {
			b.telling = Demand{}
			continue
		}
		list = append(list, b.telling)
	}
	return list
}

// Heard takes in what is asked of all VMs. Totals of fewer VMs than those that are still
// fresh are left out: they come of a collector that has not been told by all yet.
func (l *Limiter) Heard(now time.Time, t Total) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Heard < l.heard && now.Sub(l.heardAt) < freshFor {
		return
	}
	l.heardAt, l.heard, l.silent = now, t.Heard, min(1, max(0, t.Silent))
	for _, d := range t.Demands {
		b := l.named(d.Team)
		b.told, b.total, b.heardAt = b.telling, d, now
		b.total.PerSecond = max(d.PerSecond, b.telling.PerSecond)
	}
}

// Age returns how long ago totals were heard.
func (l *Limiter) Age(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.heardAt)
}

// Usage is what a VM knows of one team's limit.
type Usage struct {
	// Own is what is asked of this VM, Total of all, in requests a second.
	Own, Total float64
	// Part is this VM's part of the limit.
	Part float64
}

// Usage returns what is known of a team's limit.
func (l *Limiter) Usage(now time.Time, t *team.Team) Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[t.Name]
	if b == nil {
		return Usage{}
	}
	return Usage{Own: b.asked.rate(now), Total: b.total.PerSecond, Part: l.share(now, b, t).part}
}
