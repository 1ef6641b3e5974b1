package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPage is how many rows the store returns at once.
const maxPage = 500

// row is a row of the platform's store on the wire.
type row struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte
	Ver     uint64
	Removed bool `json:",omitempty"`
}

// store is a stand-in of the platform's store that keeps its rows in memory.
type store struct {
	addr    string
	began   time.Time
	mu      sync.Mutex
	ver     uint64
	rows    map[string]row
	changed chan struct{} // Closed and replaced at each change.
}

func startStore(addr string) (*store, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &store{addr: addr, began: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	mux.HandleFunc("POST /v1/rows-tx", s.tx)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row.
func (s *store) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[rowKey(table, "", key)] = row{Table: table, Key: key, Value: []byte(value), Ver: s.ver}
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row, more bool, ver uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Rows": rows, "MorePages": more, "Ver": ver, "Now": strconv.FormatInt(time.Since(s.began).Milliseconds(), 10) + "ms",
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxPage
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	ver := s.ver
	list := []row{}
	for _, x := range s.rows {
		if x.Table == q.Get("Table") && x.Part == q.Get("part") && !x.Removed && x.Key >= q.Get("From") && (q.Get("To") == "" || x.Key < q.Get("To")) {
			list = append(list, x)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	n := min(limit, len(list))
	s.reply(w, http.StatusOK, list[:n], n < len(list), ver)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		ver, changed := s.ver, s.changed
		list := []row{}
		for _, x := range s.rows {
			if x.Table == q.Get("Table") && x.Ver > after {
				list = append(list, x)
			}
		}
		s.mu.Unlock()
		slices.SortFunc(list, func(a, b row) int { return int(a.Ver) - int(b.Ver) })
		if len(list) > 0 {
			s.reply(w, http.StatusOK, list, false, ver)
			return
		}
		select {
		case <-changed:
		case <-end:
			s.reply(w, http.StatusOK, list, false, ver)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var m struct{ Expect, Writes, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range slices.Concat(m.Writes, m.Remove) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var present []row
	met := true
	for _, x := range m.Expect {
		have := s.rows[rowKey(x.Table, x.Part, x.Key)]
		if have.Removed {
			have.Ver = 0
		}
		met = met && have.Ver == x.Ver
		present = append(present, have)
	}
	if !met {
		s.reply(w, http.StatusPreconditionFailed, present, false, s.ver)
		return
	}
	s.ver++
	for _, x := range m.Writes {
		x.Ver, x.Removed = s.ver, false
		s.rows[rowKey(x.Table, x.Part, x.Key)] = x
	}
	for _, x := range m.Remove {
		x.Ver, x.Removed, x.Value = s.ver, true, nil
		s.rows[rowKey(x.Table, x.Part, x.Key)] = x
	}
	s.wake()
	s.reply(w, http.StatusOK, nil, false, s.ver)
}
