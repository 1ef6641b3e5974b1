// Package replica keeps a VM's replica of one table of the platform. It is updated
// from the platform or from peers that have a newer replica.
//
// A replica is complete as of its version: it has every row that was changed up to
// then. So a delta from any version not above a replica's own brings the replica to
// the delta's version, whoever sent it, also if it arrives late or twice. Rows are
// arbitrated by the table's own version counter: the case of "Eventually Consistent
// Transactions" (Burckhardt et al.) in which one arbiter orders all updates and
// a replica only chooses how much of that order it sees.
//
// A replica does not keep all that it has seen: changes to equivalent values, removals of
// rows that it never had, and removals long ago. What it sends may therefore lack a change
// that its receiver has to make, if a row changed and changed back at versions that the
// receiver knows and the sender does not. So a delta from a peer states the digest of the
// sender's rows, by their meaning, and has an effect only if the receiver's rows have that
// digest afterwards. Otherwise the receiver stays at its version and asks for a whole delta.
//
// The platform's store may come back from an older copy of its data. The versions after
// that copy are given out again, for other changes, and a new era begins: versions are
// ordered only within an era. A replica enters a later era by a whole delta, whoever sent
// it, and takes nothing from an earlier one. What it knew from the lost changes is not
// forgotten at once: rows that the copy lacks are removed with AfterGap set, and rows that
// it has in another state have RestoredAt set, as their writers write them again soon.
//
// # Usage
//
//	t := replica.NewTable("targets", equivalent)
//	t.Apply(now, delta)                  // From the platform or a peer.
//	d := t.Since(now, version)           // For a peer whose replica is at version.
//	t.Renew(d.To, asOf)                  // A response proved that d.To was the newest.
//	rows, expired := t.Changed()         // What has changed since the last call.
//	asOf, changes := t.VerifiedAsOf()    // As of when the replica was certainly the newest.
//	d = t.All(now)                       // For a peer whose head has WantsWhole.
package replica

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"auburnlatch/core/lease"
)

// Row is one row of a table. A removed row is kept as a tombstone for a while, so that
// the removal propagates.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
	// Packed is the compressed value that is sent between VMs; nil: Value is sent.
	Packed  []byte
	Removed bool
	// At is when this VM received the row's value.
	At time.Time
	// RemovedAt is when this VM received the removal.
	RemovedAt time.Time
	// AfterGap says that the replica had been unconfirmed for longer than LapseGap
	// before the removal: the row may have lapsed only because its writer could
	// not reach the platform either. A VM that receives a removal from a peer takes
	// over the peer's AfterGap. Its own replica may have been behind for local
	// reasons, such as a congested link, and it would otherwise keep using an
	// upstream that has left for as long as one that may only have lapsed.
	AfterGap bool
	// RestoredAt is when this state replaced another one because the store was restored. The
	// other one may be newer. It is zero once the row has been written again.
	RestoredAt time.Time
	// WasRemoved says that in the other state the row had been removed.
	WasRemoved bool
}

// Head is the version of a replica and its age.
type Head struct {
	Table   string
	Version uint64
	// Era counts how often the platform's store has come back from an older copy of its
	// data, which gives out again the versions after that copy. 0: the store does not say.
	Era uint64
	// NoEra is set by a sender that does not know of eras.
	NoEra bool
	// Digest is the digest of the rows by their meaning, in the head of a delta; 0: unknown.
	Digest uint64
	// WantsWhole says that the replica could not apply a delta, and needs a whole one.
	WantsWhole bool
	// Content is the highest version of the content, as its writers number it, that the VM
	// has had in force; 0: none, or the content has no version.
	Content uint64
	// Age is the time since the platform confirmed the version as its newest.
	Age time.Duration
	// VerifiedAge is the time since the moment as of which the version was certainly the newest,
	// suspensions included, as measured by the VM that sends the head. Age may be too low by
	// the duration of a message or a suspension.
	VerifiedAge time.Duration
}

// Before reports whether h is older than other.
func (h Head) Before(other Head) bool {
	return cmp.Or(cmp.Compare(h.Era, other.Era), cmp.Compare(h.Version, other.Version)) < 0
}

// Delta brings a replica that is at version From or later up to To.
type Delta struct {
	From uint64
	To   Head
	// Whole deltas list all rows: any row that they do not list is removed.
	Whole bool
	// FromPeer deltas come from a peer: AfterGap of their removed rows is valid.
	FromPeer bool
	Rows     []Row
	// Changes is the number of changes of the replica that the delta was taken from. While
	// it stays the same, so do the replica's rows, except that tombstones may expire.
	Changes uint64
}

// NeverConfirmed is the age of a replica that has never been confirmed.
const NeverConfirmed = 24 * time.Hour

// LapseGap is the time without confirmation after which a removal may be due to
// an outage of the platform. It is longer than the age at which a VM reads the
// platform itself, 1.8 s where VMs have 4 s to stop using an upstream that leaves.
const LapseGap = 2500 * time.Millisecond

// tombstoneTTL is how long a removed row is kept. A VM that was partitioned for
// longer gets a whole delta.
const tombstoneTTL = 2 * time.Minute

// Table is one VM's replica. It is safe for concurrent use.
type Table struct {
	name       string
	equivalent func(key string, a, b []byte) bool
	meaning    func(key string, value []byte) []byte // nil: there are no digests.

	mu    sync.Mutex
	epoch time.Time // Of the first delta; the At of rows is relative to it.
	rows  map[string]*storedRow
	// log has all rows by version, and some replaced ones until it is compacted.
	log      []*storedRow
	replaced int // Number of replaced rows in log.
	// tombstones has the removed rows by the time of their removal, including replaced ones.
	tombstones []*storedRow
	// changedKeys has the keys of the rows that changed since the last call of Changed.
	changedKeys map[string]struct{}
	era         uint64
	version     uint64
	confirmed   time.Time
	// historyFrom is the lowest version from which the removals are complete. Earlier
	// ones have expired or were never received, so a delta from an earlier version
	// must be whole.
	historyFrom uint64
	changes     uint64
	newestRow   uint64 // Highest version of a row.
	verified    lease.Lease
	// restored has the rows with RestoredAt set.
	restored   map[string]restoredState
	onVerified func(asOf lease.Moment) // nil: nobody follows.
	content    uint64                  // See Head.
	lost       uint64                  // See LostContent.
	observed   bool

	digest     uint64 // emptyDigest and the sum of the digests of the present rows.
	wantsWhole bool
	differs    bool      // See Differs.
	healed     time.Time // When differs was last reset.
	mismatches Mismatches
}

// Option configures a Table.
type Option func(*Table)

// WithMeaning has the table state and check digests. meaning returns the same bytes for two
// values of a row if, and only if, they are equivalent.
func WithMeaning(meaning func(key string, value []byte) []byte) Option {
	return func(t *Table) { t.meaning, t.digest = meaning, emptyDigest }
}

// WithVerified has f called, with the Table locked, whenever the replica was verified to be the newest
// as of a moment.
func WithVerified(f func(asOf lease.Moment)) Option { return func(t *Table) { t.onVerified = f } }

// NewTable returns an empty replica. equivalent reports whether two values of a row
// have the same meaning, such as values that differ only in a heartbeat counter.
// A change to an equivalent value is not stored and so not propagated.
func NewTable(name string, equivalent func(key string, a, b []byte) bool, opts ...Option) *Table {
	t := &Table{name: name, equivalent: equivalent, rows: make(map[string]*storedRow), changedKeys: make(map[string]struct{})}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Head returns the version and age of the replica. It does not set VerifiedAge.
func (t *Table) Head(now time.Time) Head {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.head(now)
}

func (t *Table) head(now time.Time) Head {
	h := Head{Table: t.name, Version: t.version, Era: t.era, Content: t.content, Age: NeverConfirmed, WantsWhole: t.wantsWhole}
	if !t.confirmed.IsZero() {
		h.Age = max(0, now.Sub(t.confirmed))
	}
	return h
}

// Renew records that a head was the table's newest as of a moment. It has an effect only if
// the replica is complete as of that head: one that could not apply the changes is not
// verified, nor is one of another era.
func (t *Table) Renew(h Head, asOf lease.Moment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.confirmed.IsZero() && t.era == h.Era && t.version >= h.Version {
		t.verified.Renew(asOf)
		if t.onVerified != nil {
			t.onVerified(asOf)
		}
	}
}

// VerifiedAsOf returns the moment as of which the replica certainly was the newest, and the number
// of its changes, as Rows does.
func (t *Table) VerifiedAsOf() (asOf lease.Moment, changes uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verified.AsOf(), t.changes
}

// Loaded reports whether the replica has ever been filled.
func (t *Table) Loaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.confirmed.IsZero()
}

// Apply applies a delta and reports whether the meaning of any row changed, or the era. It
// ignores a delta that begins after the replica's version, as it would leave a gap,
// one that ends before it, and one of a peer after which the rows would differ from the peer's.
func (t *Table) Apply(now time.Time, d Delta) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d.To.Before(t.head(now)) || !d.Whole && (d.From > t.version || d.To.Era != t.era) {
		return false
	}
	if d.FromPeer && !d.Whole && !t.matches(now, d) {
		return false
	}
	if t.epoch.IsZero() {
		t.epoch = now
	}
	if d.To.Era != t.era {
		t.enterEra(now, d)
		changed = true
	} else {
		for i := range d.Rows {
			r := &d.Rows[i]
			if d.Whole && t.contradicts(r, d.To.Version) {
				restated := *r
				restated.Version = d.To.Version
				r = &restated
			}
			changed = t.put(now, r, d.FromPeer) || changed
		}
		if d.Whole {
			changed = t.removeOthers(now, d) || changed
		}
	}
	t.version, t.wantsWhole = d.To.Version, false
	if d.Whole && t.differs {
		t.differs, t.healed = false, now
	}
	if at := now.Add(-d.To.Age); d.To.Age < NeverConfirmed && at.After(t.confirmed) {
		t.confirmed = at
	}
	t.expireTombstones(now)
	if changed {
		t.changes++
	}
	return changed
}

// removeOthers removes the rows that a whole delta does not list.
func (t *Table) removeOthers(now time.Time, d Delta) (changed bool) {
	// A list of the present rows does not show what was removed earlier.
	t.historyFrom = max(t.historyFrom, d.To.Version)
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

// contradicts reports whether a row of a whole delta as of a version has another meaning than the
// stored one, although its version is not higher. Its sender did not see that the row had another
// state in between, and kept the version from before.
func (t *Table) contradicts(r *Row, version uint64) bool {
	old := t.rows[r.Key]
	if old == nil || r.Version > old.version || old.version > version {
		return false
	}
	if r.Removed {
		return old.removed == nil
	}
	return old.removed != nil || !t.equivalent(r.Key, old.value, r.Value)
}

// put stores a row and reports whether that changed the replica. It ignores rows that
// are not newer than the stored one, equivalent values, and removals of rows that are not
// there. fromPeer says that the row's AfterGap is valid.
func (t *Table) put(now time.Time, r *Row, fromPeer bool) bool {
	old := t.rows[r.Key]
	if old != nil && r.Version <= old.version {
		return false
	}
	if old != nil && old.removed == nil && !r.Removed && t.equivalent(r.Key, old.value, r.Value) {
		return t.confirmRestored(r.Key)
	}
	if r.Removed && (old == nil || old.removed != nil) {
		return false
	}
	n := &storedRow{key: r.Key, version: r.Version, sum: t.sum(r)}
	if r.Removed {
		n.value, n.packed, n.at = old.value, old.packed, old.at
		n.removed = &tombstone{at: now, afterGap: r.AfterGap}
		if !fromPeer {
			n.removed.afterGap = now.Sub(t.confirmed) > LapseGap
		}
		t.tombstones = append(t.tombstones, n)
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
	t.insert(n)
	t.changedKeys[n.key] = struct{}{}
	delete(t.restored, n.key)
	return true
}

// Since returns what a replica at the given version of the same era lacks. The delta is whole
// if tombstones of rows removed since then have expired or were never received.
func (t *Table) Since(now time.Time, version uint64) Delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.delta(now, version, version < t.historyFrom || t.ahead(), false)
}

// All returns all rows as a whole delta, for a replica of the same era that wants one. It lists the
// removed rows as well, as only they say whether a row may have lapsed.
func (t *Table) All(now time.Time) Delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.delta(now, 0, true, true)
}

// Whole returns all rows as a whole delta, for a replica of an earlier era.
func (t *Table) Whole(now time.Time) Delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.delta(now, 0, true, false)
}

func (t *Table) delta(now time.Time, from uint64, whole, removed bool) Delta {
	d := Delta{From: from, To: t.head(now), Whole: whole, Changes: t.changes}
	if !t.ahead() {
		d.To.Digest = t.digest
	}
	log := t.log
	if !whole {
		log = log[t.after(from):]
	}
	for _, r := range log {
		if !r.replaced && (!whole || removed || r.removed == nil) {
			d.Rows = append(d.Rows, t.row(r))
		}
	}
	return d
}

// NewestRow returns the era and the highest version of a present or removed row. The table's
// own version also rises with changes to equivalent values.
func (t *Table) NewestRow() Head {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Head{Table: t.name, Version: t.newestRow, Era: t.era}
}

// Changed returns the rows that changed since the last call, including removed ones, and the
// keys of those whose tombstones have expired since, in no particular order.
func (t *Table) Changed() (rows []Row, expired []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.changedKeys {
		if r := t.rows[key]; r != nil {
			rows = append(rows, t.row(r))
		} else {
			expired = append(expired, key)
		}
	}
	t.changedKeys = make(map[string]struct{}) // A cleared map would keep its size.
	return rows, expired
}

// Rows returns all rows, including tombstones, sorted by key, and the number of
// changes so far.
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
