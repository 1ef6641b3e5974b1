package entry

import (
	"context"
	"net/http"
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

// attempt is a request that is sent to one upstream.
type attempt struct {
	vm     *VM
	req    *request
	lease  balance.Lease
	cancel context.CancelCauseFunc
	result chan<- *attempt
	// settled is set when the attempt has ended or has been abandoned, whichever comes first.
	settled atomic.Bool

	response *response
	err      *verdict.Error
}

// run sends the request and passes the attempt on with its outcome.
func (a *attempt) run(ctx context.Context) {
	a.response, a.err = a.vm.try(ctx, a.req, a.lease)
	if a.settled.Swap(true) {
		a.response.discard()
		return
	}
	a.result <- a
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

// sendOverdue sends a request to an upstream, and to a second one if the response is overdue.
// The first whole response wins, and the other attempt is canceled. sent is how many upstreams it
// was sent to before, and tried has the IDs of all that were tried, including that of lease.
func (v *VM) sendOverdue(ctx context.Context, req *request, lease balance.Lease, tried []string, sent int) outcome {
	at, ok := v.overdueAt(req, lease, sent)
	if !ok {
		a := attempt{lease: lease}
		a.response, a.err = v.try(ctx, req, lease)
		return a.outcome()
	}
	req.identity.Print() // Both attempts use it, and its first use is not safe for concurrent use.
	results := make(chan *attempt, 2)
	first := v.startAttempt(ctx, req, lease, results)
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-results:
		return first.outcome()
	case <-timer.C:
	}
	lease, ok = v.secondLease(req, tried, sent+1)
	if !ok {
		return (<-results).outcome()
	}
	second := v.startAttempt(ctx, req, lease, results)
	return v.firstAnswer(first, second, results)
}

// startAttempt starts to send a request to an upstream. result has room for its outcome.
func (v *VM) startAttempt(ctx context.Context, req *request, lease balance.Lease, result chan<- *attempt) *attempt {
	a := &attempt{vm: v, req: req, lease: lease, result: result}
	// The context of an attempt that is not abandoned ends with that of the request.
	ctx, a.cancel = context.WithCancelCause(ctx)
	go a.run(ctx)
	return a
}

// firstAnswer returns the first whole response of two attempts. If both fail, it returns the
// failure of one that may have run.
func (v *VM) firstAnswer(first, second *attempt, results <-chan *attempt) outcome {
	winner := <-results
	loser := first
	if winner == first {
		loser = second
	}
	o := winner.outcome()
	o.sent = 2
	if !winner.answered() {
		<-results
		o.sent = winner.outcome().sent + loser.outcome().sent
		if loser.answered() || !mayHaveRun(winner.response, winner.err) && mayHaveRun(loser.response, loser.err) {
			winner, loser = loser, winner
		}
	}
	if loser == first {
		loser.abandon(errOverdue)
	} else {
		loser.abandon(errNotNeeded)
	}
	o.response, o.err, o.lease, o.second = winner.response, winner.err, winner.lease, second.lease.Target.ID
	won := winner == second && winner.answered()
	if won {
		v.seconds.won.Add(1)
	}
	v.requests.sentTwice(v, first, second, won)
	return o
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
		Route: req.route.Name, Idempotent: req.idempotent(), Suspected: v.guard.Ledger().Knows(req.identity.Head()),
		Sent: sent, Attempts: req.attempts(), Deadline: req.deadline, Utilization: v.balancer.Utilization(now, req.service),
	}
}

// secondLease chooses the upstream for a second send, and charges it to the retry budget and the
// team's limit.
func (v *VM) secondLease(req *request, tried []string, sent int) (balance.Lease, bool) {
	now := time.Now()
	if v.cutOff() || !overdue.Allowed(v.overdueRequest(now, req, sent)) {
		return balance.Lease{}, false
	}
	want := v.balanceRequest(req, now)
	want.Tried, want.Depth = tried, secondDepth
	want.Idempotent = false // No trial of a suspect upstream, which would hardly respond first.
	lease, err := v.balancer.Choose(now, want)
	if err != nil {
		v.seconds.denied.Add(1)
		return balance.Lease{}, false
	}
	if !v.retries.Spare(now, req.service) {
		v.balancer.Done(now, lease, balance.Outcome{NotSent: true})
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
		s.estimator.Observe(now, req.route.Name, lease.Warm, now.Sub(began))
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
