package poison

import (
	"slices"
	"time"
)

// SurvivalTime is how long after its response an upstream has to accept connections to count as
// having survived it. A process that crashes resets all its connections at once.
const SurvivalTime = 100 * time.Millisecond

// Clearance is a response that clears a request of suspicion.
type Clearance struct {
	Print Print
	// Began is when the answered run began. Crashes after that still count against the
	// request.
	Began time.Time
	// Answered is when the run was answered. No ban is based on crashes before that.
	Answered time.Time
}

// Served records that an upstream answered a request. probe reports whether the caller has
// to probe the upstream after SurvivalTime: the response clears the request only once the
// upstream is known to have survived it.
func (l *Ledger) Served(now time.Time, r Run) (probe bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.suspects[r.Print] == nil && l.activeBan(now, r.Print) == nil {
		return false
	}
	r.Over = true
	if u := l.upstreams[r.Target]; u != nil && u.crashed {
		l.implicateLate(now, u, r)
		return false
	}
	if len(l.unconfirmed) >= maxUnconfirmed {
		l.dropped.Answered++ // The request stays suspected until it is answered again.
		return false
	}
	probe = !slices.ContainsFunc(l.unconfirmed, func(other Run) bool { return other.Target == r.Target })
	l.unconfirmed = append(l.unconfirmed, r)
	return probe
}

// takeUnconfirmed removes the unconfirmed responses of an upstream and returns them.
func (l *Ledger) takeUnconfirmed(target string) []Run {
	var runs []Run
	l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(r Run) bool {
		if r.Target != target {
			return false
		}
		runs = append(runs, r)
		return true
	})
	return runs
}

// confirmResponses clears the requests that an upstream answered and that it has survived. The
// upstream accepts connections.
func (l *Ledger) confirmResponses(now time.Time, target string) {
	for _, r := range l.takeUnconfirmed(target) {
		c := Clearance{Print: r.Print, Began: r.Began, Answered: r.Ended}
		if now.Sub(r.Ended) >= SurvivalTime && l.applyClearance(now, c) {
			l.queueNews(func(n *News) { n.Served = append(n.Served, c) })
		}
	}
}

// applyClearance clears a request of the crashes before the answered run, lifts a ban that
// is based on them, and reports whether the request was suspected.
func (l *Ledger) applyClearance(now time.Time, c Clearance) bool {
	if b := l.activeBan(now, c.Print); b != nil && b.lastCrash.Before(c.Began) {
		lifted := Ban{Print: c.Print, At: max(b.At+1, now.UnixMilli()), Lifted: true}
		l.merge(now, lifted)
		l.queueNews(func(n *News) { n.Bans = append(n.Bans, lifted) })
	}
	s := l.suspects[c.Print]
	if s == nil {
		return false
	}
	l.rememberClearance(c)
	s.crashes = slices.DeleteFunc(s.crashes, func(r Run) bool { return !r.Ended.After(c.Began) })
	if len(s.crashes) == 0 {
		l.clear(c.Print)
	}
	return true
}

// rememberClearance keeps the latest times of the responses to a request, for crashes that this
// VM learns of later.
func (l *Ledger) rememberClearance(c Clearance) {
	old, ok := l.cleared[c.Print]
	if !ok && len(l.cleared) >= maxSuspects {
		return
	}
	if old.Began.After(c.Began) {
		c.Began = old.Began
	}
	if old.Answered.After(c.Answered) {
		c.Answered = old.Answered
	}
	l.cleared[c.Print] = c
}

// unconfirmedSince reports whether a run that began after t was answered by an upstream that
// may have survived the response.
func (l *Ledger) unconfirmedSince(p Print, t time.Time) bool {
	return slices.ContainsFunc(l.unconfirmed, func(r Run) bool { return r.Print == p && r.Began.After(t) })
}
