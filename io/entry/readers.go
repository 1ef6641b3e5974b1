package entry

import (
	"context"
	"slices"
	"time"

	"auburnlatch/core/member"
	"auburnlatch/core/watch"
	"auburnlatch/io/lifecycle"
)

// cachedReaders is the result of readerAddrs at a moment.
type cachedReaders struct {
	at    time.Time
	addrs []string
}

// readersTTL is how long loops use the same result. Readers change as VMs become live or
// silent, which takes heartbeats, and finding them iterates over all VMs.
const readersTTL = heartbeat / 2

// cachedReaderAddrs returns the result of readerAddrs as of at most readersTTL ago.
func (v *VM) cachedReaderAddrs(now time.Time) []string {
	w := v.readerCache.Load()
	if w == nil || now.Sub(w.at) >= readersTTL {
		w = &cachedReaders{now, v.readerAddrs(now)}
		v.readerCache.Store(w)
	}
	return slices.Clone(w.addrs)
}

// readerAddrs returns the addresses of the VMs that read the platform for all, or none
// if this VM is one of them.
func (v *VM) readerAddrs(now time.Time) []string {
	first := watch.First(v.candidates(now), readerCount)
	if slices.Contains(first, v.cfg.Load().Name) {
		return nil
	}
	return v.peerAddrsOf(now, first)
}

// Relays take load off the readers: they pull from the readers, and the other VMs of their
// zone pull from them.
const (
	// relays is the number of relays in a zone.
	relays = 2
	// relayFrom is the least number of VMs in a zone with relays. Each step adds delay, and
	// the readers can serve a smaller zone themselves.
	relayFrom = 17
	// relayAge is the age of its copies at which a relay pulls newer ones.
	relayAge = pullAge / 2
	// relayWithin is the least bound on the age of copies with which relays are used:
	// about twice their age after two steps.
	relayWithin = 3 * pullAge
	// directAge is the age at which a VM considers its relays lost and pulls from the readers.
	directAge = 2 * pullAge
)

// sources returns the addresses of the VMs from which this VM pulls its copies, and the age
// at which its own are due. age is the current age of its own, and readers are the addresses
// of the readers.
func (v *VM) sources(now time.Time, age time.Duration, readers []string) (addrs []string, due time.Duration) {
	zone := v.zoneVMs(now)
	if len(readers) == 0 || len(zone) < relayFrom || v.staleAge() < relayWithin {
		return readers, pullAge
	}
	first := watch.First(zone, relays)
	switch {
	case slices.Contains(first, v.cfg.Load().Name):
		return readers, relayAge
	case age >= directAge:
		return readers, pullAge
	}
	return v.peerAddrsOf(now, first), pullAge
}

// zoneVMs returns the live VMs of this VM's zone, itself included, with equal RTTs to the platform.
func (v *VM) zoneVMs(now time.Time) []watch.VM {
	cfg := v.cfg.Load()
	list := []watch.VM{{Name: cfg.Name, RTT: 1, Cores: cfg.Capacity.Cores}}
	for _, vm := range v.zonePeers(now) {
		list = append(list, watch.VM{Name: vm.Name, RTT: 1, Cores: vm.Capacity.Cores})
	}
	return list
}

// peerAddrsOf returns the addresses of other VMs by their names.
func (v *VM) peerAddrsOf(now time.Time, names []string) []string {
	var addrs []string
	for _, name := range names {
		if m, ok := v.members.FindPeer(now, name); ok {
			addrs = append(addrs, m.VM.Address.Peer)
		}
	}
	return addrs
}

// nearFrom is the number of upstreams from which the VMs near the platform are preferred as
// readers: 140 KB a second would otherwise cross between regions. With fewer, all VMs are
// equal: readers in several regions are not lost, or refused, together, and calls cost more
// than bytes.
const nearFrom = 600

// candidates returns the VMs that may be readers: the live ones, including this one unless it
// is leaving. Their RTTs to the platform are omitted if they do not matter.
func (v *VM) candidates(now time.Time) []watch.VM {
	byRTT := v.targets.count() >= nearFrom
	peers := v.members.Peers(now)
	list := make([]watch.VM, 0, len(peers)+1)
	add := func(name string, rtt time.Duration, cores float64) {
		if !byRTT {
			rtt = 0
		}
		list = append(list, watch.VM{Name: name, RTT: rtt, Cores: cores})
	}
	for _, m := range peers {
		if m.State == member.Live {
			add(m.VM.Name, m.VM.PlatformTrip, m.VM.Capacity.Cores)
		}
	}
	if !v.leaving.Load() {
		cfg := v.cfg.Load()
		add(cfg.Name, v.platformRTT(), cfg.Capacity.Cores)
	}
	return list
}

// takeoverDue reports whether the rules have been unverified for so long that this VM should
// ask the platform itself. The VMs that rank next after the readers ask first, and propagate
// the result: if the platform refuses both readers, two other VMs replace them rather than all.
func (v *VM) takeoverDue(now time.Time, age time.Duration) bool {
	overdue := age - lifecycle.Share(v.cfg.Load().RevokeWithin, verifyFraction)
	if overdue < 0 {
		return false
	}
	rank := watch.Before(v.candidates(now), v.cfg.Load().Name)
	return overdue >= time.Duration(min(rank, maxTakeoverRank))*takeoverDelay
}

// awaitRTT waits briefly until the RTT to the platform is known. If it were published with a
// later heartbeat, it would take seconds to reach all VMs. Until then each VM near the platform
// that has started would consider itself the only one, and read for all.
func (v *VM) awaitRTT(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rttWait)
	defer cancel()
	select {
	case <-v.rttKnown:
	case <-ctx.Done():
	}
}

// rttWait is how long a starting VM delays its first heartbeat for the RTT: two round trips
// between regions.
const rttWait = 250 * time.Millisecond

// rttRetryInterval is the pause after a failed measurement of the RTT.
const rttRetryInterval = 5 * time.Second

// platformRTT returns the round-trip time to the platform, 0 while it is not known.
func (v *VM) platformRTT() time.Duration { return time.Duration(v.rtt.Load()) }

// rttLoop measures the RTT to the platform once: the published value decides which VMs are
// readers, and must not vary with the load.
func (v *VM) rttLoop(ctx context.Context) {
	for {
		if took, ok := v.measureRTT(ctx); ok {
			v.rtt.Store(int64(took))
			close(v.rttKnown)
			return
		}
		if !lifecycle.Sleep(ctx, rttRetryInterval) {
			return
		}
	}
}

func (v *VM) measureRTT(ctx context.Context) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	took, err := v.platform.RTT(ctx)
	if err != nil {
		v.log.WithField("Err", err).Debug("PlatformTripUnknown")
		return 0, false
	}
	return max(took, time.Microsecond), true
}
