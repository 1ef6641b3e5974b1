package poison

import (
	"slices"
	"time"
)

// Bounds of what is remembered of requests that brought no answer.
const (
	// runMemory is how long a request that brought no answer counts as under way at an
	// upstream whose end shows later: an end that no connection tells of shows with the
	// next request there, or when the upstream's registration lapses after three
	// heartbeats, which is read a second later at the most.
	runMemory = 8 * time.Second
	// livesOn is how much later than a run an upstream has to answer another before it
	// is clear that it outlived the run: what it had sent before its end may arrive
	// after its other connections ended, on a link that is choked.
	livesOn = 500 * time.Millisecond
	// endMemory is how long it is remembered that an upstream ended, for requests that
	// no connection tells of it: they wait until their time is over.
	endMemory = 30 * time.Second
	// maxRunsAt bounds the runs that are remembered of one upstream: some times its slots
	// and queue. maxUpstreams bounds the upstreams, some times those of a region.
	maxRunsAt    = 64
	maxUpstreams = 1024
)

// Run is one request at one upstream, from when it was sent until the connection ended.
type Run struct {
	Print Print
	// Target is the incarnation of the upstream.
	Target       string
	Began, Ended time.Time
	// Alone says that it was a trial by itself, see Trial.Alone.
	Alone bool
	// Cut says that its connection ended, rather than that it was given up.
	Cut bool
	// Answered says that it was answered in the moment of its upstream's end.
	Answered bool
}

// evidence orders runs by how much they say of whether their request ended the upstream.
func (r Run) evidence() int {
	switch {
	case r.Alone:
		return 2
	case !r.Answered:
		return 1
	}
	return 0
}

// upstreamRuns is what happened lately at one incarnation of an upstream.
type upstreamRuns struct {
	// broken runs ended with their connection; left ones were given up by the VM.
	broken, left []Run
	at           time.Time
	asked        bool // Whether the upstream has ended is being found out.
	ended        bool
	// first is the first that this VM saw of its end, once it has ended.
	first time.Time
}

// cause reports whether a run may have been the cause of the upstream's end: not what
// was sent after the first sign of it. Where something stands before an upstream it takes
// connections also then, and resets them. Each VM judges its own runs, by its own clock.
func (u *upstreamRuns) cause(r Run) bool { return !r.Began.After(u.first) }

// firstSign returns the first sign of the upstream's end: the first of its connections
// that ended and that nothing shows it to have outlived; now where none did.
func (u *upstreamRuns) firstSign(now time.Time) time.Time {
	first := now
	for _, r := range slices.Concat(u.broken, u.left) {
		if r.Cut && r.Ended.Before(first) {
			first = r.Ended
		}
	}
	return first
}

// note keeps a run, and reports whether an older one had to go.
func note(list []Run, r Run) (_ []Run, dropped bool) {
	if len(list) >= maxRunsAt {
		list, dropped = slices.Delete(list, 0, 1), true
	}
	return append(list, r), dropped
}

// upstream returns what is known of an upstream, forgetting what is too old.
func (l *Ledger) upstream(now time.Time, target string) *upstreamRuns {
	u := l.upstreams[target]
	if u == nil {
		if len(l.upstreams) >= maxUpstreams {
			l.sweepUpstreams(now)
		}
		u = &upstreamRuns{}
		l.upstreams[target] = u
	}
	u.at = now
	old := func(r Run) bool { return now.Sub(r.Ended) > runMemory }
	u.left = slices.DeleteFunc(u.left, old)
	return u
}

// sweepUpstreams makes room: first what is too old, then the oldest.
func (l *Ledger) sweepUpstreams(now time.Time) {
	oldest := ""
	for target, u := range l.upstreams {
		if now.Sub(u.at) > endMemory {
			delete(l.upstreams, target)
			continue
		}
		if oldest == "" || u.at.Before(l.upstreams[oldest].at) {
			oldest = target
		}
	}
	if len(l.upstreams) >= maxUpstreams {
		l.dropped.Upstreams++
		delete(l.upstreams, oldest)
	}
}

// Broke takes in that a request's connection ended in place of an answer. ask says that
// it has to be found out whether the upstream itself has ended: a connection may also
// end by itself, or because the upstream lets one answer go wrong.
func (l *Ledger) Broke(now time.Time, r Run) (ask bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Cut = true
	u := l.upstream(now, r.Target)
	if u.ended {
		l.endedLate(now, u, r)
		return false
	}
	var dropped bool
	u.broken, dropped = note(u.broken, r)
	if dropped {
		l.dropped.Runs++
	}
	l.unsettled(now, r)
	ask = !u.asked
	u.asked = true
	return ask
}

// Left takes in that the VM gave a request up before it was answered: its time was
// over, or its caller left. Should the upstream turn out to have ended, the request may
// have been the cause.
func (l *Ledger) Left(now time.Time, r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstream(now, r.Target)
	if u.ended {
		l.endedLate(now, u, r)
		return
	}
	var dropped bool
	u.left, dropped = note(u.left, r)
	if dropped {
		l.dropped.Runs++
	}
	l.unsettled(now, r)
}

// Answered takes in that an upstream answered a request that began at a time: it has
// outlived what was given up well before, and no connection that had ended by then is a
// sign of its end.
func (l *Ledger) Answered(now, began time.Time, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstreams[target]
	if u == nil || u.ended {
		return
	}
	outlived := func(r Run) bool { return now.Sub(r.Ended) > livesOn }
	u.left = slices.DeleteFunc(u.left, outlived)
	u.broken = slices.DeleteFunc(u.broken, outlived)
	for _, list := range [][]Run{u.left, u.broken} {
		for i := range list {
			list[i].Cut = list[i].Cut && !list[i].Ended.Before(began)
		}
	}
}

// Unanswered reports whether runs at an upstream were given up of which is not known
// whether it outlived them.
func (l *Ledger) Unanswered(now time.Time, target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstreams[target]
	return u != nil && !u.ended && len(l.upstream(now, target).left) > 0
}

// Ended takes in that an incarnation of an upstream is no more, and returns the runs
// that were under way at its end, as far as this VM knows them and has not returned
// them before. Those of which it hears later count as under way too, and so do runs that
// were answered just before.
func (l *Ledger) Ended(now time.Time, target string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstream(now, target)
	if u.ended {
		return nil
	}
	u.first = u.firstSign(now)
	runs := slices.Concat(u.broken, u.left, l.takeAnswered(target), l.takeUnsuspected(target, u.first))
	runs = slices.DeleteFunc(runs, func(r Run) bool { return !u.cause(r) })
	u.broken, u.left, u.asked, u.ended = nil, nil, false, true
	l.endedUnder(now, runs)
	return runs
}

// endedElsewhere takes in that another VM saw an upstream end under a run: what it answered
// to this VM just before was under way too. No connection tells this VM of that.
func (l *Ledger) endedElsewhere(now time.Time, r Run) {
	if u := l.upstreams[r.Target]; u == nil || !u.ended {
		l.endedUnder(now, slices.Concat(l.takeAnswered(r.Target), l.takeUnsuspected(r.Target, r.Ended)))
	}
}

// endedLate takes in a run at an upstream that is known to have ended.
func (l *Ledger) endedLate(now time.Time, u *upstreamRuns, r Run) {
	if u.cause(r) {
		l.endedUnder(now, []Run{r})
	}
}

// NotEnded takes in that the upstream is not known to have ended: somebody keeps
// connections open at its address (alive), or nobody answers there. What broke off is kept
// as what was given up, until the upstream answers something: whoever keeps them open may
// be another that has its address now. Answers clear their requests where it is alive.
func (l *Ledger) NotEnded(now time.Time, target string, alive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if alive {
		l.outlived(now, target)
	}
	l.takeAnswered(target)
	u := l.upstreams[target]
	if u == nil || u.ended {
		return
	}
	u = l.upstream(now, target)
	for _, r := range u.broken {
		r.Cut = r.Cut && !alive
		u.left, _ = note(u.left, r)
	}
	u.broken, u.asked = nil, false
}
