package platform_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"auburnlatch/io/platform"
	"auburnlatch/io/tcp"
	"auburnlatch/standin/broken"
)

// Guards against bytes outside the grammar of a head that pass for an answer of the platform.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for name, response := range broken.Heads("Table-Era: 7\r\n", "{   }") {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(broken.Handler(response))
			defer srv.Close()
			c := platform.New(srv.URL)
			for call, f := range map[string]func() error{
				"commit": func() error { _, err := c.Commit(t.Context(), nil); return err },
				"scan":   func() error { _, err := c.Scan(t.Context(), "", "", 1); return err },
				"get":    func() error { _, err := c.GetObject(t.Context(), "o"); return err },
				"put":    func() error { return c.PutObject(t.Context(), "o", []byte("object")) },
			} {
				var e *platform.Error
				if err := f(); !errors.As(err, &e) || !e.Sent {
					t.Errorf("%s: %v", call, err)
				}
			}
			if !c.AnsweredAt().IsZero() || c.Era() != 0 {
				t.Errorf("answered at %v, era %d", c.AnsweredAt(), c.Era())
			}
		})
	}
}

// Guards against an object that passes for stored, where the connection was reset while it was written.
func TestResetLearnedByWriteEndsNoAnswer(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\n\r\nstored"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d := broken.NewDialer(int64(len(response)))
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, response)
		<-d.Read
		_ = tcp.Reset(c)
	}()
	c := platform.New("http://"+l.Addr().String(), platform.WithDial(d.DialContext))
	if err := c.PutObject(t.Context(), "o", make([]byte, 32<<20)); err == nil {
		t.Error("no error")
	}
}
