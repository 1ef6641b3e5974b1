package entry

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/member"
	"auburnlatch/io/logline"
)

// assignSizes gives the VMs whose name ends in 0 a fast link and callers, and the others a slow
// link.
func assignSizes(vm *member.VM) {
	vm.Capacity = member.Capacity{LinkMbps: 20, Cores: 0.16}
	if strings.HasSuffix(vm.Name, "0") {
		vm.Capacity = member.Capacity{LinkMbps: 200, Cores: 0.8}
		vm.Traffic = member.Traffic{Requests: 80, Bytes: 1e6}
	}
}

// Look-ups must return only the few VMs that can carry the traffic. If callers of a region
// with 66 VMs were spread over all of them, uploads would wait for links of 20 Mbit/s, and
// hardly any connection to an upstream would be used twice before it closes.
func TestLookupReturnsFewOfManyVMs(t *testing.T) {
	v, now := newVMWithPeers(22, assignSizes)
	for _, region := range []string{"r0", "r1", "r2"} {
		addrs := v.Lookup(now, region, "z0").Addrs
		if len(addrs) < 4 || len(addrs) > 8 {
			t.Errorf("%d VMs are returned to callers of %s, want 4 to 8", len(addrs), region)
		}
		if i := slices.IndexFunc(addrs, func(addr string) bool { return !strings.HasSuffix(addr, "0") }); i >= 0 {
			t.Errorf("%s with its slow link is returned to callers of %s", addrs[i], region)
		}
	}
}

// The log must say when callers were sent to a VM and when no longer, in one line for
// each change and none for each look-up.
func TestLookupIsLoggedWhenItChanges(t *testing.T) {
	v, now := newVMWithPeers(2, assignSizes)
	var buf bytes.Buffer
	v.log = logrus.NewEntry(logline.New(&buf, false))
	logged := func() int { return strings.Count(buf.String(), "msg=VMsNamed") }
	for range 5 {
		v.Lookup(now, "r0", "z0")
		v.Lookup(now, "r1", "z1")
		now = now.Add(lookupCacheTTL)
	}
	if n := logged(); n != 1 {
		t.Errorf("%d lines for the same VMs, want 1:\n%s", n, buf.String())
	}
	v.Lookup(now.Add(failAfter+time.Second), "r0", "z0") // All others are silent.
	if n := logged(); n != 2 {
		t.Errorf("%d lines after they changed, want 2:\n%s", n, buf.String())
	}
}

// A cold upstream has capacity for some requests per second. If each VM had a share of it,
// few shares would be of VMs with callers, and the upstream would hardly warm up. Only VMs
// with callers have a share; a silent VM may still be running and keeps its own.
func TestColdCapacityIsSharedByActiveVMs(t *testing.T) {
	v, now := newVMWithPeers(22, assignSizes)
	for _, at := range []time.Time{now, now.Add(failAfter + time.Second)} {
		var names []string
		for _, vm := range v.findActive(at).vms {
			names = append(names, vm.Name)
		}
		if len(names) < 20 || len(names) > 24 {
			t.Errorf("%d VMs share the capacity, want the 20 with callers and this one", len(names))
		}
		if !slices.Contains(names, "self") || !slices.Contains(names, "vm10") {
			t.Errorf("this VM or one with callers is missing: %v", names)
		}
	}
}
