// Package replica keeps a VM's copy of one table of the platform, brought up to
// date by the platform or by other VMs that have a newer copy.
//
// A copy is complete as of its version: it has every row that was changed up to
// then. So a delta from any version not above a copy's own brings the copy to
// the delta's version, whoever sent it, late or twice. Rows are arbitrated by
// the table's own version counter: the case of "Eventually Consistent
// Transactions" (Burckhardt et al.) in which one arbiter orders all updates and
// a replica only chooses how much of that order it sees.
//
// # Usage
//
//	t := replica.NewTable("targets", same)
//	t.Apply(now, delta)                  // From the platform or a VM.
//	d, ok := t.Since(now, version)       // For a VM that is at version.
//	t.Renew(version, asOf)               // An answer proved the version the newest.
//	asOf, changes := t.Sure()            // As of when the copy is known to be the newest.
package replica

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"auburnlatch/core/lease"
)

// Row is one row of a table. A removed row keeps its place, so that others hear
// of the removal.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
	// Packed is the value as it travels between VMs; nil: as it is.
	Packed  []byte
	Removed bool
	// At is when this VM took in the row's value.
	At time.Time
	// RemovedAt is when this VM heard of the removal.
	RemovedAt time.Time
	// AfterGap says that nobody had confirmed the copy for longer than LapseGap
	// before the removal: the row may have lapsed only because its owner could
	// not reach the platform either. A VM that is told of a removal by another goes
	// by what that one saw: it may have been behind for reasons of its own, such as
	// a link that was choked, and would else use an upstream that has left for as
	// long as one that may only have lapsed.
	AfterGap bool
}

// Head says how far a copy is.
type Head struct {
	Table   string
	Version uint64
	// Age is the time since the platform confirmed the version as its newest.
	Age time.Duration
	// SureAge is the time since the moment as of which the version was certainly the newest,
	// suspensions included, at the VM that tells it. Age may be too low by what a message
	// or a suspension took.
	SureAge time.Duration
}

// Delta brings a copy that is at version From or later up to To.
type Delta struct {
	From uint64
	To   Head
	// Whole deltas list all rows: what they do not list is removed.
	Whole bool
	// Told deltas come from another VM, whose rows say whether they were removed
	// after a gap.
	Told bool
	Rows []Row
	// Changes is the number of changes that the delta's table had seen: two of a VM's copy
	// with the same number have the same rows, but for removals that were forgotten.
	Changes uint64
}

// NeverConfirmed is the age of a copy that has never been confirmed.
const NeverConfirmed = 24 * time.Hour

// LapseGap is the time without confirmation after which a removal may be due to
// the platform's own outage: above the age at which a VM asks the platform itself,
// 1.8 s where upstreams that leave are given 4 s.
const LapseGap = 2500 * time.Millisecond

// keepRemoved is how long a removal is remembered. A VM that was cut off for
// longer is given all rows.
const keepRemoved = 2 * time.Minute

// Table is one VM's copy. It is safe for concurrent use.
type Table struct {
	name string
	same func(key string, a, b []byte) bool

	mu        sync.Mutex
	rows      map[string]Row
	version   uint64
	confirmed time.Time
	// forgotten is the highest version before which removals may not be
	// remembered, or never were known: deltas from before it cannot be given.
	forgotten uint64
	changes   uint64
	newest    uint64 // Of the rows.
	sure      lease.Lease
}

// NewTable returns an empty copy. same reports whether two values of a row mean
// the same, as those that differ in a heartbeat counter do: such a change is
// not passed on.
func NewTable(name string, same func(key string, a, b []byte) bool) *Table {
	return &Table{name: name, same: same, rows: make(map[string]Row)}
}

// Head returns how far the copy is.
func (t *Table) Head(now time.Time) Head {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.head(now)
}

func (t *Table) head(now time.Time) Head {
	h := Head{Table: t.name, Version: t.version, Age: NeverConfirmed}
	if !t.confirmed.IsZero() {
		h.Age = max(0, now.Sub(t.confirmed))
	}
	return h
}

// Renew takes in that a version was the table's newest as of a moment. That counts where
// the copy is complete as of that version: one that could not take the changes in is not
// sure of them.
func (t *Table) Renew(version uint64, asOf lease.Moment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.confirmed.IsZero() && t.version >= version {
		t.sure.Renew(asOf)
	}
}

// Sure returns the moment as of which the copy certainly was the newest, and the number of
// its changes, as Rows does.
func (t *Table) Sure() (asOf lease.Moment, changes uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sure.AsOf(), t.changes
}

// Loaded reports whether the copy has ever been filled.
func (t *Table) Loaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.confirmed.IsZero()
}

// Apply takes in a delta and reports whether any row changed in meaning. One
// that begins after the copy's own version is refused, as it would leave a gap.
func (t *Table) Apply(now time.Time, d Delta) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !d.Whole && d.From > t.version || d.To.Version < t.version {
		return false
	}
	listed := make(map[string]bool, len(d.Rows))
	for _, r := range d.Rows {
		listed[r.Key] = true
		changed = t.put(now, r, d.Told) || changed
	}
	if d.Whole {
		// What was removed before is not known from a list of what is there.
		t.forgotten = max(t.forgotten, d.To.Version)
		for key, r := range t.rows {
			if !listed[key] && !r.Removed {
				changed = t.put(now, Row{Key: key, Version: d.To.Version, Removed: true}, false) || changed
			}
		}
	}
	t.version = d.To.Version
	if at := now.Add(-d.To.Age); d.To.Age < NeverConfirmed && at.After(t.confirmed) {
		t.confirmed = at
	}
	t.forget(now)
	if changed {
		t.changes++
	}
	return changed
}

// put stores a row unless a newer one is there. told says that the row knows
// whether it was removed after a gap.
func (t *Table) put(now time.Time, r Row, told bool) bool {
	old, ok := t.rows[r.Key]
	if ok && r.Version <= old.Version {
		return false
	}
	if ok && !old.Removed && !r.Removed && t.same(r.Key, old.Value, r.Value) {
		return false
	}
	if r.Removed {
		if !ok || old.Removed {
			return false
		}
		r.RemovedAt = now
		if !told {
			r.AfterGap = now.Sub(t.confirmed) > LapseGap
		}
		r.Value, r.Packed = old.Value, old.Packed
	}
	if !r.Removed {
		r.At = now
		if r.Packed == nil {
			r.Packed = pack(r.Value)
		}
	}
	t.rows[r.Key] = r
	t.newest = max(t.newest, r.Version)
	return true
}

func (t *Table) forget(now time.Time) {
	for key, r := range t.rows {
		if r.Removed && now.Sub(r.RemovedAt) > keepRemoved {
			t.forgotten = max(t.forgotten, r.Version)
			delete(t.rows, key)
		}
	}
}

// Since returns what a copy at that version lacks, the whole table where
// removals from then on are no longer remembered.
func (t *Table) Since(now time.Time, version uint64) Delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Delta{From: version, To: t.head(now), Whole: version < t.forgotten, Changes: t.changes}
	for _, r := range t.rows {
		if d.Whole && !r.Removed || !d.Whole && r.Version > version {
			d.Rows = append(d.Rows, r)
		}
	}
	return d
}

// Newest returns the highest version of a row that is there or was removed. The
// table's own version rises also with changes that mean nothing.
func (t *Table) Newest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest
}

// Rows returns all rows, removed ones included while remembered, in order of
// key, and a number that rises with each change.
func (t *Table) Rows() ([]Row, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Row, 0, len(t.rows))
	for _, r := range t.rows {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return list, t.changes
}
