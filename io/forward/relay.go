package forward

import (
	"io"
	"net/http"
	"sync"
	"time"

	"auburnlatch/io/keepalive"
)

const (
	relayBuffer = 32 << 10 // Bytes.
	// writeTimeout bounds one write, for a receiver that has stopped reading.
	writeTimeout = 30 * time.Second
)

// buffers are reused: with one allocation per response, garbage collection was
// the largest cost of a small response.
var buffers = sync.Pool{New: func() any { return new([relayBuffer]byte) }}

// Relay copies the response to r to w as it arrives, and closes its body. If the body
// fails before its end, Relay panics with http.ErrAbortHandler: net/http then
// closes the connection, so that the receiver does not take a truncated response
// for a complete one. For HTTP/1.0, where the end of the connection may be the end of a
// response, a keepalive.Server resets it.
func Relay(w http.ResponseWriter, r *http.Request, resp *http.Response) {
	defer resp.Body.Close()
	if bw, ok := w.(*bodyWriter); ok {
		bw.body.sent()
	}
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	StripHopByHop(h)
	w.WriteHeader(resp.StatusCode)
	rc := http.NewResponseController(w)
	pooled := buffers.Get().(*[relayBuffer]byte)
	defer buffers.Put(pooled)
	buf := pooled[:]
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, werr := w.Write(buf[:n]); werr != nil {
				abort(r)
			}
			if resp.ContentLength < 0 {
				_ = rc.Flush()
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			abort(r)
		}
	}
}

// abort ends the response to a request that is not whole.
func abort(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		keepalive.ResetOnClose(r.Context())
	}
	panic(http.ErrAbortHandler)
}
