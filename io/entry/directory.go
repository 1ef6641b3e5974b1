package entry

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/callers"
	"auburnlatch/core/member"
)

const (
	// lookupTTL is how long a look-up may be cached where the settings allow it:
	// callers leave a VM that is gone after that, at the cost of one look-up each.
	lookupTTL = 2 * time.Second
	// maxAddrs is how many addresses an answer names at most.
	maxAddrs = 64
	// nameEvery is how often the VMs to be named are worked out anew: half a
	// heartbeat, as nothing is heard of them in between.
	nameEvery = heartbeat / 2
)

// lookups keeps the answers to look-ups for a moment. The zero value is ready.
type lookups struct {
	mu       sync.Mutex
	at       time.Time
	ready    bool
	byRegion map[string][]string
	// logged are the last answers to callers of this VM's own region.
	logged []string
}

// Lookup implements Front. It names ready VMs of the caller's region, and those
// of other regions only where the region has none: a request's body may be bound to
// its caller's region.
func (v *VM) Lookup(now time.Time, region, zone string) Lookup {
	l := &v.lookups
	l.mu.Lock()
	defer l.mu.Unlock()
	if ready := v.Ready(); l.byRegion == nil || now.Sub(l.at) >= nameEvery || l.ready != ready {
		l.at, l.ready, l.byRegion = now, ready, make(map[string][]string)
	}
	list, ok := l.byRegion[region]
	if !ok {
		list = v.nameVMs(now, region)
		l.byRegion[region] = list
		v.logNames(region, list)
	}
	return Lookup{Addrs: list, TTL: min(lookupTTL, v.cfg.Load().LookupTTL)}
}

// logNames logs whom callers of this VM's region are sent to, when that changes. The
// caller holds the lock of lookups.
func (v *VM) logNames(region string, list []string) {
	if region != v.cfg.Load().Region || slices.Equal(list, v.lookups.logged) {
		return
	}
	v.lookups.logged = list
	v.log.WithFields(logrus.Fields{"Region": region, "Named": len(list), "Addrs": strings.Join(list, ",")}).Info("VMsNamed")
}

// nameVMs returns the addresses of the VMs that callers of a region are to use.
func (v *VM) nameVMs(now time.Time, region string) []string {
	near, far := v.takers(now, region)
	var addrs []string
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		near = v.unsure(now, region)
	}
	for _, vm := range callers.Named(near) {
		addrs = append(addrs, vm.Address.Caller)
	}
	slices.Sort(addrs)
	return addrs[:min(len(addrs), maxAddrs)]
}

// unsure returns the VMs of a region that run and cannot judge keys, where no VM can: the
// platform is away, and what needs no key is served on. A VM that hears nobody else names
// none: it is cut off, and its caller better asks another where to go.
func (v *VM) unsure(now time.Time, region string) []*member.VM {
	list := slices.DeleteFunc(v.liveIn(now, region), func(vm *member.VM) bool { return vm.Leaving })
	alone := len(v.members.Peers(now)) > 0 && len(v.members.Live(now)) < 2
	if v.serving() && !alone && (region == v.cfg.Load().Region || len(list) == 0) {
		list = append(list, v.self(now))
	}
	return list
}

// takers returns the VMs that take callers' requests, those of a region and the
// others.
func (v *VM) takers(now time.Time, region string) (near, far []*member.VM) {
	for other, vms := range v.takersByRegion(now, v.members.Peers(now)) {
		if other == region {
			near = vms
		} else {
			far = append(far, vms...)
		}
	}
	return near, far
}

// takersByRegion returns the VMs that take callers' requests, this one and those among the
// others, by their region.
func (v *VM) takersByRegion(now time.Time, mates []member.Status) map[string][]*member.VM {
	regions, takers := v.cfg.Load().Regions, make(map[string][]*member.VM)
	add := func(vm *member.VM) { takers[regions[vm.Zone]] = append(takers[regions[vm.Zone]], vm) }
	if v.Ready() {
		add(v.self(now))
	}
	for _, m := range mates {
		if m.State == member.Live && m.VM.Dispatches && !m.VM.Leaving {
			add(m.VM)
		}
	}
	return takers
}
