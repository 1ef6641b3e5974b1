package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/verdict"
)

// Bounds of a connection.
const (
	// asideAbove is the body length above which a request is written by a
	// goroutine of its own, so that an answer that comes before the body has been
	// taken in is read at once: shorter ones fit into socket buffers.
	asideAbove = 16 << 10
	// maxStray is how many answers to earlier requests are read over.
	maxStray = 4
	// maxStrayBody bounds what is read of one.
	maxStrayBody = 1 << 20
	// defaultKeep is how long a connection is kept if the upstream names no
	// time: short of the usual five seconds.
	defaultKeep = 4 * time.Second
	// keepShare is the part of the upstream's idle timeout after which a
	// connection is not used any more, so that a request does not cross its
	// close: of ten seconds it leaves one, some times the longest round trip. Where
	// 80 VMs share 234 upstreams a connection is used each five seconds, and at 0.7
	// a tenth more had to be opened.
	keepShare = 0.9
)

// errStray says that the answer on a connection belongs to another request.
var errStray = errors.New("answer to another request")

// conn is one connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	r       *bufio.Reader
	written atomic.Int64
	usedAt  time.Time
	keep    time.Duration
	reused  bool
}

// Write implements net.Conn and counts what may have gone out. It counts before
// it writes, since a write that fails may have sent a part.
func (c *conn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// fresh reports whether a kept connection can be used again: it was used
// lately, the upstream has not closed it and sent nothing since. An upstream
// that closes an idle connection shows only by a read; without it a request
// that must not be repeated would be written to a closed connection and lost.
func (c *conn) fresh(now time.Time) bool {
	if now.Sub(c.usedAt) > c.keep || c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
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

// exchange is one request on a connection and its answer.
type exchange struct {
	conn *conn
	call *Call
	// wrote is closed when the request is written; writeErr is set before.
	wrote    chan struct{}
	writeErr error
}

// run writes the request.
func (e *exchange) run() {
	defer close(e.wrote)
	_, e.writeErr = e.call.writeTo(e.conn)
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

// start writes the request, aside where it is long.
func (e *exchange) start() {
	if e.call.whole() && len(e.call.Body) <= asideAbove {
		e.run()
		return
	}
	go e.run()
}

// answer reads the header of the answer to the call. Answers that bear the ID
// of another request are late or extra ones, which belong to nobody: they are
// read over.
func (e *exchange) answer() (*http.Response, error) {
	for range maxStray {
		resp, err := http.ReadResponse(e.conn.r, &http.Request{Method: e.call.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		if e.call.EchoHeader == "" || resp.Header.Get(e.call.EchoHeader) == e.call.EchoID {
			return resp, nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errStray
		}
		if n, err := io.CopyN(io.Discard, resp.Body, maxStrayBody); err != io.EOF || n == maxStrayBody {
			return nil, errStray
		}
	}
	return nil, errStray
}

// reusable reports whether the connection may carry another request after an
// answer. An upstream that answered before it had the whole request reads on
// where the rest of the body is due, so a request sent then would be taken for
// that rest.
func (e *exchange) reusable(resp *http.Response) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return framed && !resp.Close && e.sent()
}

// verdict judges a request that brought no answer.
func (e *exchange) verdict(ctx context.Context, before int64, err error) *verdict.Error {
	reason := verdict.ContextReason(ctx.Err(), verdict.ReasonBroken)
	if e.conn.written.Load() == before {
		return verdict.Wrap(err, verdict.NotRun, reason, retryShed)
	}
	return verdict.Wrap(err, verdict.MaybeRan, reason, 0)
}

// keepFor returns how long the upstream keeps the connection idle.
func keepFor(h http.Header) time.Duration {
	for _, param := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if seconds, err := strconv.Atoi(value); name == "timeout" && err == nil {
			return time.Duration(keepShare * float64(time.Duration(seconds)*time.Second))
		}
	}
	return defaultKeep
}
