package upstream

import (
	"bytes"
	"io"
	"net/http"
	"slices"
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

	// Process is asked before a request is written to a connection; nil: any process at the
	// upstream's address may run it.
	Process Process

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

// bodyError is the error of a read of the rest of a body.
type bodyError struct{ err error }

// Error implements error.
func (e *bodyError) Error() string { return "read the request's body: " + e.err.Error() }

// Unwrap returns the error of the reader.
func (e *bodyError) Unwrap() error { return e.err }

// writeTo writes the request. It returns a *bodyError if its body could not be read. begun reports
// whether the rest of the body was read from.
func (c *Call) writeTo(w io.Writer) (begun bool, err error) {
	head := c.head()
	if c.buffered() {
		_, err := w.Write(append(head, c.Body...))
		return false, err
	}
	if _, err := w.Write(head); err != nil {
		return false, err
	}
	if c.Length < 0 {
		for p := range slices.Chunk(c.Body, readSize) {
			if err := writeChunk(w, p); err != nil {
				return false, err
			}
		}
		return true, c.writeChunks(w)
	}
	if _, err := w.Write(c.Body); err != nil {
		return false, err
	}
	return true, c.writeRest(w)
}

// readSize is how much of a body is read at a time or sent in a chunk, in bytes.
const readSize = 16 << 10

// writeRest writes the rest of a body of known length.
func (c *Call) writeRest(w io.Writer) error {
	buf := make([]byte, readSize)
	for left := c.Length - int64(len(c.Body)); left > 0; {
		n, err := c.Rest.Read(buf[:min(left, readSize)])
		if _, werr := w.Write(buf[:n]); werr != nil {
			return werr
		}
		if left -= int64(n); left > 0 && err != nil {
			return &bodyError{err}
		}
	}
	return nil
}

// writeChunks writes the rest of a body of unknown length.
func (c *Call) writeChunks(w io.Writer) error {
	buf := make([]byte, readSize)
	for {
		n, err := c.Rest.Read(buf)
		if werr := writeChunk(w, buf[:n]); werr != nil {
			return werr
		}
		if err == io.EOF {
			_, werr := io.WriteString(w, "0\r\n\r\n")
			return werr
		}
		if err != nil {
			return &bodyError{err}
		}
	}
}

// writeChunk writes a part of a body. An empty one would end it and is not written.
func writeChunk(w io.Writer, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	b := make([]byte, 0, len(p)+len("ffffffff\r\n\r\n"))
	b = append(strconv.AppendInt(b, int64(len(p)), 16), "\r\n"...)
	_, err := w.Write(append(append(b, p...), "\r\n"...))
	return err
}
