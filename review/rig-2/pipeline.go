package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// historyWork is how long the first look-up of a connection takes.
	historyWork     = 6 * time.Second
	historyTimeout  = 8 * time.Second
	historyDeadline = 20 * time.Second
	// largeAnswer is the size of the answer to the second look-up in bytes.
	largeAnswer = 3 << 20
	// sendBuffer is how much of an answer a target's host holds in bytes.
	sendBuffer = 128 << 10
	// unreadAfter is how long an answer remains unread until its target cuts it off.
	unreadAfter = 4 * time.Second
	// smallAfter is how many short look-ups follow.
	smallAfter = 5
	// mostLost is how many requests may be lost.
	mostLost = 3
)

// lookup is a look-up and what became of it.
type lookup struct {
	path, id string
	served   atomic.Bool // A target has written the whole answer.
	answered bool
}

// playPipeline has clients pipeline look-ups. The first takes long and the second has a long
// answer, which its target cuts off if nobody reads it.
func playPipeline(w *world) error {
	w.configure(7, route{"/history/", "idempotent", historyTimeout})
	var mu sync.Mutex
	lookups := make(map[string]*lookup)
	for _, t := range w.targets {
		t.serve = func(t *target, c net.Conn, _ *bufio.Reader, req *http.Request) bool {
			mu.Lock()
			l := lookups[req.Header.Get("X-Attempt-Id")]
			mu.Unlock()
			return w.serveHistory(t, c, req, l)
		}
	}
	if err := w.start(); err != nil {
		return err
	}
	var all []*lookup
	var group sync.WaitGroup
	for _, v := range w.vms {
		list := []*lookup{{path: "/history/old"}, {path: "/history/large"}}
		for range smallAfter {
			list = append(list, &lookup{path: "/history/new"})
		}
		mu.Lock()
		for _, l := range list {
			l.id = attemptID()
			lookups[l.id] = l
		}
		mu.Unlock()
		all = append(all, list...)
		group.Go(func() { w.pipeline(v, list) })
	}
	group.Wait()
	lost := 0
	for _, l := range all {
		if l.served.Load() && !l.answered {
			lost++
		}
	}
	w.note("%d requests were answered by their targets and not by their VM, on kept connections that the VMs closed", lost)
	if lost > mostLost {
		w.fail("%d requests that were passed on to sound targets had no answer, and the VMs closed their connections; %d may be lost", lost, mostLost)
	}
	return nil
}

// serveHistory runs a look-up.
func (w *world) serveHistory(t *target, c net.Conn, req *http.Request, l *lookup) bool {
	id := req.Header.Get("X-Attempt-Id")
	w.note("target %s: runs %s %s", t.id, req.URL.Path, id)
	body := []byte("history of " + id)
	switch req.URL.Path {
	case "/history/old":
		time.Sleep(historyWork)
	case "/history/large":
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetWriteBuffer(sendBuffer)
		}
		body = []byte(strings.Repeat("history of "+id+"\n", largeAnswer/len("history of 0123456789abcdef\n")))
	}
	began := time.Now()
	if trouble() {
		_ = c.SetWriteDeadline(began.Add(unreadAfter))
	}
	ok := t.respond(c, http.StatusOK, id, true, "", body)
	_ = c.SetWriteDeadline(time.Time{})
	l.served.Store(ok)
	if !ok {
		w.note("target %s: cuts off the answer to %s, unread for %d ms", t.id, id, time.Since(began).Milliseconds())
		return false
	}
	w.note("target %s: has written the answer to %s, %d bytes", t.id, id, len(body))
	return true
}

// pipeline sends look-ups one behind the other and reads the answers.
func (w *world) pipeline(v *vm, list []*lookup) {
	c, err := dial(v.front())
	if err != nil {
		w.note("client: cannot connect to %s: %v", v.name, err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(historyDeadline))
	for _, l := range list {
		if _, err := fmt.Fprintf(c, "%s\r\n", head("GET", l.path, l.id, historyDeadline)); err != nil {
			w.note("client: %v", err)
			return
		}
		w.note("client: has sent %s %s to %s", l.path, l.id, v.name)
	}
	for _, l := range list {
		resp, err := http.ReadResponse(c.r, nil)
		var n int64
		if err == nil {
			n, err = io.Copy(io.Discard, resp.Body)
		}
		l.answered = err == nil
		w.note("client: %s ends with %s", l.id, outcome(resp, n, err))
		if err != nil {
			return
		}
	}
}
