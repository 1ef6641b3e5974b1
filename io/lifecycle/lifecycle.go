// Package lifecycle has helpers for the loops and servers of a process.
//
// # Usage
//
//	lifecycle.Every(ctx, interval, func(now time.Time) { ... })
//	if !lifecycle.Sleep(ctx, wait) { return }
//	s := lifecycle.NewServing(2)
//	go s.Run(srv.Serve, listener)
//	err := <-s.Failed
package lifecycle

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Every calls f immediately and then at each interval, until ctx ends.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	f(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f(time.Now())
		}
	}
}

// Sleep waits for d or until ctx ends. It reports whether d has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Share returns the given part of d, where 1 is all of it.
func Share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// Broadcast ends the work of all that wait at a moment. The zero value is ready to use.
type Broadcast struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// Context returns a context that ends with the next call of Signal.
func (b *Broadcast) Context() context.Context {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx == nil {
		b.ctx, b.cancel = context.WithCancel(context.Background())
	}
	return b.ctx
}

// Signal ends the present context.
func (b *Broadcast) Signal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx != nil {
		b.cancel()
		b.ctx = nil
	}
}

// Serving runs the servers of a process and collects their errors.
type Serving struct {
	// Failed receives the error of each server that ended before Stop.
	Failed  chan error
	stopped atomic.Bool
}

// NewServing returns a Serving for up to n servers.
func NewServing(n int) *Serving { return &Serving{Failed: make(chan error, n)} }

// Stop marks the servers as stopping: from now on their errors are dropped.
func (s *Serving) Stop() { s.stopped.Store(true) }

// Run calls serve with l, and sends its error to Failed unless the server was
// stopped.
func (s *Serving) Run(serve func(net.Listener) error, l net.Listener) {
	err := serve(l)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !s.stopped.Load() {
		s.Failed <- errors.Wrapf(err, "serve %s", l.Addr())
	}
}

// Group is a set of goroutines that a process waits for before it exits. The zero
// value is ready to use.
type Group struct{ sync.WaitGroup }

// Start runs loop in a goroutine of the group.
func (g *Group) Start(ctx context.Context, loop func(context.Context)) {
	g.Add(1)
	go g.run(ctx, loop)
}

func (g *Group) run(ctx context.Context, loop func(context.Context)) {
	defer g.Done()
	loop(ctx)
}
