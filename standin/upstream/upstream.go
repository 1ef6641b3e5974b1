// Package upstream simulates an upstream: a small HTTP service with a number of
// slots, a health endpoint that can report a wrong state, and injected faults.
// It counts the requests that it runs, for tests to check.
//
// # Usage
//
//	u := upstream.New("ist-01", 4)
//	srv := httptest.NewServer(u)
//	u.SetFaults(&schema.UpstreamFaults{Shed: true})
//	runs := u.Runs("key-1")
package upstream

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"auburnlatch/schema"
	"auburnlatch/standin/control"
)

// Upstream is one simulated upstream. It is an http.Handler.
type Upstream struct {
	name  string
	slots int
	mux   *http.ServeMux

	mu          sync.Mutex
	faults      *schema.UpstreamFaults
	inFlight    int
	maxInFlight int
	runs        uint64
	shed        uint64
	overSlots   uint64
	keys        map[string]uint64
}

// New returns an upstream with the given name and number of slots.
func New(name string, slots int) *Upstream {
	u := &Upstream{name: name, slots: slots, faults: &schema.UpstreamFaults{}, keys: map[string]uint64{}, mux: http.NewServeMux()}
	u.mux.HandleFunc("GET /health", u.health)
	u.mux.HandleFunc("POST /standin/faults", u.postFaults)
	u.mux.HandleFunc("GET /standin/stats", u.getStats)
	u.mux.HandleFunc("/", u.work)
	return u
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) { u.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults to inject.
func (u *Upstream) SetFaults(f *schema.UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// Runs returns how many requests with the given Idempotency-Key ran.
func (u *Upstream) Runs(key string) uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.keys[key]
}

// Stats returns the counters.
func (u *Upstream) Stats() *schema.UpstreamStats {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := &schema.UpstreamStats{
		Name: u.name, InFlight: int32(u.inFlight), MaxInFlight: int32(u.maxInFlight), Slots: int32(u.slots),
		Runs: u.runs, Shed: u.shed, OverSlots: u.overSlots,
	}
	for _, key := range slices.Sorted(maps.Keys(u.keys)) {
		s.Keys = append(s.Keys, &schema.KeyRuns{Key: key, Runs: u.keys[key]})
	}
	return s
}

// admission says how to treat one request.
type admission struct {
	shed      bool
	cut       bool
	cutAnswer bool
	work      time.Duration
}

func (u *Upstream) admit(key string) admission {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.GetShed() {
		u.shed++
		return admission{shed: true}
	}
	if u.inFlight >= u.slots {
		u.overSlots++
	}
	u.inFlight++
	u.maxInFlight = max(u.maxInFlight, u.inFlight)
	u.runs++
	if key != "" {
		u.keys[key]++
	}
	a := admission{work: time.Duration(u.faults.GetWorkMs()) * time.Millisecond}
	switch {
	case u.faults.GetCutAfterRun() > 0:
		u.faults.CutAfterRun--
		a.cut = true
	case u.faults.GetCutMidAnswer() > 0:
		u.faults.CutMidAnswer--
		a.cutAnswer = true
	}
	return a
}

func (u *Upstream) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

// work serves all service requests. It reads the body, waits for the configured
// time and responds with the upstream's name, the path, and the length and hash
// of the body. The query parameter "size" appends that many bytes to the response.
func (u *Upstream) work(w http.ResponseWriter, r *http.Request) {
	a := u.admit(r.Header.Get("Idempotency-Key"))
	if a.shed {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shedding load", http.StatusServiceUnavailable)
		return
	}
	defer u.release()
	hash := sha256.New()
	n, err := io.Copy(hash, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(a.work):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	if a.cut {
		panic(http.ErrAbortHandler)
	}
	answer := fmt.Sprintf("upstream=%s method=%s path=%s bytes=%d sha256=%s\n",
		u.name, r.Method, r.URL.Path, n, hex.EncodeToString(hash.Sum(nil)))
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)+size))
	_, _ = io.WriteString(w, answer)
	if a.cutAnswer {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.CopyN(w, zeros{}, int64(size))
}

// zeros is an endless reader of the digit 0.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '0'
	}
	return len(p), nil
}

func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	state, down := u.faults.GetState(), u.faults.GetHealthDown()
	if state == "" || u.faults.GetLieUp() {
		state = "Up"
	}
	h := &schema.UpstreamHealth{State: state, InFlight: int32(u.inFlight), Slots: int32(u.slots)}
	u.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusInternalServerError)
		return
	}
	control.Write(w, h)
}

func (u *Upstream) postFaults(w http.ResponseWriter, r *http.Request) {
	f := &schema.UpstreamFaults{}
	if control.Read(w, r, f) {
		u.SetFaults(f)
	}
}

func (u *Upstream) getStats(w http.ResponseWriter, _ *http.Request) { control.Write(w, u.Stats()) }
