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

// probesAnswered is how many probes of a window awaitProbes waits for, and nextProbe how long it takes at
// most until the next one: 0.2 s, doubled for each.
const (
	probesAnswered = 3
	nextProbe      = 1600 * time.Millisecond
)

// awaitProbes waits until the kernel has probed the closed window of a connection some times and was
// answered.
func awaitProbes(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for {
		var info *unix.TCPInfo
		cerr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
		if err := errors.Join(cerr, err); err != nil {
			t.Fatal(err)
		}
		if info.Backoff >= probesAnswered && info.Probes == 0 {
			return
		}
		<-time.After(10 * time.Millisecond)
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
		// stalled says that the peer has not read for a while before its host is gone.
		stalled bool
	}{
		{"at once", false},
		{"while it does not read", true},
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
			if tc.stalled {
				awaitProbes(t, sender)
			}
			vanish(t, peer)
			gone := time.Now()
			err := <-wrote
			// The host is probed next within nextProbe. The rest is for a busy machine.
			if took := time.Since(gone); !errors.Is(watch.Err(err), tcp.ErrGone) || took > nextProbe+userTimeout+2*time.Second {
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
