package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/member"
)

// startExchanges starts exchanges with n of the VMs at the given addresses; without members
// (nil) only the copies of tables are brought level.
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

// startExchange starts an exchange, unless one with the same VM is under way.
func (v *VM) startExchange(ctx context.Context, e *exchange) bool {
	if _, busy := v.exchanging.LoadOrStore(e.addr, true); busy {
		return false
	}
	v.background.Add(1)
	go e.run(ctx)
	return true
}

// exchangeMembers starts this heartbeat's exchanges of members: always one within the
// zone, where alone beats are told, and one with a VM that partners names.
func (v *VM) exchangeMembers(ctx context.Context, now time.Time) {
	cfg := v.cfg.Load()
	mates := v.zoneMates(now)
	near := make(map[string]bool, len(mates))
	for _, vm := range mates {
		near[vm.Address.Peer] = true
	}
	if m, ok := v.members.FindPeer(now, member.Partner(namesOf(mates), cfg.Name, rand.Int())); ok {
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

// partners are the addresses of the VMs with which this one may exchange what it knows:
// those heard lately, or where there are none all that were ever told, which may be stale.
func (v *VM) partners(now time.Time) []string {
	live, others := v.heard(now)
	if len(live) == 0 {
		return others
	}
	// Now and then one that was not heard: VMs that were cut off from each other
	// would else stay apart when the cut has healed.
	if len(others) > 0 && rand.IntN(strangerOdds) == 0 {
		return []string{others[rand.IntN(len(others))]}
	}
	if near := v.nearPartners(now); len(near) > 0 {
		return near
	}
	return live
}

// copyPartners are the addresses of the VMs that may know more of the platform's tables:
// any. Those beside a VM that the platform has left behind may be as far behind.
func (v *VM) copyPartners(now time.Time) []string {
	live, others := v.heard(now)
	if len(live) == 0 {
		return others
	}
	return live
}

// heard returns the addresses of the VMs that were heard lately, and of those that were
// not or are only known by an address.
func (v *VM) heard(now time.Time) (live, others []string) {
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
	strangers := slices.Concat(v.cfg.Load().Seeds, v.known.get())
	strangers = slices.DeleteFunc(strangers, func(addr string) bool {
		return addr == own || slices.Contains(live, addr) || slices.Contains(silent, addr)
	})
	return live, slices.Concat(silent, strangers)
}

// crossings is how many exchanges on each heartbeat cross from one availability zone,
// or one region, to others; the rest stay inside. So what crosses does not grow with
// the VMs: with 195 in three regions two of three exchanges did, of 10 KB each, and
// the VMs told each other more bytes between regions than callers sent, worked out. Eight leave
// some where most of a region cannot reach the others.
const crossings = 8

// nearPartners returns the live VMs of this VM's own availability zone or region where
// this heartbeat's exchange is to stay inside, none where it may go anywhere. The fewer of
// them a VM that has just started knows, the likelier it is to ask others.
func (v *VM) nearPartners(now time.Time) []string {
	cfg := v.cfg.Load()
	var zone, region []string
	for _, vm := range v.regionMates(now) {
		region = append(region, vm.Address.Peer)
		if vm.Zone == cfg.Zone {
			zone = append(zone, vm.Address.Peer)
		}
	}
	switch {
	case rand.IntN(len(region)+1) < crossings:
		return nil
	case rand.IntN(len(zone)+1) < crossings:
		return region
	default:
		return zone
	}
}

// strangerOdds is the inverse of the chance that a heartbeat's exchange goes to
// a VM that is not heard.
const strangerOdds = 4

// exchange is one exchange with another VM.
type exchange struct {
	vm   *VM
	addr string
	// zone is that of both VMs; "": they are of different ones, or it is not known.
	zone    string
	members *member.Table
}

// run carries the exchange out.
func (e *exchange) run(ctx context.Context) {
	v := e.vm
	defer v.background.Done()
	defer v.exchanging.Delete(e.addr)
	// An exchange that fails halfway may have changed a copy all the same.
	changed, err := v.peers.Sync(ctx, e.addr, e.zone, e.members, v.replicas)
	if changed {
		v.signalChange()
	}
	if err != nil {
		v.log.WithFields(logrus.Fields{"Addr": e.addr, "Err": err}).Debug("ExchangeFailed")
	}
}
