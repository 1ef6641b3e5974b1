package steer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// RowKey identifies a row.
type RowKey struct {
	Service, Origin string
}

// maxSkip is the number of positions in its sequence of picks at which a row may
// begin: a multiple of what most weights take to repeat.
const maxSkip = 256

// Rows holds the rows of a VM. It is safe for concurrent use; the zero value is
// ready to use.
type Rows struct {
	mu     sync.Mutex
	rows   map[RowKey]*Row
	wanted map[RowKey]Weights
	limits map[RowKey]Limit
	// unused is since when a row has not been retained.
	unused map[RowKey]time.Time
}

// Row returns the row with the key. A new row is empty. It begins anywhere in its
// sequence of picks, as the first requests at VMs that start together would else
// all go to the same zone.
func (r *Rows) Row(key RowKey) *Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rows == nil {
		r.rows = map[RowKey]*Row{}
		r.wanted = map[RowKey]Weights{}
		r.limits = map[RowKey]Limit{}
	}
	row := r.rows[key]
	if row == nil {
		row = &Row{skip: rand.IntN(maxSkip)}
		r.rows[key] = row
	}
	return row
}

// Move moves a row towards the wanted distribution. It records wanted and limit
// for Wanted and Limit.
func (r *Rows) Move(now time.Time, key RowKey, wanted Weights, limit Limit) {
	row := r.Row(key)
	r.mu.Lock()
	r.wanted[key], r.limits[key] = wanted, limit
	r.mu.Unlock()
	row.Move(now, wanted, limit)
}

// Limit returns the limit under which a row was last moved.
func (r *Rows) Limit(key RowKey) Limit {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limits[key]
}

// Wanted returns the wanted weights towards which a row was last moved.
func (r *Rows) Wanted(key RowKey) Weights {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wanted[key]
}

// Keys returns the keys of all rows, sorted.
func (r *Rows) Keys() []RowKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := make([]RowKey, 0, len(r.rows))
	for key := range r.rows {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b RowKey) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Origin, b.Origin))
	})
	return keys
}

// Retain keeps the rows for which keep returns true, and drops the others when it
// has not for Window: until then their moves count if the service comes back.
func (r *Rows) Retain(now time.Time, keep func(RowKey) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.rows {
		if keep(key) {
			delete(r.unused, key)
			continue
		}
		if _, ok := r.unused[key]; !ok {
			if r.unused == nil {
				r.unused = map[RowKey]time.Time{}
			}
			r.unused[key] = now
		}
		if now.Sub(r.unused[key]) > Window {
			delete(r.rows, key)
			delete(r.wanted, key)
			delete(r.limits, key)
			delete(r.unused, key)
		}
	}
}
