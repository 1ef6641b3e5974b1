package main

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one run of a request at an upstream.
type run struct {
	Target       string
	Method, URI  string
	Body         uint64 // Hash of the body.
	Began, Ended time.Time
	// Cut says that the connection was closed before the response was written.
	Cut bool
}

// runs records what all upstreams have run, by the ID of the request.
type runs struct {
	mu   sync.Mutex
	byID map[string][]*run
}

// begin records that an upstream begins to work on a request.
func (l *runs) begin(id string, r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byID[id] = append(l.byID[id], r)
}

// end records that the work on a request has ended.
func (l *runs) end(r *run, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Ended, r.Cut = time.Now(), cut
}

// of returns the runs of a request so far.
func (l *runs) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []run
	for _, r := range l.byID[id] {
		list = append(list, *r)
	}
	return list
}

// target is a stand-in for one incarnation of an upstream.
type target struct {
	id, service, zone, addr string
	slots, queue            int
	born                    time.Time
	// work is how long the work on a request takes, and size how long its response is.
	work func(r *http.Request) time.Duration
	size func(r *http.Request) int
	// breakOff reports whether the response to a request is to be broken off midway.
	breakOff func(r *http.Request) bool

	runs     *runs
	busy     chan struct{}
	waiting  atomic.Int64
	draining atomic.Bool
	seq      int
	server   *http.Server
}

// listen opens the upstream's port and serves.
func (t *target) listen() error {
	t.busy, t.born = make(chan struct{}, t.slots), time.Now()
	l, err := net.Listen("tcp", cmp.Or(t.addr, "127.0.0.1:0"))
	if err != nil {
		return err
	}
	t.addr = l.Addr().String()
	t.server = &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
	go t.serve(l)
	return nil
}

// serve serves until the server is closed.
func (t *target) serve(l net.Listener) { _ = t.server.Serve(l) }

// value returns the upstream's registration.
func (t *target) value() string {
	state := "ready"
	if t.draining.Load() {
		state = "draining"
	}
	t.seq++
	return fmt.Sprintf(`{"Addr":%q,"Info":{"Service":%q,"Version":"v1","Zone":%q,"Slots":%d},"Status":{"State":%q,"Seq":%d,"ColdLeft":"0ms"},"born":%d}`,
		t.addr, t.service, t.zone, t.slots, state, t.seq, t.born.UnixMilli())
}

// beat registers the upstream every interval until ctx ends.
func (t *target) beat(ctx context.Context, s *store, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		s.put("servers", t.id, t.value())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", t.id)
	id := r.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", id)
	h.Set("Keep-Alive", "timeout=10")
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == healthPath {
		h.Set("X-Server-Load", t.load())
		if t.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body := fnv.New64a()
	if _, err := io.Copy(body, r.Body); err != nil {
		return
	}
	if t.waiting.Add(1) > int64(t.queue+t.slots) {
		t.waiting.Add(-1)
		h.Set("X-Not-Run", "1")
		h.Set("X-Server-Load", t.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.waiting.Add(-1)
	select {
	case t.busy <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-t.busy }()
	x := &run{Target: t.id, Method: r.Method, URI: r.RequestURI, Body: body.Sum64(), Began: time.Now()}
	t.runs.begin(id, x)
	select {
	case <-time.After(t.work(r)):
	case <-r.Context().Done():
		t.runs.end(x, true)
		return
	}
	t.runs.end(x, false)
	h.Set("X-Server-Stamp", t.id)
	h.Set("X-Server-Load", t.load())
	t.respond(w, r, answer(id, x.Body, t.size(r)))
}

// respond writes the response, or half of it.
func (t *target) respond(w http.ResponseWriter, r *http.Request, text string) {
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if !t.breakOff(r) {
		_, _ = io.WriteString(w, text)
		return
	}
	_, _ = io.WriteString(w, text[:rand.IntN(len(text))])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (t *target) load() string {
	running := len(t.busy)
	return fmt.Sprintf("%d,%d,%d", running, max(0, int(t.waiting.Load())-running), t.slots)
}

// answer returns the whole body of the response to a request, of at least size bytes.
func answer(id string, body uint64, size int) string {
	line := fmt.Sprintf("%s %x\n", id, body)
	return strings.Repeat(line, size/len(line)+1)
}
