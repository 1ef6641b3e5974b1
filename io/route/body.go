package route

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// maxBuffered is how much of a request's body is buffered, in bytes. A request
// whose body is no longer than this can be sent again to another upstream. The
// digest of a request covers this part of the body only.
const maxBuffered = 64 << 10

// Body is the body of a request, with its beginning buffered in memory.
type Body struct {
	buffered []byte
	rest     io.ReadCloser // The unbuffered rest; nil if all of the body is buffered.
	// restRead reports whether rest was read from; the body cannot be sent
	// again then.
	restRead atomic.Bool
}

// ReadBody reads the beginning of r's body, up to 64 KiB, into memory. The rest
// stays in r.Body.
func ReadBody(r *http.Request) (*Body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &Body{}, nil
	}
	buffered, err := io.ReadAll(io.LimitReader(r.Body, maxBuffered))
	if err != nil {
		return nil, err
	}
	b := &Body{buffered: buffered, rest: r.Body}
	if len(buffered) < maxBuffered || r.ContentLength == int64(len(buffered)) {
		b.rest = nil
	}
	return b, nil
}

// streamBody returns r's body with nothing buffered.
func streamBody(r *http.Request) *Body {
	if r.Body == nil || r.Body == http.NoBody {
		return &Body{}
	}
	return &Body{rest: r.Body}
}

// Kept returns the buffered beginning of the body, up to 64 KiB.
func (b *Body) Kept() []byte { return b.buffered }

// Whole reports whether all of the body is buffered.
func (b *Body) Whole() bool { return b.rest == nil }

// Rewindable reports whether the body can be sent again from its start.
func (b *Body) Rewindable() bool { return b.rest == nil || !b.restRead.Load() }

// Reader returns a reader of the body from its start.
func (b *Body) Reader() io.ReadCloser {
	switch {
	case b.rest != nil:
		return io.NopCloser(io.MultiReader(bytes.NewReader(b.buffered), &restReader{b}))
	case len(b.buffered) > 0:
		return io.NopCloser(bytes.NewReader(b.buffered))
	default:
		return http.NoBody
	}
}

// restReader reads the unbuffered rest of a body and sets restRead.
type restReader struct{ body *Body }

func (r *restReader) Read(p []byte) (int, error) {
	r.body.restRead.Store(true)
	return r.body.rest.Read(p)
}
