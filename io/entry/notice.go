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
	// noticeInterval is how often a VM relays upstreams' notices, each time to
	// noticeFanout others.
	noticeInterval = 500 * time.Millisecond
	noticeFanout   = 2
)

// parseNotice returns what an upstream reports about itself in a response's status and header.
func (v *VM) parseNotice(status int, h http.Header) balance.Notice {
	var n balance.Notice
	if status == http.StatusServiceUnavailable {
		n.RetryAfter = upstream.RetryAfter(h)
	}
	if name := v.protocol.Limit; name != "" {
		n.Limit = parseLimit(h.Values(name))
	}
	if name := v.protocol.Leaving; name != "" {
		n.Leaving = slices.ContainsFunc(h.Values(name), func(text string) bool { return strings.TrimSpace(text) == "1" })
	}
	return n
}

// parseLimit parses the limit in the values of a field. If there are several, the lowest applies.
func parseLimit(values []string) throttle.Notice {
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

// notice logs what an upstream reports about itself if it is new.
func (l *requestLog) notice(lease balance.Lease, n balance.Notice) {
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

// noticePublisher relays what upstreams report about themselves to other VMs.
type noticePublisher struct {
	vm   *VM
	peer *peer.Datagrams
}

// loop publishes until ctx ends.
func (p *noticePublisher) loop(ctx context.Context) {
	lifecycle.Every(ctx, noticeInterval, p.publish)
}

// publish sends the reports to a few VMs.
func (p *noticePublisher) publish(now time.Time) {
	list := p.vm.balancer.Reports(now)
	if len(list) == 0 {
		return
	}
	addrs := slices.Collect(maps.Keys(p.vm.peerAddrs(now)))
	if len(addrs) == 0 {
		return
	}
	for range noticeFanout {
		p.peer.SendReports([]string{addrs[rand.IntN(len(addrs))]}, list)
	}
}

// upstreamTable handles datagrams about upstreams.
type upstreamTable struct{ *VM }

// IsPeer implements peer.UpstreamTable.
func (u upstreamTable) IsPeer(now time.Time, addr string) bool { return u.isPeer(now, addr) }

// MergeReports implements peer.UpstreamTable.
func (u upstreamTable) MergeReports(now time.Time, list []balance.Report) {
	u.balancer.MergeReports(now, list)
}
