package upstream

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Call is one request as it goes out on a connection.
type Call struct {
	// Target is the incarnation; connections are kept by it, so that one to an
	// upstream that is gone is never used for whoever has its address now.
	Target string
	Addr   string

	Method string
	// URI is the path and query as the caller wrote them.
	URI    string
	Host   string
	Header http.Header
	// Body is the request's body, or its beginning where Rest has more.
	Body []byte
	// Rest is read after Body; nil: Body is all there is.
	Rest io.Reader
	// Length of the whole body in bytes; -1: not known, sent in chunks.
	Length int64

	// Admit is asked right before the request is written; false keeps it from being sent.
	// nil: nothing is asked.
	Admit func(now time.Time) bool

	// EchoHeader is the field in which the upstream repeats EchoID; empty: it
	// repeats nothing.
	EchoHeader, EchoID string

	// Connect is set to the time it took to open a connection, 0 where a kept
	// one was used.
	Connect time.Duration
}

// head returns the request line and the header fields.
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

// hasBody reports whether a request of that method usually has a body, so that
// an empty one is announced.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// whole reports whether the body is all in memory.
func (c *Call) whole() bool { return c.Rest == nil }

// writeTo writes the request and returns how many bytes went out. It reports
// an error of the caller's body apart from one of the connection only by n.
func (c *Call) writeTo(w io.Writer) (n int64, err error) {
	head := c.head()
	if c.whole() {
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
