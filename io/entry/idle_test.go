package entry

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// racingConn is a connection on which a request arrives while idle connections are being
// closed.
type racingConn struct {
	net.Conn
	meanwhile func()
	deadline  time.Time
	closed    bool
}

func (c *racingConn) Read(p []byte) (int, error) {
	c.meanwhile()
	return copy(p, "GET"), nil
}

func (c *racingConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *racingConn) Close() error {
	c.closed = true
	return nil
}

// A VM stops. A request has just been read from a connection that still counts as idle when
// idle connections are closed. The connection must stay open: the caller of a request that
// is not idempotent would get no response and could not tell whether it ran.
func TestRequestDuringIdleCloseIsServed(t *testing.T) {
	var conns idleConns
	raw := &racingConn{meanwhile: conns.closeAll}
	c := &callerConn{Conn: raw}
	conns.connState(c, http.StateNew)
	conns.connState(c, http.StateIdle)
	server := time.Now().Add(time.Minute)
	if err := c.SetReadDeadline(server); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 10)); n == 0 || err != nil {
		t.Fatalf("Read: %d, %v", n, err)
	}
	if raw.closed || !raw.deadline.Equal(server) {
		t.Errorf("closed %v, deadline %v, want it open with the server's deadline", raw.closed, raw.deadline)
	}
}

func TestIdleConnectionsExpire(t *testing.T) {
	var conns idleConns
	old, young, busy := &racingConn{}, &racingConn{}, &racingConn{}
	now := time.Now()
	for raw, state := range map[*racingConn]http.ConnState{old: http.StateIdle, busy: http.StateActive} {
		c := &callerConn{Conn: raw}
		conns.connState(c, http.StateNew)
		conns.connState(c, state)
	}
	conns.closeOlder(now.Add(time.Minute), 30*time.Second)
	conns.connState(&callerConn{Conn: young}, http.StateNew)
	conns.closeOlder(now.Add(time.Second), 30*time.Second)
	if old.deadline.IsZero() || !young.deadline.IsZero() || !busy.deadline.IsZero() {
		t.Errorf("expired: old %v, young %v, busy %v", !old.deadline.IsZero(), !young.deadline.IsZero(), !busy.deadline.IsZero())
	}
}
