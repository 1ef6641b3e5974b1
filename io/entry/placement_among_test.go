package entry

import (
	"slices"
	"testing"
	"time"

	"auburnlatch/core/member"
)

// Guards against datagrams that grow with the VMs of a region.
func TestPlacementsAreToldToThoseThatUseThem(t *testing.T) {
	named := func(vm *member.VM) bool { return vm.Name == "vm3" || vm.Name == "vm6" }
	for _, tc := range []struct {
		name        string
		perZone     int
		least, most int
	}{
		{"a large region", 100, 6, 12},
		{"a small region", 4, 12, 12},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v, now := vmAmong(tc.perZone, func(vm *member.VM) {
				vm.Address.Peer = vm.Name
				if named(vm) {
					vm.Traffic, vm.Capacity = member.Traffic{Requests: 200, Bytes: 1e6}, member.Capacity{LinkMbps: 1000, Cores: 2}
				} else {
					vm.Capacity = member.Capacity{LinkMbps: 20, Cores: 0.16}
				}
			})
			addrs := v.holders(now)
			if len(addrs) < tc.least || len(addrs) > tc.most {
				t.Errorf("%d VMs are told, want %d to %d", len(addrs), tc.least, tc.most)
			}
			for _, name := range []string{"vm3", "vm6"} {
				if !slices.Contains(addrs, name) {
					t.Errorf("%v are told, without %s that callers use", addrs, name)
				}
			}
		})
	}
}

// Guards against callers sent to a VM that does not know where their objects are.
func TestVMThatCallersBeginToUseIsAskingForPlacements(t *testing.T) {
	v, now := vmAmong(100, nil)
	teller := &placementTeller{vm: v}
	if teller.asks(now) {
		t.Error("a VM that callers do not use asks for placements")
	}
	v.senders.Store(&senders{self: true})
	if !teller.asks(now.Add(time.Second)) || !teller.asks(now.Add(2*time.Second)) {
		t.Error("a VM that callers begin to use does not ask for placements")
	}
	if teller.asks(now.Add(time.Second + askVMsFor)) {
		t.Error("it goes on asking")
	}
}
