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
	// lookupTTL is how long a look-up may be cached if the settings allow it. Callers
	// leave a VM that is gone after that time, at the cost of one look-up each.
	lookupTTL = 2 * time.Second
	// maxAddrs bounds the addresses in the result of a look-up.
	maxAddrs = 64
	// lookupCacheTTL is how long the result of a look-up is reused: half a heartbeat,
	// as the state of the VMs does not change in between.
	lookupCacheTTL = heartbeat / 2
)

// lookups caches the results of look-ups. The zero value is ready to use.
type lookups struct {
	mu       sync.Mutex
	at       time.Time
	ready    bool
	byRegion map[string][]string
	// logged is the last logged result for this VM's own region.
	logged []string
}

// Lookup implements Directory. It returns ready VMs of the caller's region, and VMs of
// other regions only if the region has none, as a request's body may have to stay in
// its caller's region.
func (v *VM) Lookup(now time.Time, region, zone string) Lookup {
	l := &v.lookups
	l.mu.Lock()
	defer l.mu.Unlock()
	if ready := v.Ready(); l.byRegion == nil || now.Sub(l.at) >= lookupCacheTTL || l.ready != ready {
		l.at, l.ready, l.byRegion = now, ready, make(map[string][]string)
	}
	list, ok := l.byRegion[region]
	if !ok {
		list = v.namedAddrs(now, region)
		l.byRegion[region] = list
		v.logNamed(region, list)
	}
	return Lookup{Addrs: list, TTL: min(lookupTTL, v.cfg.Load().LookupTTL)}
}

// logNamed logs the VMs to which callers of this VM's region are sent, if they changed.
// The caller holds the lock of lookups.
func (v *VM) logNamed(region string, list []string) {
	if region != v.cfg.Load().Region || slices.Equal(list, v.lookups.logged) {
		return
	}
	v.lookups.logged = list
	v.log.WithFields(logrus.Fields{"Region": region, "Named": len(list), "Addrs": strings.Join(list, ",")}).Info("VMsNamed")
}

// namedAddrs returns the addresses of the VMs that callers of a region are to use.
func (v *VM) namedAddrs(now time.Time, region string) []string {
	near, far := v.readyVMs(now, region)
	var addrs []string
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		near = v.unverifiedVMs(now, region)
	}
	for _, vm := range callers.Named(near) {
		addrs = append(addrs, vm.Address.Caller)
	}
	slices.Sort(addrs)
	return addrs[:min(len(addrs), maxAddrs)]
}

// unverifiedVMs returns the VMs of a region that run but cannot verify keys, for the
// case that no VM can: the platform is unavailable, and requests that need no key are
// still served. A VM that reaches no peer returns none: it is cut off, and its caller
// should ask another VM.
func (v *VM) unverifiedVMs(now time.Time, region string) []*member.VM {
	list := slices.DeleteFunc(v.liveIn(now, region), func(vm *member.VM) bool { return vm.Leaving })
	isolated := len(v.members.Peers(now)) > 0 && len(v.members.Live(now)) < 2
	if v.serving() && !isolated && (region == v.cfg.Load().Region || len(list) == 0) {
		list = append(list, v.self(now))
	}
	return list
}

// readyVMs returns the VMs that take callers' requests, those of a region and those of
// the others.
func (v *VM) readyVMs(now time.Time, region string) (near, far []*member.VM) {
	for other, vms := range v.readyByRegion(now, v.members.Peers(now)) {
		if other == region {
			near = vms
		} else {
			far = append(far, vms...)
		}
	}
	return near, far
}

// readyByRegion returns the VMs that take callers' requests, this one and those among
// its peers, by their region.
func (v *VM) readyByRegion(now time.Time, peers []member.Status) map[string][]*member.VM {
	regions, byRegion := v.cfg.Load().Regions, make(map[string][]*member.VM)
	add := func(vm *member.VM) { byRegion[regions[vm.Zone]] = append(byRegion[regions[vm.Zone]], vm) }
	if v.Ready() {
		add(v.self(now))
	}
	for _, m := range peers {
		if m.State == member.Live && m.VM.Dispatches && !m.VM.Leaving {
			add(m.VM)
		}
	}
	return byRegion
}
