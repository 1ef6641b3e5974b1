package replica

import (
	"slices"
	"time"
)

// storedRow is a Row in compact form: a VM has thousands of them.
type storedRow struct {
	key     string
	version uint64
	value   []byte
	packed  *[]byte       // nil: Row.Packed is nil.
	at      time.Duration // Since the table's epoch.
	removed *tombstone    // nil: not removed.
	sum     uint64        // Digest of key and meaning; 0: removed, or there are no digests.
	// replaced says that the table has a newer row with the key, or none.
	replaced bool
}

// tombstone says when a row was removed.
type tombstone struct {
	at       time.Time
	afterGap bool
}

// insert adds a row that the table does not have.
func (t *Table) insert(r *storedRow) {
	if old := t.rows[r.key]; old != nil {
		t.digest -= old.sum
	}
	t.digest += r.sum
	t.rows[r.key] = r
	t.addToLog(r)
	t.newestRow = max(t.newestRow, r.version)
}

// addToLog inserts a row into the log, mostly at its end.
func (t *Table) addToLog(r *storedRow) {
	i := len(t.log)
	if i > 0 && t.log[i-1].version > r.version {
		i = t.after(r.version)
	}
	t.log = slices.Insert(t.log, i, r)
}

// after returns the index of the log's first row with a higher version.
func (t *Table) after(version uint64) int {
	i, _ := slices.BinarySearchFunc(t.log, version, func(r *storedRow, version uint64) int {
		if r.version <= version {
			return -1
		}
		return 1
	})
	return i
}

// markReplaced marks a row that is no longer in the table. The log is compacted once more
// than half of it is replaced, so the amortized cost per change is constant.
func (t *Table) markReplaced(r *storedRow) {
	r.replaced = true
	if t.replaced++; t.replaced <= len(t.log)/2 {
		return
	}
	t.log = slices.DeleteFunc(t.log, func(r *storedRow) bool { return r.replaced })
	t.replaced = 0
}

// expireTombstones deletes the removed rows older than tombstoneTTL.
func (t *Table) expireTombstones(now time.Time) {
	n := 0
	for _, r := range t.tombstones {
		if !r.replaced && now.Sub(r.removed.at) <= tombstoneTTL {
			break
		}
		n++
		if !r.replaced {
			t.historyFrom = max(t.historyFrom, r.version)
			delete(t.rows, r.key)
			delete(t.restored, r.key)
			t.markReplaced(r)
		}
	}
	t.tombstones = slices.Delete(t.tombstones, 0, n)
}

// row returns a stored row as a Row.
func (t *Table) row(r *storedRow) Row {
	row := Row{Key: r.key, Version: r.version, Value: r.value, At: t.epoch.Add(r.at)}
	if state, ok := t.restored[r.key]; ok {
		row.RestoredAt, row.WasRemoved = state.at, state.wasRemoved
	}
	if r.packed != nil {
		row.Packed = *r.packed
	}
	if r.removed != nil {
		row.Removed, row.RemovedAt, row.AfterGap = true, r.removed.at, r.removed.afterGap
		row.At = time.Time{}
	}
	return row
}
