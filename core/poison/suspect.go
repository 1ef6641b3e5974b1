package poison

import (
	"slices"
	"time"

	"auburnlatch/core/verdict"
)

const (
	// banThreshold is how many consecutive runs have to crash their upstream before a ban:
	// the fewest that rule out chance. Of the requests in flight while a tenth of a
	// service's upstreams crash by themselves, one in a thousand sees three such crashes in
	// a row.
	banThreshold = 3
	// exclusiveAfter is how many sequential crashes restrict a request to exclusive trials,
	// and exclusiveAfterTotal how many in all. After a single crash most suspects are
	// innocent: of a popular request, all runs but one would be rejected until the first is
	// answered.
	exclusiveAfter      = 2
	exclusiveAfterTotal = 3
	// minCrashGap is how much later than another a crash has to be seen to be consecutive
	// if the runs overlap. Upstreams that crash together, as by one fault, are seen to
	// crash at most two one-way trips between regions apart, 0.11 s.
	minCrashGap = 200 * time.Millisecond
	// trialTimeout is how long an exclusive trial blocks others, at every VM, until its
	// result is known: a response clears the request, a crash counts. With a proxy in front
	// of an upstream only its registration shows the crash, a second or two later.
	trialTimeout = 2 * time.Second
	// settleTime is the wait between the last crash of a request and the decision on a ban,
	// so that what other VMs saw has arrived: a probe of the upstream's address and a
	// datagram, each once across regions, 0.17 s. The request is rejected meanwhile.
	settleTime = 400 * time.Millisecond
	// staggerWindow is the time after the last trial over which VMs stagger the next one.
	// Otherwise a request that arrives at two VMs at the same moment would be tried by both
	// before either learns of the other's trial: a message between regions takes 0.06 s, and
	// the trials of twelve VMs are twice that apart.
	staggerWindow = 1600 * time.Millisecond
	// trialRetryAfter is when to retry a request that is already on trial: about the time
	// that a response takes.
	trialRetryAfter = 250 * time.Millisecond
	// maxCrashes bounds the crashes that are kept of one request. More than banThreshold
	// are needed only if two requests always arrive together.
	maxCrashes = 16
)

// suspect is a request that was in flight when upstreams crashed.
type suspect struct {
	// crashes are its runs during which the upstream crashed, ordered by Run.Ended, one for
	// each incarnation.
	crashes []Run
	learned time.Time // When this VM learned of the latest of them.
	// observed says that this VM saw one of them itself. Only such VMs, which are few,
	// propagate the ban; the others decide by the same news and would only repeat it.
	observed bool
	// trialAt is when the request was last on an exclusive trial, or zero if the result is
	// known. trialTarget is the ID of the upstream.
	trialAt     time.Time
	trialTarget string
}

// lastCrash returns the time of the last crash, or zero if there is none.
func (s *suspect) lastCrash() time.Time {
	if len(s.crashes) == 0 {
		return time.Time{}
	}
	return s.crashes[len(s.crashes)-1].Ended
}

// crashesSince returns the crashes after t.
func (s *suspect) crashesSince(t time.Time) []Run {
	i := slices.IndexFunc(s.crashes, func(r Run) bool { return r.Ended.After(t) })
	if i < 0 {
		return nil
	}
	return s.crashes[i:]
}

// tally counts the crashes that are not attributed to a ban.
type tally struct {
	total int
	// sequential counts crashes whose run began after the previous crash, or that came
	// minCrashGap or more after it.
	sequential int
	// consecutive counts those among them that a ban may be based on. Runs that were over
	// before count only if they were exclusive trials: with many callers, a request is
	// answered or abandoned at any time.
	consecutive int
	// proven says that there are enough consecutive crashes for a ban, and that an
	// exclusive trial was among the last.
	proven bool
}

// needsExclusive reports whether the request is restricted to exclusive trials.
func (t tally) needsExclusive() bool {
	return t.sequential >= exclusiveAfter || t.total >= exclusiveAfterTotal
}

// follows reports whether the crash during r cannot have had the same cause as one at last.
func (r Run) follows(last time.Time) bool {
	return !r.Began.Before(last) || r.Ended.Sub(last) >= minCrashGap
}

// tally counts crashes, which are ordered by time.
func (l *Ledger) tally(crashes []Run) (t tally) {
	var lastSequential, lastConsecutive time.Time
	for _, r := range crashes {
		if l.isAttributed(r.Target) {
			continue
		}
		t.total++
		if r.follows(lastSequential) {
			t.sequential++
			lastSequential = r.Ended
		}
		if r.evidence() == 0 {
			continue
		}
		if r.follows(lastConsecutive) {
			t.consecutive++
			lastConsecutive = r.Ended
		}
		t.proven = t.proven || t.consecutive >= banThreshold && r.Alone
	}
	return t
}

// Trial is a run of a suspected request. It is nil for a request that is not suspected.
type Trial struct {
	ledger *Ledger
	print  Print
	target string // The ID of its upstream, empty until it is known.
	// unresolved says that there was no response, and that it is not yet known whether the
	// upstream crashed.
	unresolved bool
	// Alone says that the trial is exclusive: it is the only run of its request in flight,
	// and must run at an upstream without another trial. Other trials only prefer one.
	Alone bool
}

// Admit decides whether a request may be sent to an upstream now. If not, it returns an error
// with the verdict NotRun.
func (l *Ledger) Admit(now time.Time, p Print) (*Trial, *verdict.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.activeBan(now, p); b != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonQuarantined, b.remaining(now))
	}
	s := l.suspects[p]
	if s == nil {
		return nil, nil
	}
	count := l.tally(s.crashes)
	switch {
	case count.total == 0:
		return nil, nil
	case count.needsExclusive() && l.onTrial(now, p, s):
		return nil, verdict.New(verdict.NotRun, verdict.ReasonQuarantined, trialRetryAfter)
	case count.needsExclusive() && now.Before(l.nextTrial(now, p, s)):
		return nil, verdict.New(verdict.NotRun, verdict.ReasonQuarantined, l.nextTrial(now, p, s).Sub(now))
	case count.consecutive >= banThreshold && now.Sub(s.learned) < settleTime:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonQuarantined, settleTime-now.Sub(s.learned))
	case count.consecutive >= banThreshold:
		l.evaluate(now)
		if b := l.activeBan(now, p); b != nil {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonQuarantined, b.remaining(now))
		}
	}
	t := &Trial{ledger: l, print: p, Alone: count.needsExclusive()}
	l.trials[t] = true
	return t, nil
}

// nextTrial returns when this VM may start an exclusive trial of a suspect.
func (l *Ledger) nextTrial(now time.Time, p Print, s *suspect) time.Time {
	from := s.learned
	if over := s.trialAt.Add(trialTimeout); !s.trialAt.IsZero() && over.After(from) {
		from = over
	}
	return from.Add(time.Duration(l.trialOffset(now, p) * float64(staggerWindow)))
}

// onTrial reports whether a request is on trial, at this VM or another.
func (l *Ledger) onTrial(now time.Time, p Print, s *suspect) bool {
	if s.awaitsResult(now) {
		return true
	}
	for t := range l.trials {
		if t.print == p {
			return true
		}
	}
	return false
}

// awaitsResult reports whether the result of the last exclusive trial is not yet known.
func (s *suspect) awaitsResult(now time.Time) bool {
	return !s.trialAt.IsZero() && now.Sub(s.trialAt) < trialTimeout
}

// Avoid returns the IDs of the upstreams at which other suspects are in flight.
func (t *Trial) Avoid(now time.Time) []string {
	if t == nil {
		return nil
	}
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	var ids []string
	for other := range t.ledger.trials {
		if other.print != t.print && other.target != "" {
			ids = append(ids, other.target)
		}
	}
	for p, s := range t.ledger.suspects {
		if p != t.print && s.awaitsResult(now) {
			ids = append(ids, s.trialTarget)
		}
	}
	return ids
}

// At sets the ID of the upstream at which the trial runs.
func (t *Trial) At(target string) {
	if t == nil {
		return
	}
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	t.target = target
	if s := t.ledger.suspects[t.print]; s != nil && t.Alone {
		s.trialTarget = target
		t.announce(target)
	}
}

// announce reports to other VMs at which upstream the trial runs, or with an empty target that
// it is over without a result.
func (t *Trial) announce(target string) {
	t.ledger.queueNews(func(n *News) { n.Tried = append(n.Tried, TrialUpdate{t.print, target}) })
}

// Done ends the trial. Its result has to be recorded before.
func (t *Trial) Done() {
	if t == nil {
		return
	}
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	delete(t.ledger.trials, t)
	if t.Alone && t.target != "" && !t.unresolved {
		t.announce("")
	}
}

// clear removes a request from the suspects.
func (l *Ledger) clear(p Print) {
	if l.suspects[p] != nil {
		delete(l.suspects, p)
		l.releaseHead(p)
	}
}

// suspect returns the suspect of a request, creating it and making room for it if needed.
func (l *Ledger) suspect(now time.Time, p Print) *suspect {
	s := l.suspects[p]
	if s != nil {
		return s
	}
	if len(l.suspects) >= maxSuspects {
		l.evictSuspect()
	}
	s = &suspect{learned: now}
	l.suspects[p] = s
	l.heads[p.Head]++
	return s
}

// evictSuspect drops the suspect whose latest crash this VM learned of the longest time ago.
func (l *Ledger) evictSuspect() {
	var oldest Print
	var found *suspect
	for p, s := range l.suspects {
		if found == nil || s.learned.Before(found.learned) {
			oldest, found = p, s
		}
	}
	l.dropped.Suspects++
	l.clear(oldest)
}

func (l *Ledger) releaseHead(p Print) {
	if l.heads[p.Head]--; l.heads[p.Head] <= 0 {
		delete(l.heads, p.Head)
	}
}

// implicateAll records that an upstream crashed during runs of this VM.
func (l *Ledger) implicateAll(now time.Time, runs []Run) {
	for _, r := range runs {
		l.implicate(now, r)
		if s := l.suspects[r.Print]; s != nil {
			s.observed = true
		}
		l.queueNews(func(n *News) { n.Runs = append(n.Runs, r) })
	}
}

// markUnresolved records that an exclusive trial had no response, and that it is not yet known
// whether its upstream crashed.
func (l *Ledger) markUnresolved(now time.Time, r Run) {
	s := l.suspects[r.Print]
	if s == nil || !r.Alone {
		return
	}
	s.trialAt = now
	for t := range l.trials {
		if t.print == r.Print && t.Alone {
			t.unresolved = true
			t.announce(t.target)
		}
	}
}

// implicate counts a crash against the request of a run, unless a later run cleared it: a crash
// may show only seconds later if a proxy accepts connections for crashed upstreams.
func (l *Ledger) implicate(now time.Time, r Run) {
	if c, ok := l.cleared[r.Print]; ok && !r.Ended.After(c.Began) {
		return
	}
	if l.activeBan(now, r.Print) != nil {
		l.attribute(now, r.Target)
		return
	}
	s := l.suspect(now, r.Print)
	if i := slices.IndexFunc(s.crashes, func(old Run) bool { return old.Target == r.Target }); i >= 0 {
		if s.crashes[i].evidence() >= r.evidence() {
			return
		}
		s.crashes = slices.Delete(s.crashes, i, i+1)
	}
	at, _ := slices.BinarySearchFunc(s.crashes, r, func(a, b Run) int { return a.Ended.Compare(b.Ended) })
	s.crashes = slices.Insert(s.crashes, at, r)
	if len(s.crashes) > maxCrashes {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	s.learned, s.trialAt = now, time.Time{}
}

// attribute records that a banned request crashed an upstream.
func (l *Ledger) attribute(now time.Time, target string) {
	if !l.isAttributed(target) && len(l.attributed) >= maxAttributed {
		l.dropped.Ends++ // The crash still counts against other requests, whose trials clear them.
		return
	}
	l.attributed[target] = now
}

func (l *Ledger) isAttributed(target string) bool {
	_, ok := l.attributed[target]
	return ok
}
