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
	// floor is the part of the limits that is dealt out equally, to VMs of which nothing
	// was asked yet.
	floor = 0.03
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
	vms     int       // All VMs that may be running, this one included.
	heardAt time.Time // When totals were heard; zero: never.
	silent  float64   // The part of all limits that VMs may use that are not heard.
	heard   int       // Of how many VMs the totals were.
}

// bucket is a VM's part of one team's limit.
type bucket struct {
	id     ID
	tokens float64
	at     time.Time
	full   bool // It has been filled since it was made.
	asked  meter
	told   float64 // The own demand in the totals that were asked for last.
	others float64 // The demand at other VMs.
	// othersAt is when that was heard.
	othersAt time.Time
	share    float64 // Of the limit, as of the last fresh totals; 0: never known.
	// promised is when the last of those refused was told to come back.
	promised time.Time
}

// meter is a rate that decays over demandSpan.
type meter struct {
	count float64
	at    time.Time
}

func (m *meter) add(now time.Time, n float64) {
	m.count = m.rate(now)*demandSpan.Seconds() + n
	m.at = now
}

func (m *meter) rate(now time.Time) float64 {
	return m.count * math.Exp(-max(0, now.Sub(m.at).Seconds())/demandSpan.Seconds()) / demandSpan.Seconds()
}

// SetBounds sets what all limits have in common.
func (l *Limiter) SetBounds(b Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds = b
}

// SetVMs sets how many VMs may be running, this one included.
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
	b.asked.add(now, 1)
	rate, depth := l.part(now, b, t)
	b.fill(now, rate, depth)
	if b.tokens >= 1 || l.isFree(now, b, t) {
		b.tokens = max(0, b.tokens-1)
		return 0, true
	}
	return b.comeBack(now, rate, l.bounds.Window), false
}

// Charge counts a request that was sent on once more.
func (l *Limiter) Charge(t *team.Team) { l.give(t, -1) }

// Return gives a request back that was taken out and has not run.
func (l *Limiter) Return(t *team.Team) { l.give(t, 1) }

func (l *Limiter) give(t *team.Team, tokens float64) {
	if !t.Limited() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bucket(t.Name).tokens += tokens
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

// part returns this VM's rate and depth.
func (l *Limiter) part(now time.Time, b *bucket, t *team.Team) (rate, depth float64) {
	share := l.share(now, b)
	rate, depth = l.bounds.whole(t)
	return share * rate, share * depth
}

// share returns this VM's share of a team's limit.
func (l *Limiter) share(now time.Time, b *bucket) float64 {
	equal := 1 / float64(max(1, l.vms))
	switch age := now.Sub(l.heardAt); {
	case l.heardAt.IsZero() || age > holdFor:
		return equal
	case age > freshFor:
		if b.share > 0 {
			return b.share
		}
		return floor * equal
	}
	own, others := b.asked.rate(now), l.others(now, b)
	b.share = (1 - l.silent) * floor * equal
	if total := own + others; total > 0 {
		b.share += (1 - l.silent) * (1 - floor) * own / total
	}
	return b.share
}

// others returns the demand at other VMs. Totals that leave a team out say that nothing
// of note is asked.
func (l *Limiter) others(now time.Time, b *bucket) float64 {
	if now.Sub(b.othersAt) > freshFor {
		return 0
	}
	return b.others
}

// isFree reports whether the demand that is known lies so far below the limit that
// nothing is refused.
func (l *Limiter) isFree(now time.Time, b *bucket, t *team.Team) bool {
	if l.heardAt.IsZero() || now.Sub(l.heardAt) > freshFor {
		return false
	}
	return b.asked.rate(now)+l.others(now, b) <= l.bounds.free(t, l.silent)
}

// Hot reports whether VMs of which a team asks nothing yet should know of a demand.
func (l *Limiter) Hot(t *team.Team, perSecond float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return t.Limited() && perSecond > l.bounds.free(t, l.silent)
}

// fill refills the bucket up to now. It begins full: a team that asked for nothing has
// used nothing.
func (b *bucket) fill(now time.Time, rate, depth float64) {
	if !b.full {
		b.tokens, b.at, b.full = depth, now, true
		return
	}
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens += rate * passed.Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, depth)
}

// comeBack returns when the bucket carries one more request, after all that were refused
// before: told the same moment, they would all be refused again but one.
func (b *bucket) comeBack(now time.Time, rate float64, most time.Duration) time.Duration {
	if rate <= 0 {
		return most
	}
	each := min(most.Seconds(), 1/rate)
	first := now.Add(seconds((1 - b.tokens) / rate))
	b.promised = latest(first, b.promised.Add(seconds(each)))
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
		b.told = b.asked.rate(now)
		if b.told >= leastDemand {
			list = append(list, Demand{b.id, b.told})
		}
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
	l.heardAt, l.heard = now, t.Heard
	l.silent = float64(t.Silent) / float64(max(1, t.Heard+t.Silent))
	for _, d := range t.Demands {
		b := l.named(d.Team)
		b.others, b.othersAt = max(0, d.PerSecond-b.told), now
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
	// Share is this VM's part of the limit.
	Share float64
}

// Usage returns what is known of a team's limit.
func (l *Limiter) Usage(now time.Time, t *team.Team) Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[t.Name]
	if b == nil {
		return Usage{}
	}
	own := b.asked.rate(now)
	return Usage{Own: own, Total: own + l.others(now, b), Share: l.share(now, b)}
}
