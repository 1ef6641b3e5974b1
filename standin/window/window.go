// Package window gives connections small receive buffers, for tests of what a host has not taken.
//
// # Usage
//
//	d := net.Dialer{Control: window.Control(4 << 10)}        // Of the connections that it opens.
//	l := net.ListenConfig{Control: window.Control(16 << 10)} // Of those that are accepted.
package window

import (
	"errors"
	"syscall"
)

// Control returns a Control function with which a host takes about n bytes that its process has not
// read; 0: as many as usual.
func Control(n int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		if n == 0 {
			return nil
		}
		var err error
		cerr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, n)
		})
		return errors.Join(cerr, err)
	}
}
