package vm

import (
	"context"
	"fmt"
	"sync"
	"time"

	"auburnlatch/core/inventory"
	"auburnlatch/core/member"
	"auburnlatch/core/poison"
	"auburnlatch/core/verdict"
	"auburnlatch/io/quarantine"
)

// generations numbers the successive processes of the upstream at an address, which the
// inventory does not tell apart. VMs that saw different crashes number them differently;
// one crash may then look like two, but crashes at the same time count once.
type generations struct {
	mu sync.Mutex
	n  map[string]int // By address.
}

// current returns the upstream's present generation.
func (g *generations) current(t *inventory.Target) quarantine.Upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	return quarantine.Upstream{ID: fmt.Sprintf("%s#%d", t.Addr, g.n[t.Addr]), Addr: t.Addr}
}

// next starts the next generation after a crash of u, if u is the present one.
func (g *generations) next(u quarantine.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.n == nil {
		g.n = make(map[string]int)
	}
	if u.ID == fmt.Sprintf("%s#%d", u.Addr, g.n[u.Addr]) {
		g.n[u.Addr]++
	}
}

// routeGuard implements route.Guard.
type routeGuard struct {
	*quarantine.Guard
	generations *generations
	work        context.Context // Ends with the VM's Run.
}

// Begin implements route.Guard.
func (g *routeGuard) Begin(began time.Time, req *poison.Request, t *inventory.Target) func(time.Time, *verdict.Error) {
	sent := quarantine.Attempt{Upstream: g.generations.current(t), Began: began}
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

// Peers implements quarantine.Fleet.
func (f fleetView) Peers(now time.Time) []string {
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

// Departed implements quarantine.Fleet.
func (f fleetView) Departed(now time.Time) []string {
	var addrs []string
	for _, m := range f.table.Peers(now) {
		if m.State == member.Gone {
			addrs = append(addrs, m.VM.Address.Peer)
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

// SeesAllZones implements quarantine.Fleet.
func (f fleetView) SeesAllZones(now time.Time, within time.Duration) bool {
	// Zones exchange state only every globalHeartbeats heartbeats.
	within = max(within, 2*globalHeartbeats*f.cfg.Timing.Heartbeat)
	views := f.table.Zones(now)
	for _, z := range views {
		if z.Zone != f.cfg.Zone && z.RosterAge > within {
			return false
		}
	}
	return len(views) > 1 || len(f.table.Live(now)) > 1
}
