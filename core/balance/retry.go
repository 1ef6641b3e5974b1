package balance

import (
	"sync"
	"time"
)

// RetryBudget bounds the retries of all VMs together: in any window at most a share of a
// service's requests, and a fixed number in addition. The zero value grants nothing. It is safe
// for concurrent use.
type RetryBudget struct {
	mu       sync.Mutex
	ratio    float64
	window   time.Duration
	extra    int
	epoch    time.Time // Start of bucket 0, by the monotonic clock.
	vms      int
	services map[string]*retryWindow
}

// The part of the bound that a VM uses. Requests are counted where they arrive, so the ratio
// needs no communication between VMs. The additional retries are divided among all known VMs; a
// VM that knows no others uses none of them.
const (
	// ratioFraction leaves room for requests that reached this VM and not the target, and for
	// windows that are not aligned.
	ratioFraction = 0.85
	// extraFraction leaves room for VMs that do not know each other yet.
	extraFraction = 0.5
	// retryBuckets is the number of buckets of a window.
	retryBuckets = 20
)

// retryWindow has the counts of one service in the last window, by bucket.
type retryWindow struct {
	bucket   int64
	requests [retryBuckets]int
	retries  [retryBuckets]int
}

// SetBounds sets the ratio of retries to requests, the window over which both are counted, and
// the number of additional retries in a window, for all VMs together.
func (b *RetryBudget) SetBounds(ratio float64, window time.Duration, extra int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.window, b.extra = ratio, window, extra
}

// SetVMs sets the number of VMs that share the budget.
func (b *RetryBudget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = n
}

// Request counts a request to a service.
func (b *RetryBudget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(now, service)
	c.requests[c.bucket%retryBuckets]++
}

// Withdraw undoes a Request that another VM counts.
func (b *RetryBudget) Withdraw(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(now, service)
	i := c.bucket % retryBuckets
	c.requests[i] = max(0, c.requests[i]-1)
}

// spareFraction is the fraction of a VM's budget up to which Spare grants retries.
const spareFraction = 0.5

// Retry reports whether a request to the service may be retried, and counts the retry.
func (b *RetryBudget) Retry(now time.Time, service string) bool { return b.take(now, service, 1) }

// Spare is Retry for requests that have not failed. It leaves part of the budget to those that
// have.
func (b *RetryBudget) Spare(now time.Time, service string) bool {
	return b.take(now, service, spareFraction)
}

// Return undoes a Retry or a Spare that was not sent.
func (b *RetryBudget) Return(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(now, service)
	i := c.bucket % retryBuckets
	c.retries[i] = max(0, c.retries[i]-1)
}

// take counts a retry if no more than a fraction of the budget is used.
func (b *RetryBudget) take(now time.Time, service string, fraction float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(now, service)
	requests, retries := 0, 0
	for i := range retryBuckets {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	granted := ratioFraction * b.ratio * float64(requests)
	if b.vms > 1 {
		granted += extraFraction * float64(b.extra) / float64(b.vms)
	}
	if float64(retries+1) > fraction*granted {
		return false
	}
	c.retries[c.bucket%retryBuckets]++
	return true
}

// counts returns the service's counts, advanced to now.
func (b *RetryBudget) counts(now time.Time, service string) *retryWindow {
	if b.services == nil {
		b.services, b.epoch = make(map[string]*retryWindow), now
	}
	c := b.services[service]
	if c == nil {
		c = &retryWindow{}
		b.services[service] = c
	}
	at := int64(now.Sub(b.epoch)) / max(1, int64(b.window)/retryBuckets)
	for steps := min(at-c.bucket, retryBuckets); steps > 0; steps-- {
		i := (at - steps + 1) % retryBuckets
		c.requests[i], c.retries[i] = 0, 0
	}
	c.bucket = max(c.bucket, at)
	return c
}
