package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	earlyClients = 12
	// earlyFor is how long the clients upload, one body after the other.
	earlyFor = 15 * time.Second
	// Early answers are given for earlyLasts, from earlyAfter on.
	earlyAfter = 4 * time.Second
	earlyLasts = 6 * time.Second
	// earlyShort and earlyLong are the sizes of uploads, of which one in earlyLongEvery is long. They
	// are sent in chunks of earlyChunk, one each earlyPause.
	earlyShort     = 1280 << 10
	earlyLong      = 6 << 20
	earlyLongEvery = 10
	earlyChunk     = 32 << 10
	earlyPause     = time.Millisecond
	// earlyAnswer is the size of the answer.
	earlyAnswer  = 400_000
	earlyTimeout = 5 * time.Second
	// Every second target answers one upload in earlyEvery early meanwhile.
	earlyEvery = 10
)

// bodyByte is the byte at an offset of an upload: a position can be told by a few bytes in a row.
func bodyByte(offset int) byte {
	x := uint32(offset) * 2654435761
	return byte(x>>24) ^ byte(x>>13)
}

func fillBody(p []byte, offset int) {
	for i := range p {
		p[i] = bodyByte(offset + i)
	}
}

// earlyCounts counts what happened to the uploads.
type earlyCounts struct{ sent, whole, brokenOff, early, other atomic.Int64 }

// playEarly has clients upload long bodies in chunks. For some seconds half of the targets answer
// some uploads before they have read the body, keep the connection and read on.
func playEarly(w *world) error {
	w.configure(7, route{"/atelier/", "upload", earlyTimeout})
	var counts earlyCounts
	var began atomic.Int64 // When the clients began, in Unix nanoseconds.
	for i, t := range w.targets {
		var uploads atomic.Int64
		t.serve = func(t *target, c net.Conn, _ *bufio.Reader, req *http.Request) bool {
			since := time.Since(time.Unix(0, began.Load()))
			early := trouble() && i%2 == 0 && since >= earlyAfter && since < earlyAfter+earlyLasts && uploads.Add(1)%earlyEvery == 0
			return w.serveEarly(t, c, req, early, &counts)
		}
	}
	if err := w.start(); err != nil {
		return err
	}
	began.Store(time.Now().UnixNano())
	end := time.Now().Add(earlyFor)
	var group sync.WaitGroup
	for i := range earlyClients {
		group.Go(func() {
			for n := i; time.Now().Before(end); n++ {
				w.uploadEarly(w.vms[i%len(w.vms)], n, &counts)
			}
		})
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	w.note("%d uploads sent; targets read %d bodies whole, %d broke off; %d were answered early, of which %d got other bytes",
		counts.sent.Load(), counts.whole.Load(), counts.brokenOff.Load(), counts.early.Load(), counts.other.Load())
	if trouble() && counts.early.Load() == 0 {
		return errors.New("no upload was answered early")
	}
	return nil
}

// earlyPath returns the path of an upload, which tells its size.
func earlyPath(n int) string {
	if n%earlyLongEvery == 0 {
		return "/atelier/long"
	}
	return "/atelier/short"
}

// earlySize returns the size of the body of an upload.
func earlySize(path string) int {
	if path == "/atelier/short" {
		return earlyShort
	}
	return earlyLong
}

// serveEarly answers an upload and compares its body with what the client sent.
func (w *world) serveEarly(t *target, c net.Conn, req *http.Request, early bool, counts *earlyCounts) bool {
	id := req.Header.Get("X-Attempt-Id")
	answered := make(chan bool, 1)
	answer := func() { answered <- t.respond(c, http.StatusOK, id, true, "", make([]byte, earlyAnswer)) }
	if early {
		counts.early.Add(1)
		w.note("target %s: answers %s early", t.id, id)
		go answer()
	}
	sent := earlySize(req.URL.Path)
	n, wrong, err := 0, -1, error(nil)
	for buf := make([]byte, 16<<10); err == nil; {
		var m int
		m, err = req.Body.Read(buf)
		for i := range m {
			if wrong < 0 && buf[i] != bodyByte(n+i) {
				wrong = n + i
			}
		}
		n += m
	}
	whole := err == io.EOF
	if whole {
		counts.whole.Add(1)
	} else {
		counts.brokenOff.Add(1)
	}
	if early || !whole {
		w.note("target %s: has read %d of %d bytes of %s, end of the body seen: %v (%v)", t.id, n, sent, id, whole, err)
	}
	switch {
	case wrong >= 0:
		counts.other.Add(1)
		w.fail("target %s got other bytes from offset %d of the body of %s on; it read %d of %d bytes, end seen: %v", t.id, wrong, id, n, sent, whole)
	case whole && n != sent:
		counts.other.Add(1)
		w.fail("target %s got a body of %d bytes for %s as whole, %d were sent", t.id, n, id, sent)
	}
	if !early {
		answer()
	}
	return <-answered && whole
}

// uploadEarly uploads a body in chunks on a new connection and reads the answer meanwhile.
func (w *world) uploadEarly(v *vm, n int, counts *earlyCounts) {
	id := attemptID()
	c, err := dial(v.front())
	if err != nil {
		w.note("client: %s cannot connect to %s: %v", id, v.name, err)
		return
	}
	defer c.Close()
	counts.sent.Add(1)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_ = c.SetReadDeadline(time.Now().Add(earlyTimeout))
		resp, err := http.ReadResponse(c.r, nil)
		var n int64
		if err == nil {
			n, err = io.Copy(io.Discard, resp.Body)
		}
		w.note("client: %s to %s is answered with %s", id, v.name, outcome(resp, n, err))
	}()
	path := earlyPath(n)
	if err := sendChunks(c, head("POST", path, id, earlyTimeout), earlySize(path)); err != nil {
		w.note("client: %s: %v", id, err)
	}
	<-answered
}

// sendChunks sends a request with a body in chunks.
func sendChunks(c io.Writer, head string, size int) error {
	if _, err := io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	chunk := make([]byte, earlyChunk)
	for sent := 0; sent < size; sent += len(chunk) {
		fillBody(chunk, sent)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
			return fmt.Errorf("after %d of %d bytes: %w", sent, size, err)
		}
		time.Sleep(earlyPause)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}
