package vm

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/inventory"
	"auburnlatch/core/reach"
	"auburnlatch/core/target"
	"auburnlatch/io/upstream"
)

// linkObserver implements upstream.LinkObserver for the upstreams of the VM's own availability
// zone, as it sends requests to no others.
type linkObserver struct{ *VM }

// Probes implements upstream.LinkObserver.
func (v linkObserver) Probes(n int, failed func(addr string) bool) []upstream.Probe {
	var targets []*target.Target
	byName := make(map[string]*inventory.Target)
	for _, t := range v.config.Inventory().ZoneTargets(v.cfg.Zone) {
		targets = append(targets, &target.Target{ID: t.Name, Addr: t.Addr, Zone: t.Zone, Service: t.Service})
		byName[t.Name] = t
	}
	var list []upstream.Probe
	for _, t := range reach.Spread(targets, reach.Place{Zone: v.cfg.Zone}, n, failed, rand.IntN) {
		list = append(list, func(ctx context.Context, wanted reach.Contact) reach.Contact {
			return v.upstreams.Contact(ctx, byName[t.ID], wanted)
		})
	}
	return list
}

// LinksLost implements upstream.LinkObserver. The VM gives up its slots to the others of its zone,
// which are then sent its callers' requests, and withdraws what it has reported of upstreams.
func (v linkObserver) LinksLost(ctx context.Context, now time.Time, checked int) {
	v.log.WithFields(logrus.Fields{"Checked": checked, "InFlight": v.pool.InFlight()}).Warn("UpstreamsLost")
	v.upstreams.AbortDials()
	v.upstreams.CloseIdle()
	v.health.forget()
	v.heartbeat(now)
	v.exchangeAll(ctx, now)
}

// LinksRegained implements upstream.LinkObserver. What failed in the meantime was not the
// upstreams' fault.
func (v linkObserver) LinksRegained(ctx context.Context, now, lostAt time.Time) {
	v.log.WithField("AfterMs", now.Sub(lostAt).Milliseconds()).Warn("UpstreamsRegained")
	v.pool.ForgetFailures(now)
	v.heartbeat(now)
	v.exchangeAll(ctx, now)
}
