package poison

import (
	"slices"
	"time"

	"auburnlatch/core/verdict"
)

const (
	// banAfter is how many runs in a row have to end their upstream: as few as can
	// rule out chance. Of requests under way at a moment in which a tenth of a service's
	// upstreams end by themselves one in a thousand sees three such ends in a row.
	banAfter = 3
	// aloneAfter is how many ends in a row have a request tried one run at a time, and
	// not beside another suspect; so do aloneEnds at any time. After one most are
	// innocent: of a look-up that many ask for at once all but one run would be refused
	// until the first is answered.
	aloneAfter = 2
	aloneEnds  = 3
	// apart is how much later than another an end has to be seen to be one in a row
	// though the runs overlap. Upstreams that end together, as by one fault, are seen to
	// end at most two trips between regions apart, 0.11 s.
	apart = 200 * time.Millisecond
	// tryFor is how long a trial holds others back, wherever it runs, until what came of
	// it is known: an answer clears the request, an end counts. Where something stands
	// before an upstream only its register tells of the end, a second or two later.
	tryFor = 2 * time.Second
	// settleFor is how long after the last of them is waited before a request is judged,
	// so that what other VMs saw has arrived: a question at the upstream's address and a
	// datagram, each once across regions, 0.17 s. The request is refused meanwhile.
	settleFor = 400 * time.Millisecond
	// turnsFor is the time over which the VMs' turns for a trial are spread, from when the
	// last one came to an end. Requests that come to two VMs at the same moment would else
	// be tried at both, before either has heard of the other's: a message between regions
	// takes 0.06 s, and twelve VMs' turns are twice that apart.
	turnsFor = 1600 * time.Millisecond
	// trialWait is when a request should come back that is being tried already: about
	// what an answer takes.
	trialWait = 250 * time.Millisecond
	// maxHeld bounds the ends that are held against one request. More than banAfter are
	// needed only where two requests always come together.
	maxHeld = 16
)

// suspect is a request under which upstreams ended.
type suspect struct {
	// ends are its runs that ended with their upstream, by when they ended, one for
	// each incarnation.
	ends []Run
	last time.Time // When the newest of them was learned.
	// seen says that this VM saw one of them itself. Those few tell of the ban; the
	// others judge by what they were told, and would only say it once more.
	seen bool
	// triedAt is when the request was last tried by itself, zero where it is known what
	// came of it, and triedOn the ID of the upstream.
	triedAt time.Time
	triedOn string
}

// lastEnd returns when the last of the ends came, zero where there is none.
func (s *suspect) lastEnd() time.Time {
	if len(s.ends) == 0 {
		return time.Time{}
	}
	return s.ends[len(s.ends)-1].Ended
}

// endsSince returns the ends that came after a time.
func (s *suspect) endsSince(t time.Time) []Run {
	i := slices.IndexFunc(s.ends, func(r Run) bool { return r.Ended.After(t) })
	if i < 0 {
		return nil
	}
	return s.ends[i:]
}

// tally is what the ends come to that no ban explains.
type tally struct {
	all int
	// inRow is how many are in a row: each run was begun after the one before had
	// ended, or its upstream ended well after that one's. Answered runs count only as
	// trials by themselves: many callers of one request have it answered at any time.
	inRow int
	// proven says that a trial by itself was among the last of enough to ban it.
	proven bool
}

// alone reports whether the request is to be tried one run at a time.
func (t tally) alone() bool { return t.inRow >= aloneAfter || t.all >= aloneEnds }

// tally counts ends, which are in the order of their time.
func (l *Ledger) tally(ends []Run) (t tally) {
	var last time.Time
	for _, r := range ends {
		if l.isExplained(r.Target) {
			continue
		}
		t.all++
		if r.evidence() == 0 {
			continue
		}
		if !r.Began.Before(last) || r.Ended.Sub(last) >= apart {
			t.inRow++
			last = r.Ended
		}
		t.proven = t.proven || t.inRow >= banAfter && r.Alone
	}
	return t
}

// Trial is a run of a request that is suspected. A nil Trial is one of a request that
// is not.
type Trial struct {
	ledger *Ledger
	print  Print
	target string // The ID of its upstream, "" before it is known.
	// open says that it brought no answer, and that it is not known yet whether its
	// upstream ended.
	open bool
	// Alone says that it is the only run of its request under way, and has to be at an
	// upstream where no other trial is; else it only had better not.
	Alone bool
}

// Admit decides whether a request may be sent to an upstream now. It returns an error
// with the verdict NotRun where it may not.
func (l *Ledger) Admit(now time.Time, p Print) (*Trial, *verdict.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.active(now, p); b != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonQuarantined, b.until(now))
	}
	s := l.suspects[p]
	if s == nil {
		return nil, nil
	}
	held := l.tally(s.ends)
	switch {
	case held.all == 0:
		return nil, nil
	case held.alone() && l.tried(now, p, s):
		return nil, verdict.New(verdict.NotRun, verdict.ReasonQuarantined, trialWait)
	case held.alone() && now.Before(l.turnOf(now, p, s)):
		return nil, verdict.New(verdict.NotRun, verdict.ReasonQuarantined, l.turnOf(now, p, s).Sub(now))
	case held.inRow >= banAfter && now.Sub(s.last) < settleFor:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonQuarantined, settleFor-now.Sub(s.last))
	case held.inRow >= banAfter:
		l.judge(now)
		if b := l.active(now, p); b != nil {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonQuarantined, b.until(now))
		}
	}
	t := &Trial{ledger: l, print: p, Alone: held.alone()}
	l.trials[t] = true
	return t, nil
}

// turnOf returns when this VM may try a suspect by itself.
func (l *Ledger) turnOf(now time.Time, p Print, s *suspect) time.Time {
	from := s.last
	if over := s.triedAt.Add(tryFor); !s.triedAt.IsZero() && over.After(from) {
		from = over
	}
	return from.Add(time.Duration(l.turn(now, p) * float64(turnsFor)))
}

// tried reports whether a request is being tried, here or by another VM.
func (l *Ledger) tried(now time.Time, p Print, s *suspect) bool {
	if s.triedLately(now) {
		return true
	}
	for t := range l.trials {
		if t.print == p {
			return true
		}
	}
	return false
}

// triedLately reports whether it is not known yet what came of the last trial by itself.
func (s *suspect) triedLately(now time.Time) bool {
	return !s.triedAt.IsZero() && now.Sub(s.triedAt) < tryFor
}

// Avoid returns the IDs of the upstreams at which other suspects are under way.
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
		if p != t.print && s.triedLately(now) {
			ids = append(ids, s.triedOn)
		}
	}
	return ids
}

// At tells at which upstream the trial runs, by its ID.
func (t *Trial) At(target string) {
	if t == nil {
		return
	}
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	t.target = target
	if s := t.ledger.suspects[t.print]; s != nil && t.Alone {
		s.triedOn = target
		t.tell(target)
	}
}

// tell tells other VMs at which upstream the trial runs; "": it is over, and came to
// nothing.
func (t *Trial) tell(target string) {
	t.ledger.addNews(func(n *News) { n.Tried = append(n.Tried, Try{t.print, target}) })
}

// Done ends the trial, after what came of it has been told.
func (t *Trial) Done() {
	if t == nil {
		return
	}
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	delete(t.ledger.trials, t)
	if t.Alone && t.target != "" && !t.open {
		t.tell("")
	}
}

// clear forgets what was held against a request.
func (l *Ledger) clear(p Print) {
	if l.suspects[p] != nil {
		delete(l.suspects, p)
		l.forgetHead(p)
	}
}

// suspect returns what is held against a request, making room where it is new.
func (l *Ledger) suspect(now time.Time, p Print) *suspect {
	s := l.suspects[p]
	if s != nil {
		return s
	}
	if len(l.suspects) >= maxSuspects {
		l.dropSuspect()
	}
	s = &suspect{last: now}
	l.suspects[p] = s
	l.heads[p.Head]++
	return s
}

// dropSuspect forgets the request that was suspected longest ago.
func (l *Ledger) dropSuspect() {
	var oldest Print
	var found *suspect
	for p, s := range l.suspects {
		if found == nil || s.last.Before(found.last) {
			oldest, found = p, s
		}
	}
	l.dropped.Suspects++
	l.clear(oldest)
}

func (l *Ledger) forgetHead(p Print) {
	if l.heads[p.Head]--; l.heads[p.Head] <= 0 {
		delete(l.heads, p.Head)
	}
}

// endedUnder takes in that an upstream ended under runs of this VM.
func (l *Ledger) endedUnder(now time.Time, runs []Run) {
	for _, r := range runs {
		l.hold(now, r)
		if s := l.suspects[r.Print]; s != nil {
			s.seen = true
		}
		l.addNews(func(n *News) { n.Runs = append(n.Runs, r) })
	}
}

// unsettled notes that a trial by itself brought no answer, and that it is not known yet
// whether its upstream ended.
func (l *Ledger) unsettled(now time.Time, r Run) {
	s := l.suspects[r.Print]
	if s == nil || !r.Alone {
		return
	}
	s.triedAt = now
	for t := range l.trials {
		if t.print == r.Print && t.Alone {
			t.open = true
			t.tell(t.target)
		}
	}
}

// hold holds an end against a request, unless a later run cleared it: an end may show
// seconds later, where something takes connections for upstreams that have ended.
func (l *Ledger) hold(now time.Time, r Run) {
	if c, ok := l.cleared[r.Print]; ok && !r.Ended.After(c.Began) {
		return
	}
	if l.active(now, r.Print) != nil {
		l.explain(now, r.Target)
		return
	}
	s := l.suspect(now, r.Print)
	if i := slices.IndexFunc(s.ends, func(old Run) bool { return old.Target == r.Target }); i >= 0 {
		if s.ends[i].evidence() >= r.evidence() {
			return
		}
		s.ends = slices.Delete(s.ends, i, i+1)
	}
	at, _ := slices.BinarySearchFunc(s.ends, r, func(a, b Run) int { return a.Ended.Compare(b.Ended) })
	s.ends = slices.Insert(s.ends, at, r)
	if len(s.ends) > maxHeld {
		s.ends = slices.Delete(s.ends, 0, 1)
	}
	s.last, s.triedAt = now, time.Time{}
}

// explain notes that a banned request ended an upstream.
func (l *Ledger) explain(now time.Time, target string) {
	if !l.isExplained(target) && len(l.explained) >= maxExplained {
		l.dropped.Ends++ // It stays held against the others, whose trials clear them.
		return
	}
	l.explained[target] = now
}

func (l *Ledger) isExplained(target string) bool {
	_, ok := l.explained[target]
	return ok
}
