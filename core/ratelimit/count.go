package ratelimit

import (
	"math"
	"time"
)

// meter is a rate that decays over demandSpan. The zero value is ready.
type meter struct {
	count float64
	at    time.Time
}

// add counts one request.
func (m *meter) add(now time.Time) {
	m.count = m.rate(now)*demandSpan.Seconds() + 1
	m.at = now
}

// rate returns the rate a second.
func (m *meter) rate(now time.Time) float64 {
	return m.count * math.Exp(-max(0, now.Sub(m.at).Seconds())/demandSpan.Seconds()) / demandSpan.Seconds()
}

// windowSlices is the resolution of a window.
const windowSlices = 20

// window counts what was sent in the last slices. The zero value is ready.
type window struct {
	at int64
	// sent has one slice more than a window: the first one counts whole while a window
	// begins within it.
	sent  [windowSlices + 1]int32
	total int32
}

// add counts requests in a slice.
func (w *window) add(slice int64, n int) {
	w.turn(slice)
	w.sent[w.at%int64(len(w.sent))] += int32(n)
	w.total += int32(n)
}

// sum returns what was sent in the window that ends in a slice.
func (w *window) sum(slice int64) int32 {
	w.turn(slice)
	return w.total
}

// turn forgets slices that are over.
func (w *window) turn(slice int64) {
	for steps := min(slice-w.at, int64(len(w.sent))); steps > 0; steps-- {
		i := (slice - steps + 1) % int64(len(w.sent))
		w.total -= w.sent[i]
		w.sent[i] = 0
	}
	w.at = max(w.at, slice)
}
