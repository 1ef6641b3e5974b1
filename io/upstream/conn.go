package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/lease"
	"auburnlatch/core/verdict"
	"auburnlatch/io/clock"
	"auburnlatch/io/http1"
	"auburnlatch/io/tcp"
)

// Limits of a connection.
const (
	// asyncWriteThreshold is the body length in bytes above which a request is
	// written by a separate goroutine, so that a response sent before the
	// upstream has read the body is read at once. Shorter bodies fit into socket
	// buffers.
	asyncWriteThreshold = 16 << 10
	// maxStrayResponses is how many responses to earlier requests are skipped.
	maxStrayResponses = 4
	// maxStrayResponseBody is how many bytes of the body of a skipped response are
	// read.
	maxStrayResponseBody = 1 << 20
	// defaultKeepAlive is how long an idle connection is kept if the upstream
	// sends no Keep-Alive timeout. It is below the usual five seconds.
	defaultKeepAlive = 4 * time.Second
	// keepAliveFraction is the fraction of the upstream's idle timeout after which
	// a connection is no longer reused, so that a request is not sent while the
	// upstream closes the connection. Of ten seconds it leaves one, several times
	// the longest round trip. With 80 VMs and 234 upstreams a connection is used
	// every five seconds, and a fraction of 0.7 opened a tenth more connections.
	keepAliveFraction = 0.9
)

// errStray reports that the responses on a connection belong to other requests.
var errStray = errors.New("received a response to another request")

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	*http1.Conn
	opened    lease.Moment
	header    headerReader
	r         *bufio.Reader
	usedAt    time.Time
	keepAlive time.Duration
	reused    bool
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: http1.NewConn(raw), opened: clock.SinceBoot()}
	c.header.r = c.Conn
	c.r = bufio.NewReaderSize(&c.header, readBuffer)
	return c
}

// endRequest ends the stream to the upstream within a request, so that the upstream sees that it
// is not whole. A response can still be read.
func (c *conn) endRequest() {
	half, ok := c.NetConn().(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		c.Close()
	}
}

// expired reports whether the keep-alive time of an idle connection has passed.
func (c *conn) expired(now time.Time) bool { return now.Sub(c.usedAt) > c.keepAlive }

// quiet reports whether the upstream has neither closed an idle connection nor sent anything since
// its last response. Only a read shows that the upstream closed the connection.
// Without it, a request that must not be repeated could be written to a closed
// connection and lost.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.NetConn().(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, rerr := syscall.Read(int(fd), b[:])
		quiet = rerr == syscall.EAGAIN || rerr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// beginHeader begins to read headers, of which all together have up to max bytes.
func (c *conn) beginHeader(max int) error {
	c.header.begin(max)
	return c.beginResponse()
}

// nextHeader goes on with the header that follows a response to another request.
func (c *conn) nextHeader() error {
	c.header.next(HeaderStray)
	return c.beginResponse()
}

func (c *conn) beginResponse() error {
	ahead, err := c.r.Peek(c.r.Buffered())
	if err != nil {
		return err
	}
	return c.Begin(ahead)
}

// readHeader reads the header of the next final response. The request of the response is req.
func (c *conn) readHeader(req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.r, req)
		if err != nil {
			return nil, c.header.explain(err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		c.header.next(HeaderInterim)
	}
}

// exchange is one request on a connection and its response.
type exchange struct {
	conn *conn
	call *Call
	// wrote is closed after the request has been written or writing it has
	// failed; writeErr is set before.
	wrote    chan struct{}
	writeErr error
	// slow watches the connection while it has a body to send; nil: it has none.
	slow *tcp.SlowPeer
}

// run writes the request and closes wrote. It is the only reader of the rest of the body.
func (e *exchange) run() {
	var begun bool
	begun, e.writeErr = e.call.writeTo(e.conn)
	var body *bodyError
	unread := errors.As(e.writeErr, &body)
	if unread {
		e.conn.endRequest()
	}
	close(e.wrote)
	if begun && e.writeErr != nil && !unread {
		// The caller may read the response only when it has sent the whole body.
		_, _ = io.Copy(io.Discard, e.call.Rest)
	}
}

// bodyErr returns the error with which the body of the request ended before its end, or nil.
func (e *exchange) bodyErr() *bodyError {
	select {
	case <-e.wrote:
		var body *bodyError
		errors.As(e.writeErr, &body)
		return body
	default:
		return nil
	}
}

// sent reports whether the whole request has been written.
func (e *exchange) sent() bool {
	select {
	case <-e.wrote:
		return e.writeErr == nil
	default:
		return false
	}
}

// start writes the request, in a separate goroutine if its body is long or not
// buffered.
func (e *exchange) start() {
	if e.call.buffered() && len(e.call.Body) <= asyncWriteThreshold {
		e.run()
		return
	}
	go e.run()
}

// readResponse reads the header of the response to the call. A response with the
// ID of another request is late or a duplicate, and is skipped. All headers together
// have up to maxHeader bytes.
func (e *exchange) readResponse(maxHeader int) (*http.Response, error) {
	header := &e.conn.header
	if err := e.conn.beginHeader(maxHeader); err != nil {
		return nil, err
	}
	defer header.end()
	for range maxStrayResponses {
		resp, err := e.conn.readHeader(&http.Request{Method: e.call.Method})
		if err != nil {
			return nil, err
		}
		if e.call.EchoHeader == "" || resp.Header.Get(e.call.EchoHeader) == e.call.EchoID {
			return resp, nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errStray
		}
		header.end()
		if n, err := io.CopyN(io.Discard, resp.Body, maxStrayResponseBody); err != io.EOF || n == maxStrayResponseBody {
			return nil, errStray
		}
		if err := e.conn.nextHeader(); err != nil {
			return nil, err
		}
	}
	return nil, errStray
}

// reusable reports whether the connection may carry another request after the
// response. An upstream that responded before it had read the whole request still
// expects the rest of the body, and would read the next request as part of it. One whose host
// has not taken all of it would read the next request late, if at all.
func (e *exchange) reusable(resp *http.Response) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return framed && !resp.Close && e.sent() && e.taken()
}

// taken reports whether the upstream's host has all of the request, as far as that is known.
func (e *exchange) taken() bool {
	if e.slow == nil {
		return true
	}
	q, ok := tcp.QueuesOf(e.conn.NetConn())
	return !ok || q.Unacked == 0
}

// verdict returns the error of a request that got no response. before is the
// connection's count of written bytes before the request.
func (e *exchange) verdict(ctx context.Context, before int64, err error) *verdict.Error {
	reason := verdict.ContextReason(ctx.Err(), verdict.ReasonBroken)
	if e.conn.Written() == before {
		return verdict.Wrap(err, verdict.NotRun, reason, defaultRetryAfter)
	}
	if body := e.bodyErr(); body != nil && ctx.Err() == nil {
		return verdict.Wrap(body, verdict.MaybeRan, bodyReason(body), 0)
	}
	return verdict.Wrap(err, verdict.MaybeRan, reason, 0)
}

// bodyReason returns the reason for which a request failed whose body could not be read.
func bodyReason(err error) verdict.Reason {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return verdict.ReasonTooLarge
	}
	return verdict.ReasonBadRequest
}

// keepAliveFor returns how long the connection may be reused, by the Keep-Alive
// field of a response header.
func keepAliveFor(h http.Header) time.Duration {
	for _, param := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if seconds, err := strconv.Atoi(value); name == "timeout" && err == nil {
			return time.Duration(keepAliveFraction * float64(time.Duration(seconds)*time.Second))
		}
	}
	return defaultKeepAlive
}
