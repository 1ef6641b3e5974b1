package entry

import (
	"context"
	"slices"
	"time"

	"auburnlatch/core/member"
	"auburnlatch/core/watch"
	"auburnlatch/io/lifecycle"
)

// watchersAt is what watchers returned at a moment.
type watchersAt struct {
	at    time.Time
	addrs []string
}

// watchersFor is how long loops go by the same watchers: these change as VMs are heard or
// fall silent, which takes heartbeats, and to work them out takes a look at all VMs.
const watchersFor = heartbeat / 2

// currentWatchers is watchers, as of watchersFor ago at most.
func (v *VM) currentWatchers(now time.Time) []string {
	w := v.lastWatchers.Load()
	if w == nil || now.Sub(w.at) >= watchersFor {
		w = &watchersAt{now, v.watchers(now)}
		v.lastWatchers.Store(w)
	}
	return slices.Clone(w.addrs)
}

// watchers returns the addresses of the VMs that read the platform for all, none
// where this VM is one of them.
func (v *VM) watchers(now time.Time) []string {
	first := watch.First(v.candidates(now), watchers)
	if slices.Contains(first, v.cfg.Load().Name) {
		return nil
	}
	return v.peerAddrsOf(now, first)
}

// Relays spare the watchers most of the fleet: they ask the watchers, and the others of their
// zone ask them.
const (
	// relays is how many VMs of a zone they are.
	relays = 2
	// relayFrom is the least number of VMs of a zone that has them. Each step takes time,
	// and where fewer ask the watchers, these can answer them all.
	relayFrom = 17
	// relayAge is the age at which a relay asks for newer copies than its own.
	relayAge = askAge / 2
	// relayWithin is the least age that copies may have where relays are used: about twice
	// what they have after two steps.
	relayWithin = 3 * askAge
	// directAge is the age at which a VM takes its relays for lost and asks the watchers.
	directAge = 2 * askAge
)

// sources returns the addresses of the VMs whose copies this VM asks for, and the age at
// which its own are due; age is that of its own. watchers are the addresses of the VMs that
// read the platform.
func (v *VM) sources(now time.Time, age time.Duration, watchers []string) (addrs []string, due time.Duration) {
	zone := v.zoneVMs(now)
	if len(watchers) == 0 || len(zone) < relayFrom || v.staleAge() < relayWithin {
		return watchers, askAge
	}
	first := watch.First(zone, relays)
	switch {
	case slices.Contains(first, v.cfg.Load().Name):
		return watchers, relayAge
	case age >= directAge:
		return watchers, askAge
	}
	return v.peerAddrsOf(now, first), askAge
}

// zoneVMs are the live VMs of this VM's zone, itself included, all as near to the platform.
func (v *VM) zoneVMs(now time.Time) []watch.VM {
	cfg := v.cfg.Load()
	list := []watch.VM{{Name: cfg.Name, RTT: 1, Cores: cfg.Capacity.Cores}}
	for _, vm := range v.zoneMates(now) {
		list = append(list, watch.VM{Name: vm.Name, RTT: 1, Cores: vm.Capacity.Cores})
	}
	return list
}

// peerAddrsOf returns the addresses of other VMs, by their names.
func (v *VM) peerAddrsOf(now time.Time, names []string) []string {
	var addrs []string
	for _, name := range names {
		if m, ok := v.members.FindPeer(now, name); ok {
			addrs = append(addrs, m.VM.Address.Peer)
		}
	}
	return addrs
}

// nearFrom is how many upstreams have VMs beside the platform read for all: it is then
// 140 KB a second that would cross. With fewer all VMs are equal: readers in several regions
// are not lost, or turned away, together, and calls are dearer than bytes.
const nearFrom = 600

// candidates are the VMs that may read for all: the live ones, this one included unless it
// leaves. How far each is from the platform is left out where that does not matter.
func (v *VM) candidates(now time.Time) []watch.VM {
	byTrip := v.targets.count() >= nearFrom
	mates := v.members.Peers(now)
	list := make([]watch.VM, 0, len(mates)+1)
	add := func(name string, trip time.Duration, cores float64) {
		if !byTrip {
			trip = 0
		}
		list = append(list, watch.VM{Name: name, RTT: trip, Cores: cores})
	}
	for _, m := range mates {
		if m.State == member.Live {
			add(m.VM.Name, m.VM.PlatformTrip, m.VM.Capacity.Cores)
		}
	}
	if !v.leaving.Load() {
		cfg := v.cfg.Load()
		add(cfg.Name, v.platformTrip(), cfg.Capacity.Cores)
	}
	return list
}

// unsureTurn reports whether the certainty about the rules is so old that it is this VM's
// turn to ask the platform itself. The VMs that come next after the watchers do so first,
// and hand on what they know: where the platform turns both watchers away, two others take
// their place rather than all.
func (v *VM) unsureTurn(now time.Time, age time.Duration) bool {
	over := age - lifecycle.Share(v.cfg.Load().RevokeWithin, sureShare)
	if over < 0 {
		return false
	}
	rank := watch.Before(v.candidates(now), v.cfg.Load().Name)
	return over >= time.Duration(min(rank, askTurns))*askTurn
}

// awaitTrip waits for a moment until it is known how far the platform is. Told with a later
// heartbeat it takes seconds to reach all, and each VM beside the platform that has started
// takes itself for the only one until then, and reads for all.
func (v *VM) awaitTrip(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tripWithin)
	defer cancel()
	select {
	case <-v.tripKnown:
	case <-ctx.Done():
	}
}

// tripWithin is how long a VM that starts keeps silent for it: two round trips between
// regions.
const tripWithin = 250 * time.Millisecond

// tripEvery is the pause after a try to find out how far the platform is that failed.
const tripEvery = 5 * time.Second

// platformTrip is the round trip to the platform, 0 while it is not known.
func (v *VM) platformTrip() time.Duration { return time.Duration(v.trip.Load()) }

// tripLoop finds out how far the platform is, once: what is told to the others decides who
// reads for all, and must not go up and down with the load.
func (v *VM) tripLoop(ctx context.Context) {
	for {
		if took, ok := v.askTrip(ctx); ok {
			v.trip.Store(int64(took))
			close(v.tripKnown)
			return
		}
		if !lifecycle.Sleep(ctx, tripEvery) {
			return
		}
	}
}

func (v *VM) askTrip(ctx context.Context) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	took, err := v.platform.Trip(ctx)
	if err != nil {
		v.log.WithField("Err", err).Debug("PlatformTripUnknown")
		return 0, false
	}
	return max(took, time.Microsecond), true
}
