package entry

import (
	"slices"
	"testing"
	"time"

	"auburnlatch/core/member"
)

// Guards against datagrams whose number grows with the VMs of a region.
func TestPlacementsAreSentToActiveVMs(t *testing.T) {
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
			v, now := newVMWithPeers(tc.perZone, func(vm *member.VM) {
				vm.Address.Peer = vm.Name
				if named(vm) {
					vm.Traffic, vm.Capacity = member.Traffic{Requests: 200, Bytes: 1e6}, member.Capacity{LinkMbps: 1000, Cores: 2}
				} else {
					vm.Capacity = member.Capacity{LinkMbps: 20, Cores: 0.16}
				}
			})
			addrs := v.placementHolders(now)
			if len(addrs) < tc.least || len(addrs) > tc.most {
				t.Errorf("%d VMs receive placements, want %d to %d", len(addrs), tc.least, tc.most)
			}
			for _, name := range []string{"vm3", "vm6"} {
				if !slices.Contains(addrs, name) {
					t.Errorf("%v receive placements, without %s that has callers", addrs, name)
				}
			}
		})
	}
}

// Guards against callers being sent to a VM that does not know the placements of their
// objects.
func TestVMWithFirstCallersRequestsPlacements(t *testing.T) {
	v, now := newVMWithPeers(100, nil)
	publisher := &placementPublisher{vm: v}
	if publisher.shouldSync(now) {
		t.Error("a VM without callers requests placements")
	}
	v.activeCache.Store(&activeVMs{self: true})
	if !publisher.shouldSync(now.Add(time.Second)) || !publisher.shouldSync(now.Add(2*time.Second)) {
		t.Error("a VM with its first callers does not request placements")
	}
	if publisher.shouldSync(now.Add(time.Second + syncPeriod)) {
		t.Error("it still requests placements after syncPeriod")
	}
}
