package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"auburnlatch/io/entry"
	"auburnlatch/io/settings"
	"auburnlatch/standin/window"
)

// longResponse does not fit into the receive buffer of dialSmallWindow, in bytes.
const longResponse = 200_000

// dialSmallWindow connects as a caller whose host takes few bytes that the caller has not read.
func dialSmallWindow(t *testing.T, addr string) *pipelineConn {
	t.Helper()
	d := net.Dialer{Control: window.Control(4 << 10)}
	c, err := d.DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &pipelineConn{c, bufio.NewReader(c)}
}

// Guards against a process that ends while a caller still receives its last response.
func TestStopWaitsForLastResponse(t *testing.T) {
	p := newPlatform()
	p.set(entry.TableRules, "config", config(1))
	begun, answer := make(chan struct{}), make(chan struct{})
	register(p, "i-1", startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-answer
		_, _ = io.WriteString(w, strings.Repeat("a", longResponse))
	}).addr())
	v := startVM(t, "a", p, func(cfg *settings.Entry) { cfg.StopGrace = 5 * time.Second })
	ready(t, v)
	c := dialSmallWindow(t, v.cfg.FrontAddr)
	c.send(t, "POST /post/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nDeadline-Ms: 10000\r\nContent-Length: 4\r\n\r\nbody")
	<-begun
	c.send(t, get("/get/1"))
	v.stop()
	eventually(t, "the VM leaves", func() bool { return !v.Ready() })
	close(answer)
	// The VM takes no requests for most of this time.
	select {
	case <-v.done:
		t.Fatal("the VM ended before its caller had the response")
	case <-time.After(3500 * time.Millisecond):
	}
	if status, body, closes := c.response(t); status != http.StatusOK || len(body) != longResponse || !closes {
		t.Errorf("status %d, %d bytes, closes: %v", status, len(body), closes)
	}
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("read after the response: %v, want EOF", err)
	}
	c.Close()
	done := time.Now()
	if err := <-v.done; err != nil {
		t.Errorf("Run: %v", err)
	}
	if took := time.Since(done); took > 700*time.Millisecond {
		t.Errorf("the VM ended %v after its last caller had everything", took)
	}
}

// Guards against a stop that waits for callers which have their responses and keep their
// connections.
func TestStopDoesNotWaitForIdleCallers(t *testing.T) {
	p := newPlatform()
	p.set(entry.TableRules, "config", config(1))
	register(p, "i-1", startUpstream(t, func(http.ResponseWriter, *http.Request) {}).addr())
	v := startVM(t, "a", p, func(cfg *settings.Entry) { cfg.StopGrace = 20 * time.Second })
	ready(t, v)
	c := dialPipeline(t, v)
	c.send(t, get("/get/1", "Deadline-Ms: 30000\r\n"))
	if status, _, _ := c.response(t); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	v.stop()
	began := time.Now()
	if err := <-v.done; err != nil {
		t.Errorf("Run: %v", err)
	}
	// It takes requests for 2.9 s, and the caller has a second to close its connection.
	if took := time.Since(began); took > 8*time.Second {
		t.Errorf("the VM ended after %v", took)
	}
}
