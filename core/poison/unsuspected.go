package poison

import (
	"slices"
	"time"
)

const (
	// maxUnsuspected bounds the answered runs that are kept: several times those that a VM
	// has within SurvivalTime. Earlier ones do not count
	// as the cause of a crash.
	maxUnsuspected = 512
	// maxKeptBody bounds the bodies of the requests that are kept with them, in bytes.
	maxKeptBody = 4 << 10
)

// unsuspectedRun is an answered run of a request that is not suspected. Its Print is computed
// only when it is needed.
type unsuspectedRun struct {
	Run
	req Request // A copy, as the request may be sent again meanwhile.
}

// ServedUnsuspected records that an upstream answered a request that is not suspected. If the
// upstream crashes at that moment, the request may have caused it. Requests with a long body
// are not recorded. r needs no Print.
func (l *Ledger) ServedUnsuspected(r Run, req *Request) {
	if len(req.content.Body) > maxKeptBody {
		return
	}
	r.Over = true
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.unsuspected) < maxUnsuspected {
		l.unsuspected = append(l.unsuspected, unsuspectedRun{r, *req})
		return
	}
	l.unsuspected[l.oldestUnsuspected] = unsuspectedRun{r, *req}
	l.oldestUnsuspected = (l.oldestUnsuspected + 1) % maxUnsuspected
}

// dropUnsuspected drops the runs whose upstreams have survived their response, as no sign of a
// crash was seen since.
func (l *Ledger) dropUnsuspected(now time.Time) {
	l.deleteUnsuspected(func(r unsuspectedRun) bool { return now.Sub(r.Ended) > survivalMargin })
}

func (l *Ledger) deleteUnsuspected(del func(unsuspectedRun) bool) {
	if k := l.oldestUnsuspected; k > 0 {
		l.unsuspected = slices.Concat(l.unsuspected[k:], l.unsuspected[:k])
		l.oldestUnsuspected = 0
	}
	l.unsuspected = slices.DeleteFunc(l.unsuspected, del)
}

// takeUnsuspected removes the runs of an upstream, and returns those that it answered within
// SurvivalTime before first, the first sign of its crash.
func (l *Ledger) takeUnsuspected(target string, first time.Time) []Run {
	var runs []Run
	for _, r := range l.unsuspected {
		if r.Target == target && first.Sub(r.Ended) < SurvivalTime {
			r.Print = r.req.Print()
			runs = append(runs, r.Run)
		}
	}
	l.deleteUnsuspected(func(r unsuspectedRun) bool { return r.Target == target })
	return runs
}
