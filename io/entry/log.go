package entry

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"auburnlatch/core/balance"
	"auburnlatch/core/verdict"
	"auburnlatch/io/clock"
	"auburnlatch/io/forward"
	"auburnlatch/io/lifecycle"
	"auburnlatch/io/tcp"
	"auburnlatch/io/upstream"
)

// How many lines about requests a VM writes a second at most. Lines about requests
// without a response have a budget of their own, so that many responses cannot use it up.
// At 300 bytes a line both budgets are 45 KB/s, and at 7 us a line 0.11 % of a core.
// Lines beyond a budget are counted and reported in one line.
const (
	maxFailureLines = 50
	maxServedLines  = 100
)

// requestLog writes one line for each decision about a request.
type requestLog struct {
	log      *logrus.Entry
	failures lineBudget
	served   lineBudget
}

// lineBudget is the rest of a second's budget of lines.
type lineBudget struct {
	left    atomic.Int64
	dropped atomic.Int64
}

func (b *lineBudget) take() bool {
	if b.left.Add(-1) >= 0 {
		return true
	}
	b.dropped.Add(1)
	return false
}

// loop renews the budgets each second.
func (l *requestLog) loop(ctx context.Context) {
	lifecycle.Every(ctx, time.Second, func(time.Time) {
		l.failures.left.Store(maxFailureLines)
		l.served.left.Store(maxServedLines)
		failures, served := l.failures.dropped.Swap(0), l.served.dropped.Swap(0)
		if failures+served > 0 {
			l.log.WithFields(logrus.Fields{"Failures": failures, "Served": served}).Warn("LinesDropped")
		}
	})
}

// answered logs a request that an upstream answered.
func (l *requestLog) answered(v *VM, res result) {
	if !l.served.take() {
		return
	}
	now, req, resp := time.Now(), res.request, res.response
	f := v.requestFields(now, req)
	f["Status"] = resp.resp.StatusCode
	if resp.through != "" {
		f["Through"] = resp.through
	} else {
		f["Target"], f["TargetZone"] = resp.lease.Target.ID, resp.lease.Target.Zone
		f["Owner"], f["Ahead"], f["Slots"] = resp.lease.Owner, int(resp.lease.Ahead), resp.lease.Target.Slots
		f["Warm"] = resp.lease.Warm
		v.addColdFields(f, now, resp.lease)
		if resp.lease.Expected > 0 {
			f["ExpectedMs"] = resp.lease.Expected.Milliseconds()
		}
		if resp.pace > 0 {
			f["Pace"] = resp.pace
		}
	}
	if resp.lease.RTT > 0 {
		f["TripMs"] = resp.lease.RTT.Milliseconds()
	}
	if resp.sentTwice {
		f["SentTwice"] = true
	}
	f["Tries"], f["TookMs"] = resp.tries, now.Sub(req.started).Milliseconds()
	if behind := now.Sub(res.readyAt); behind >= time.Millisecond {
		f["BehindMs"] = behind.Milliseconds() // The response was ready before its turn.
	}
	l.log.WithFields(f).Info("RequestAnswered")
}

// refused logs a request without a response, with the state that led to it.
func (l *requestLog) refused(v *VM, req *request, e *verdict.Error, code int, trace connTrace) {
	if !l.failures.take() {
		return
	}
	now := time.Now()
	f := v.requestFields(now, req)
	f["Verdict"], f["Reason"], f["Status"] = e.Verdict, e.Reason, code
	f["TookMs"] = now.Sub(req.started).Milliseconds()
	conns := v.upstreams.Connections()
	f["UpstreamsHeardMs"], f["ConnectionsFailed"] = heardMillis(now, conns.Answered), conns.Failed
	if e.RetryAfter > 0 {
		f["RetryAfterMs"] = e.RetryAfter.Milliseconds()
	}
	if req.told.wait > 0 {
		f["AppointmentMs"], f["RoomKept"] = req.told.wait.Milliseconds(), req.told.kept
	}
	if e.Err != nil {
		f["Err"] = e.Err
	}
	if e.Reason == verdict.ReasonCanceled {
		f["HeadMs"] = millis(now.Sub(trace.Handed))
		if !trace.Ended.IsZero() {
			f["IdleEndMs"], f["HeldBytes"] = millis(now.Sub(trace.Ended)), trace.Held
		}
		if trace.Err != nil {
			f["ReadErr"] = trace.Err
		}
		f["Behind"], f["Leaving"], f["WorkCanceled"] = trace.Pending, v.leaving.Load(), v.workCtx.Err() != nil
	}
	if e.Reason == verdict.ReasonQuarantined {
		f["Print"] = req.identity.Print()
	}
	if e.Reason == verdict.ReasonOverLimit {
		u := v.limits.Usage(now, req.team)
		f["Limit"], f["AskedHere"], f["AskedOfAll"], f["Part"] = req.team.RatePerSecond, int(u.Own), int(u.Total), u.Part
	}
	if e.Reason == verdict.ReasonNotSure {
		f["RulesSureMs"] = req.rulesAge.Milliseconds()
	}
	if e.Reason == verdict.ReasonNoCapacity || e.Reason == verdict.ReasonUnreachable {
		c := v.balancer.Census(now, req.service)
		f["UsableTargets"], f["ColdTargets"], f["SuspectTargets"], f["FullTargets"] = c.Usable, c.Cold, c.Suspect, c.Full
		if c.Limited > 0 {
			f["LimitedTargets"] = c.Limited
		}
		if c.Paused > 0 {
			f["PausedTargets"] = c.Paused
		}
	}
	if e.Reason == verdict.ReasonNoCapacity {
		maps.Copy(f, v.admissionFields(req, now))
	}
	l.log.WithFields(f).Info("RequestGivenUp")
}

// connClosed logs and counts a caller's connection that was not closed as usual, so that the caller
// may not have received its last response.
func (v *VM) connClosed(end tcp.End) {
	v.counts.closed(end.Cause)
	if end.Cause == tcp.Complete || end.Queues == (tcp.Queues{}) || !v.requests.failures.take() {
		return
	}
	v.log.WithFields(logrus.Fields{
		"Caller": end.Peer, "Cause": end.Cause, "UnreadBytes": end.Queues.Unread, "UnackedBytes": end.Queues.Unacked,
		"DiscardedBytes": end.Discarded, "TookMs": end.Took.Milliseconds(), "Leaving": v.leaving.Load(),
	}).Info("CallerConnCut")
}

// attemptFailed logs that one upstream did not serve a request.
func (l *requestLog) attemptFailed(v *VM, req *request, lease balance.Lease, code int, e *verdict.Error) {
	if !l.failures.take() {
		return
	}
	now := time.Now()
	f := v.requestFields(now, req)
	f["Target"], f["Addr"], f["TargetZone"] = lease.Target.ID, lease.Target.Addr, lease.Target.Zone
	f["Verdict"], f["Reason"], f["Status"] = e.Verdict, e.Reason, code
	if e.Verdict != verdict.NotRun {
		f["Print"] = req.identity.Print()
	}
	f["LeftMs"] = req.deadline.Sub(now).Milliseconds()
	v.addColdFields(f, now, lease)
	var header *upstream.HeaderTooLongError
	if errors.As(e.Err, &header) {
		f["HeaderForm"], f["HeaderBytes"] = header.Form, header.Bytes
	}
	if e.Err != nil {
		f["Err"] = e.Err
	}
	l.log.WithFields(f).Info("UpstreamFailed")
}

// addColdFields adds the fields that say whether an upstream was taken for cold, and how old the
// knowledge of that is.
func (v *VM) addColdFields(f logrus.Fields, now time.Time, lease balance.Lease) {
	asOf, _ := v.replicas[TableTargets].VerifiedAsOf()
	f["Cold"], f["RegisteredMs"] = lease.Cold, now.Sub(lease.Target.ReadAt).Milliseconds()
	f["TargetsSureMs"], f["UpMs"] = asOf.Age(clock.SinceBoot()).Milliseconds(), now.Sub(v.started).Milliseconds()
}

// requestFields returns the fields that identify a request, and the age of the state the
// VM used for its decision.
func (v *VM) requestFields(now time.Time, req *request) logrus.Fields {
	f := logrus.Fields{
		"Request": req.id, "Host": req.http.Host, "Path": req.http.URL.Path,
		"RulesAgeMs":   v.replicas[TableRules].Head(now).Age.Milliseconds(),
		"TargetsAgeMs": v.replicas[TableTargets].Head(now).Age.Milliseconds(),
	}
	if req.rules > 0 {
		f["ConfigVersion"] = req.rules
	} else if t := v.table.Load(); t != nil {
		f["ConfigVersion"] = t.Config.Version
	}
	if req.keyPrint != "" {
		f["Key"], f["RulesSureMs"] = req.keyPrint, req.rulesAge.Milliseconds()
	}
	if req.relayed != "" {
		f["RelayedFrom"], f["Relay"] = req.http.Header.Get(forward.HeaderRelayFrom), req.relayed
	}
	if req.returned {
		f["Returned"] = true
	}
	if req.team != nil {
		f["Team"] = req.team.Name
	}
	if req.route != nil {
		f["Route"], f["Service"], f["Object"] = req.route.Name, req.service, req.key
		f["ObjectiveMs"] = req.route.Objective.Milliseconds()
	}
	return f
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
