package ratelimit

import (
	"math"
	"time"
)

// meter measures a rate, averaged with exponential decay over demandTimeConstant. The zero
// value is ready to use.
type meter struct {
	count float64
	at    time.Time
}

// add counts one request.
func (m *meter) add(now time.Time) {
	m.count = m.rate(now)*demandTimeConstant.Seconds() + 1
	m.at = now
}

// rate returns the rate in requests per second.
func (m *meter) rate(now time.Time) float64 {
	return m.count * math.Exp(-max(0, now.Sub(m.at).Seconds())/demandTimeConstant.Seconds()) / demandTimeConstant.Seconds()
}

// windowSlices is the number of slices into which a sliding window is divided.
const windowSlices = 20

// window counts the requests admitted in a sliding window. The zero value is ready to use.
type window struct {
	last int64 // The number of the newest slice.
	// counts has one slice more than a window: the oldest slice counts in full as long as
	// the window begins within it.
	counts [windowSlices + 1]int32
	total  int32
}

// add adds n requests to a slice.
func (w *window) add(slice int64, n int) {
	w.advance(slice)
	w.counts[w.last%int64(len(w.counts))] += int32(n)
	w.total += int32(n)
}

// sum returns the number of requests in the window that ends in a slice.
func (w *window) sum(slice int64) int32 {
	w.advance(slice)
	return w.total
}

// advance moves the window to a newer slice and drops the slices that are no longer in it.
func (w *window) advance(slice int64) {
	for steps := min(slice-w.last, int64(len(w.counts))); steps > 0; steps-- {
		i := (slice - steps + 1) % int64(len(w.counts))
		w.total -= w.counts[i]
		w.counts[i] = 0
	}
	w.last = max(w.last, slice)
}
