package vm

import (
	"context"
	"fmt"
	"sync"
	"time"

	"auburnlatch/core/inventory"
	"auburnlatch/core/poison"
	"auburnlatch/core/verdict"
	"auburnlatch/io/quarantine"
)

// lives tells the lives of upstreams apart, which the inventory names alike. VMs that saw
// different ends number them differently, which only makes one end look like two at the
// same moment; these count once.
type lives struct {
	mu sync.Mutex
	n  map[string]int
}

// of returns the upstream's present life.
func (l *lives) of(t *inventory.Target) quarantine.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return quarantine.Upstream{ID: fmt.Sprintf("%s#%d", t.Addr, l.n[t.Addr]), Addr: t.Addr}
}

// ended begins another life where the present one has ended.
func (l *lives) ended(u quarantine.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.n == nil {
		l.n = make(map[string]int)
	}
	if u.ID == fmt.Sprintf("%s#%d", u.Addr, l.n[u.Addr]) {
		l.n[u.Addr]++
	}
}

// runGuard implements route.Guard.
type runGuard struct {
	*quarantine.Guard
	lives *lives
	work  context.Context
}

// Begin implements route.Guard.
func (g *runGuard) Begin(began time.Time, req *poison.Request, t *inventory.Target) func(time.Time, *verdict.Error) {
	sent := quarantine.Attempt{Upstream: g.lives.of(t), Began: began}
	return func(now time.Time, e *verdict.Error) {
		if e != nil {
			g.Unanswered(g.work, now, req, sent, e)
			return
		}
		g.Answered(now, began, sent.Upstream.ID)
		g.Served(g.work, now, req, sent)
	}
}

// fleetView implements quarantine.Fleet.
type fleetView struct{ *VM }

// Mates implements quarantine.Fleet.
func (f fleetView) Mates(now time.Time) []string {
	var addrs []string
	for _, z := range f.zoneViews(now) {
		for _, vm := range z.VMs {
			if vm.Name != f.cfg.Name {
				addrs = append(addrs, vm.Peer)
			}
		}
	}
	return addrs
}

// Live implements quarantine.Fleet.
func (f fleetView) Live(now time.Time) []string {
	var names []string
	for _, z := range f.zoneViews(now) {
		for _, vm := range z.VMs {
			names = append(names, vm.Name)
		}
	}
	return names
}

// ZoneLive implements quarantine.Fleet.
func (f fleetView) ZoneLive(now time.Time) []string { return f.table.Live(now) }

// HearsAllZones implements quarantine.Fleet.
func (f fleetView) HearsAllZones(now time.Time, within time.Duration) bool {
	// Zones hear of each other only so often.
	within = max(within, 2*globalBeats*f.cfg.Timing.Heartbeat)
	views := f.table.Zones(now)
	for _, z := range views {
		if z.Zone != f.cfg.Zone && z.RosterAge > within {
			return false
		}
	}
	return len(views) > 1 || len(f.table.Live(now)) > 1
}
