package vm

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"auburnlatch/core/inventory"
	"auburnlatch/core/steer"
	"auburnlatch/io/forward"
	"auburnlatch/schema"
)

// A zone is partitioned from the others and from the platform for a while. Both
// sides must keep serving their callers. A change made meanwhile must come into
// force in the partitioned zone when the partition heals, and no VM may return to
// a lower version.
func TestPartitionedZoneServesAndCatchesUp(t *testing.T) {
	f := newFleet(t, "z1", "z2")
	a, b := f.start("a", "z1"), f.start("b", "z2")
	f.start("c", "z2")
	f.apply(a)
	f.waitServing()
	f.partition(true, "z2")
	change := inventory.Change{ID: "meanwhile", Based: 1, Ops: []inventory.Op{{Drain: &inventory.Drain{Kind: inventory.KindTarget, Name: "z2-0"}}}}
	if _, err := a.Accept(context.Background(), change, false); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		for _, v := range []*runningVM{a, b} {
			if resp, body := f.get(v, "/istoric/x"); resp == nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("read through %s during the partition: %s", v.cfg.Name, body)
			}
		}
	}
	if got := b.Inventory().Version; got != 1 {
		t.Fatalf("version of the partitioned zone = %d, want 1: the partition had no effect", got)
	}
	f.partition(false, "z2")
	f.waitFor("the partitioned zone has version 2", func() bool { return f.allAt(2) })
	b.config.replace(b.started, &inventory.Inventory{Version: 1}, 0)
	if got := b.Inventory().Version; got != 2 {
		t.Errorf("version went back to %d", got)
	}
}

// A VM dies without leaving gracefully. Callers that try the next VM of their
// look-up must be served. When the platform's list no longer has the dead VM, its
// zone peer must take over all of the zone's slots.
func TestPeerTakesOverSlotsOfDeadVM(t *testing.T) {
	f := newFleet(t, "z1")
	a := f.startServing(vmSpec{"a", "z1"}, vmSpec{"b", "z1"})
	f.waitFor("the platform's list is read", func() bool { return len(a.table.PlatformList()) == 2 })
	f.kill("b")
	for range 50 {
		resp, body := f.get(a, "/istoric/x")
		if resp == nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("read after b died: %s", body)
		}
	}
	f.platform.RemoveVM("b")
	f.waitServing()
}

// A VM of another zone dies. An entry VM that sends requests to that zone must try
// the next VM there: nothing was sent to the dead one, so this is safe.
func TestRemoteRequestsSkipDeadVM(t *testing.T) {
	f := newFleet(t, "z1", "z2")
	a := f.startServing(vmSpec{"a", "z1"}, vmSpec{"b", "z2"}, vmSpec{"c", "z2"})
	f.waitFor("both VMs of z2 are known", func() bool { return len(a.ZoneVMs("z2", "istoric")) == 2 })
	f.kill("b")
	sendAllTo(a, "z2")
	for range 20 {
		resp, body := f.get(a, "/istoric/x")
		if resp == nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("read through z2 after b died: %v %s", resp.Header.Get(forward.HeaderReason), body)
		}
	}
}

// All targets of z1 are drained, so its callers use z2; then all VMs of z2 die.
// Requests that are still sent to z2 must be refused immediately with NotRun and
// Retry-After. The traffic must move to z3 at the failover cap, before the last
// summary of z2 expires.
func TestTrafficMovesFromLostZone(t *testing.T) {
	f := newFleet(t, "z1", "z2", "z3")
	a := f.start("a", "z1")
	f.start("b", "z2")
	f.start("c", "z3")
	f.inv.Service("istoric").MaxFailoverPerMinute = 1
	f.apply(a)
	f.waitServing()
	change := inventory.Change{ID: "away", Based: 1, Ops: []inventory.Op{
		{Drain: &inventory.Drain{Kind: inventory.KindTarget, Name: "z1-0"}},
		{Drain: &inventory.Drain{Kind: inventory.KindTarget, Name: "z1-1"}},
		{Link: &inventory.Link{From: "z1", To: "z2", RoundTrip: time.Millisecond}},
		{Link: &inventory.Link{From: "z1", To: "z3", RoundTrip: time.Second}},
	}}
	if _, err := a.Accept(context.Background(), change, false); err != nil {
		t.Fatal(err)
	}
	f.waitFor("reads are served by z2", func() bool { return f.servedBy(a, "z2") })
	sendAllTo(a, "z2") // Resets the moves of the row: the move to z2 counts against the cap.
	f.kill("b")
	started := time.Now()
	f.waitFor("reads are served by z3", func() bool { return f.servedBy(a, "z3") })
	if took := time.Since(started); took > steer.LostAfter/2 {
		t.Errorf("the traffic moved to z3 only after %v", took)
	}
}

// servedBy reports whether a read through the VM is served by the zone. It fails
// the test on a refusal that is late or lacks NotRun or Retry-After.
func (f *fleet) servedBy(v *runningVM, zone string) bool {
	f.t.Helper()
	sent := time.Now()
	resp, body := f.get(v, "/istoric/x")
	if resp == nil {
		f.t.Fatal(body)
	}
	if resp.StatusCode == http.StatusOK {
		return strings.Contains(body, "upstream="+zone)
	}
	if resp.Header.Get(forward.HeaderVerdict) != "NotRun" || resp.Header.Get("Retry-After") == "" {
		f.t.Fatalf("refusal has header %v, want NotRun and Retry-After", resp.Header)
	}
	if took := time.Since(sent); took > waitTimeout/4 {
		f.t.Fatalf("the refusal took %v", took)
	}
	return false
}

// A VM dies while a booking runs at an upstream, so its outcome is unknown. A retry
// through another VM must be refused with MaybeRan, and must not run.
func TestBookingOfADeadVMIsNotRunAgain(t *testing.T) {
	f := newFleet(t, "z1")
	a, b := f.start("a", "z1"), f.start("b", "z1")
	f.apply(a)
	f.waitServing()
	f.setFaults("z1", &schema.UpstreamFaults{WorkMs: 60_000})
	go f.send(a, http.MethodPost, "/istoric/slots", strings.NewReader("order"), keyed("k"))
	f.waitFor("the booking is at an upstream", func() bool { return f.runs("k") == 1 })
	f.kill("a")
	f.setFaults("z1", &schema.UpstreamFaults{})
	for range 3 {
		resp, body := f.send(b, http.MethodPost, "/istoric/slots", strings.NewReader("order"), keyed("k"))
		if resp == nil || resp.Header.Get(forward.HeaderVerdict) != "MaybeRan" || resp.Header.Get("Retry-After") == "" {
			t.Errorf("retry: %v %s, want MaybeRan and Retry-After", resp, body)
		}
	}
	if got := f.runs("k"); got != 1 {
		t.Errorf("ran %d times, want 1", got)
	}
	claims, err := b.Claims(context.Background())
	if err != nil || len(claims) != 1 || claims[0].Row.Holder.VM != "a" {
		t.Errorf("open claims = %+v (%v), want the dead VM's", claims, err)
	}
}

// The register has a snapshot and later changes when a VM starts. The VM must load
// the same inventory as those that received each change.
func TestFreshVMLoadsSnapshotAndChanges(t *testing.T) {
	const changes = 103 // One snapshot, and some changes after it.
	f := newFleet(t, "z1")
	a := f.start("a", "z1")
	f.apply(a)
	for i := range uint64(changes) {
		place := &inventory.Place{Name: fmt.Sprint("p", i%7), Zone: "z1", Blocks: []netip.Prefix{netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i), 0, 0}), 16)}}
		change := inventory.Change{ID: fmt.Sprint("c", i), Based: i + 1, Ops: []inventory.Op{{Place: place}}}
		if _, err := a.Accept(context.Background(), change, false); err != nil {
			t.Fatal(err)
		}
	}
	head, err := a.config.register.Head(context.Background())
	if err != nil || head.Snapshot == 0 {
		t.Fatalf("head %+v (%v), want a snapshot", head, err)
	}
	fresh := f.start("fresh", "z1")
	f.waitFor("the fresh VM has the newest version", func() bool { return fresh.Inventory().Version == changes+1 })
	if ops := inventory.Diff(fresh.Inventory(), a.Inventory()); len(ops) != 0 {
		t.Errorf("the fresh VM's inventory differs: %v", ops)
	}
}
