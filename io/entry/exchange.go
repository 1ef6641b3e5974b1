package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/member"
)

// startExchanges starts exchanges with n of the VMs at the given addresses. If members
// is nil, only the copies of tables are synchronized.
func (v *VM) startExchanges(ctx context.Context, addrs []string, n int, members *member.Table) {
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	for _, addr := range addrs {
		if n == 0 {
			return
		}
		if v.startExchange(ctx, &exchange{vm: v, addr: addr, members: members}) {
			n--
		}
	}
}

// startExchange starts an exchange, unless one with the same VM is in progress.
func (v *VM) startExchange(ctx context.Context, e *exchange) bool {
	if _, busy := v.exchanging.LoadOrStore(e.addr, true); busy {
		return false
	}
	v.background.Add(1)
	go e.run(ctx)
	return true
}

// exchangeMembers starts this heartbeat's exchanges of members: always one within the
// zone, as heartbeats are sent only there, and one with a VM that partners returns.
func (v *VM) exchangeMembers(ctx context.Context, now time.Time) {
	cfg := v.cfg.Load()
	zonePeers := v.zonePeers(now)
	near := make(map[string]bool, len(zonePeers))
	for _, vm := range zonePeers {
		near[vm.Address.Peer] = true
	}
	if m, ok := v.members.FindPeer(now, member.Partner(namesOf(zonePeers), cfg.Name, rand.Int())); ok {
		v.startExchange(ctx, &exchange{vm: v, addr: m.VM.Address.Peer, zone: cfg.Zone, members: v.members})
	}
	partners := v.partners(now)
	if len(partners) == 0 {
		return
	}
	if addr := partners[rand.IntN(len(partners))]; !near[addr] {
		v.startExchange(ctx, &exchange{vm: v, addr: addr, members: v.members})
	}
}

// partners returns the addresses of the VMs with which this one may exchange members:
// those that were live recently, or if there are none, all known ones, which may be stale.
func (v *VM) partners(now time.Time) []string {
	live, others := v.knownAddrs(now)
	if len(live) == 0 {
		return others
	}
	// Sometimes choose a VM that is not live: VMs that were partitioned from each other
	// would otherwise stay separate when the partition has healed.
	if len(others) > 0 && rand.IntN(unseenOdds) == 0 {
		return []string{others[rand.IntN(len(others))]}
	}
	if near := v.localPartners(now); len(near) > 0 {
		return near
	}
	return live
}

// copyPartners returns the addresses of VMs that may have newer copies of the platform's
// tables: all of them, as the VMs near one with old copies may have old copies as well.
func (v *VM) copyPartners(now time.Time) []string {
	live, others := v.knownAddrs(now)
	if len(live) == 0 {
		return others
	}
	return live
}

// knownAddrs returns the addresses of the VMs that were live recently, and of those that
// were not or of which only the address is known.
func (v *VM) knownAddrs(now time.Time) (live, others []string) {
	var silent []string
	for _, m := range v.members.Peers(now) {
		switch m.State {
		case member.Live, member.Leaving:
			live = append(live, m.VM.Address.Peer)
		case member.Silent:
			silent = append(silent, m.VM.Address.Peer)
		}
	}
	own := v.cfg.Load().PeerAddr
	unseen := slices.Concat(v.cfg.Load().Seeds, v.registeredAddrs.get())
	unseen = slices.DeleteFunc(unseen, func(addr string) bool {
		return addr == own || slices.Contains(live, addr) || slices.Contains(silent, addr)
	})
	return live, slices.Concat(silent, unseen)
}

// crossExchanges is how many exchanges per heartbeat cross from one availability zone,
// or one region, to others; the rest stay inside. So the traffic that crosses does not
// grow with the number of VMs: with 195 VMs in three regions, two of three exchanges of
// 10 KB each crossed, and the VMs sent each other more bytes between regions than callers
// did. With eight, some still succeed if most VMs of a region cannot reach the others.
const crossExchanges = 8

// localPartners returns the live VMs of this VM's own availability zone or region if
// this heartbeat's exchange is to stay inside, or none if it may go anywhere. The fewer
// of them a VM that has just started knows, the likelier its exchange goes elsewhere.
func (v *VM) localPartners(now time.Time) []string {
	cfg := v.cfg.Load()
	var zone, region []string
	for _, vm := range v.regionPeers(now) {
		region = append(region, vm.Address.Peer)
		if vm.Zone == cfg.Zone {
			zone = append(zone, vm.Address.Peer)
		}
	}
	switch {
	case rand.IntN(len(region)+1) < crossExchanges:
		return nil
	case rand.IntN(len(zone)+1) < crossExchanges:
		return region
	default:
		return zone
	}
}

// unseenOdds is the inverse of the probability that a heartbeat's exchange goes to a VM
// that is not live.
const unseenOdds = 4

// exchange is one exchange with another VM.
type exchange struct {
	vm   *VM
	addr string
	// zone is the zone of both VMs, or "" if they are of different zones or it is not known.
	zone    string
	members *member.Table
}

// run carries the exchange out.
func (e *exchange) run(ctx context.Context) {
	v := e.vm
	defer v.background.Done()
	defer v.exchanging.Delete(e.addr)
	// A failed exchange may have changed a copy nevertheless.
	changed, err := v.peerClient.Sync(ctx, e.addr, e.zone, e.members, v.replicas)
	if changed {
		v.signalChange()
	}
	if err != nil {
		v.log.WithFields(logrus.Fields{"Addr": e.addr, "Err": err}).Debug("ExchangeFailed")
	}
}
