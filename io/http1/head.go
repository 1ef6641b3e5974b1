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

var errBareCR = &HeadError{"a carriage return within a line"}

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

// head checks the heads of the responses to one request as they arrive. The zero value is at the beginning.
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

// scan checks p and returns how many bytes of it may be passed to a parser. With an error those are the ones
// before the malformed line, or of a status line all but its end: net/http may repeat a request if no byte of
// a response was read.
func (h *head) scan(p []byte) (int, error) {
	line := 0
	for i := 0; i < len(p) && h.state != inBody; {
		if h.state == atLine && !h.cr {
			line = i
		}
		n, err := h.scanPart(p[i:])
		if h.state == inStatus {
			line = i + n
		}
		if err != nil {
			return line, err
		}
		i += n
	}
	return len(p), nil
}

// scanPart checks the beginning of p, which is not empty, and returns its length.
func (h *head) scanPart(p []byte) (int, error) {
	switch h.state {
	case inStatus:
		return h.scanStatus(p)
	case inName:
		return h.scanName(p)
	case inValue:
		return h.scanValue(p)
	default:
		return h.beginLine(p[0])
	}
}

// scanStatus checks the status line up to its end, or the end.
func (h *head) scanStatus(p []byte) (int, error) {
	if p[0] == '\n' {
		return h.endStatus()
	}
	for i, b := range p {
		if b == '\n' {
			return i, nil
		}
		h.control = h.control || h.cr || b != '\r' && !isText[b]
		h.cr = b == '\r'
		if h.kept < len(h.prefix) && !h.cr {
			h.prefix[h.kept] = b
			h.kept++
		}
	}
	return len(p), nil
}

// beginLine checks the first byte of a field line, or a byte of the end of the head.
func (h *head) beginLine(b byte) (int, error) {
	switch {
	case b == '\n':
		h.endHead()
		return 1, nil
	case h.cr:
		return 0, errBareCR
	case b == '\r':
		h.cr = true
		return 1, nil
	case b != ' ' && b != '\t':
		h.state, h.kept = inName, 0
		return 0, nil
	case !h.field:
		return 0, &HeadError{"a blank before the first field"}
	}
	h.state = inValue // It continues the line before.
	return 1, nil
}

// scanName checks a field name and the colon behind it.
func (h *head) scanName(p []byte) (int, error) {
	for i, b := range p {
		switch {
		case isToken[b]:
			if h.kept < len(h.prefix) {
				h.prefix[h.kept] = b
				h.kept++
			}
		case b != ':' || h.kept == 0:
			return i, &HeadError{fmt.Sprintf("%q in the name of a field", b)}
		case h.old && strings.EqualFold(string(h.prefix[:h.kept]), transferEncoding):
			return i, &HeadError{"a transfer encoding in HTTP/1.0"}
		default:
			h.state, h.field = inValue, true
			return i + 1, nil
		}
	}
	return len(p), nil
}

// scanValue checks a field value up to its end, or the end.
func (h *head) scanValue(p []byte) (int, error) {
	for i, b := range p {
		switch {
		case h.cr && b != '\n':
			return i, errBareCR
		case isText[b]:
		case b == '\r':
			h.cr = true
		case b == '\n':
			h.state, h.cr = atLine, false
			return i + 1, nil
		default:
			return i, &HeadError{fmt.Sprintf("control byte %#02x in the value of a field", b)}
		}
	}
	return len(p), nil
}

// endHead handles the end of a head.
func (h *head) endHead() {
	if h.interim {
		*h = head{}
		return
	}
	h.state = inBody
}

// endStatus handles the end of the status line.
func (h *head) endStatus() (int, error) {
	if err := h.checkStatus(); err != nil {
		return 0, err
	}
	h.state, h.cr = atLine, false
	return 1, nil
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
