package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnlatch/core/target"
)

// Evidence is what one VM tells others of its own newest request to an upstream that has failed
// it. Times are ages, as the VMs' clocks differ.
type Evidence struct {
	// Target and Born identify the incarnation.
	Target string
	Born   int64
	// Answered means that the upstream answers the VM again, which withdraws its evidence. Trial
	// means that the request is a trial without an outcome yet.
	Answered, Trial bool
	// SentAge is the time since the request was sent, and Age the time since its outcome.
	SentAge, Age time.Duration
}

const (
	// evidenceTTL is how long a failed request counts: as long as the longest ejection.
	evidenceTTL = maxEjection
	// maxSentAge is the greatest age of a request of which others are told.
	maxSentAge = time.Minute
	// corroborating is the number of VMs, this one included, whose requests must have failed.
	// One VM alone may have bad links.
	corroborating = 2
	// maxWords is how many VMs' evidence is kept for a target.
	maxWords = 8
	// maxToldShare is the share of a service's targets above which the evidence of one VM is
	// ignored: its own links are more likely at fault.
	maxToldShare = maxSuspectShare
	// probation is how long after its ejection a target gets only trial requests, unless one is
	// answered, here or at another VM.
	probation = 2 * time.Second
	// othersTrial is how long a VM leaves a target to another VM's trial: a common time limit of
	// requests, and the time until its outcome is told.
	othersTrial = 2500 * time.Millisecond
	// expiryFactor is the multiple of the usual response time from which on a request whose time
	// was over counts as failed. A request may have had little time left when it was sent.
	expiryFactor = 2
)

// attempt is the outcome of a request.
type attempt struct{ sentAt, endedAt time.Time }

// valid reports whether a failed attempt still counts.
func (a attempt) valid(now time.Time) bool {
	return !a.endedAt.IsZero() && now.Sub(a.endedAt) < evidenceTTL
}

// word is the evidence of another VM.
type word struct {
	vm string
	attempt
	answered bool
}

// Ejection is the ejection of a target by the evidence of several VMs.
type Ejection struct {
	Target *target.Target
	// VMs is the number of VMs whose newest requests it failed, this one included.
	VMs   int
	Until time.Time
}

// SetSharing sets for which services outcomes are shared with other VMs. enabled is given whether
// the service's upstreams report their pace; nil: for none.
func (b *Balancer) SetSharing(enabled func(paced bool) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sharing = enabled
}

// shares reports whether the service's outcomes are shared with other VMs.
func (b *Balancer) shares(p *pool) bool {
	return p != nil && b.sharing != nil && b.sharing(p.reportsPace)
}

// expired reports whether a request had no answer when its time was over, though it had more time
// than answers usually take and need not wait for a slot.
func (b *Balancer) expired(now time.Time, l Lease, o Outcome) bool {
	p := b.services[l.state.Service]
	return o.Expired && b.shares(p) && l.Ahead < float64(l.state.Slots) && now.Sub(l.sentAt) > max(minSilence, expiryFactor*p.medianLatency)
}

// recordAttempt records the outcome of an own request. A failure counts only if no request that
// was sent later has been answered: the work of a few requests takes long at any upstream.
func (b *Balancer) recordAttempt(now time.Time, l Lease, o Outcome) {
	s := l.state
	if s.gone || !b.shares(b.services[s.Service]) {
		return
	}
	switch {
	case l.sentAt.Before(s.answered.sentAt):
	case o.Failed:
		s.failed = attempt{l.sentAt, now}
		if !b.ejectCorroborated(now, s) && now.Before(s.ejectedUntil) {
			s.unprovenUntil = s.ejectedUntil.Add(probation)
		}
	case o.Answered:
		s.answered = attempt{l.sentAt, now}
		if s.recovered.sentAt.Before(s.failed.sentAt) && l.sentAt.After(s.failed.sentAt) {
			s.recovered = s.answered
			s.unprovenUntil = time.Time{}
		}
	}
}

// Evidence returns what others need to know of the own requests that ended within the last span.
// It is empty if nothing has failed, and for a service most of whose targets seem to fail.
func (b *Balancer) Evidence(now time.Time, span time.Duration) []Evidence {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Evidence
	for _, p := range b.services {
		if !b.shares(p) || p.ignoreSuspects {
			continue
		}
		for _, s := range p.states {
			if e, ok := s.evidence(now, span); ok {
				list = append(list, e)
			}
		}
	}
	return list
}

// evidence returns what others need to know of the target.
func (s *state) evidence(now time.Time, span time.Duration) (Evidence, bool) {
	e := Evidence{Target: s.ID, Born: s.Born}
	newest := s.failed
	switch {
	case s.recovered.sentAt.After(s.failed.sentAt):
		e.Answered, newest = true, s.recovered
	case now.Before(s.unprovenUntil) && s.lastTrial.After(s.failed.sentAt):
		e.Trial, newest = true, attempt{s.lastTrial, s.lastTrial}
	}
	e.SentAge, e.Age = now.Sub(newest.sentAt), now.Sub(newest.endedAt)
	return e, e.Age <= span
}

// MergeEvidence merges what another VM tells, and returns the ejections that follow. Evidence of
// incarnations that are not registered here is dropped.
func (b *Balancer) MergeEvidence(now time.Time, vm string, list []Evidence) (ejected []Ejection) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pools := make(map[*pool]bool)
	var failing []*state
	for _, e := range list {
		s := b.states[e.Target]
		if s == nil || s.Born != e.Born || e.Age < 0 || e.SentAge < e.Age || e.SentAge > maxSentAge || !b.shares(b.services[s.Service]) {
			continue
		}
		if e.Trial {
			s.triedElsewhere = now.Add(-e.SentAge)
			continue
		}
		s.hear(now, word{vm, attempt{now.Add(-e.SentAge), now.Add(-e.Age)}, e.Answered})
		if !e.Answered {
			failing = append(failing, s)
			pools[b.services[s.Service]] = true
		}
	}
	for p := range pools {
		p.limitBlame(now, vm)
	}
	for _, s := range failing {
		if b.ejectCorroborated(now, s) {
			failing, _ := s.blaming(now)
			ejected = append(ejected, Ejection{Target: s.Target, VMs: failing, Until: s.ejectedUntil})
		}
	}
	return ejected
}

// hear records the evidence of another VM unless there is newer evidence of it.
func (s *state) hear(now time.Time, told word) {
	i := slices.IndexFunc(s.words, func(w word) bool { return w.vm == told.vm })
	switch {
	case i >= 0 && s.words[i].sentAt.After(told.sentAt):
		return
	case i >= 0:
		s.words[i] = told
	default:
		s.words = slices.DeleteFunc(s.words, func(w word) bool { return !w.valid(now) })
		if len(s.words) == maxWords {
			return
		}
		s.words = append(s.words, told)
	}
	if told.answered && (!s.failedSince(told.sentAt) || !s.blamed(now)) {
		s.readmit(now)
	}
}

// failedSince reports whether the target failed a request that any VM sent after t.
func (s *state) failedSince(t time.Time) bool {
	return s.failed.sentAt.After(t) || slices.ContainsFunc(s.words, func(w word) bool { return !w.answered && w.sentAt.After(t) })
}

// readmit ends an ejection, as another VM's request has been answered meanwhile.
func (s *state) readmit(now time.Time) {
	if s.history == &emptyHistory {
		return
	}
	s.unprovenUntil = time.Time{}
	if now.Before(s.ejectedUntil) {
		s.ejectedUntil = now
	}
}

// limitBlame forgets the evidence of a VM that blames too many targets.
func (p *pool) limitBlame(now time.Time, vm string) {
	blames := func(w word) bool { return w.vm == vm && !w.answered && w.valid(now) }
	n := 0
	for _, s := range p.states {
		if slices.ContainsFunc(s.words, blames) {
			n++
		}
	}
	if float64(n) <= maxToldShare*float64(len(p.states)) {
		return
	}
	for _, s := range p.states {
		s.words = slices.DeleteFunc(s.words, blames)
	}
}

// blaming returns the number of VMs, this one included, whose newest requests the target failed,
// and the number of those that it answers again. An own request that was sent later and has been
// answered outweighs what others say.
func (s *state) blaming(now time.Time) (failing, recovered int) {
	switch {
	case s.failed.valid(now) && s.failed.sentAt.After(s.answered.sentAt):
		failing++
	case s.failed.valid(now):
		recovered++
	}
	for _, w := range s.words {
		switch {
		case !w.valid(now):
		case w.answered:
			recovered++
		case w.sentAt.After(s.answered.sentAt):
			failing++
		}
	}
	return failing, recovered
}

// blamed reports whether the evidence suffices to eject the target. One that fails some requests
// is worth more than one that has none of its objects loaded, so most VMs' requests must have failed.
func (s *state) blamed(now time.Time) bool {
	failing, recovered := s.blaming(now)
	return failing >= corroborating && failing > recovered
}

// ejectCorroborated ejects the target if it failed the requests of several VMs, and reports
// whether it did.
func (b *Balancer) ejectCorroborated(now time.Time, s *state) bool {
	if now.Before(s.ejectedUntil) || !s.blamed(now) {
		return false
	}
	s.ensureHistory()
	s.eject(now)
	// The VMs eject it at about the same time. Their ejections end at different times, so that
	// most hear of the first one's trial before they send their own.
	jitter := unit(xxhash.Sum64String(b.self), s.seed) - 0.5
	s.ejectedUntil = s.ejectedUntil.Add(time.Duration(jitter * float64(s.ejectedUntil.Sub(now))))
	s.unprovenUntil = s.ejectedUntil.Add(probation)
	return true
}

// forgetAttempts forgets the outcomes of all VMs' requests.
func (s *state) forgetAttempts() {
	s.words = nil
	if s.history != &emptyHistory {
		s.failed, s.answered, s.recovered, s.unprovenUntil = attempt{}, attempt{}, attempt{}, time.Time{}
	}
}
