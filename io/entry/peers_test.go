package entry

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/member"
	"auburnlatch/core/replica"
	"auburnlatch/io/settings"
)

// newVMWithPeers returns a VM of the first of nine zones, in three regions, that knows
// perZone live VMs in each of them, and the time at which it does.
func newVMWithPeers(perZone int, change func(*member.VM)) (*VM, time.Time) {
	regions := make(map[string]string)
	for i := range 9 {
		regions[fmt.Sprint("z", i)] = fmt.Sprint("r", i%3)
	}
	v := New(&settings.Entry{Name: "self", Zone: "z0", Region: "r0", Regions: regions}, nil, Protocol{}, logrus.NewEntry(logrus.New()))
	now := v.started.Add(time.Minute)
	v.members.Tick(now)
	var entries []member.Entry
	for i := range 9 * perZone {
		name, zone := fmt.Sprint("vm", i), fmt.Sprint("z", i%9)
		vm := &member.VM{Name: name, Zone: zone, Dispatches: true, Address: member.Address{Name: name, Zone: zone, Caller: name, Peer: zone}}
		if change != nil {
			change(vm)
		}
		stamp := member.Stamp{Key: member.KeyOf("vm/" + name), Incarnation: 1, Seq: 1, Beat: 1}
		entries = append(entries, member.Entry{Stamp: stamp, VM: vm})
	}
	v.members.Merge(now, entries)
	v.replicas[TableTargets].Apply(now, replica.Delta{Whole: true, To: replica.Head{Table: TableTargets, Version: 1}})
	return v, now
}
