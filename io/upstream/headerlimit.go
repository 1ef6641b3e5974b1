package upstream

import (
	"bytes"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// defaultMaxHeader is how many bytes are read of a response up to the end of its header, where
// nothing else is set.
const defaultMaxHeader = 64 << 10

// maxErrorText is how many bytes of a parser's error are kept.
const maxErrorText = 200

// HeaderForm says what a header that is too long consists of.
type HeaderForm int

const (
	// HeaderLine is one line without an end, or bytes that are no response.
	HeaderLine HeaderForm = iota
	// HeaderFields is field after field.
	HeaderFields
	// HeaderInterim is what follows interim responses.
	HeaderInterim
	// HeaderStray is what follows responses to other requests.
	HeaderStray
	headerForms
)

// String returns the name of the form in logs and metrics.
func (f HeaderForm) String() string {
	return [headerForms]string{"Line", "Fields", "Interim", "Stray"}[f]
}

// HeaderTooLongError reports that the header of a response has more bytes than are read.
type HeaderTooLongError struct {
	Form HeaderForm
	// Bytes is how many were read.
	Bytes int
}

// Error implements error.
func (e *HeaderTooLongError) Error() string {
	return fmt.Sprintf("response header is longer than %d bytes (%s)", e.Bytes, e.Form)
}

// headerReader reads from a connection and fails at the first read beyond the bound of a header.
// The bound is on what is read, so it counts bytes of a body that arrive with the header's end,
// which need no further read.
type headerReader struct {
	r       io.Reader
	max     int        // Bytes of all headers of an exchange.
	read    int        // Bytes so far.
	active  bool       // A header is being read.
	skipped HeaderForm // HeaderInterim, HeaderStray, or 0: no response was skipped.
	lines   int
}

// begin begins to count the bytes of a header, of which up to n are read.
func (h *headerReader) begin(n int) {
	h.max, h.read, h.active, h.skipped, h.lines = n, 0, true, 0, 0
}

// next goes on to count, at the header that follows a skipped response.
func (h *headerReader) next(skipped HeaderForm) { h.active, h.skipped = true, skipped }

// end ends the count.
func (h *headerReader) end() { h.active = false }

// Read implements io.Reader.
func (h *headerReader) Read(p []byte) (int, error) {
	if !h.active {
		return h.r.Read(p)
	}
	if h.read >= h.max {
		return 0, io.ErrUnexpectedEOF // See explain.
	}
	n, err := h.r.Read(p[:min(len(p), h.max-h.read)])
	h.read += n
	h.lines += bytes.Count(p[:n], []byte{'\n'})
	return n, err
}

// explain returns the error of a header that could not be read. That of the parser hides that the
// header was too long, and repeats the line that it could not parse.
func (h *headerReader) explain(err error) error {
	if h.active && h.read >= h.max {
		return &HeaderTooLongError{h.form(), h.read}
	}
	if text := err.Error(); len(text) > maxErrorText {
		return errors.Newf("%s... (%d bytes)", text[:maxErrorText], len(text))
	}
	return err
}

func (h *headerReader) form() HeaderForm {
	switch {
	case h.skipped != 0:
		return h.skipped
	case h.lines > 0:
		return HeaderFields
	default:
		return HeaderLine
	}
}

// countHeader counts err if it says that a header was too long.
func (p *Pool) countHeader(err error) {
	var e *HeaderTooLongError
	if errors.As(err, &e) {
		p.tooLong[e.Form].Add(1)
	}
}
