package forward

import (
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	relayBuffer = 32 << 10 // Bytes.
	// writeTimeout bounds one write, for a receiver that has stopped reading.
	writeTimeout = 30 * time.Second
)

// buffers are reused: with one allocation per response, garbage collection was
// the largest cost of a small response.
var buffers = sync.Pool{New: func() any { return new([relayBuffer]byte) }}

// Relay copies a response to w as it arrives, and closes its body. If the body
// fails before its end, Relay panics with http.ErrAbortHandler: net/http then
// closes the connection, so that the receiver does not take a truncated response
// for a complete one.
func Relay(w http.ResponseWriter, resp *http.Response) {
	defer resp.Body.Close()
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
				panic(http.ErrAbortHandler)
			}
			if resp.ContentLength < 0 {
				_ = rc.Flush()
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
