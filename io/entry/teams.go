package entry

import (
	"net/http"
	"strings"
	"time"

	"auburnlatch/core/lease"
	"auburnlatch/core/route"
	"auburnlatch/core/team"
	"auburnlatch/core/verdict"
	"auburnlatch/io/clock"
	"auburnlatch/io/lifecycle"
)

const (
	// maxAgeForUnknown is the age of the rules above which an unknown key or route may only
	// be missing from this copy. It gets no 401 or 404 then, as those are final for callers.
	maxAgeForUnknown = 4 * time.Second
	// lapseFraction is the fraction of RevokeWithin after which a VM whose rules are not
	// verified takes no new callers.
	lapseFraction = 0.8
	// unverifiedRetryAfter is when to retry at a VM whose rules are not verified: those of
	// another VM may be, and this VM asks the others twice a second.
	unverifiedRetryAfter = 500 * time.Millisecond
)

// appliedRules identifies the copy of the rules that is in force.
type appliedRules struct {
	changes uint64
	// asOf is the moment as of which that copy was verified as the newest when it was applied.
	asOf lease.Moment
}

// rulesAge is how long ago the rules in force were verified to be the newest. Load the
// table of rules only after this call, so that it is as new or newer.
func (v *VM) rulesAge(now lease.Moment) time.Duration {
	applied := v.applied.Load()
	if applied == nil {
		return lease.Never
	}
	asOf, changes := v.replicas[TableRules].VerifiedAsOf()
	if changes != applied.changes {
		asOf = applied.asOf // The copy has changed since, and is not in force yet.
	}
	return asOf.Age(now)
}

// strict reports whether keys are admitted only while the rules are verified to be recent.
func (v *VM) strict(table *route.Table) bool {
	return table != nil && table.Teams != nil && v.cfg.Load().RevokeWithin > 0
}

// rulesLost reports whether the platform, since it was restored, may have older rules than
// other VMs have had in force: a key that those revoke may be in them. A VM that has just
// started does not know before it has heard another one.
func (v *VM) rulesLost(now time.Time, table *route.Table) bool {
	copied := v.replicas[TableRules]
	lost, heard := copied.LostContent()
	if !heard && v.settling(now) && v.era() > 0 {
		return true
	}
	if lost <= table.Config.Version {
		return false
	}
	applied := v.applied.Load()
	_, changes := copied.VerifiedAsOf()
	return applied != nil && applied.changes == changes // Otherwise the copy may have them already.
}

// lapsing reports whether the rules of this VM are not known to be recent enough to admit keys,
// or soon will not be.
func (v *VM) lapsing() bool {
	table := v.table.Load()
	if !v.strict(table) {
		return false
	}
	return v.rulesLost(time.Now(), table) || v.rulesAge(clock.SinceBoot()) > lifecycle.Share(v.cfg.Load().RevokeWithin, lapseFraction)
}

// authenticate finds the team of a request by its key. The request's rulesAge must have been
// determined after the request was read, and the table loaded after that.
//
// A revoked key must not admit a request that is sent more than RevokeWithin after the
// revocation was acknowledged, even at a VM that is cut off, was suspended, or gets the
// rules from other VMs. Package lease explains why it is enough to check the age once,
// here. The decision is bound to the time at which the caller sent the request, however
// long the request then waits.
func (v *VM) authenticate(req *request, table *route.Table) *verdict.Error {
	if table.Teams == nil || req.route.Unauthenticated {
		return nil
	}
	if v.strict(table) && (req.rulesAge > v.cfg.Load().RevokeWithin || v.rulesLost(time.Now(), table)) {
		return verdict.New(verdict.NotRun, verdict.ReasonNotSure, unverifiedRetryAfter)
	}
	key, err := team.Bearer(req.http.Header.Values("Authorization"))
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonUnknownKey, 0)
	}
	req.keyPrint = team.Fingerprint(key)
	req.team = table.Teams.ByKey(key)
	if req.team == nil {
		return v.unknownError(req, table, verdict.ReasonUnknownKey)
	}
	return nil
}

// unknownError returns the error of a request whose key or route is not in the rules.
func (v *VM) unknownError(req *request, table *route.Table, reason verdict.Reason) *verdict.Error {
	if v.strict(table) && req.rulesAge > maxAgeForUnknown {
		return verdict.New(verdict.NotRun, verdict.ReasonNotSure, unverifiedRetryAfter)
	}
	return verdict.New(verdict.NotRun, reason, 0)
}

// limit charges a request to its team's limit.
func (v *VM) limit(req *request) *verdict.Error {
	if wait, ok := v.limits.Take(time.Now(), req.team); !ok {
		return verdict.New(verdict.NotRun, verdict.ReasonOverLimit, wait)
	}
	req.charged = true
	return nil
}

// returnLimit undoes limit for a request that did not run here.
func (v *VM) returnLimit(now time.Time, req *request) {
	if req.charged {
		req.charged = false
		v.limits.Return(now, req.team)
	}
}

// setTeam sets a request's team in its header. It removes the caller's key, and any value
// that the caller set for the team, under any spelling of the field's name.
func setTeam(h http.Header, field string, table *route.Table, t *team.Team) {
	if field == "" || table.Teams == nil {
		return
	}
	for name := range h {
		if strings.EqualFold(strings.ReplaceAll(name, "_", "-"), field) {
			delete(h, name)
		}
	}
	h.Del("Authorization")
	if t != nil {
		h.Set(field, t.Name)
	}
}
