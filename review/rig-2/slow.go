package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	slowUploads = 6
	// slowBody is the size of an upload in bytes.
	slowBody = 360_000
	// slowPause is how long a target does not read on after a request's header.
	slowPause    = 2600 * time.Millisecond
	slowTimeout  = 4 * time.Second
	termAfter    = 300 * time.Millisecond
	graceMillis  = 6000
	atWorkMillis = graceMillis * 5 / 6
)

// slowRun is what a target did with an upload.
type slowRun struct{ began, read, answered atomic.Bool }

// playSlow has clients upload to a VM, which is then told to stop. The targets work on the uploads,
// but read their bodies slowly.
func playSlow(w *world) error {
	w.configure(7, route{"/atelier/", "upload", slowTimeout})
	runs := make(map[string]*slowRun)
	var ids []string
	for range slowUploads {
		id := attemptID()
		ids, runs[id] = append(ids, id), &slowRun{}
	}
	for _, t := range w.targets {
		t.serve = func(t *target, c net.Conn, _ *bufio.Reader, req *http.Request) bool {
			return w.serveSlow(t, c, req, runs[req.Header.Get("X-Attempt-Id")])
		}
	}
	if err := w.start(); err != nil {
		return err
	}
	v := w.vms[0]
	var group sync.WaitGroup
	for _, id := range ids {
		group.Go(func() { w.uploadSlow(v, id, runs[id]) })
	}
	time.Sleep(termAfter)
	w.note("platform: SIGTERM to %s, Grace is %d ms", v.name, graceMillis)
	v.signal(syscall.SIGTERM)
	group.Wait()
	time.Sleep(time.Second)
	return nil
}

// serveSlow runs an upload. The work takes slowPause, before the body is read on or after it.
func (w *world) serveSlow(t *target, c net.Conn, req *http.Request, run *slowRun) bool {
	id := req.Header.Get("X-Attempt-Id")
	run.began.Store(true)
	w.note("target %s: runs %s", t.id, id)
	if trouble() {
		time.Sleep(slowPause)
	}
	n, err := io.Copy(io.Discard, req.Body)
	if err != nil {
		w.note("target %s: the body of %s broke off after %d bytes: %v", t.id, id, n, err)
		return false
	}
	run.read.Store(true)
	if !trouble() {
		time.Sleep(slowPause)
	}
	ok := t.respond(c, http.StatusOK, id, true, "", []byte("stored "+id))
	run.answered.Store(ok)
	w.note("target %s: has read %d bytes of %s and answered", t.id, n, id)
	return ok
}

// uploadSlow uploads a body at once, and checks how the request ends.
func (w *world) uploadSlow(v *vm, id string, run *slowRun) {
	c, err := dial(v.front())
	if err != nil {
		w.note("client: %s cannot connect to %s: %v", id, v.name, err)
		return
	}
	defer c.Close()
	body := make([]byte, slowBody)
	fillBody(body, 0)
	began := time.Now()
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head("POST", "/atelier/2f", id, slowTimeout), len(body), body); err != nil {
		w.note("client: %s: %v", id, err)
		return
	}
	w.note("client: has sent %s to %s, %d bytes", id, v.name, len(body))
	_ = c.SetReadDeadline(began.Add(slowTimeout))
	resp, err := http.ReadResponse(c.r, nil)
	var n int64
	if err == nil {
		n, err = io.Copy(io.Discard, resp.Body)
	}
	took := time.Since(began)
	w.note("client: %s ends after %d ms with %s", id, took.Milliseconds(), outcome(resp, n, err))
	own := resp == nil || resp.Header.Get("X-Server-Stamp") == "" || err != nil
	if own && run.began.Load() && took < slowTimeout-100*time.Millisecond && took.Milliseconds() < atWorkMillis {
		w.fail("%s was broken off after %d ms, with %s, while its target was at work; %v were left until the client's deadline and the route's timeout",
			id, took.Milliseconds(), outcome(resp, n, err), (slowTimeout - took).Round(time.Millisecond))
	}
}
