package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/leave"
	"auburnlatch/io/keepalive"
	"auburnlatch/io/lifecycle"
)

const (
	// servingFraction is the fraction of the grace time in which a leaving VM still takes
	// new requests, as callers may know it from cached look-ups.
	servingFraction = 0.48
	// maxServing bounds that time. A caller that sends more than three seconds after the
	// stop is expected to know of it; a request taken then and cut at the end is lost.
	maxServing = 2900 * time.Millisecond
	// exitMargin is left of the grace time for the exit itself, but no more than
	// exitMarginFraction of the grace time.
	exitMargin         = 400 * time.Millisecond
	exitMarginFraction = 0.08
	// answerMargin is the time before exitMargin in which requests still in flight get a final
	// response. If they were cut instead, their callers could not tell whether they ran,
	// and pipelined responses behind them on their connections would be lost.
	answerMargin = 200 * time.Millisecond
	// minWorkFraction is the least fraction of the grace time that requests in flight
	// are given.
	minWorkFraction = 0.85
	// drainTick is how often the remaining connections are counted.
	drainTick = 20 * time.Millisecond
	// leaveFanout is how many VMs are notified at once.
	leaveFanout = 3
)

// leave serves callers that still know the VM, completes the requests in flight and
// closes. It takes less than the grace time, after which the platform kills the
// process and cuts the remaining connections.
func (v *VM) leave(front net.Listener, servers []*keepalive.Server) {
	grace := v.cfg.Load().StopGrace
	started := time.Now()
	margin := min(exitMargin, lifecycle.Share(grace, exitMarginFraction))
	working := max(lifecycle.Share(grace, minWorkFraction), grace-margin-answerMargin)
	v.stop.begin(leave.Stop{Began: started, End: started.Add(working)})
	v.leaving.Store(true)
	v.log.WithField("InFlight", v.inFlight.Load()).Info("VMLeaving")
	ctx, cancel := context.WithTimeout(context.Background(), grace-margin)
	defer cancel()
	v.publish(started)
	v.startExchanges(ctx, v.partners(started), leaveFanout, v.members)
	withdrawn := make(chan struct{})
	w := &withdrawal{vm: v, done: withdrawn}
	go w.run(ctx)
	lifecycle.Sleep(ctx, min(maxServing, lifecycle.Share(grace, servingFraction)))
	// The callers' server is not stopped with Shutdown, which closes idle connections
	// while a request may be arriving on them.
	front.Close()
	v.idle.CloseAll(time.Now())
	last := time.AfterFunc(time.Until(started.Add(working)), v.cancelWork)
	defer last.Stop()
	for v.idle.Count()+v.closer.Count() > 0 && lifecycle.Sleep(ctx, drainTick) {
	}
	v.log.WithFields(logrus.Fields{"Connections": v.idle.Count(), "Closing": v.closer.Count()}).Info("FrontClosed")
	v.closer.Stop()
	var stops sync.WaitGroup
	for _, srv := range servers {
		stops.Go(func() { _ = srv.Shutdown(ctx) })
	}
	stops.Wait()
	<-withdrawn
}

// withdrawal removes the VM's registered address.
type withdrawal struct {
	vm   *VM
	done chan struct{}
}

// run tries once. If the address stays registered, other VMs only try it in vain.
func (w *withdrawal) run(ctx context.Context) {
	defer close(w.done)
	if !w.vm.announced.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.vm.counts.platformCalls.Add(1)
	if err := w.vm.platform.Withdraw(ctx, w.vm.cfg.Load().Name); err != nil {
		w.vm.log.WithField("Err", err).Warn("AddressNotWithdrawn")
	}
}
