package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/balance"
	"auburnlatch/io/lifecycle"
)

// retryLogInterval is the interval between log lines about a service's retry budget. It is a
// fraction of the window that the budget is for, so that the lines of all VMs, ended processes
// included, add up to what upstreams received in a window.
const retryLogInterval = 500 * time.Millisecond

// retryLog logs the use of the retry budget.
type retryLog struct {
	vm *VM
	// logged is the usage that was logged last, by service.
	logged map[string]balance.RetryUsage
}

// loop logs until ctx ends.
func (l *retryLog) loop(ctx context.Context) {
	l.logged = make(map[string]balance.RetryUsage)
	for lifecycle.Sleep(ctx, retryLogInterval) {
		l.log(time.Now())
	}
}

// log writes a line for each service for which a retry was granted or denied since the last one.
func (l *retryLog) log(now time.Time) {
	for _, u := range l.vm.retries.Usage(now) {
		last := l.logged[u.Service]
		l.logged[u.Service] = u
		if u.Retries == last.Retries && u.Spare == last.Spare && u.Denied == last.Denied {
			continue
		}
		l.vm.log.WithFields(logrus.Fields{
			"Service": u.Service, "Requests": u.Requests - last.Requests, "Retries": u.Retries - last.Retries,
			"SecondSends": u.Spare - last.Spare, "Denied": u.Denied - last.Denied, "Left": int(u.Left),
			"VMs": u.VMs, "UpMs": now.Sub(l.vm.started).Milliseconds(),
		}).Info("RetriesSpent")
	}
}
