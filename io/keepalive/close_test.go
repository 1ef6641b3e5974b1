package keepalive_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"auburnlatch/io/keepalive"
	"auburnlatch/standin/window"
)

// lastBody is the length of a response that does not fit into the client's buffer, in bytes.
const lastBody = 200_000

// lastResponse is the handler of a server that is stopped as it serves a request.
type lastResponse struct{ begun, answer chan struct{} }

// ServeHTTP implements http.Handler.
func (l lastResponse) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	close(l.begun)
	<-l.answer
	_, _ = io.WriteString(w, strings.Repeat("a", lastBody))
}

// Guards against a server that resets a connection, or ends, while a client that has sent more
// still receives the last response.
func TestShutdownWaitsForLastResponse(t *testing.T) {
	for _, secure := range []bool{false, true} {
		t.Run(fmt.Sprint("TLS ", secure), func(t *testing.T) {
			h := lastResponse{make(chan struct{}), make(chan struct{})}
			srv := &keepalive.Server{HTTP: &http.Server{Handler: h}}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			c, err := (&net.Dialer{Control: window.Control(4 << 10)}).Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			serve := srv.Serve
			if secure {
				certified := httptest.NewTLSServer(nil)
				certified.Close()
				srv.HTTP.TLSConfig = certified.TLS
				serve = srv.ServeTLS
				c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
			}
			go serve(l)
			const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
			if _, err := io.WriteString(c, request); err != nil {
				t.Fatal(err)
			}
			<-h.begun
			if _, err := io.WriteString(c, request); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- srv.Shutdown(ctx) }()
			for probe, err := net.Dial("tcp", l.Addr().String()); err == nil; probe, err = net.Dial("tcp", l.Addr().String()) {
				probe.Close() // Until the server stops.
			}
			close(h.answer)
			select {
			case err := <-stopped:
				t.Fatalf("Shutdown returned before the client had the response: %v", err)
			case <-time.After(500 * time.Millisecond):
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatalf("no response: %v", err)
			}
			if n, err := io.Copy(io.Discard, resp.Body); n != lastBody || err != nil {
				t.Errorf("the client received %d bytes, %v", n, err)
			}
			c.Close()
			if err := <-stopped; err != nil {
				t.Errorf("Shutdown: %v", err)
			}
		})
	}
}
