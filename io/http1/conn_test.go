package http1_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"auburnlatch/io/http1"
	"auburnlatch/io/tcp"
	"auburnlatch/standin/broken"
)

// connect returns both ends of a TCP connection.
func connect(t testing.TB) (client, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// writeUntilError writes until the connection has been reset.
func writeUntilError(t *testing.T, c net.Conn) error {
	t.Helper()
	for range 1 << 16 {
		if _, err := c.Write(make([]byte, 1<<10)); err != nil {
			return err
		}
	}
	t.Fatal("no write failed")
	return nil
}

const response = "HTTP/1.1 200 OK\r\n\r\nbytes"

// Guards against a reset that reads as an orderly close, as a write returned the error.
func TestReadReturnsErrorOfWrite(t *testing.T) {
	raw, server := connect(t)
	c := http1.NewConn(raw)
	_, _ = io.WriteString(server, response)
	_ = tcp.Reset(server)
	if err := writeUntilError(t, c); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("write: %v", err)
	}
	for range 2 { // The error stays.
		got, err := io.ReadAll(c)
		if !errors.Is(err, syscall.ECONNRESET) || !strings.HasPrefix(response, string(got)) {
			t.Errorf("read %q, %v", got, err)
		}
	}
}

// Guards against an orderly close that reads as a reset, as the peer reset the connection afterwards.
func TestReadReturnsEOFBeforeReset(t *testing.T) {
	raw, server := connect(t)
	c := http1.NewConn(raw)
	_, _ = io.WriteString(c, "unread")
	_, _ = io.WriteString(server, response)
	_ = server.CloseWrite()
	server.Close()
	if err := writeUntilError(t, c); !errors.Is(err, syscall.EPIPE) {
		t.Fatalf("write: %v", err)
	}
	if got, err := io.ReadAll(c); string(got) != response || err != nil {
		t.Errorf("read %q, %v", got, err)
	}
}

// beginConn closes begun when the first write begins.
type beginConn struct {
	*net.TCPConn
	begun chan struct{}
}

// Write implements net.Conn.
func (c *beginConn) Write(p []byte) (int, error) {
	close(c.begun)
	return c.TCPConn.Write(p)
}

// Guards against a read that waits at the end of the stream for a write that the peer does not read.
func TestEOFInterruptsWrite(t *testing.T) {
	raw, server := connect(t)
	begun := make(chan struct{})
	c := http1.NewConn(&beginConn{raw, begun})
	_, _ = io.WriteString(server, response)
	wrote := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20))
		wrote <- err
	}()
	<-begun
	_ = server.CloseWrite() // It stays open and reads nothing.
	if got, err := io.ReadAll(c); string(got) != response || err != nil {
		t.Errorf("read %q, %v", got, err)
	}
	select {
	case err := <-wrote:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("write: %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the write goes on")
	}
}

// Guards against heads that pass if they arrive in parts, behind interim ones, or were read ahead.
func TestMalformedHeadsInParts(t *testing.T) {
	for name, malformed := range broken.Heads("Id: 1\r\n", "bytes") {
		t.Run(name, func(t *testing.T) {
			for i := range malformed {
				for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"} {
					if _, err := readParts(t, before+malformed[:i], malformed[i:]); !isHeadError(err) {
						t.Errorf("behind %d bytes and %q: %v", i, before, err)
					}
				}
				c := http1.NewConn(nil)
				if err := c.Begin([]byte(malformed)); !isHeadError(err) {
					t.Errorf("read ahead: %v", err)
				}
			}
		})
	}
}

// Guards against heads within the grammar that are refused, by parts of them.
func TestHeadsWithinTheGrammar(t *testing.T) {
	for name, head := range map[string]string{
		"fields":              "HTTP/1.1 200 OK\r\nA: b\r\n!#$%&'*+-.^_`|~09azAZ:\t\x80\xff \r\nEmpty:\r\n\r\n",
		"no reason":           "HTTP/1.1 200\r\n\r\n",
		"reason in UTF-8":     "HTTP/1.1 404 Não encontrado\r\n\r\n",
		"old":                 "HTTP/1.0 200 OK\r\nTransfer-Encodings: none\r\n\r\n",
		"lines of one byte":   "HTTP/1.1 200 OK\nA: b\n\n",
		"a line continued":    "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\td\r\nE: f\r\n\r\n",
		"status beyond 599":   "HTTP/1.1 999 Odd\r\n\r\n",
		"interim responses":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Odd\r\nA: b\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"a body of any bytes": "HTTP/1.1 200 OK\r\n\r\n\x00\r \r\nA B: c\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for i := range head {
				if got, err := readParts(t, head[:i], head[i:]); got != head || err != nil {
					t.Errorf("in two parts after %d bytes: %q, %v", i, got, err)
				}
			}
		})
	}
}

// Guards against a connection that is read on after a malformed head.
func TestMalformedHeadEndsConn(t *testing.T) {
	c := http1.NewConn(&parts{parts: []string{"HTTP/1.1 200 OK\r\nA B: c\r\n\r\n", response}})
	for range 2 {
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); !isHeadError(err) {
			t.Errorf("response %v, %v", resp, err)
		}
	}
	if err := c.Begin(nil); !isHeadError(err) {
		t.Errorf("next request: %v", err)
	}
}

func isHeadError(err error) bool {
	var e *http1.HeadError
	return errors.As(err, &e)
}

// readParts returns what a Conn passes on of bytes that arrive in parts.
func readParts(t *testing.T, list ...string) (string, error) {
	t.Helper()
	c := http1.NewConn(&parts{parts: list})
	if err := c.Begin(nil); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	return string(got), err
}

// parts is a connection that is read in parts.
type parts struct {
	net.Conn
	bytes.Buffer
	parts []string
}

// Read implements net.Conn.
func (p *parts) Read(b []byte) (int, error) {
	for p.Len() == 0 && len(p.parts) > 0 {
		p.WriteString(p.parts[0])
		p.parts = p.parts[1:]
	}
	return p.Buffer.Read(b)
}

// Write implements net.Conn.
func (p *parts) Write(b []byte) (int, error) { return len(b), nil }

// FuzzHead checks that what a head is judged by does not depend on the parts in which it arrives, and that
// names and statuses that pass are within the grammar.
func FuzzHead(f *testing.F) {
	for _, malformed := range broken.Heads("Id: 1\r\n", "bytes") {
		f.Add([]byte(malformed), 20)
	}
	f.Add([]byte(response), 3)
	f.Fuzz(func(t *testing.T, data []byte, at int) {
		at = max(0, min(at, len(data)))
		whole, wholeErr := readParts(t, string(data))
		split, splitErr := readParts(t, string(data[:at]), string(data[at:]))
		if isHeadError(wholeErr) != isHeadError(splitErr) || wholeErr == nil && whole != split {
			t.Errorf("%q, %v; in parts %q, %v", whole, wholeErr, split, splitErr)
		}
		resp, err := http.ReadResponse(bufio.NewReader(http1.NewConn(&parts{parts: []string{string(data)}})), nil)
		if err != nil {
			return
		}
		if resp.StatusCode < 100 || resp.StatusCode > 999 || resp.ProtoMajor != 1 {
			t.Errorf("status %d of %s", resp.StatusCode, resp.Proto)
		}
		for name := range resp.Header {
			if name == "" || strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == ':' }) {
				t.Errorf("field %q", name)
			}
		}
	})
}

func BenchmarkHead(b *testing.B) {
	const head = "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 00:00:00 GMT\r\nContent-Type: application/octet-stream\r\nContent-Length: 5\r\nRequest-Id: 9c41d07be2a35f68\r\nLast-Modified: Sun, 06 Dec 2026 00:00:00 GMT\r\n\r\nbytes"
	c := http1.NewConn(nil)
	b.SetBytes(int64(len(head)))
	b.ReportAllocs()
	for b.Loop() {
		if err := c.Begin([]byte(head)); err != nil {
			b.Fatal(err)
		}
	}
}
