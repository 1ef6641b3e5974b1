package vm

import (
	"sync"
	"time"

	"auburnlatch/core/dispatch"
	"auburnlatch/core/member"
)

// directory has the addresses of the VMs of all zones, as of the last refresh. Only
// the cache in ranked changes after its creation.
type directory struct {
	zones  map[string][]member.Address
	ranked sync.Map // From zoneService to []member.Address.
}

type zoneService struct{ zone, service string }

func newDirectory(views []member.ZoneView) *directory {
	d := &directory{zones: make(map[string][]member.Address, len(views))}
	for _, v := range views {
		d.zones[v.Zone] = v.VMs
	}
	return d
}

// vms returns the VMs of a zone that take requests, the service's dispatchers
// first. The ranking is cached, as it costs more than all other decisions about a
// request.
func (d *directory) vms(zone, service string) []member.Address {
	key := zoneService{zone, service}
	if list, ok := d.ranked.Load(key); ok {
		return list.([]member.Address)
	}
	byName := make(map[string]member.Address)
	var names []string
	for _, vm := range d.zones[zone] {
		if !vm.Leaving {
			names = append(names, vm.Name)
			byName[vm.Name] = vm
		}
	}
	var list []member.Address
	for _, name := range dispatch.Rank("dispatch/"+service, names) {
		list = append(list, byName[name])
	}
	d.ranked.Store(key, list)
	return list
}

// Mate implements route.Directory.
func (v *VM) Mate(name string) (member.Address, bool) {
	m, ok := v.table.FindPeer(time.Now(), name)
	if !ok || (m.State != member.Live && m.State != member.Leaving) {
		return member.Address{}, false
	}
	return m.VM.Address, true
}

// ZoneVMs implements route.Directory.
func (v *VM) ZoneVMs(zone, service string) []member.Address {
	return v.directory.Load().vms(zone, service)
}
