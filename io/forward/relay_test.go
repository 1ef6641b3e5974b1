package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"auburnlatch/io/keepalive"
)

// relayedBytes is the length of a response whose beginning has been passed on before its end is read.
const relayedBytes = 400_000

// Guards against callers of HTTP/1.0 that take a response which was broken off for a whole one, as both end
// with the connection.
func TestBrokenResponseIsResetForHTTP10(t *testing.T) {
	for name, breaks := range map[string]bool{"whole": false, "broken off": true} {
		t.Run(name, func(t *testing.T) {
			up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, relayedBytes)) // In chunks.
				if breaks {
					panic(http.ErrAbortHandler)
				}
			}))
			defer up.Close()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			vm := &keepalive.Server{HTTP: &http.Server{Handler: passOn(up.Listener.Addr().String())}}
			defer vm.Close()
			go vm.Serve(l)
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprint(c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			n, err := io.Copy(io.Discard, resp.Body)
			if whole := err == nil; whole == breaks || whole && n != relayedBytes {
				t.Errorf("the caller got %d bytes, %v", n, err)
			}
		})
	}
}

// Guards against a body that its sender can't read any more as the response arrives before it has begun to.
func TestBodyIsReadBehindTheBeginOfTheResponse(t *testing.T) {
	const body = "a body that is sent on late"
	got := make(chan string, 1)
	begun := make(chan struct{})
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w, r, owned := OwnBody(w, r, time.Minute)
		defer owned.End()
		from, to := io.Pipe()
		go func() {
			defer to.Close()
			_, _ = io.WriteString(to, "begin")
			<-begun
			data, err := io.ReadAll(r.Body)
			got <- fmt.Sprint(string(data), err)
		}()
		Relay(w, r, &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: from})
	}))
	defer vm.Close()
	c, err := net.Dial("tcp", vm.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	close(begun)
	fmt.Fprint(c, body)
	if text := <-got; text != body+"<nil>" {
		t.Errorf("the upstream got %q", text)
	}
	if n, err := io.Copy(io.Discard, resp.Body); n != int64(len("begin")) || err != nil {
		t.Errorf("the caller got %d bytes, %v", n, err)
	}
}
