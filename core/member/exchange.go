package member

import (
	"slices"
	"time"
)

// inScope reports whether an exchange covers an entry.
func (t *Table) inScope(scope Scope, e *Entry) bool {
	switch {
	case !e.aboutVM():
		return scope.Global
	case !t.useReports || e.VM == nil || e.VM.Zone == t.zone:
		return scope.Zone == t.zone || slices.Contains(scope.Zones, t.zone)
	}
	return slices.Contains(scope.Zones, e.VM.Zone)
}

// Digest returns the stamps of all entries in scope.
func (t *Table) Digest(now time.Time, scope Scope) []Stamp {
	t.mu.Lock()
	defer t.mu.Unlock()
	stamps := make([]Stamp, 0, len(t.entries))
	for _, r := range t.entries {
		if t.inScope(scope, &r.Entry) {
			stamps = append(stamps, r.withAge(now).Stamp)
		}
	}
	return stamps
}

// Answer applies the beats of a digest and returns what the digest lacks.
func (t *Table) Answer(now time.Time, scope Scope, digest []Stamp) Delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	var d Delta
	theirs := make(map[Key]Stamp, len(digest))
	for _, s := range digest {
		theirs[s.Key] = s
		r := t.entries[s.Key]
		if r == nil || s.newer(r.Stamp) {
			d.Want = append(d.Want, s.Key)
		}
	}
	t.applyBeats(now, digest)
	for key, r := range t.entries {
		if !t.inScope(scope, &r.Entry) {
			continue
		}
		old, ok := theirs[key]
		switch {
		case !ok || r.Stamp.newer(old):
			d.Entries = append(d.Entries, r.withAge(now))
		case r.Stamp.laterBeat(old):
			d.Beats = append(d.Beats, r.withAge(now).Stamp)
		}
	}
	return d
}

// MergeDelta merges the entries and applies the beats of a response to a digest.
func (t *Table) MergeDelta(now time.Time, d Delta) {
	t.Merge(now, d.Entries)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyBeats(now, d.Beats)
}

// applyBeats updates the beats and last-seen times of known entries. A beat only shows
// that the writer was alive Age ago; what it holds is in the content alone.
func (t *Table) applyBeats(now time.Time, stamps []Stamp) {
	for _, s := range stamps {
		r := t.entries[s.Key]
		if r == nil || !s.laterBeat(r.Stamp) || s.Key == vmKey(t.self) {
			continue
		}
		r.Stamp.Beat = s.Beat
		r.lastSeen = latest(r.lastSeen, now.Add(-s.Age))
		if r.Report != nil {
			t.applyReport(now, r)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Get returns the entries with the given keys that are in scope.
func (t *Table) Get(now time.Time, scope Scope, keys []Key) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []Entry
	for _, key := range keys {
		if r := t.entries[key]; r != nil && t.inScope(scope, &r.Entry) {
			entries = append(entries, r.withAge(now))
		}
	}
	return entries
}

// Merge merges entries received from peers and returns how many were newer than
// those in the table.
func (t *Table) Merge(now time.Time, entries []Entry) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range entries {
		if t.mergeEntry(now, e) {
			n++
		}
	}
	return n
}

func (t *Table) mergeEntry(now time.Time, e Entry) bool {
	if !e.aboutVM() && e.Roster == nil && e.Load == nil && e.Report == nil {
		return false
	}
	if e.Stamp.Key == vmKey(t.self) || e.Stamp.Key == usageKey(t.self) || e.Stamp.Key == reportKey(t.zone, t.self) {
		return false
	}
	if e.VM != nil && e.VM.Zone != t.zone && !t.useReports {
		return false
	}
	if e.Report != nil && t.reportExpired(e.Stamp.Age) {
		return false
	}
	lastSeen := now.Add(-e.Stamp.Age)
	r := t.entries[e.Stamp.Key]
	if r == nil && e.aboutVM() && e.Stamp.Age > MaxListLag {
		return false // Already purged from this table.
	}
	if r != nil {
		if !e.Stamp.newer(r.Stamp) {
			return false
		}
		if r.Stamp.laterBeat(e.Stamp) {
			e.Stamp.Beat = r.Stamp.Beat
		}
		lastSeen = latest(lastSeen, r.lastSeen)
	}
	r = &record{Entry: e, lastSeen: lastSeen}
	t.put(r)
	if r.Report != nil {
		t.applyReport(now, r)
	}
	return true
}
