package operator

import (
	"crypto/tls"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"

	"auburnlatch/standin/broken"
)

// Guards against bytes outside the grammar of a head that operators get as the answer of a VM.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for name, response := range broken.Heads("", "{   }") {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(broken.Handler(response))
			defer srv.Close()
			c, err := NewClient(strings.TrimPrefix(srv.URL, "http://"), nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := c.Status(t.Context()); err == nil || !strings.Contains(err.Error(), "malformed") {
				t.Errorf("error %v", err)
			}
		})
	}
}

// Guards against an answer that passes for whole, as a TLS connection was closed below TLS.
func TestTLSWithoutCloseNotifyEndsNoAnswer(t *testing.T) {
	own := newAuthority(t)
	own.sign("vm", own.cert)
	own.sign("operator", own.cert)
	cfg, err := tlsConfig(own.files("vm"))
	if err != nil {
		t.Fatal(err)
	}
	for name, notify := range map[string]bool{"with close_notify": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				raw, err := l.Accept()
				if err != nil {
					return
				}
				defer raw.Close()
				c := tls.Server(raw, cfg)
				_, _ = c.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n{}")
				if notify {
					_ = c.CloseWrite()
				}
			}()
			c, err := NewClient(l.Addr().String(), own.files("operator"))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := c.Status(t.Context()); (err == nil) != notify {
				t.Errorf("error %v", err)
			}
		})
	}
}
