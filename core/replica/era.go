package replica

import (
	"slices"
	"time"
)

// restoredState is Row.RestoredAt and Row.WasRemoved.
type restoredState struct {
	at         time.Time
	wasRemoved bool
}

// enterEra replaces the rows by those of a whole delta of a later era.
func (t *Table) enterEra(now time.Time, d Delta) {
	old, restored := t.rows, t.restored
	t.rows, t.restored = make(map[string]*storedRow, len(d.Rows)), make(map[string]restoredState)
	t.log, t.replaced, t.tombstones, t.digest = nil, 0, nil, emptyDigest
	t.era, t.historyFrom, t.newestRow = d.To.Era, d.To.Version, 0
	for i := range d.Rows {
		r := &d.Rows[i]
		was := old[r.Key]
		delete(old, r.Key)
		if was != nil && was.removed == nil && t.equivalent(r.Key, was.value, r.Value) {
			same := *was
			same.version, same.replaced = r.Version, false
			t.insert(&same)
			if state, ok := restored[r.Key]; ok {
				t.restored[r.Key] = state
			}
			continue
		}
		t.put(now, r, d.FromPeer)
		if was != nil {
			t.restored[r.Key] = restoredState{now, was.removed != nil}
		}
	}
	for key, was := range old {
		lost := *was
		lost.version, lost.replaced = d.To.Version, false
		lost.sum = 0
		if lost.removed == nil {
			lost.removed = &tombstone{at: now, afterGap: true}
			t.changedKeys[key] = struct{}{}
			t.restored[key] = restoredState{now, false}
		} else if state, ok := restored[key]; ok {
			t.restored[key] = state
		}
		t.tombstones = append(t.tombstones, &lost)
		t.insert(&lost)
	}
	slices.SortFunc(t.tombstones, func(a, b *storedRow) int { return a.removed.at.Compare(b.removed.at) })
}

// confirmRestored records that a row was written again with the value that it has, and
// reports whether that was unknown.
func (t *Table) confirmRestored(key string) bool {
	if _, ok := t.restored[key]; !ok {
		return false
	}
	delete(t.restored, key)
	t.changedKeys[key] = struct{}{}
	return true
}

// Settled returns the rows as they are in force now, given that what a restored store has lost
// is written again within hold: until then a row that is missing since counts as present, and
// one that is there again after its removal as removed. pending reports whether there are such
// rows, so that the result changes with time alone.
func Settled(now time.Time, rows []Row, hold time.Duration) (settled []Row, pending bool) {
	settled = make([]Row, 0, len(rows))
	for _, r := range rows {
		if !r.RestoredAt.IsZero() && now.Sub(r.RestoredAt) < hold && r.Removed != r.WasRemoved {
			r.Removed, pending = r.WasRemoved, true
		}
		settled = append(settled, r)
	}
	return settled, pending
}
