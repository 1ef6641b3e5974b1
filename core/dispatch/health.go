package dispatch

import (
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/verdict"
)

// Health is the health state of an upstream.
type Health int

const (
	// Unknown upstreams may have just started, as far as this VM knows. They get requests, and
	// their load is increased gradually until a probe says what state they are in.
	Unknown Health = iota
	Up
	Down
	// Leaving upstreams finish the requests they have and get no new ones.
	Leaving
	// Cold upstreams have just started; their load is increased gradually.
	Cold
)

// String returns the state's name.
func (h Health) String() string {
	switch h {
	case Unknown:
		return "Unknown"
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

// ParseHealth returns the state named s, which is never Unknown. An unknown name is Up.
func ParseHealth(s string) Health {
	for _, h := range []Health{Down, Leaving, Cold} {
		if s == h.String() {
			return h
		}
	}
	return Up
}

const (
	// WarmUp is how long a cold or unknown upstream takes to reach its full share.
	WarmUp = 20 * time.Second
	// maxFailures is how many requests must fail in a row before the upstream
	// is Down.
	maxFailures = 3
	// downRetryInterval is the time after which a Down upstream gets a request
	// again, whatever the probes report, since the probes may be wrong.
	downRetryInterval = 5 * time.Second
	// minUpShare is the share of a service's upstreams that must not be Down
	// for the Down state of the others to count. When more than half appear
	// Down at once, the checks are more likely at fault than the upstreams.
	minUpShare = 0.5
	// latencyWeight is the weight of the newest sample in the moving average.
	latencyWeight = 0.2
)

// Sample is the outcome of one request to an upstream.
type Sample struct {
	// Err is nil if the upstream answered, with any status.
	Err error
	// Shed reports that the upstream refused for lack of capacity.
	Shed bool
	// Pause is how long the upstream asks to get no requests from this VM, or
	// 0 if it does not say.
	Pause time.Duration
	Took  time.Duration
}

// observe records the outcome of a request. It takes precedence over probes:
// an upstream that answers requests is up.
func (a *allocation) observe(now time.Time, s Sample) {
	if until := now.Add(s.Pause); s.Pause > 0 && until.After(a.pausedUntil) {
		a.pausedUntil = until
	}
	switch {
	case s.Err == nil && !s.Shed:
		a.failures = 0
		a.latency = movingAverage(a.latency, s.Took)
		if a.state == Down {
			a.setState(now, Up)
		}
	case s.Err != nil && verdict.As(s.Err).Reason != verdict.ReasonCanceled:
		a.failures++
		switch {
		case a.state == Leaving:
		case a.failures >= maxFailures:
			a.setState(now, Down)
		case lostConnection(s.Err):
			a.doubt(now)
		}
	}
}

// lostConnection reports whether an error is that a connection broke or could not be opened, as
// when the upstream's process has ended.
func lostConnection(err error) bool {
	var e *verdict.Error
	return errors.As(err, &e) && (e.Reason == verdict.ReasonBroken || e.Reason == verdict.ReasonUnreachable)
}

// doubt records that the upstream may have started again, so that what was known of it does not
// apply any more.
func (a *allocation) doubt(now time.Time) {
	if a.state != Down && a.state != Leaving {
		a.state, a.stateAt = Unknown, now
	}
}

// reportHealth records a reported state. Unknown means that nobody reports a state other than Up,
// which does not confirm that the upstream is up: those who reported that it is leaving may not be
// heard from any more. An unknown upstream is Up only as of a later time than that of the doubt.
// Only Leaving replaces a Down state that failed requests have caused within the last
// downRetryInterval.
func (a *allocation) reportHealth(now, asOf time.Time, state Health) {
	switch {
	case state == Unknown && (a.state == Up || a.state == Leaving):
		return
	case state == Up && a.state == Unknown && asOf.Before(a.stateAt):
		return
	}
	if a.state == Down && state != Leaving && now.Sub(a.stateAt) < downRetryInterval && a.failures >= maxFailures {
		return
	}
	if state != a.state {
		a.setState(now, state)
	}
}

// forgetHealth forgets what is known of the upstream: another one has its name.
func (a *allocation) forgetHealth(now time.Time) {
	a.state, a.stateAt, a.coldSince, a.failures, a.latency = Unknown, now, time.Time{}, 0, 0
	a.pausedUntil = time.Time{}
}

func (a *allocation) setState(now time.Time, state Health) {
	ended := a.state == Down || a.state == Leaving
	if state == Cold || ended && (state == Up || state == Unknown) {
		a.coldSince = now
	}
	if a.state == Down && state != Down {
		a.failures = 0
	}
	a.state, a.stateAt = state, now
}

// usable reports whether the upstream may get new requests. If trusted is
// false, a Down state is ignored.
func (a *allocation) usable(now time.Time, trusted bool) bool {
	if a.drained || a.state == Leaving || now.Before(a.pausedUntil) {
		return false
	}
	if a.state != Down || !trusted {
		return true
	}
	return now.Sub(a.stateAt) >= downRetryInterval && a.inUse == 0
}

func movingAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencyWeight*float64(sample-old))
}
