package ratelimit

import (
	"math"
	"sync"
	"time"

	"auburnlatch/core/team"
)

const (
	// totalsTTL is how long totals are used: three report intervals, so that a lost message
	// has no effect.
	totalsTTL = 1500 * time.Millisecond
	// shareTTL is how long a VM that receives no totals keeps its last share.
	shareTTL = 2500 * time.Millisecond
	// demandTimeConstant is the time constant over which demand is averaged.
	demandTimeConstant = 1500 * time.Millisecond
	// minSettling is the shortest time over which a VM that has just started estimates demand.
	minSettling = 250 * time.Millisecond
	// minRetryAfter is the shortest time after which a caller is told to retry.
	minRetryAfter = 50 * time.Millisecond
	// minDemand is the demand in requests per second below which it is not reported.
	minDemand = 0.05
)

// Limiter enforces one VM's share of the teams' limits. It is safe for concurrent use. The
// zero value has no bounds and refuses all that a limited team requests beyond its rate.
type Limiter struct {
	mu       sync.Mutex
	bounds   Bounds
	buckets  map[string]*bucket
	byID     map[ID]*bucket
	vmCount  int       // The number of VMs that callers use.
	totalsAt time.Time // When the last totals were received; zero: never.
	reserved float64   // The fraction of all limits reserved for VMs that send no reports.
	reports  int       // The number of VMs whose demand the last totals include.
	// base is the time of the first request, from which slices are numbered.
	base time.Time
	// noPriorTraffic is set if no VM had admitted anything before this one started.
	noPriorTraffic bool
}

// bucket is a VM's state for one team.
type bucket struct {
	id     ID
	tokens float64
	at     time.Time // When tokens was updated; zero: the bucket has not been used yet.
	window window
	// untokened are the requests that were admitted without a token.
	untokened window
	demand    meter
	reported  Demand // The last report.
	// total is the demand at all VMs as received at totalsAt, and counted this VM's own
	// contribution to it.
	counted, total Demand
	totalsAt       time.Time
	// known is the highest total of requests admitted that was received in the last window.
	known   int
	knownAt time.Time
	share   share // As of the last totals that were not older than totalsTTL.
	// retryAt is the time at which the last refused caller was told to retry.
	retryAt time.Time
}

// share is a VM's share of a team's limit.
type share struct {
	part float64
	// lowLoad is set while requests need no token and only the window counts.
	lowLoad bool
	known   bool
}

// SetBounds sets the parameters that all limits share.
func (l *Limiter) SetBounds(b Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds = b
}

// AssumeNoPriorTraffic states that no VM had admitted any request before this VM started.
func (l *Limiter) AssumeNoPriorTraffic() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noPriorTraffic = true
}

// SetVMs sets the number of VMs that callers use, including this one.
func (l *Limiter) SetVMs(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vmCount = n
}

// Take admits one request of a team, or returns after which time the caller should retry.
func (l *Limiter) Take(now time.Time, t *team.Team) (wait time.Duration, ok bool) {
	if !t.Limited() {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(t.Name)
	b.demand.add(now)
	s := l.share(now, b, t)
	rate, depth := l.bounds.bucketTotals(t)
	rate, depth = rate*s.part, depth*s.part
	if b.at.IsZero() && l.noPriorTraffic {
		b.tokens, b.at = max(1, depth), now
	}
	b.refill(now, rate, depth)
	hasToken := b.tokens >= 1
	if (hasToken || l.needsNoToken(now, b, t, s)) && l.withinWindow(now, b, t, s) {
		if hasToken {
			b.tokens--
		} else {
			b.untokened.add(l.slice(now), 1)
		}
		b.window.add(l.slice(now), 1)
		return 0, true
	}
	return b.retryAfter(now, rate, l.bounds.Window), false
}

// starting reports whether this VM has just started, so that it may be unknown what others
// admitted in the last window.
func (l *Limiter) starting(now time.Time) bool {
	return !l.noPriorTraffic && (l.base.IsZero() || now.Sub(l.base) < l.bounds.Window)
}

// needsNoToken reports whether one more request may be admitted without a token.
func (l *Limiter) needsNoToken(now time.Time, b *bucket, t *team.Team, s share) bool {
	if !s.lowLoad {
		return false
	}
	allowed := max(lowLoadRequests, lowLoadFraction*s.part*l.bounds.windowLimit(t))
	if l.starting(now) {
		if l.bounds.load(t, l.settledDemand(b)) > lowLoadThreshold {
			return false
		}
		allowed = startupRequests
	}
	return float64(b.untokened.sum(l.slice(now))+1) <= allowed
}

// withinWindow reports whether one more request stays within the window allowance of this
// VM and, as far as is known, within that of all VMs.
func (l *Limiter) withinWindow(now time.Time, b *bucket, t *team.Team, s share) bool {
	windowLimit := l.bounds.windowLimit(t)
	own := int(b.window.sum(l.slice(now)))
	if float64(own+1) > l.windowAllowance(now, s, windowLimit) {
		return false
	}
	if now.Sub(b.totalsAt) > totalsTTL {
		return true
	}
	sent, fraction := float64(own+max(0, b.total.Sent-b.counted.Sent)), globalFraction
	if l.starting(now) {
		fraction = startupGlobalFraction
		if l.assumedSent(now, b, t, sent)+1 > windowLimit {
			return false
		}
	}
	return sent+1 <= max(1, fraction*(1-l.reserved)*windowLimit)
}

// settledDemand estimates the total demand while this VM is starting and the averages of those
// that started with it are still rising.
func (l *Limiter) settledDemand(b *bucket) float64 {
	since := max(minSettling, b.totalsAt.Sub(l.base))
	return b.total.PerSecond / (1 - math.Exp(-since.Seconds()/demandTimeConstant.Seconds()))
}

// assumedSent returns how many requests all VMs may have admitted in the last window, of which sent
// are known, while this VM is starting. Processes that nobody remembers may have met the
// same demand before, and admitted as many requests as the limit allows in a part of a window.
func (l *Limiter) assumedSent(now time.Time, b *bucket, t *team.Team, sent float64) float64 {
	since := now.Sub(l.base)
	before := (l.bounds.Window - since).Seconds()
	unknown := min(l.settledDemand(b)*before, l.bounds.maxSent(t, before))
	rate, _ := l.bounds.bucketTotals(t)
	return max(sent, min(sent, float64(l.vmCount)+rate*since.Seconds())+unknown)
}

// windowAllowance returns the number of requests that this VM may admit in a window, out of
// the windowLimit of all VMs.
func (l *Limiter) windowAllowance(now time.Time, s share, windowLimit float64) float64 {
	allowance := max(1, windowFraction*s.part*windowLimit)
	starting := l.starting(now)
	switch {
	case starting && s.lowLoad:
		return max(startupFraction*allowance, lowLoadRequests)
	case starting:
		return startupFraction * allowance
	case s.lowLoad:
		return max(allowance+lowLoadDeviations*math.Sqrt(allowance), lowLoadRequests)
	}
	return allowance
}

// Charge counts a request that was admitted and is sent a second time.
func (l *Limiter) Charge(now time.Time, t *team.Team) { l.adjust(now, t, -1) }

// Return undoes a Take whose request did not run.
func (l *Limiter) Return(now time.Time, t *team.Team) { l.adjust(now, t, 1) }

// adjust adds n tokens and takes n requests out of the window.
func (l *Limiter) adjust(now time.Time, t *team.Team, n int) {
	if !t.Limited() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(t.Name)
	b.tokens += float64(n)
	b.window.add(l.slice(now), -n)
}

// slice returns the number of the window slice that contains now.
func (l *Limiter) slice(now time.Time) int64 {
	if l.base.IsZero() {
		l.base = now
	}
	return int64(now.Sub(l.base) / max(1, l.bounds.Window/windowSlices))
}

func (l *Limiter) bucket(name string) *bucket {
	b := l.buckets[name]
	if b == nil {
		b = l.bucketByID(IDOf(name))
		if l.buckets == nil {
			l.buckets = make(map[string]*bucket)
		}
		l.buckets[name] = b
	}
	return b
}

// bucketByID returns the bucket of an ID. Totals may name a team that has not sent this VM
// any request yet.
func (l *Limiter) bucketByID(id ID) *bucket {
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

// share returns this VM's share of a team's limit.
func (l *Limiter) share(now time.Time, b *bucket, t *team.Team) share {
	equal := 1 / float64(max(1, l.vmCount))
	switch age := now.Sub(l.totalsAt); {
	case l.totalsAt.IsZero() || age > shareTTL:
		return share{part: equal}
	case age > totalsTTL && b.share.known:
		return b.share
	case age > totalsTTL:
		return share{part: equalFraction * equal}
	}
	own, total := b.counted.PerSecond, b.total.PerSecond
	if now.Sub(b.totalsAt) > totalsTTL {
		own, total = 0, 0 // The totals omit teams with little demand.
	}
	load := l.bounds.load(t, total)
	s := share{lowLoad: load <= lowLoadThreshold*(1-l.reserved), known: true}
	fraction := equalFraction
	if s.lowLoad {
		fraction = max(lowLoadEqualFraction, 1-2*load)
	}
	if total <= 0 {
		own, total, fraction = 0, 1, 1
	}
	// The equal part is divided among all VMs that callers use, the part that follows demand
	// among those that report.
	s.part = fraction*equal + (1-l.reserved)*(1-fraction)*own/total
	b.share = s
	return s
}

// Hot reports whether a team's demand is so high that VMs at which it has none should know
// of it.
func (l *Limiter) Hot(t *team.Team, perSecond float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return t.Limited() && l.bounds.load(t, perSecond) > lowLoadEqualFraction
}

// refill adds the tokens that accrued up to now. The bucket starts with one token, as processes
// that have ended may have used the others.
func (b *bucket) refill(now time.Time, rate, depth float64) {
	if b.at.IsZero() {
		b.tokens, b.at = 1, now
		return
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens += rate * elapsed.Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, max(1, depth))
}

// retryAfter returns when the bucket will have a token for one more request, after those of
// all callers refused before. If all were told the same time, all but one would be refused
// again.
func (b *bucket) retryAfter(now time.Time, rate float64, longest time.Duration) time.Duration {
	if rate <= 0 {
		return longest
	}
	first := now.Add(seconds((1 - b.tokens) / rate))
	b.retryAt = latest(first, b.retryAt.Add(min(longest, seconds(1/rate))))
	if b.retryAt.Sub(now) > longest {
		b.retryAt = now.Add(longest)
	}
	return max(minRetryAfter, b.retryAt.Sub(now))
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

// Demand returns the demand at this VM, to be reported to the collector.
func (l *Limiter) Demand(now time.Time) []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slice(now) // The first report is sent when the VM starts.
	var list []Demand
	for _, b := range l.byID {
		b.reported = Demand{Team: b.id, PerSecond: b.demand.rate(now), Sent: int(b.window.sum(l.slice(now)))}
		if age := now.Sub(b.knownAt); b.known > 0 && age < l.bounds.Window {
			b.reported.Known, b.reported.KnownAge = b.known, age
		}
		if b.reported.PerSecond < minDemand && b.reported.Sent == 0 && b.reported.Known == 0 {
			b.reported = Demand{}
			continue
		}
		list = append(list, b.reported)
	}
	return list
}

// Heard applies totals received from the collector. Totals that include fewer VMs than the
// previous ones are ignored while those are fresh: they come from a collector that has not
// received all reports yet.
func (l *Limiter) Heard(now time.Time, t Total) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Heard < l.reports && now.Sub(l.totalsAt) < totalsTTL {
		return
	}
	l.totalsAt, l.reports, l.reserved = now, t.Heard, min(1, max(0, t.Silent))
	for _, d := range t.Demands {
		b := l.bucketByID(d.Team)
		b.counted, b.total, b.totalsAt = b.reported, d, now
		b.total.PerSecond = max(d.PerSecond, b.reported.PerSecond)
		if d.Sent >= b.known || now.Sub(b.knownAt) >= l.bounds.Window {
			b.known, b.knownAt = d.Sent, now
		}
	}
}

// Age returns the time since totals were last received.
func (l *Limiter) Age(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.totalsAt)
}

// Usage is what a VM knows of the use of one team's limit.
type Usage struct {
	// Own is the demand at this VM, Total that at all VMs, in requests per second.
	Own, Total float64
	// Part is this VM's share of the limit, from 0 to 1.
	Part float64
}

// Usage returns what this VM knows of the use of a team's limit.
func (l *Limiter) Usage(now time.Time, t *team.Team) Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[t.Name]
	if b == nil {
		return Usage{}
	}
	return Usage{Own: b.demand.rate(now), Total: b.total.PerSecond, Part: l.share(now, b, t).part}
}
