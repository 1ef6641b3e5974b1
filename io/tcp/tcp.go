// Package tcp tells what a TCP connection still holds.
//
// # Usage
//
//	q, ok := tcp.QueuesOf(conn)
package tcp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Queues are the bytes that a socket holds.
type Queues struct {
	// Unread is what the peer has sent and the process has not read.
	Unread int
	// Unacked is what was written and the peer's host has not acknowledged. It counts an end
	// of the stream that was not acknowledged as one byte.
	Unacked int
}

// QueuesOf returns what the socket of a connection holds. ok is false if that is unknown.
func QueuesOf(conn net.Conn) (q Queues, ok bool) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return q, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return q, false
	}
	var inErr, outErr error
	err = raw.Control(func(fd uintptr) {
		q.Unread, inErr = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		q.Unacked, outErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return q, err == nil && inErr == nil && outErr == nil
}
