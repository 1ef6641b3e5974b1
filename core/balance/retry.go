package balance

import (
	"maps"
	"slices"
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
	usage    RetryUsage
}

// RetryUsage is what one VM's budget for a service was asked and has granted since its start.
type RetryUsage struct {
	Service string
	// Requests earned the budget, less those that another VM counts.
	Requests int64
	// Retries and Spare were granted, less those that were returned. Denied were not granted.
	Retries, Spare, Denied int64
	// Left is how many retries would be granted now.
	Left float64
	// VMs is the number of VMs that share the fixed part; 0: not known.
	VMs int
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
	c.usage.Requests++
}

// Withdraw undoes a Request that another VM counts.
func (b *RetryBudget) Withdraw(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(now, service)
	i := c.bucket % retryBuckets
	c.requests[i] = max(0, c.requests[i]-1)
	c.usage.Requests--
}

// spareFraction is the fraction of a VM's budget up to which Spare grants retries.
const spareFraction = 0.5

// Retry reports whether a request to the service may be retried, and counts the retry.
func (b *RetryBudget) Retry(now time.Time, service string) bool {
	return b.take(now, service, 1, func(u *RetryUsage) { u.Retries++ })
}

// Spare is Retry for requests that have not failed. It leaves part of the budget to those that
// have.
func (b *RetryBudget) Spare(now time.Time, service string) bool {
	return b.take(now, service, spareFraction, func(u *RetryUsage) { u.Spare++ })
}

// Return undoes a Spare that was not sent.
func (b *RetryBudget) Return(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(now, service)
	i := c.bucket % retryBuckets
	c.retries[i] = max(0, c.retries[i]-1)
	c.usage.Spare--
}

// take counts a retry if no more than a fraction of the budget is used.
func (b *RetryBudget) take(now time.Time, service string, fraction float64, count func(*RetryUsage)) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(now, service)
	granted, retries := b.granted(c)
	if float64(retries+1) > fraction*granted {
		c.usage.Denied++
		return false
	}
	c.retries[c.bucket%retryBuckets]++
	count(&c.usage)
	return true
}

// granted returns how many retries the last window's requests and the fixed part allow, and how
// many there were.
func (b *RetryBudget) granted(c *retryWindow) (granted float64, retries int) {
	requests := 0
	for i := range retryBuckets {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	granted = ratioFraction * b.ratio * float64(requests)
	if b.vms > 1 {
		granted += extraFraction * float64(b.extra) / float64(b.vms)
	}
	return granted, retries
}

// Usage returns the usage of all services that had requests, ordered by name.
func (b *RetryBudget) Usage(now time.Time) []RetryUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]RetryUsage, 0, len(b.services))
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		c := b.counts(now, name)
		granted, retries := b.granted(c)
		u := c.usage
		u.Service, u.VMs, u.Left = name, b.vms, max(0, granted-float64(retries))
		list = append(list, u)
	}
	return list
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
