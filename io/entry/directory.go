package entry

import (
	"slices"
	"time"

	"auburnlatch/core/member"
)

const (
	// lookupTTL is how long a look-up may be cached where the settings allow it:
	// callers leave a VM that is gone after that, at the cost of one look-up each.
	lookupTTL = 2 * time.Second
	// maxAddrs is how many addresses an answer names at most.
	maxAddrs = 64
)

// Lookup implements Front. It names the ready VMs of the caller's region, all of
// them so that callers spread evenly, and those of other regions only where the
// region has none: a request's body may be bound to its caller's region.
func (v *VM) Lookup(now time.Time, region, zone string) Lookup {
	cfg := v.cfg.Load()
	var near, far []string
	add := func(addr, zone string) {
		if cfg.Regions[zone] == region {
			near = append(near, addr)
		} else {
			far = append(far, addr)
		}
	}
	if v.Ready() {
		add(cfg.FrontAddr, cfg.Zone)
	}
	for _, m := range v.members.Mates(now) {
		if m.State == member.Live && m.VM.Dispatches && !m.VM.Leaving {
			add(m.VM.Address.Caller, m.VM.Zone)
		}
	}
	list := near
	if len(list) == 0 {
		list = far
	}
	slices.Sort(list)
	return Lookup{Addrs: list[:min(len(list), maxAddrs)], TTL: min(lookupTTL, cfg.LookupTTL)}
}
