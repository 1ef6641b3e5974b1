package poison

import "time"

// TrialUpdate reports the start or the end of an exclusive trial to other VMs.
type TrialUpdate struct {
	Print Print
	// Target is the ID of the upstream. It is empty if the trial is over without a result.
	Target string
}

// News is what VMs propagate to each other.
type News struct {
	// Runs are runs during which the upstream crashed.
	Runs []Run
	// Tried are requests on trial, of which no other run may be forwarded.
	Tried []TrialUpdate
	// Served are suspected requests that were answered.
	Served []Clearance
	Bans   []Ban
	// Kept are bans that the platform has stored.
	Kept []Ban
}

// Empty reports whether there is no news.
func (n *News) Empty() bool { return n.size() == 0 }

func (n *News) size() int {
	return len(n.Runs) + len(n.Tried) + len(n.Served) + len(n.Bans) + len(n.Kept)
}

// Take removes up to count elements and returns them.
func (n *News) Take(count int) News {
	var out News
	out.Runs, n.Runs, count = takeUpTo(n.Runs, count)
	out.Tried, n.Tried, count = takeUpTo(n.Tried, count)
	out.Served, n.Served, count = takeUpTo(n.Served, count)
	out.Bans, n.Bans, count = takeUpTo(n.Bans, count)
	out.Kept, n.Kept, _ = takeUpTo(n.Kept, count)
	return out
}

// takeUpTo returns up to count of the first elements, the others, and what remains of count.
func takeUpTo[T any](list []T, count int) (first, rest []T, remaining int) {
	k := min(count, len(list))
	return list[:k], list[k:], count - k
}

// queueNews adds to the news for other VMs.
func (l *Ledger) queueNews(add func(*News)) {
	if l.news.size() >= maxNews {
		l.dropped.News++
		return
	}
	add(&l.news)
	l.notify()
}

// TakeNews returns the news for other VMs since the last call.
func (l *Ledger) TakeNews() News {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.news
	l.news = News{}
	return n
}

// MergeNews merges the news of another VM.
func (l *Ledger) MergeNews(now time.Time, n News) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range n.Runs {
		l.implicate(now, r)
		l.crashedElsewhere(now, r)
	}
	for _, t := range n.Tried {
		l.mergeTrial(now, t)
	}
	for _, c := range n.Served {
		l.applyClearance(now, c)
	}
	for _, b := range n.Bans {
		l.merge(now, b)
	}
	l.mergePersisted(now, n.Kept)
}

func (l *Ledger) mergeTrial(now time.Time, t TrialUpdate) {
	s := l.suspects[t.Print]
	switch {
	case s == nil:
	case t.Target == "":
		s.trialAt = time.Time{}
	default:
		s.trialAt, s.trialTarget = now, t.Target
	}
}

// Synced reports whether the Ledger has the bans that the platform stores.
func (l *Ledger) Synced() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.synced
}

// SetSynced records that it has them, from the platform or from another VM that has them.
func (l *Ledger) SetSynced() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.synced {
		l.synced = true
		close(l.syncDone)
	}
}

// SyncDone returns a channel that is closed by SetSynced.
func (l *Ledger) SyncDone() <-chan struct{} { return l.syncDone }

// Snapshot returns what a VM that has just started needs to know. Without the latest responses to
// suspects, it could ban one for crashes before them. Crashes attributed to a ban
// are left out, since the receiver could not attribute them: a ban does not list its crashes.
func (l *Ledger) Snapshot() News {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := News{Bans: l.allBans()}
	for p, s := range l.suspects {
		if c, ok := l.cleared[p]; ok {
			n.Served = append(n.Served, c)
		}
		for _, r := range s.crashes {
			if len(n.Runs) < maxSuspects && !l.isAttributed(r.Target) {
				n.Runs = append(n.Runs, r)
			}
		}
	}
	return n
}
