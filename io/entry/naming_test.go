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

// sizes gives the VMs whose name ends in 0 a wide link and callers, and the others a
// narrow one.
func sizes(vm *member.VM) {
	vm.Capacity = member.Capacity{LinkMbps: 20, Cores: 0.16}
	if strings.HasSuffix(vm.Name, "0") {
		vm.Capacity = member.Capacity{LinkMbps: 200, Cores: 0.8}
		vm.Traffic = member.Traffic{Requests: 80, Bytes: 1e6}
	}
}

// Callers of a region with 66 VMs are spread over all of them, narrow ones as well: an
// upload waits for a link of 20 Mbit/s, and no VM keeps a connection to an upstream for
// long enough to use it twice. Look-ups name the few that carry them.
func TestLookupNamesFewOfManyVMs(t *testing.T) {
	v, now := vmAmong(22, sizes)
	for _, region := range []string{"r0", "r1", "r2"} {
		addrs := v.Lookup(now, region, "z0").Addrs
		if len(addrs) < 4 || len(addrs) > 8 {
			t.Errorf("%d VMs are named to callers of %s, want 4 to 8", len(addrs), region)
		}
		if i := slices.IndexFunc(addrs, func(addr string) bool { return !strings.HasSuffix(addr, "0") }); i >= 0 {
			t.Errorf("%s with its narrow link is named to callers of %s", addrs[i], region)
		}
	}
}

// Callers complain of one VM. Its neighbors' logs must say when callers were sent to it
// and when not any more, in one line for each change and none for each look-up.
func TestNamesAreLoggedWhenTheyChange(t *testing.T) {
	v, now := vmAmong(2, sizes)
	var buf bytes.Buffer
	v.log = logrus.NewEntry(logline.New(&buf, false))
	logged := func() int { return strings.Count(buf.String(), "msg=VMsNamed") }
	for range 5 {
		v.Lookup(now, "r0", "z0")
		v.Lookup(now, "r1", "z1")
		now = now.Add(nameEvery)
	}
	if n := logged(); n != 1 {
		t.Errorf("%d lines for the same VMs, want 1:\n%s", n, buf.String())
	}
	v.Lookup(now.Add(failAfter+time.Second), "r0", "z0") // All others are silent.
	if n := logged(); n != 2 {
		t.Errorf("%d lines after they changed, want 2:\n%s", n, buf.String())
	}
}

// An upstream is cold and bears some requests a second. Were each VM to have a turn,
// few turns would fall to those that have callers, and the upstream would warm up
// hardly at all. Only VMs with callers have one; a silent VM may still be running and
// keeps its own.
func TestTurnsAtColdUpstreamsFallToVMsWithCallers(t *testing.T) {
	v, now := vmAmong(22, sizes)
	for _, at := range []time.Time{now, now.Add(failAfter + time.Second)} {
		var names []string
		for _, vm := range v.findSenders(at).vms {
			names = append(names, vm.Name)
		}
		if len(names) < 20 || len(names) > 24 {
			t.Errorf("%d VMs share the turns, want the 20 with callers and this one", len(names))
		}
		if !slices.Contains(names, "self") || !slices.Contains(names, "vm10") {
			t.Errorf("this VM or one with callers is missing: %v", names)
		}
	}
}
