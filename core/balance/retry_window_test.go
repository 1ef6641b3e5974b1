package balance_test

import "time"

// windowBudget is the retry budget of earlier builds: a sliding window in each process.
type windowBudget struct {
	vms, extra        int
	requests, retries []time.Time
}

func (b *windowBudget) SetVMs(n int) { b.vms = n }

func (b *windowBudget) Request(now time.Time, _ string) {
	b.requests = append(inWindow(now, b.requests), now)
}

func (b *windowBudget) Withdraw(now time.Time, _ string) {
	b.requests = inWindow(now, b.requests)
	b.requests = b.requests[:max(0, len(b.requests)-1)]
}

func (b *windowBudget) Retry(now time.Time, _ string) bool { return b.take(now, 1) }

func (b *windowBudget) Spare(now time.Time, _ string) bool { return b.take(now, 0.5) }

func (b *windowBudget) take(now time.Time, fraction float64) bool {
	b.requests, b.retries = inWindow(now, b.requests), inWindow(now, b.retries)
	granted := 0.85 * retryRatio * float64(len(b.requests))
	if b.vms > 1 {
		granted += 0.5 * float64(b.extra) / float64(b.vms)
	}
	if float64(len(b.retries)+1) > fraction*granted {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

// inWindow returns the times within the window that ends now.
func inWindow(now time.Time, at []time.Time) []time.Time {
	for len(at) > 0 && now.Sub(at[0]) >= retryWindow {
		at = at[1:]
	}
	return at
}
