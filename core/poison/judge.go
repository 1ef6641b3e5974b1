package poison

import (
	"slices"
	"time"
)

// candidate is a request that may have to be banned.
type candidate struct {
	print   Print
	suspect *suspect
	held    tally
}

// judge bans the requests that ended upstreams. All are looked at before any is banned:
// of two that come together the second has to answer for what the first explains too.
func (l *Ledger) judge(now time.Time) {
	list := slices.DeleteFunc(l.candidates(now), l.rivaled)
	for _, c := range list {
		l.ban(now, c)
	}
}

// candidates returns the requests with enough ends in a row, a trial by itself among the
// last, of which all have settled. Of one that was answered by an upstream that lives on
// only later ends count, also where they would not be cleared. A look-up that many ask for
// is under way at any upstream that ends, and looks like the cause of all until it is tried.
func (l *Ledger) candidates(now time.Time) []candidate {
	var list []candidate
	for p, s := range l.suspects {
		if now.Sub(s.last) < settleFor {
			continue
		}
		if l.tally(s.endsSince(l.cleared[p].Answered)).proven && !l.answeredSince(p, s.lastEnd()) {
			list = append(list, candidate{p, s, l.tally(s.ends)})
		}
	}
	return list
}

// ownEnds is how many ends in a row, at upstreams where a rival was not, show that a
// request ends upstreams without it: one may be chance.
const ownEnds = 2

// rivaled reports whether other requests with as many ends, in all or in a row, may together
// be the cause of these: none is banned before a trial has told them apart. An innocent one
// is answered; one that ends upstreams does so at others than its rivals.
func (l *Ledger) rivaled(c candidate) bool {
	var rivals []*suspect
	for p, s := range l.suspects {
		if p == c.print || len(s.ends) < banAfter {
			continue
		}
		if t := l.tally(s.ends); t.inRow >= c.held.inRow || t.all >= c.held.all {
			rivals = append(rivals, s)
		}
	}
	own, shared := l.without(c.suspect, rivals)
	return shared && own < ownEnds
}

// without returns how many ends in a row are left of a request where no rival was under
// way, and whether they have any end in common.
func (l *Ledger) without(s *suspect, rivals []*suspect) (own int, shared bool) {
	var rest []Run
	for _, r := range s.ends {
		switch {
		case l.isExplained(r.Target):
		case slices.ContainsFunc(rivals, func(rival *suspect) bool { return rival.endedUnder(r.Target) }):
			shared = true
		default:
			rest = append(rest, r)
		}
	}
	return l.tally(rest).inRow, shared
}

// endedUnder reports whether an upstream ended under the request.
func (s *suspect) endedUnder(target string) bool {
	return slices.ContainsFunc(s.ends, func(r Run) bool { return r.Target == target })
}

// ban bans a request, and explains the ends by it.
func (l *Ledger) ban(now time.Time, c candidate) {
	at := now.UnixMilli()
	if b := l.bans[c.print]; b != nil {
		at = max(at, b.At+1) // It was lifted.
	}
	b := Ban{Print: c.print, At: at}
	seen := c.suspect.seen
	if l.merge(now, b) && seen {
		l.addNews(func(n *News) { n.Bans = append(n.Bans, b) })
	}
}
