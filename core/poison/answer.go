package poison

import (
	"slices"
	"time"
)

// Outlives is how long after its answer an upstream has to take connections to have
// outlived it. A process that ends resets all of them at once.
const Outlives = 100 * time.Millisecond

// Clearance is an answer that clears a request.
type Clearance struct {
	Print Print
	// Began is when the run that was answered began. Later ends are held against the
	// request all the same.
	Began time.Time
	// Answered is when it was answered. No ban rests on ends before that.
	Answered time.Time
}

// Served takes in that an upstream answered a request. ask says that it has to be found
// out after Outlives whether the upstream outlives its answer, which clears the
// request only then.
func (l *Ledger) Served(now time.Time, r Run) (ask bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.suspects[r.Print] == nil && l.active(now, r.Print) == nil {
		return false
	}
	r.Answered = true
	if u := l.upstreams[r.Target]; u != nil && u.ended {
		l.endedLate(now, u, r)
		return false
	}
	if len(l.answered) >= maxAnswered {
		l.dropped.Answered++ // The request stays suspected until it is answered again.
		return false
	}
	ask = !slices.ContainsFunc(l.answered, func(other Run) bool { return other.Target == r.Target })
	l.answered = append(l.answered, r)
	return ask
}

// takeAnswered removes the answers of an upstream and returns them.
func (l *Ledger) takeAnswered(target string) []Run {
	var runs []Run
	l.answered = slices.DeleteFunc(l.answered, func(r Run) bool {
		if r.Target != target {
			return false
		}
		runs = append(runs, r)
		return true
	})
	return runs
}

// outlived has the answers of an upstream that takes connections clear their requests.
func (l *Ledger) outlived(now time.Time, target string) {
	for _, r := range l.takeAnswered(target) {
		c := Clearance{Print: r.Print, Began: r.Began, Answered: r.Ended}
		if now.Sub(r.Ended) >= Outlives && l.clearedBy(now, c) {
			l.addNews(func(n *News) { n.Served = append(n.Served, c) })
		}
	}
}

// clearedBy clears a request of the ends before a run that was answered, lifts a ban that
// rests on these, and reports whether it was suspected.
func (l *Ledger) clearedBy(now time.Time, c Clearance) bool {
	if b := l.active(now, c.Print); b != nil && b.lastEnd.Before(c.Began) {
		lifted := Ban{Print: c.Print, At: max(b.At+1, now.UnixMilli()), Lifted: true}
		l.merge(now, lifted)
		l.addNews(func(n *News) { n.Bans = append(n.Bans, lifted) })
	}
	s := l.suspects[c.Print]
	if s == nil {
		return false
	}
	l.rememberClearance(c)
	s.ends = slices.DeleteFunc(s.ends, func(r Run) bool { return !r.Ended.After(c.Began) })
	if len(s.ends) == 0 {
		l.clear(c.Print)
	}
	return true
}

// rememberClearance keeps the latest times of a request's answers, for ends that are learned
// later.
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

// answeredSince reports whether a run that began after a time was answered by an upstream
// that may outlive the answer.
func (l *Ledger) answeredSince(p Print, t time.Time) bool {
	return slices.ContainsFunc(l.answered, func(r Run) bool { return r.Print == p && r.Began.After(t) })
}
