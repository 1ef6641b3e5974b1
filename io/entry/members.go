package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/callers"
	"auburnlatch/core/dispatch"
	"auburnlatch/core/member"
	"auburnlatch/io/lifecycle"
)

const (
	// heartbeat is the interval between exchanges with another VM. How many it
	// takes for a word to go round grows with the logarithm of the VMs' number.
	heartbeat = 500 * time.Millisecond
	// behindPartners is how many VMs are asked for their copies on each heartbeat by one
	// whose own the platform has not confirmed lately.
	behindPartners = 2
	behindAge      = 1500 * time.Millisecond
	// defaultIdle bounds idle connections of callers where the rules do not.
	defaultIdle = time.Minute
)

// heartbeatLoop tells others of this VM and hears of them.
func (v *VM) heartbeatLoop(ctx context.Context) {
	v.awaitTrip(ctx)
	copies := &staleCopies{log: v.log, stale: make(map[string]bool)}
	lifecycle.Every(ctx, heartbeat, func(now time.Time) {
		v.members.Tick(now)
		v.publish(now)
		v.exchangeMembers(ctx, now)
		if v.behind(now) {
			v.startExchanges(ctx, v.copyPartners(now), behindPartners, nil)
		}
		if now.Sub(v.started) >= joinHold {
			v.renewSenders(now)
		}
		v.peers.CloseIdle(now)
		for name, t := range v.replicas {
			copies.note(name, t.Head(now).Age, v.cfg.Load().LeaveWithin)
		}
		v.upstreams.Sweep(now, v.targets.has)
		v.idle.closeOlder(now, v.idleTimeout())
	})
}

func (v *VM) idleTimeout() time.Duration {
	if t := v.table.Load(); t != nil && t.Config.Limits.IdleTimeout > 0 {
		return t.Config.Limits.IdleTimeout
	}
	return defaultIdle
}

// reporters is how many VMs of a zone tell the other zones who is alive there.
const reporters = 2

// publish renews what others are told of this VM, and of its zone.
func (v *VM) publish(now time.Time) {
	v.members.Publish(now, *v.self(now))
	if v.settling(now) {
		return // It cannot have heard of its mates yet.
	}
	names := fleet{v}.ZoneLive(now)
	if slices.Contains(dispatch.First("report", names, reporters), v.cfg.Load().Name) {
		v.members.PublishReport(now)
	}
}

// self is what others are told of this VM.
func (v *VM) self(now time.Time) *member.VM {
	cfg := v.cfg.Load()
	return &member.VM{
		Name: cfg.Name, Zone: cfg.Zone, Leaving: v.leaving.Load(), Dispatches: v.Ready(),
		Capacity: cfg.Capacity, Traffic: v.traffic.Traffic(now), PlatformTrip: v.platformTrip(),
		Address: member.Address{Name: cfg.Name, Zone: cfg.Zone, Caller: cfg.FrontAddr, Peer: cfg.PeerAddr, Leaving: v.leaving.Load()},
	}
}

// senders are the VMs that callers use.
type senders struct {
	vms []balance.VM // This one included.
	// self says that callers use this one.
	self bool
}

// renewSenders works out anew who sends to upstreams, and how many VMs share retries, where
// anything is different from the last time: each takes a look at all VMs.
func (v *VM) renewSenders(now time.Time) {
	self := v.self(now)
	basis := sendersBasis{ready: self.Dispatches, traffic: self.Traffic, mates: v.matesSum(now)}
	if v.senders.Load() != nil && v.basis == basis {
		return
	}
	v.basis = basis
	s := v.findSenders(now)
	v.senders.Store(&s)
	v.balancer.SetVMs(s.vms)
	v.retries.SetVMs(len(v.knownNames(now)))
}

// sendersBasis is what senders depend on.
type sendersBasis struct {
	ready   bool
	traffic member.Traffic
	mates   uint64
}

// matesSum stands for what the other VMs tell of themselves, and whether they are heard.
func (v *VM) matesSum(now time.Time) uint64 {
	var sum uint64
	for _, m := range v.members.Peers(now) {
		x := m.Stamp.ContentHash() + uint64(m.State)
		if now.Sub(m.Heard) < forgetAfter {
			x = ^x
		}
		sum += x
	}
	return sum
}

// findSenders returns the VMs that share what a cold upstream bears: those that may
// be running and have callers or are named to them. Were the others among them,
// upstreams whose turns fall to those would get nothing for as long as they are cold.
// This VM always is one. One that gets callers may not be known to the others for two
// heartbeats, and takes a turn of its own then.
func (v *VM) findSenders(now time.Time) senders {
	cfg := v.cfg.Load()
	s := senders{self: v.traffic.Traffic(now).Requests > 0}
	sending := map[string]string{cfg.Name: cfg.Region}
	mates := v.members.Peers(now)
	for _, m := range mates {
		if m.State != member.Gone && now.Sub(m.Heard) < forgetAfter && m.VM.Traffic.Requests > 0 {
			sending[m.VM.Name] = cfg.Regions[m.VM.Zone]
		}
	}
	for region, near := range v.takersByRegion(now, mates) {
		for _, vm := range callers.Named(near) {
			sending[vm.Name] = region
			s.self = s.self || vm.Name == cfg.Name
		}
	}
	for _, name := range slices.Sorted(maps.Keys(sending)) {
		s.vms = append(s.vms, balance.VM{Name: name, Region: sending[name]})
	}
	return s
}

// sending is what findSenders found on the last heartbeat.
func (v *VM) sending(now time.Time) senders {
	if s := v.senders.Load(); s != nil {
		return *s
	}
	return v.findSenders(now)
}

// knownNames returns all VMs that may be running, silent ones included: shares
// of what VMs have in common must count those that are only cut off.
func (v *VM) knownNames(now time.Time) []string {
	names := []string{v.cfg.Load().Name}
	for _, m := range v.members.Peers(now) {
		if m.State != member.Gone && now.Sub(m.Heard) < forgetAfter {
			names = append(names, m.VM.Name)
		}
	}
	return names
}

// mateAddrs are the addresses of all other VMs, as of a moment.
type mateAddrs struct {
	addrs map[string]bool
	at    time.Time
}

// refreshMates is how old the list may be by which an address is taken for a stranger's.
const refreshMates = 100 * time.Millisecond

// isMate reports whether an address is that of another VM. The list is kept for a heartbeat:
// made for each datagram that a collector gets, it takes a whole core with 300 VMs.
func (v *VM) isMate(now time.Time, addr string) bool {
	mates := v.mates.Load()
	if mates == nil || now.Sub(mates.at) >= heartbeat || !mates.addrs[addr] && now.Sub(mates.at) >= refreshMates {
		mates = &mateAddrs{v.peerAddrs(now), now}
		v.mates.Store(mates)
	}
	return mates.addrs[addr]
}

// peerAddrs are the addresses of all other VMs.
func (v *VM) peerAddrs(now time.Time) map[string]bool {
	known := make(map[string]bool)
	for _, m := range v.members.Peers(now) {
		known[m.VM.Address.Peer] = true
	}
	return known
}

// joinHold is how long a VM that has started takes nothing of what all VMs have
// in common: six heartbeats, as many as silence takes to count.
const joinHold = 3 * time.Second

// forgetAfter is how long a silent VM keeps its share of what all VMs have in
// common. A VM cut off for longer has shares that the others use as well; it
// takes itself for one of as many as it last knew.
const forgetAfter = time.Minute
