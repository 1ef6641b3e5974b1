package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	chargeClients = 6
	// chargeWork is how long a charge takes, and chargeBody and chargeAnswer are the sizes of its
	// body and its answer in bytes.
	chargeWork     = 760 * time.Millisecond
	chargeBody     = 4000
	chargeAnswer   = 30_000
	chargeTimeout  = 3 * time.Second
	chargeDeadline = 4 * time.Second
	// behindAfter is when a client sends a look-up behind its charge.
	behindAfter = 100 * time.Millisecond
	// receiveBytes is how much a client's host takes before it is read.
	receiveBytes = 4 << 10
)

// charge is a request that must not be repeated.
type charge struct {
	id       string
	answered atomic.Bool // Its target has written the whole answer.
}

// playStop has clients send a charge and a look-up behind it to a VM that is told to stop.
func playStop(w *world) error {
	w.configure(7, route{"/charge/", "non_idempotent", chargeTimeout}, route{"/slots/", "idempotent", chargeTimeout})
	charges := make(map[string]*charge)
	var list []*charge
	for range chargeClients {
		c := &charge{id: attemptID()}
		list, charges[c.id] = append(list, c), c
	}
	for _, t := range w.targets {
		t.serve = func(t *target, c net.Conn, _ *bufio.Reader, req *http.Request) bool {
			return w.serveCharge(t, c, req, charges[req.Header.Get("X-Attempt-Id")])
		}
	}
	if err := w.start(); err != nil {
		return err
	}
	v := w.vms[0]
	var group sync.WaitGroup
	for _, c := range list {
		group.Go(func() { w.sendCharge(v, c) })
	}
	time.Sleep(termAfter)
	if trouble() {
		w.note("platform: SIGTERM to %s, Grace is %d ms", v.name, graceMillis)
		v.signal(syscall.SIGTERM)
	}
	group.Wait()
	return nil
}

// serveCharge runs a charge, or answers a look-up at once.
func (w *world) serveCharge(t *target, c net.Conn, req *http.Request, ch *charge) bool {
	id := req.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	if ch == nil {
		w.note("target %s: answers look-up %s", t.id, id)
		return t.respond(c, http.StatusOK, id, true, "", []byte("slots of "+id))
	}
	w.note("target %s: runs charge %s", t.id, id)
	time.Sleep(chargeWork)
	line := fmt.Sprintf("charge %s of %d bytes\n", id, len(body))
	ok := t.respond(c, http.StatusOK, id, true, "", []byte(strings.Repeat(line, chargeAnswer/len(line))))
	ch.answered.Store(ok)
	w.note("target %s: has answered charge %s", t.id, id)
	return ok
}

// dialSmall connects with a small window for the answers.
func dialSmall(addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if cerr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		}); cerr != nil {
			return cerr
		}
		return err
	}}
	return d.DialContext(context.Background(), "tcp", addr)
}

// sendCharge sends a charge and a look-up behind it, and checks the answer to the charge.
func (w *world) sendCharge(v *vm, ch *charge) {
	c, err := dialSmall(v.front())
	if err != nil {
		w.note("client: %s cannot connect to %s: %v", ch.id, v.name, err)
		return
	}
	defer c.Close()
	body := make([]byte, chargeBody)
	fillBody(body, 0)
	var b bytes.Buffer
	fmt.Fprintf(&b, "%sContent-Length: %d\r\n\r\n%s", head("POST", "/charge/2f", ch.id, chargeDeadline), len(body), body)
	began := time.Now()
	_ = c.SetReadDeadline(began.Add(chargeDeadline))
	if _, err := c.Write(b.Bytes()); err != nil {
		w.note("client: %s: %v", ch.id, err)
		return
	}
	w.note("client: has sent charge %s to %s", ch.id, v.name)
	time.Sleep(behindAfter)
	if _, err := fmt.Fprintf(c, "%s\r\n", head("GET", "/slots/2f", attemptID(), chargeDeadline)); err != nil {
		w.note("client: behind %s: %v", ch.id, err)
	}
	w.note("client: has sent a look-up behind %s", ch.id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	var n int64
	if err == nil {
		n, err = io.Copy(io.Discard, resp.Body)
	}
	took := time.Since(began)
	w.note("client: charge %s ends after %d ms with %s", ch.id, took.Milliseconds(), outcome(resp, n, err))
	if err != nil && ch.answered.Load() && took < chargeTimeout-100*time.Millisecond && took.Milliseconds() < atWorkMillis {
		w.fail("charge %s ran and its target answered it whole, and the connection ended after %d ms with %s", ch.id, took.Milliseconds(), outcome(resp, n, err))
	}
}
