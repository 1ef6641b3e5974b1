package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"auburnlatch/core/inventory"
	"auburnlatch/core/reach"
	"auburnlatch/core/verdict"
	"auburnlatch/io/tcp"
	"auburnlatch/io/upstream"
	"auburnlatch/standin/broken"
)

// resetUpload is how long an upload is in bytes: more than the sockets of a connection hold.
const resetUpload = 64 << 20

// upload is the body of an upload.
func upload() io.Reader { return io.LimitReader(zeros{}, resetUpload) }

type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// senders send an upload to an upstream on connections that dial opens.
func senders(addr string) map[string]func(ctx context.Context, dial upstream.Dial) (*http.Response, error) {
	return map[string]func(ctx context.Context, dial upstream.Dial) (*http.Response, error){
		"Pool": func(ctx context.Context, dial upstream.Dial) (*http.Response, error) {
			c := call(addr, "1")
			c.Body, c.Rest, c.Length = nil, upload(), resetUpload
			return upstream.NewPool(upstream.WithDial(dial)).Send(ctx, c, time.Second)
		},
		"Client": func(ctx context.Context, dial upstream.Dial) (*http.Response, error) {
			req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", upload())
			if err != nil {
				return nil, err
			}
			req.ContentLength = resetUpload
			return upstream.NewClient(upstream.WithDial(dial)).Send(ctx, &inventory.Target{Addr: addr}, nil, req)
		},
	}
}

// eachEarlyResponse has each sender upload to an upstream that responds without a length and reads no body, and
// ends the connection by end once the response has been read. It calls check with what was received.
func eachEarlyResponse(t *testing.T, end func(c net.Conn), check func(t *testing.T, want int, got int64, err error)) {
	for _, n := range []int{0, 3_000, 300_000} {
		response := "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + strings.Repeat("b", n)
		for name := range senders("") {
			t.Run(fmt.Sprint(name, " ", n), func(t *testing.T) {
				d := broken.NewDialer(int64(len(response)))
				addr := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, response)
					<-d.Read
					end(c)
				})
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				resp, err := senders(addr)[name](ctx, d.DialContext)
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Body.Close()
				got, err := io.Copy(io.Discard, resp.Body)
				check(t, n, got, err)
				if ctx.Err() != nil {
					t.Error("the response did not end")
				}
			})
		}
	}
}

// Guards against responses that pass for whole where the connection was reset and the request's
// writer learned of it first.
func TestResetLearnedByWriterEndsNoResponse(t *testing.T) {
	eachEarlyResponse(t, func(c net.Conn) { _ = tcp.Reset(c) }, func(t *testing.T, _ int, got int64, err error) {
		if err == nil {
			t.Errorf("a whole response of %d bytes", got)
		}
	})
}

// Guards against whole responses that pass for broken where the upstream ended its stream before it
// reset the connection, as it had not read the upload.
func TestEndBeforeResetEndsResponse(t *testing.T) {
	end := func(c net.Conn) {
		_ = c.(*net.TCPConn).CloseWrite()
		c.Close() // Bytes are unread, so it is a reset.
	}
	eachEarlyResponse(t, end, func(t *testing.T, want int, got int64, err error) {
		if err != nil || got != int64(want) {
			t.Errorf("%d bytes of %d, %v", got, want, err)
		}
	})
}

// respondOnce returns the address of an upstream that sends a response to the first request of each connection
// and then reads until the connection is closed, or closes it. closed is closed when that of the first is.
func respondOnce(t *testing.T, response string, closes bool) (addr string, closed chan struct{}) {
	t.Helper()
	return startClosing(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, response)
		if !closes {
			_, _ = io.Copy(io.Discard, r)
		}
	})
}

// requireNoResponse sends requests and checks to upstreams with a response, and fails if one takes it for a
// response, or if its connection can be used again.
func requireNoResponse(t *testing.T, response string, closes bool, reason string) {
	fails := func(t *testing.T, err error) {
		t.Helper()
		e := verdict.As(err)
		if err == nil || e.Verdict != verdict.MaybeRan || e.Reason != verdict.ReasonBroken || !strings.Contains(err.Error(), reason) {
			t.Errorf("error %v", err)
		}
	}
	for name, send := range map[string]func(ctx context.Context, t *testing.T, addr string){
		"Pool": func(ctx context.Context, t *testing.T, addr string) {
			_, err := upstream.NewPool().Send(ctx, call(addr, "1"), time.Second)
			fails(t, err)
		},
		"Client": func(ctx context.Context, t *testing.T, addr string) {
			req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			_, err = upstream.NewClient().Send(ctx, &inventory.Target{Addr: addr}, nil, req)
			fails(t, err)
		},
		"probe": func(ctx context.Context, t *testing.T, addr string) {
			if _, err := upstream.NewClient().Probe(ctx, &inventory.Target{Addr: addr}); err == nil || !strings.Contains(err.Error(), reason) {
				t.Errorf("error %v", err)
			}
		},
		"check": func(ctx context.Context, t *testing.T, addr string) {
			if got := upstream.NewPool().Contact(ctx, "t", addr, upstream.Check{Path: "/"}, reach.Heard); got == reach.Heard {
				t.Error("the upstream was heard")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, closed := respondOnce(t, response, closes)
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			send(ctx, t, addr)
			if ctx.Err() != nil {
				t.Error("it was waited for more")
			}
			requireClosed(t, closed)
		})
	}
}

// Guards against bytes outside the grammar of a head that pass for a response, or that lead to a body which
// is not the upstream's.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for name, response := range broken.Heads("Id: 1\r\n", "bytes") {
		t.Run(name, func(t *testing.T) { requireNoResponse(t, response, false, "malformed") })
	}
}

// Guards against heads without an end that pass for a response with an empty or short body.
func TestHeadThatStopsIsNoResponse(t *testing.T) {
	for name, response := range broken.Stops("Id: 1\r\n") {
		t.Run(name, func(t *testing.T) { requireNoResponse(t, response, true, "") })
	}
}

// Guards against a check that takes an interim response for the final one, and keeps a connection on which
// that is still to come.
func TestCheckAwaitsFinalResponse(t *testing.T) {
	addr := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for _, body := range []string{"of the check", "of the request"} {
			if _, ok := readRequest(r); !ok {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
			<-time.After(50 * time.Millisecond)
			answer(c, "1", body)
		}
	})
	p := upstream.NewPool()
	if got := p.Contact(t.Context(), "t", addr, upstream.Check{Path: "/"}, reach.Heard); got != reach.Heard {
		t.Errorf("contact %v", got)
	}
	if got, err := send(t, p, call(addr, "1")); got != "of the request" || err != nil {
		t.Errorf("response %q, %v", got, err)
	}
}
