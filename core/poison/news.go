package poison

import "time"

// Try is a trial of a request by itself.
type Try struct {
	Print Print
	// Target is the ID of the upstream; "": the trial is over, and came to nothing.
	Target string
}

// News is what VMs tell each other.
type News struct {
	// Runs are runs that ended with their upstream.
	Runs []Run
	// Tried are requests that are being tried, of which no other run is to be sent on.
	Tried []Try
	// Served are suspected requests that were answered.
	Served []Clearance
	Bans   []Ban
	// Kept are bans that the platform has.
	Kept []Ban
}

// Empty reports whether there is nothing to tell.
func (n *News) Empty() bool { return n.size() == 0 }

func (n *News) size() int {
	return len(n.Runs) + len(n.Tried) + len(n.Served) + len(n.Bans) + len(n.Kept)
}

// Take removes up to count things and returns them.
func (n *News) Take(count int) News {
	var out News
	out.Runs, n.Runs, count = cut(n.Runs, count)
	out.Tried, n.Tried, count = cut(n.Tried, count)
	out.Served, n.Served, count = cut(n.Served, count)
	out.Bans, n.Bans, count = cut(n.Bans, count)
	out.Kept, n.Kept, _ = cut(n.Kept, count)
	return out
}

// cut returns the first elements, up to count, the others, and what is left of count.
func cut[T any](list []T, count int) (first, rest []T, left int) {
	k := min(count, len(list))
	return list[:k], list[k:], count - k
}

// addNews notes something to be told.
func (l *Ledger) addNews(add func(*News)) {
	if l.news.size() >= maxNews {
		l.dropped.News++
		return
	}
	add(&l.news)
	l.tell()
}

// TakeNews returns what others have not been told yet.
func (l *Ledger) TakeNews() News {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.news
	l.news = News{}
	return n
}

// Told takes in what another VM tells.
func (l *Ledger) Told(now time.Time, n News) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range n.Runs {
		l.hold(now, r)
		l.endedElsewhere(now, r)
	}
	for _, t := range n.Tried {
		l.toldTried(now, t)
	}
	for _, c := range n.Served {
		l.clearedBy(now, c)
	}
	for _, b := range n.Bans {
		l.merge(now, b)
	}
	l.keep(now, n.Kept)
}

func (l *Ledger) toldTried(now time.Time, t Try) {
	s := l.suspects[t.Print]
	switch {
	case s == nil:
	case t.Target == "":
		s.triedAt = time.Time{}
	default:
		s.triedAt, s.triedOn = now, t.Target
	}
}

// Known reports whether the bans that the platform keeps are known.
func (l *Ledger) Known() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known
}

// Join takes in that they are: the platform, or another VM that knows them, has told them.
func (l *Ledger) Join() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known {
		l.known = true
		close(l.joined)
	}
}

// Joined returns a channel that is closed once they are.
func (l *Ledger) Joined() <-chan struct{} { return l.joined }

// All returns all that a VM which has just started should know. Ends that a ban explains
// are left out: the ban does not say which they are.
func (l *Ledger) All() News {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := News{Bans: l.allBans()}
	for _, s := range l.suspects {
		for _, r := range s.ends {
			if len(n.Runs) < maxSuspects && !l.isExplained(r.Target) {
				n.Runs = append(n.Runs, r)
			}
		}
	}
	return n
}
