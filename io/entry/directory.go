package entry

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"auburnlatch/core/dispatch"
	"auburnlatch/core/member"
)

const (
	// lookupTTL is how long a look-up may be cached where the settings allow it:
	// callers leave a VM that is gone after that, at the cost of one look-up each.
	lookupTTL = 2 * time.Second
	// maxAddrs is how many addresses an answer names at most.
	maxAddrs = 64
	// namedPart is the part of a zone's VMs that is named, namedPerZone at least. A VM
	// that carries three times the requests uses each of its connections to upstreams
	// three times as often, and knows three times as much of them: with 72 VMs and 206
	// upstreams 0.42 connections a request were opened in place of 0.58.
	namedPart    = 3
	namedPerZone = 3
	// unitsPerVM is what a VM is to carry at most while others are not named, in units a
	// second: 100 requests take a tenth of the smallest VM's processor, and 100 times
	// unitBytes are 8 Mbit/s.
	unitsPerVM = 100
	unitBytes  = 10_000
)

// Lookup implements Front. It names ready VMs of the caller's region, and those of
// other regions only where the region has none: a request's body may be bound to its
// caller's region.
func (v *VM) Lookup(now time.Time, region, zone string) Lookup {
	cfg := v.cfg.Load()
	var near, far nameable
	add := func(vm namedVM) {
		if cfg.Regions[vm.zone] == region {
			near.add(vm)
		} else {
			far.add(vm)
		}
	}
	if v.Ready() {
		add(namedVM{cfg.Name, cfg.Zone, cfg.FrontAddr, v.use.published()})
	}
	for _, m := range v.members.Mates(now) {
		if m.State == member.Live && m.VM.Dispatches && !m.VM.Leaving {
			add(namedVM{m.VM.Name, m.VM.Zone, m.VM.Address.Caller, m.VM.Use})
		}
	}
	list := near.addrs()
	if len(list) == 0 {
		list = far.addrs()
	}
	return Lookup{Addrs: list[:min(len(list), maxAddrs)], TTL: min(lookupTTL, cfg.LookupTTL)}
}

// namedVM is a VM that callers may be told of, and what it carries.
type namedVM struct {
	name, zone, addr string
	use              int
}

// nameable are VMs that callers may be told of.
type nameable struct {
	byZone map[string][]string
	addr   map[string]string // By name.
	use    int
}

func (n *nameable) add(vm namedVM) {
	if n.byZone == nil {
		n.byZone, n.addr = make(map[string][]string), make(map[string]string)
	}
	n.byZone[vm.zone] = append(n.byZone[vm.zone], vm.name)
	n.addr[vm.name] = vm.addr
	n.use += vm.use
}

// addrs returns the addresses of the VMs to name, in order: the same ones whichever VM
// is asked, and as many of each zone as carry its part.
func (n *nameable) addrs() []string {
	var list []string
	needed := float64(n.use) / unitsPerVM / float64(max(1, len(n.addr)))
	for zone, names := range n.byZone {
		part := max(1.0/namedPart, needed)
		k := max(namedPerZone, int(math.Ceil(part*float64(len(names)))))
		for _, name := range dispatch.Rank("lookup/"+zone, names)[:min(k, len(names))] {
			list = append(list, n.addr[name])
		}
	}
	slices.Sort(list)
	return list
}

// use is what a VM carries. The zero value is ready.
type use struct {
	units atomic.Int64
	mu    sync.Mutex
	rate  float64 // Units a second.
	shown int
}

// Tuning of use.
const (
	// useWeight is the weight of the newest heartbeat: about the last two seconds count.
	useWeight = 0.25
	// useStep is the step in which a VM's use is told, so that other VMs are told
	// seldom.
	useStep = 20
)

// carried counts a request and what it carried.
func (u *use) carried(bytes int) { u.units.Add(1 + int64(bytes/unitBytes)) }

// beat is called on every heartbeat.
func (u *use) beat() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rate += useWeight * (float64(u.units.Swap(0))/heartbeat.Seconds() - u.rate)
	if math.Abs(u.rate-float64(u.shown)) >= useStep {
		u.shown = int(math.Round(u.rate/useStep)) * useStep
	}
}

// published returns what the other VMs are told.
func (u *use) published() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.shown
}
