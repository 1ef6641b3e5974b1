package route

import (
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/verdict"
)

// slotBody is the body of a response. It calls done, which releases the slot,
// when it is read to its end, fails or is closed.
type slotBody struct {
	io.ReadCloser
	once sync.Once
	done func(error)
}

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.once.Do(func() { b.done(nil) })
	case err != nil:
		b.once.Do(func() { b.done(verdict.Wrap(err, verdict.Ran, verdict.ReasonBroken, 0)) })
	}
	return n, err
}

// Close implements io.Closer. If the body is closed before its end, its reader
// canceled the request, which does not count against the upstream.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.done(verdict.New(verdict.Ran, verdict.ReasonCanceled, 0)) })
	return err
}

// remainingMillis returns the time from now to the deadline, in milliseconds.
func remainingMillis(now, deadline time.Time) string {
	return strconv.FormatInt(deadline.Sub(now).Milliseconds(), 10)
}
