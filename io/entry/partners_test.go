package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"auburnlatch/core/member"
	"auburnlatch/core/target"
	"auburnlatch/core/watch"
)

// The traffic that crosses regions must not grow with the number of VMs. With 195 VMs that
// exchanged with any other on each heartbeat, two of three exchanges went to other regions,
// and cost more bytes there than all requests of callers. This must also hold for a VM whose
// copies are old or that has just started: with a slow platform the copies of all 300 VMs
// were old, and they sent digests of 7 KB anywhere. In a small fleet exchanges may go anywhere.
func TestExchangesStayLocal(t *testing.T) {
	const tries = 2000
	for _, tc := range []struct {
		name                 string
		perZone              int
		behind, started      bool
		far, other           float64 // Upper bounds of the fractions to other regions, and to other zones of this one.
		leastFar, leastOther float64
	}{
		{"large", 22, false, false, 0.12, 0.3, 0.05, 0.16},
		{"small", 1, false, false, 0.72, 0.28, 0.6, 0.15},
		{"large and behind", 22, true, false, 0.12, 0.3, 0.05, 0.16},
		{"large and just started", 22, false, true, 0.12, 0.3, 0.05, 0.16},
		{"small and just started", 1, false, true, 0.72, 0.28, 0.6, 0.15},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v, now := newVMWithPeers(tc.perZone, nil)
			if tc.behind {
				now = now.Add(unconfirmedAge + time.Millisecond)
			}
			if tc.started {
				v.started = now
			}
			far, other := 0.0, 0.0
			for range tries {
				list := v.partners(now)
				for _, zone := range list {
					switch {
					case v.cfg.Load().Regions[zone] != "r0":
						far += 1 / float64(tries*len(list))
					case zone != "z0":
						other += 1 / float64(tries*len(list))
					}
				}
			}
			if far > tc.far || far < tc.leastFar {
				t.Errorf("a fraction of %.2f goes to other regions, want %.2f to %.2f", far, tc.leastFar, tc.far)
			}
			if other > tc.other || other < tc.leastOther {
				t.Errorf("a fraction of %.2f goes to other zones, want %.2f to %.2f", other, tc.leastOther, tc.other)
			}
		})
	}
}

// A VM with old copies must not ask only the VMs near it for newer ones, as theirs may be
// as old.
func TestCopiesArePulledFromAllRegions(t *testing.T) {
	v, now := newVMWithPeers(22, nil)
	far, list := 0, v.copyPartners(now.Add(unconfirmedAge+time.Millisecond))
	for _, zone := range list {
		if v.cfg.Load().Regions[zone] != "r0" {
			far++
		}
	}
	if part := float64(far) / float64(len(list)); part < 0.6 || part > 0.72 {
		t.Errorf("a fraction of %.2f are in other regions, want that of all VMs: two of three", part)
	}
}

// With many upstreams the readers must be in the platform's region: heartbeats of 3,000
// upstreams crossed between regions when they were not. If the VMs there fail, others must
// take over.
func TestReadersAreNearPlatform(t *testing.T) {
	v, now := newVMWithPeers(22, func(vm *member.VM) {
		vm.PlatformTrip = 110 * time.Millisecond
		if vm.Zone == "z1" || vm.Zone == "z4" {
			vm.PlatformTrip = 2 * time.Millisecond
		}
	})
	v.rtt.Store(int64(100 * time.Millisecond))
	v.targets.change([]*target.Target{{ID: "i-1"}}, nil)
	if first := v.readerAddrs(now); slices.ContainsFunc(first, func(zone string) bool { return zone == "z1" || zone == "z4" }) &&
		!slices.ContainsFunc(first, func(zone string) bool { return zone != "z1" && zone != "z4" }) {
		t.Errorf("with few upstreams VMs of %v read, want them to be from anywhere", first)
	}
	for i := range nearFrom {
		v.targets.change([]*target.Target{{ID: fmt.Sprint("i-", i)}}, nil)
	}
	if list := v.readerAddrs(now); len(list) != readerCount || !slices.ContainsFunc(list, func(zone string) bool { return zone == "z1" || zone == "z4" }) ||
		slices.ContainsFunc(list, func(zone string) bool { return zone != "z1" && zone != "z4" }) {
		t.Errorf("VMs of %v read, want those of z1 and z4", list)
	}
	later := now.Add(failAfter + time.Second)
	var still []member.Entry
	for i := range 9 * 22 {
		if name, zone := fmt.Sprint("vm", i), fmt.Sprint("z", i%9); zone != "z1" && zone != "z4" {
			stamp := member.Stamp{Key: member.KeyOf("vm/" + name), Incarnation: 1, Seq: 2, Beat: 9}
			still = append(still, member.Entry{Stamp: stamp, VM: &member.VM{Name: name, Zone: zone, Address: member.Address{Peer: zone}, PlatformTrip: 110 * time.Millisecond}})
		}
	}
	v.members.Merge(later, still)
	for _, zone := range v.readerAddrs(later) {
		if zone == "z1" || zone == "z4" {
			t.Errorf("a VM of %s reads after it was silent for %v", zone, failAfter)
		}
	}
}

// Guards against readers that serve a whole fleet, and against copies that get too old at
// relays.
func TestZonePullsFromRelays(t *testing.T) {
	for _, tc := range []struct {
		name     string
		perZone  int
		leave    time.Duration
		age      time.Duration
		byRelays bool
	}{
		{"a large zone", 40, 5 * time.Second, pullAge, true},
		{"a small zone", 4, 5 * time.Second, pullAge, false},
		{"short LeaveWithin", 40, 2500 * time.Millisecond, pullAge, false},
		{"the relays do not answer", 40, 5 * time.Second, directAge, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v, now := newVMWithPeers(tc.perZone, func(vm *member.VM) { vm.Address.Peer = vm.Zone + "/" + vm.Name })
			cfg := *v.cfg.Load()
			cfg.LeaveWithin = tc.leave
			v.Configure(&cfg)
			readers := []string{"z5/reader"}
			first := watch.First(v.zoneVMs(now), relays)
			sources, due := v.sources(now, tc.age, readers)
			switch {
			case slices.Contains(first, "self"):
				t.Fatal("the VM is a relay itself")
			case !tc.byRelays && !slices.Equal(sources, readers):
				t.Errorf("pulls from %v, want the readers", sources)
			case tc.byRelays && (len(sources) != relays || slices.ContainsFunc(sources, func(a string) bool { return !strings.HasPrefix(a, "z0/") })):
				t.Errorf("pulls from %v, want %d of its zone", sources, relays)
			case due != pullAge:
				t.Errorf("pulls when its copy is %v old, want %v", due, pullAge)
			}
			if sources, _ := v.sources(now, tc.age, nil); len(sources) > 0 {
				t.Errorf("a reader pulls from %v", sources)
			}
		})
	}
}
