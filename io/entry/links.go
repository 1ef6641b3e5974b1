package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/reach"
	"auburnlatch/core/target"
	"auburnlatch/io/upstream"
)

// linkObserver implements upstream.LinkObserver.
type linkObserver struct{ *VM }

// Probes implements upstream.LinkObserver.
func (v linkObserver) Probes(n int, failed func(addr string) bool) []upstream.Probe {
	cfg := v.cfg.Load()
	var list []upstream.Probe
	for _, t := range reach.Spread(v.balancer.Usable(), reach.Place{Zone: cfg.Zone, Region: cfg.Region}, n, failed, rand.IntN) {
		list = append(list, func(ctx context.Context, wanted reach.Contact) reach.Contact {
			return v.upstreams.Contact(ctx, t.Incarnation(), t.Addr, v.check(t), wanted)
		})
	}
	return list
}

// noTarget is the ID of no upstream. Any upstream rejects a request for it.
const noTarget = "none"

// check returns a request to which a target responds and that it does not run.
func (v *VM) check(t *target.Target) upstream.Check {
	c := upstream.Check{Path: "/", Header: make(http.Header)}
	c.Header.Set(v.protocol.ExpectTarget, noTarget)
	if table := v.table.Load(); table != nil {
		if s := table.Service(t.Service); s != nil && s.HealthPath != "" {
			c.Path = s.HealthPath
		}
	}
	return c
}

// LinksLost implements upstream.LinkObserver. Connections that are being opened are given up, so
// that their requests are relayed.
func (v linkObserver) LinksLost(ctx context.Context, now time.Time, checked int) {
	v.log.WithFields(logrus.Fields{"Checked": checked, "InFlight": v.inFlight.Load(), "ConnectionsFailed": v.upstreams.Connections().Failed}).Warn("UpstreamsLost")
	v.upstreams.AbortDials()
	v.announceReach(ctx, now)
}

// LinksRegained implements upstream.LinkObserver. What failed in the meantime was not the
// upstreams' fault, and connections from before may be dead.
func (v linkObserver) LinksRegained(ctx context.Context, now, lostAt time.Time) {
	v.log.WithField("AfterMs", now.Sub(lostAt).Milliseconds()).Warn("UpstreamsRegained")
	v.balancer.ForgetFailures(now)
	v.upstreams.CloseIdle(lostAt)
	v.announceReach(ctx, now)
}

// announceReach tells some VMs at once whether this one reaches upstreams.
func (v *VM) announceReach(ctx context.Context, now time.Time) {
	v.publish(now)
	v.startExchanges(ctx, v.partners(now), leaveFanout, v.members)
}

// cutOff reports whether the VM reaches no upstream.
func (v *VM) cutOff() bool { return v.links.CutOff() }
