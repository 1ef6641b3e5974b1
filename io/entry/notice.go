package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/balance"
	"auburnlatch/core/throttle"
	"auburnlatch/io/lifecycle"
	"auburnlatch/io/peer"
	"auburnlatch/io/upstream"
)

const (
	// noticeEvery is how often VMs relay what upstreams say of themselves, each to
	// noticePartners others.
	noticeEvery    = 500 * time.Millisecond
	noticePartners = 2
)

// notice returns what an upstream says of itself in the status and the header of an answer.
func (v *VM) notice(status int, h http.Header) balance.Notice {
	var n balance.Notice
	if status == http.StatusServiceUnavailable {
		n.RetryAfter = upstream.RetryAfter(h)
	}
	if name := v.protocol.Limit; name != "" {
		n.Limit = limitOf(h.Values(name))
	}
	if name := v.protocol.Leaving; name != "" {
		n.Leaving = slices.ContainsFunc(h.Values(name), func(text string) bool { return strings.TrimSpace(text) == "1" })
	}
	return n
}

// limitOf parses the limit that the values of a field name. Of several the lowest holds.
func limitOf(values []string) throttle.Notice {
	n := throttle.Notice{}
	for _, text := range values {
		perSecond, ok := upstream.Decimal(text)
		switch {
		case !ok && n.Kind == throttle.None:
			n.Kind = throttle.Unreadable
		case ok && (n.Kind != throttle.Named || perSecond < n.PerSecond):
			n = throttle.Notice{Kind: throttle.Named, PerSecond: perSecond}
		}
	}
	return n
}

// heard logs what an upstream says of itself, where that is new.
func (l *requestLog) heard(lease balance.Lease, n balance.Notice) {
	if !l.failures.take() {
		return
	}
	f := logrus.Fields{"Target": lease.Target.ID, "Addr": lease.Target.Addr, "TargetZone": lease.Target.Zone, "Service": lease.Target.Service}
	if n.Limit.Kind == throttle.Named {
		f["LimitPerSecond"] = n.Limit.PerSecond
	}
	if n.Leaving {
		f["Leaving"] = true
	}
	if n.RetryAfter > 0 {
		f["RetryAfterMs"] = n.RetryAfter.Milliseconds()
	}
	l.log.WithFields(f).Info("UpstreamNotice")
}

// noticeTeller passes on to other VMs what upstreams say of themselves.
type noticeTeller struct {
	vm   *VM
	peer *peer.Datagrams
}

// loop tells until ctx ends.
func (t *noticeTeller) loop(ctx context.Context) {
	lifecycle.Every(ctx, noticeEvery, t.tell)
}

// tell tells a few VMs.
func (t *noticeTeller) tell(now time.Time) {
	list := t.vm.balancer.Reports(now)
	if len(list) == 0 {
		return
	}
	addrs := slices.Collect(maps.Keys(t.vm.peerAddrs(now)))
	if len(addrs) == 0 {
		return
	}
	for range noticePartners {
		t.peer.TellReports([]string{addrs[rand.IntN(len(addrs))]}, list)
	}
}

// upstreamTable is what datagrams about upstreams are taken by.
type upstreamTable struct{ *VM }

// Knows implements peer.UpstreamTable.
func (u upstreamTable) Knows(now time.Time, addr string) bool { return u.isMate(now, addr) }

// MergeReports implements peer.UpstreamTable.
func (u upstreamTable) MergeReports(now time.Time, list []balance.Report) {
	u.balancer.MergeReports(now, list)
}
