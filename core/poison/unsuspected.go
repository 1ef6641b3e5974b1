package poison

import (
	"slices"
	"time"
)

const (
	// maxUnsuspected bounds the answered runs that are kept, some times those that a VM
	// has in the time that counts.
	maxUnsuspected = 512
	// maxKeptBody bounds the bodies of requests that are kept with them, in bytes.
	maxKeptBody = 4 << 10
)

// unsuspectedRun is an answered run of a request that nothing was held against. Its Print
// is worked out only where it is needed.
type unsuspectedRun struct {
	Run
	req Request // A copy, as the request may be sent once more meanwhile.
}

// ServedUnsuspected takes in that an upstream answered a request of which nothing is known.
// Should the upstream end in that moment, the request may have been the cause. One with a
// long body is not kept. r needs no Print.
func (l *Ledger) ServedUnsuspected(r Run, req *Request) {
	if len(req.content.Body) > maxKeptBody {
		return
	}
	r.Answered = true
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.unsuspected) < maxUnsuspected {
		l.unsuspected = append(l.unsuspected, unsuspectedRun{r, *req})
		return
	}
	l.unsuspected[l.oldestUnsuspected] = unsuspectedRun{r, *req}
	l.oldestUnsuspected = (l.oldestUnsuspected + 1) % maxUnsuspected
}

// dropUnsuspected forgets runs whose upstreams have outlived their answers, as nothing of an
// end was seen so far.
func (l *Ledger) dropUnsuspected(now time.Time) {
	l.deleteUnsuspected(func(r unsuspectedRun) bool { return now.Sub(r.Ended) > livesOn })
}

func (l *Ledger) deleteUnsuspected(del func(unsuspectedRun) bool) {
	if k := l.oldestUnsuspected; k > 0 {
		l.unsuspected = slices.Concat(l.unsuspected[k:], l.unsuspected[:k])
		l.oldestUnsuspected = 0
	}
	l.unsuspected = slices.DeleteFunc(l.unsuspected, del)
}

// takeUnsuspected returns the runs that an upstream answered in the moment of its end.
func (l *Ledger) takeUnsuspected(target string, first time.Time) []Run {
	var runs []Run
	for _, r := range l.unsuspected {
		if r.Target == target && first.Sub(r.Ended) < Outlives {
			r.Print = r.req.Print()
			runs = append(runs, r.Run)
		}
	}
	l.deleteUnsuspected(func(r unsuspectedRun) bool { return r.Target == target })
	return runs
}
