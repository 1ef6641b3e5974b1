package tcp_test

import (
	"net"
	"testing"

	"auburnlatch/io/tcp"
	"auburnlatch/standin/window"
)

// dialPair returns both ends of a connection. The client's host takes about clientWindow bytes that
// are not read; 0: as many as usual.
func dialPair(t *testing.T, clientWindow int) (client, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := (&net.Dialer{Control: window.Control(clientWindow)}).Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); s.Close() })
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// The bytes that lie in a socket are told apart by their direction.
func TestQueuesOf(t *testing.T) {
	client, server := dialPair(t, 0)
	if _, err := client.Write([]byte("four")); err != nil {
		t.Fatal(err)
	}
	if q, ok := tcp.QueuesOf(server); !ok || q.Unread != 4 || q.Unacked != 0 {
		t.Errorf("server has %+v, %v", q, ok)
	}
	if q, ok := tcp.QueuesOf(client); !ok || q.Unread != 0 {
		t.Errorf("client has %+v, %v", q, ok)
	}
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	if _, ok := tcp.QueuesOf(a); ok {
		t.Error("the queues of a pipe are known")
	}
}
