package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"auburnlatch/core/dispatch"
	"auburnlatch/core/member"
	"auburnlatch/io/lifecycle"
	"auburnlatch/io/peer"
	"auburnlatch/io/wire"
)

const (
	// tellEvery is the least time between two tellings of where objects were placed,
	// so that those of a busy moment travel together. An object is asked for again
	// some hundred milliseconds later at the soonest.
	tellEvery = 20 * time.Millisecond
	// placeTick is how often placements are looked at otherwise.
	placeTick = 250 * time.Millisecond
	// joinWithin is how long a VM that has started waits for others' placements before
	// it goes by its own.
	joinWithin = 2 * time.Second
	// keepEvery is the least time between two writes of a region's placements to the
	// platform: all VMs of a region that lose power at once find them again as of
	// then. At ten bytes an object the 300 of a small region are 1.5 KB/s.
	keepEvery = 2 * time.Second
	// askVMsFor is how long a VM asks others for placements that has started or that
	// callers begin to use.
	askVMsFor = 3 * time.Second
	// keepDuty is what VMs are ranked for that keep placements whether callers use them or
	// not: standbys of them, of which the first writes them to the platform.
	keepDuty = "placements"
	standbys = 6
	// tellAllBelow is the number of other VMs of a region below which all are told of
	// placements: any of them may be the next that callers use.
	tellAllBelow = 24
)

// placementTeller tells the VMs of the region where this VM has placed objects, and
// keeps a copy of all of them on the platform.
type placementTeller struct {
	vm   *VM
	peer *peer.Datagrams

	kept   uint64 // The changes up to which the platform has a copy.
	keptAt time.Time
	// used says that callers use this VM, and usedSince for how long that has been so.
	used      bool
	usedSince time.Time
}

// loop tells of what is new.
func (t *placementTeller) loop(ctx context.Context) {
	t.recall(ctx)
	tick := time.NewTicker(placeTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.vm.placed:
			t.peer.Tell(t.vm.holders(time.Now()), t.vm.balancer.News())
			if !lifecycle.Sleep(ctx, tellEvery) {
				return
			}
		case now := <-tick.C:
			t.look(ctx, now)
		}
	}
}

// look does what is due now and then.
func (t *placementTeller) look(ctx context.Context, now time.Time) {
	since := now.Sub(t.vm.started)
	if t.asks(now) {
		if addrs := t.vm.holders(now); len(addrs) > 0 {
			t.peer.Ask(addrs[rand.IntN(len(addrs))])
		}
	}
	if since >= joinWithin {
		t.vm.balancer.SetSynced()
	}
	t.vm.balancer.Expire(now)
	if now.Sub(t.keptAt) >= keepEvery && t.vm.keepsPlacements(now) {
		t.keep(ctx, now)
	}
}

// asks reports whether this VM is to ask others for placements: it has just started, or
// callers have just begun to use it.
func (t *placementTeller) asks(now time.Time) bool {
	if used := t.vm.sending(now).self; used != t.used {
		t.used, t.usedSince = used, now
	}
	return now.Sub(t.vm.started) < askVMsFor || t.used && now.Sub(t.usedSince) < askVMsFor
}

// keep writes the region's placements to the platform, if they have changed. One
// write that fails is made good by the next.
func (t *placementTeller) keep(ctx context.Context, now time.Time) {
	list, changes := t.vm.balancer.Placements()
	if changes == t.kept {
		return
	}
	t.keptAt = now
	data, err := wire.PackPlacements(list)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		t.vm.counts.platformCalls.Add(1)
		err = t.vm.platform.KeepPlacements(ctx, t.vm.cfg.Load().Region, data)
	}
	if err != nil {
		t.vm.log.WithField("Err", err).Info("PlacementsNotKept")
		return
	}
	t.kept = changes
}

// recall reads the region's placements from the platform. Without them objects are
// placed anew, and are new to half of their targets.
func (t *placementTeller) recall(ctx context.Context) {
	if t.vm.cfg.Load().FirstStart {
		return // There were no callers before.
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t.vm.counts.platformCalls.Add(1)
	data, err := t.vm.platform.Placements(ctx, t.vm.cfg.Load().Region)
	if err != nil {
		t.vm.log.WithField("Err", err).Warn("PlacementsNotRecalled")
		return
	}
	list, err := wire.UnpackPlacements(data)
	if err != nil {
		t.vm.log.WithField("Err", err).Warn("PlacementsNotRecalled")
		return
	}
	t.vm.balancer.MergePlacements(time.Now(), list)
	if len(list) > 0 {
		t.vm.balancer.SetSynced()
	}
}

// signalPlaced has new placements told.
func (v *VM) signalPlaced() {
	select {
	case v.placed <- struct{}{}:
	default:
	}
}

// holders returns the addresses of the other VMs that know the region's placements: in a
// large region those that callers use, and the standbys.
func (v *VM) holders(now time.Time) []string {
	mates := v.regionMates(now)
	var holds map[string]bool
	if len(mates) >= tellAllBelow {
		holds = make(map[string]bool)
		for _, name := range v.keepers(mates, standbys) {
			holds[name] = true
		}
		for _, vm := range v.sending(now).vms {
			holds[vm.Name] = true
		}
	}
	var addrs []string
	for _, vm := range mates {
		if holds == nil || holds[vm.Name] {
			addrs = append(addrs, vm.Address.Peer)
		}
	}
	return addrs
}

// regionMates returns the other live VMs of this VM's region.
func (v *VM) regionMates(now time.Time) []*member.VM { return v.liveIn(now, v.cfg.Load().Region) }

// zoneMates returns the other live VMs of this VM's zone, in order of name.
func (v *VM) zoneMates(now time.Time) []*member.VM {
	zone := v.cfg.Load().Zone
	var list []*member.VM
	for _, m := range v.members.Peers(now) {
		if m.State == member.Live && m.VM.Zone == zone {
			list = append(list, m.VM)
		}
	}
	return list
}

func namesOf(vms []*member.VM) []string {
	names := make([]string, 0, len(vms)+1)
	for _, vm := range vms {
		names = append(names, vm.Name)
	}
	return names
}

// liveIn returns the other live VMs of a region.
func (v *VM) liveIn(now time.Time, region string) []*member.VM {
	regions := v.cfg.Load().Regions
	var list []*member.VM
	for _, m := range v.members.Peers(now) {
		if m.State == member.Live && regions[m.VM.Zone] == region {
			list = append(list, m.VM)
		}
	}
	return list
}

// keepsPlacements reports whether this VM writes the region's placements to the
// platform. Two that both think so overwrite each other with the same.
func (v *VM) keepsPlacements(now time.Time) bool {
	return v.keepers(v.regionMates(now), 1)[0] == v.cfg.Load().Name
}

// keepers returns the names of the first n VMs that keep the region's placements. mates are
// its other VMs.
func (v *VM) keepers(mates []*member.VM, n int) []string {
	return dispatch.First(keepDuty, append(namesOf(mates), v.cfg.Load().Name), n)
}
