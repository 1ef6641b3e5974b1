package tcp_test

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"auburnlatch/io/tcp"
)

// control is the type of net.Dialer.Control.
type control func(network, address string, raw syscall.RawConn) error

// smallWindow has a host take few bytes that its process has not read.
func smallWindow(_, _ string, raw syscall.RawConn) error {
	var err error
	cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10)
	})
	return errors.Join(cerr, err)
}

// dialPair returns both ends of a connection.
func dialPair(t *testing.T, ofClient control) (client, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := (&net.Dialer{Control: ofClient}).Dial("tcp", l.Addr().String())
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
	client, server := dialPair(t, nil)
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
