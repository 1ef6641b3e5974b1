package upstream

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Call is one request to an upstream, as it is written to a connection.
type Call struct {
	// Target names the upstream's incarnation. Idle connections are kept per
	// incarnation, so that a connection to a stopped upstream is never used for
	// another one that now has its address.
	Target string
	Addr   string

	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	// Body is the request's body, or its first part if Rest is set.
	Body []byte
	// Rest is the part of the body after Body; nil if Body is complete.
	Rest io.Reader
	// Length is the size of the whole body in bytes; -1 if it is unknown, in
	// which case the body is sent chunked.
	Length int64

	// Admit is called right before the request is written. The request is not sent if it
	// returns false. A nil Admit admits every request.
	Admit func(now time.Time) bool

	// EchoHeader is the header field in which the upstream returns EchoID with
	// its response; empty if it returns no ID.
	EchoHeader, EchoID string

	// Connect is set to the time it took to open a connection, or 0 if an idle
	// one was reused.
	Connect time.Duration
}

// head returns the request line and the header, with the final empty line.
func (c *Call) head() []byte {
	var b bytes.Buffer
	b.WriteString(c.Method)
	b.WriteByte(' ')
	b.WriteString(c.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(c.Host)
	b.WriteString("\r\n")
	for name, values := range c.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	switch {
	case c.Length > 0 || c.Length == 0 && hasBody(c.Method):
		b.WriteString("Content-Length: " + strconv.FormatInt(c.Length, 10) + "\r\n")
	case c.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// hasBody reports whether requests with this method usually have a body, so that
// an empty one is sent with a Content-Length of 0.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// buffered reports whether the whole body is in memory.
func (c *Call) buffered() bool { return c.Rest == nil }

// writeTo writes the request and returns the number of bytes written. A read
// error of the caller's body and a write error of the connection can be told
// apart only by n.
func (c *Call) writeTo(w io.Writer) (n int64, err error) {
	head := c.head()
	if c.buffered() {
		m, err := w.Write(append(head, c.Body...))
		return int64(m), err
	}
	m, err := w.Write(head)
	n = int64(m)
	if err != nil {
		return n, err
	}
	body := io.MultiReader(bytes.NewReader(c.Body), c.Rest)
	if c.Length >= 0 {
		m, err := io.CopyN(w, body, c.Length)
		return n + m, err
	}
	return c.writeChunks(w, body, n)
}

const chunkSize = 16 << 10

func (c *Call) writeChunks(w io.Writer, body io.Reader, n int64) (int64, error) {
	buf := make([]byte, chunkSize)
	for {
		m, err := body.Read(buf)
		if m > 0 {
			chunk := append([]byte(strconv.FormatInt(int64(m), 16)+"\r\n"), buf[:m]...)
			k, werr := w.Write(append(chunk, "\r\n"...))
			n += int64(k)
			if werr != nil {
				return n, werr
			}
		}
		if err == io.EOF {
			k, werr := io.WriteString(w, "0\r\n\r\n")
			return n + int64(k), werr
		}
		if err != nil {
			return n, err
		}
	}
}
