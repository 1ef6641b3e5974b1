package member

import (
	"slices"
	"time"
)

// has reports whether an entry belongs into an exchange.
func (t *Table) has(scope Scope, e *Entry) bool {
	switch {
	case !e.zonal():
		return scope.Global
	case !t.reports || e.VM == nil || e.VM.Zone == t.zone:
		return scope.Zone == t.zone || slices.Contains(scope.Zones, t.zone)
	}
	return slices.Contains(scope.Zones, e.VM.Zone)
}

// Digest lists the stamps of all entries that belong into an exchange.
func (t *Table) Digest(now time.Time, scope Scope) []Stamp {
	t.mu.Lock()
	defer t.mu.Unlock()
	stamps := make([]Stamp, 0, len(t.entries))
	for _, r := range t.entries {
		if t.has(scope, &r.Entry) {
			stamps = append(stamps, r.aged(now).Stamp)
		}
	}
	return stamps
}

// Answer takes in the beats of a digest and returns what the digest lacks.
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
	t.hear(now, digest)
	for key, r := range t.entries {
		if !t.has(scope, &r.Entry) {
			continue
		}
		old, ok := theirs[key]
		switch {
		case !ok || r.Stamp.newer(old):
			d.Entries = append(d.Entries, r.aged(now))
		case r.Stamp.livelier(old):
			d.Beats = append(d.Beats, r.aged(now).Stamp)
		}
	}
	return d
}

// Take takes in the answer to a digest.
func (t *Table) Take(now time.Time, d Delta) {
	t.Merge(now, d.Entries)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hear(now, d.Beats)
}

// hear takes in beats. A beat tells only that the writer was alive so long ago;
// what it holds is told by the content alone.
func (t *Table) hear(now time.Time, stamps []Stamp) {
	for _, s := range stamps {
		r := t.entries[s.Key]
		if r == nil || !s.livelier(r.Stamp) || s.Key == vmKey(t.self) {
			continue
		}
		r.Stamp.Beat = s.Beat
		r.heard = latest(r.heard, now.Add(-s.Age))
		if r.Report != nil {
			t.takeReport(now, r)
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

// Get returns the entries under the given keys, as far as they belong into an
// exchange.
func (t *Table) Get(now time.Time, scope Scope, keys []Key) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []Entry
	for _, key := range keys {
		if r := t.entries[key]; r != nil && t.has(scope, &r.Entry) {
			entries = append(entries, r.aged(now))
		}
	}
	return entries
}

// Merge takes in entries from others and reports how many were new.
func (t *Table) Merge(now time.Time, entries []Entry) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range entries {
		if t.mergeOne(now, e) {
			n++
		}
	}
	return n
}

func (t *Table) mergeOne(now time.Time, e Entry) bool {
	if !e.zonal() && e.Roster == nil && e.Load == nil && e.Report == nil {
		return false
	}
	if e.Stamp.Key == vmKey(t.self) || e.Stamp.Key == usageKey(t.self) || e.Stamp.Key == reportKey(t.zone, t.self) {
		return false
	}
	if e.VM != nil && e.VM.Zone != t.zone && !t.reports {
		return false
	}
	if e.Report != nil && t.isStale(e.Stamp.Age) {
		return false
	}
	heard := now.Add(-e.Stamp.Age)
	r := t.entries[e.Stamp.Key]
	if r == nil && e.zonal() && e.Stamp.Age > MaxListLag {
		return false // Purged here already.
	}
	if r != nil {
		if !e.Stamp.newer(r.Stamp) {
			return false
		}
		if r.Stamp.livelier(e.Stamp) {
			e.Stamp.Beat = r.Stamp.Beat
		}
		heard = latest(heard, r.heard)
	}
	r = &record{Entry: e, heard: heard}
	t.put(r)
	if r.Report != nil {
		t.takeReport(now, r)
	}
	return true
}
