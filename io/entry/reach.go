package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/reach"
	"auburnlatch/core/target"
	"auburnlatch/core/verdict"
	"auburnlatch/io/lifecycle"
	"auburnlatch/io/upstream"
)

const (
	// checkTimeout bounds a check whether this VM reaches any upstream: a connection and a
	// response across regions.
	checkTimeout = 450 * time.Millisecond
	// checkStagger is the time between the starts of a check's attempts: most checks end with
	// the first one, and need no second connection.
	checkStagger = 50 * time.Millisecond
	// recheckTargets is how many upstreams a VM that is cut off tries at a time.
	recheckTargets = 2
	awaitTick      = 50 * time.Millisecond
)

// reachability finds out whether the VM is cut off from all upstreams.
type reachability struct {
	vm      *VM
	monitor reach.Monitor
	wake    chan struct{} // Signals that a check may be due.
	// lost ends the wait for responses that will hardly come.
	lost       lifecycle.Broadcast
	confirming sync.Mutex
	cutOffAt   atomic.Int64 // In Unix nanoseconds.
}

// signal wakes the loop.
func (r *reachability) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// loop checks when a check is due, until ctx ends.
func (r *reachability) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
		}
		wait, due := r.monitor.CheckDue(time.Now())
		for due && ctx.Err() == nil {
			r.check(ctx)
			wait, due = r.monitor.CheckDue(time.Now())
		}
		if wait > 0 {
			timer.Reset(wait)
		}
	}
}

// check attempts to reach a few upstreams.
func (r *reachability) check(ctx context.Context) {
	v, began := r.vm, time.Now()
	n := reach.CheckTargets
	if r.monitor.CutOff() {
		n = recheckTargets
	}
	list := r.targets(n)
	v.counts.reachChecks.Add(1)
	found := r.contact(ctx, list, r.monitor.Wanted(began))
	if ctx.Err() != nil {
		return
	}
	switch now := time.Now(); r.monitor.Checked(now, began, found, len(list)) {
	case reach.Lost:
		v.upstreamsLost(ctx, now, len(list))
	case reach.Regained:
		v.upstreamsRegained(ctx, now)
	case reach.Unchanged:
	}
}

// Confirm implements quarantine.Links. That a connection is accepted suffices where the one in
// question was refused. Calls are serialized, as one connection answers all.
func (r *reachability) Confirm(ctx context.Context, since time.Time) bool {
	r.confirming.Lock()
	defer r.confirming.Unlock()
	if r.monitor.CutOff() || r.monitor.ReachedSince(since) {
		return !r.monitor.CutOff()
	}
	began := time.Now()
	if r.contact(ctx, r.targets(reach.CheckTargets), reach.Accepted) >= reach.Accepted {
		r.monitor.Reached(began)
		return true
	}
	r.check(ctx)
	return !r.monitor.CutOff()
}

// targets returns n upstreams to check.
func (r *reachability) targets(n int) []*target.Target {
	cfg := r.vm.cfg.Load()
	return reach.Spread(r.vm.balancer.Usable(), reach.Place{Zone: cfg.Zone, Region: cfg.Region}, n, r.monitor.HasFailed, rand.IntN)
}

// Await implements quarantine.Links.
func (r *reachability) Await(ctx context.Context) {
	for r.monitor.CutOff() && lifecycle.Sleep(ctx, awaitTick) {
	}
}

// contact returns the first wanted contact with any of the targets, or else the highest.
func (r *reachability) contact(ctx context.Context, list []*target.Target, wanted reach.Contact) reach.Contact {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	results := make(chan reach.Contact, len(list))
	for i, t := range list {
		go (&contactProbe{vm: r.vm, target: t, wanted: wanted, after: time.Duration(i) * checkStagger, result: results}).run(ctx)
	}
	highest := reach.None
	for range list {
		if highest = max(highest, <-results); highest >= wanted {
			break
		}
	}
	return highest
}

// contactProbe is one attempt to reach an upstream.
type contactProbe struct {
	vm     *VM
	target *target.Target
	wanted reach.Contact
	after  time.Duration
	result chan<- reach.Contact
}

// run makes the attempt after a delay.
func (p *contactProbe) run(ctx context.Context) {
	timer := time.NewTimer(p.after)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		p.result <- reach.None
		return
	case <-timer.C:
	}
	path := ""
	if table := p.vm.table.Load(); table != nil {
		if s := table.Service(p.target.Service); s != nil {
			path = s.HealthPath
		}
	}
	p.result <- p.vm.upstreams.Contact(ctx, p.target.Incarnation(), p.target.Addr, path, p.wanted)
}

// upstreamsLost is called when the VM is cut off. Connections that are being opened are given up, so
// that their requests are relayed.
func (v *VM) upstreamsLost(ctx context.Context, now time.Time, tried int) {
	v.log.WithFields(logrus.Fields{"Tried": tried, "InFlight": v.inFlight.Load(), "ConnectionsFailed": v.upstreams.Connections().Failed}).Warn("UpstreamsLost")
	v.reach.cutOffAt.Store(now.UnixNano())
	v.upstreams.AbortDials()
	if v.reach.monitor.Silent(now) {
		v.reach.lost.Signal()
	}
	v.announceReach(ctx, now)
}

// upstreamsRegained is called when the VM is no longer cut off. What failed in that time was not
// the upstreams' fault, and connections from before may be dead.
func (v *VM) upstreamsRegained(ctx context.Context, now time.Time) {
	cutOffAt := time.Unix(0, v.reach.cutOffAt.Load())
	v.log.WithField("AfterMs", now.Sub(cutOffAt).Milliseconds()).Warn("UpstreamsRegained")
	v.balancer.ForgetFailures(now)
	v.upstreams.CloseIdle(cutOffAt)
	v.announceReach(ctx, now)
}

// announceReach tells some VMs at once whether this one reaches upstreams.
func (v *VM) announceReach(ctx context.Context, now time.Time) {
	v.publish(now)
	v.startExchanges(ctx, v.partners(now), leaveFanout, v.members)
}

// cutOff reports whether the VM reaches no upstream.
func (v *VM) cutOff() bool { return v.reach.monitor.CutOff() }

// begin records that a request is sent to an upstream.
func (r *reachability) begin(now time.Time) {
	if r.monitor.Begin(now) {
		r.signal()
	}
}

// end records the outcome of sending a request. A new connection that is lost before a response
// counts as one that could not be opened.
func (r *reachability) end(began, now time.Time, call *upstream.Call, err error) {
	if err == nil {
		r.monitor.Answered(now, now.Sub(began), call.Connect > 0)
	}
	r.monitor.End(now)
	if err == nil {
		return
	}
	reason := verdict.As(err).Reason
	if reason != verdict.ReasonUnreachable && (reason != verdict.ReasonBroken || call.Connect == 0) {
		return
	}
	if r.monitor.Failed(now, call.Addr) {
		r.signal()
	}
}
