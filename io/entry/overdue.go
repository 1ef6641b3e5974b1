package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/balance"
	"auburnlatch/core/overdue"
	"auburnlatch/core/verdict"
)

// secondDepth is the most requests for each slot that the upstream of a second send may have:
// one that has no free slot would respond later than the first.
const secondDepth = 1.0

// secondSends sends overdue requests to a second upstream.
type secondSends struct {
	estimator overdue.Estimator
	// sent counts the second sends, won those that had the first whole response, and denied
	// those that the retry budget or a lack of free upstreams prevented.
	sent, won, denied atomic.Int64
}

// The causes of the cancellation of an attempt when the other one has won.
var (
	errOverdue   = errors.New("overdue, and a second upstream has responded")
	errNotNeeded = errors.New("the first upstream has responded after all")
)

// attemptError returns the error of an attempt that failed, and reports whether it was canceled
// because the other one has won.
func attemptError(ctx context.Context, err error) (e *verdict.Error, overtaken bool) {
	e = verdict.As(err)
	if e.Reason != verdict.ReasonCanceled {
		return e, false
	}
	switch context.Cause(ctx) {
	case errOverdue:
		return verdict.Wrap(errOverdue, e.Verdict, verdict.ReasonOverdue, 0), true
	case errNotNeeded:
		return e, true
	}
	return e, false
}

// charges counts what a request that is sent to two upstreams at once is charged against its team's
// limit: twice, or once if an attempt does not run.
type charges struct {
	mu               sync.Mutex
	second, returned bool
	notRun           bool
}

// attempt is a request that is sent to one upstream.
type attempt struct {
	vm      *VM
	req     *request
	lease   balance.Lease
	charges *charges
	cancel  context.CancelCauseFunc
	result  chan<- *attempt
	// settled is set when the attempt has ended or has been abandoned, whichever comes first.
	settled atomic.Bool

	response *response
	err      *verdict.Error
}

// run sends the request and passes the attempt on with its outcome.
func (a *attempt) run(ctx context.Context) {
	a.response, a.err = a.vm.try(ctx, a.req, a.lease)
	if a.err != nil && a.err.Verdict == verdict.NotRun {
		a.charges.update(a, func(c *charges) { c.notRun = true })
	}
	if a.settled.Swap(true) {
		a.response.discard()
		return
	}
	a.result <- a
}

// update changes the charges, and returns the second one if an attempt has not run.
func (c *charges) update(a *attempt, change func(*charges)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
	if c.second && c.notRun && !c.returned {
		c.returned = true
		a.vm.limits.Return(time.Now(), a.req.team)
	}
}

// abandon cancels an attempt whose outcome is not needed.
func (a *attempt) abandon(cause error) {
	a.cancel(cause)
	if a.settled.Swap(true) {
		a.response.discard()
	}
}

// answered reports whether the attempt has a response that is passed on to the caller.
func (a *attempt) answered() bool {
	return a.err == nil && a.response.resp.StatusCode < http.StatusInternalServerError
}

// outcome is the outcome of sending a request to an upstream, and possibly to a second one.
type outcome struct {
	response *response
	err      *verdict.Error
	lease    balance.Lease
	// second is the ID of the second upstream, empty if there was none.
	second string
	// sent is how many upstreams it was sent to.
	sent int
}

func (a *attempt) outcome() outcome {
	o := outcome{response: a.response, err: a.err, lease: a.lease}
	if reached(a.err) {
		o.sent = 1
	}
	return o
}

// sendOverdue sends a request to an upstream, and to a second one if the response is overdue. The
// first response wins, and the other attempt is canceled. sent is how many upstreams it was sent to
// before, and tried has the IDs of all that were tried, including that of lease.
func (v *VM) sendOverdue(ctx context.Context, req *request, lease balance.Lease, tried []string, sent int) outcome {
	at, ok := v.overdueAt(req, lease, sent)
	if !ok {
		a := attempt{lease: lease}
		a.response, a.err = v.try(ctx, req, lease)
		return a.outcome()
	}
	req.identity.Print() // Both attempts use it, and its first use is not safe for concurrent use.
	results := make(chan *attempt, 2)
	first := &attempt{vm: v, req: req, lease: lease, charges: &charges{}, result: results}
	first.start(ctx)
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-results:
		return first.outcome()
	case <-timer.C:
	}
	other, ok := v.secondLease(ctx, req, tried, sent+1)
	if !ok {
		return (<-results).outcome()
	}
	second := &attempt{vm: v, req: req, lease: other, charges: first.charges, result: results}
	second.charges.update(second, func(c *charges) { c.second = true })
	second.start(ctx)
	return v.firstAnswer(first, second, results)
}

// start starts to send the request. The context of an attempt that is not abandoned ends with that
// of the request.
func (a *attempt) start(ctx context.Context) {
	ctx, a.cancel = context.WithCancelCause(ctx)
	go a.run(ctx)
}

// firstAnswer returns the first response of two attempts. If both fail, it returns the failure of
// one that may have run.
func (v *VM) firstAnswer(first, second *attempt, results <-chan *attempt) outcome {
	winner, loser, sent := <-results, first, 2
	if winner == first {
		loser = second
	}
	if !winner.answered() {
		<-results
		sent = winner.outcome().sent + loser.outcome().sent
		winner, loser = better(winner, loser)
	}
	if loser == first {
		loser.abandon(errOverdue)
	} else {
		loser.abandon(errNotNeeded)
	}
	won := winner == second && winner.answered()
	if won {
		v.seconds.won.Add(1)
	}
	v.requests.sentTwice(v, first, second, won)
	o := winner.outcome()
	o.second, o.sent = second.lease.Target.ID, sent
	return o
}

// better orders two attempts that have ended, of which a has failed: the one whose outcome the
// caller is told comes first.
func better(a, b *attempt) (winner, loser *attempt) {
	if b.answered() || !mayHaveRun(a.response, a.err) && mayHaveRun(b.response, b.err) {
		return b, a
	}
	return a, b
}

// overdueAt returns the time from which on the response to a request that is sent now is
// overdue, or false if it must not be sent to a second upstream.
func (v *VM) overdueAt(req *request, lease balance.Lease, sent int) (time.Time, bool) {
	if !v.sendsSeconds(req.service) || req.rest != nil {
		return time.Time{}, false
	}
	now := time.Now()
	r := v.overdueRequest(now, req, sent+1)
	r.Warm = lease.Warm
	return v.seconds.estimator.Due(now, r)
}

// sendsSeconds reports whether overdue requests to a service are sent to a second upstream.
func (v *VM) sendsSeconds(service string) bool {
	cfg := v.cfg.Load()
	return cfg.RetryRatio > 0 && cfg.Load.SecondSends.Enabled(v.balancer.ReportsPace(service))
}

// overdueRequest returns what the decision about a second send depends on.
func (v *VM) overdueRequest(now time.Time, req *request, sent int) overdue.Request {
	return overdue.Request{
		Class: classOf(req, false), Idempotent: req.idempotent(), Suspected: v.guard.Ledger().Knows(req.identity.Head()),
		Sent: sent, Attempts: req.attempts(), Deadline: req.deadline, Utilization: v.balancer.Utilization(now, req.service),
	}
}

// classOf returns the class of a request. warm reports whether its upstream is believed to have the
// object cached.
func classOf(req *request, warm bool) overdue.Class {
	return overdue.Class{Route: req.route.Name, Service: req.service, Timeout: req.route.Timeout, Warm: warm}
}

// secondLease chooses the upstream for a second send, and charges it to the retry budget and the
// team's limit.
func (v *VM) secondLease(ctx context.Context, req *request, tried []string, sent int) (balance.Lease, bool) {
	now := time.Now()
	if ctx.Err() != nil || v.cutOff() || !overdue.Allowed(v.overdueRequest(now, req, sent)) || v.refuseLate(now, req, req.service) != nil {
		return balance.Lease{}, false
	}
	// The budget is asked first, as a choice counts as a request to the upstream.
	if !v.retries.Spare(now, req.service) {
		v.seconds.denied.Add(1)
		return balance.Lease{}, false
	}
	want := v.balanceRequest(req, now)
	want.Tried, want.Depth = tried, secondDepth
	want.Idempotent = false // No trial of a suspect upstream, which would hardly respond first.
	lease, err := v.balancer.Choose(now, want)
	if err != nil {
		v.retries.Return(now, req.service)
		v.seconds.denied.Add(1)
		return balance.Lease{}, false
	}
	v.limits.Charge(now, req.team)
	v.seconds.sent.Add(1)
	return lease, true
}

// unanswered records how long there was no response, unless it was the caller who left.
func (s *secondSends) unanswered(now, began time.Time, req *request, lease balance.Lease, e *verdict.Error) {
	if e.Verdict == verdict.MaybeRan && (e.Reason == verdict.ReasonDeadline || e.Reason == verdict.ReasonOverdue) {
		s.observe(now, began, req, lease)
	}
}

// observe records how long an upstream took to respond, or did not.
func (s *secondSends) observe(now, began time.Time, req *request, lease balance.Lease) {
	if req.idempotent() {
		s.estimator.Observe(now, classOf(req, lease.Warm), now.Sub(began))
	}
}

// sentTwice logs that an overdue request was sent to a second upstream.
func (l *requestLog) sentTwice(v *VM, first, second *attempt, won bool) {
	if !l.served.take() {
		return
	}
	now := time.Now()
	f := v.requestFields(now, first.req)
	f["Target"], f["Second"], f["SecondWon"] = first.lease.Target.ID, second.lease.Target.ID, won
	f["Warm"], f["SecondWarm"] = first.lease.Warm, second.lease.Warm
	f["TookMs"] = now.Sub(first.req.started).Milliseconds()
	l.log.WithFields(f).Info("RequestSentTwice")
}
