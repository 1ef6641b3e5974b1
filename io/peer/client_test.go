package peer

import (
	"testing"
	"time"
)

// The idle time of a connection ends as a call begins. The connection must stay: the call would
// open one that nobody closes.
func TestIdleConnectionStaysForCall(t *testing.T) {
	c := NewClient()
	later := time.Now().Add(time.Hour)
	const addr = "127.0.0.1:1"
	c.release(c.acquire(addr))
	cn := c.acquire(addr)
	c.CloseIdle(later)
	if c.conns[addr] != cn {
		t.Error("the connection of a call was dropped")
	}
	c.release(cn)
	c.CloseIdle(time.Now())
	if c.conns[addr] != cn {
		t.Error("a connection that was just used was dropped")
	}
	c.CloseIdle(later)
	if c.conns[addr] != nil {
		t.Error("an idle connection was kept")
	}
}
