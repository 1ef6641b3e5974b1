package http1

import (
	"fmt"
	"strings"
)

// HeadError reports bytes that are no head of a response.
type HeadError struct {
	// Reason says what is wrong with them.
	Reason string
}

// Error implements error.
func (e *HeadError) Error() string { return "malformed response head: " + e.Reason }

// state is the part of a response that the next byte belongs to.
type state uint8

const (
	inStatus state = iota // The status line.
	atLine                // The first byte of a field line, or of the end of the head.
	inName                // A field name.
	inValue               // A field value.
	inBody                // What follows the head of the final response.
)

const (
	// maxPrefix is how many bytes of a line are kept: a version with a status code and the byte behind
	// it, or a name that matters.
	maxPrefix = len(transferEncoding) + 1
	// statusEnd is the offset of the end of the status code.
	statusEnd = len("HTTP/1.1 200")

	transferEncoding = "transfer-encoding"
)

// head follows the heads of the responses to one request, byte by byte. The zero value is at the
// beginning.
type head struct {
	state   state
	prefix  [maxPrefix]byte // The first kept bytes of the status line or of a name.
	kept    int
	cr      bool // The byte before was a carriage return.
	control bool // The status line has a control byte.
	field   bool // There was a field line.
	interim bool
	old     bool // The version is HTTP/1.0.
}

// scan follows p and returns how many bytes of it a parser may have: with an error, which says what is
// wrong, those before the line with the error. Of a status line it may have all but the end, so that a
// response has begun.
func (h *head) scan(p []byte) (int, error) {
	line := 0
	for i, b := range p {
		switch {
		case h.state == inBody:
			return len(p), nil
		case h.state == inStatus && b != '\n':
			h.nextOfStatus(b)
			line = i + 1
			continue
		case h.state == inValue && isText[b] && !h.cr:
			continue
		case h.state == inName && isToken[b]:
			h.keep(b)
			continue
		case h.state == atLine && !h.cr:
			line = i
		}
		if err := h.next(b); err != nil {
			return line, err
		}
	}
	return len(p), nil
}

// nextOfStatus follows a byte of the status line, which is checked at its end.
func (h *head) nextOfStatus(b byte) {
	h.control = h.control || h.cr || b != '\r' && !isText[b]
	if h.cr = b == '\r'; !h.cr {
		h.keep(b)
	}
}

// next follows a byte behind the status line or at its end.
func (h *head) next(b byte) error {
	switch {
	case h.cr && b != '\n':
		return &HeadError{"a carriage return within a line"}
	case b != '\r' && b != '\n' && !isText[b]:
		return &HeadError{fmt.Sprintf("control byte %#02x", b)}
	}
	h.cr = b == '\r'
	switch {
	case h.state == inName:
		return h.nextOfName(b)
	case h.cr:
		return nil
	case b == '\n':
		return h.endLine()
	default:
		return h.beginLine(b)
	}
}

// keep appends a byte to the prefix.
func (h *head) keep(b byte) {
	if h.kept < len(h.prefix) {
		h.prefix[h.kept] = b
		h.kept++
	}
}

// beginLine follows the first byte of a field line.
func (h *head) beginLine(b byte) error {
	if b != ' ' && b != '\t' {
		h.state, h.kept = inName, 0
		return h.nextOfName(b)
	}
	if !h.field {
		return &HeadError{"a blank before the first field"}
	}
	h.state = inValue // It continues the line before.
	return nil
}

// nextOfName follows a byte of a field name, or the colon behind it.
func (h *head) nextOfName(b byte) error {
	switch {
	case isToken[b]:
		h.keep(b)
		return nil
	case b != ':' || h.kept == 0:
		return &HeadError{fmt.Sprintf("%q in the name of a field", b)}
	case h.old && strings.EqualFold(string(h.prefix[:h.kept]), transferEncoding):
		return &HeadError{"a transfer encoding in HTTP/1.0"}
	}
	h.state, h.field = inValue, true
	return nil
}

// endLine follows the end of a line outside a name.
func (h *head) endLine() error {
	switch {
	case h.state == inStatus:
		h.state, h.field = atLine, false
		return h.checkStatus()
	case h.state == inValue:
		h.state = atLine
	case h.interim:
		*h = head{}
	default:
		h.state = inBody
	}
	return nil
}

// checkStatus checks the version and the status code of a status line. A 101 switches to a protocol that
// the request must have named, which no request does.
func (h *head) checkStatus() error {
	line := h.prefix[:h.kept]
	if len(line) < statusEnd || string(line[:len("HTTP/1.")]) != "HTTP/1." || !isDigit(line[7]) || line[8] != ' ' ||
		len(line) > statusEnd && line[statusEnd] != ' ' || h.control {
		return &HeadError{fmt.Sprintf("status line %q", line)}
	}
	code := line[9:statusEnd]
	if code[0] < '1' || code[0] > '9' || !isDigit(code[1]) || !isDigit(code[2]) || string(code) == "101" {
		return &HeadError{fmt.Sprintf("status code %q", code)}
	}
	h.old, h.interim = line[7] == '0', code[0] == '1'
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isText has the bytes of field values and reason phrases, and isToken those of field names (RFC 9110, section
// 5.6.2).
var isText, isToken = classes()

func classes() (text, token [256]bool) {
	for b := range text {
		text[b] = b == '\t' || b >= ' ' && b != 0x7f
	}
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		token[b] = true
	}
	return text, token
}
