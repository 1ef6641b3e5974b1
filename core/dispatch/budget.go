package dispatch

import (
	"sync"
	"time"
)

// Budget limits retries to a share of the recent requests. When every upstream
// refuses, retries add at most that share to the load. It is safe for
// concurrent use; the zero value grants none.
type Budget struct {
	mu      sync.Mutex
	updated time.Time
	credit  float64
}

const (
	// budgetWindow is how long unused credit lasts.
	budgetWindow = 10 * time.Second
	// maxCredit is the largest burst of retries.
	maxCredit = 20
)

// Request counts one request, which adds share to the retry credit.
func (b *Budget) Request(now time.Time, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	b.credit = min(maxCredit, b.credit+share)
}

// Retry reports whether one more retry may be sent, and counts it if so. share is
// that of the request's service now: credit from before it was set to 0, or from
// other services, permits none.
func (b *Budget) Retry(now time.Time, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	if b.credit < 1 || share <= 0 {
		return false
	}
	b.credit--
	return true
}

// decay reduces unused credit by the fraction of budgetWindow that has passed.
func (b *Budget) decay(now time.Time) {
	passed := now.Sub(b.updated)
	b.updated = now
	b.credit *= max(0, 1-float64(passed)/float64(budgetWindow))
}
