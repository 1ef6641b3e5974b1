package http1

import (
	"fmt"
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
	inLine                // The rest of one.
	inBody                // What follows the head of the final response.
)

const (
	// statusEnd is the offset of the end of the status code.
	statusEnd = len("HTTP/1.1 200")
	// maxPrefix is how many bytes of a status line are kept: up to the one behind the code.
	maxPrefix = statusEnd + 1
)

// head follows the heads of the responses to one request, byte by byte. The zero value is at the
// beginning.
type head struct {
	state   state
	prefix  [maxPrefix]byte // The first kept bytes of the status line.
	kept    int
	cr      bool // The byte before was a carriage return.
	control bool // The status line has a control byte.
	interim bool
}

// scan follows p and returns how many bytes of it a parser may have: with an error, which says what is
// wrong, all but the end of the status line.
func (h *head) scan(p []byte) (int, error) {
	for i, b := range p {
		switch {
		case h.state == inBody:
			return len(p), nil
		case h.state == inStatus && b != '\n':
			h.nextOfStatus(b)
			continue
		}
		if err := h.next(b); err != nil {
			return i, err
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
	switch h.cr = b == '\r'; {
	case h.cr:
		return nil
	case b == '\n':
		return h.endLine()
	}
	h.state = inLine
	return nil
}

// keep appends a byte to the prefix.
func (h *head) keep(b byte) {
	if h.kept < len(h.prefix) {
		h.prefix[h.kept] = b
		h.kept++
	}
}

// endLine follows the end of a line.
func (h *head) endLine() error {
	switch {
	case h.state == inStatus:
		h.state = atLine
		return h.checkStatus()
	case h.state == inLine:
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
	h.interim = code[0] == '1'
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isText has the bytes of reason phrases.
var isText = texts()

func texts() (text [256]bool) {
	for b := range text {
		text[b] = b == '\t' || b >= ' ' && b != 0x7f
	}
	return text
}
