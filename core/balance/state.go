package balance

import (
	"time"

	"auburnlatch/core/target"
	"auburnlatch/core/throttle"
)

// Load is the load that an upstream reports in a response, in requests.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes now, relative to the usual time; 0: not reported.
	Pace float64
}

// state is what this VM knows of one target.
type state struct {
	*target.Target
	seed uint64
	// serviceStats is over all targets of its service.
	serviceStats *serviceStats
	disabled     *[numMechanisms]bool
	// regionLoad is the mean load of its service's targets in its region.
	regionLoad *regionLoad
	// weight determines the target's share of its region's objects.
	weight float64
	// region is the index of its region in pool.regions, and index its own in pool.states.
	region, index int
	// countedSlots is its part of its region's slots in pool.regions.
	countedSlots int
	// gone means that the target is no longer registered.
	gone bool
	// coldUntil is until when it is cold by its response to a health check.
	coldUntil time.Time
	// signals are what the target reported about itself. restricted means that they may keep
	// requests from it.
	signals    *signals
	restricted bool
	// senderRank is this VM's rank among those that may send to the target while it names a
	// rate limit.
	senderRank throttle.Place

	*history
}

// history is the result of this VM's requests to a target.
type history struct {
	inFlight int
	// reported is the load that the target reported at reportedAt.
	reported   Load
	reportedAt time.Time
	// latency is the moving average of the time to a response.
	latency time.Duration
	answers int
	// serviceTime is the moving average of the time to a response without the wait for a slot.
	serviceTime time.Duration
	// failureRate is the moving average of failures, 0 to 1.
	failureRate float64
	// silentSince is the time of the last response, or of the first request in flight if that
	// is later; zero: none yet.
	silentSince  time.Time
	ejectedUntil time.Time
	ejections    int
	lastTrial    time.Time
	lastCold     time.Time
}

// emptyHistory is shared by the targets to which nothing was sent, which are most where there
// are thousands. It must not be changed.
var emptyHistory history

// ensureHistory gives the target a history of its own before a change.
func (s *state) ensureHistory() {
	if s.history == &emptyHistory {
		s.history = &history{}
	}
}

// Cold reports whether the target can handle few requests only, by its registration or by its response
// to a health check.
func (s *state) Cold(now time.Time) bool { return s.Target.Cold(now) || now.Before(s.coldUntil) }

// Parameters of the health and load estimates of an upstream.
const (
	// sampleWeight is the weight of the newest sample in the moving averages: about the last
	// five count.
	sampleWeight = 0.2
	// failureThreshold is the failure rate from which on an upstream is ejected. One that fails
	// half of its requests reaches it within four.
	failureThreshold = 0.4
	// refusalWeight is the weight of an unnecessary refusal relative to a failure: a refusal
	// comes at once and costs one round trip. When it counted in full and all upstreams refused
	// half of their requests, they were ejected in turn, and each object was new to two or
	// three of them. It is just above failureThreshold, so that an upstream that refuses
	// fourteen times in a row is still ejected.
	refusalWeight = 0.42
	// firstEjection and maxEjection bound how long a failing upstream is ejected; the time
	// doubles with each consecutive ejection. A dead upstream's registration expires after
	// three heartbeats anyway.
	firstEjection = time.Second
	maxEjection   = 4 * time.Second
	// slowFactor is the multiple of the service's median latency above which an upstream is an
	// outlier. Requests for objects that are new to an upstream take up to 3.3 times as long.
	slowFactor = 4
	// minSlowLatency keeps noise from making outliers of upstreams of fast services.
	minSlowLatency = 150 * time.Millisecond
	// minAnswers is the number of responses from which on a latency is used.
	minAnswers = 4
	// An upstream with requests in flight is silent after silentFactor times its latency
	// without a response, but not before minSilence, nor before the service's responses usually
	// arrive, see serviceStats.
	silentFactor = 5
	minSilence   = 500 * time.Millisecond
	// trialInterval is the minimum time between two trial requests to a suspect upstream.
	trialInterval = time.Second
	// reportTTL is how long a reported load counts, with linearly decreasing weight.
	reportTTL = time.Second
)

// outstanding estimates how many requests the target has, running and waiting: what it last
// reported, while that is recent, and at least what this VM has in flight.
//
// For a target without a recent report it assumes the utilization that others of its service
// and region report. Where many VMs share many targets, most targets have no recent report.
// When they were assumed to be idle, every request whose owner was full went to any of them,
// however full they all were.
func (s *state) outstanding(now time.Time) float64 {
	freshness := max(0, 1-float64(now.Sub(s.reportedAt))/float64(reportTTL))
	estimate := freshness*float64(s.reported.Running+s.reported.Waiting) + (1-freshness)*s.regionLoad.utilization(now)*float64(s.Slots)
	return max(float64(s.inFlight), estimate)
}

// regionLoad is the mean utilization of a service's targets in one region, as reported by them.
type regionLoad struct {
	mean float64 // Requests per slot, running and waiting.
	at   time.Time
}

const (
	// regionLoadWeight is the weight of the newest report: about the last twenty count.
	regionLoadWeight = 0.05
	// regionLoadTTL is how long the mean counts without a new report, with linearly decreasing
	// weight.
	regionLoadTTL = 3 * time.Second
)

func (r *regionLoad) observe(now time.Time, l Load) {
	if l.Slots <= 0 {
		return
	}
	r.mean = r.utilization(now) + regionLoadWeight*(float64(l.Running+l.Waiting)/float64(l.Slots)-r.utilization(now))
	r.at = now
}

func (r *regionLoad) utilization(now time.Time) float64 {
	return r.mean * max(0, 1-float64(now.Sub(r.at))/float64(regionLoadTTL))
}

// expectedLatency estimates how long a response takes if the request is sent now: the round
// trip, the wait for a slot, and the service time.
func (s *state) expectedLatency(now time.Time, rtt time.Duration) time.Duration {
	waiting := max(0, s.outstanding(now)+1-float64(s.Slots))
	return rtt + s.serviceTime + time.Duration(waiting/float64(s.Slots)*float64(s.serviceTime))
}

// silent reports whether requests are in flight and there has been no response for too long, as
// with a host that lost power: it sends no reset.
func (s *state) silent(now time.Time) bool {
	if s.disabled[SilentSuspects] || s.inFlight == 0 || s.silentSince.IsZero() {
		return false
	}
	return now.Sub(s.silentSince) > s.silenceTimeout()
}

// silenceTimeout is the time after which no response is expected. A target with a long queue
// responds late but does respond, so its latency is high and it is not silent; one that lets
// some requests hang responds to the others as fast as usual.
//
// Where many VMs share many targets, a VM has no latency for most of them. With minSilence
// alone, every target that worked longer than that on a new object seemed dead: the object
// moved to the next target, was new there too, and objects remained new everywhere for as long
// as the load lasted.
func (s *state) silenceTimeout() time.Duration {
	return max(minSilence, silentFactor*s.latency, s.serviceStats.lateAfter())
}

// suspect reports whether the target should be avoided: it is ejected, silent or much slower
// than median, the service's median latency.
func (s *state) suspect(now time.Time, median time.Duration) bool {
	if now.Before(s.ejectedUntil) || s.silent(now) {
		return true
	}
	return !s.disabled[SlowSuspects] && s.answers >= minAnswers && median > 0 && s.latency > max(minSlowLatency, slowFactor*median)
}

// recordAnswer records a response of whatever status.
func (s *state) recordAnswer(now time.Time, took time.Duration, ahead float64) {
	serviceFraction := float64(s.Slots) / max(float64(s.Slots), ahead+1)
	s.serviceTime += time.Duration(sampleWeight * (float64(took)*serviceFraction - float64(s.serviceTime)))
	if s.latency == 0 {
		s.latency = took
	}
	s.latency += time.Duration(sampleWeight * float64(took-s.latency))
	s.answers++
	s.serviceStats.observe(took)
	s.silentSince = now
}

// recordResult records how far a request failed through the target's fault, 0 (success) to 1.
func (s *state) recordResult(now time.Time, severity float64, unreachable bool) {
	s.failureRate += sampleWeight * (severity - s.failureRate)
	if severity == 0 {
		if s.failureRate < failureThreshold/2 {
			s.ejections = 0
		}
		return
	}
	if !unreachable && s.failureRate < failureThreshold || now.Before(s.ejectedUntil) {
		return
	}
	s.ejectedUntil = now.Add(min(maxEjection, firstEjection<<s.ejections))
	s.ejections = min(s.ejections+1, 4)
	s.failureRate = failureThreshold / 2
}
