package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/balance"
	"auburnlatch/core/verdict"
	"auburnlatch/io/lifecycle"
)

// How many lines about requests a VM writes a second at most. Those about
// requests that were given up on have a budget of their own, so that a flood of
// answers cannot push them out. At 300 bytes a line both are 45 KB/s, and at 7 us
// a line 0.11 % of a core. What exceeds a budget is counted and told in one line.
const (
	failureLines = 50
	servedLines  = 100
)

// requestLog writes one line for each decision about a request.
type requestLog struct {
	log      *logrus.Entry
	failures lineBudget
	served   lineBudget
}

// lineBudget is what is left of a second's lines.
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
		l.failures.left.Store(failureLines)
		l.served.left.Store(servedLines)
		failures, served := l.failures.dropped.Swap(0), l.served.dropped.Swap(0)
		if failures+served > 0 {
			l.log.WithFields(logrus.Fields{"Failures": failures, "Served": served}).Warn("LinesDropped")
		}
	})
}

// done logs a request that was answered by an upstream.
func (l *requestLog) done(v *VM, res result) {
	if !l.served.take() {
		return
	}
	now, req, a := time.Now(), res.request, res.answer
	f := v.circumstances(now, req)
	f["Target"], f["TargetZone"], f["Status"] = a.lease.Target.ID, a.lease.Target.Zone, a.resp.StatusCode
	f["Owner"], f["Ahead"], f["Slots"] = a.lease.Owner, int(a.lease.Ahead), a.lease.Target.Slots
	if a.lease.RTT > 0 {
		f["TripMs"] = a.lease.RTT.Milliseconds()
	}
	f["Tries"], f["TookMs"] = a.tries, now.Sub(req.started).Milliseconds()
	if behind := now.Sub(res.readyAt); behind >= time.Millisecond {
		f["BehindMs"] = behind.Milliseconds() // It was ready before its turn.
	}
	l.log.WithFields(f).Info("RequestAnswered")
}

// refused logs a request that was given up on, with what the VM knew.
func (l *requestLog) refused(v *VM, req *request, e *verdict.Error, code int) {
	if !l.failures.take() {
		return
	}
	now := time.Now()
	f := v.circumstances(now, req)
	f["Verdict"], f["Reason"], f["Status"] = e.Verdict, e.Reason, code
	f["TookMs"] = now.Sub(req.started).Milliseconds()
	if e.RetryAfter > 0 {
		f["RetryAfterMs"] = e.RetryAfter.Milliseconds()
	}
	if e.Err != nil {
		f["Err"] = e.Err
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
	if e.Reason == verdict.ReasonNoCapacity {
		c := v.balancer.Census(now, req.service)
		f["UsableTargets"], f["ColdTargets"], f["SuspectTargets"], f["FullTargets"] = c.Usable, c.Cold, c.Suspect, c.Full
		if c.Limited > 0 {
			f["LimitedTargets"] = c.Limited
		}
		if c.Paused > 0 {
			f["PausedTargets"] = c.Paused
		}
	}
	l.log.WithFields(f).Info("RequestGivenUp")
}

// tried logs that one upstream did not serve a request.
func (l *requestLog) tried(v *VM, req *request, lease balance.Lease, code int, e *verdict.Error) {
	if !l.failures.take() {
		return
	}
	now := time.Now()
	f := v.circumstances(now, req)
	f["Target"], f["Addr"], f["TargetZone"] = lease.Target.ID, lease.Target.Addr, lease.Target.Zone
	f["Verdict"], f["Reason"], f["Status"] = e.Verdict, e.Reason, code
	if e.Verdict != verdict.NotRun {
		f["Print"] = req.identity.Print()
	}
	f["LeftMs"] = req.deadline.Sub(now).Milliseconds()
	if e.Err != nil {
		f["Err"] = e.Err
	}
	l.log.WithFields(f).Info("UpstreamFailed")
}

// circumstances returns the fields that tell which request it is and how old was what
// the VM decided by.
func (v *VM) circumstances(now time.Time, req *request) logrus.Fields {
	f := logrus.Fields{
		"Request": req.id, "Host": req.http.Host, "Path": req.http.URL.Path,
		"RulesAgeMs":   v.replicas[TableRules].Head(now).Age.Milliseconds(),
		"TargetsAgeMs": v.replicas[TableTargets].Head(now).Age.Milliseconds(),
	}
	if t := v.table.Load(); t != nil {
		f["ConfigVersion"] = t.Config.Version
	}
	if req.keyPrint != "" {
		f["Key"], f["RulesSureMs"] = req.keyPrint, req.rulesAge.Milliseconds()
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
