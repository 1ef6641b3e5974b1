package tcp_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"auburnlatch/io/tcp"
)

// userTimeout is well above the half second for which a host may not answer a second probe.
const userTimeout = 1500 * time.Millisecond

// bodyBytes does not fit into the buffers between a sender and a peer with a small window.
const bodyBytes = 8 << 20

// watchedPair is dialPair of a sender with a user timeout and a peer with a small window.
func watchedPair(t *testing.T) (peer, sender *net.TCPConn) {
	t.Helper()
	peer, sender = dialPair(t, smallWindow)
	raw, err := sender.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := tcp.SetUserTimeout(raw, userTimeout); err != nil {
		t.Fatal(err)
	}
	return peer, sender
}

// vanish has the host of a connection take nothing more, as if it had lost power.
func vanish(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	})
	if err := errors.Join(cerr, err); err != nil {
		t.Fatal(err)
	}
}

// Guards against connections that are broken off as their peer reads slowly, though its host
// acknowledges.
func TestSlowPeerIsKept(t *testing.T) {
	t.Parallel()
	peer, sender := watchedPair(t)
	defer tcp.WatchSlow(sender, userTimeout).Stop()
	wrote := make(chan error, 1)
	go func() {
		_, err := sender.Write(make([]byte, bodyBytes))
		wrote <- errors.Join(err, sender.CloseWrite())
	}()
	// The second pause is that of a peer that has read a little.
	for _, pause := range []time.Duration{4 * userTimeout, 3 * userTimeout} {
		select {
		case err := <-wrote:
			t.Fatalf("write ended while the peer did not read: %v", err)
		case <-time.After(pause):
		}
		if _, err := io.CopyN(io.Discard, peer, 100_000); err != nil {
			t.Fatal(err)
		}
	}
	if err := peer.SetReadBuffer(1 << 20); err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, peer); n != bodyBytes-200_000 || err != nil {
		t.Errorf("the peer got %d further bytes, %v", n, err)
	}
	if err := <-wrote; err != nil {
		t.Errorf("write: %v", err)
	}
}

// Guards against connections to a host that is gone which stay open.
func TestGonePeerIsNoticed(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		// notRead is for how long the peer does not read before its host is gone.
		notRead time.Duration
	}{
		{"at once", 0},
		{"while it does not read", 3 * userTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			peer, sender := watchedPair(t)
			watch := tcp.WatchSlow(sender, userTimeout)
			defer watch.Stop()
			wrote := make(chan error, 1)
			go func() {
				_, err := sender.Write(make([]byte, bodyBytes))
				wrote <- err
			}()
			time.Sleep(tc.notRead)
			vanish(t, peer)
			gone := time.Now()
			err := <-wrote
			// The host is probed next within as long as it was not read. The rest is for a busy
			// machine.
			if took := time.Since(gone); !errors.Is(watch.Err(err), tcp.ErrGone) || took > tc.notRead+userTimeout+2*time.Second {
				t.Errorf("write: %v after %v", err, took)
			}
		})
	}
}

// BenchmarkSlowPeerLook measures what WatchSlow and Stop cost, which is three system calls.
func BenchmarkSlowPeerLook(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	b.ReportAllocs()
	for b.Loop() {
		tcp.WatchSlow(c, userTimeout).Stop()
	}
}
