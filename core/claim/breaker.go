package claim

import (
	"sync"
	"time"
)

// probeInterval is the time from a failed write to the next claim that is let through, and
// between two such claims.
const probeInterval = time.Second

// Breaker is a circuit breaker for claims: while the table does not respond, it refuses
// new claims at once, so that callers need not wait for a timeout. One claim per
// probeInterval is let through as a probe. It is safe for concurrent use; the zero value
// is closed, which lets all claims through.
type Breaker struct {
	mu        sync.Mutex
	open      bool
	nextProbe time.Time
}

// Allow reports whether a claim may be tried now.
func (b *Breaker) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true
	}
	if now.Before(b.nextProbe) {
		return false
	}
	b.nextProbe = now.Add(probeInterval)
	return true
}

// Report records the outcome of a write.
func (b *Breaker) Report(now time.Time, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open = o == Unknown || o == NotSent
	if b.open {
		b.nextProbe = now.Add(probeInterval)
	}
}
