package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

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
