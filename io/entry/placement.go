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
	// minPublishInterval is the least time between two messages about new placements, so
	// that those of a busy moment are sent together. An object is requested again some
	// hundred milliseconds later at the soonest.
	minPublishInterval = 20 * time.Millisecond
	// placementTick is the interval of the periodic work on placements.
	placementTick = 250 * time.Millisecond
	// syncTimeout is how long a VM that has started waits for others' placements before
	// it relies on its own.
	syncTimeout = 2 * time.Second
	// saveInterval is the least time between two writes of a region's placements to the
	// platform. If all VMs of a region lose power at once, they start with the placements
	// as of the last write. At ten bytes an object the 300 objects of a small region are 1.5 KB/s.
	saveInterval = 2 * time.Second
	// syncPeriod is how long a VM requests placements from others after it has started
	// or begun to have callers.
	syncPeriod = 3 * time.Second
	// standbyDuty is the key by which the VMs of a region are ranked. The first standbys
	// of them hold placements whether or not they have callers, and the first of all
	// writes them to the platform.
	standbyDuty = "placements"
	standbys    = 6
	// broadcastBelow is the number of other VMs of a region below which placements are
	// sent to all: any of them may be the next to have callers.
	broadcastBelow = 24
)

// placementPublisher sends this VM's new placements to the VMs of the region, and
// writes the region's placements to the platform.
type placementPublisher struct {
	vm   *VM
	peer *peer.Datagrams

	savedChanges uint64 // The count of changes that the platform has a copy of.
	savedEra     uint64 // The era in which it was written.
	savedAt      time.Time
	// active is set if this VM has callers, and activeSince is when that last changed.
	active      bool
	activeSince time.Time
}

// loop publishes new placements until ctx ends.
func (p *placementPublisher) loop(ctx context.Context) {
	p.restore(ctx)
	tick := time.NewTicker(placementTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.vm.newPlacements:
			p.peer.SendPlacements(p.vm.placementHolders(time.Now()), p.vm.balancer.News())
			if !lifecycle.Sleep(ctx, minPublishInterval) {
				return
			}
		case now := <-tick.C:
			p.tick(ctx, now)
		}
	}
}

// tick does the periodic work.
func (p *placementPublisher) tick(ctx context.Context, now time.Time) {
	since := now.Sub(p.vm.started)
	if p.shouldSync(now) {
		if addrs := p.vm.placementHolders(now); len(addrs) > 0 {
			p.peer.Ask(addrs[rand.IntN(len(addrs))])
		}
	}
	if since >= syncTimeout {
		p.vm.balancer.SetSynced()
	}
	p.vm.balancer.Expire(now)
	if now.Sub(p.savedAt) >= saveInterval && p.vm.writesPlacements(now) {
		p.save(ctx, now)
	}
}

// shouldSync reports whether this VM is to request placements from others: it has just
// started, or has just begun to have callers.
func (p *placementPublisher) shouldSync(now time.Time) bool {
	if active := p.vm.active(now).self; active != p.active {
		p.active, p.activeSince = active, now
	}
	return now.Sub(p.vm.started) < syncPeriod || p.active && now.Sub(p.activeSince) < syncPeriod
}

// save writes the region's placements to the platform if they have changed or the platform
// may have lost them. The next write makes up for one that fails.
func (p *placementPublisher) save(ctx context.Context, now time.Time) {
	list, changes := p.vm.balancer.Placements()
	era := p.vm.era()
	if changes == p.savedChanges && era == p.savedEra {
		return
	}
	p.savedAt = now
	data, err := wire.PackPlacements(list)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		p.vm.counts.platformCalls.Add(1)
		err = p.vm.platform.SavePlacements(ctx, p.vm.cfg.Load().Region, data)
	}
	if err != nil {
		p.vm.log.WithField("Err", err).Info("PlacementsNotKept")
		return
	}
	p.savedChanges, p.savedEra = changes, era
}

// restore reads the region's placements from the platform. Without them objects would be
// placed anew, half of them at targets that do not have them cached.
func (p *placementPublisher) restore(ctx context.Context) {
	if p.vm.cfg.Load().FirstStart {
		return // There were no callers before.
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.vm.counts.platformCalls.Add(1)
	data, err := p.vm.platform.Placements(ctx, p.vm.cfg.Load().Region)
	if err != nil {
		p.vm.log.WithField("Err", err).Warn("PlacementsNotRecalled")
		return
	}
	list, err := wire.UnpackPlacements(data)
	if err != nil {
		p.vm.log.WithField("Err", err).Warn("PlacementsNotRecalled")
		return
	}
	p.vm.balancer.MergePlacements(time.Now(), list)
	if len(list) > 0 {
		p.vm.balancer.SetSynced()
	}
}

// signalPlacements triggers publishing new placements.
func (v *VM) signalPlacements() {
	select {
	case v.newPlacements <- struct{}{}:
	default:
	}
}

// placementHolders returns the addresses of the other VMs that hold the region's placements:
// in a large region the active VMs and the standbys.
func (v *VM) placementHolders(now time.Time) []string {
	peers := v.regionPeers(now)
	var holds map[string]bool
	if len(peers) >= broadcastBelow {
		holds = make(map[string]bool)
		for _, name := range v.placementStandbys(peers, standbys) {
			holds[name] = true
		}
		for _, vm := range v.active(now).vms {
			holds[vm.Name] = true
		}
	}
	var addrs []string
	for _, vm := range peers {
		if holds == nil || holds[vm.Name] {
			addrs = append(addrs, vm.Address.Peer)
		}
	}
	return addrs
}

// regionPeers returns the other live VMs of this VM's region.
func (v *VM) regionPeers(now time.Time) []*member.VM { return v.liveIn(now, v.cfg.Load().Region) }

// zonePeers returns the other live VMs of this VM's zone, in order of name.
func (v *VM) zonePeers(now time.Time) []*member.VM {
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

// writesPlacements reports whether this VM writes the region's placements to the
// platform. If two VMs do, both write the same.
func (v *VM) writesPlacements(now time.Time) bool {
	return v.placementStandbys(v.regionPeers(now), 1)[0] == v.cfg.Load().Name
}

// placementStandbys returns the names of the first n VMs that hold the region's placements.
// peers are its other VMs.
func (v *VM) placementStandbys(peers []*member.VM, n int) []string {
	return dispatch.First(standbyDuty, append(namesOf(peers), v.cfg.Load().Name), n)
}
