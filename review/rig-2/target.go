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
	beatInterval = 1500 * time.Millisecond
	healthPath   = "/healthz"
)

// target is a stand-in of a server of the platform. It serves one request at a time on a connection.
type target struct {
	id, service, zone, addr string
	slots                   int
	store                   *store
	// serve answers one request and reports whether the connection goes on.
	serve func(t *target, c net.Conn, r *bufio.Reader, req *http.Request) bool

	mu    sync.Mutex
	state string
	seq   int
	l     net.Listener
	conns map[net.Conn]bool
}

func (t *target) start() error {
	l, err := net.Listen("tcp", t.addr)
	if err != nil {
		return err
	}
	t.l, t.state, t.conns = l, "ready", make(map[net.Conn]bool)
	t.register()
	go t.accept()
	return nil
}

// register writes the target's entry. Heartbeats that change only Seq change no row, so that
// they are left out.
func (t *target) register() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	t.store.put("servers", t.id, fmt.Sprintf(`{"Addr":%q,"Info":{"Service":%q,"Version":"v1","Zone":%q,"Slots":%d},"Status":{"State":%q,"Seq":%d,"ColdLeft":"0ms"}}`,
		t.addr, t.service, t.zone, t.slots, t.state, t.seq))
}

func (t *target) accept() {
	for {
		c, err := t.l.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[c] = true
		t.mu.Unlock()
		go t.handle(c)
	}
}

func (t *target) handle(c net.Conn) {
	defer func() {
		c.Close()
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c, 64<<10)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !t.answer(c, r, req) {
			return
		}
	}
}

func (t *target) answer(c net.Conn, r *bufio.Reader, req *http.Request) bool {
	id := req.Header.Get("X-Attempt-Id")
	if want := req.Header.Get("X-Target-Instance"); want != "" && want != t.id {
		_, _ = io.Copy(io.Discard, req.Body)
		return t.respond(c, http.StatusMisdirectedRequest, id, false, "X-Instance-Id: "+t.id+"\r\n", nil)
	}
	if req.URL.Path == healthPath {
		return t.respond(c, http.StatusOK, id, false, "X-Instance-Id: "+t.id+"\r\nX-Server-Load: 0,0,"+fmt.Sprint(t.slots)+"\r\n", nil)
	}
	return t.serve(t, c, r, req)
}

// respond writes a whole answer with a length.
func (t *target) respond(c net.Conn, status int, id string, stamp bool, header string, body []byte) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=10\r\n%s", status, http.StatusText(status), len(body), header)
	if id != "" {
		head += "X-Attempt-Id: " + id + "\r\n"
	}
	if stamp {
		head += "X-Server-Stamp: " + t.stamp(id) + "\r\n"
	}
	_, err := c.Write(append([]byte(head+"\r\n"), body...))
	return err == nil
}

func (t *target) stamp(id string) string { return t.id + "." + id }
