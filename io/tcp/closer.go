package tcp

import (
	"container/list"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/io/lifecycle"
)

const (
	// maxDiscarded is how many bytes a connection that is being closed still reads. It covers
	// the rest of a long body whose request was refused.
	maxDiscarded = 16 << 20
	// defaultMaxClosing is how many connections are being closed at a time, an eighth of the
	// descriptors of a small VM.
	defaultMaxClosing = 512
	// ackTick is how often a connection of which only acknowledgements are missing is looked
	// at, and waitTick how often Wait counts the connections.
	ackTick  = 50 * time.Millisecond
	waitTick = 20 * time.Millisecond
	// smallRead and largeRead are sizes of reads in bytes. Most peers send nothing more.
	smallRead = 512
	largeRead = 16 << 10
)

// Cause says why a connection was closed.
type Cause int

// The causes, in the order in which they are preferred.
const (
	// Complete means that the peer's host has received everything and the peer has closed.
	Complete Cause = iota
	// PeerReset means that the peer has reset the connection.
	PeerReset
	// TooMuch means that the peer sent too much, and its host has received everything.
	TooMuch
	// TimeUp means that the time of the connection was over.
	TimeUp
	// Displaced means that too many connections were being closed.
	Displaced
	// Stopped means that the Closer was stopped.
	Stopped
)

var causeNames = [...]string{"Complete", "PeerReset", "TooMuch", "TimeUp", "Displaced", "Stopped"}

// String returns the cause's name.
func (c Cause) String() string { return causeNames[c] }

// End says how a connection was closed.
type End struct {
	Peer  net.Addr
	Cause Cause
	// Queues are what the socket still held.
	Queues Queues
	// Discarded is how many bytes were read after the last one that was used.
	Discarded int64
	// Took is the time since the connection was handed to the Closer.
	Took time.Duration
}

// Closer closes connections in the background, once their peers have received what was written.
// The zero value is ready to use. It is safe for concurrent use.
type Closer struct {
	max   int // Of connections; 0: defaultMaxClosing.
	ended func(End)

	mu      sync.Mutex
	conns   list.List // *closing, the oldest first.
	stopped bool
}

// CloserOption configures a Closer.
type CloserOption func(*Closer)

// WithMaxClosing bounds how many connections are being closed at a time. Beyond it the oldest one
// is closed at once.
func WithMaxClosing(n int) CloserOption { return func(c *Closer) { c.max = n } }

// WithEnded has f called for each connection that was closed.
func WithEnded(f func(End)) CloserOption { return func(c *Closer) { c.ended = f } }

// NewCloser returns a Closer.
func NewCloser(opts ...CloserOption) *Closer {
	c := &Closer{}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close ends the stream to the peer and returns. The connection is closed once the peer's host has
// acknowledged everything and the peer has closed its side, at the latest at by. What the peer
// sends until then is discarded. readErr is the error with which reading the connection ended; nil
// or a timeout: it did not.
//
// A connection that cannot be half closed is closed at once.
func (c *Closer) Close(conn net.Conn, readErr error, now, by time.Time) error {
	half, ok := conn.(interface{ CloseWrite() error })
	over := readErr != nil && !errors.Is(readErr, os.ErrDeadlineExceeded)
	q, known := QueuesOf(conn)
	quiet := known && q == Queues{}
	if !ok || over && (quiet || !errors.Is(readErr, io.EOF)) || c.full() && quiet || half.CloseWrite() != nil {
		return conn.Close()
	}
	l := &closing{closer: c, conn: conn, began: now, by: by, eof: over}
	if err := conn.SetReadDeadline(by); err != nil {
		return conn.Close()
	}
	if !c.add(l) {
		return conn.Close()
	}
	go l.run()
	return nil
}

// full reports whether as many connections are being closed as may be.
func (c *Closer) full() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns.Len() >= c.maxClosing()
}

func (c *Closer) maxClosing() int {
	if c.max > 0 {
		return c.max
	}
	return defaultMaxClosing
}

// add adds a connection, unless the Closer was stopped. It displaces the oldest if there are too
// many.
func (c *Closer) add(l *closing) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	if c.conns.Len() >= c.maxClosing() {
		c.conns.Remove(c.conns.Front()).(*closing).end(Displaced)
	}
	l.element = c.conns.PushBack(l)
	return true
}

// Count returns how many connections are being closed.
func (c *Closer) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns.Len()
}

// Wait waits until all connections are closed, or until ctx ends. It closes what is left then.
func (c *Closer) Wait(ctx context.Context) {
	for c.Count() > 0 && lifecycle.Sleep(ctx, waitTick) {
	}
	c.Stop()
}

// Stop closes all connections at once, and from now on those that are handed over.
func (c *Closer) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	for e := c.conns.Front(); e != nil; e = c.conns.Front() {
		c.conns.Remove(e).(*closing).end(Stopped)
	}
}

// closing is a connection that is being closed.
type closing struct {
	closer    *Closer
	conn      net.Conn
	began, by time.Time
	eof       bool // The peer has closed its side.
	discarded int64
	element   *list.Element

	// The lock of the Closer guards what follows.
	ended bool
	cause Cause
	left  Queues
}

// end closes the connection. The Closer is locked.
func (l *closing) end(cause Cause) {
	if l.ended {
		return
	}
	l.ended, l.cause = true, cause
	l.left, _ = QueuesOf(l.conn)
	l.conn.Close()
}

// run reads until the peer has closed its side, and then waits for the last acknowledgements.
func (l *closing) run() {
	cause := Complete
	if !l.eof {
		cause = l.discard()
	}
	if cause == Complete || cause == TooMuch {
		cause = l.awaitAcks(cause)
	}
	l.finish(cause)
}

// discard reads what the peer sends. It returns Complete if that has ended.
func (l *closing) discard() Cause {
	buf := make([]byte, smallRead)
	for l.discarded < maxDiscarded {
		n, err := l.conn.Read(buf)
		l.discarded += int64(n)
		switch {
		case err == io.EOF:
			return Complete
		case errors.Is(err, os.ErrDeadlineExceeded):
			return TimeUp
		case err != nil:
			return PeerReset
		case n == smallRead:
			buf = make([]byte, largeRead)
		}
	}
	return TooMuch
}

// awaitAcks waits until the peer's host has acknowledged everything. It returns cause then.
func (l *closing) awaitAcks(cause Cause) Cause {
	for {
		q, known := QueuesOf(l.conn)
		if !known || q.Unacked == 0 {
			return cause
		}
		if !time.Now().Before(l.by) {
			return TimeUp
		}
		time.Sleep(ackTick)
	}
}

// finish closes the connection, unless that was done, and reports it.
func (l *closing) finish(cause Cause) {
	c := l.closer
	c.mu.Lock()
	if !l.ended {
		c.conns.Remove(l.element)
	}
	l.end(cause)
	end := End{Peer: l.conn.RemoteAddr(), Cause: l.cause, Queues: l.left, Discarded: l.discarded, Took: time.Since(l.began)}
	c.mu.Unlock()
	if c.ended != nil {
		c.ended(end)
	}
}
