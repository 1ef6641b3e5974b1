package appointment

import (
	"math"
	"time"
)

const (
	// memory is how long the time that requests begin with is remembered after the last of
	// them, at least; half of it.
	memory = 20 * time.Second
	// margin is by how much less time a new request may have, as a fraction: callers of one
	// route differ, and some time is lost on the way.
	margin = 0.2
	// maxCredit is how many more than Part of the requests may count as returned, so that
	// those who were refused together may come back together.
	maxCredit = 16
	// latencyWeight is the weight of one request in the mean response time.
	latencyWeight = 1.0 / 16
)

// Recognizer tells the requests of a route that have come back from new ones, and knows how
// long it takes to serve one. The zero value knows nothing. It is not safe for concurrent use.
type Recognizer struct {
	// longest is the most time that a request began with in this half of the memory, and
	// before in the previous one.
	longest, before time.Duration
	since           time.Time // When this half began.
	// credit is how many more requests may count as returned. Callers may claim to have less
	// time than they have, to be served first: so at most Part of all requests count.
	credit float64
	usual  time.Duration
}

// Returned reports whether a request with the given time left has come back.
func (r *Recognizer) Returned(now time.Time, left time.Duration) bool {
	if now.Sub(r.since) > memory/2 {
		r.before, r.longest, r.since = r.longest, 0, now
	}
	r.longest = max(r.longest, left)
	r.credit = min(maxCredit, r.credit+Part)
	if left >= r.returnTime() || r.credit < 1 {
		return false
	}
	r.credit--
	return true
}

// Earliest returns the shortest wait of a caller with the given time left after which it is
// recognized.
func (r *Recognizer) Earliest(left time.Duration) time.Duration { return max(0, left-r.returnTime()) }

// returnTime returns the time that a request has left if it has come back, or less.
func (r *Recognizer) returnTime() time.Duration {
	return time.Duration((1 - margin) * float64(max(r.longest, r.before)))
}

// Served records the time that it took to serve a request.
func (r *Recognizer) Served(took time.Duration) {
	if r.usual == 0 {
		r.usual = took
		return
	}
	r.usual += time.Duration(latencyWeight * float64(took-r.usual))
}

// Usual returns the usual time to serve a request; 0: unknown.
func (r *Recognizer) Usual() time.Duration { return r.usual }

// meterTime is the time constant over which a Meter averages: long enough for a rate of a few
// a second, shorter than most shortages.
const meterTime = time.Second

// Meter measures the rate at which requests are served, with exponential decay. The zero
// value is ready to use. It is not safe for concurrent use.
type Meter struct {
	count float64
	at    time.Time
}

// Add counts one request.
func (m *Meter) Add(now time.Time) {
	m.count = m.decayed(now) + 1
	m.at = now
}

// PerSecond returns the rate.
func (m *Meter) PerSecond(now time.Time) float64 { return m.decayed(now) / meterTime.Seconds() }

func (m *Meter) decayed(now time.Time) float64 {
	return m.count * math.Exp(-max(0, now.Sub(m.at).Seconds())/meterTime.Seconds())
}
