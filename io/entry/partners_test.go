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

// Each of 195 VMs told any other of all VMs on each heartbeat. Two of three exchanges
// went to other regions, and cost more bytes there than all that callers sent. What
// crosses must not grow with the VMs, also where the platform has left a VM behind or it
// has just started: all of 300 were, whenever the platform was slow, and sent their
// digests of 7 KB anywhere. Where there are few, all may hear of all at once.
func TestExchangesStayNear(t *testing.T) {
	const tries = 2000
	for _, tc := range []struct {
		name             string
		perZone          int
		behind, started  bool
		far, other       float64 // Most that go to other regions, and to other zones of this one.
		leastFar, leastO float64
	}{
		{"large", 22, false, false, 0.12, 0.3, 0.05, 0.16},
		{"small", 1, false, false, 0.72, 0.28, 0.6, 0.15},
		{"large and behind", 22, true, false, 0.12, 0.3, 0.05, 0.16},
		{"large and just started", 22, false, true, 0.12, 0.3, 0.05, 0.16},
		{"small and just started", 1, false, true, 0.72, 0.28, 0.6, 0.15},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v, now := vmAmong(tc.perZone, nil)
			if tc.behind {
				now = now.Add(behindAge + time.Millisecond)
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
				t.Errorf("a share of %.2f goes to other regions, want %.2f to %.2f", far, tc.leastFar, tc.far)
			}
			if other > tc.other || other < tc.leastO {
				t.Errorf("a share of %.2f goes to other zones, want %.2f to %.2f", other, tc.leastO, tc.other)
			}
		})
	}
}

// A VM that the platform has left behind must not ask only those beside it for their
// copies, who may be as far behind.
func TestCopiesAreAskedOfAnyVM(t *testing.T) {
	v, now := vmAmong(22, nil)
	far, list := 0, v.copyPartners(now.Add(behindAge+time.Millisecond))
	for _, zone := range list {
		if v.cfg.Load().Regions[zone] != "r0" {
			far++
		}
	}
	if part := float64(far) / float64(len(list)); part < 0.6 || part > 0.72 {
		t.Errorf("a share of %.2f are in other regions, want as many as there are VMs: two of three", part)
	}
}

// Heartbeats of 3,000 upstreams crossed between regions, as the VMs that read them for all
// were in another one than the platform. Where the VMs there are lost, others take over.
func TestVMsBesideThePlatformReadForAll(t *testing.T) {
	v, now := vmAmong(22, func(vm *member.VM) {
		vm.PlatformTrip = 110 * time.Millisecond
		if vm.Zone == "z1" || vm.Zone == "z4" {
			vm.PlatformTrip = 2 * time.Millisecond
		}
	})
	v.trip.Store(int64(100 * time.Millisecond))
	v.targets.change([]*target.Target{{ID: "i-1"}}, nil)
	if first := v.watchers(now); slices.ContainsFunc(first, func(zone string) bool { return zone == "z1" || zone == "z4" }) &&
		!slices.ContainsFunc(first, func(zone string) bool { return zone != "z1" && zone != "z4" }) {
		t.Errorf("with few upstreams VMs of %v read, want them to be from anywhere", first)
	}
	for i := range nearFrom {
		v.targets.change([]*target.Target{{ID: fmt.Sprint("i-", i)}}, nil)
	}
	if list := v.watchers(now); len(list) != watchers || !slices.ContainsFunc(list, func(zone string) bool { return zone == "z1" || zone == "z4" }) ||
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
	for _, zone := range v.watchers(later) {
		if zone == "z1" || zone == "z4" {
			t.Errorf("a VM of %s reads, which was not heard for %v", zone, failAfter)
		}
	}
}

// Guards against watchers asked by a whole fleet, and against copies that relays keep too old.
func TestRelaysAskForTheirZone(t *testing.T) {
	for _, tc := range []struct {
		name     string
		perZone  int
		leave    time.Duration
		age      time.Duration
		byRelays bool
	}{
		{"a large zone", 40, 5 * time.Second, askAge, true},
		{"a small zone", 4, 5 * time.Second, askAge, false},
		{"little time", 40, 2500 * time.Millisecond, askAge, false},
		{"the relays do not answer", 40, 5 * time.Second, directAge, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v, now := vmAmong(tc.perZone, func(vm *member.VM) { vm.Address.Peer = vm.Zone + "/" + vm.Name })
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
				t.Errorf("asks %v, want those who read", sources)
			case tc.byRelays && (len(sources) != relays || slices.ContainsFunc(sources, func(a string) bool { return !strings.HasPrefix(a, "z0/") })):
				t.Errorf("asks %v, want %d of its zone", sources, relays)
			case due != askAge:
				t.Errorf("asks when its copy is %v old, want %v", due, askAge)
			}
			if sources, _ := v.sources(now, tc.age, nil); len(sources) > 0 {
				t.Errorf("one that reads for all asks %v", sources)
			}
		})
	}
}
