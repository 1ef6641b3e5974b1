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
//	rows, forgotten := t.Changed()       // What is new here since the last call.
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

	mu    sync.Mutex
	epoch time.Time // When the copy was first changed.
	rows  map[string]*stored
	// log has all rows by version. Rows that were replaced stay in it for a while.
	log      []*stored
	replaced int // Of log.
	// removals are removed rows by the time of their removal, replaced ones among them.
	removals []*stored
	// fresh are the keys of the rows that changed since the last call of Changed.
	fresh     map[string]struct{}
	version   uint64
	confirmed time.Time
	// forgotten is the highest version before which removals may not be
	// remembered, or never were known: deltas from before it cannot be given.
	forgotten uint64
	changes   uint64
	newest    uint64 // Of the rows.
	sure      lease.Lease
}

// stored is a row as it is kept: a VM has some thousands of them.
type stored struct {
	key     string
	version uint64
	value   []byte
	packed  *[]byte       // nil: Row.Packed is.
	at      time.Duration // Since the table's epoch.
	removed *removal
	// replaced says that the table has a newer row of the key, or none.
	replaced bool
}

// removal is what is known of the removal of a row.
type removal struct {
	at       time.Time
	afterGap bool
}

// NewTable returns an empty copy. same reports whether two values of a row mean
// the same, as those that differ in a heartbeat counter do: such a change is
// not passed on.
func NewTable(name string, same func(key string, a, b []byte) bool) *Table {
	return &Table{name: name, same: same, rows: make(map[string]*stored), fresh: make(map[string]struct{})}
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
	if t.epoch.IsZero() {
		t.epoch = now
	}
	for i := range d.Rows {
		changed = t.put(now, &d.Rows[i], d.Told) || changed
	}
	if d.Whole {
		changed = t.removeOthers(now, d) || changed
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

// removeOthers removes what a whole delta does not list.
func (t *Table) removeOthers(now time.Time, d Delta) (changed bool) {
	// What was removed before is not known from a list of what is there.
	t.forgotten = max(t.forgotten, d.To.Version)
	listed := make(map[string]bool, len(d.Rows))
	for _, r := range d.Rows {
		listed[r.Key] = true
	}
	for key, r := range t.rows {
		if !listed[key] && r.removed == nil {
			changed = t.put(now, &Row{Key: key, Version: d.To.Version, Removed: true}, false) || changed
		}
	}
	return changed
}

// put stores a row unless a newer one is there. told says that the row knows
// whether it was removed after a gap.
func (t *Table) put(now time.Time, r *Row, told bool) bool {
	old := t.rows[r.Key]
	if old != nil && r.Version <= old.version {
		return false
	}
	if old != nil && old.removed == nil && !r.Removed && t.same(r.Key, old.value, r.Value) {
		return false
	}
	if r.Removed && (old == nil || old.removed != nil) {
		return false
	}
	n := &stored{key: r.Key, version: r.Version}
	if r.Removed {
		n.value, n.packed, n.at = old.value, old.packed, old.at
		n.removed = &removal{at: now, afterGap: r.AfterGap}
		if !told {
			n.removed.afterGap = now.Sub(t.confirmed) > LapseGap
		}
		t.removals = append(t.removals, n)
	} else {
		n.value, n.at = r.Value, now.Sub(t.epoch)
		packed := r.Packed
		if packed == nil {
			packed = pack(r.Value)
		}
		if packed != nil {
			n.packed = &packed
		}
	}
	if old != nil {
		n.key = old.key
		t.markReplaced(old)
	}
	t.rows[n.key] = n
	t.addToLog(n)
	t.fresh[n.key] = struct{}{}
	t.newest = max(t.newest, r.Version)
	return true
}

// addToLog enters a row into the log, mostly at its end.
func (t *Table) addToLog(r *stored) {
	i := len(t.log)
	if i > 0 && t.log[i-1].version > r.version {
		i = t.after(r.version)
	}
	t.log = slices.Insert(t.log, i, r)
}

// after returns the index of the log's first row above a version.
func (t *Table) after(version uint64) int {
	i, _ := slices.BinarySearchFunc(t.log, version, func(r *stored, version uint64) int {
		if r.version <= version {
			return -1
		}
		return 1
	})
	return i
}

// markReplaced marks a row that the table has no more. The log is cleaned once half of it is
// replaced, so that each change pays for a constant part of that.
func (t *Table) markReplaced(r *stored) {
	r.replaced = true
	if t.replaced++; t.replaced <= len(t.log)/2 {
		return
	}
	t.log = slices.DeleteFunc(t.log, func(r *stored) bool { return r.replaced })
	t.replaced = 0
}

func (t *Table) forget(now time.Time) {
	n := 0
	for _, r := range t.removals {
		if !r.replaced && now.Sub(r.removed.at) <= keepRemoved {
			break
		}
		n++
		if !r.replaced {
			t.forgotten = max(t.forgotten, r.version)
			delete(t.rows, r.key)
			t.markReplaced(r)
		}
	}
	t.removals = slices.Delete(t.removals, 0, n)
}

// row returns a row as others see it.
func (t *Table) row(r *stored) Row {
	row := Row{Key: r.key, Version: r.version, Value: r.value, At: t.epoch.Add(r.at)}
	if r.packed != nil {
		row.Packed = *r.packed
	}
	if r.removed != nil {
		row.Removed, row.RemovedAt, row.AfterGap = true, r.removed.at, r.removed.afterGap
		row.At = time.Time{}
	}
	return row
}

// Since returns what a copy at that version lacks, the whole table where
// removals from then on are no longer remembered.
func (t *Table) Since(now time.Time, version uint64) Delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Delta{From: version, To: t.head(now), Whole: version < t.forgotten, Changes: t.changes}
	log := t.log
	if !d.Whole {
		log = log[t.after(version):]
	}
	for _, r := range log {
		if !r.replaced && !(d.Whole && r.removed != nil) {
			d.Rows = append(d.Rows, t.row(r))
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

// Changed returns the rows that changed since the last call, removed ones included, and the
// keys of those whose removal has been forgotten meanwhile, in no order.
func (t *Table) Changed() (rows []Row, forgotten []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.fresh {
		if r := t.rows[key]; r != nil {
			rows = append(rows, t.row(r))
		} else {
			forgotten = append(forgotten, key)
		}
	}
	t.fresh = make(map[string]struct{}) // One that was cleared would stay as large as it was.
	return rows, forgotten
}

// Rows returns all rows, removed ones included while remembered, in order of
// key, and a number that rises with each change.
func (t *Table) Rows() ([]Row, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Row, 0, len(t.rows))
	for _, r := range t.rows {
		list = append(list, t.row(r))
	}
	slices.SortFunc(list, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return list, t.changes
}
