package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/admission"
	"auburnlatch/core/balance"
	"auburnlatch/core/route"
	"auburnlatch/core/team"
)

const (
	// minAdmissionRanks is the number of ranks from which on requests are admitted by rank and
	// team unless the settings say otherwise. Two are told apart by balance.Request.Urgent.
	minAdmissionRanks = 3
	// maxUsageAge is the age of totals above which the use of a limit counts as unknown.
	maxUsageAge = 1500 * time.Millisecond
)

// admitsByRank reports whether requests are admitted by rank and team.
func (v *VM) admitsByRank(table *route.Table) bool {
	return v.cfg.Load().Load.Admission.Enabled(len(table.Ranks()) >= minAdmissionRanks)
}

// admissionRequest returns what the admission of a request depends on.
func (v *VM) admissionRequest(req *request, now time.Time) admission.Request {
	return admission.Request{
		Service: req.service, Rank: rankOf(req), ID: req.id, Use: v.limitUse(now, req.team),
		Returned: req.returned, Rules: req.rules, Objective: req.route.Objective, Within: req.within(now),
	}
}

// rankOf returns a request's rank. Where teams have priorities, those of routes order the requests
// of teams of one priority.
func rankOf(req *request) admission.Rank {
	return admission.Rank{Priority: req.team.EffectivePriority(req.route.Priority), Route: req.route.Priority}
}

// decide returns how a request is admitted, or the zero Decision where ranks are not used.
func (v *VM) decide(req *request, now time.Time) admission.Decision {
	if !v.admitsByRank(v.table.Load()) {
		return admission.Decision{}
	}
	return v.admission.Decide(now, v.balancer.Utilization(now, req.service), v.admissionRequest(req, now))
}

// recordDecision counts whether a request found an upstream at its first attempt. The VM that
// chooses the upstream of a relayed request counts it.
func (v *VM) recordDecision(req *request, sent bool) {
	if !v.admitsByRank(v.table.Load()) {
		return
	}
	now := time.Now()
	v.admission.Record(now, v.admissionRequest(req, now), req.decision, sent)
}

// recordServiceTime records how long a request occupied an upstream's slot. took is the time to
// its response.
func (v *VM) recordServiceTime(req *request, lease balance.Lease, took time.Duration) {
	if !v.admitsByRank(v.table.Load()) {
		return
	}
	now, slots := time.Now(), float64(lease.Target.Slots)
	// Of the time at the upstream, the request waits for those ahead of it.
	running := slots / max(slots, lease.Ahead+1)
	serviceTime := time.Duration(float64(max(time.Millisecond, took-lease.RTT)) * running)
	v.admission.Answered(now, v.admissionRequest(req, now), serviceTime)
}

// limitUse returns a team's demand over all VMs relative to its limit, or 0 if it is unknown. A
// team does not get more than its limit admitted, whatever it asks for.
func (v *VM) limitUse(now time.Time, t *team.Team) float64 {
	if !t.Limited() || v.limits.Age(now) > maxUsageAge {
		return 0
	}
	return min(v.limits.Usage(now, t).Total/t.RatePerSecond, 1+v.cfg.Load().Limits.Excess)
}

// admissionFields returns the fields that explain why a request found no room.
func (v *VM) admissionFields(req *request, now time.Time) logrus.Fields {
	if !v.admitsByRank(v.table.Load()) {
		return nil
	}
	d, rank := req.decision, rankOf(req)
	return logrus.Fields{
		"Priority": rank.Priority, "RoutePriority": rank.Route, "Depth": d.Depth, "Use": v.limitUse(now, req.team),
		"AboveShare": d.AboveShare, "Returned": req.returned,
	}
}
