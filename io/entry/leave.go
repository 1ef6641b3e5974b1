package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"auburnlatch/io/lifecycle"
)

const (
	// leaveServing is the part of the grace time in which a VM that leaves still
	// takes new requests: callers may know it from look-ups they have cached.
	leaveServing = 0.48
	// maxLeaveServing bounds that time. Who sends later than three seconds after the
	// stop is held to know of it; a request taken then and cut at the end is lost.
	maxLeaveServing = 2900 * time.Millisecond
	// leaveMargin is left of the grace time at the end, for the exit itself, but no
	// more than marginShare of it.
	leaveMargin = 400 * time.Millisecond
	marginShare = 0.08
	// leaveAnswering is the time before that in which requests that are still under
	// way get a final answer. Cut instead, their callers could not tell, and answers
	// that are ready behind them on their connections would be lost.
	leaveAnswering = 200 * time.Millisecond
	// leaveWorking is the part of the grace time that requests under way are given
	// at least.
	leaveWorking = 0.85
	// leaveTick is how often the connections that are left are counted.
	leaveTick = 20 * time.Millisecond
	// leavePartners is how many VMs are told at once.
	leavePartners = 3
)

// leave serves those who still know the VM, finishes what is in flight and
// closes. It takes less than the grace time, after which the platform kills the
// process and cuts what is left.
func (v *VM) leave(front net.Listener, servers []*http.Server) {
	grace := v.cfg.Load().StopGrace
	started := time.Now()
	v.leaving.Store(true)
	v.log.WithField("InFlight", v.inFlight.Load()).Info("VMLeaving")
	margin := min(leaveMargin, lifecycle.Share(grace, marginShare))
	ctx, cancel := context.WithTimeout(context.Background(), grace-margin)
	defer cancel()
	v.publish(started)
	v.startExchanges(ctx, v.partners(started), leavePartners, v.members)
	withdrawn := make(chan struct{})
	w := &withdrawal{vm: v, done: withdrawn}
	go w.run(ctx)
	lifecycle.Sleep(ctx, min(maxLeaveServing, lifecycle.Share(grace, leaveServing)))
	// The callers' server is not shut down by the library, which closes idle
	// connections while a request may be arriving on them.
	front.Close()
	v.idle.closeAll()
	working := max(lifecycle.Share(grace, leaveWorking), grace-margin-leaveAnswering)
	last := time.AfterFunc(time.Until(started.Add(working)), v.giveUp)
	defer last.Stop()
	for v.idle.count() > 0 && lifecycle.Sleep(ctx, leaveTick) {
	}
	v.log.WithField("Connections", v.idle.count()).Info("FrontClosed")
	for _, srv := range servers {
		srv.Close()
	}
	<-withdrawn
}

// withdrawal takes the VM's registered address back.
type withdrawal struct {
	vm   *VM
	done chan struct{}
}

// run withdraws once. An address that stays is only tried in vain.
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
