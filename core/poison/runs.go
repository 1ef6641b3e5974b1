package poison

import (
	"slices"
	"time"
)

// Bounds of what is remembered of requests without a response.
const (
	// abandonedTTL is how long an abandoned request counts as in flight at an upstream
	// whose crash is detected later. A crash that no connection shows is detected by the
	// next request to the upstream, or when its registration lapses after three heartbeats,
	// which is read at most a second later.
	abandonedTTL = 8 * time.Second
	// abandonedMargin is how long before the first sign of a crash a run may have been abandoned
	// for the crash to count as one during the run. An upstream that leaves ends seconds after its
	// last response, so that nothing shows that it survived a run that was abandoned before.
	abandonedMargin = time.Second
	// survivalMargin is how much later than a run an upstream has to respond to another one
	// to be known to have survived the run. On a congested link, what it sent before a
	// crash may arrive after its other connections were lost.
	survivalMargin = 500 * time.Millisecond
	// crashTTL is how long a crash is remembered for requests whose connections do not show
	// it: they wait until their deadline.
	crashTTL = 30 * time.Second
	// maxRunsPerUpstream bounds the runs remembered of one upstream: several times its slots
	// and queue. maxUpstreams bounds the upstreams: several times those of a region.
	maxRunsPerUpstream = 64
	maxUpstreams       = 1024
)

// Run is one attempt of a request at one upstream.
type Run struct {
	Print Print
	// Target is the incarnation of the upstream.
	Target string
	// Began is when the request was sent, Ended when it was answered or abandoned or its
	// connection was lost.
	Began, Ended time.Time
	// Alone says that it was an exclusive trial, see Trial.Alone.
	Alone bool
	// ConnectionLost says that its connection was lost, rather than that it was abandoned.
	ConnectionLost bool
	// Over says that the run was over before the first sign of the crash: the upstream had just
	// responded, or the VM had abandoned the run more than abandonedMargin before.
	Over bool
}

// evidence ranks runs by how strongly they suggest that their request crashed the upstream.
func (r Run) evidence() int {
	switch {
	case r.Alone:
		return 2
	case !r.Over:
		return 1
	}
	return 0
}

// upstreamRuns is the recent history of one incarnation of an upstream.
type upstreamRuns struct {
	// broken runs lost their connection; abandoned ones were given up by the VM.
	broken, abandoned []Run
	// reported says that another VM saw the crash, and implicated are the runs that count
	// for that reason, before this VM has seen it.
	reported   bool
	implicated []Run
	lastUsed   time.Time
	probing    bool // A probe is to find out whether the upstream has crashed.
	crashed    bool
	// crashedAt is when this VM saw the first sign of the crash, if crashed or reported.
	crashedAt time.Time
}

// mayBeCause reports whether a run may have caused the upstream's crash: not if it was sent
// after the first sign of the crash. A proxy in front of an upstream accepts connections even
// then, and resets them. Each VM judges its own runs, by its own clock.
func (u *upstreamRuns) mayBeCause(r Run) bool { return !r.Began.After(u.crashedAt) }

// firstSign returns when the first sign of the upstream's crash was seen: the first lost
// connection that it is not known to have survived, or now if there is none.
func (u *upstreamRuns) firstSign(now time.Time) time.Time {
	first := now
	for _, r := range slices.Concat(u.broken, u.abandoned) {
		if r.ConnectionLost && r.Ended.Before(first) {
			first = r.Ended
		}
	}
	return first
}

// appendRun appends a run, and reports whether it dropped the oldest to make room.
func appendRun(list []Run, r Run) (_ []Run, dropped bool) {
	if len(list) >= maxRunsPerUpstream {
		list, dropped = slices.Delete(list, 0, 1), true
	}
	return append(list, r), dropped
}

// upstream returns the history of an upstream without expired runs, and creates it if needed.
func (l *Ledger) upstream(now time.Time, target string) *upstreamRuns {
	u := l.upstreams[target]
	if u == nil {
		if len(l.upstreams) >= maxUpstreams {
			l.evictUpstreams(now)
		}
		u = &upstreamRuns{}
		l.upstreams[target] = u
	}
	u.lastUsed = now
	expired := func(r Run) bool { return now.Sub(r.Ended) > abandonedTTL }
	u.abandoned = slices.DeleteFunc(u.abandoned, expired)
	return u
}

// evictUpstreams makes room: it drops the expired upstreams, or else the oldest.
func (l *Ledger) evictUpstreams(now time.Time) {
	oldest := ""
	for target, u := range l.upstreams {
		if now.Sub(u.lastUsed) > crashTTL {
			delete(l.upstreams, target)
			continue
		}
		if oldest == "" || u.lastUsed.Before(l.upstreams[oldest].lastUsed) {
			oldest = target
		}
	}
	if len(l.upstreams) >= maxUpstreams {
		l.dropped.Upstreams++
		delete(l.upstreams, oldest)
	}
}

// ConnectionLost records that a request's connection was lost before a response. probe reports
// whether the caller has to probe whether the upstream has crashed: a connection may also fail
// by itself, or because the upstream mishandles a single response.
func (l *Ledger) ConnectionLost(now time.Time, r Run) (probe bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ConnectionLost = true
	u := l.upstream(now, r.Target)
	if u.crashed {
		l.implicateLate(now, u, r)
		return false
	}
	l.markUnresolved(now, r)
	l.record(now, u, &u.broken, r)
	probe = !u.probing
	u.probing = true
	return probe
}

// Refused records that an upstream refused a connection. probe reports whether the caller has to
// probe whether the upstream has crashed.
func (l *Ledger) Refused(now time.Time, target string) (probe bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstream(now, target)
	if u.crashed || u.probing {
		return false
	}
	u.probing = true
	return true
}

// Left records that the VM abandoned a request before a response: its deadline passed, or its
// caller left. If the upstream turns out to have crashed, the request may have caused it.
func (l *Ledger) Left(now time.Time, r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstream(now, r.Target)
	if u.crashed {
		l.implicateLate(now, u, r)
		return
	}
	l.markUnresolved(now, r)
	l.record(now, u, &u.abandoned, r)
}

// record appends a run to a list of its upstream, or counts it if the crash is reported.
func (l *Ledger) record(now time.Time, u *upstreamRuns, list *[]Run, r Run) {
	if u.reported {
		l.implicateLate(now, u, r)
		list = &u.implicated
	}
	var dropped bool
	if *list, dropped = appendRun(*list, r); dropped {
		l.dropped.Runs++
	}
}

// Answered records that an upstream responded to a request that was sent at began: it has
// survived the runs that ended well before now, and no connection that was lost before began
// is a sign of a crash.
func (l *Ledger) Answered(now, began time.Time, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstreams[target]
	if u == nil || u.crashed {
		return
	}
	survived := func(r Run) bool { return now.Sub(r.Ended) > survivalMargin }
	u.abandoned = slices.DeleteFunc(u.abandoned, survived)
	u.broken = slices.DeleteFunc(u.broken, survived)
	u.implicated = slices.DeleteFunc(u.implicated, survived)
	for _, list := range [][]Run{u.abandoned, u.broken} {
		for i := range list {
			list[i].ConnectionLost = list[i].ConnectionLost && !list[i].Ended.Before(began)
		}
	}
}

// HasAbandoned reports whether the VM has abandoned runs at an upstream which the upstream is not
// known to have survived.
func (l *Ledger) HasAbandoned(now time.Time, target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstreams[target]
	return u != nil && !u.crashed && len(l.upstream(now, target).abandoned)+len(u.implicated) > 0
}

// Crashed records that an incarnation of an upstream has crashed. It returns the runs that were
// in flight at the crash, as far as this VM knows them and has not returned them before. Runs
// that are reported later also count as in flight, as do runs that were answered just before.
func (l *Ledger) Crashed(now time.Time, target string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstream(now, target)
	if u.crashed {
		return nil
	}
	if !u.reported {
		u.crashedAt = u.firstSign(now)
	}
	runs := l.takeInFlight(u, target, u.crashedAt)
	l.implicateAll(now, runs)
	runs = slices.Concat(u.implicated, runs)
	u.implicated, u.probing, u.crashed = nil, false, true
	return runs
}

// takeInFlight removes the runs of an upstream that do not count yet, and returns those that may
// have caused its crash, of which the first sign was seen at first.
func (l *Ledger) takeInFlight(u *upstreamRuns, target string, first time.Time) []Run {
	for i, r := range u.abandoned {
		u.abandoned[i].Over = !r.ConnectionLost && u.crashedAt.Sub(r.Ended) > abandonedMargin
	}
	runs := slices.Concat(u.broken, u.abandoned, l.takeUnconfirmed(target), l.takeUnsuspected(target, first))
	u.broken, u.abandoned = nil, nil
	return slices.DeleteFunc(runs, func(r Run) bool { return !u.mayBeCause(r) })
}

// crashedElsewhere handles a crash during r that another VM saw. Runs of this VM may have caused
// it: those that the upstream answered just before, and those without a response. A VM that
// reaches no other upstream cannot tell by itself whether the upstream has crashed, as after a
// request that crashed nearly all of them.
func (l *Ledger) crashedElsewhere(now time.Time, r Run) {
	if now.Sub(r.Ended) > crashTTL {
		return
	}
	u := l.upstream(now, r.Target)
	if u.crashed {
		return
	}
	if !u.reported {
		u.reported, u.crashedAt = true, u.firstSign(now)
	}
	runs := l.takeInFlight(u, r.Target, r.Ended)
	l.implicateAll(now, runs)
	u.implicated = append(u.implicated, runs...)
}

// implicateLate handles a run at an upstream that is already known to have crashed.
func (l *Ledger) implicateLate(now time.Time, u *upstreamRuns, r Run) {
	if u.mayBeCause(r) {
		l.implicateAll(now, []Run{r})
	}
}

// NotCrashed records that a probe did not show a crash: connections are accepted at the
// upstream's address (alive), or nobody responds there. Broken runs are kept as abandoned until
// the upstream responds to some request, since another process may accept connections at its
// address now. If alive, unconfirmed responses clear their requests.
func (l *Ledger) NotCrashed(now time.Time, target string, alive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if alive {
		l.confirmResponses(now, target)
	}
	l.takeUnconfirmed(target)
	u := l.upstreams[target]
	if u == nil || u.crashed {
		return
	}
	u = l.upstream(now, target)
	for _, r := range u.broken {
		r.ConnectionLost = r.ConnectionLost && !alive
		u.abandoned, _ = appendRun(u.abandoned, r)
	}
	u.broken, u.probing = nil, false
}
