// Package reach decides whether a VM is cut off from all upstreams, while its callers, the
// platform and other VMs may still reach it.
//
// A VM that can no longer reach one upstream, or that gets no response for a while, cannot tell
// by that whether the upstreams or its own links are at fault. So it checks others: a few
// upstreams in different availability zones. Only if none of them can be reached is the VM cut
// off. What it concluded from its failed requests in that time says nothing about the upstreams.
//
// # Usage
//
//	var m reach.Monitor
//	m.Begin(now)                  // A request is sent to an upstream.
//	m.Answered(now, took, opened) // It responded,
//	m.Failed(now, addr)           // or it could not be reached.
//	m.End(now)
//	if _, due := m.CheckDue(now); due {
//		list := reach.Spread(targets, here, reach.CheckTargets, m.HasFailed, rand.IntN)
//		... // Attempt to reach them until one responds.
//		change := m.Checked(now, began, contact, len(list))
//	}
//	if m.CutOff() { ... }
package reach

import (
	"sync"
	"time"
)

// Contact is the result of an attempt to reach an upstream. Of several the highest counts.
type Contact int

const (
	// None: no connection could be opened, or it was lost at once.
	None Contact = iota
	// Accepted: a connection was opened.
	Accepted
	// Open: it stays open, and nothing has arrived on it. A proxy on the way may have accepted it.
	Open
	// Heard: the upstream responded.
	Heard
)

// Change is what a check changed.
type Change int

const (
	Unchanged Change = iota
	// Lost: the VM is cut off from now on.
	Lost
	// Regained: it is no longer cut off.
	Regained
)

const (
	// A check is due when no upstream has responded for silenceFactor times the usual response
	// time while requests wait, at least minSilence and at most maxSilence.
	silenceFactor = 2
	minSilence    = 400 * time.Millisecond
	maxSilence    = 1200 * time.Millisecond
	// unansweredFactor is the multiple of the usual response time, at least maxSilence, without
	// any response after which a VM is cut off though it can open connections.
	unansweredFactor = 4
	// failedBeforeCheck is the number of upstreams that could not be reached in a row after
	// which a check is due: one may have crashed.
	failedBeforeCheck = 2
	// CheckTargets is the number of upstreams that a check tries, and minCheckTargets the least
	// number by which it can tell a crashed upstream from lost links.
	CheckTargets    = 6
	minCheckTargets = 2
	// checkPause is the time between two checks, recheckPause that of a VM that is cut off.
	checkPause   = 500 * time.Millisecond
	recheckPause = 250 * time.Millisecond
	// maxCheck is how long a check may take; during a longer one the VM was suspended.
	maxCheck = 3 * time.Second
	// usualWeight is the weight of the newest response in the usual response time.
	usualWeight = 0.1
)

// Monitor is what one VM knows of its links to upstreams. The zero value is ready to use. It is
// safe for concurrent use.
type Monitor struct {
	mu       sync.Mutex
	inFlight int // Requests that wait for a response.
	// waitingSince is the time since which requests have been sent without a response to any of
	// them; zero: the last one was answered.
	waitingSince time.Time
	endedAt      time.Time // The last request.
	heardAt      time.Time // The last response.
	usual        time.Duration
	// failed are the addresses that could not be reached since a new connection last carried a
	// response.
	failed    map[string]bool
	checkedAt time.Time
	// reachedAt is when the VM last began to open a connection that carried a response, or
	// that a check opened.
	reachedAt time.Time

	cutOff     bool
	regainedAt time.Time
}

// Begin records that a request is to be sent to an upstream. It reports whether no other waits for
// a response.
func (m *Monitor) Begin(now time.Time) (first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waitingSince.IsZero() || m.inFlight == 0 && now.Sub(m.endedAt) > maxSilence {
		m.waitingSince = now
	}
	m.inFlight++
	return m.inFlight == 1
}

// End records that a request no longer waits for the beginning of a response.
func (m *Monitor) End(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight--
	m.endedAt = now
}

// Answered records a response. opened says that its connection was opened for the request.
func (m *Monitor) Answered(now time.Time, took time.Duration, opened bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard(now)
	if m.usual == 0 {
		m.usual = took
	}
	m.usual += time.Duration(usualWeight * float64(took-m.usual))
	if opened {
		clear(m.failed)
		m.reached(now.Add(-took))
	}
}

// Reached records that a connection was accepted that was opened from at on.
func (m *Monitor) Reached(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reached(at)
}

// reached is Reached for callers that hold the lock.
func (m *Monitor) reached(at time.Time) {
	if at.After(m.reachedAt) {
		m.reachedAt = at
	}
}

// ReachedSince reports whether the VM has begun after t to open a connection to any upstream, and
// succeeded.
func (m *Monitor) ReachedSince(t time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reachedAt.After(t)
}

// heard records that an upstream responded. The requests that are still in flight wait from now on.
func (m *Monitor) heard(now time.Time) {
	m.heardAt, m.waitingSince = now, time.Time{}
	if m.inFlight > 1 {
		m.waitingSince = now
	}
}

// Failed records that no connection to an upstream could be opened, or that one was lost before a
// response. It reports whether a check is due because of it.
func (m *Monitor) Failed(now time.Time, addr string) (due bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failed == nil {
		m.failed = make(map[string]bool)
	}
	m.failed[addr] = true
	_, due = m.checkDue(now)
	return due
}

// HasFailed reports whether an upstream could not be reached since a new connection to any last
// carried a response.
func (m *Monitor) HasFailed(addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failed[addr]
}

// CheckDue reports whether the VM should check now whether it reaches other upstreams, or else
// after which time it may have to; 0: not before the next request or failure.
func (m *Monitor) CheckDue(now time.Time) (wait time.Duration, due bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.checkDue(now)
}

func (m *Monitor) checkDue(now time.Time) (wait time.Duration, due bool) {
	pause := checkPause
	if m.cutOff {
		pause = recheckPause
	}
	at := m.checkedAt.Add(pause)
	switch {
	case m.cutOff || len(m.failed) >= failedBeforeCheck:
	case m.inFlight == 0 || m.waitingSince.IsZero():
		return 0, false
	default:
		if silent := m.waitingSince.Add(m.silence()); silent.After(at) {
			at = silent
		}
	}
	if wait = at.Sub(now); wait > 0 {
		return wait, false
	}
	return 0, true
}

// isUnanswered reports whether requests have waited for so long that connections alone do not show
// that the VM reaches upstreams.
func (m *Monitor) isUnanswered(now time.Time) bool {
	return m.inFlight > 0 && m.silentFor(now) > max(maxSilence, unansweredFactor*m.usual)
}

// silence is how long requests may wait without any response before a check is due.
func (m *Monitor) silence() time.Duration {
	return min(maxSilence, max(minSilence, silenceFactor*m.usual))
}

// Checked records the result of a check of a number of upstreams that began at began.
func (m *Monitor) Checked(now, began time.Time, c Contact, targets int) Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkedAt = now
	switch {
	case c == Heard:
		m.heard(now)
		clear(m.failed)
		m.reached(began)
		if !m.cutOff {
			return Unchanged
		}
		m.cutOff, m.regainedAt, m.waitingSince = false, now, time.Time{}
		return Regained
	case m.cutOff:
		return Unchanged
	case now.Sub(began) > maxCheck:
		// The contacts timed out during the suspension, and the requests waited through it.
		clear(m.failed)
		m.waitingSince = now
	case c > None:
		m.cutOff = m.isUnanswered(now)
	case targets >= minCheckTargets:
		// A response during the check shows that the links are up, unless only connections that
		// were open before go on.
		m.cutOff = len(m.failed) >= failedBeforeCheck || !m.heardAt.After(began)
	}
	if m.cutOff {
		return Lost
	}
	return Unchanged
}

// silentFor is how long requests have waited without any response.
func (m *Monitor) silentFor(now time.Time) time.Duration {
	if m.waitingSince.IsZero() {
		return 0
	}
	return now.Sub(m.waitingSince)
}

// CutOff reports whether the VM reaches no upstream.
func (m *Monitor) CutOff() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cutOff
}

// Disturbed reports whether the VM was cut off at any time since began. What happened to a
// request in that time says nothing about its upstream.
func (m *Monitor) Disturbed(began time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cutOff || began.Before(m.regainedAt)
}

// Silent reports whether no upstream has responded for as long as a check waits for, so that
// requests in flight will hardly be answered if the VM is cut off.
func (m *Monitor) Silent(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.silentFor(now) >= m.silence()
}
