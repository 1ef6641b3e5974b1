package entry

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"auburnlatch/core/route"
	"auburnlatch/core/verdict"
)

// Bounds on the pipelined requests that are processed before their turn.
const (
	// maxPipelinedPerConn is how many requests of one connection are in flight besides
	// the one to be answered next.
	maxPipelinedPerConn = 8
	// maxPipelinedPerVM is the bound over all connections: at responseBuffer each, the
	// responses take 32 MB at most, of 184 MB on the smallest VM.
	maxPipelinedPerVM = 128
)

// The states of a pipelined request.
const (
	pipelinedRunning = iota
	pipelinedDone
	pipelinedAbandoned
)

// pipelined is a pipelined request that is processed as soon as it is read, before the
// earlier requests of its connection have been answered. Otherwise it would be late by
// their durations, such as 3.5 s for a slow look-up, and a stopping VM would have
// requests that were read but not begun.
type pipelined struct {
	vm     *VM
	http   *http.Request
	ctx    context.Context
	cancel context.CancelFunc
	state  atomic.Int32
	done   chan struct{}

	result
}

// result is the outcome of a request: a response or an error.
type result struct {
	request  *request
	response *response
	err      *verdict.Error
	// readyAt is when the outcome was known.
	readyAt time.Time
	// streamed says that the response was not whole then.
	streamed bool
	// stop releases the context on which reading the rest of the response depends.
	stop context.CancelFunc
}

// bytes returns the size of the buffered bodies of the request and its response.
func (r result) bytes() int {
	n := len(r.request.body)
	if r.response != nil {
		n += len(r.response.body)
	}
	return n
}

// start implements starter. It starts only requests that may run more than once, as a
// caller that closes the connection early does not learn whether a request ran.
func (v *VM) start(ctx context.Context, r *http.Request) *pipelined {
	if v.leaving.Load() || r.Header.Get("Expect") != "" || r.Header.Get("Upgrade") != "" {
		return nil
	}
	table := v.table.Load()
	if table == nil {
		return nil
	}
	if rt := table.Find(r.Host, r.URL.EscapedPath()); rt == nil || rt.Kind != route.Idempotent {
		return nil
	}
	if v.pipelinedCount.Add(1) > maxPipelinedPerVM {
		v.pipelinedCount.Add(-1)
		return nil
	}
	p := &pipelined{vm: v, http: r, done: make(chan struct{})}
	p.ctx, p.cancel = context.WithCancel(ctx)
	go p.run()
	return p
}

// run processes the request.
func (p *pipelined) run() {
	v := p.vm
	v.inFlight.Add(1)
	defer v.inFlight.Add(-1)
	p.result = v.serve(p.ctx, p.http)
	if p.state.CompareAndSwap(pipelinedRunning, pipelinedDone) {
		close(p.done)
		return
	}
	p.release()
}

// wait waits for the outcome of the request.
func (p *pipelined) wait() result {
	<-p.done
	return p.result
}

// release frees the resources of the request.
func (p *pipelined) release() {
	p.response.discard()
	p.stop()
	p.cancel()
	p.vm.pipelinedCount.Add(-1)
}

// abandon cancels a request whose caller will not be answered.
func (p *pipelined) abandon() {
	if p == nil {
		return
	}
	p.cancel()
	if p.state.Swap(pipelinedAbandoned) == pipelinedDone {
		p.release()
	}
}

// matches reports whether r, as read by the server, is the same request.
func (p *pipelined) matches(r *http.Request) bool {
	return p.http.Method == r.Method && p.http.RequestURI == r.RequestURI && p.http.Host == r.Host &&
		p.http.Header.Get(p.vm.protocol.RequestID) == r.Header.Get(p.vm.protocol.RequestID)
}

// parseHeader parses a header with the parser of net/http, which also serves the request.
// It returns nil if that fails.
func parseHeader(header []byte) *http.Request {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(header)))
	if err != nil {
		return nil
	}
	return r
}

// bodyless reports whether a request has no body.
func bodyless(r *http.Request) bool { return r.ContentLength == 0 && len(r.TransferEncoding) == 0 }
