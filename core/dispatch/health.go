package dispatch

import (
	"time"

	"auburnlatch/core/verdict"
)

// Health is what is believed of an upstream.
type Health int

// The states of health. The zero value is Up: an upstream nobody has tried is
// tried.
const (
	Up Health = iota
	Down
	// Leaving upstreams finish what they have and get nothing new.
	Leaving
	// Cold upstreams have just started and get work little by little.
	Cold
)

// String returns the state's name.
func (h Health) String() string {
	switch h {
	case Down:
		return "Down"
	case Leaving:
		return "Leaving"
	case Cold:
		return "Cold"
	default:
		return "Up"
	}
}

// ParseHealth returns the state named s; an unknown name is Up.
func ParseHealth(s string) Health {
	for _, h := range []Health{Down, Leaving, Cold} {
		if s == h.String() {
			return h
		}
	}
	return Up
}

// Tuning of health.
const (
	// WarmUp is how long a cold upstream takes to its full share.
	WarmUp = 20 * time.Second
	// maxFailures of real requests in a row put an upstream Down.
	maxFailures = 3
	// retryDown is when a Down upstream is tried again by a real request,
	// whatever the probes say: their view may be wrong.
	retryDown = 5 * time.Second
	// trustAbove is the share of a service's upstreams that must look alive
	// for the evidence against the others to be believed. When more than half
	// look dead at once, the fault is likelier in the looking.
	trustAbove = 0.5
	// latencyWeight is the weight of the newest sample in the moving average.
	latencyWeight = 0.2
)

// Sample is the outcome of one request to an upstream.
type Sample struct {
	// Err is nil where the upstream answered, whatever the status.
	Err error
	// Shed says that the upstream refused for lack of capacity.
	Shed bool
	// Pause is for how long the upstream wants nothing of this VM; 0: it does not say.
	Pause time.Duration
	Took  time.Duration
}

// observe takes in the outcome of a real request, which outranks what probes
// say: an upstream that answers requests is up.
func (h *holding) observe(now time.Time, s Sample) {
	if until := now.Add(s.Pause); s.Pause > 0 && until.After(h.pausedUntil) {
		h.pausedUntil = until
	}
	switch {
	case s.Err == nil && !s.Shed:
		h.failures = 0
		h.latency = average(h.latency, s.Took)
		if h.state == Down {
			h.set(now, Up)
		}
	case s.Err != nil && verdict.As(s.Err).Reason != verdict.ReasonCanceled:
		h.failures++
		if h.failures >= maxFailures && h.state != Leaving {
			h.set(now, Down)
		}
	}
}

// probed takes in the outcome of a probe. A probe never lifts an upstream that
// real requests have just found down.
func (h *holding) probed(now time.Time, state Health) {
	if h.state == Down && state != Leaving && now.Sub(h.stateAt) < retryDown && h.failures >= maxFailures {
		return
	}
	if state != h.state {
		h.set(now, state)
	}
}

func (h *holding) set(now time.Time, state Health) {
	if state == Cold || (h.state == Down && state == Up) {
		h.coldSince = now
	}
	if state != Down {
		h.failures = 0
	}
	h.state, h.stateAt = state, now
}

// usable reports whether the upstream may get new work; trusting says whether
// the evidence that it is down counts.
func (h *holding) usable(now time.Time, trusting bool) bool {
	if h.drained || h.state == Leaving || now.Before(h.pausedUntil) {
		return false
	}
	if h.state != Down || !trusting {
		return true
	}
	return now.Sub(h.stateAt) >= retryDown && h.inUse == 0
}

func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencyWeight*float64(sample-old))
}
