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
	// heartbeat is the interval between exchanges with another VM. The number of
	// heartbeats until all VMs have an update grows with the logarithm of the number of VMs.
	heartbeat = 500 * time.Millisecond
	// unconfirmedPartners is how many VMs a VM asks for their copies on each heartbeat if
	// the platform has not confirmed its copy of the upstreams for unconfirmedAge.
	unconfirmedPartners = 2
	unconfirmedAge      = 1500 * time.Millisecond
	// defaultIdle bounds the idle time of callers' connections if the rules do not.
	defaultIdle = time.Minute
)

// heartbeatLoop publishes this VM's state and exchanges it with others.
func (v *VM) heartbeatLoop(ctx context.Context) {
	v.awaitRTT(ctx)
	copies := newCopiesLog(v.log)
	lifecycle.Every(ctx, heartbeat, func(now time.Time) {
		v.members.Tick(now)
		v.publish(now)
		v.exchangeMembers(ctx, now)
		if v.targetsUnconfirmed(now) {
			v.startExchanges(ctx, v.copyPartners(now), unconfirmedPartners, nil)
		}
		v.updateActive(now)
		v.peerClient.CloseIdle(now)
		for _, t := range v.replicas {
			copies.logChange(t.Head(now), t.Mismatches(), v.cfg.Load().LeaveWithin)
		}
		v.upstreams.Sweep(now, v.targets.has)
		v.warmth.Keep(v.targets.has)
		v.relaying.pool.Sweep(now, func(string) bool { return true })
		v.relaying.traffic.Traffic(now)
		v.idle.CloseOlder(now, v.idleTimeout())
	})
}

func (v *VM) idleTimeout() time.Duration {
	if t := v.table.Load(); t != nil && t.Config.Limits.IdleTimeout > 0 {
		return t.Config.Limits.IdleTimeout
	}
	return defaultIdle
}

// reporters is how many VMs of a zone report its live VMs to the other zones.
const reporters = 2

// publish updates the published state of this VM, and the report of its zone.
func (v *VM) publish(now time.Time) {
	v.members.Publish(now, *v.self(now))
	if v.settling(now) {
		return // It may not know of its peers yet.
	}
	names := fleet{v}.ZoneLive(now)
	if slices.Contains(dispatch.First("report", names, reporters), v.cfg.Load().Name) {
		v.members.PublishReport(now)
	}
}

// self returns the published state of this VM.
func (v *VM) self(now time.Time) *member.VM {
	cfg := v.cfg.Load()
	return &member.VM{
		Name: cfg.Name, Zone: cfg.Zone, Leaving: v.leaving.Load(), Dispatches: v.Ready(),
		Capacity: cfg.Capacity, Traffic: v.traffic.Traffic(now), CutOff: v.cutOff(), Relays: true, PlatformTrip: v.platformRTT(),
		Address: member.Address{Name: cfg.Name, Zone: cfg.Zone, Caller: cfg.FrontAddr, Peer: cfg.PeerAddr, Leaving: v.leaving.Load()},
	}
}

// activeVMs are the VMs that have callers, or are returned to callers by look-ups.
type activeVMs struct {
	vms []balance.VM // This one included.
	// self is set if this VM is one of them.
	self bool
}

// updateActive recomputes the active VMs, and the number of VMs that share the retry
// budget, if an input has changed. The computation iterates over all VMs.
func (v *VM) updateActive(now time.Time) {
	self := v.self(now)
	inputs := activeInputs{
		ready: self.Dispatches, cutOff: self.CutOff, traffic: self.Traffic, peers: v.peersHash(now),
		joined: now.Sub(v.started) >= joinHold, known: v.activity.isKnown(now),
	}
	if v.activeCache.Load() != nil && v.activeInputs == inputs {
		return
	}
	v.activeInputs = inputs
	s := v.findActive(now)
	v.activeCache.Store(&s)
	v.activity.set(now, s.self)
	if !inputs.joined {
		return
	}
	known := balance.CountSharers(slices.Collect(maps.Keys(v.cfg.Load().Regions)), v.knownByZone(now))
	v.balancer.SetReach(v.reach(now, known))
	v.balancer.SetVMs(s.vms)
	v.retries.SetVMs(known)
}

// activeInputs is what the active VMs depend on.
type activeInputs struct {
	ready   bool
	cutOff  bool
	traffic member.Traffic
	peers   uint64
	joined  bool // The VM has started longer than joinHold ago.
	known   bool // See activity.
}

// activity is since when a VM has been active without a pause. The zero value is of a VM that is not.
type activity struct{ since time.Time }

// set records whether the VM is active.
func (a *activity) set(now time.Time, active bool) {
	switch {
	case !active:
		a.since = time.Time{}
	case a.since.IsZero():
		a.since = now
	}
}

// isKnown reports whether the VM has been active for so long that the others know.
func (a *activity) isKnown(now time.Time) bool {
	return !a.since.IsZero() && now.Sub(a.since) >= activeHold
}

// reach returns the fraction of the VMs that may be running with which this one is in touch. known is
// their number by zone. It is 0 for a VM of which the others may not know yet that it is active: it
// would take a share on top of theirs.
func (v *VM) reach(now time.Time, known int) float64 {
	if !v.activity.isKnown(now) {
		return 0
	}
	live := 1
	for _, m := range v.members.Peers(now) {
		if m.State == member.Live || m.State == member.Leaving {
			live++
		}
	}
	_, others := v.knownAddrs(now)
	return float64(live) / float64(max(known, live+len(others)))
}

// peersHash returns a hash of the published states of the other VMs, and of whether each was
// heard from within silentRetention.
func (v *VM) peersHash(now time.Time) uint64 {
	var sum uint64
	for _, m := range v.members.Peers(now) {
		x := m.Stamp.ContentHash() + uint64(m.State)
		if now.Sub(m.Heard) < silentRetention {
			x = ^x
		}
		sum += x
	}
	return sum
}

// findActive returns the VMs that share the capacity of a cold upstream: those that may
// be running and have callers or are returned to them. If the others were included, an
// upstream whose shares fall to them would get no requests for as long as it is cold.
// This VM is always included, but takes no share before the others know that it is active, see
// activity.
func (v *VM) findActive(now time.Time) activeVMs {
	cfg := v.cfg.Load()
	s := activeVMs{self: v.traffic.Traffic(now).Requests > 0}
	active := map[string]string{cfg.Name: cfg.Region}
	peers := v.members.Peers(now)
	for _, m := range peers {
		if m.State != member.Gone && now.Sub(m.Heard) < silentRetention && m.VM.Traffic.Requests > 0 {
			active[m.VM.Name] = cfg.Regions[m.VM.Zone]
		}
	}
	for region, near := range v.readyByRegion(now, peers) {
		for _, vm := range callers.Named(near) {
			active[vm.Name] = region
			s.self = s.self || vm.Name == cfg.Name
		}
	}
	for _, name := range slices.Sorted(maps.Keys(active)) {
		s.vms = append(s.vms, balance.VM{Name: name, Region: active[name]})
	}
	return s
}

// active returns the result of findActive on the last heartbeat.
func (v *VM) active(now time.Time) activeVMs {
	if s := v.activeCache.Load(); s != nil {
		return *s
	}
	return v.findActive(now)
}

// knownByZone counts all VMs that may be running, including silent ones: VMs that are
// only cut off must be counted in shares of common budgets.
func (v *VM) knownByZone(now time.Time) map[string]int {
	known := map[string]int{v.cfg.Load().Zone: 1}
	for _, m := range v.members.Peers(now) {
		if m.State != member.Gone && now.Sub(m.Heard) < silentRetention {
			known[m.VM.Zone]++
		}
	}
	return known
}

// peerAddrSet is the set of all other VMs' addresses at some time.
type peerAddrSet struct {
	addrs map[string]bool
	at    time.Time
}

// unknownPeerTTL is the age up to which the cached set suffices to reject an address.
const unknownPeerTTL = 100 * time.Millisecond

// isPeer reports whether an address is that of another VM. The set is cached for a heartbeat:
// building it for each datagram that a collector receives takes a whole core with 300 VMs.
func (v *VM) isPeer(now time.Time, addr string) bool {
	peers := v.peerAddrCache.Load()
	if peers == nil || now.Sub(peers.at) >= heartbeat || !peers.addrs[addr] && now.Sub(peers.at) >= unknownPeerTTL {
		peers = &peerAddrSet{v.peerAddrs(now), now}
		v.peerAddrCache.Store(peers)
	}
	return peers.addrs[addr]
}

// peerAddrs returns the addresses of all other VMs.
func (v *VM) peerAddrs(now time.Time) map[string]bool {
	known := make(map[string]bool)
	for _, m := range v.members.Peers(now) {
		known[m.VM.Address.Peer] = true
	}
	return known
}

// joinHold is how long a VM that has started takes no share of common budgets: six
// heartbeats, which is also the time after which a silent VM is no longer live.
const joinHold = 3 * time.Second

// activeHold is how long a VM that has become active takes no share of the capacity of cold upstreams:
// after failAfter, those that have not heard of it consider it silent, and take less themselves.
const activeHold = failAfter + 2*heartbeat

// silentRetention is how long a silent VM keeps its share of common budgets. After a longer
// cut, a zone that is not heard of is counted by the size of the others, see
// balance.CountSharers.
const silentRetention = time.Minute
