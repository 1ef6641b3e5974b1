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
	// doubtAfter is the age of the rules above which an unknown key or route is not taken
	// for one that is not there: 401 and 404 end a request for good.
	doubtAfter = 4 * time.Second
	// leaveLookups is the part of RevokeWithin after which a VM that is not sure of its
	// rules takes no new callers.
	leaveLookups = 0.8
	// unsureWait is when to come back to a VM that is not sure of its rules: others may be,
	// and this one asks them twice a second.
	unsureWait = 500 * time.Millisecond
)

// ruledCopy is which copy of the rules is in force.
type ruledCopy struct {
	changes uint64
	// asOf is the moment as of which that copy was the newest when it was taken into use.
	asOf lease.Moment
}

// rulesAge is how long ago the rules in force certainly were the newest. The table of rules
// has to be looked up after this was asked, and is then as new or newer.
func (v *VM) rulesAge(now lease.Moment) time.Duration {
	ruled := v.ruled.Load()
	if ruled == nil {
		return lease.Never
	}
	asOf, changes := v.replicas[TableRules].VerifiedAsOf()
	if changes != ruled.changes {
		asOf = ruled.asOf // The copy has changed since, and is not in force yet.
	}
	return asOf.Age(now)
}

// strict reports whether keys are only admitted while the rules are certainly new.
func (v *VM) strict(table *route.Table) bool {
	return table != nil && table.Teams != nil && v.cfg.Load().RevokeWithin > 0
}

// lapsing reports whether this VM is, or soon will be, too long without certainty about
// its rules to admit keys.
func (v *VM) lapsing() bool {
	if !v.strict(v.table.Load()) {
		return false
	}
	return v.rulesAge(clock.SinceBoot()) > lifecycle.Share(v.cfg.Load().RevokeWithin, leaveLookups)
}

// identify finds the team of a request by its key. The table has been looked up after the
// request's rulesAge was, and that after the request had been read.
//
// A key that was taken away must not admit a request sent later than RevokeWithin after
// that was acknowledged, also at a VM that is cut off, was suspended, or hears of the rules
// from others: see package lease for why looking at the age once, here, is enough. The
// request is then bound to what it was when its caller sent it, however long it waits.
func (v *VM) identify(req *request, table *route.Table) *verdict.Error {
	if table.Teams == nil || req.route.Unauthenticated {
		return nil
	}
	if v.strict(table) && req.rulesAge > v.cfg.Load().RevokeWithin {
		return verdict.New(verdict.NotRun, verdict.ReasonNotSure, unsureWait)
	}
	key, err := team.Bearer(req.http.Header.Values("Authorization"))
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonUnknownKey, 0)
	}
	req.keyPrint = team.Fingerprint(key)
	req.team = table.Teams.ByKey(key)
	if req.team == nil {
		return v.unknown(req, table, verdict.ReasonUnknownKey)
	}
	return nil
}

// unknown returns the error of a request whose key or route is not in the rules.
func (v *VM) unknown(req *request, table *route.Table, reason verdict.Reason) *verdict.Error {
	if v.strict(table) && req.rulesAge > doubtAfter {
		return verdict.New(verdict.NotRun, verdict.ReasonNotSure, unsureWait)
	}
	return verdict.New(verdict.NotRun, reason, 0)
}

// limit takes a request out of its team's limit.
func (v *VM) limit(req *request) *verdict.Error {
	if wait, ok := v.limits.Take(time.Now(), req.team); !ok {
		return verdict.New(verdict.NotRun, verdict.ReasonOverLimit, wait)
	}
	return nil
}

// setTeam says in a request's header whose it is, whatever its caller said of that under
// any spelling, and takes the caller's key out.
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
