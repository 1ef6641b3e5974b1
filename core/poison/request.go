package poison

import "strings"

// Request is a request's identity. Its print is computed on first use. It is not safe for
// concurrent use.
type Request struct {
	// Alone says that the run that was admitted is an exclusive trial.
	Alone bool

	content Content
	head    uint64
	print   *Print
}

// NewRequest returns the identity of a request with the given content.
func NewRequest(c Content) *Request { return &Request{content: c, head: c.Head()} }

// aloneSuffix marks an exclusive trial in a request that one VM forwards to another.
const aloneSuffix = ";alone"

// String returns the encoding that one VM forwards to another.
func (r *Request) String() string {
	if r.Alone {
		return r.Print().String() + aloneSuffix
	}
	return r.Print().String()
}

// ParseRequest parses the result of String. It returns false if the text is not a request.
func ParseRequest(text string) (*Request, bool) {
	text, alone := strings.CutSuffix(text, aloneSuffix)
	p, ok := ParsePrint(text)
	if !ok {
		return nil, false
	}
	return &Request{Alone: alone, head: p.Head, print: &p}, true
}

// Head returns the head of the request's print.
func (r *Request) Head() uint64 { return r.head }

// Print returns the request's print.
func (r *Request) Print() Print {
	if r.print == nil {
		p := r.content.Print()
		r.print = &p
	}
	return *r.print
}
