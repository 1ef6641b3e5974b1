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
//
// Each process has a token bucket for each service. A request that it receives earns a fraction of
// a retry, and the bucket holds no more than a fraction of what it received in the last window. So
// the retries of all processes in a window are at most what their buckets held when it began, which
// requests of the window before have earned, and what its own requests earn. This needs no message
// between VMs, and holds whatever becomes of them: a process that ends loses its tokens, one that
// starts has none, and callers who move to another VM earn there what they would have earned here.
type RetryBudget struct {
	mu       sync.Mutex
	ratio    float64
	window   time.Duration
	extra    int
	epoch    time.Time // Start of slice 0, by the monotonic clock.
	vms      int
	services map[string]*retryTokens
}

// The bound as a fraction of its ratio and of its fixed number. All that VMs hold when a window
// begins and all that they earn in it adds up to less than the bound: the rest pays for requests
// and retries that reach upstreams in another window than they were counted in, and for VMs that
// do not know each other yet.
const (
	earnedFraction = 0.55
	heldFraction   = 0.40
	// The fixed number is divided among all known VMs; a VM that knows no others has no share.
	extraEarnedFraction = 0.40
	extraHeldFraction   = 0.40
	// retrySlices is the number of slices of a window in which requests are counted.
	retrySlices = 20
)

// retryTokens are the tokens for one service.
type retryTokens struct {
	// slice is the number of the newest slice, and requests are those of the last window.
	slice    int64
	requests [retrySlices]int
	// tokens may be negative after a Withdraw.
	tokens float64
	// spare bounds the tokens that Spare may take.
	spare    float64
	earnedAt time.Time
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
	// VMs is the number of VMs that share the fixed number; 0: not known.
	VMs int
}

// SetBounds sets the ratio of retries to requests, the window over which both are counted, and
// the number of additional retries in a window, for all VMs together.
func (b *RetryBudget) SetBounds(ratio float64, window time.Duration, extra int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.window, b.extra = ratio, window, extra
}

// SetVMs sets the number of VMs that share the fixed number, see CountSharers.
func (b *RetryBudget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = n
}

// Request counts a request to a service.
func (b *RetryBudget) Request(now time.Time, service string) { b.count(now, service, 1) }

// Withdraw undoes a Request that another VM counts.
func (b *RetryBudget) Withdraw(now time.Time, service string) { b.count(now, service, -1) }

func (b *RetryBudget) count(now time.Time, service string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.advance(now, service)
	t.requests[t.slice%retrySlices] += n
	t.usage.Requests += int64(n)
	earned := earnedFraction * b.ratio * float64(n)
	t.tokens += earned
	t.spare += spareFraction * earned
}

// spareFraction is the fraction of a VM's tokens that Spare may take.
const spareFraction = 0.5

// Retry reports whether a request to the service may be retried, and counts the retry.
func (b *RetryBudget) Retry(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.advance(now, service)
	if t.tokens < 1 {
		t.usage.Denied++
		return false
	}
	t.tokens--
	t.usage.Retries++
	return true
}

// Spare is Retry for requests that have not failed. It leaves part of the budget to those that
// have.
func (b *RetryBudget) Spare(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.advance(now, service)
	if t.tokens < 1 || t.spare < 1 {
		t.usage.Denied++
		return false
	}
	t.tokens--
	t.spare--
	t.usage.Spare++
	return true
}

// Return undoes a Spare that was not sent.
func (b *RetryBudget) Return(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.advance(now, service)
	t.tokens++
	t.spare++
	t.usage.Spare--
}

// Usage returns the usage of all services that had requests, ordered by name.
func (b *RetryBudget) Usage(now time.Time) []RetryUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]RetryUsage, 0, len(b.services))
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		t := b.advance(now, name)
		u := t.usage
		u.Service, u.VMs, u.Left = name, b.vms, max(0, t.tokens)
		list = append(list, u)
	}
	return list
}

// advance returns the service's tokens as of now.
func (b *RetryBudget) advance(now time.Time, service string) *retryTokens {
	if b.services == nil {
		b.services, b.epoch = make(map[string]*retryTokens), now
	}
	t := b.services[service]
	if t == nil {
		t = &retryTokens{earnedAt: now}
		b.services[service] = t
	}
	t.advance(int64(now.Sub(b.epoch)) / max(1, int64(b.window)/retrySlices))
	received := 0
	for _, n := range t.requests {
		received += n
	}
	held := heldFraction * b.ratio * float64(received)
	t.spare = min(t.spare, spareFraction*held)
	if b.vms > 1 && b.window > 0 {
		share := float64(b.extra) / float64(b.vms)
		t.tokens += extraEarnedFraction * share * float64(max(0, now.Sub(t.earnedAt))) / float64(b.window)
		held += extraHeldFraction * share
	}
	if now.After(t.earnedAt) {
		t.earnedAt = now
	}
	t.tokens = min(t.tokens, held)
	return t
}

// advance begins new slices up to the given one.
func (t *retryTokens) advance(slice int64) {
	for steps := min(slice-t.slice, retrySlices); steps > 0; steps-- {
		t.requests[(slice-steps+1)%retrySlices] = 0
	}
	t.slice = max(t.slice, slice)
}

// CountSharers returns the number of VMs that share a number in equal parts, by the number of known
// VMs in each zone. A zone of which no VM is known counts as many as the largest of the others, so
// that the parts of VMs that are cut off from each other along zones, since before they started,
// add up to one at most. A VM that knows no other is the only sharer it counts.
func CountSharers(zones []string, known map[string]int) int {
	sum, most, missing := 0, 0, 0
	for _, n := range known {
		sum, most = sum+n, max(most, n)
	}
	if sum <= 1 {
		return sum
	}
	for _, z := range zones {
		if known[z] == 0 {
			missing++
		}
	}
	return sum + missing*most
}
