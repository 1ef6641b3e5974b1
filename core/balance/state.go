package balance

import (
	"time"

	"auburnlatch/core/target"
	"auburnlatch/core/throttle"
)

// Load is what an upstream says of itself in an answer.
type Load struct {
	Running, Waiting, Slots int
}

// state is what this VM knows of one target from its own requests.
type state struct {
	*target.Target
	seed uint64
	// usual is what all targets of its service are like.
	usual *serviceStats
	off   *[mechanisms]bool
	// others is the usual use of its service's targets in its region.
	others *crowd
	// weight is the target's part of its region's objects.
	weight float64
	// region is the index of its region in its pool, and index its own.
	region, index int
	// counted is how many slots its region has of it.
	counted int
	// gone says that the target is not registered any more.
	gone bool
	// signals are what the target said of itself in answers, and signalled says that they may
	// keep requests from it.
	signals   *signals
	signalled bool
	// place is this VM's in the order of those that may send to the target while it names a
	// limit.
	place throttle.Place

	*history
}

// history is what came of this VM's requests to a target.
type history struct {
	inFlight int
	// reported is the target's own word, as of reportedAt.
	reported   Load
	reportedAt time.Time
	// latency is the moving average of the time to an answer.
	latency time.Duration
	answers int
	// service is the moving average of the time an answer takes once it is the
	// request's turn.
	service time.Duration
	// failing is the moving average of failures, 0 to 1.
	failing float64
	// quietSince is when the oldest unanswered request was sent at the latest;
	// zero with nothing in flight.
	quietSince   time.Time
	ejectedUntil time.Time
	ejections    int
	lastTrial    time.Time
	lastCold     time.Time
}

// noHistory is the history of targets that were sent nothing, most of all where there are
// thousands. It is only read.
var noHistory history

// ownHistory gives the target a history of its own, to be changed.
func (s *state) ownHistory() {
	if s.history == &noHistory {
		s.history = &history{}
	}
}

// Tuning of what is believed of an upstream.
const (
	// sampleWeight is the weight of the newest sample in the averages: about
	// the last five count.
	sampleWeight = 0.2
	// failingAbove is the share of failures at which an upstream is left alone.
	// One that fails half of its requests shows it within four.
	failingAbove = 0.4
	// refusalCounts is what a refusal without need counts for, of a failure: it is
	// told at once and costs a round trip. Counted whole, upstreams that all refused
	// half of what they were sent were left alone in turn, and each object was new
	// to two or three of them. Just above failingAbove, so that one that refuses
	// fourteen times in a row is left alone all the same.
	refusalCounts = 0.42
	// firstEjection and maxEjection bound how long an upstream that fails is
	// left alone; the time doubles with each ejection in a row. Three heartbeats
	// later a dead one is off the register anyway.
	firstEjection = time.Second
	maxEjection   = 4 * time.Second
	// slowFactor is how many times the service's usual latency makes an
	// upstream an outlier. Objects that are new to an upstream take up to 3.3
	// times as long.
	slowFactor = 4
	// slowAtLeast keeps fast services from ejecting on noise.
	slowAtLeast = 150 * time.Millisecond
	// minAnswers is how many answers a latency has to rest on.
	minAnswers = 4
	// silentFactor and silentAtLeast say when an upstream that answers nothing
	// counts as silent: 5 times its latency, half a second at least, and never
	// before the service's answers usually come, see serviceStats.
	silentFactor  = 5
	silentAtLeast = 500 * time.Millisecond
	// trialEvery is how often a suspect upstream is sent one request.
	trialEvery = time.Second
	// reportMemory is how long a reported load counts, falling linearly.
	reportMemory = time.Second
)

// busy estimates how many requests the target has, running and waiting: its own
// last word while that is fresh, and what this VM has under way at least.
//
// Of a target that has said nothing lately it assumes the use that others of its
// service and region report. Where many VMs share many targets that is most of
// them, and to take them for idle sent every request whose owner was full to any of
// them, however full they all were.
func (s *state) busy(now time.Time) float64 {
	trust := max(0, 1-float64(now.Sub(s.reportedAt))/float64(reportMemory))
	told := trust*float64(s.reported.Running+s.reported.Waiting) + (1-trust)*s.others.use(now)*float64(s.Slots)
	return max(float64(s.inFlight), told)
}

// crowd is the use of a service's targets in one region, by their own reports.
type crowd struct {
	average float64 // Requests for each slot, running and waiting.
	at      time.Time
}

const (
	// crowdWeight is the weight of the newest report: about the last twenty count.
	crowdWeight = 0.05
	// crowdMemory is how long the average counts without a report, falling linearly.
	crowdMemory = 3 * time.Second
)

func (c *crowd) take(now time.Time, l Load) {
	if l.Slots <= 0 {
		return
	}
	c.average = c.use(now) + crowdWeight*(float64(l.Running+l.Waiting)/float64(l.Slots)-c.use(now))
	c.at = now
}

func (c *crowd) use(now time.Time) float64 {
	return c.average * max(0, 1-float64(now.Sub(c.at))/float64(crowdMemory))
}

// expected estimates how long an answer takes if the request is sent now:
// the round trip, the wait for a slot, and the work.
func (s *state) expected(now time.Time, roundTrip time.Duration) time.Duration {
	waiting := max(0, s.busy(now)+1-float64(s.Slots))
	return roundTrip + s.service + time.Duration(waiting/float64(s.Slots)*float64(s.service))
}

// silent reports whether requests are under way and nothing has come back for
// too long, as from a host without power: it sends no reset.
func (s *state) silent(now time.Time) bool {
	if s.off[SilentSuspects] || s.inFlight == 0 || s.quietSince.IsZero() {
		return false
	}
	return now.Sub(s.quietSince) > s.silentAfter()
}

// silentAfter is the time beyond which no answer is to be expected. A target
// with a long queue answers late but answers, so its latency is high and nothing
// is held against it; one that lets some requests hang answers the others as
// fast as ever.
//
// Where many VMs share many targets, a VM knows nothing of most of them. Judged by
// half a second alone, each that works on an object that is new to it looked
// dead wherever that takes longer; the object went to the next target, was new
// there too, and everything stayed new everywhere for as long as the load lasted.
func (s *state) silentAfter() time.Duration {
	return max(silentAtLeast, silentFactor*s.latency, s.usual.late())
}

// suspect reports whether the target should be left alone; usual is the
// service's usual latency.
func (s *state) suspect(now time.Time, usual time.Duration) bool {
	if now.Before(s.ejectedUntil) || s.silent(now) {
		return true
	}
	return !s.off[SlowSuspects] && s.answers >= minAnswers && usual > 0 && s.latency > max(slowAtLeast, slowFactor*usual)
}

// answered takes in an answer of whatever status.
func (s *state) answered(now time.Time, took time.Duration, ahead float64) {
	turn := float64(s.Slots) / max(float64(s.Slots), ahead+1)
	s.service += time.Duration(sampleWeight * (float64(took)*turn - float64(s.service)))
	if s.latency == 0 {
		s.latency = took
	}
	s.latency += time.Duration(sampleWeight * float64(took-s.latency))
	s.answers++
	s.usual.answered(took)
	s.quietSince = now
}

// judge takes in how much a request failed by the target's fault, 0 to 1.
func (s *state) judge(now time.Time, failed float64, unreachable bool) {
	s.failing += sampleWeight * (failed - s.failing)
	if failed == 0 {
		if s.failing < failingAbove/2 {
			s.ejections = 0
		}
		return
	}
	if !unreachable && s.failing < failingAbove || now.Before(s.ejectedUntil) {
		return
	}
	s.ejectedUntil = now.Add(min(maxEjection, firstEjection<<s.ejections))
	s.ejections = min(s.ejections+1, 4)
	s.failing = failingAbove / 2
}
