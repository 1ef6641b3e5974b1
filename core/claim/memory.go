package claim

import (
	"sync"
	"time"
)

const (
	// rememberFor is how long a row is remembered: longer than the age of a copy from which a
	// platform is restored, which is some seconds.
	rememberFor = 20 * time.Second
	// maxRemembered bounds the remembered rows, and maxRememberedBody the body of each, in
	// bytes. Of a longer one only that the request ran is remembered.
	maxRemembered     = 20_000
	maxRememberedBody = 4 << 10
	// holdAfterRestore is how long no row is claimed after a restore: the time in which all
	// VMs learn of it and write again the rows that the table has lost.
	holdAfterRestore = 5 * time.Second
)

// Written is a row as it was last written, with its version.
type Written struct {
	Key     Key
	Row     Row
	Version Version
	// Era is the era of the table in which the version was given.
	Era uint64
	at  time.Time
}

// Memory remembers the rows that a VM has written lately. A table that is restored from an
// older copy loses them, and an operation whose row is lost would run again when its caller
// repeats it. So a VM that learns of a restore claims nothing for a while, in which all VMs
// write their rows again. The zero value is ready to use. It is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	known   bool // The era is known.
	era     uint64
	holdEnd time.Time
	rows    map[Key]Written
	order   []stamp // By time, including rows that were written again since.
}

// stamp is when a row was remembered.
type stamp struct {
	key Key
	at  time.Time
}

// Observe takes the era of an answer of the table, and reports whether a new era has begun in
// which rows have to be written again. The first era that a VM learns of counts as new unless
// the table has never been restored.
func (m *Memory) Observe(now time.Time, era uint64) (restored bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.known && era <= m.era {
		return false
	}
	restored = m.known || era > 0
	m.known, m.era = true, era
	if restored {
		m.holdEnd = now.Add(holdAfterRestore)
	}
	return restored
}

// Era returns the newest era that was observed, and whether there is one.
func (m *Memory) Era() (era uint64, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era, m.known
}

// Holds reports whether no row may be claimed now.
func (m *Memory) Holds(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Before(m.holdEnd)
}

// Remember records a row that was written.
func (m *Memory) Remember(now time.Time, w Written) {
	if a := w.Row.Answer; a != nil && len(a.Body) > maxRememberedBody {
		w.Row.Answer = &Answer{TooLarge: true}
	}
	w.at = now
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rows == nil {
		m.rows = make(map[Key]Written)
	}
	m.rows[w.Key] = w
	m.order = append(m.order, stamp{w.Key, now})
	n := 0
	for ; n < len(m.order) && (now.Sub(m.order[n].at) > rememberFor || len(m.order)-n > maxRemembered); n++ {
		if old := m.order[n]; m.rows[old.key].at.Equal(old.at) {
			delete(m.rows, old.key)
		}
	}
	m.order = m.order[n:]
}

// Find returns what is remembered of an attempt's row.
func (m *Memory) Find(key Key, attempt string) (w Written, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w, ok = m.rows[key]
	return w, ok && w.Row.Attempt == attempt
}

// Forget drops a row, if it is still the one remembered.
func (m *Memory) Forget(w Written) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rows[w.Key].at.Equal(w.at) {
		delete(m.rows, w.Key)
	}
}

// Lost returns the rows that were written in an earlier era than the newest, and lately.
func (m *Memory) Lost(now time.Time) []Written {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Written
	for _, w := range m.rows {
		if w.Era < m.era && now.Sub(w.at) <= rememberFor {
			list = append(list, w)
		}
	}
	return list
}
