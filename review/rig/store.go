package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// txTime is how long a transaction of the store takes.
const txTime = 8 * time.Millisecond

// row is a row of the store in its wire format.
type row struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte
	Ver     uint64
	Removed bool `json:",omitempty"`
}

// tx is a transaction of the store.
type tx struct{ Expect, Writes, Remove []row }

// rowID identifies a row.
type rowID struct{ table, part, key string }

func (r *row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is a stand-in for the platform's store, by its published protocol.
type store struct {
	began time.Time

	mu      sync.Mutex
	ver     uint64
	rows    map[rowID]row
	changed chan struct{} // Closed and replaced at each change.
}

func newStore() *store {
	return &store{began: time.Now(), rows: make(map[rowID]row), changed: make(chan struct{})}
}

// handler returns the store's API for a VM whose messages take trip one way.
func (s *store) handler(trip time.Duration) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(trip)
		mux.ServeHTTP(&delayed{ResponseWriter: w, trip: trip}, r)
	})
}

// delayed is a response that takes trip to reach its VM.
type delayed struct {
	http.ResponseWriter
	trip  time.Duration
	begun bool
}

// Write implements http.ResponseWriter.
func (d *delayed) Write(p []byte) (int, error) {
	if !d.begun {
		d.begun = true
		time.Sleep(d.trip)
	}
	return d.ResponseWriter.Write(p)
}

// apply applies a transaction, or returns the current rows of Expect if one differs.
func (s *store) apply(t tx) (ver uint64, conflict []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, want := range t.Expect {
		have := s.rows[want.id()]
		if have.Removed {
			have.Ver = 0
		}
		if have.Ver != want.Ver {
			conflict = append(conflict, have)
		}
	}
	if len(conflict) > 0 {
		return s.ver, conflict
	}
	s.ver++
	for _, r := range t.Writes {
		r.Ver, r.Removed = s.ver, false
		s.rows[r.id()] = r
	}
	for _, r := range t.Remove {
		if have, ok := s.rows[r.id()]; ok && !have.Removed {
			s.rows[r.id()] = row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Removed: true}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver, nil
}

// put writes a row as the operator or an upstream does.
func (s *store) put(table, key, value string) {
	s.apply(tx{Writes: []row{{Table: table, Key: key, Value: []byte(value)}}})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t tx
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	ver, conflict := s.apply(t)
	w.Header().Set("Content-Type", "application/json")
	if len(conflict) > 0 {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	s.encode(w, conflict, ver, false)
}

// pageRows is the largest number of rows in an answer.
const pageRows = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 {
		limit = min(n, pageRows)
	}
	s.mu.Lock()
	ver, list := s.ver, []row{}
	for _, x := range s.rows {
		from, to := q.Get("From"), q.Get("To")
		if x.Table == q.Get("Table") && x.Part == q.Get("part") && !x.Removed && x.Key >= from && (to == "" || x.Key < to) {
			list = append(list, x)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.encode(w, list[:min(limit, len(list))], ver, len(list) > limit)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || err2 != nil {
		http.Error(w, "bad query", http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		list, ver, changed := s.since(q.Get("Table"), after)
		if len(list) > 0 {
			s.encode(w, list, ver, false)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			s.encode(w, list, ver, false)
			return
		}
	}
}

// since returns the rows of a table that changed after a version, in order.
func (s *store) since(table string, after uint64) (list []row, ver uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list = []row{}
	for _, x := range s.rows {
		if x.Table == table && x.Ver > after {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b row) int { return int(a.Ver) - int(b.Ver) })
	return list, s.ver, s.changed
}

func (s *store) encode(w http.ResponseWriter, list []row, ver uint64, more bool) {
	// A write fails only if the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(struct {
		Rows      []row
		MorePages bool
		Ver       uint64
		Now       string
	}{list, more, ver, fmt.Sprintf("%dms", time.Since(s.began).Milliseconds())})
}
