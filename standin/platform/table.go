// Package platform simulates the platform in memory for tests and the demo: a
// transactional table with conditional writes, an object store and a list of
// VMs. It can inject the faults that the real platform has.
//
// # Usage
//
//	p := platform.New()
//	srv := httptest.NewServer(p)
//	p.SetFaults(platform.Faults{Outage: true})
//	p.Restore(p.Copy())              // Forgets all changes since the copy.
package platform

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"auburnlatch/schema"
)

// row is one row of the table.
type row struct {
	version uint64
	value   []byte
}

// Table is the transactional table. The zero value is an empty table.
type Table struct {
	mu      sync.Mutex
	rows    map[string]row
	version uint64
	era     uint64 // Counts how often the table was restored.
	stats   Stats
}

// Stats are counters of the table's operations.
type Stats struct {
	Commits, RowsWritten, Reads, Conflicts uint64
}

// Faults are the faults to inject; see schema.PlatformFaults.
type Faults struct {
	Outage      bool
	Delay       time.Duration
	LoseAnswers int
	LateWrites  int
	Late        time.Duration
}

// commit applies all writes or none, and returns the era in which it did. Versions increase
// over all rows and are not reused within an era, so a row that was deleted and written again
// has a new version.
func (t *Table) commit(req *schema.CommitRequest) (*schema.CommitReply, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Commits++
	reply := &schema.CommitReply{}
	for _, w := range req.GetWrites() {
		if r := t.rows[w.GetKey()]; r.version != w.GetIf() {
			reply.Conflicts = append(reply.Conflicts, wireRow(w.GetKey(), r))
		}
	}
	if len(reply.Conflicts) > 0 {
		t.stats.Conflicts++
		return reply, t.era
	}
	if t.rows == nil {
		t.rows = map[string]row{}
	}
	t.version++
	reply.Version = t.version
	for _, w := range req.GetWrites() {
		t.stats.RowsWritten++
		if w.GetDelete() {
			delete(t.rows, w.GetKey())
			continue
		}
		t.rows[w.GetKey()] = row{version: t.version, value: w.GetValue()}
	}
	return reply, t.era
}

func (t *Table) get(key string) (*schema.TableRow, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Reads++
	return wireRow(key, t.rows[key]), t.era
}

func (t *Table) scan(prefix, after string, limit int) (*schema.ScanReply, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Reads++
	reply := &schema.ScanReply{}
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(reply.Rows) == limit {
			break
		}
		reply.Rows = append(reply.Rows, wireRow(key, t.rows[key]))
	}
	return reply, t.era
}

func wireRow(key string, r row) *schema.TableRow {
	return &schema.TableRow{Key: key, Version: r.version, Value: r.value}
}

// Copy is a copy of the platform's table and objects.
type Copy struct {
	rows    map[string]row
	version uint64
	objects map[string][]byte
}

// Copy returns a copy of the table and the objects.
func (p *Platform) Copy() Copy {
	p.Table.mu.Lock()
	defer p.Table.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	return Copy{rows: maps.Clone(p.Table.rows), version: p.Table.version, objects: maps.Clone(p.objects)}
}

// Restore replaces the table and the objects by those of a copy and begins the next era.
// Versions go back and are given out again.
func (p *Platform) Restore(c Copy) {
	p.Table.mu.Lock()
	defer p.Table.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Table.rows, p.Table.version, p.objects = maps.Clone(c.rows), c.version, maps.Clone(c.objects)
	p.Table.era++
}
