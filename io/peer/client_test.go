package peer

import (
	"testing"
	"time"
)

// Guards against calls that open a connection which nobody closes, as the idle one was just dropped.
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
