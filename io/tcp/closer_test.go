package tcp_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"auburnlatch/io/tcp"
)

const (
	// responseBytes does not fit into the buffers of a peer that does not read.
	responseBytes = 200_000
	patience      = 10 * time.Second
	// smallWindow is the receive buffer of a peer that does not take a response, in bytes.
	smallWindow = 4 << 10
)

// writtenPair is dialPair with a response that was written and whose peer has received little of
// it.
func writtenPair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	client, server = dialPair(t, smallWindow)
	if err := server.SetWriteBuffer(2 * responseBytes); err != nil {
		t.Fatal(err)
	}
	if _, err := server.Write(make([]byte, responseBytes)); err != nil {
		t.Fatal(err)
	}
	return client, server
}

func readAll(t *testing.T, c net.Conn, want int64) {
	t.Helper()
	if n, err := io.Copy(io.Discard, c); n != want || err != nil {
		t.Errorf("the peer received %d bytes, %v; want %d", n, err, want)
	}
}

// Guards against connections that are closed before their peer has everything, or kept after it
// has closed them.
func TestCloserEnds(t *testing.T) {
	const soon = 50 * time.Millisecond
	for _, tc := range []struct {
		name    string
		within  time.Duration
		readErr error
		// act is what the peer does once the connection was handed over.
		act  func(t *testing.T, client *net.TCPConn, c *tcp.Closer)
		want tcp.Cause
	}{
		{"the peer reads all and closes", patience, nil, func(t *testing.T, client *net.TCPConn, _ *tcp.Closer) {
			readAll(t, client, responseBytes)
			client.Close()
		}, tcp.Complete},
		{"the peer sends, reads all and closes", patience, os.ErrDeadlineExceeded, func(t *testing.T, client *net.TCPConn, _ *tcp.Closer) {
			if _, err := client.Write(make([]byte, responseBytes)); err != nil {
				t.Error(err)
			}
			readAll(t, client, responseBytes)
			client.Close()
		}, tcp.Complete},
		{"the peer has closed its side and reads all", patience, io.EOF, func(t *testing.T, client *net.TCPConn, _ *tcp.Closer) {
			_ = client.CloseWrite()
			readAll(t, client, responseBytes)
		}, tcp.Complete},
		{"the peer closes its side and reads all", patience, nil, func(t *testing.T, client *net.TCPConn, _ *tcp.Closer) {
			_ = client.CloseWrite()
			readAll(t, client, responseBytes)
		}, tcp.Complete},
		{"the peer leaves", patience, nil, func(_ *testing.T, client *net.TCPConn, _ *tcp.Closer) {
			client.Close()
		}, tcp.PeerReset},
		{"the peer reads all and does not close", soon, nil, func(t *testing.T, client *net.TCPConn, _ *tcp.Closer) {
			readAll(t, client, responseBytes)
		}, tcp.TimeUp},
		{"the peer does not read", soon, nil, func(*testing.T, *net.TCPConn, *tcp.Closer) {}, tcp.TimeUp},
		{"the peer closes its side and does not read", soon, nil, func(_ *testing.T, client *net.TCPConn, _ *tcp.Closer) {
			_ = client.CloseWrite()
		}, tcp.TimeUp},
		{"the peer sends without end", patience, nil, func(t *testing.T, client *net.TCPConn, _ *tcp.Closer) {
			go func() {
				for {
					if _, err := client.Write(make([]byte, responseBytes)); err != nil {
						return
					}
				}
			}()
			if n, _ := io.Copy(io.Discard, client); n != responseBytes {
				t.Errorf("the peer received %d bytes", n)
			}
		}, tcp.TooMuch},
		{"the Closer is stopped", patience, nil, func(_ *testing.T, _ *net.TCPConn, c *tcp.Closer) { c.Stop() }, tcp.Stopped},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client, server := writtenPair(t)
			ended := make(chan tcp.End, 1)
			c := tcp.NewCloser(tcp.WithEnded(func(e tcp.End) { ended <- e }))
			began := time.Now()
			if err := c.Close(server, tc.readErr, began, began.Add(tc.within)); err != nil {
				t.Fatal(err)
			}
			tc.act(t, client, c)
			select {
			case e := <-ended:
				if e.Cause != tc.want {
					t.Errorf("closed: %v, want %v; %+v", e.Cause, tc.want, e)
				}
			case <-time.After(patience):
				t.Error("not closed")
			}
			if n := c.Count(); n != 0 {
				t.Errorf("%d connections are left", n)
			}
		})
	}
}

// Guards against connections that are kept although there is nothing left to receive on them.
func TestCloserKeepsNoConnectionThatIsDone(t *testing.T) {
	for name, readErr := range map[string]error{"the peer has closed": io.EOF, "the peer has reset": syscall.ECONNRESET} {
		t.Run(name, func(t *testing.T) {
			client, server := dialPair(t, 0)
			var c tcp.Closer
			now := time.Now()
			if err := c.Close(server, readErr, now, now.Add(patience)); err != nil || c.Count() != 0 {
				t.Errorf("Close: %v, %d connections are left", err, c.Count())
			}
			readAll(t, client, 0)
		})
	}
}

// Guards against connections that are kept without a bound on their number.
func TestCloserDisplacesTheOldest(t *testing.T) {
	ended := make(chan tcp.End, 3)
	c := tcp.NewCloser(tcp.WithMaxClosing(2), tcp.WithEnded(func(e tcp.End) { ended <- e }))
	defer c.Stop()
	now := time.Now()
	var servers []*net.TCPConn
	for range 3 {
		_, server := writtenPair(t)
		servers = append(servers, server)
		if err := c.Close(server, nil, now, now.Add(patience)); err != nil {
			t.Fatal(err)
		}
	}
	if e := <-ended; e.Cause != tcp.Displaced || e.Peer.String() != servers[0].RemoteAddr().String() {
		t.Errorf("%+v", e)
	}
	if n := c.Count(); n != 2 {
		t.Errorf("%d connections are being closed", n)
	}
	_, quiet := dialPair(t, 0)
	if err := c.Close(quiet, nil, now, now.Add(patience)); err != nil || c.Count() != 2 || len(ended) != 0 {
		t.Errorf("Close: %v; %d are being closed, %d were displaced by one whose peer has everything", err, c.Count(), len(ended))
	}
}

// Guards against a process that ends while peers still receive, or waits for those that are done.
func TestCloserWait(t *testing.T) {
	client, server := writtenPair(t)
	var c tcp.Closer
	now := time.Now()
	if err := c.Close(server, nil, now, now.Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	c.Wait(ctx)
	if ctx.Err() == nil {
		t.Error("Wait returned before the peer had everything")
	}
	if _, err := io.Copy(io.Discard, client); !errors.Is(err, syscall.ECONNRESET) && err != nil {
		t.Errorf("read after the time was over: %v", err)
	}
	_, late := writtenPair(t)
	if err := c.Close(late, nil, now, now.Add(time.Minute)); err != nil || c.Count() != 0 {
		t.Errorf("Close after the stop: %v, %d connections are being closed", err, c.Count())
	}
}
