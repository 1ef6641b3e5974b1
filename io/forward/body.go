package forward

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// unreadTimeout bounds how long the server reads a body that no handler has read, before it responds.
const unreadTimeout = 10 * time.Second

// errBodyEnded is the error of a read of a body whose request has been responded to.
var errBodyEnded = errors.New("the request has been responded to")

// Body is the body of a request that may be sent on while it arrives. Around a response, the
// http.Server reads what is left of a body, by turns with whoever sends it on: the receiver
// would get a body with a hole. A Body has one reader at a time. Until End it is who sends it on,
// and then the server. It is safe for concurrent use.
type Body struct {
	src     io.ReadCloser
	rc      *http.ResponseController
	timeout time.Duration // Of a read; 0: none.

	reading sync.Mutex // Held by who reads src.

	mu              sync.Mutex
	begun, complete bool // It was read from or sent on; it was read to its end.
	ended           bool
}

// OwnBody returns what a handler uses in place of its arguments if it may send on the body of the
// request while it arrives. timeout bounds each read; 0: there is no bound. The handler calls End
// before it returns. Without a body, OwnBody returns its arguments and nil.
//
// If the response begins before the body has been read to its end, the connection is closed after
// it, as the next request could not be told from the body.
func OwnBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) (http.ResponseWriter, *http.Request, *Body) {
	if r.Body == nil || r.Body == http.NoBody {
		return w, r, nil
	}
	b := &Body{src: r.Body, rc: http.NewResponseController(w), timeout: timeout}
	r = r.WithContext(r.Context())
	r.Body = b
	return &bodyWriter{ResponseWriter: w, body: b}, r, b
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if !b.begin() {
		return 0, errBodyEnded
	}
	n, err := b.src.Read(p)
	if err != nil {
		b.readEnded(err)
	}
	return n, err
}

// begin begins a read, unless the body has been ended.
func (b *Body) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return false
	}
	b.begun = true
	if b.timeout > 0 {
		_ = b.rc.SetReadDeadline(time.Now().Add(b.timeout))
	}
	return true
}

// readEnded records that the last read returned an error.
func (b *Body) readEnded(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.complete = b.complete || err == io.EOF
	if b.timeout > 0 && !b.ended {
		_ = b.rc.SetReadDeadline(time.Time{})
	}
}

// Close implements io.Closer. The server closes the body itself.
func (b *Body) Close() error { return nil }

// sent records that the body was given to who sends it on, who may not have begun to read it when the
// response arrives.
func (b *Body) sent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begun = true
}

// End ends a read that is in progress. It returns when nobody reads the body any more, or will.
func (b *Body) End() {
	if b == nil || !b.end() {
		return
	}
	b.reading.Lock()
	defer b.reading.Unlock()
}

// end reports whether the body may be being read.
func (b *Body) end() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	if !b.begun || b.complete {
		return false
	}
	_ = b.rc.SetReadDeadline(time.Unix(1, 0))
	return true
}

// beforeResponse is called before the header of the response is written.
func (b *Body) beforeResponse(h http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !b.begun:
		b.ended = true // The server reads it now.
		_ = b.rc.SetReadDeadline(time.Now().Add(unreadTimeout))
	case !b.complete:
		_ = b.rc.EnableFullDuplex() // The server leaves it alone.
		h.Set("Connection", "close")
	}
}

// bodyWriter responds to a request with a Body.
type bodyWriter struct {
	http.ResponseWriter
	body  *Body
	wrote bool
}

// WriteHeader implements http.ResponseWriter.
func (w *bodyWriter) WriteHeader(status int) {
	if !w.wrote && status >= http.StatusOK {
		w.wrote = true
		w.body.beforeResponse(w.Header())
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *bodyWriter) Write(p []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the http.ResponseWriter for an http.ResponseController.
func (w *bodyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
