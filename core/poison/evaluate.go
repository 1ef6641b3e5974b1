package poison

import (
	"slices"
	"time"
)

// candidate is a request that may have to be banned.
type candidate struct {
	print   Print
	suspect *suspect
	tally   tally
}

// evaluate bans the requests that crash upstreams. All candidates are selected before any of
// them is banned: otherwise, of two poison requests that arrive together, the ban of the first
// would remove their shared crashes from the evidence against the second.
func (l *Ledger) evaluate(now time.Time) {
	list := slices.DeleteFunc(l.candidates(now), l.ambiguous)
	for _, c := range list {
		l.ban(now, c)
	}
}

// candidates returns the requests with enough consecutive crashes, an exclusive trial among
// the last, once these have settled. If a request was answered by an upstream that survived,
// only crashes after the response count, even where it does not clear earlier ones. A
// popular request is in flight at any upstream that crashes, and looks like the cause of all
// crashes until it has been tried.
func (l *Ledger) candidates(now time.Time) []candidate {
	var list []candidate
	for p, s := range l.suspects {
		if now.Sub(s.learned) < settleTime {
			continue
		}
		if l.tally(s.crashesSince(l.cleared[p].Answered)).proven && !l.unconfirmedSince(p, s.lastCrash()) {
			list = append(list, candidate{p, s, l.tally(s.crashes)})
		}
	}
	return list
}

// minOwnCrashes is how many consecutive crashes at upstreams without a rival show that a
// request crashes upstreams by itself: one may be chance.
const minOwnCrashes = 2

// ambiguous reports whether other requests may be the cause of the crashes of c. None is banned
// before a trial has told them apart: an innocent request is answered, and a poison request also
// crashes upstreams without its rivals. A rival with as many crashes, in total or consecutive, may
// explain all but minOwnCrashes. One with fewer may explain those at the same time as a crash that
// it has in common with c: a popular request is in flight at any upstream that crashes by itself
// meanwhile.
func (l *Ledger) ambiguous(c candidate) bool {
	var rivals, equal []*suspect
	for p, s := range l.suspects {
		if p == c.print || len(s.crashes) < banThreshold {
			continue
		}
		rivals = append(rivals, s)
		if t := l.tally(s.crashes); t.consecutive >= c.tally.consecutive || t.total >= c.tally.total {
			equal = append(equal, s)
		}
	}
	own, shared := l.divideCrashes(c.suspect, equal)
	if len(shared) > 0 && l.tally(own).consecutive < minOwnCrashes {
		return true
	}
	own, shared = l.divideCrashes(c.suspect, rivals)
	return len(shared) > 0 && !slices.ContainsFunc(own, func(r Run) bool { return r.evidence() > 0 && r.apart(shared) })
}

// divideCrashes divides the crashes of a request that are not attributed to a ban into those at
// upstreams where no rival was in flight, and those that it has in common with a rival.
func (l *Ledger) divideCrashes(s *suspect, rivals []*suspect) (own, shared []Run) {
	for _, r := range s.crashes {
		switch {
		case l.isAttributed(r.Target):
		case slices.ContainsFunc(rivals, func(rival *suspect) bool { return rival.crashed(r.Target) }):
			shared = append(shared, r)
		default:
			own = append(own, r)
		}
	}
	return own, shared
}

// apart reports whether the crash during r was at another time than the others.
func (r Run) apart(others []Run) bool {
	return !slices.ContainsFunc(others, func(other Run) bool { return r.Ended.Sub(other.Ended).Abs() < minCrashGap })
}

// crashed reports whether an incarnation crashed with the request in flight.
func (s *suspect) crashed(target string) bool {
	return slices.ContainsFunc(s.crashes, func(r Run) bool { return r.Target == target })
}

// ban bans a request, and attributes its crashes to it.
func (l *Ledger) ban(now time.Time, c candidate) {
	at := now.UnixMilli()
	if b := l.bans[c.print]; b != nil {
		at = max(at, b.At+1) // It was lifted.
	}
	b := Ban{Print: c.print, At: at}
	observed := c.suspect.observed
	if l.merge(now, b) && observed {
		l.queueNews(func(n *News) { n.Bans = append(n.Bans, b) })
	}
}
