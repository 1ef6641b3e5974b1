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
	// matesPerBeat is how many mates a VM exchanges with on each heartbeat.
	matesPerBeat = 1
	// globalBeats is the interval between exchanges about all zones, and
	// between renewals of the figures of load, in heartbeats.
	globalBeats = 4
	// representatives of a zone exchange with other zones.
	representatives = 2
	// listBeats is the interval between reads of the platform's list of VMs, in
	// heartbeats.
	listBeats = 10
	// joiningListBeats is the same for a VM the list does not have.
	joiningListBeats = 2
	// joinBeats is how long a VM that the platform's list has listens before it
	// takes slots, in heartbeats: about what a word takes to go round a zone.
	joinBeats = 4
	// steerEvery is the interval between moves of the weights.
	steerEvery = time.Second
)

// startLoops starts everything that runs by itself.
func (v *VM) startLoops(ctx context.Context) {
	for _, loop := range []func(context.Context){v.heartbeatLoop, v.configLoop, v.listLoop, v.steerLoop, v.probeLoop, v.sweepLoop} {
		v.background.Start(ctx, loop)
	}
}

// heartbeatLoop publishes the VM's state and exchanges it with others.
func (v *VM) heartbeatLoop(ctx context.Context) {
	lifecycle.Every(ctx, v.cfg.Timing.Heartbeat, func(now time.Time) {
		v.beat(now)
		v.exchangeAll(ctx, now)
		v.peers.CloseIdle(now)
	})
}

// beat takes in what is known and publishes the VM's own state. One runs at a
// time: were an older one to publish last, mates would hear of fewer slots than
// are in force, and take them.
func (v *VM) beat(now time.Time) {
	v.beating.Lock()
	defer v.beating.Unlock()
	v.table.Tick(now)
	inv := v.config.Inventory()
	v.takeHealth(now, inv)
	view := v.view(now, inv)
	held := v.pool.Tick(now, view)
	v.table.Publish(now, member.VM{
		Name: v.cfg.Name, Zone: v.cfg.Zone, Address: v.address(), Leaving: v.leaving.Load(), Version: inv.Version,
		Dispatches: view.Synced, Held: held, Pending: v.pool.Pending(), Health: v.health.reports(),
	})
	if v.beats.Add(1)%globalBeats != 0 {
		return
	}
	v.table.PublishUsage(now, member.Usage{
		VM: v.cfg.Name, Settled: view.Synced && !v.pool.Pending(), Services: serviceLoads(v.pool.Services(now)), Demands: v.meter.Sample(now),
	})
	if v.represents(now, 1) {
		roster, load := v.table.Summarize(now)
		v.table.PublishZone(now, roster, load)
	}
}

// joinHold is how long a listed VM listens before it takes slots.
func (v *VM) joinHold() time.Duration { return joinBeats * v.cfg.Timing.Heartbeat }

func (v *VM) address() member.Address {
	return member.Address{
		Name: v.cfg.Name, Zone: v.cfg.Zone, Caller: v.cfg.CallerAddr, Forward: v.cfg.ForwardAddr,
		Peer: v.cfg.PeerAddr, Operator: v.cfg.OperatorAddr, Leaving: v.leaving.Load(),
	}
}

// view states for the pool what is known of the zone.
func (v *VM) view(now time.Time, inv *inventory.Inventory) dispatch.View {
	fresh := v.table.Synced(now, member.JoinHold{Listed: v.joinHold(), Unlisted: v.cfg.Timing.JoinHold})
	view := dispatch.View{
		Targets: inv.ZoneTargets(v.cfg.Zone), Services: inv.Services,
		Live: v.table.Dispatching(now, fresh), Seq: v.table.NextSeq(), Synced: fresh,
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

// represents reports whether this VM is one of the first n that speak for
// their zone to the others. Only the first one sums the zone up; when it falls
// silent the next is the first.
func (v *VM) represents(now time.Time, n int) bool {
	ranked := dispatch.Rank("represent/"+v.cfg.Zone, v.table.Live(now))
	return slices.Contains(ranked[:min(n, len(ranked))], v.cfg.Name)
}

// partner is a VM to exchange with, and about what.
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

// partners picks whom to exchange with: some mates, VMs of the zone that are
// known by name only, and now and then for a representative one VM of another
// zone. A VM that knows nobody asks its seeds.
func (v *VM) partners(now time.Time) []partner {
	global := v.beats.Load()%globalBeats == 0
	own := member.Scope{Zone: v.cfg.Zone, Global: global}
	var mates, strangers []partner
	for _, m := range v.table.Peers(now) {
		if m.State != member.Gone {
			mates = append(mates, partner{m.VM.Address.Peer, own})
		}
	}
	for _, l := range v.table.UnseenPeers() {
		strangers = append(strangers, partner{l.Peer, own})
	}
	list := append(sample(mates, matesPerBeat), sample(strangers, matesPerBeat)...)
	others := v.otherZones(now)
	if global && v.represents(now, representatives) {
		list = append(list, sample(others, 1)...)
	}
	if len(mates) == 0 || len(others) == 0 {
		list = append(list, sample(v.seeds(), 1)...)
	}
	return list
}

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

// seeds are addresses of which the zone is not known; an exchange with one
// gives no entries of the own zone away, unless the platform lists it there.
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

func sample(list []partner, n int) []partner {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// exchange is one exchange with another VM.
type exchange struct {
	vm      *VM
	partner partner
}

// run carries the exchange out, and takes over a newer inventory the others
// have told of.
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

// catchUp pulls the inventory from a mate that has a higher version.
func (v *VM) catchUp(ctx context.Context) {
	own := v.config.Inventory().Version
	for _, m := range v.table.Peers(time.Now()) {
		if m.VM.Version <= own || m.State == member.Gone || m.State == member.Silent {
			continue
		}
		if err := v.config.pull(ctx, v.peers, m.VM.Address.Peer); err != nil {
			v.log.WithFields(logrus.Fields{"From": m.VM.Name, "Err": err}).Warn("ChangesNotPulled")
			continue
		}
		v.refreshSoon()
		return
	}
}

// configLoop polls the inventory's head. Two VMs of a zone do; the others hear
// of a new version from them. A VM that has none yet always asks.
func (v *VM) configLoop(ctx context.Context) {
	lifecycle.Every(ctx, v.cfg.Timing.ConfigPoll, func(now time.Time) {
		if v.config.Loaded() && !v.represents(now, representatives) {
			return
		}
		before := v.config.Inventory().Version
		if err := v.config.poll(ctx); err != nil {
			v.log.WithField("Err", err).Warn("InventoryNotPolled")
			v.pullFromAnyone(ctx)
		}
		if v.config.Inventory().Version != before {
			v.refreshSoon()
		}
	})
}

// pullFromAnyone lets a fresh VM learn the inventory while the platform is
// away.
func (v *VM) pullFromAnyone(ctx context.Context) {
	if v.config.Loaded() {
		return
	}
	for _, addr := range v.cfg.Seeds {
		if err := v.config.pull(ctx, v.peers, addr); err == nil {
			return
		}
	}
}

// listLoop reads the platform's list of VMs: now and then, and on every second
// heartbeat while the list does not have this VM, which waits for that.
func (v *VM) listLoop(ctx context.Context) {
	beats := 0
	lifecycle.Every(ctx, joiningListBeats*v.cfg.Timing.Heartbeat, func(time.Time) {
		beats += joiningListBeats
		if beats < listBeats && v.table.IsListed() {
			return
		}
		beats = 0
		list, err := v.platform.VMs(ctx)
		if err != nil {
			v.log.WithField("Err", err).Warn("PlatformListNotRead")
			return
		}
		v.table.SetPlatformList(time.Now(), list)
	})
}
