// Package lifecycle has what the loops and servers of every process of ours
// have in common.
//
// # Usage
//
//	lifecycle.Every(ctx, interval, func(now time.Time) { ... })
//	if !lifecycle.Pause(ctx, wait) { return }
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

// Every calls f at once and then at each interval until ctx ends.
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

// Pause waits, and reports whether ctx goes on.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Share returns a part of a time.
func Share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// Serving runs the servers of a process.
type Serving struct {
	// Failed has the error of each server that ended by itself.
	Failed  chan error
	stopped atomic.Bool
}

// NewServing returns a Serving for up to n servers.
func NewServing(n int) *Serving { return &Serving{Failed: make(chan error, n)} }

// Stop says that servers end from now on because they are meant to.
func (s *Serving) Stop() { s.stopped.Store(true) }

// Run serves one listener until it fails or the process stops.
func (s *Serving) Run(serve func(net.Listener) error, l net.Listener) {
	err := serve(l)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !s.stopped.Load() {
		s.Failed <- errors.Wrapf(err, "serve %s", l.Addr())
	}
}

// Group is the goroutines of a process that it waits for at its end. The zero
// value is ready.
type Group struct{ sync.WaitGroup }

// Start runs a loop until it returns.
func (g *Group) Start(ctx context.Context, loop func(context.Context)) {
	g.Add(1)
	go g.run(ctx, loop)
}

func (g *Group) run(ctx context.Context, loop func(context.Context)) {
	defer g.Done()
	loop(ctx)
}
