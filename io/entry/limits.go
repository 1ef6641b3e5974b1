package entry

import (
	"context"
	"time"

	"auburnlatch/core/dispatch"
	"auburnlatch/core/ratelimit"
	"auburnlatch/io/lifecycle"
	"auburnlatch/io/peer"
)

const (
	// demandInterval is how often a VM reports its teams' demand.
	demandInterval = 500 * time.Millisecond
	// startDemandInterval is the interval while the VM has just started: until it has
	// received totals it has only an equal share of each limit.
	startDemandInterval = 100 * time.Millisecond
	// collectors is how many VMs the demand is reported to. The second one replies if the
	// first has not for secondAfter.
	collectors  = 2
	secondAfter = 1200 * time.Millisecond
	// collectAfter is how long a VM that has started collects reports before it replies:
	// three reports of VMs that have just started too. Older VMs have not reported by then,
	// and their equal shares are reserved.
	collectAfter = 300 * time.Millisecond
	// minActive is the least number of VMs with callers that a VM assumes when it has just
	// started and does not know all others.
	minActive = 12
)

// demandPublisher reports teams' demand at this VM and receives the total over all VMs.
type demandPublisher struct {
	vm   *VM
	peer *peer.Datagrams
}

// loop publishes until ctx ends.
func (p *demandPublisher) loop(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		p.publish(now)
		wait := demandInterval
		if now.Sub(p.vm.started) < joinHold {
			wait = startDemandInterval
		}
		if !lifecycle.Sleep(ctx, wait) {
			return
		}
	}
}

// publish reports the demand to the collectors if a team has a limit.
func (p *demandPublisher) publish(now time.Time) {
	v := p.vm
	table := v.table.Load()
	if table == nil || table.Teams == nil {
		return
	}
	active := v.findActiveAddrs(now)
	n := len(active)
	if now.Sub(v.started) < joinHold {
		n = max(n, minActive)
	}
	v.limits.SetVMs(n)
	v.activeAddrs.Store(&active)
	report := ratelimit.Report{Demands: v.limits.Demand(now), Up: now.Sub(v.started)}
	for i, name := range dispatch.First("limits", v.members.Live(now), collectors) {
		ask := i == 0 || v.limits.Age(now) > secondAfter
		if name == v.cfg.Load().Name {
			p.recordOwn(now, report, ask)
		} else if m, ok := v.members.FindPeer(now, name); ok {
			p.peer.SendDemand(m.VM.Address.Peer, report, ask)
		}
	}
}

// recordOwn records the demand if this VM is a collector.
func (p *demandPublisher) recordOwn(now time.Time, r ratelimit.Report, ask bool) {
	total, ok := limitTable{p.vm}.RecordDemand(now, p.vm.cfg.Load().PeerAddr, r)
	if ok && ask {
		limitTable{p.vm}.Heard(now, total)
	}
}

// findActiveAddrs returns the peer addresses of the active VMs, as datagrams identify their
// senders by them.
func (v *VM) findActiveAddrs(now time.Time) []string {
	cfg := v.cfg.Load()
	var addrs []string
	for _, vm := range v.active(now).vms {
		if vm.Name == cfg.Name {
			addrs = append(addrs, cfg.PeerAddr)
		} else if m, ok := v.members.FindPeer(now, vm.Name); ok {
			addrs = append(addrs, m.VM.Address.Peer)
		}
	}
	return addrs
}

// limitTable handles datagrams about limits.
type limitTable struct{ *VM }

// IsPeer implements peer.LimitTable.
func (l limitTable) IsPeer(now time.Time, addr string) bool {
	return l.activeAddrs.Load() != nil && l.isPeer(now, addr)
}

// RecordDemand implements peer.LimitTable. A VM that has just started, or does not know of any
// other yet, cannot return totals.
func (l limitTable) RecordDemand(now time.Time, addr string, r ratelimit.Report) (ratelimit.Total, bool) {
	table, active := l.table.Load(), l.activeAddrs.Load()
	if table == nil || active == nil {
		return ratelimit.Total{}, false
	}
	l.collector.Record(now, addr, r)
	age := now.Sub(l.started)
	if age < collectAfter || age < joinHold && len(l.members.Live(now)) < 2 {
		return ratelimit.Total{}, false
	}
	l.collector.RefreshHot(now, table.Teams.Teams(), l.limits.Hot)
	return l.collector.Total(now, r.Demands, *active), true
}

// Heard implements peer.LimitTable.
func (l limitTable) Heard(now time.Time, t ratelimit.Total) {
	l.limits.Heard(now, t)
}
