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
	// demandEvery is how often a VM tells what teams ask of it.
	demandEvery = 500 * time.Millisecond
	// demandAtStart is the same while it has just started: until it has heard totals it
	// has an equal part of each limit only.
	demandAtStart = 100 * time.Millisecond
	// collectors is how many VMs are told the demand. The second answers once the first
	// has not for secondAfter.
	collectors  = 2
	secondAfter = 1200 * time.Millisecond
	// collectAfter is how long a VM that has started is told before it answers: three
	// tellings of VMs that have just started too. Those that have not are not heard by
	// then, and have their equal parts kept back.
	collectAfter = 300 * time.Millisecond
	// leastUsed is how many VMs a VM takes callers to use that has just started and has not
	// heard of all.
	leastUsed = 12
)

// limitTeller tells what teams ask of this VM and hears what they ask of all.
type limitTeller struct {
	vm   *VM
	peer *peer.Datagrams
}

// loop tells until ctx ends.
func (t *limitTeller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		t.look(now)
		wait := demandEvery
		if now.Sub(t.vm.started) < joinHold {
			wait = demandAtStart
		}
		if !lifecycle.Sleep(ctx, wait) {
			return
		}
	}
}

// look tells the collectors, where a team has a limit.
func (t *limitTeller) look(now time.Time) {
	v := t.vm
	table := v.table.Load()
	if table == nil || table.Teams == nil {
		return
	}
	used := v.usedAddrs(now)
	n := len(used)
	if now.Sub(v.started) < joinHold {
		n = max(n, leastUsed)
	}
	v.limits.SetVMs(n)
	v.used.Store(&used)
	demand := v.limits.Demand(now)
	for i, name := range dispatch.First("limits", v.members.Live(now), collectors) {
		ask := i == 0 || v.limits.Age(now) > secondAfter
		if name == v.cfg.Load().Name {
			t.tellSelf(now, demand, ask)
		} else if m, ok := v.members.FindPeer(now, name); ok {
			t.peer.TellDemand(m.VM.Address.Peer, demand, ask)
		}
	}
}

// tellSelf is telling a collector where that is this VM.
func (t *limitTeller) tellSelf(now time.Time, demand []ratelimit.Demand, ask bool) {
	total, ok := limitTable{t.vm}.Told(now, t.vm.cfg.Load().PeerAddr, demand, true)
	if ok && ask {
		limitTable{t.vm}.Heard(now, total)
	}
}

// usedAddrs are the addresses of the VMs that callers use, by which datagrams tell who they
// are from.
func (v *VM) usedAddrs(now time.Time) []string {
	cfg := v.cfg.Load()
	var addrs []string
	for _, vm := range v.sending(now).vms {
		if vm.Name == cfg.Name {
			addrs = append(addrs, cfg.PeerAddr)
		} else if m, ok := v.members.FindPeer(now, vm.Name); ok {
			addrs = append(addrs, m.VM.Address.Peer)
		}
	}
	return addrs
}

// limitTable is what datagrams about limits are taken by.
type limitTable struct{ *VM }

// Knows implements peer.LimitTable.
func (l limitTable) Knows(now time.Time, addr string) bool {
	return l.used.Load() != nil && l.isMate(now, addr)
}

// Told implements peer.LimitTable. A VM that has just started, or has not heard of any
// other yet, cannot tell totals.
func (l limitTable) Told(now time.Time, addr string, list []ratelimit.Demand, first bool) (ratelimit.Total, bool) {
	table, used := l.table.Load(), l.used.Load()
	if table == nil || used == nil {
		return ratelimit.Total{}, false
	}
	l.collector.Record(now, addr, list, first)
	age := now.Sub(l.started)
	if age < collectAfter || age < joinHold && len(l.members.Live(now)) < 2 {
		return ratelimit.Total{}, false
	}
	l.collector.RefreshHot(now, table.Teams.Teams(), l.limits.Hot)
	return l.collector.Total(now, list, *used), true
}

// Heard implements peer.LimitTable.
func (l limitTable) Heard(now time.Time, t ratelimit.Total) {
	l.limits.Heard(now, t)
}
