// Package warmth decides when a VM may take the process of an upstream for warm.
//
// An upstream that has just started is cold: it sustains few requests a second, and all VMs together
// must not send it more. Its registration says for how long, but a registration is as old as the
// upstream's last write and the VM's last read, and the upstream may have started again since, under
// the same ID and at the same address. What is not known to be warm counts as cold.
//
// # What shows that a process is warm
//
// A connection leads to one process for as long as it is open. So a VM sends requests on a connection
// only if the process at its other end is known: either the registrations were verified to be the
// newest as of a moment that is later than the opening of the connection by the time that an upstream
// takes to register after its start, or a health check that was sent after the opening says that the
// process is not cold.
//
// To spare health checks, a VM sends one request now and then on a new connection without one, while
// the registrations are current and no connection to the upstream has been lost since. VMs do that so
// seldom that a cold upstream sustains what all of them send it that way. Registrations are current if they have been verified
// to be the newest again and again, without a gap, for as long as an upstream takes to register. So
// they are not current after the VM's own start, nor while the platform cannot be reached, nor for a
// while after that.
//
// While registrations are not current, what is known also grows old, as an upstream may turn cold
// without ending.
//
// # Usage
//
//	var t warmth.Tracker
//	t.SetBounds(2500*time.Millisecond, 3*time.Second)
//	t.Verified(asOf)                        // The registrations were the newest as of then.
//	t.Lost(now, "i-1@1700")                 // A connection broke, or could not be opened.
//	if t.CheckDue(now, opened, "i-1@1700", 4*time.Second) { // Before a request is sent on a connection.
//		...                             // Send a health check on it.
//		t.Warm(asked, "i-1@1700")       // The response said that it is not cold.
//	}
package warmth

import (
	"sync"
	"time"

	"auburnlatch/core/lease"
)

// Tracker keeps what one VM knows of the processes of upstreams. Without SetBounds all connections need
// a check. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// registerWithin and maxGap are as in SetBounds.
	registerWithin, maxGap time.Duration
	// The registrations were verified without a gap since first, and last as of last.
	first, last lease.Moment
	// The platform may have been away at times between the verifications at awayFrom and awayTo: there
	// was more than regularGap between two of them. Both are 0 if it was not since first.
	awayFrom, awayTo lease.Moment
	upstreams        map[string]evidence // By incarnation.
}

// evidence is what a VM's own connections have shown of an incarnation.
type evidence struct {
	// warmAsOf is when the last health check was sent after which it said that it is not cold.
	warmAsOf lease.Moment
	// lostAt is when a connection was last lost or could not be opened.
	lostAt lease.Moment
	// trustedAt is when a request was last sent without a check to a process that nothing had shown.
	trustedAt lease.Moment
}

// SetBounds sets the time within which an upstream that has started registers and the platform has
// its registration, and the most time between two verifications of registrations that are current.
func (t *Tracker) SetBounds(registerWithin, maxGap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registerWithin, t.maxGap = registerWithin, maxGap
}

// Verified records that the registrations were verified to be the newest as of a moment.
func (t *Tracker) Verified(asOf lease.Moment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if asOf <= t.last {
		return
	}
	switch gap := asOf - t.last; {
	case t.last == 0 || gap > lease.Moment(t.maxGap):
		t.first, t.awayFrom, t.awayTo = asOf, 0, 0
	case gap > t.regularGap():
		if t.awayFrom == 0 || t.last-t.awayTo > lease.Moment(t.registerWithin) {
			t.awayFrom = t.last
		}
		t.awayTo = asOf
	}
	t.last = asOf
}

// regularGap returns the most time between two verifications after which the platform need not have
// been away.
func (t *Tracker) regularGap() lease.Moment { return lease.Moment(t.maxGap * 2 / 3) }

// Lost records that a connection to an incarnation was lost, or that none could be opened. It may
// have started again.
func (t *Tracker) Lost(now lease.Moment, incarnation string) {
	t.update(incarnation, func(e *evidence) { e.lostAt = max(e.lostAt, now) })
}

// Warm records that an incarnation said that it is not cold, in response to a health check that was
// sent at asked.
func (t *Tracker) Warm(asked lease.Moment, incarnation string) {
	t.update(incarnation, func(e *evidence) { e.warmAsOf = max(e.warmAsOf, asked) })
}

func (t *Tracker) update(incarnation string, change func(*evidence)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.upstreams[incarnation]
	change(&e)
	t.set(incarnation, e)
}

func (t *Tracker) set(incarnation string, e evidence) {
	if t.upstreams == nil {
		t.upstreams = make(map[string]evidence)
	}
	t.upstreams[incarnation] = e
}

// CheckDue reports whether a health check has to show that an incarnation is warm before a request is
// sent to it on a connection that was opened at a moment. If not, the request is to be sent.
// trustEvery is the least time between two requests of this VM to a process that nothing has shown,
// while registrations are current; 0: there is no other process with the upstream's ID.
func (t *Tracker) CheckDue(now, opened lease.Moment, incarnation string, trustEvery time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.upstreams[incarnation]
	known := max(t.registeredAsOf(), e.warmAsOf)
	switch {
	case !t.current(now):
		return opened > known || now-known > lease.Moment(2*t.registerWithin)
	case opened <= known:
		return false
	case e.lostAt > known || trustEvery > 0 && e.trustedAt > 0 && now-e.trustedAt < lease.Moment(trustEvery):
		return true
	}
	if trustEvery > 0 {
		e.trustedAt = now
		t.set(incarnation, e)
	}
	return false
}

// Current reports whether the registrations are current.
func (t *Tracker) Current(now lease.Moment) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current(now)
}

func (t *Tracker) current(now lease.Moment) bool {
	return t.registeredAsOf() > 0 && now-t.last <= lease.Moment(t.maxGap)
}

// registeredAsOf returns the moment as of which the registrations show who has started; 0: none.
func (t *Tracker) registeredAsOf() lease.Moment {
	within := lease.Moment(t.registerWithin)
	if t.last == 0 || t.last-t.first < within {
		return 0
	}
	if t.awayTo > 0 && t.last-t.awayTo < within {
		return max(0, t.awayFrom-within) // Upstreams that started then may have yet to register.
	}
	return t.last - within
}

// Keep forgets the incarnations for which keep returns false.
func (t *Tracker) Keep(keep func(incarnation string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for incarnation := range t.upstreams {
		if !keep(incarnation) {
			delete(t.upstreams, incarnation)
		}
	}
}
