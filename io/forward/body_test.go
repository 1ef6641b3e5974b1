package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"auburnlatch/io/upstream"
)

// responseBytes is far more than the buffers between an upstream and a caller hold.
const responseBytes = 400_000

// earlyUpstream begins to respond, and reads the body of a request once the caller has the beginning
// of the response.
type earlyUpstream struct {
	begun chan struct{}
	got   []byte
	err   error
}

// ServeHTTP implements http.Handler.
func (u *earlyUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	_ = rc.EnableFullDuplex()
	_, _ = w.Write(make([]byte, responseBytes))
	_ = rc.Flush()
	<-u.begun
	u.got, u.err = io.ReadAll(r.Body)
	_, _ = w.Write(make([]byte, responseBytes))
}

// passOn sends requests to an upstream as a VM does.
func passOn(addr string) http.HandlerFunc {
	c := upstream.NewClient()
	return func(w http.ResponseWriter, r *http.Request) {
		w, r, body := OwnBody(w, r, time.Minute)
		defer body.End()
		resp, err := c.RoundTrip(r.Context(), addr, r)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		Relay(w, r, resp)
	}
}

// Guards against bodies of which an upstream that responds early gets other bytes where the rest is
// due.
func TestBodyPassesWholeBehindEarlyResponse(t *testing.T) {
	body := make([]byte, 4<<20)
	_, _ = rand.NewChaCha8([32]byte{}).Read(body)
	u := &earlyUpstream{begun: make(chan struct{})}
	up := httptest.NewServer(u)
	defer up.Close()
	vm := httptest.NewServer(passOn(up.Listener.Addr().String()))
	defer vm.Close()
	c, err := net.Dial("tcp", vm.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go func() {
		fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
		for rest := body; len(rest) > 0; rest = rest[1<<15:] {
			fmt.Fprintf(c, "%x\r\n%s\r\n", 1<<15, rest[:1<<15])
		}
		fmt.Fprint(c, "0\r\n\r\n")
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	close(u.begun)
	if n, err := io.Copy(io.Discard, resp.Body); n != 2*responseBytes || err != nil {
		t.Errorf("the caller got %d bytes, %v", n, err)
	}
	if u.err != nil || !bytes.Equal(u.got, body) {
		t.Errorf("the upstream got %d bytes of %d, %v; as sent: %v", len(u.got), len(body), u.err, bytes.HasPrefix(body, u.got))
	}
}

// Guards against a handler that returns while its body is still being read, or never.
func TestEndStopsReader(t *testing.T) {
	read := make(chan error, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w, r, body := OwnBody(w, r, time.Minute)
		first := make(chan struct{})
		go func() {
			_, err := io.ReadFull(r.Body, make([]byte, len("part")))
			close(first)
			if err == nil {
				_, err = r.Body.Read(make([]byte, 1))
			}
			read <- err
		}()
		// The reader has the first part and waits for more.
		<-first
		w.WriteHeader(http.StatusOK)
		body.End()
		if n, err := r.Body.Read(make([]byte, 1)); n != 0 || err != errBodyEnded {
			t.Errorf("read after End: %d, %v", n, err)
		}
	}))
	defer srv.Close()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\npart")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || !resp.Close {
		t.Errorf("response: %v, %v", resp, err)
	}
	if err := <-read; err == nil {
		t.Error("the body was read to its end")
	}
}
