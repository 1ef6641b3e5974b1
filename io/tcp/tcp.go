// Package tcp closes TCP connections without losing what was written to them, and tells a peer that
// is slow from one whose host is gone.
//
// If a socket is closed while bytes lie unread in it, or if bytes arrive afterwards, its host
// resets the connection and drops what the peer has not received. So a Closer ends the stream, discards
// what still arrives, and closes the connection when the peer has everything or its time is up.
//
// A peer that does not read is no reason to give a connection up, as long as its host acknowledges
// what it is sent. A SlowPeer asks the kernel for that.
//
// # Usage
//
//	c := tcp.NewCloser(tcp.WithEnded(func(e tcp.End) { log(e) }))
//	err := c.Close(conn, readErr, now, now.Add(10*time.Second)) // Returns at once.
//	c.Wait(ctx)                                                 // Before the process ends.
//
//	slow := tcp.WatchSlow(conn, timeout)
//	defer slow.Stop()
//	_, err := conn.Write(body)
//	err = slow.Err(err)
package tcp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Reset closes a connection with a reset, so that the peer sees that the stream is not whole. One that cannot be
// reset is just closed.
func Reset(conn net.Conn) error {
	if l, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0)
	}
	return conn.Close()
}

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
