package vm

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/dispatch"
	"auburnlatch/core/inventory"
	"auburnlatch/core/member"
	"auburnlatch/io/lifecycle"
)

const (
	// peersPerHeartbeat is how many zone peers, and how many listed VMs of the zone
	// that have not been seen yet, a VM exchanges state with on each heartbeat.
	peersPerHeartbeat = 1
	// globalHeartbeats is the interval between exchanges about all zones, and
	// between updates of the published load, in heartbeats.
	globalHeartbeats = 4
	// representatives is how many VMs of a zone exchange state with other zones.
	representatives = 2
	// listHeartbeats is the interval between reads of the platform's list of VMs,
	// in heartbeats.
	listHeartbeats = 10
	// joiningListHeartbeats is the same for a VM that is not on the list yet.
	joiningListHeartbeats = 2
	// joinHeartbeats is how long a VM on the platform's list receives state before
	// it takes slots, in heartbeats: about the time in which an update reaches all
	// VMs of a zone.
	joinHeartbeats = 4
	// steerInterval is the interval between moves of the weights.
	steerInterval = time.Second
)

// startLoops starts the background loops.
func (v *VM) startLoops(ctx context.Context) {
	for _, loop := range []func(context.Context){v.heartbeatLoop, v.configLoop, v.listLoop, v.steerLoop, v.probeLoop, v.confirmLoop, v.links.Loop, v.sweepLoop} {
		v.background.Start(ctx, loop)
	}
}

// heartbeatLoop publishes the VM's state and exchanges it with other VMs.
func (v *VM) heartbeatLoop(ctx context.Context) {
	lifecycle.Every(ctx, v.cfg.Timing.Heartbeat, func(now time.Time) {
		v.heartbeat(now)
		v.claims.CheckEra(now)
		v.exchangeAll(ctx, now)
		v.peers.CloseIdle(now)
	})
}

// heartbeat applies the state received from peers and publishes the VM's own state.
// Calls are serialized: if an older call published last, peers would see fewer
// slots held than are in force, and take the others.
func (v *VM) heartbeat(now time.Time) {
	v.heartbeatMu.Lock()
	defer v.heartbeatMu.Unlock()
	v.table.Tick(now)
	inv := v.config.Inventory()
	v.mergeHealth(now, inv)
	view := v.view(now, inv)
	held := v.pool.Tick(now, view)
	v.table.Publish(now, member.VM{
		Name: v.cfg.Name, Zone: v.cfg.Zone, Address: v.address(), Leaving: v.leaving.Load(), Version: inv.Version, Era: v.config.Era(),
		Dispatches: view.Synced, Held: held, Pending: v.pool.Pending(), Health: v.health.reports(),
	})
	if v.heartbeats.Add(1)%globalHeartbeats != 0 {
		return
	}
	v.table.PublishUsage(now, member.Usage{
		VM: v.cfg.Name, Settled: v.synced(now) && !v.pool.Pending(), Services: serviceLoads(v.pool.Services(now)), Demands: v.meter.Sample(now),
	})
	if v.represents(now, 1) {
		roster, load := v.table.Summarize(now)
		v.table.PublishZone(now, roster, load)
	}
}

// joinHold is how long a listed VM receives state before it takes slots.
func (v *VM) joinHold() time.Duration { return joinHeartbeats * v.cfg.Timing.Heartbeat }

// address returns the VM's own addresses.
func (v *VM) address() member.Address {
	return member.Address{
		Name: v.cfg.Name, Zone: v.cfg.Zone, Caller: v.cfg.CallerAddr, Forward: v.cfg.ForwardAddr,
		Peer: v.cfg.PeerAddr, Operator: v.cfg.OperatorAddr, Leaving: v.leaving.Load(),
	}
}

// synced reports whether this VM knows enough of its zone's state to take slots.
func (v *VM) synced(now time.Time) bool {
	return v.table.Synced(now, member.JoinHold{Listed: v.joinHold(), Unlisted: v.cfg.Timing.JoinHold})
}

// view returns what this VM knows of its zone, for the pool.
func (v *VM) view(now time.Time, inv *inventory.Inventory) dispatch.View {
	// A VM that reaches no upstream takes no slots, so that the others of its zone do.
	synced := v.synced(now) && !v.links.CutOff()
	view := dispatch.View{
		Targets: inv.ZoneTargets(v.cfg.Zone), Services: inv.Services,
		Live: v.table.Dispatching(now, synced), Seq: v.table.NextSeq(), Synced: synced,
		Drained: map[string]bool{},
	}
	for _, t := range view.Targets {
		view.Drained[t.Name] = inv.TargetDrained(t)
	}
	for _, m := range v.table.Peers(now) {
		view.Peers = append(view.Peers, dispatch.PeerView{
			VM: m.VM.Name, Held: m.VM.Held, Acked: m.VM.Acks[v.cfg.Name], Gone: m.State == member.Gone,
		})
	}
	return view
}

func serviceLoads(states []dispatch.ServiceState) []member.ServiceLoad {
	var list []member.ServiceLoad
	for _, s := range states {
		list = append(list, member.ServiceLoad{Service: s.Service, Slots: s.Slots, InUse: s.InUse, Queued: s.Queued})
	}
	return list
}

// represents reports whether this VM is among the first n in the ranking of the
// zone's live VMs as representatives. Only the first one publishes the zone's
// roster and load; if it stops, the next one takes its place.
func (v *VM) represents(now time.Time, n int) bool {
	ranked := dispatch.Rank("represent/"+v.cfg.Zone, v.table.Live(now))
	return slices.Contains(ranked[:min(n, len(ranked))], v.cfg.Name)
}

// partner is a VM to exchange state with, and the scope of the exchange.
type partner struct {
	addr  string
	scope member.Scope
}

// exchangeAll starts this heartbeat's exchanges.
func (v *VM) exchangeAll(ctx context.Context, now time.Time) {
	for _, p := range v.partners(now) {
		if p.addr == v.cfg.PeerAddr {
			continue
		}
		if _, busy := v.exchanging.LoadOrStore(p.addr, true); busy {
			continue
		}
		v.background.Add(1)
		go (&exchange{vm: v, partner: p}).run(ctx)
	}
}

// partners picks the VMs to exchange state with on this heartbeat: a zone peer, a
// VM of the zone that is listed but has not been seen yet, and, on every
// globalHeartbeats-th heartbeat of a representative, a VM of another zone. A VM
// that knows no zone peer or no VM of another zone also picks a seed.
func (v *VM) partners(now time.Time) []partner {
	global := v.heartbeats.Load()%globalHeartbeats == 0
	own := member.Scope{Zone: v.cfg.Zone, Global: global}
	var peers, unseen []partner
	for _, m := range v.table.Peers(now) {
		if m.State != member.Gone {
			peers = append(peers, partner{m.VM.Address.Peer, own})
		}
	}
	for _, l := range v.table.UnseenPeers() {
		unseen = append(unseen, partner{l.Peer, own})
	}
	list := append(sample(peers, peersPerHeartbeat), sample(unseen, peersPerHeartbeat)...)
	others := v.otherZones(now)
	if global && v.represents(now, representatives) {
		list = append(list, sample(others, 1)...)
	}
	if len(peers) == 0 || len(others) == 0 {
		list = append(list, sample(v.seeds(), 1)...)
	}
	return list
}

// otherZones returns the VMs of all other zones.
func (v *VM) otherZones(now time.Time) []partner {
	var list []partner
	for _, z := range v.table.Zones(now) {
		if z.Zone == v.cfg.Zone {
			continue
		}
		for _, vm := range z.VMs {
			list = append(list, partner{vm.Peer, member.Scope{Zone: z.Zone, Global: true}})
		}
	}
	return list
}

// seeds returns the configured seeds and the VMs on the platform's list. The zone
// of a seed that is not on the list is not known; an exchange with it sends no
// entries of the own zone's VMs.
func (v *VM) seeds() []partner {
	zones := make(map[string]string)
	for _, l := range v.table.PlatformList() {
		zones[l.Peer] = l.Zone
	}
	var list []partner
	for _, addr := range v.cfg.Seeds {
		list = append(list, partner{addr, member.Scope{Zone: zones[addr], Global: true}})
	}
	for addr, zone := range zones {
		list = append(list, partner{addr, member.Scope{Zone: zone, Global: true}})
	}
	return list
}

// sample returns up to n random elements of list, which it shuffles.
func sample(list []partner, n int) []partner {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// exchange is one exchange with another VM.
type exchange struct {
	vm      *VM
	partner partner
}

// run performs the exchange, and pulls the inventory if a peer has published a
// newer version.
func (e *exchange) run(ctx context.Context) {
	v := e.vm
	defer v.background.Done()
	defer v.exchanging.Delete(e.partner.addr)
	if err := v.peers.Exchange(ctx, e.partner.addr, v.table, v.cfg.Zone, e.partner.scope); err != nil {
		v.log.WithFields(logrus.Fields{"Addr": e.partner.addr, "Err": err}).Debug("ExchangeFailed")
		return
	}
	v.catchUp(ctx)
}

// catchUp pulls the inventory from a zone peer with a higher version. In a later era it polls
// the platform first, as this VM may have changes that the platform has lost.
func (v *VM) catchUp(ctx context.Context) {
	own := v.config.Inventory().Version
	for _, m := range v.table.Peers(time.Now()) {
		era := v.config.Era()
		if m.VM.Era < era || m.VM.Era == era && m.VM.Version <= own || m.State == member.Gone || m.State == member.Silent {
			continue
		}
		if m.VM.Era > era && v.config.poll(ctx) == nil {
			v.refreshSoon()
			return
		}
		if err := v.config.pull(ctx, v.peers, m.VM.Address.Peer); err != nil {
			v.log.WithFields(logrus.Fields{"From": m.VM.Name, "Err": err}).Warn("ChangesNotPulled")
			continue
		}
		v.refreshSoon()
		return
	}
}

// configLoop polls the inventory's head. Two VMs of a zone do so; a new version
// propagates from them to the others. A VM that has no inventory yet always polls.
func (v *VM) configLoop(ctx context.Context) {
	lifecycle.Every(ctx, v.cfg.Timing.ConfigPoll, func(now time.Time) {
		if v.config.Loaded() && !v.represents(now, representatives) {
			return
		}
		before := v.config.Inventory().Version
		if err := v.config.poll(ctx); err != nil {
			v.log.WithField("Err", err).Warn("InventoryNotPolled")
			v.pullFromSeeds(ctx)
		}
		if v.config.Inventory().Version != before {
			v.refreshSoon()
		}
	})
}

// pullFromSeeds pulls the inventory from a seed, for a VM that starts while the
// platform is unavailable.
func (v *VM) pullFromSeeds(ctx context.Context) {
	if v.config.Loaded() {
		return
	}
	for _, addr := range v.cfg.Seeds {
		if err := v.config.pull(ctx, v.peers, addr); err == nil {
			return
		}
	}
}

// listLoop reads the platform's list of VMs every listHeartbeats heartbeats, and
// every joiningListHeartbeats while this VM is not on the list, as it takes slots
// earlier once it is.
func (v *VM) listLoop(ctx context.Context) {
	heartbeats := 0
	lifecycle.Every(ctx, joiningListHeartbeats*v.cfg.Timing.Heartbeat, func(time.Time) {
		heartbeats += joiningListHeartbeats
		if heartbeats < listHeartbeats && v.table.IsListed() {
			return
		}
		heartbeats = 0
		list, err := v.platform.VMs(ctx)
		if err != nil {
			v.log.WithField("Err", err).Warn("PlatformListNotRead")
			return
		}
		v.table.SetPlatformList(time.Now(), list)
	})
}
