package vm

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/inventory"
	"auburnlatch/core/member"
	"auburnlatch/core/steer"
)

// steerLoop moves the weights and updates the look-ups.
func (v *VM) steerLoop(ctx context.Context) {
	t := time.NewTicker(steerInterval)
	defer t.Stop()
	for {
		v.restoreRows(ctx)
		v.steer(time.Now())
		v.refreshLookups(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-v.refresh:
		}
	}
}

// refreshSoon wakes steerLoop.
func (v *VM) refreshSoon() {
	select {
	case v.refresh <- struct{}{}:
	default:
	}
}

// restoreRows copies the weights of another VM after the start, once. A VM that
// started from the wanted weights would shift its callers' traffic by the whole
// difference in one step. If no VM has weights, it stops trying after joinHold.
func (v *VM) restoreRows(ctx context.Context) {
	if v.restored.Load() {
		return
	}
	now := time.Now()
	for _, m := range v.table.Peers(now) {
		if m.State == member.Live && v.restoreFrom(ctx, m.VM.Address.Peer) {
			return
		}
	}
	for _, p := range sample(v.otherZones(now), 1) {
		if v.restoreFrom(ctx, p.addr) {
			return
		}
	}
	if now.Sub(v.started) > v.joinHold() {
		v.restored.Store(true)
	}
}

// restoreFrom copies the weights of the VM at addr and reports whether it had any.
func (v *VM) restoreFrom(ctx context.Context, addr string) bool {
	n, err := v.peers.Weights(ctx, addr, &v.rows)
	if err != nil || n == 0 {
		return false
	}
	v.restored.Store(true)
	v.log.WithFields(logrus.Fields{"From": addr, "Rows": n}).Info("WeightsRestored")
	return true
}

// steer computes the wanted weights of each service and moves the rows towards
// them.
func (v *VM) steer(now time.Time) {
	if !v.restored.Load() || !v.Ready() {
		return
	}
	inv := v.config.Inventory()
	views := v.zoneViews(now)
	for _, s := range inv.Services {
		v.steerService(now, inv, s, views)
	}
	v.rows.Retain(now, func(key steer.RowKey) bool { return inv.Service(key.Service) != nil })
}

func (v *VM) steerService(now time.Time, inv *inventory.Inventory, s *inventory.Service, views []member.ZoneView) {
	paths := v.paths.Paths(inv)
	problem := steer.ProblemFor(inv, paths, s, views, now.Sub(v.started))
	problem.Exclude(func(zone string) bool { return v.reach.Unreachable(now, zone) })
	wanted := steer.Solve(problem)
	limit := steer.Limit{Cap: s.MaxShiftPerMinute, FailoverCap: s.MaxFailoverPerMinute, Lost: problem.Lost()}
	var initial steer.Assignment
	for _, z := range inv.Zones {
		key := steer.RowKey{Service: s.Name, Origin: z.Name}
		row := v.rows.Row(key)
		if len(row.Weights()) == 0 {
			if initial == nil {
				initial = steer.Solve(steer.RegisteredProblem(inv, paths, s))
			}
			row.Move(now, initial[z.Name], limit)
		}
		v.rows.Move(now, key, wanted[z.Name], limit)
	}
}

// zoneViews returns the views of all zones. That of the own zone is computed now,
// not the one last published.
func (v *VM) zoneViews(now time.Time) []member.ZoneView {
	roster, load := v.table.Summarize(now)
	own := member.ZoneView{Zone: v.cfg.Zone, VMs: roster.VMs, Load: &load}
	views := slices.DeleteFunc(v.table.Zones(now), func(z member.ZoneView) bool { return z.Zone == v.cfg.Zone })
	return append(views, own)
}

// refreshLookups replaces the snapshots that look-ups and requests to other zones
// read.
func (v *VM) refreshLookups(now time.Time) {
	views := v.zoneViews(now)
	v.lookups.Store(steer.NewLookups(v.lookups.Load(), v.config.Inventory(), views, v.cfg.Zone))
	v.directory.Store(newDirectory(views))
}
