package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	earlyUploads = 6
	// earlyShort and earlyLong are the sizes of uploads, sent by turns in chunks of earlyChunk, one
	// each earlyPause.
	earlyShort = 1280 << 10
	earlyLong  = 6 << 20
	earlyChunk = 32 << 10
	earlyPause = 4 * time.Millisecond
	// earlyAnswer is the size of the answer.
	earlyAnswer  = 400_000
	earlyTimeout = 20 * time.Second
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

// playEarly has clients upload long bodies in chunks. The target answers before it has read the
// body, keeps the connection and reads on.
func playEarly(w *world) error {
	w.configure(7, route{"/atelier/", "upload", earlyTimeout})
	for _, t := range w.targets {
		t.serve = w.serveEarly
	}
	if err := w.start(); err != nil {
		return err
	}
	var group sync.WaitGroup
	for i := range earlyUploads {
		group.Go(func() { w.uploadEarly(i) })
		time.Sleep(200 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	return nil
}

// earlyPath returns the path of an upload, which tells its size.
func earlyPath(i int) string {
	if i%2 == 0 {
		return "/atelier/short"
	}
	return "/atelier/long"
}

// earlySize returns the size of the body of an upload.
func earlySize(path string) int {
	if path == "/atelier/short" {
		return earlyShort
	}
	return earlyLong
}

// serveEarly answers an upload and compares its body with what the client sent.
func (w *world) serveEarly(t *target, c net.Conn, _ *bufio.Reader, req *http.Request) bool {
	id := req.Header.Get("X-Attempt-Id")
	w.note("target %s: runs %s", t.id, id)
	answered := make(chan bool, 1)
	answer := func() {
		ok := t.respond(c, http.StatusOK, id, true, "", make([]byte, earlyAnswer))
		w.note("target %s: has answered %s (written: %v)", t.id, id, ok)
		answered <- ok
	}
	if trouble() {
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
	w.note("target %s: has read %d of %d bytes of %s, end of the body seen: %v (%v)", t.id, n, sent, id, whole, err)
	switch {
	case wrong >= 0:
		w.fail("target %s got other bytes from offset %d of the body of %s on; it read %d bytes, end seen: %v", t.id, wrong, id, n, whole)
	case whole && n != sent:
		w.fail("target %s got a body of %d bytes for %s as whole, %d were sent", t.id, n, id, sent)
	}
	if !trouble() {
		answer()
	}
	return <-answered && whole
}

// uploadEarly uploads a body in chunks and reads the answer meanwhile.
func (w *world) uploadEarly(i int) {
	v := w.vms[i%len(w.vms)]
	id := attemptID()
	c, err := dial(v.front())
	if err != nil {
		w.note("client: %s cannot connect to %s: %v", id, v.name, err)
		return
	}
	defer c.Close()
	path := earlyPath(i)
	size := earlySize(path)
	w.note("client: sends %s to %s, %d bytes in chunks", id, v.name, size)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		resp, err := http.ReadResponse(c.r, nil)
		var n int64
		if err == nil {
			n, err = io.Copy(io.Discard, resp.Body)
		}
		w.note("client: %s is answered with %s", id, outcome(resp, n, err))
	}()
	if _, err := io.WriteString(c, head("POST", path, id, earlyTimeout)+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		w.note("client: %s: %v", id, err)
		return
	}
	chunk := make([]byte, earlyChunk)
	for sent := 0; sent < size; sent += len(chunk) {
		fillBody(chunk, sent)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
			w.note("client: %s: after %d bytes: %v", id, sent, err)
			<-answered
			return
		}
		time.Sleep(earlyPause)
	}
	if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
		w.note("client: %s: at the end of the body: %v", id, err)
	}
	w.note("client: has sent %s", id)
	<-answered
}
