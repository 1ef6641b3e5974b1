package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/route"
	"auburnlatch/core/verdict"
	"auburnlatch/io/lifecycle"
)

// splitLogInterval is the interval between log lines about the parts of split routes. It is short
// against the seconds in which a new version of the rules reaches all VMs.
const splitLogInterval = 500 * time.Millisecond

// partKey identifies a part of a split route in one version of the rules.
type partKey struct {
	route   string
	version uint64
	service string
}

func (k partKey) compare(o partKey) int {
	return cmp.Or(cmp.Compare(k.route, o.route), cmp.Compare(k.version, o.version), cmp.Compare(k.service, o.service))
}

// partUse counts the requests for one part of a split route.
type partUse struct {
	weight float64
	// picked includes relayed, the requests that came from another VM.
	picked, relayed int
	// answered includes through, the requests that were answered through another VM.
	answered, through int
	// refused requests have not run, and failed ones may have.
	refused, failed int
}

// splitLog counts and logs which parts of split routes requests were sent to. The zero value is
// ready to use.
type splitLog struct {
	mu   sync.Mutex
	uses map[partKey]*partUse
}

// isSplit reports whether a part of a split route was chosen for a request.
func isSplit(req *request) bool {
	return req.route != nil && len(req.route.Parts) > 1 && req.service != ""
}

// use returns the counts of a request's part.
func (l *splitLog) use(req *request) *partUse {
	k := partKey{req.route.Name, req.rules, req.service}
	u := l.uses[k]
	if u == nil {
		if l.uses == nil {
			l.uses = make(map[partKey]*partUse)
		}
		u = &partUse{weight: weightOf(req.route, req.service)}
		l.uses[k] = u
	}
	return u
}

// picked counts a request whose part was chosen.
func (l *splitLog) picked(req *request) {
	if !isSplit(req) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.use(req)
	u.picked++
	if req.relayed != "" {
		u.relayed++
	}
}

// done counts the outcome of a request.
func (l *splitLog) done(res result) {
	if !isSplit(res.request) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.use(res.request)
	switch {
	case res.err == nil:
		u.answered++
		if res.response.through != "" {
			u.through++
		}
	case res.err.Verdict == verdict.NotRun:
		u.refused++
	default:
		u.failed++
	}
}

// weightOf returns the weight of a service in a route's split.
func weightOf(r *route.Route, service string) (weight float64) {
	for _, p := range r.Parts {
		if p.Service == service {
			weight += p.Weight
		}
	}
	return weight
}

// splitLogLoop logs until ctx ends.
func (v *VM) splitLogLoop(ctx context.Context) {
	for lifecycle.Sleep(ctx, splitLogInterval) {
		v.logSplits()
	}
}

// logSplits writes a line for each part that was used since the last call.
func (v *VM) logSplits() {
	v.splitLog.mu.Lock()
	uses := v.splitLog.uses
	v.splitLog.uses = nil
	v.splitLog.mu.Unlock()
	var keys []partKey
	for k := range uses {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, partKey.compare)
	for _, k := range keys {
		u := uses[k]
		v.log.WithFields(logrus.Fields{
			"Route": k.route, "ConfigVersion": k.version, "Service": k.service, "Weight": u.weight,
			"Picked": u.picked, "Relayed": u.relayed, "Answered": u.answered, "Through": u.through,
			"Refused": u.refused, "Failed": u.failed,
		}).Info("SplitUsed")
	}
}
