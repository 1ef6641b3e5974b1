package entry

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"

	"auburnlatch/core/verdict"
)

const (
	// maxAhead bounds what an aheadBuffer holds, in bytes, and aheadStep is how much of it a response
	// takes at a time.
	maxAhead  = 16 << 20
	aheadStep = 256 << 10
)

// aheadBuffer buffers the long responses of a VM that have requests in flight behind them on their
// connections. If such a response were passed on as it comes and then broken off, its
// connection would have to be closed, and the requests behind it, which upstreams run, would get no
// responses. The zero value is ready to use.
type aheadBuffer struct{ used atomic.Int64 }

// hold buffers a long response if it has requests in flight behind it on its connection. From then on
// further requests wait for their turn. It ends a response that is not whole when work does. free is
// to be called once the response has been passed on.
func (a *aheadBuffer) hold(ctx, work context.Context, conn *callerConn, res *result) (free func()) {
	if res.err != nil || res.response.rest == nil || !conn.holdBack() {
		return func() {}
	}
	defer context.AfterFunc(work, res.stop)()
	free, res.err = a.fill(ctx, res.response)
	return free
}

// fill reads a response to its end, or as far as there is room. It returns an error if the response
// is broken off.
func (a *aheadBuffer) fill(ctx context.Context, r *response) (free func(), e *verdict.Error) {
	taken := int64(0)
	free = func() { a.used.Add(-taken) }
	buf := bytes.NewBuffer(r.body)
	for r.rest != nil && a.take() {
		taken += aheadStep
		n, err := buf.ReadFrom(io.LimitReader(r.rest, aheadStep))
		r.body = buf.Bytes()
		if err == nil && n == aheadStep {
			continue
		}
		r.rest.Close()
		r.rest = nil
		if err != nil {
			return free, truncatedError(ctx, err)
		}
	}
	return free, nil
}

// take takes room for a step, if there is any.
func (a *aheadBuffer) take() bool {
	if a.used.Add(aheadStep) <= maxAhead {
		return true
	}
	a.used.Add(-aheadStep)
	return false
}
