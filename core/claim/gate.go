package claim

import (
	"sync"
	"time"
)

// probeInterval is the time from a failed write to the next claim that is let through, and
// between two such claims.
const probeInterval = time.Second

// Gate is a circuit breaker for claims: while the table does not respond, it refuses new
// claims at once, so that callers need not wait for a timeout. One claim per probeInterval
// is let through as a probe. It is safe for concurrent use; the zero value is closed, which
// lets all claims through.
type Gate struct {
	mu        sync.Mutex
	open      bool
	nextProbe time.Time
}

// Allow reports whether a claim may be tried now.
func (g *Gate) Allow(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open {
		return true
	}
	if now.Before(g.nextProbe) {
		return false
	}
	g.nextProbe = now.Add(probeInterval)
	return true
}

// Report records the outcome of a write.
func (g *Gate) Report(now time.Time, o Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = o == Unknown || o == NotSent
	if g.open {
		g.nextProbe = now.Add(probeInterval)
	}
}
